//! Life cycle of a verdict on a part, with a type for each state.
//!
//! `Suspended` → (term over) → `Probation` → (a call is sent) → `Probing` →
//! cleared, or `Rejected`, or, if the call tells nothing, `Probation` again.
//! `Rejected` → (term over) → `Probation`; each further term is twice as long.
//! While another host probes the part, a verdict on probation is `Awaiting`.

use std::time::Duration;

use super::part::PartId;
use crate::clock::EpochMillis;

/// Term of a verdict that no probe has confirmed, in which answers under way may
/// disprove it.
const SUSPENSION: Duration = Duration::from_millis(1_000);
/// First term of a confirmed verdict; each further one is twice as long.
const FIRST_TERM: Duration = Duration::from_secs(60);
/// Number of doublings after which terms get no longer: about an hour.
const MAX_TERM_DOUBLINGS: u32 = 6;
/// Longest term.
pub(super) const MAX_TERM: Duration =
    Duration::from_secs(FIRST_TERM.as_secs() << MAX_TERM_DOUBLINGS);
/// Time after which a probe whose end wasn't noticed is given up.
pub(super) const PROBE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time on probation after which twice as many hosts may probe, as those so far
/// may get no call with the part. Hosts hear of a probe within 110 ms.
const PROBE_TURN: Duration = Duration::from_millis(1_000);
/// Time after which a call that was refused during a probe may be admitted.
const PROBE_TIME: Duration = Duration::from_millis(1_000);
/// Time on probation after which a verdict that concerned no call is dropped.
const IDLE_TIME: Duration = Duration::from_secs(600);

/// State: no probe has confirmed the verdict; calls with the part are refused
/// for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Suspended {
    pub(super) until: EpochMillis,
}

/// State: a probe has confirmed the verdict; calls with the part are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Rejected {
    pub(super) until: EpochMillis,
}

/// State: calls with the part are refused for now, but for one that probes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Probation {
    since: EpochMillis,
    drop_at: EpochMillis,
}

/// State: a call of this host probes the part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Probing {
    since: EpochMillis,
    give_up_at: EpochMillis,
}

/// State: a call of another host probes the part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Awaiting {
    since: EpochMillis,
    give_up_at: EpochMillis,
}

/// A verdict on a part, in state `S`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PartVerdict<S> {
    /// The part.
    pub(super) part: PartId,
    /// Trials behind the verdict.
    pub(super) trials: u32,
    /// Terms that the verdict has had, the present one included. From the second
    /// on, a probe has confirmed it.
    pub(super) terms: u32,
    /// Time at which the last call that crashed a runner was sent. A later
    /// sound answer disproves the verdict.
    pub(super) sent_at: EpochMillis,
    pub(super) state: S,
}

/// A verdict in any state, as the ledger stores it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum VerdictState {
    Suspended(PartVerdict<Suspended>),
    Rejected(PartVerdict<Rejected>),
    Probation(PartVerdict<Probation>),
    Probing(PartVerdict<Probing>),
    Awaiting(PartVerdict<Awaiting>),
}

impl<S> PartVerdict<S> {
    fn into_state<T>(self, state: T) -> PartVerdict<T> {
        let PartVerdict { part, trials, terms, sent_at, .. } = self;
        PartVerdict { part, trials, terms, sent_at, state }
    }
}

impl PartVerdict<Suspended> {
    /// Suspends a part for the first time.
    pub(super) fn first(
        part: PartId,
        trials: u32,
        sent_at: EpochMillis,
        now: EpochMillis,
    ) -> PartVerdict<Suspended> {
        let state = Suspended { until: now.after(SUSPENSION) };
        PartVerdict { part, trials, terms: 1, sent_at, state }
    }

    fn end_term(self, now: EpochMillis) -> PartVerdict<Probation> {
        let Suspended { until: since } = self.state;
        self.into_state(Probation { since, drop_at: now.after(IDLE_TIME) })
    }
}

impl PartVerdict<Rejected> {
    fn end_term(self, now: EpochMillis) -> PartVerdict<Probation> {
        let Rejected { until: since } = self.state;
        self.into_state(Probation { since, drop_at: now.after(IDLE_TIME) })
    }
}

