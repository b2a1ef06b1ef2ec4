//! Weighing of the evidence: which part explains the crashes, and which verdicts a
//! probe has confirmed.

use std::{cmp::Reverse, time::Duration};

use super::{
    crash::TrialCount,
    exchange::verdict_row,
    ledger::{
        HeldVerdict, LedgerEvent, MAX_VERDICTS, REPEAT_TIME, SuspectLedger,
        TRIALS_TO_HOLD,
    },
    part::{PartId, PromptParts},
    verdict::{PartVerdict, VerdictState},
};
use crate::{clock::EpochMillis, sorted::SortedTable};

/// Trials after which a part is rejected. Two may be a coincidence: a rare
/// sound part may meet two crashes of other causes before its next answer.
pub const TRIALS_TO_REJECT: u32 = 3;
/// Trials after which a part is rejected on which an answer is known to have
/// gone on. Prompts share their first parts, which therefore gather the trials of
/// all deadly parts there are: with three of these, six trials before one of them
/// has enough.
const SOUND_TRIALS_TO_REJECT: u32 = 7;
/// Trials after which a probe confirms a verdict while runners end for other
/// causes, as the runner of a sound probe may.
const TRIALS_AMID_OTHERS: u32 = 5;
/// Crashes of other causes within [`OTHERS_TIME`] from which a probe's may be one
/// of them. A second deadly part has a verdict of its own by then.
const MIN_OTHERS: usize = 3;
/// Time for which a crash of another cause counts.
const OTHERS_TIME: Duration = Duration::from_secs(10);

impl SuspectLedger {
    /// Weighs the calls whose runners' ends may be settled by now. Suspends the
    /// part that explains the crashes best, if one has enough trials, and then
    /// the best for those crashes that it doesn't explain.
    pub(super) fn weigh(&mut self, now: EpochMillis) -> Vec<LedgerEvent> {
        let mut events = Vec::new();
        self.unsettled.retain(|(_, until)| now < *until);
        if self.unsettled.is_empty() {
            return events;
        }
        let parts = self.unsettled_parts();
        for (part, _) in &parts {
            if self.verdicts.get(part).is_some() {
                events.extend(self.confirm(*part, now));
            }
        }
        while let Some((part, count)) = self.best_explanation(&parts, now) {
            let verdict =
                PartVerdict::first(part, count.trials, count.sent_at, now);
            let state = VerdictState::Suspended(verdict);
            let event = self.pronounce(part, state, now);
            events.push(event);
            if event == LedgerEvent::TableFull(part) {
                break;
            }
        }
        events
    }

    /// Returns the parts of the unsettled calls, each with its greatest depth in
    /// a prompt.
    fn unsettled_parts(&self) -> Vec<(PartId, usize)> {
        let mut depths: SortedTable<PartId, usize> = SortedTable::default();
        for (witness, _) in &self.unsettled {
            for (depth, part) in witness.parts.iter().enumerate() {
                let greatest = depths.entry(part, || depth);
                *greatest = depth.max(*greatest);
            }
        }
        depths.iter().map(|(part, depth)| (*part, *depth)).collect()
    }

    /// Returns the part with enough trials that explains the crashes best: one
    /// on which no answer is known to have gone on, then the one with most
    /// trials, then the deepest in its prompt, which the fewest calls share.
    fn best_explanation(
        &self,
        parts: &[(PartId, usize)],
        now: EpochMillis,
    ) -> Option<(PartId, TrialCount)> {
        let unjudged =
            parts.iter().filter(|(part, _)| self.verdicts.get(part).is_none());
        let counted = unjudged
            .map(|(part, depth)| {
                (*part, *depth, self.trials(*part, Some(now)))
            })
            .filter(|(part, _, count)| {
                let is_learning = now < self.learns_until;
                let needed = match is_learning || self.was_sound(*part) {
                    true => SOUND_TRIALS_TO_REJECT,
                    false => TRIALS_TO_REJECT,
                };
                needed <= count.trials
            });
        let best = counted.max_by_key(|(part, depth, count)| {
            (Reverse(self.was_sound(*part)), count.trials, *depth)
        });
        // A sound part is no explanation where another part may be left out.
        let best = best.filter(|(part, _, count)| {
            !(count.is_partial && self.was_sound(*part))
        });
        best.map(|(part, _, count)| (part, count))
    }

