//! Parts that the crashes so far can't be told apart by.
//!
//! Two parts that were in the same calls have the same evidence, and any order
//! between them would be a guess. Such parts are rejected as a group: calls with
//! all of them have the cause for certain and are refused. A call with only some
//! of them tells them apart, whatever its end, and costs one crash at most; such
//! calls are sent one at a time in the fleet, by the host that also probes the
//! group after its term. An answer that goes on takes its parts out of the
//! group, a crash those that its calls didn't have. What is left of a group when
//! one part remains is a verdict on that part.

use std::time::Duration;

use super::{
    ledger::{
        HeldVerdict, LedgerEvent, MAX_VERDICTS, REPEAT_TIME, SuspectLedger,
    },
    part::{PartId, PromptParts},
    verdict::PROBE_TIMEOUT,
};
use crate::clock::EpochMillis;

/// Most parts of a group; of more, the deepest in their prompts are kept.
pub(super) const MAX_MEMBERS: usize = 24;
/// Crashes by which a group is narrowed in a term. The platform bounds the
/// calls with a deadly part that reach runners late.
const MAX_NARROWING_CRASHES: u32 = 2;
/// Crashes that narrow a group although each may be due to a part beside it.
/// Where several parts are deadly, one such crash would blame a part that the
/// calls of all of them share.
const MAX_UNCLEAR_CRASHES: u32 = 3;
/// Age from which a crash tells the parts of a group apart. Other hosts may have
/// had calls at the runner too, and report them within this time.
const JOIN_TIME: Duration = Duration::from_millis(500);
/// Time after the crash of a trial in which the next one waits for the crash to
/// be settled and joined with what other hosts report.
const TRIAL_SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// The other parts that a rejected part has the same evidence as.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct AmbiguityGroup {
    /// Sorted.
    others: Vec<PartId>,
    /// Crashes by which the group was narrowed.
    narrowed: u32,
    /// Calls sent after this time tell the parts apart.
    since: EpochMillis,
    /// Time until which a call of this host is on trial.
    trial_until: EpochMillis,
}

/// Crashes of calls with a member of a group.
#[derive(Clone, Copy, Debug, Default)]
struct MemberCrashes {
    all: u32,
    /// Those that no part beside the group can explain.
    clear: u32,
}

impl AmbiguityGroup {
    /// Returns the group of `part` among `members`, whose calls up to `since`
    /// had all of them.
    pub(super) fn of(
        part: PartId,
        members: &[PartId],
        since: EpochMillis,
    ) -> AmbiguityGroup {
        let others = members.iter().copied().filter(|other| *other != part);
        let mut others: Vec<PartId> = others.take(MAX_MEMBERS - 1).collect();
        others.sort_unstable();
        others.dedup();
        AmbiguityGroup { others, since, ..AmbiguityGroup::default() }
    }

    /// Returns whether a part is one of the others.
    pub(super) fn has(&self, part: PartId) -> bool {
        self.others.binary_search(&part).is_ok()
    }

    /// Returns the members of the group of `part`, sorted.
    pub(super) fn members(&self, part: PartId) -> Vec<PartId> {
        let mut members = self.others.clone();
        members.push(part);
        members.sort_unstable();
        members
    }

    /// Returns the member that stands for the group of `part`.
    pub(super) fn lead(&self, part: PartId) -> PartId {
        self.others.first().map_or(part, |first| part.min(*first))
    }

    /// Returns the other members.
    pub(super) fn others(&self) -> &[PartId] {
        &self.others
    }

    /// Returns the number of crashes by which the group was narrowed.
    pub(super) fn narrowed(&self) -> u32 {
        self.narrowed
    }

    /// Notes how often another host saw the group narrowed.
    pub(super) fn note_narrowed(&mut self, narrowed: u32) {
        self.narrowed = self.narrowed.max(narrowed);
    }

    /// Returns whether a call has all other members.
    pub(super) fn is_whole_in(&self, parts: &PromptParts) -> bool {
        self.others.iter().all(|part| parts.contains(*part))
    }

    /// Returns whether a call of this host is on trial.
    pub(super) fn is_on_trial(&self, now: EpochMillis) -> bool {
        now < self.trial_until
    }

    /// Returns whether no further call may be tried in this term.
    pub(super) fn is_exhausted(&self) -> bool {
        MAX_NARROWING_CRASHES <= self.narrowed
    }

    fn exclude(&mut self, part: PartId) {
        self.others.retain(|other| *other != part);
    }
}

impl SuspectLedger {
    /// Returns a part with those that the same crashes count for, sorted.
    pub(super) fn ambiguous_with(
        &self,
        part: PartId,
        parts: &[(PartId, usize)],
        now: EpochMillis,
    ) -> Vec<PartId> {
        let starts_of = |part| -> Vec<_> {
            let ends = self.ends_of(part, Some(now));
            ends.iter().map(|end| end.start).collect()
        };
        let (starts, was_sound) = (starts_of(part), self.was_sound(part));
        let others = parts.iter().filter(|(other, _)| {
            *other != part
                && self.verdicts.get(other).is_none()
                && self.was_sound(*other) == was_sound
                && starts_of(*other) == starts
        });
        let mut others: Vec<(usize, PartId)> =
            others.map(|(other, depth)| (*depth, *other)).collect();
        others.sort_unstable();
        let deepest = others.into_iter().rev().take(MAX_MEMBERS - 1);
        let mut members: Vec<PartId> =
            deepest.map(|(_, other)| other).chain([part]).collect();
        members.sort_unstable();
        members
    }