impl PartVerdict<Probation> {
    /// Returns whether a host may probe the part that `rank` others come before.
    pub(super) fn may_probe(&self, rank: usize, now: EpochMillis) -> bool {
        let waited = self.state.since.until(now).as_millis();
        let turn = waited / PROBE_TURN.as_millis();
        let hosts =
            u32::try_from(turn).ok().and_then(|t| 1_usize.checked_shl(t));
        hosts.is_none_or(|hosts| rank < hosts)
    }

    /// Lets a call probe the part.
    pub(super) fn probe(self, now: EpochMillis) -> PartVerdict<Probing> {
        let Probation { since, .. } = self.state;
        let give_up_at = now.after(PROBE_TIMEOUT);
        self.into_state(Probing { since, give_up_at })
    }

    /// Leaves the probe to another host.
    fn await_probe(self, give_up_at: EpochMillis) -> PartVerdict<Awaiting> {
        let Probation { since, .. } = self.state;
        self.into_state(Awaiting { since, give_up_at })
    }

    /// Notes that a call was refused, so that the verdict is still of use.
    fn touch(&mut self, now: EpochMillis) {
        self.state.drop_at = now.after(IDLE_TIME);
    }
}

impl PartVerdict<Probing> {
    /// Rejects the part, as the probe confirms the verdict.
    pub(super) fn confirm(self, now: EpochMillis) -> PartVerdict<Rejected> {
        let doublings = MAX_TERM_DOUBLINGS.min(self.terms - 1);
        let until = now.after(FIRST_TERM * 2_u32.pow(doublings));
        let mut verdict = self.into_state(Rejected { until });
        verdict.trials = verdict.trials.saturating_add(1);
        verdict.terms = verdict.terms.saturating_add(1);
        verdict
    }

    /// Suspends the part for another term, as the probe's runner may have ended
    /// for another cause.
    pub(super) fn suspend(self, now: EpochMillis) -> PartVerdict<Suspended> {
        let until = now.after(SUSPENSION);
        let mut verdict = self.into_state(Suspended { until });
        verdict.trials = verdict.trials.saturating_add(1);
        verdict
    }

    /// Ends a probe that told nothing.
    pub(super) fn undecided(self, now: EpochMillis) -> PartVerdict<Probation> {
        let Probing { since, .. } = self.state;
        self.into_state(Probation { since, drop_at: now.after(IDLE_TIME) })
    }
}

impl PartVerdict<Awaiting> {
    /// Ends another host's probe that told nothing.
    fn undecided(self, now: EpochMillis) -> PartVerdict<Probation> {
        let Awaiting { since, .. } = self.state;
        self.into_state(Probation { since, drop_at: now.after(IDLE_TIME) })
    }
}

impl VerdictState {
    /// Takes a verdict over that another host reports, which lets nobody probe
    /// the part for the time `left`.
    pub(super) fn reported(
        part: PartId,
        (trials, terms): (u32, u32),
        sent_at: EpochMillis,
        left: Duration,
        now: EpochMillis,
    ) -> VerdictState {
        let verdict = PartVerdict { part, trials, terms, sent_at, state: () };
        if terms <= 1 {
            let until = now.after(left.min(PROBE_TIMEOUT));
            return VerdictState::Suspended(
                verdict.into_state(Suspended { until }),
            );
        }
        let until = now.after(left.min(MAX_TERM));
        VerdictState::Rejected(verdict.into_state(Rejected { until }))
    }

    /// Applies what another host says of the same term: it probes the part up to
    /// `until`, or nobody does.
    pub(super) fn hear_probe(
        self,
        until: EpochMillis,
        now: EpochMillis,
    ) -> VerdictState {
        match self {
            VerdictState::Probation(verdict) if now < until => {
                let give_up_at = until.min(now.after(PROBE_TIMEOUT));
                VerdictState::Awaiting(verdict.await_probe(give_up_at))
            }
            VerdictState::Awaiting(verdict) if until <= now => {
                VerdictState::Probation(verdict.undecided(now))
            }
            VerdictState::Suspended(verdict) if until <= now => {
                VerdictState::Probation(verdict.end_term(now))
            }
            state => state,
        }
    }

