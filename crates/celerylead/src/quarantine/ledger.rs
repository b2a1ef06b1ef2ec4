//! The evidence that one host has, and the verdicts that it knows.

use std::{cmp::Reverse, time::Duration};

use serde::{Deserialize, Serialize};

use super::{
    crash::{CrashLog, CrashWitness, TrialCount},
    part::{PartId, SharedParts},
    report::{
        ClearanceBasis, ClearanceRow, CrashRow, EvidenceReport, SignRow,
        VerdictRow, WitnessRow,
    },
    signs::{RunnerSign, SignLog},
    sound::SoundLog,
    verdict::{MAX_TERM, PartVerdict, VerdictState},
};
use crate::{clock::EpochMillis, roster::RunnerStart, sorted::SortedTable};

/// Trials after which a part is rejected. Two may be a coincidence: a rare
/// sound part may meet two crashes of other causes before its next answer.
pub const TRIALS_TO_REJECT: u32 = 3;
/// Trials from which a call isn't sent again after its runner ended.
const TRIALS_TO_HOLD: u32 = 2;
/// Time for which news is repeated to the other hosts, each of which is sent
/// gossip at least twice within it.
const REPEAT_TIME: Duration = Duration::from_millis(1_000);
/// Time in which each other host is sent gossip at least once.
const ROUND_TIME: Duration = Duration::from_millis(440);
/// Shortest time between two repetitions of a verdict in force, for hosts that
/// have started or were cut off since.
const MIN_REPEAT_PERIOD: Duration = Duration::from_millis(1_000);
/// Time between two repetitions by host of the fleet: a host hears twenty a
/// second, however many hosts there are.
const REPEAT_PERIOD_PER_HOST: Duration = Duration::from_millis(50);
/// Difference between two ends of the same term that transfer may cause.
const TERM_TOLERANCE: Duration = Duration::from_millis(1_000);
/// Most parts with a verdict; further ones aren't rejected.
const MAX_VERDICTS: usize = 64;
/// Most suspected and most cleared parts; the oldest are forgotten first.
const MAX_SUSPECTS: usize = 512;
/// Time for which a clearance is remembered.
const CLEARANCE_MEMORY: Duration = Duration::from_secs(600);
/// Time for which news is gathered before it is told to all hosts at once.
const GATHER_TIME: Duration = Duration::from_millis(10);
/// Shortest time between two such tellings.
const MIN_TELL_PERIOD: Duration = Duration::from_millis(100);
/// Time for which a call that ended with its runner is weighed again: until the
/// end of the runner is settled and has been told.
const WEIGH_TIME: Duration = Duration::from_millis(2_000);
/// Most calls that are weighed again.
const MAX_UNSETTLED: usize = 64;
/// Most rows of each kind in a report.
const MAX_ROWS: usize = 48;

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
}

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
    /// A part isn't rejected, as too many are.
    TableFull(PartId),
}

/// A verdict, and how long this host repeats it to the others.
#[derive(Clone, Copy, Debug)]
struct HeldVerdict {
    state: VerdictState,
    repeat_until: EpochMillis,
}

/// When a suspected part was last seen to be sound.
#[derive(Clone, Copy, Debug)]
struct Clearance {
    at: EpochMillis,
    basis: ClearanceBasis,
    /// Not after the epoch for what another host saw.
    repeat_until: EpochMillis,
}