    /// Applies another crash to a part with a verdict.
    fn confirm(&mut self, part: PartId, now: EpochMillis) -> Vec<LedgerEvent> {
        let count = self
            .trials_without(part, Some(now), |other| self.is_confirmed(other));
        let TrialCount { sent_at, .. } = count;
        let held = self.verdicts.get_mut(&part);
        let held = held.filter(|held| held.state.sent_at() < sent_at);
        let noted = held.and_then(|held| held.state.note_crash(sent_at));
        let Some(verdict) = noted else { return Vec::new() };
        let rivals = self.rivals(part, sent_at, now);
        let is_sure = TRIALS_AMID_OTHERS <= verdict.trials + 1
            || !self.has_other_crashes(part, now);
        let state = match (rivals.is_empty() && is_sure) || 1 < verdict.terms {
            true => VerdictState::Rejected(verdict.confirm(now)),
            false => VerdictState::Suspended(verdict.suspend(now)),
        };
        let mut events = vec![self.pronounce(part, state, now)];
        if let VerdictState::Suspended(_) = state {
            for (rival, count) in rivals {
                let trials = count.trials;
                let verdict = PartVerdict::first(rival, trials, sent_at, now);
                let state = VerdictState::Suspended(verdict);
                events.push(self.pronounce(rival, state, now));
            }
        }
        events
    }

    /// Puts a verdict in force and tells the other hosts.
    fn pronounce(
        &mut self,
        part: PartId,
        state: VerdictState,
        now: EpochMillis,
    ) -> LedgerEvent {
        if MAX_VERDICTS <= self.verdicts.len()
            && self.verdicts.get(&part).is_none()
        {
            return LedgerEvent::TableFull(part);
        }
        let repeat_until = now.after(REPEAT_TIME);
        self.verdicts.insert(part, HeldVerdict { state, repeat_until });
        self.news.tell_soon(now);
        LedgerEvent::Rejected(verdict_row(part, &state, now))
    }

    /// Returns the other parts of a probe that may have ended its runner: those
    /// with an unconfirmed verdict, or with enough trials for one. The last parts
    /// of calls are their own.
    fn rivals(
        &self,
        part: PartId,
        sent_at: EpochMillis,
        now: EpochMillis,
    ) -> Vec<(PartId, TrialCount)> {
        let mut probes = self.unsettled.iter().map(|(witness, _)| witness);
        let probe = probes.find(|witness| {
            witness.sent_at == sent_at && witness.parts.contains(part)
        });
        let Some(probe) = probe else { return Vec::new() };
        let others = probe.parts.shared().filter(|other| {
            *other != part
                && !self.was_sound(*other)
                && !self.is_confirmed(*other)
        });
        let counted = others.map(|other| {
            let explains = |third| self.is_confirmed(third);
            (other, self.trials_without(other, Some(now), explains))
        });
        counted
            .filter(|(other, count)| {
                TRIALS_TO_REJECT <= count.trials
                    || self.verdicts.get(other).is_some()
            })
            .collect()
    }

    /// Returns whether runners end for causes that no part explains: neither this
    /// one nor one with a verdict, nor one that may get a verdict.
    fn has_other_crashes(&self, part: PartId, now: EpochMillis) -> bool {
        let since = now.before(OTHERS_TIME);
        let others = self.crashes.count_without(since, |parts| {
            parts.iter().any(|other| {
                other == part
                    || self.verdicts.get(&other).is_some()
                    || (!self.was_sound(other)
                        && TRIALS_TO_HOLD <= self.trials(other, None).trials)
            })
        });
        MIN_OTHERS <= others
    }

    /// Returns whether a probe has confirmed a verdict on a part.
    fn is_confirmed(&self, part: PartId) -> bool {
        let held = self.verdicts.get(&part);
        held.is_some_and(|held| 1 < held.state.counts().1)
    }

    /// Counts the trials of a part, without the crashes that a part with a
    /// verdict explains; with `settled_at`, those that are settled by then.
    pub(super) fn trials(
        &self,
        part: PartId,
        settled_at: Option<EpochMillis>,
    ) -> TrialCount {
        self.trials_without(part, settled_at, |other| {
            self.verdicts.get(&other).is_some()
        })
    }

    /// Counts the trials of a part, without the crashes that another part of
    /// their calls explains.
    fn trials_without(
        &self,
        part: PartId,
        settled_at: Option<EpochMillis>,
        explains: impl Fn(PartId) -> bool,
    ) -> TrialCount {
        if self.suspects.get(&part).is_none() {
            return TrialCount::default();
        }
        let is_explained = |parts: &PromptParts| {
            parts.iter().any(|other| other != part && explains(other))
        };
        let cleared_at = self.cleared_at(part);
        let was_sound = |part| self.was_sound(part);
        self.crashes.trials(
            part,
            cleared_at,
            settled_at,
            is_explained,
            was_sound,
        )
    }
}