    /// Makes the transitions that are due; `None` if the verdict is dropped.
    pub(super) fn advance(self, now: EpochMillis) -> Option<VerdictState> {
        match self {
            VerdictState::Suspended(verdict) if verdict.state.until <= now => {
                Some(VerdictState::Probation(verdict.end_term(now)))
            }
            VerdictState::Rejected(verdict) if verdict.state.until <= now => {
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
            VerdictState::Awaiting(verdict)
                if verdict.state.give_up_at <= now =>
            {
                Some(VerdictState::Probation(verdict.undecided(now)))
            }
            state => Some(state),
        }
    }

    /// Notes that a call was refused.
    pub(super) fn touch(&mut self, now: EpochMillis) {
        if let VerdictState::Probation(verdict) = self {
            verdict.touch(now);
        }
    }

    /// Returns the time from which a refused call may be admitted; `None` where
    /// the refusal is final.
    pub(super) fn retry_at(&self, now: EpochMillis) -> Option<EpochMillis> {
        match self {
            VerdictState::Suspended(verdict) => Some(verdict.state.until),
            VerdictState::Rejected(_) => None,
            _ => Some(now.after(PROBE_TIME)),
        }
    }

    /// Applies a crash of a call that was sent at `sent_at`. Returns the verdict
    /// if this host probes the part and that call was the probe: calls sent
    /// before were under way when the verdict was found.
    pub(super) fn note_crash(
        &mut self,
        sent_at: EpochMillis,
    ) -> Option<PartVerdict<Probing>> {
        self.set_sent_at(sent_at);
        match *self {
            VerdictState::Probing(verdict)
                if verdict.state.since <= sent_at =>
            {
                Some(verdict)
            }
            _ => None,
        }
    }

    /// Counts the trials that another host knows of.
    pub(super) fn raise_trials(&mut self, trials: u32) {
        let known = match self {
            VerdictState::Suspended(verdict) => &mut verdict.trials,
            VerdictState::Rejected(verdict) => &mut verdict.trials,
            VerdictState::Probation(verdict) => &mut verdict.trials,
            VerdictState::Probing(verdict) => &mut verdict.trials,
            VerdictState::Awaiting(verdict) => &mut verdict.trials,
        };
        *known = trials.max(*known);
    }

    fn set_sent_at(&mut self, sent_at: EpochMillis) {
        match self {
            VerdictState::Suspended(verdict) => verdict.sent_at = sent_at,
            VerdictState::Rejected(verdict) => verdict.sent_at = sent_at,
            VerdictState::Probation(verdict) => verdict.sent_at = sent_at,
            VerdictState::Probing(verdict) => verdict.sent_at = sent_at,
            VerdictState::Awaiting(verdict) => verdict.sent_at = sent_at,
        }
    }

    /// Returns the time at which the last call that crashed a runner was sent.
    pub(super) fn sent_at(&self) -> EpochMillis {
        match self {
            VerdictState::Suspended(verdict) => verdict.sent_at,
            VerdictState::Rejected(verdict) => verdict.sent_at,
            VerdictState::Probation(verdict) => verdict.sent_at,
            VerdictState::Probing(verdict) => verdict.sent_at,
            VerdictState::Awaiting(verdict) => verdict.sent_at,
        }
    }

    /// Returns the trials and the terms.
    pub(super) fn counts(&self) -> (u32, u32) {
        match self {
            VerdictState::Suspended(verdict) => {
                (verdict.trials, verdict.terms)
            }
            VerdictState::Rejected(verdict) => (verdict.trials, verdict.terms),
            VerdictState::Probation(verdict) => {
                (verdict.trials, verdict.terms)
            }
            VerdictState::Probing(verdict) => (verdict.trials, verdict.terms),
            VerdictState::Awaiting(verdict) => (verdict.trials, verdict.terms),
        }
    }

    /// Returns the end of the term or the time at which the probe under way is
    /// given up; `None` if the part may be probed.
    pub(super) fn until(&self) -> Option<EpochMillis> {
        match self {
            VerdictState::Suspended(verdict) => Some(verdict.state.until),
            VerdictState::Rejected(verdict) => Some(verdict.state.until),
            VerdictState::Probation(_) => None,
            VerdictState::Probing(verdict) => Some(verdict.state.give_up_at),
            VerdictState::Awaiting(verdict) => Some(verdict.state.give_up_at),
        }
    }

    /// Returns whether a call of this host probes the part.
    pub(super) fn is_probed_here(&self) -> bool {
        matches!(self, VerdictState::Probing(_))
    }

    /// Returns whether a term is under way.
    pub(super) fn has_term(&self) -> bool {
        matches!(self, VerdictState::Suspended(_) | VerdictState::Rejected(_))
    }
}
