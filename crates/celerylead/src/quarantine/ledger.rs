//! The evidence that one host has, and the verdicts that it knows.

use std::{cmp::Reverse, time::Duration};

use serde::{Deserialize, Serialize};

use super::{
    ambiguity::AmbiguityGroup,
    crash::{CrashLog, CrashWitness, PartEnd, TrialCount},
    exchange::{NewsSchedule, verdict_row},
    part::{PartId, PromptParts},
    report::{ClearanceBasis, VerdictRow},
    signs::{RunnerSign, SignLog},
    sound::SoundLog,
    unframed::UnframedEnds,
    verdict::{PartVerdict, VerdictState},
};
use crate::{clock::EpochMillis, roster::RunnerStart, sorted::SortedTable};

/// Trials after which a part is rejected. Two may be a coincidence: a rare
/// sound part may meet two crashes of other causes before its next answer.
pub const TRIALS_TO_REJECT: u32 = 3;
/// Trials after which a part is rejected on which an answer is known to have
/// gone on. Prompts share their first parts, which therefore gather the trials of
/// all deadly parts there are: with three of these, six trials before one of them
/// has enough.
const SOUND_TRIALS_TO_REJECT: u32 = 7;
/// Trials from which a call isn't sent again after its runner ended.
pub(super) const TRIALS_TO_HOLD: u32 = 2;
/// Time for which news is repeated to the other hosts, each of which is sent
/// gossip at least twice within it.
pub(super) const REPEAT_TIME: Duration = Duration::from_millis(1_000);
/// Most parts with a verdict; further ones aren't rejected.
pub(super) const MAX_VERDICTS: usize = 64;
/// Most suspected and most cleared parts; the oldest are forgotten first.
const MAX_SUSPECTS: usize = 512;
/// Difference that transfer may cause between the times of two events, as hosts
/// tell each other how long ago these were.
const TRANSFER_TOLERANCE: Duration = Duration::from_millis(50);
/// Time for which a clearance is remembered.
const CLEARANCE_MEMORY: Duration = Duration::from_secs(600);
/// Time for which a call that ended with its runner is weighed again: until the
/// end of the runner is settled and has been told.
const WEIGH_TIME: Duration = Duration::from_millis(2_000);
/// Most calls that are weighed again.
const MAX_UNSETTLED: usize = 64;

/// A change of what the ledger believes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerEvent {
    /// A part is rejected by this host's evidence.
    Rejected(VerdictRow),
    /// A part is rejected by another host's verdict.
    Adopted(VerdictRow),
    /// A part is no longer rejected, as an answer on it went on or an operator
    /// said so.
    Cleared(PartId),
    /// A verdict that concerned no call for long was dropped.
    Dropped(PartId),
    /// A crash without this part leaves those to reject that it had the same
    /// evidence as.
    Excluded(PartId),
    /// A part isn't rejected, as too many are.
    TableFull(PartId),
}

/// A verdict, and how long this host repeats it to the others.
#[derive(Clone, Debug)]
pub(super) struct HeldVerdict {
    pub(super) state: VerdictState,
    pub(super) group: AmbiguityGroup,
    pub(super) repeat_until: EpochMillis,
}

/// When a suspected part was last seen to be sound.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clearance {
    pub(super) at: EpochMillis,
    pub(super) basis: ClearanceBasis,
    /// Time up to which an operator has settled the crashes that ended a call
    /// with the part; the epoch without an operator.
    pub(super) settled_until: EpochMillis,
    /// Not after the epoch for what another host saw.
    pub(super) repeat_until: EpochMillis,
}