    /// Takes those parts out of the groups that crashes since their verdict
    /// didn't have, while these had others of the group. One crash is enough if
    /// its calls had no other part that may be the cause.
    pub(super) fn narrow_groups(
        &mut self,
        now: EpochMillis,
    ) -> Vec<LedgerEvent> {
        let mut narrowed = Vec::new();
        for (part, held) in self.verdicts.iter() {
            let group = &held.group;
            if group.others.is_empty() || group.lead(*part) != *part {
                continue;
            }
            let members = group.members(*part);
            let counts = self.crashes_since(&members, group.since, now);
            let most = |count: fn(&MemberCrashes) -> u32| {
                counts.iter().map(count).max().unwrap_or_default()
            };
            let (clear, all) = (most(|c| c.clear), most(|c| c.all));
            let kept: Vec<PartId> = members
                .iter()
                .zip(&counts)
                .filter(|(_, count)| {
                    clear <= count.clear
                        && all < count.all + MAX_UNCLEAR_CRASHES
                })
                .map(|(member, _)| *member)
                .collect();
            if !kept.is_empty() && kept.len() < members.len() {
                let least = counts.iter().map(|count| count.all).min();
                let crashes = all - least.unwrap_or_default();
                narrowed.push((members, kept, crashes));
            }
        }
        let mut events = Vec::new();
        for (members, kept, crashes) in narrowed {
            events.extend(self.narrow(&members, &kept, now));
            for member in &kept {
                if let Some(held) = self.verdicts.get_mut(member) {
                    let narrowed = held.group.narrowed;
                    held.group.narrowed = narrowed.saturating_add(crashes);
                }
            }
        }
        events
    }

    /// Counts the crashes of calls with each member that were sent after `since`.
    fn crashes_since(
        &self,
        members: &[PartId],
        since: EpochMillis,
        now: EpochMillis,
    ) -> Vec<MemberCrashes> {
        let joined_by = now.before(JOIN_TIME);
        let was_sound = |part| self.was_sound(part);
        let count = |member: &PartId| {
            let mut count = MemberCrashes::default();
            for end in self.ends_of(*member, Some(now)) {
                if end.sent_at <= since || joined_by < end.ended_at {
                    continue;
                }
                let crashes = &self.crashes;
                let is_clear =
                    !crashes.has_unknown(end.start, members, was_sound);
                count.all += 1;
                count.clear += u32::from(is_clear);
            }
            count
        };
        members.iter().map(count).collect()
    }

    /// Leaves only the `kept` members in a group.
    pub(super) fn narrow(
        &mut self,
        members: &[PartId],
        kept: &[PartId],
        now: EpochMillis,
    ) -> Vec<LedgerEvent> {
        let mut events = Vec::new();
        for member in members {
            if !kept.contains(member) {
                self.remove_verdict(*member);
                events.push(LedgerEvent::Excluded(*member));
            }
        }
        for member in kept {
            let Some(held) = self.verdicts.get_mut(member) else { continue };
            held.repeat_until = now.after(REPEAT_TIME);
        }
        self.news.tell_soon(now);
        events
    }

    /// Adds the parts to the group of a part that were beside it in the call
    /// which renewed its verdict, and on which no answer is known to have gone
    /// on: the crash may be due to them.
    pub(super) fn widen_group(&mut self, part: PartId, sent_at: EpochMillis) {
        let Some(held) = self.verdicts.get(&part).cloned() else { return };
        if !held.group.others.is_empty() {
            return;
        }
        let beside = self.crashes.shared_parts_with(part, sent_at);
        let others = beside.into_iter().filter(|other| {
            *other != part
                && self.verdicts.get(other).is_none()
                && !self.was_sound(*other)
        });
        let room = MAX_VERDICTS.saturating_sub(self.verdicts.len());
        let mut members: Vec<PartId> =
            others.take(room.min(MAX_MEMBERS - 1)).collect();
        members.push(part);
        for member in &members {
            let group = AmbiguityGroup::of(*member, &members, sent_at);
            let held = held.clone();
            self.verdicts.insert(*member, HeldVerdict { group, ..held });
        }
    }

    /// Removes the verdict on a part, also from its group.
    pub(super) fn remove_verdict(&mut self, part: PartId) {
        let Some(removed) = self.verdicts.remove(&part) else { return };
        for other in &removed.group.others {
            if let Some(held) = self.verdicts.get_mut(other) {
                held.group.exclude(part);
                held.group.trial_until = EpochMillis::default();
            }
        }
    }

    /// Notes that a call of this host with only some members is on trial.
    pub(super) fn begin_trial(&mut self, part: PartId, now: EpochMillis) {
        self.set_trial(part, now.after(PROBE_TIMEOUT));
    }

    /// Ends the trials of a call that told nothing.
    pub(super) fn end_trials(
        &mut self,
        parts: &PromptParts,
        now: EpochMillis,
    ) {
        self.limit_trials(parts, now, now);
    }

    /// Lets the next trial wait until the crash of a call is settled.
    pub(super) fn settle_trials(
        &mut self,
        parts: &PromptParts,
        now: EpochMillis,
    ) {
        self.limit_trials(parts, now.after(TRIAL_SETTLE_TIME), now);
    }

    fn limit_trials(
        &mut self,
        parts: &PromptParts,
        until: EpochMillis,
        now: EpochMillis,
    ) {
        for part in parts.iter() {
            let held = self.verdicts.get(&part);
            if held.is_some_and(|held| {
                held.group.is_on_trial(now) && !held.group.is_whole_in(parts)
            }) {
                self.set_trial(part, until);
            }
        }
    }

    fn set_trial(&mut self, part: PartId, until: EpochMillis) {
        let Some(held) = self.verdicts.get(&part) else { return };
        for member in held.group.members(part) {
            if let Some(held) = self.verdicts.get_mut(&member) {
                held.group.trial_until = until;
            }
        }
    }
}
