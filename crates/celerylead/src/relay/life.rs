//! Life cycle of a runner in the relay table, with a type for each state.
//!
//! Only a runner in state [`Accepting`] can be chosen for a call. A runner
//! that leaves moves to [`Departing`] for good; the calls that it still runs
//! go on there.

use super::{
    backend::RelayBackend,
    call::CallRequirements,
    choice::{RelayChoice, SentCall},
};
use crate::{clock::EpochMillis, roster::RunnerFacts};

/// State: the runner takes calls, except while it has asked for a pause.
#[derive(Clone, Copy, Debug)]
pub(super) struct Accepting {
    /// Time until which the runner wants no calls of this host.
    paused_until: EpochMillis,
}

/// State: the runner is leaving and takes no new calls.
#[derive(Clone, Copy, Debug)]
pub(super) struct Departing(());

/// A runner in state `S`.
#[derive(Clone, Debug)]
pub(super) struct RelayRunner<S> {
    pub(super) backend: RelayBackend,
    state: S,
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
        let basis = self.backend.basis(now);
        self.backend.begin_call(call, now);
        let RunnerFacts { id, address, born, .. } = &self.backend.facts;
        RelayChoice {
            runner: id.clone(),
            born: *born,
            address: address.clone(),
            name: call.model.clone(),
            tokens: call.tokens,
            basis,
            sent: SentCall {
                at: now,
                load: basis.own.saturating_add(basis.reported) + 1,
                prompt_tokens: call.profile.prompt_tokens,
                target: call.profile.target,
            },
        }
    }

    /// Stops calls until `until`, unless they are stopped for longer.
    pub(super) fn pause(&mut self, until: EpochMillis) {
        self.state.paused_until = self.state.paused_until.max(until);
    }

    /// Returns the end of the pause that the runner has asked for, if it
    /// isn't over.
    pub(super) fn pause_end(&self, now: EpochMillis) -> Option<EpochMillis> {
        let end = self.state.paused_until;
        (now < end).then_some(end)
    }

    /// Ends the choice of this runner.
    pub(super) fn depart(self) -> RelayRunner<Departing> {
        RelayRunner::departing(self.backend)
    }
}

impl RelayRunner<Departing> {
    /// Keeps the state of a runner that is leaving.
    pub(super) fn departing(backend: RelayBackend) -> RelayRunner<Departing> {
        RelayRunner { backend, state: Departing(()) }
    }
}