/// Evidence and verdicts of one host.
///
/// # Examples
///
/// ```
/// use celerylead::{
///     EpochMillis,
///     quarantine::{CrashWitness, PartAdmission, PartId},
///     quarantine::{SharedParts, SuspectLedger},
///     roster::RunnerStart,
/// };
///
/// let mut ledger = SuspectLedger::new(0.0, EpochMillis(0));
/// let parts = SharedParts::of_prompt([0xa, 0xb, 0xc]);
/// for crash in 1..=3 {
///     let start = RunnerStart { id: format!("i-{crash}"), born: None };
///     let sent_at = EpochMillis(crash * 1_000);
///     let witness =
///         CrashWitness { parts: parts.clone(), begun: true, sent_at };
///     ledger.record_crash(&start, &witness, EpochMillis(crash * 1_000 + 50));
/// }
/// // Nothing has shown since that the runners hadn't ended.
/// let now = EpochMillis(5_000);
/// ledger.report(1, now);
/// let admission = ledger.admit(&parts, |_| false, now);
/// assert_eq!(admission, PartAdmission::Reject(PartId(0xb)));
/// ```
#[derive(Debug)]
pub struct SuspectLedger {
    crashes: CrashLog,
    /// Calls that ended with a runner whose end isn't settled yet.
    unsettled: Vec<(CrashWitness, EpochMillis)>,
    signs: SignLog,
    /// Signs that are repeated to the other hosts, with the time of the sign
    /// and the time until which it is repeated.
    repeated_signs: Vec<(RunnerStart, RunnerSign, [EpochMillis; 2])>,
    sound: SoundLog,
    /// Parts of calls that ended with a runner and aren't cleared since, with
    /// the time at which the last such call was sent.
    suspects: SortedTable<PartId, EpochMillis>,
    cleared: SortedTable<PartId, Clearance>,
    verdicts: SortedTable<PartId, HeldVerdict>,
    /// Position of this host in the period of repetitions, from 0 to 1.
    phase: f64,
    /// Time from which the verdicts in force are repeated.
    repeat_at: EpochMillis,
    /// Time at which news is told to all other hosts at once, if there is any.
    tell_at: Option<EpochMillis>,
    /// Time until which further news waits.
    quiet_until: EpochMillis,
}

impl SuspectLedger {
    /// Creates an empty ledger. The `phase`, a random number from 0 to 1,
    /// spreads the hosts' repetitions.
    pub fn new(phase: f64, now: EpochMillis) -> SuspectLedger {
        SuspectLedger {
            crashes: CrashLog::default(),
            unsettled: Vec::new(),
            signs: SignLog::default(),
            repeated_signs: Vec::new(),
            sound: SoundLog::default(),
            suspects: SortedTable::default(),
            cleared: SortedTable::default(),
            verdicts: SortedTable::default(),
            phase,
            repeat_at: now,
            tell_at: None,
            quiet_until: now,
        }
    }

    /// Records that a call of this host ended with its runner.
    pub fn record_crash(
        &mut self,
        start: &RunnerStart,
        witness: &CrashWitness,
        now: EpochMillis,
    ) -> Vec<LedgerEvent> {
        let mut witness = witness.clone();
        let sound = &self.sound;
        witness.parts.retain(|part| {
            sound.last(part).is_none_or(|at| at < witness.sent_at)
        });
        let repeat_until = now.after(REPEAT_TIME);
        if !witness.parts.is_empty() {
            self.tell_soon(now);
        }
        self.add_witness(start, &witness, (now, repeat_until), now)
    }

    /// Returns the time at which the other hosts are to be told the news without
    /// waiting for their turn, if there is any.
    pub fn tell_at(&self) -> Option<EpochMillis> {
        self.tell_at
    }

    /// Notes that the other hosts are told the news now.
    pub fn begin_telling(&mut self, now: EpochMillis) {
        self.tell_at = None;
        self.quiet_until = now.after(MIN_TELL_PERIOD);
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
        if !self.apply_sign(start, sign, at) {
            return Vec::new();
        }
        self.repeat_sign(start, sign, [at, now.after(REPEAT_TIME)]);
        if sign == RunnerSign::Refused {
            self.tell_soon(now);
        }
        self.weigh(now)
    }

