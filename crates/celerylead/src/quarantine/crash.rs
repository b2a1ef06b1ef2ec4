//! Ends of runners, and the calls that ended with them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::part::{PartId, PromptParts};
use crate::{clock::EpochMillis, roster::RunnerStart, sorted::SortedTable};

/// Time for which a crash is remembered.
const MEMORY: Duration = Duration::from_secs(600);
/// Most crashes that are remembered; the oldest are forgotten first.
const MAX_CRASHES: usize = 64;
/// Most calls that are remembered of one crash.
const MAX_WITNESSES: usize = 32;
/// Time between two broken answers of the same runner from which the first one
/// can't have been its end: all connections of a runner that ends break
/// together, and reports of it arrive within moments.
const SAME_CRASH_TIME: Duration = Duration::from_millis(2_000);

/// Age from which a crash counts that no sign confirms or disproves: calls are
/// sent to a runner several times a second, and their hosts tell the others.
const SETTLE_TIME: Duration = Duration::from_millis(1_000);
/// Longest time by which a refused connection may precede the report of the
/// crash behind it.
const REFUSAL_LEAD: Duration = Duration::from_millis(2_000);

/// A call that ended with its runner before its answer had got anywhere.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CrashWitness {
    /// Parts of its prompt that are suspected.
    pub parts: PromptParts,
    /// Whether other parts of its prompt were left out, as there were too many.
    pub is_partial: bool,
    /// Whether the head of its answer had arrived, so that the runner had
    /// begun to answer it.
    pub begun: bool,
    /// Time at which the call was sent to the runner.
    pub sent_at: EpochMillis,
}

/// A witness, and how long this host repeats it to the others.
#[derive(Clone, Debug)]
struct HeldWitness {
    witness: CrashWitness,
    /// Not after the epoch for what another host saw.
    repeat_until: EpochMillis,
}

/// The end of one start of a runner.
#[derive(Clone, Debug)]
struct CrashRecord {
    ended_at: EpochMillis,
    /// Whether the runner was seen to be down.
    is_confirmed: bool,
    witnesses: Vec<HeldWitness>,
}

/// How often a part was tried in vain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct TrialCount {
    /// Trials, each sent after the one before had ended.
    pub(super) trials: u32,
    /// Time at which the call of the last trial was sent.
    pub(super) sent_at: EpochMillis,
    /// Whether a trial may be due to a part that its witnesses leave out.
    pub(super) is_partial: bool,
}

/// A crash that may be due to a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PartEnd<'a> {
    pub(super) ended_at: EpochMillis,
    /// Time at which the last call with the part was sent.
    pub(super) sent_at: EpochMillis,
    /// Whether the crash may be due to a part that its witnesses leave out.
    is_partial: bool,
    /// The start of the runner that ended.
    pub(super) start: &'a RunnerStart,
}