/// Evidence and verdicts of one host.
///
/// # Examples
///
/// ```
/// use celerylead::{
///     EpochMillis,
///     quarantine::{CrashWitness, PartAdmission, PartId},
///     quarantine::{PromptParts, SuspectLedger},
///     roster::RunnerStart,
/// };
///
/// let mut ledger = SuspectLedger::new(0.0, EpochMillis(0));
/// let sound = PromptParts::of_prompt([0xa, 0xc0]);
/// ledger.record_sound(&sound, EpochMillis(500));
/// for crash in 1..=3 {
///     let parts = PromptParts::of_prompt([0xa, 0xb, 0xc0 + crash]);
///     let start = RunnerStart { id: format!("i-{crash}"), born: None };
///     let sent_at = EpochMillis(crash * 1_000);
///     let witness =
///         CrashWitness { parts, is_partial: false, begun: true, sent_at };
///     ledger.record_crash(&start, &witness, EpochMillis(crash * 1_000 + 50));
/// }
/// // Nothing has shown since that the runners hadn't ended.
/// let now = EpochMillis(5_000);
/// ledger.report(1, now);
/// let parts = PromptParts::of_prompt([0xa, 0xb, 0xc0]);
/// let admission = ledger.admit(&parts, |_| false, now);
/// assert_eq!(admission, PartAdmission::Reject(PartId(0xb)));
/// ```
#[derive(Debug)]
pub struct SuspectLedger {
    pub(super) crashes: CrashLog,
    /// Calls that ended with a runner whose end isn't settled yet.
    unsettled: Vec<(CrashWitness, EpochMillis)>,
    pub(super) signs: SignLog,
    pub(super) sound: SoundLog,
    pub(super) unframed: UnframedEnds,
    /// Parts of calls that ended with a runner and aren't cleared since, with
    /// the time at which the last such call was sent.
    pub(super) suspects: SortedTable<PartId, EpochMillis>,
    pub(super) cleared: SortedTable<PartId, Clearance>,
    pub(super) verdicts: SortedTable<PartId, HeldVerdict>,
    pub(super) news: NewsSchedule,
    /// Time until which other hosts may still tell which parts were sound.
    learns_until: EpochMillis,
}

impl SuspectLedger {
    /// Creates an empty ledger. The `phase`, a random number from 0 to 1,
    /// spreads the hosts' repetitions.
    pub fn new(phase: f64, now: EpochMillis) -> SuspectLedger {
        SuspectLedger {
            crashes: CrashLog::default(),
            unsettled: Vec::new(),
            signs: SignLog::default(),
            sound: SoundLog::default(),
            unframed: UnframedEnds::default(),
            suspects: SortedTable::default(),
            cleared: SortedTable::default(),
            verdicts: SortedTable::default(),
            news: NewsSchedule::new(phase, now),
            learns_until: now,
        }
    }

    /// Takes every part for one that was sound until this time, as the other
    /// hosts of a host that has just started know more.
    pub fn learn_until(&mut self, until: EpochMillis) {
        self.learns_until = until;
    }

    /// Records that a call of this host ended with its runner.
    pub fn record_crash(
        &mut self,
        start: &RunnerStart,
        witness: &CrashWitness,
        now: EpochMillis,
    ) -> Vec<LedgerEvent> {
        let witness = self.suspects_of(witness);
        let repeat_until = now.after(REPEAT_TIME);
        if !witness.parts.is_empty() {
            self.news.tell_soon(now);
        }
        self.settle_trials(&witness.parts, now);
        self.add_witness(start, &witness, (now, repeat_until), now);
        self.weigh(now)
    }

    /// Records what a start of a runner did towards this host.
    pub fn record_sign(
        &mut self,
        start: &RunnerStart,
        sign: RunnerSign,
        at: EpochMillis,
        now: EpochMillis,
    ) -> Vec<LedgerEvent> {
        self.signs.record(start, sign, at);
        let mut events = self.explain_unframed(start, sign, at, now);
        if !self.apply_sign(start, sign, at) {
            return events;
        }
        self.news.repeat_sign(start, sign, [at, now.after(REPEAT_TIME)]);
        if sign == RunnerSign::Refused {
            self.news.tell_soon(now);
        }
        events.extend(self.weigh(now));
        events
    }

    /// Records that an answer of this host went on.
    pub fn record_sound(
        &mut self,
        parts: &PromptParts,
        now: EpochMillis,
    ) -> Vec<LedgerEvent> {
        self.sound.record(parts, now);
        let mut events = Vec::new();
        for part in parts.iter() {
            if self.suspects.get(&part).is_some()
                || self.verdicts.get(&part).is_some()
            {
                let cleared = (now, ClearanceBasis::SoundAnswer);
                let repeat_until = now.after(REPEAT_TIME);
                events.extend(self.clear(part, cleared, repeat_until));
            }
        }
        events
    }

    /// Ends the verdict on a part, as an operator asks for, and on those that
    /// have the same evidence.
    pub fn lift(
        &mut self,
        part: PartId,
        now: EpochMillis,
    ) -> Vec<LedgerEvent> {
        let Some(held) = self.verdicts.get(&part) else { return Vec::new() };
        let cleared = (now, ClearanceBasis::Operator);
        let repeat_until = now.after(REPEAT_TIME);
        let members = held.group.members(part).into_iter();
        members
            .filter_map(|member| self.clear(member, cleared, repeat_until))
            .collect()
    }

    /// Iterates over the verdicts in force, sorted by part.
    pub fn verdicts(
        &self,
        now: EpochMillis,
    ) -> impl Iterator<Item = VerdictRow> {
        let verdicts = self.verdicts.iter();
        verdicts.map(move |(part, held)| verdict_row(*part, &held.state, now))
    }

