//! Life cycle of a request, as types.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::refusal::{Refusal, RefusalCode, RunOutcome};

/// Identity of a request, on its answer, its log lines and towards the
/// backend server.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestId(String);

impl RequestId {
    /// Makes the id of the `sequence`-th request of a host's process, which
    /// is told from others by its random `nonce`.
    pub fn new(host: &str, nonce: u64, sequence: u64) -> RequestId {
        RequestId(format!("{host}-{nonce:016x}-{sequence}"))
    }

    /// Takes the id that a caller gave.
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

/// Proof that no byte of a request was written; only the client that was to
/// write it makes one.
#[derive(Debug)]
pub struct UnsentProof(pub(crate) ());

/// Proof that a runner refused a request before it ran it; only the code
/// that read the refusal makes one.
#[derive(Debug)]
pub struct RejectionProof(pub(crate) ());

impl RejectionProof {
    /// Takes an adapter's word that the runner's own mark was read.
    pub fn from_runner_mark() -> RejectionProof {
        RejectionProof(())
    }
}

/// State: read from the caller, nothing charged.
#[derive(Debug)]
pub struct Received(());

/// State: charged to its customer, sent nowhere since.
#[derive(Debug)]
pub struct Admitted {
    /// The runner that may have run it already, for an idempotent request
    /// on a further try.
    maybe_run_by: Option<String>,
}

/// State: bytes of it may have reached this runner.
#[derive(Debug)]
pub struct Sent {
    runner: String,
    maybe_run_by: Option<String>,
}

/// State: its whole answer was read or is being passed on.
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
    /// Returns the request's id.
    pub fn id(&self) -> &RequestId {
        &self.id
    }

    fn into_state<T>(self, state: T) -> Request<T> {
        Request { id: self.id, idempotent: self.idempotent, state }
    }
}

impl Request<Received> {
    /// Starts the life of a request.
    pub fn received(id: RequestId, idempotent: bool) -> Request<Received> {
        Request { id, idempotent, state: Received(()) }
    }

    /// Notes that the request was charged, or needs no charge.
    pub fn admitted(self) -> Request<Admitted> {
        self.into_state(Admitted { maybe_run_by: None })
    }
}

impl Request<Admitted> {
    /// Notes that the request is about to be written to `runner`.
    pub fn sent(self, runner: &str) -> Request<Sent> {
        let maybe_run_by = self.state.maybe_run_by.clone();
        self.into_state(Sent { runner: runner.to_owned(), maybe_run_by })
    }

    /// Ends the request. It didn't run, unless an earlier try is in doubt.
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
    /// Returns the runner that may have got the request.
    pub fn runner(&self) -> &str {
        &self.state.runner
    }

    /// Takes the request back, as not a byte of it was written.
    pub fn returned_unsent(self, _proof: UnsentProof) -> Request<Admitted> {
        let maybe_run_by = self.state.maybe_run_by.clone();
        self.into_state(Admitted { maybe_run_by })
    }

    /// Takes the request back, as the runner said that it didn't run it.
    pub fn rejected_by_runner(
        self,
        _proof: RejectionProof,
    ) -> Request<Admitted> {
        let maybe_run_by = self.state.maybe_run_by.clone();
        self.into_state(Admitted { maybe_run_by })
    }

    /// Lets an idempotent request run again.
    ///
    /// # Errors
    ///
    /// Returns the request unchanged where it isn't idempotent.
    pub fn run_again(self) -> Result<Request<Admitted>, Request<Sent>> {
        if !self.idempotent {
            return Err(self);
        }
        let maybe_run_by = Some(self.state.runner.clone());
        Ok(self.into_state(Admitted { maybe_run_by }))
    }

    /// Notes that the runner answered.
    pub fn answered(self) -> Request<Answered> {
        let runner = self.state.runner.clone();
        self.into_state(Answered { runner })
    }

    /// Ends the request; whether it ran isn't known.
    pub fn failed(self, code: RefusalCode, message: &str) -> Refusal {
        let Sent { runner, .. } = &self.state;
        Refusal {
            code,
            outcome: RunOutcome::OutcomeUnknown,
            message: format!("runner {runner}: {message}"),
            retry_at: None,
        }
    }
}

impl Request<Answered> {
    /// Returns the runner that answered.
    pub fn runner(&self) -> &str {
        &self.state.runner
    }

    /// Ends the request; its answer broke off.
    pub fn answer_cut(&self, code: RefusalCode, message: &str) -> Refusal {
        Refusal {
            code,
            outcome: RunOutcome::OutcomeUnknown,
            message: format!("runner {}: {message}", self.state.runner),
            retry_at: None,
        }
    }
}
