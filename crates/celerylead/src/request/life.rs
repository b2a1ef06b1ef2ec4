//! Life cycle of a request, with a type for each state.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::refusal::{Refusal, RefusalCode, RunOutcome};

/// Identifier of a request, which appears in its answer, in its log lines
/// and in the request to the backend server.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestId(String);

impl RequestId {
    /// Creates the id of the `sequence`-th request of a process on `host`. The
    /// random `nonce` distinguishes the process from others on the host.
    pub fn new(host: &str, nonce: u64, sequence: u64) -> RequestId {
        RequestId(format!("{host}-{nonce:016x}-{sequence}"))
    }

    /// Wraps the id that a caller sent.
    pub fn from_caller(text: &str) -> RequestId {
        RequestId(text.to_owned())
    }

    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Proof that no byte of a request was written. Only the client that would
/// have written the request creates it.
#[derive(Debug)]
pub struct UnsentProof(pub(crate) ());

/// Proof that a runner rejected a request without running it. Only the code
/// that read the rejection creates it.
#[derive(Debug)]
pub struct RejectionProof(pub(crate) ());

impl RejectionProof {
    /// Creates the proof for an adapter that has read the runner's own
    /// rejection mark. The mark isn't checked here.
    pub fn from_runner_mark() -> RejectionProof {
        RejectionProof(())
    }
}

/// State: the request was read from the caller and isn't charged yet.
#[derive(Debug)]
pub struct Received(());

/// State: the request is charged to its customer, and no attempt to send it
/// is under way.
#[derive(Debug)]
pub struct Admitted {
    /// Runner that may have run the request in an earlier attempt; only for
    /// an idempotent request.
    maybe_run_by: Option<String>,
}

/// State: bytes of the request may have reached this runner.
#[derive(Debug)]
pub struct Sent {
    runner: String,
    maybe_run_by: Option<String>,
}

/// State: the runner answered; the answer was read to its end or is being
/// forwarded.
#[derive(Debug)]
pub struct Answered {
    runner: String,
}

/// A request in state `S`.
///
/// # Examples
///
/// ```
/// use celerylead::request::{Request, RequestId, RefusalCode, RunOutcome};
///
/// let id = RequestId::new("host-1", 1, 1);
/// let request = Request::received(id, false).admitted();
/// let request = request.sent("runner-1");
/// let refusal = request.failed(RefusalCode::RunnerFailed, "reset");
/// assert_eq!(refusal.outcome, RunOutcome::OutcomeUnknown);
/// ```
#[derive(Debug)]
pub struct Request<S> {
    id: RequestId,
    idempotent: bool,
    state: S,
}

impl<S> Request<S> {
    /// Returns the id of the request.
    pub fn id(&self) -> &RequestId {
        &self.id
    }

    fn into_state<T>(self, state: T) -> Request<T> {
        Request { id: self.id, idempotent: self.idempotent, state }
    }
}

impl Request<Received> {
    /// Creates a request that was just read from the caller.
    pub fn received(id: RequestId, idempotent: bool) -> Request<Received> {
        Request { id, idempotent, state: Received(()) }
    }

    /// Admits the request, which was charged or needs no charge.
    pub fn admitted(self) -> Request<Admitted> {
        self.into_state(Admitted { maybe_run_by: None })
    }
}

impl Request<Admitted> {
    /// Marks the request as sent, just before it is written to `runner`.
    pub fn sent(self, runner: &str) -> Request<Sent> {
        let maybe_run_by = self.state.maybe_run_by.clone();
        self.into_state(Sent { runner: runner.to_owned(), maybe_run_by })
    }

    /// Ends the request with a refusal. The request didn't run, unless an
    /// earlier attempt has an unknown outcome.
    pub fn refused(self, mut refusal: Refusal) -> Refusal {
        if let Some(runner) = self.state.maybe_run_by {
            refusal.outcome = RunOutcome::OutcomeUnknown;
            refusal.message =
                format!("{} (may have run on {runner})", refusal.message);
        }
        refusal
    }
}

impl Request<Sent> {
    /// Returns the runner that may have received the request.
    pub fn runner(&self) -> &str {
        &self.state.runner
    }

    /// Returns to the admitted state, as no byte of the request was written.
    pub fn returned_unsent(self, _proof: UnsentProof) -> Request<Admitted> {
        let maybe_run_by = self.state.maybe_run_by.clone();
        self.into_state(Admitted { maybe_run_by })
    }

    /// Returns to the admitted state, as the runner rejected the request
    /// without running it.
    pub fn rejected_by_runner(
        self,
        _proof: RejectionProof,
    ) -> Request<Admitted> {
        let maybe_run_by = self.state.maybe_run_by.clone();
        self.into_state(Admitted { maybe_run_by })
    }

    /// Returns to the admitted state, so that an idempotent request can run
    /// again.
    ///
    /// # Errors
    ///
    /// Returns the request unchanged if it isn't idempotent.
    pub fn run_again(self) -> Result<Request<Admitted>, Request<Sent>> {
        if !self.idempotent {
            return Err(self);
        }
        let maybe_run_by = Some(self.state.runner.clone());
        Ok(self.into_state(Admitted { maybe_run_by }))
    }

    /// Marks the request as answered by the runner.
    pub fn answered(self) -> Request<Answered> {
        let runner = self.state.runner.clone();
        self.into_state(Answered { runner })
    }

    /// Ends the request with a failure. Whether the request ran is unknown.
    pub fn failed(self, code: RefusalCode, message: &str) -> Refusal {
        let Sent { runner, .. } = &self.state;
        Refusal {
            code,
            outcome: RunOutcome::OutcomeUnknown,
            message: format!("runner {runner}: {message}"),
            retry_at: None,
            verdict: None,
        }
    }
}

impl Request<Answered> {
    /// Returns the runner that answered.
    pub fn runner(&self) -> &str {
        &self.state.runner
    }

    /// Ends the request with a failure, as its answer ended early.
    pub fn answer_cut(&self, code: RefusalCode, message: &str) -> Refusal {
        Refusal {
            code,
            outcome: RunOutcome::OutcomeUnknown,
            message: format!("runner {}: {message}", self.state.runner),
            retry_at: None,
            verdict: None,
        }
    }
}