    /// Returns the verdict on a part, if one is in force.
    pub fn verdict(
        &self,
        part: PartId,
        now: EpochMillis,
    ) -> Option<VerdictRow> {
        let held = self.verdicts.get(&part)?;
        Some(verdict_row(part, &held.state, now))
    }

    /// Returns the parts that the crashes can't tell a rejected part from.
    pub fn others_of(&self, part: PartId) -> PromptParts {
        let held = self.verdicts.get(&part);
        let others = held.map_or(&[][..], |held| held.group.others());
        PromptParts::of_prompt(others.iter().map(|part| part.0))
    }

    /// Adds a call that ended with its runner. `ended` holds the time of the end
    /// and the time until which it is repeated.
    pub(super) fn add_witness(
        &mut self,
        start: &RunnerStart,
        witness: &CrashWitness,
        ended: (EpochMillis, EpochMillis),
        now: EpochMillis,
    ) {
        let (ended_at, repeat_until) = ended;
        if witness.parts.is_empty() || self.is_settled(witness, ended_at) {
            return;
        }
        if let Some(answered) = self.signs.last(start, RunnerSign::Answered)
            && ended_at < answered
        {
            let times = [answered, now.after(REPEAT_TIME)];
            self.news.repeat_sign(start, RunnerSign::Answered, times);
            return;
        }
        if !self.crashes.record(start, witness, ended_at, repeat_until) {
            return;
        }
        if let Some(refused) = self.signs.last(start, RunnerSign::Refused)
            && self.crashes.confirm(start, refused)
        {
            let times = [refused, now.after(REPEAT_TIME)];
            self.news.repeat_sign(start, RunnerSign::Refused, times);
        }
        for part in witness.parts.iter() {
            self.suspect(part, witness.sent_at, now);
        }
        if MAX_UNSETTLED <= self.unsettled.len() {
            self.unsettled.remove(0);
        }
        self.unsettled.push((witness.clone(), now.after(WEIGH_TIME)));
    }

    /// Applies a sign to the crash of its runner, if there is one. Returns
    /// whether that is new.
    pub(super) fn apply_sign(
        &mut self,
        start: &RunnerStart,
        sign: RunnerSign,
        at: EpochMillis,
    ) -> bool {
        match sign {
            RunnerSign::Answered => self.crashes.disprove(start, at),
            RunnerSign::Refused => self.crashes.confirm(start, at),
        }
    }

    /// Suspects a part, unless an answer on it went on since the call was sent.
    fn suspect(
        &mut self,
        part: PartId,
        sent_at: EpochMillis,
        now: EpochMillis,
    ) {
        if let Some(at) = self.sound.last(part)
            && self.cleared.get(&part).is_none_or(|held| held.at < sent_at)
        {
            // An earlier answer doesn't clear the part, but tells it from one
            // on which no answer ever went on.
            let cleared = (at, ClearanceBasis::SoundAnswer);
            self.clear(part, cleared, now.after(REPEAT_TIME));
        }
        if self.cleared_at(part).is_some_and(|at| sent_at <= at) {
            return;
        }
        let last = self.suspects.entry(part, || sent_at);
        *last = sent_at.max(*last);
        if MAX_SUSPECTS < self.suspects.len() {
            let oldest = self.suspects.iter().min_by_key(|(_, at)| **at);
            if let Some(part) = oldest.map(|(part, _)| *part) {
                self.suspects.remove(&part);
            }
        }
    }