    /// Records that an answer of this host went on.
    pub fn record_sound(
        &mut self,
        parts: &SharedParts,
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
    pub fn record_neutral(&mut self, parts: &SharedParts, now: EpochMillis) {
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
    }

    /// Applies what another host reports.
    pub fn merge(
        &mut self,
        report: &EvidenceReport,
        now: EpochMillis,
    ) -> Vec<LedgerEvent> {
        let ago = |ms| now.before(Duration::from_millis(ms));
        let mut events = Vec::new();
        for ClearanceRow { part, ago_ms, basis } in &report.cleared {
            let cleared = (ago(*ago_ms), *basis);
            let unrepeated = EpochMillis::default();
            events.extend(self.clear(*part, cleared, unrepeated));
        }
        for SignRow { start, sign, ago_ms } in &report.signs {
            let at = ago(*ago_ms);
            self.signs.record(start, *sign, at);
            self.apply_sign(start, *sign, at);
        }
        for CrashRow { start, ended_ago_ms, witnesses } in &report.crashes {
            for WitnessRow { parts, begun, sent_ago_ms } in witnesses {
                let witness = CrashWitness {
                    parts: parts.clone(),
                    begun: *begun,
                    sent_at: ago(*sent_ago_ms),
                };
                let ended = (ago(*ended_ago_ms), EpochMillis::default());
                events.extend(self.add_witness(start, &witness, ended, now));
            }
        }
        for row in &report.verdicts {
            events.extend(self.adopt(row, now));
        }
        events.extend(self.weigh(now));
        events
    }

    /// Decides whether a call may be sent to a runner. `is_prober` says
    /// whether this host is the one that probes a part.
    pub fn admit(
        &mut self,
        parts: &SharedParts,
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
            let on_probation = matches!(state, VerdictState::Probation(_));
            if !on_probation || !is_prober(part) {
                return PartAdmission::Reject(part);
            }
            admission = PartAdmission::Probe(part);
        }
        admission
    }

    /// Records that a call was sent as the probe of a part.
    pub fn begin_probe(&mut self, part: PartId, now: EpochMillis) {
        if let Some(held) = self.verdicts.get_mut(&part)
            && let VerdictState::Probation(verdict) = held.state
        {
            held.state = VerdictState::Probing(verdict.probe(now));
        }
    }

