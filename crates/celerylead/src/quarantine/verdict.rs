//! Life cycle of a verdict on a part, with a type for each state.
//!
//! `Rejected` → (term over) → `Probation` → (a call is sent) → `Probing` →
//! cleared, or `Rejected` for twice as long, or, if the call tells nothing,
//! `Probation` again.

use std::time::Duration;

use crate::clock::EpochMillis;

/// Length of a verdict's first term; each further one is twice as long.
const FIRST_TERM: Duration = Duration::from_secs(60);
/// Number of doublings after which terms get no longer: about an hour.
const MAX_TERM_DOUBLINGS: u32 = 6;
/// Longest term.
pub(super) const MAX_TERM: Duration =
    Duration::from_secs(FIRST_TERM.as_secs() << MAX_TERM_DOUBLINGS);
/// Time after which a probe whose end wasn't noticed is given up.
pub(super) const PROBE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time on probation after which a verdict that concerned no call is dropped.
const IDLE_TIME: Duration = Duration::from_secs(600);

/// State: calls with the part are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Rejected {
    pub(super) until: EpochMillis,
}

/// State: calls with the part are rejected, but for one that probes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Probation {
    drop_at: EpochMillis,
}

/// State: a call of this host probes the part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Probing {
    give_up_at: EpochMillis,
}

/// A verdict on a part, in state `S`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PartVerdict<S> {
    /// Trials behind the verdict.
    pub(super) trials: u32,
    /// Terms that the verdict has had, the present one included.
    pub(super) terms: u32,
    /// Time at which the last call that crashed a runner was sent. A later
    /// sound answer disproves the verdict.
    pub(super) sent_at: EpochMillis,
    pub(super) state: S,
}

/// A verdict in any state, as the ledger stores it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum VerdictState {
    Rejected(PartVerdict<Rejected>),
    Probation(PartVerdict<Probation>),
    Probing(PartVerdict<Probing>),
}

impl<S> PartVerdict<S> {
    fn into_state<T>(self, state: T) -> PartVerdict<T> {
        let PartVerdict { trials, terms, sent_at, .. } = self;
        PartVerdict { trials, terms, sent_at, state }
    }

    /// Rejects the part for another term, which is twice as long.
    pub(super) fn renew(
        self,
        sent_at: EpochMillis,
        now: EpochMillis,
    ) -> PartVerdict<Rejected> {
        let mut verdict = self.into_state(Rejected { until: now });
        verdict.trials = verdict.trials.saturating_add(1);
        verdict.terms = verdict.terms.saturating_add(1);
        verdict.sent_at = sent_at;
        let doublings = MAX_TERM_DOUBLINGS.min(verdict.terms - 1);
        verdict.state.until = now.after(FIRST_TERM * 2_u32.pow(doublings));
        verdict
    }
}

impl PartVerdict<Rejected> {
    /// Rejects a part for the first time.
    pub(super) fn first(
        trials: u32,
        sent_at: EpochMillis,
        now: EpochMillis,
    ) -> PartVerdict<Rejected> {
        let state = Rejected { until: now.after(FIRST_TERM) };
        PartVerdict { trials, terms: 1, sent_at, state }
    }

    /// Takes a verdict over that another host reports.
    pub(super) fn reported(
        (trials, terms): (u32, u32),
        sent_at: EpochMillis,
        until: EpochMillis,
    ) -> PartVerdict<Rejected> {
        PartVerdict { trials, terms, sent_at, state: Rejected { until } }
    }

    /// Returns the end of the term.
    pub(super) fn until(&self) -> EpochMillis {
        self.state.until
    }

    fn end_term(self, now: EpochMillis) -> PartVerdict<Probation> {
        self.into_state(Probation { drop_at: now.after(IDLE_TIME) })
    }
}

impl PartVerdict<Probation> {
    /// Lets a call probe the part.
    pub(super) fn probe(self, now: EpochMillis) -> PartVerdict<Probing> {
        self.into_state(Probing { give_up_at: now.after(PROBE_TIMEOUT) })
    }

    /// Notes that a call was rejected, so that the verdict is still of use.
    fn touch(&mut self, now: EpochMillis) {
        self.state.drop_at = now.after(IDLE_TIME);
    }
}

impl PartVerdict<Probing> {
    /// Ends a probe that told nothing.
    pub(super) fn undecided(self, now: EpochMillis) -> PartVerdict<Probation> {
        self.into_state(Probation { drop_at: now.after(IDLE_TIME) })
    }
}

impl VerdictState {
    /// Makes the transitions that are due; `None` if the verdict is dropped.
    pub(super) fn advance(self, now: EpochMillis) -> Option<VerdictState> {
        match self {
            VerdictState::Rejected(verdict) if verdict.until() <= now => {
                Some(VerdictState::Probation(verdict.end_term(now)))
            }
            VerdictState::Probation(verdict)
                if verdict.state.drop_at <= now =>
            {
                None
            }
            VerdictState::Probing(verdict)
                if verdict.state.give_up_at <= now =>
            {
                Some(VerdictState::Probation(verdict.undecided(now)))
            }
            state => Some(state),
        }
    }

    /// Notes that a call was rejected.
    pub(super) fn touch(&mut self, now: EpochMillis) {
        if let VerdictState::Probation(verdict) = self {
            verdict.touch(now);
        }
    }

    /// Rejects the part for another term.
    pub(super) fn renew(
        self,
        sent_at: EpochMillis,
        now: EpochMillis,
    ) -> PartVerdict<Rejected> {
        match self {
            VerdictState::Rejected(verdict) => verdict.renew(sent_at, now),
            VerdictState::Probation(verdict) => verdict.renew(sent_at, now),
            VerdictState::Probing(verdict) => verdict.renew(sent_at, now),
        }
    }

    /// Returns the time at which the last call that crashed a runner was sent.
    pub(super) fn sent_at(&self) -> EpochMillis {
        match self {
            VerdictState::Rejected(verdict) => verdict.sent_at,
            VerdictState::Probation(verdict) => verdict.sent_at,
            VerdictState::Probing(verdict) => verdict.sent_at,
        }
    }

    /// Returns the trials and the terms.
    pub(super) fn counts(&self) -> (u32, u32) {
        match self {
            VerdictState::Rejected(verdict) => (verdict.trials, verdict.terms),
            VerdictState::Probation(verdict) => {
                (verdict.trials, verdict.terms)
            }
            VerdictState::Probing(verdict) => (verdict.trials, verdict.terms),
        }
    }

    /// Returns the end of the term; `None` once it is over.
    pub(super) fn until(&self) -> Option<EpochMillis> {
        match self {
            VerdictState::Rejected(verdict) => Some(verdict.until()),
            _ => None,
        }
    }
}
