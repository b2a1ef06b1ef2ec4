//! The evidence that one host has, and the verdicts that it knows.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{
    crash::{CrashLog, CrashWitness},
    exchange::{NewsSchedule, verdict_row},
    part::{PartId, PromptParts},
    report::{ClearanceBasis, VerdictRow},
    signs::{RunnerSign, SignLog},
    sound::SoundLog,
    unframed::UnframedEnds,
    verdict::VerdictState,
};
use crate::{clock::EpochMillis, roster::RunnerStart, sorted::SortedTable};

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
/// Difference that late messages may cause between the times of the same probe in
/// the verdicts on its parts.
const GROUP_TOLERANCE: Duration = Duration::from_millis(500);
/// Time for which a clearance is remembered.
const CLEARANCE_MEMORY: Duration = Duration::from_secs(600);
/// Time for which a call that ended with its runner is weighed again: until the
/// end of the runner is settled and has been told.
const WEIGH_TIME: Duration = Duration::from_millis(2_000);
/// Most calls that are weighed again.
const MAX_UNSETTLED: usize = 64;

/// What the ledger says of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PartAdmission {
    /// No part of its prompt is rejected.
    Admit,
    /// The call may be sent as the probe of this part.
    Probe(PartId),
    /// Whether this part crashes runners isn't confirmed yet, or is probed; a
    /// call may be admitted from this time on.
    Suspend(PartId, EpochMillis),
    /// This part is rejected.
    Reject(PartId),
}

/// A change of what the ledger believes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerEvent {
    /// A part is suspended or, after a probe, rejected by this host's evidence.
    Rejected(VerdictRow),
    /// A part is suspended or rejected by another host's verdict.
    Adopted(VerdictRow),
    /// A part is no longer rejected, as an answer on it went on or an operator
    /// said so.
    Cleared(PartId),
    /// A verdict that concerned no call for long was dropped.
    Dropped(PartId),
    /// A part isn't rejected, as too many are.
    TableFull(PartId),
}

/// A verdict, and how long this host repeats it to the others.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldVerdict {
    pub(super) state: VerdictState,
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
/// let admission = ledger.admit(&parts, |_| 0, now);
/// let until = EpochMillis(6_000);
/// assert_eq!(admission, PartAdmission::Suspend(PartId(0xb), until));
/// ```
#[derive(Debug)]
pub struct SuspectLedger {
    pub(super) crashes: CrashLog,
    /// Calls that ended with a runner whose end isn't settled yet.
    pub(super) unsettled: Vec<(CrashWitness, EpochMillis)>,
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
    pub(super) learns_until: EpochMillis,
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

    /// Ends the verdict on a part, as an operator asks for.
    pub fn lift(
        &mut self,
        part: PartId,
        now: EpochMillis,
    ) -> Option<LedgerEvent> {
        self.verdicts.get(&part)?;
        let basis = ClearanceBasis::Operator;
        self.clear(part, (now, basis), now.after(REPEAT_TIME))
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
                held.repeat_until = now.after(REPEAT_TIME);
                self.news.tell_soon(now);
            }
        }
    }

    /// Decides whether a call may be sent to a runner. `rank` tells how many
    /// hosts come before this one in probing a part.
    pub fn admit(
        &mut self,
        parts: &PromptParts,
        rank: impl Fn(PartId) -> usize,
        now: EpochMillis,
    ) -> PartAdmission {
        if self.verdicts.is_empty() {
            return PartAdmission::Admit;
        }
        let mut suspended: Option<(EpochMillis, PartId)> = None;
        let mut probed = None;
        for part in parts.iter() {
            let Some(held) = self.verdicts.get_mut(&part) else { continue };
            let Some(mut state) = held.state.advance(now) else { continue };
            state.touch(now);
            held.state = state;
            if let VerdictState::Probation(verdict) = state
                && verdict.may_probe(rank(part), now)
            {
                probed.get_or_insert(part);
                continue;
            }
            let Some(retry_at) = state.retry_at(now) else {
                return PartAdmission::Reject(part);
            };
            suspended = suspended.max(Some((retry_at, part)));
        }
        if let Some(part) = self.whole_group(parts) {
            return PartAdmission::Reject(part);
        }
        match (suspended, probed) {
            (Some((at, part)), _) => PartAdmission::Suspend(part, at),
            (None, Some(part)) => PartAdmission::Probe(part),
            (None, None) => PartAdmission::Admit,
        }
    }

    /// Returns a part of a call that has all parts of a probe that may have ended
    /// its runner. Such a call would end the next one, whichever part is the
    /// cause; one with fewer of them tells them apart.
    fn whole_group(&self, parts: &PromptParts) -> Option<PartId> {
        let unconfirmed = || {
            self.verdicts.iter().filter(|(_, held)| held.state.counts().1 <= 1)
        };
        let of_call = unconfirmed().filter(|(part, _)| parts.contains(**part));
        let mut of_call = of_call.map(|(part, held)| (*part, &held.state));
        let whole = of_call.find(|(_, state)| {
            let group = unconfirmed().filter(|(_, other)| {
                let gap = state.sent_at().0.abs_diff(other.state.sent_at().0);
                u128::from(gap) <= GROUP_TOLERANCE.as_millis()
            });
            let mut group = group.map(|(part, _)| *part);
            let size = group.clone().count();
            1 < size && group.all(|part| parts.contains(part))
        });
        whole.map(|(part, _)| part)
    }

    /// Records that a call was sent as the probe of a part.
    pub fn begin_probe(&mut self, part: PartId, now: EpochMillis) {
        if let Some(held) = self.verdicts.get_mut(&part)
            && let VerdictState::Probation(verdict) = held.state
        {
            held.state = VerdictState::Probing(verdict.probe(now));
            held.repeat_until = now.after(REPEAT_TIME);
            self.news.tell_soon(now);
        }
    }

    /// Returns whether a call that was sent to a runner may be sent to another
    /// one: no part of its prompt may be the cause of the first one's end.
    pub fn allows_further_send(&self, parts: &PromptParts) -> bool {
        let mut parts = parts.iter();
        parts.all(|part| self.trials(part, None).trials < TRIALS_TO_HOLD)
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
            self.verdicts.remove(&part);
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

    pub(super) fn cleared_at(&self, part: PartId) -> Option<EpochMillis> {
        self.cleared.get(&part).map(|held| held.at)
    }

    /// Makes the transitions that are due.
    pub(super) fn advance(&mut self, now: EpochMillis) -> Vec<LedgerEvent> {
        let mut dropped = Vec::new();
        self.verdicts.retain(|part, held| match held.state.advance(now) {
            Some(state) => {
                held.state = state;
                true
            }
            None => {
                dropped.push(LedgerEvent::Dropped(*part));
                false
            }
        });
        self.cleared.retain(|_, held| now < held.at.after(CLEARANCE_MEMORY));
        self.news.advance(now);
        dropped
    }
}