    /// Returns whether a call that was sent to a runner may be sent to another
    /// one: no part of its prompt may be the cause of the first one's end.
    pub fn allows_further_send(&self, parts: &SharedParts) -> bool {
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

    /// Returns what the other hosts, `hosts` with this one, should be told,
    /// and makes the transitions that are due.
    pub fn report(
        &mut self,
        hosts: usize,
        now: EpochMillis,
    ) -> (EvidenceReport, Vec<LedgerEvent>) {
        let mut events = self.advance(now);
        events.extend(self.weigh(now));
        let repeats_all = self.repeat_at <= now;
        let period = MIN_REPEAT_PERIOD
            .max(REPEAT_PERIOD_PER_HOST * u32::try_from(hosts).unwrap_or(1));
        if self.repeat_at.after(ROUND_TIME) <= now {
            // The first pause has a random length, so that hosts which adopted
            // a verdict together don't repeat it together.
            let pause = period.mul_f64(0.5 + self.phase);
            self.phase = 0.5;
            self.repeat_at = now.after(pause);
        }
        let repeated = |until: EpochMillis| now < until;
        let ago = |at: EpochMillis| at.until(now).as_millis() as u64;
        let verdicts = self.verdicts.iter().filter(|(_, held)| {
            held.state.until().is_some()
                && (repeats_all || repeated(held.repeat_until))
        });
        let verdicts = verdicts
            .map(|(part, held)| verdict_row(*part, &held.state, now))
            .take(MAX_ROWS)
            .collect();
        let cleared = self.cleared.iter();
        let cleared = cleared.filter(|(_, held)| repeated(held.repeat_until));
        let cleared = cleared
            .map(|(part, held)| ClearanceRow {
                part: *part,
                ago_ms: ago(held.at),
                basis: held.basis,
            })
            .take(MAX_ROWS)
            .collect();
        let signs = self.repeated_signs.iter();
        let signs = signs
            .map(|(start, sign, [at, _])| SignRow {
                start: start.clone(),
                sign: *sign,
                ago_ms: ago(*at),
            })
            .collect();
        let mut crashes: Vec<CrashRow> = Vec::new();
        let repeated = self.crashes.repeated(now).take(MAX_ROWS);
        for (start, ended_at, witness) in repeated {
            let row = WitnessRow {
                parts: witness.parts.clone(),
                begun: witness.begun,
                sent_ago_ms: ago(witness.sent_at),
            };
            match crashes.last_mut() {
                Some(last) if last.start == *start => last.witnesses.push(row),
                _ => crashes.push(CrashRow {
                    start: start.clone(),
                    ended_ago_ms: ago(ended_at),
                    witnesses: vec![row],
                }),
            }
        }
        (EvidenceReport { crashes, signs, cleared, verdicts }, events)
    }

    /// Adds a call that ended with its runner, and weighs its parts. `ended`
    /// holds the time of the end and the time until which it is repeated.
    fn add_witness(
        &mut self,
        start: &RunnerStart,
        witness: &CrashWitness,
        ended: (EpochMillis, EpochMillis),
        now: EpochMillis,
    ) -> Vec<LedgerEvent> {
        let (ended_at, repeat_until) = ended;
        if witness.parts.is_empty() {
            return Vec::new();
        }
        if let Some(answered) = self.signs.last(start, RunnerSign::Answered)
            && ended_at < answered
        {
            let times = [answered, now.after(REPEAT_TIME)];
            self.repeat_sign(start, RunnerSign::Answered, times);
            return Vec::new();
        }
        if !self.crashes.record(start, witness, ended_at, repeat_until) {
            return Vec::new();
        }
        if let Some(refused) = self.signs.last(start, RunnerSign::Refused)
            && self.crashes.confirm(start, refused)
        {
            let times = [refused, now.after(REPEAT_TIME)];
            self.repeat_sign(start, RunnerSign::Refused, times);
        }
        for part in witness.parts.iter() {
            self.suspect(part, witness.sent_at, now);
        }
        if MAX_UNSETTLED <= self.unsettled.len() {
            self.unsettled.remove(0);
        }
        self.unsettled.push((witness.clone(), now.after(WEIGH_TIME)));
        self.weigh(now)
    }

    /// Lets the other hosts be told the news at once. What a crash ends within
    /// moments is told together.
    fn tell_soon(&mut self, now: EpochMillis) {
        let at = now.after(GATHER_TIME).max(self.quiet_until);
        self.tell_at.get_or_insert(at);
    }

    /// Applies a sign to the crash of its runner, if there is one. Returns
    /// whether that is new.
    fn apply_sign(
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

    /// Repeats a sign to the other hosts.
    fn repeat_sign(
        &mut self,
        start: &RunnerStart,
        sign: RunnerSign,
        times: [EpochMillis; 2],
    ) {
        self.repeated_signs
            .retain(|(known, kind, _)| known != start || *kind != sign);
        if self.repeated_signs.len() < MAX_ROWS {
            self.repeated_signs.push((start.clone(), sign, times));
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
    /// part that explains the crashes best, if one has enough trials, and then
    /// the best for those crashes that it doesn't explain.
    fn weigh(&mut self, now: EpochMillis) -> Vec<LedgerEvent> {
        let mut events = Vec::new();
        self.unsettled.retain(|(_, until)| now < *until);
        let parts = self.unsettled_parts();
        for (part, _) in &parts {
            if self.verdicts.get(part).is_some() {
                events.extend(self.confirm(*part, now));
            }
        }
        while let Some((part, count)) = self.best_explanation(&parts, now) {
            if MAX_VERDICTS <= self.verdicts.len() {
                events.push(LedgerEvent::TableFull(part));
                break;
            }
            let verdict =
                PartVerdict::first(part, count.trials, count.sent_at, now);
            let state = VerdictState::Rejected(verdict);
            let repeat_until = now.after(REPEAT_TIME);
            self.verdicts.insert(part, HeldVerdict { state, repeat_until });
            self.tell_soon(now);
            events.push(LedgerEvent::Rejected(verdict_row(part, &state, now)));
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

    /// Returns the part with enough trials that explains the crashes best: the
    /// one with most trials, then one on which no answer is known to have gone
    /// on, then the deepest in its prompt, which the fewest calls share.
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
            .filter(|(_, _, count)| TRIALS_TO_REJECT <= count.trials);
        let best = counted.max_by_key(|(part, depth, count)| {
            let was_sound = self.cleared.get(part).is_some();
            (count.trials, Reverse(was_sound), *depth)
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
        held.state = VerdictState::Rejected(held.state.renew(sent_at, now));
        held.repeat_until = now.after(REPEAT_TIME);
        Some(LedgerEvent::Rejected(verdict_row(part, &held.state, now)))
    }

    /// Adopts a verdict of another host, unless this host knows better.
    fn adopt(
        &mut self,
        row: &VerdictRow,
        now: EpochMillis,
    ) -> Option<LedgerEvent> {
        let sent_at = now.before(Duration::from_millis(row.sent_ago_ms));
        let left = Duration::from_millis(row.left_ms).min(MAX_TERM);
        let until = now.after(left);
        if let Some(held) = self.cleared.get_mut(&row.part)
            && sent_at <= held.at
        {
            held.repeat_until = now.after(REPEAT_TIME);
            return None;
        }
        if let Some(held) = self.verdicts.get(&row.part) {
            let is_longer = held
                .state
                .until()
                .is_some_and(|own| own.after(TERM_TOLERANCE) < until);
            if row.terms <= held.state.counts().1 && !is_longer {
                return None;
            }
        } else if MAX_VERDICTS <= self.verdicts.len() {
            return Some(LedgerEvent::TableFull(row.part));
        }
        let VerdictRow { part, trials, terms, .. } = *row;
        let verdict =
            PartVerdict::reported(part, (trials, terms), sent_at, until);
        let state = VerdictState::Rejected(verdict);
        let repeat_until = EpochMillis::default();
        self.verdicts.insert(part, HeldVerdict { state, repeat_until });
        Some(LedgerEvent::Adopted(*row))
    }

    /// Records that a part was cleared at a time, and on what basis.
    fn clear(
        &mut self,
        part: PartId,
        (at, basis): (EpochMillis, ClearanceBasis),
        repeat_until: EpochMillis,
    ) -> Option<LedgerEvent> {
        if basis == ClearanceBasis::Operator {
            self.crashes.settle(part, at);
        }
        let held =
            self.cleared.entry(part, || Clearance { at, basis, repeat_until });
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

    fn cleared_at(&self, part: PartId) -> Option<EpochMillis> {
        self.cleared.get(&part).map(|held| held.at)
    }

    /// Counts the trials of a part, without the crashes that a rejected part
    /// explains; with `settled_at`, those that are settled by then.
    fn trials(
        &self,
        part: PartId,
        settled_at: Option<EpochMillis>,
    ) -> TrialCount {
        if self.suspects.get(&part).is_none() {
            return TrialCount::default();
        }
        let is_explained = |parts: &SharedParts| {
            parts.iter().any(|other| {
                other != part && self.verdicts.get(&other).is_some()
            })
        };
        let cleared_at = self.cleared_at(part);
        self.crashes.trials(part, cleared_at, settled_at, is_explained)
    }

    /// Makes the transitions that are due.
    fn advance(&mut self, now: EpochMillis) -> Vec<LedgerEvent> {
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
        dropped
    }
}

/// Describes a verdict at `now`.
fn verdict_row(
    part: PartId,
    state: &VerdictState,
    now: EpochMillis,
) -> VerdictRow {
    let (trials, terms) = state.counts();
    let left = state.until().map_or(Duration::ZERO, |until| now.until(until));
    VerdictRow {
        part,
        trials,
        terms,
        sent_ago_ms: state.sent_at().until(now).as_millis() as u64,
        left_ms: left.as_millis() as u64,
    }
}