impl TrialCount {
    /// Counts the trials in these crashes, which are sorted by time.
    pub(super) fn of(ends: &[PartEnd<'_>]) -> TrialCount {
        let mut count = TrialCount::default();
        let mut last_end = EpochMillis::default();
        for end in ends {
            count.is_partial |= end.is_partial;
            if last_end < end.sent_at {
                last_end = end.ended_at;
                count.trials += 1;
                count.sent_at = end.sent_at;
            }
        }
        count
    }
}

/// The latest crashes, by start of the runner.
///
/// # Examples
///
/// ```
/// use celerylead::{
///     EpochMillis,
///     quarantine::{CrashLog, CrashWitness, PromptParts},
///     roster::RunnerStart,
/// };
///
/// let mut log = CrashLog::default();
/// let start = RunnerStart { id: "i-1".to_owned(), born: Some(5) };
/// let witness = CrashWitness {
///     parts: PromptParts::of_prompt([1, 2, 3]),
///     is_partial: false,
///     begun: true,
///     sent_at: EpochMillis(900),
/// };
/// let repeat_until = EpochMillis(0);
/// assert!(log.record(&start, &witness, EpochMillis(1_000), repeat_until));
/// assert!(!log.record(&start, &witness, EpochMillis(1_001), repeat_until));
/// assert_eq!(log.len(), 1);
/// ```
#[derive(Debug, Default)]
pub struct CrashLog {
    records: SortedTable<RunnerStart, CrashRecord>,
}

impl CrashLog {
    /// Records a call that ended with its runner at `ended_at`. Returns whether
    /// it is new; a witness that is reported again isn't.
    pub fn record(
        &mut self,
        start: &RunnerStart,
        witness: &CrashWitness,
        ended_at: EpochMillis,
        repeat_until: EpochMillis,
    ) -> bool {
        self.records
            .retain(|_, record| ended_at < record.ended_at.after(MEMORY));
        if MAX_CRASHES <= self.records.len()
            && self.records.get(start).is_none()
        {
            self.forget_oldest();
        }
        let record = self.records.entry(start.clone(), || CrashRecord {
            ended_at,
            is_confirmed: false,
            witnesses: Vec::new(),
        });
        if record.ended_at.after(SAME_CRASH_TIME) <= ended_at {
            // The runner went on after the earlier fault.
            record.ended_at = ended_at;
            record.is_confirmed = false;
            record.witnesses.clear();
        }
        record.ended_at = record.ended_at.min(ended_at);
        let is_known =
            |held: &HeldWitness| held.witness.parts == witness.parts;
        if record.witnesses.iter().any(is_known)
            || MAX_WITNESSES <= record.witnesses.len()
        {
            return false;
        }
        let witness = witness.clone();
        record.witnesses.push(HeldWitness { witness, repeat_until });
        true
    }

    /// Returns the time of the latest crash.
    pub(super) fn last_end(&self) -> Option<EpochMillis> {
        self.records.values().map(|record| record.ended_at).max()
    }

    /// Returns the number of crashes.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no crash is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Forgets a crash if its runner answered a call that was sent after it.
    /// Returns whether there was one.
    pub(super) fn disprove(
        &mut self,
        start: &RunnerStart,
        answered: EpochMillis,
    ) -> bool {
        let record = self.records.get(start);
        if record.is_none_or(|record| answered <= record.ended_at) {
            return false;
        }
        self.records.remove(start).is_some()
    }

    /// Confirms a crash if its runner refused a connection at that time.
    /// Returns whether that is new.
    pub(super) fn confirm(
        &mut self,
        start: &RunnerStart,
        refused: EpochMillis,
    ) -> bool {
        let Some(record) = self.records.get_mut(start) else { return false };
        if record.is_confirmed || refused.after(REFUSAL_LEAD) < record.ended_at
        {
            return false;
        }
        record.is_confirmed = true;
        true
    }

    /// Returns the crashes that may be due to a part since it was last cleared,
    /// sorted by time. A crash that ended a call which `is_explained` is due to
    /// another part. `was_sound` says whether an answer on a part is known to have
    /// gone on. With `settled_at`, returns only crashes that are settled by then.
    pub(super) fn ends_of(
        &self,
        part: PartId,
        cleared_at: Option<EpochMillis>,
        settled_at: Option<EpochMillis>,
        is_explained: impl Fn(&PromptParts) -> bool,
        was_sound: impl Fn(PartId) -> bool,
    ) -> Vec<PartEnd<'_>> {
        let mut ends = Vec::new();
        let is_settled = |record: &CrashRecord| {
            settled_at.is_none_or(|now| record.is_settled(now))
        };
        for (start, record) in self.records.iter() {
            if !is_settled(record) {
                continue;
            }
            let candidates = record.candidates(&was_sound);
            if candidates.clone().any(|held| is_explained(&held.parts)) {
                continue;
            }
            let is_partial = candidates.clone().any(|held| held.is_partial);
            let sent = candidates
                .filter(|witness| witness.parts.contains(part))
                .map(|witness| witness.sent_at)
                .filter(|sent_at| cleared_at.is_none_or(|at| at < *sent_at))
                .max();
            let ended_at = record.ended_at;
            ends.extend(sent.map(|sent_at| PartEnd {
                ended_at,
                sent_at,
                is_partial,
                start,
            }));
        }
        ends.sort();
        ends
    }

