//! Life cycle of a runner in the relay table, with a type for each state.
//!
//! A runner in state [`Accepting`] can be chosen for a call. One in state
//! [`Cold`] can be chosen only within this host's share of what it tolerates,
//! until a deadline; then it accepts calls, and may turn cold again. A runner
//! that leaves moves to [`Departing`] for good. The calls that a runner still
//! runs go on in each state, also in [`Evacuated`], in which a runner gets
//! nothing more until the evacuation of its zone is withdrawn.

use super::{
    backend::RelayBackend,
    call::CallRequirements,
    choice::{RelayChoice, SentCall},
    cold::{ColdGate, SEND_MARGIN},
};
use crate::{clock::EpochMillis, roster::RunnerFacts};

/// State: the runner takes calls, except while it has asked for a pause.
#[derive(Clone, Copy, Debug)]
pub(super) struct Accepting {
    /// Time until which the runner wants no calls of this host.
    paused_until: EpochMillis,
}

/// State: the runner tolerates few calls until it is warm.
#[derive(Clone, Debug)]
pub(super) struct Cold {
    /// Time until which the runner wants no calls of this host.
    paused_until: EpochMillis,
    /// Time from which the runner is warm.
    pub(super) until: EpochMillis,
    /// What this host may send.
    pub(super) gate: ColdGate,
}

/// State: the runner's zone is evacuated, and it takes no new calls for now.
#[derive(Clone, Copy, Debug)]
pub(super) struct Evacuated(());

/// State: the runner is leaving and takes no new calls.
#[derive(Clone, Copy, Debug)]
pub(super) struct Departing(());

/// A runner in state `S`.
#[derive(Clone, Debug)]
pub(super) struct RelayRunner<S> {
    pub(super) backend: RelayBackend,
    pub(super) state: S,
}

/// A state in which the runner takes calls.
pub(super) trait TakesCalls {
    /// Returns the time until which the runner wants no calls of this host.
    fn paused_until(&self) -> EpochMillis;
}

impl TakesCalls for Accepting {
    fn paused_until(&self) -> EpochMillis {
        self.paused_until
    }
}

impl TakesCalls for Cold {
    fn paused_until(&self) -> EpochMillis {
        self.paused_until
    }
}

impl<S: TakesCalls> RelayRunner<S> {
    /// Returns the end of the pause that the runner has asked for, if it
    /// isn't over.
    pub(super) fn pause_end(&self, now: EpochMillis) -> Option<EpochMillis> {
        let end = self.state.paused_until();
        (now < end).then_some(end)
    }

    /// Ends the choice of this runner.
    pub(super) fn depart(self) -> RelayRunner<Departing> {
        RelayRunner::departing(self.backend)
    }

    /// Lets the runner take few calls until `until`.
    pub(super) fn chill(
        self,
        until: EpochMillis,
        gate: ColdGate,
    ) -> RelayRunner<Cold> {
        let paused_until = self.state.paused_until();
        RelayRunner::cold(self.backend, paused_until, until, gate)
    }
}

impl RelayRunner<Accepting> {
    /// Takes up calls at a runner that isn't leaving.
    pub(super) fn accepting(
        backend: RelayBackend,
        paused_until: EpochMillis,
    ) -> RelayRunner<Accepting> {
        RelayRunner { backend, state: Accepting { paused_until } }
    }

    /// Counts a call as in flight and returns the choice of this runner.
    pub(super) fn begin_call(
        &mut self,
        call: &CallRequirements,
        now: EpochMillis,
    ) -> RelayChoice {
        begin_call(&mut self.backend, call, now)
    }

    /// Stops calls until `until`, unless they are stopped for longer.
    pub(super) fn pause(&mut self, until: EpochMillis) {
        self.state.paused_until = self.state.paused_until.max(until);
    }
}

impl RelayRunner<Cold> {
    /// Takes up calls at a runner that is cold until `until`.
    pub(super) fn cold(
        backend: RelayBackend,
        paused_until: EpochMillis,
        until: EpochMillis,
        gate: ColdGate,
    ) -> RelayRunner<Cold> {
        RelayRunner { backend, state: Cold { paused_until, until, gate } }
    }

    /// Counts a call as in flight and against this host's share, and returns
    /// the choice of this runner.
    pub(super) fn begin_call(
        &mut self,
        call: &CallRequirements,
        now: EpochMillis,
    ) -> RelayChoice {
        self.state.gate.record(now);
        let send_by = Some(now.after(SEND_MARGIN));
        RelayChoice { send_by, ..begin_call(&mut self.backend, call, now) }
    }

    /// Stops calls until `until`, unless they are stopped for longer.
    pub(super) fn pause(&mut self, until: EpochMillis) {
        self.state.paused_until = self.state.paused_until.max(until);
    }

    /// Ends the bound on the calls of a runner that is warm.
    pub(super) fn warm(self) -> RelayRunner<Accepting> {
        RelayRunner::accepting(self.backend, self.state.paused_until)
    }
}

impl RelayRunner<Evacuated> {
    /// Keeps the state of a runner in an evacuated zone.
    pub(super) fn evacuated(backend: RelayBackend) -> RelayRunner<Evacuated> {
        RelayRunner { backend, state: Evacuated(()) }
    }
}

impl RelayRunner<Departing> {
    /// Keeps the state of a runner that is leaving.
    pub(super) fn departing(backend: RelayBackend) -> RelayRunner<Departing> {
        RelayRunner { backend, state: Departing(()) }
    }
}

/// Counts a call as in flight at a runner, and returns the choice of it.
fn begin_call(
    backend: &mut RelayBackend,
    call: &CallRequirements,
    now: EpochMillis,
) -> RelayChoice {
    let basis = backend.basis(now);
    backend.begin_call(call, now);
    let RunnerFacts { id, address, born, .. } = &backend.facts;
    RelayChoice {
        runner: id.clone(),
        born: *born,
        address: address.clone(),
        name: call.model.clone(),
        tokens: call.tokens,
        send_by: None,
        basis,
        sent: SentCall {
            at: now,
            load: basis.own.saturating_add(basis.reported) + 1,
            prompt_tokens: call.profile.prompt_tokens,
            target: call.profile.target,
        },
    }
}
