//! What a caller is told when it gets no answer.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::clock::EpochMillis;

/// What is known about whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunOutcome {
    /// No byte of it reached a backend server.
    NotRun,
    /// It may have run, in whole or in part.
    OutcomeUnknown,
}

impl fmt::Display for RunOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            RunOutcome::NotRun => "not-run",
            RunOutcome::OutcomeUnknown => "outcome-unknown",
        })
    }
}

macro_rules! refusal_codes {
    ($($(#[doc = $doc:literal])+ $code:ident = $status:literal $text:literal;)+) => {
        /// Why a request got no answer; the texts are stable.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum RefusalCode {
            $($(#[doc = $doc])+ $code,)+
        }

        impl RefusalCode {
            /// Returns the HTTP status that goes with the code.
            pub fn status(self) -> u16 {
                match self {
                    $(RefusalCode::$code => $status,)+
                }
            }

            /// Returns the code as callers see it.
            pub fn text(self) -> &'static str {
                match self {
                    $(RefusalCode::$code => $text,)+
                }
            }
        }
    };
}

refusal_codes! {
    /// No key was shown, or one that isn't known or was withdrawn.
    InvalidKey = 401 "invalid_api_key";
    /// The key was withdrawn while its answer was under way.
    KeyWithdrawn = 401 "key_withdrawn";
    /// The customer may not use the model.
    ModelForbidden = 403 "model_forbidden";
    /// There is no such model, service or path.
    NotFound = 404 "not_found";
    /// The request can't be understood.
    BadRequest = 400 "bad_request";
    /// The caller's key stands in a place that would reach a backend server.
    KeyInRequest = 400 "key_in_request";
    /// The body is larger than allowed.
    BodyTooLarge = 413 "body_too_large";
    /// The request's head is larger than allowed.
    HeadTooLarge = 431 "head_too_large";
    /// The body didn't come in time.
    BodyTimeout = 408 "body_timeout";
    /// The request needs more tokens than the customer's burst.
    BurstTooSmall = 429 "request_exceeds_burst";
    /// The customer is over its rate.
    RateLimited = 429 "rate_limited";
    /// No runner came free in time.
    NoRunner = 503 "no_runner";
    /// The host is shutting down or has no settings yet.
    NotReady = 503 "not_ready";
    /// The runner failed after the request was sent.
    RunnerFailed = 502 "runner_failed";
    /// The runner's answer ended before it was whole.
    AnswerCut = 502 "answer_cut";
    /// The runner didn't answer in time.
    RunnerTimeout = 504 "runner_timeout";
}

/// A refusal or failure, as it is told to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Refusal {
    /// Why.
    pub code: RefusalCode,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// Text for people.
    pub message: String,
    /// Point from which a retry may succeed, where one is known.
    pub retry_at: Option<EpochMillis>,
}

impl Refusal {
    /// Makes a refusal of a request of which nothing was sent on.
    ///
    /// It is private to the aggregate's callers that hold an unsent request
    /// or have made none yet.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerylead::request::{Refusal, RefusalCode, RunOutcome};
    ///
    /// let refusal = Refusal::not_run(RefusalCode::NotFound, "no model x");
    /// assert_eq!(refusal.outcome, RunOutcome::NotRun);
    /// assert_eq!(refusal.code.status(), 404);
    /// ```
    pub fn not_run(code: RefusalCode, message: &str) -> Refusal {
        Refusal {
            code,
            outcome: RunOutcome::NotRun,
            message: message.to_owned(),
            retry_at: None,
        }
    }

    /// Returns the HTTP status: one that promises that nothing ran only
    /// where that is known.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerylead::request::{Refusal, RefusalCode, RunOutcome};
    ///
    /// let mut refusal = Refusal::not_run(RefusalCode::NoRunner, "full");
    /// assert_eq!(refusal.status(), 503);
    /// refusal.outcome = RunOutcome::OutcomeUnknown;
    /// assert_eq!(refusal.status(), 502);
    /// ```
    pub fn status(&self) -> u16 {
        let status = self.code.status();
        let unknown = self.outcome == RunOutcome::OutcomeUnknown;
        let implies_not_run = matches!(status, 408 | 421 | 429 | 503);
        if unknown && implies_not_run { 502 } else { status }
    }

    /// Says from when a retry may succeed.
    pub fn retry_at(mut self, at: Option<EpochMillis>) -> Refusal {
        self.retry_at = at;
        self
    }
}
