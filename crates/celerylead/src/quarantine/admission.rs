//! Which calls may be sent to a runner, by the verdicts on their parts.

use serde::{Deserialize, Serialize};

use super::{
    ledger::{HeldVerdict, SuspectLedger, TRIALS_TO_HOLD},
    part::{PartId, PromptParts},
    verdict::VerdictState,
};
use crate::clock::EpochMillis;

/// What the ledger says of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PartAdmission {
    /// No part of its prompt is rejected.
    Admit,
    /// The call may be sent as the probe of this part.
    Probe(PartId),
    /// This part is rejected.
    Reject(PartId),
    /// Another call is to tell this part from others with the same evidence
    /// first.
    Await(PartId),
}

impl HeldVerdict {
    /// Decides on a call with this part and others. A call that has the whole
    /// group has the cause for certain.
    fn decide(
        &self,
        part: PartId,
        parts: &PromptParts,
        is_prober: impl Fn(PartId) -> bool,
        now: EpochMillis,
    ) -> PartAdmission {
        let on_probation = matches!(self.state, VerdictState::Probation(_));
        let is_probing = matches!(self.state, VerdictState::Probing(_));
        let may_probe = !is_probing
            && !self.group.is_on_trial(now)
            && is_prober(self.group.lead(part));
        let tells_apart = !self.group.is_whole_in(parts);
        if tells_apart && (on_probation || !self.group.is_exhausted()) {
            return match may_probe {
                true => PartAdmission::Probe(part),
                false => PartAdmission::Await(part),
            };
        }
        match on_probation && may_probe {
            true => PartAdmission::Probe(part),
            false => PartAdmission::Reject(part),
        }
    }
}

impl SuspectLedger {
    /// Decides whether a call may be sent to a runner. `is_prober` says
    /// whether this host is the one that probes a part. A call with all parts of
    /// an ambiguity group is known to have the cause; one with only some of them
    /// may be sent to tell them apart, one at a time.
    pub fn admit(
        &mut self,
        parts: &PromptParts,
        is_prober: impl Fn(PartId) -> bool,
        now: EpochMillis,
    ) -> PartAdmission {
        let mut admission = PartAdmission::Admit;
        if self.verdicts.is_empty() {
            return admission;
        }
        for part in parts.iter() {
            let Some(held) = self.verdicts.get_mut(&part) else { continue };
            let Some(mut state) = held.state.advance(now) else { continue };
            state.touch(now);
            held.state = state;
            match held.decide(part, parts, &is_prober, now) {
                PartAdmission::Admit => {}
                PartAdmission::Probe(part) => {
                    admission = PartAdmission::Probe(part);
                }
                refused => return refused,
            }
        }
        admission
    }

    /// Records that a call with these parts was sent as the probe of a part.
    pub fn begin_probe(
        &mut self,
        part: PartId,
        parts: &PromptParts,
        now: EpochMillis,
    ) {
        let Some(held) = self.verdicts.get_mut(&part) else { return };
        if !held.group.is_whole_in(parts) {
            self.begin_trial(part, now);
        } else if let VerdictState::Probation(verdict) = held.state {
            held.state = VerdictState::Probing(verdict.probe(now));
        }
    }

    /// Records the end of a call that says nothing of its parts, for the case
    /// that it was a probe.
    pub fn record_neutral(&mut self, parts: &PromptParts, now: EpochMillis) {
        if self.verdicts.is_empty() {
            return;
        }
        for part in parts.iter() {
            if let Some(held) = self.verdicts.get_mut(&part)
                && let VerdictState::Probing(verdict) = held.state
            {
                held.state = VerdictState::Probation(verdict.undecided(now));
            }
        }
        self.end_trials(parts, now);
    }

    /// Returns whether a call that was sent to a runner may be sent to another
    /// one: no part of its prompt may be the cause of the first one's end.
    pub fn allows_further_send(&self, parts: &PromptParts) -> bool {
        let mut parts = parts.iter();
        parts.all(|part| self.trials(part, None).trials < TRIALS_TO_HOLD)
    }
}
