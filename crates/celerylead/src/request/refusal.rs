//! Refusals and failures, as they are reported to callers.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{clock::EpochMillis, quarantine::VerdictRow};

/// Whether a refused or failed request ran, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunOutcome {
    /// The request didn't run: no byte of it reached a backend server, or the
    /// server rejected it.
    NotRun,
    /// The request may have run, in whole or in part.
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
        /// Reason why a request got no answer. The texts are stable.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum RefusalCode {
            $($(#[doc = $doc])+ $code,)+
        }

        impl RefusalCode {
            /// Returns the HTTP status of the code.
            pub fn status(self) -> u16 {
                match self {
                    $(RefusalCode::$code => $status,)+
                }
            }

            /// Returns the text of the code in answers to callers.
            pub fn text(self) -> &'static str {
                match self {
                    $(RefusalCode::$code => $text,)+
                }
            }
        }
    };
}

refusal_codes! {
    /// The caller presented no key, or a key that is unknown or withdrawn.
    InvalidKey = 401 "invalid_api_key";
    /// The key was withdrawn while the answer was being sent.
    KeyWithdrawn = 401 "key_withdrawn";
    /// The customer may not use the model.
    ModelForbidden = 403 "model_forbidden";
    /// The model, service or path doesn't exist.
    NotFound = 404 "not_found";
    /// The request is malformed.
    BadRequest = 400 "bad_request";
    /// The caller's key is in a part of the request that would reach a
    /// backend server.
    KeyInRequest = 400 "key_in_request";
    /// A part of the request's prompt crashes backend servers.
    PromptRejected = 400 "prompt_rejected";
    /// The request's body is larger than allowed.
    BodyTooLarge = 413 "body_too_large";
    /// The request's head is larger than allowed.
    HeadTooLarge = 431 "head_too_large";
    /// The request's body didn't arrive in time.
    BodyTimeout = 408 "body_timeout";
    /// The request needs more tokens than the customer's burst.
    BurstTooSmall = 429 "request_exceeds_burst";
    /// The customer is over its rate.
    RateLimited = 429 "rate_limited";
    /// A part of the request's prompt may crash backend servers, which no probe
    /// has confirmed yet.
    PromptSuspended = 503 "prompt_suspended";
    /// No runner became free in time.
    NoRunner = 503 "no_runner";
    /// The host is shutting down or has no settings yet.
    NotReady = 503 "not_ready";
    /// The host doesn't know of the path or key, and may lack the newest
    /// settings.
    SettingsUnconfirmed = 503 "settings_unconfirmed";
    /// The host has no memory for the request's headers or body.
    NoBodyRoom = 503 "no_body_room";
    /// The runner failed after the request was sent.
    RunnerFailed = 502 "runner_failed";
    /// The runner's answer ended before it was complete.
    AnswerCut = 502 "answer_cut";
    /// The runner didn't answer in time.
    RunnerTimeout = 504 "runner_timeout";
}

/// A refusal or failure, as it is reported to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Refusal {
    /// Reason of the refusal or failure.
    pub code: RefusalCode,
    /// Whether the request ran, as far as is known.
    pub outcome: RunOutcome,
    /// Human-readable description.
    pub message: String,
    /// Time from which a retry may succeed, if one is known.
    pub retry_at: Option<EpochMillis>,
    /// Verdict on a part of the request's prompt, if that is the reason.
    pub verdict: Option<VerdictRow>,
}

impl Refusal {
    /// Creates a refusal of a request that didn't run.
    ///
    /// Only code that holds an unsent request, or that hasn't created a
    /// [`Request`](super::Request) yet, may use this function.
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
            verdict: None,
        }
    }

    /// Returns the HTTP status. A status that implies that the request didn't
    /// run is returned only if that is known; otherwise it becomes 502.
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

    /// Sets the time from which a retry may succeed.
    pub fn retry_at(mut self, at: Option<EpochMillis>) -> Refusal {
        self.retry_at = at;
        self
    }

    /// Names the verdict that is the reason.
    pub fn verdict(mut self, verdict: Option<VerdictRow>) -> Refusal {
        self.verdict = verdict;
        self
    }
}