    /// Returns whether a crash may also be due to a part beside the `members` of
    /// a group: one of their calls had another part, not its last one, on which
    /// no answer is known to have gone on.
    pub(super) fn has_unknown(
        &self,
        start: &RunnerStart,
        members: &[PartId],
        was_sound: impl Fn(PartId) -> bool,
    ) -> bool {
        let Some(record) = self.records.get(start) else { return false };
        let mut candidates = record.candidates(&was_sound);
        candidates.any(|held| {
            let mut shared = held.parts.shared();
            members.iter().any(|member| held.parts.contains(*member))
                && shared
                    .any(|part| !members.contains(&part) && !was_sound(part))
        })
    }

    /// Returns the parts of those calls with a part that were sent at `sent_at`
    /// and ended with their runner, without parts that belong to one call alone.
    pub(super) fn shared_parts_with(
        &self,
        part: PartId,
        sent_at: EpochMillis,
    ) -> Vec<PartId> {
        let held = self.records.values().flat_map(|record| &record.witnesses);
        let sent = held.map(|held| &held.witness).filter(|witness| {
            witness.sent_at == sent_at && witness.parts.contains(part)
        });
        let mut parts: Vec<PartId> =
            sent.flat_map(|witness| witness.parts.shared()).collect();
        parts.sort_unstable();
        parts.dedup();
        parts
    }

    /// Iterates over the crashes with those witnesses that this host repeats to
    /// the others.
    pub(super) fn repeated(
        &self,
        now: EpochMillis,
    ) -> impl Iterator<Item = (&RunnerStart, EpochMillis, &CrashWitness)> {
        self.records.iter().flat_map(move |(start, record)| {
            let held = record.witnesses.iter();
            held.filter(move |held| now < held.repeat_until)
                .map(move |held| (start, record.ended_at, &held.witness))
        })
    }

    /// Forgets the crashes up to `until` that ended a call with a part.
    pub(super) fn settle(&mut self, part: PartId, until: EpochMillis) {
        self.records.retain(|_, record| {
            until < record.ended_at
                || !record
                    .witnesses
                    .iter()
                    .any(|held| held.witness.parts.contains(part))
        });
    }

    fn forget_oldest(&mut self) {
        let oldest =
            self.records.iter().min_by_key(|(_, record)| record.ended_at);
        if let Some(start) = oldest.map(|(start, _)| start.clone()) {
            self.records.remove(&start);
        }
    }
}

impl CrashRecord {
    /// Returns whether no sign to the contrary is to be expected any more.
    fn is_settled(&self, now: EpochMillis) -> bool {
        self.is_confirmed || self.ended_at.after(SETTLE_TIME) <= now
    }

    /// Iterates over the calls that may have caused the crash. A runner crashes
    /// on what it runs, so that calls it hadn't begun don't count if a begun one
    /// can be the cause. The head of the answer that ends a runner may be lost with
    /// it, so a begun call whose shared parts were all sound is no such cause.
    fn candidates(
        &self,
        was_sound: impl Fn(PartId) -> bool,
    ) -> impl Iterator<Item = &CrashWitness> + Clone {
        let witnesses = self.witnesses.iter().map(|held| &held.witness);
        let mut begun = witnesses.clone().filter(|witness| witness.begun);
        let has_cause = begun.any(|witness| {
            let mut shared = witness.parts.shared();
            shared.any(|part| !was_sound(part))
        });
        witnesses.filter(move |witness| witness.begun || !has_cause)
    }
}