    /// Weighs the calls whose runners' ends may be settled by now. Rejects the
    /// part that explains the crashes best, if one has enough trials, with those
    /// that the crashes can't be told from, and then the best for those crashes
    /// that it doesn't explain.
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
        events.extend(self.narrow_groups(now));
        while let Some((part, count)) = self.best_explanation(&parts, now) {
            let members = self.ambiguous_with(part, &parts, now);
            if MAX_VERDICTS < self.verdicts.len() + members.len() {
                events.push(LedgerEvent::TableFull(part));
                break;
            }
            let repeat_until = now.after(REPEAT_TIME);
            for member in &members {
                let TrialCount { trials, sent_at, .. } = count;
                let verdict = PartVerdict::first(trials, sent_at, now);
                let state = VerdictState::Rejected(verdict);
                let group = AmbiguityGroup::of(*member, &members, sent_at);
                let held = HeldVerdict { state, group, repeat_until };
                self.verdicts.insert(*member, held);
                let row = verdict_row(*member, &state, now);
                events.push(LedgerEvent::Rejected(row));
            }
            self.news.tell_soon(now);
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

    /// Applies another crash to a part with a verdict. During its term the
    /// crash is due to a call that was under way; after it, to a probe.
    fn confirm(
        &mut self,
        part: PartId,
        now: EpochMillis,
    ) -> Option<LedgerEvent> {
        let TrialCount { sent_at, .. } = self.trials(part, Some(now));
        let held = self.verdicts.get_mut(&part)?;
        if sent_at <= held.state.sent_at() {
            return None;
        }
        if let VerdictState::Rejected(verdict) = &mut held.state {
            verdict.sent_at = sent_at;
            return None;
        }
        let state = VerdictState::Rejected(held.state.renew(sent_at, now));
        held.state = state;
        held.repeat_until = now.after(REPEAT_TIME);
        self.widen_group(part, sent_at);
        Some(LedgerEvent::Rejected(verdict_row(part, &state, now)))
    }

    /// Records that a part was cleared at a time, and on what basis.
    pub(super) fn clear(
        &mut self,
        part: PartId,
        (at, basis): (EpochMillis, ClearanceBasis),
        repeat_until: EpochMillis,
    ) -> Option<LedgerEvent> {
        if basis == ClearanceBasis::Operator {
            self.crashes.settle(part, at);
        }
        let held = self.cleared.entry(part, || Clearance {
            at,
            basis,
            settled_until: EpochMillis::default(),
            repeat_until,
        });
        if basis == ClearanceBasis::Operator {
            held.settled_until = held.settled_until.max(at);
        }
        if held.at <= at {
            held.at = at;
            held.basis = basis;
        }
        held.repeat_until = repeat_until.max(held.repeat_until);
        if self.suspects.get(&part).is_some_and(|sent_at| *sent_at <= at) {
            self.suspects.remove(&part);
        }
        if MAX_SUSPECTS < self.cleared.len() {
            let oldest = self.cleared.iter().min_by_key(|(_, held)| held.at);
            if let Some(part) = oldest.map(|(part, _)| *part) {
                self.cleared.remove(&part);
            }
        }
        if self.verdicts.get(&part)?.state.sent_at() <= at {
            self.remove_verdict(part);
            return Some(LedgerEvent::Cleared(part));
        }
        None
    }

    /// Returns whether an operator has settled the crash that ended a call, as
    /// it is told only now.
    fn is_settled(
        &self,
        witness: &CrashWitness,
        ended_at: EpochMillis,
    ) -> bool {
        witness.parts.iter().any(|part| {
            let held = self.cleared.get(&part);
            held.is_some_and(|held| {
                ended_at <= held.settled_until.after(TRANSFER_TOLERANCE)
                    && held.settled_until != EpochMillis::default()
            })
        })
    }

    fn cleared_at(&self, part: PartId) -> Option<EpochMillis> {
        self.cleared.get(&part).map(|held| held.at)
    }

    /// Returns the crashes that may be due to a part, without those that a part
    /// with a verdict explains; with `settled_at`, those that are settled by then.
    pub(super) fn ends_of(
        &self,
        part: PartId,
        settled_at: Option<EpochMillis>,
    ) -> Vec<PartEnd<'_>> {
        if self.suspects.get(&part).is_none() {
            return Vec::new();
        }
        let is_explained = |parts: &PromptParts| self.explains(part, parts);
        let cleared_at = self.cleared_at(part);
        let was_sound = |part| self.was_sound(part);
        let crashes = &self.crashes;
        crashes.ends_of(part, cleared_at, settled_at, is_explained, was_sound)
    }

    /// Returns whether a verdict explains the end of a call with these parts
    /// without `part`: the call has all parts of another group.
    fn explains(&self, part: PartId, parts: &PromptParts) -> bool {
        parts.iter().any(|other| {
            let held = self.verdicts.get(&other);
            other != part
                && held.is_some_and(|held| {
                    !held.group.has(part) && held.group.is_whole_in(parts)
                })
        })
    }

    pub(super) fn trials(
        &self,
        part: PartId,
        settled_at: Option<EpochMillis>,
    ) -> TrialCount {
        TrialCount::of(&self.ends_of(part, settled_at))
    }

    /// Makes the transitions that are due.
    pub(super) fn advance(&mut self, now: EpochMillis) -> Vec<LedgerEvent> {
        let mut dropped = Vec::new();
        for (part, held) in self.verdicts.iter_mut() {
            match held.state.advance(now) {
                Some(state) => held.state = state,
                None => dropped.push(*part),
            }
        }
        for part in &dropped {
            self.remove_verdict(*part);
        }
        self.cleared.retain(|_, held| now < held.at.after(CLEARANCE_MEMORY));
        self.news.advance(now);
        dropped.into_iter().map(LedgerEvent::Dropped).collect()
    }
}
