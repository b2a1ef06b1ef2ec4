//! Rounds: in which order waiting calls are tried when places become free.

use super::{
    RunnerRoom,
    queue::{Admission, Entry, TURNS_PER_SHARE, class_rank},
    ticket::{CallClass, Lane},
};
use crate::{clock::EpochMillis, sorted::SortedTable};

/// Which lanes are looked at in a round.
#[derive(Clone, Copy, Debug)]
pub enum Scope<'a> {
    /// All lanes.
    All,
    /// One lane.
    Lane(&'a Lane),
    /// The lanes that a runner can serve, as a place became free there.
    Runner(&'a str),
}

/// The lanes that are looked at once, and what failed in them so far.
#[derive(Debug)]
pub struct Round {
    lanes: SortedTable<Lane, LaneRound>,
    /// Calls that got no place in this round.
    failed: Vec<u64>,
}

#[derive(Debug, Default)]
struct LaneRound {
    /// Only calls with fewer tokens are tried; `None` for any.
    tokens_below: Option<u64>,
    /// Whether batch calls yield.
    batch_yields: bool,
}

/// A waiting call that may be tried next.
struct Candidate<'a, T> {
    lane: &'a Lane,
    position: usize,
    entry: &'a Entry<T>,
    batch_yields: bool,
}

impl<T> Admission<T> {
    /// Starts a round over the waiting calls.
    pub fn round(
        &self,
        scope: Scope<'_>,
        room: &impl RunnerRoom<T>,
        now: EpochMillis,
    ) -> Round {
        let in_scope = |lane: &Lane, calls: &[Entry<T>]| match scope {
            Scope::All => true,
            Scope::Lane(wanted) => lane == wanted,
            Scope::Runner(runner) => calls
                .first()
                .is_some_and(|entry| room.serves(runner, &entry.call, now)),
        };
        let lanes = self.lanes.iter();
        let lanes = lanes.filter(|(lane, calls)| in_scope(lane, calls));
        let lanes =
            lanes.map(|(lane, _)| (lane.clone(), LaneRound::default()));
        Round { lanes: lanes.collect(), failed: Vec::new() }
    }

    /// Removes the waiting call that is to be tried next in a round; `None`
    /// if the round is over.
    pub fn next_turn(
        &mut self,
        round: &mut Round,
        room: &impl RunnerRoom<T>,
        now: EpochMillis,
    ) -> Option<Entry<T>> {
        loop {
            let (lane, position, is_share) = self.choose(round, now)?;
            let entry = &self.lanes.get(&lane)?[position];
            if !is_share && self.must_yield(entry, room, now) {
                round.lanes.get_mut(&lane)?.batch_yields = true;
                continue;
            }
            let calls = self.lanes.get_mut(&lane)?;
            let mut entry = calls.remove(position);
            entry.is_share = is_share;
            if calls.is_empty() {
                self.lanes.remove(&lane);
            }
            return Some(entry);
        }
    }

    /// Notes that a call got no place in a round, so that calls of its lane
    /// that need as much aren't tried.
    pub fn note_failure(&self, round: &mut Round, entry: &Entry<T>) {
        round.failed.push(entry.number);
        let ticket = &entry.ticket;
        if !ticket.is_restricted
            && let Some(lane) = round.lanes.get_mut(&ticket.lane)
        {
            let below = lane.tokens_below.unwrap_or(u64::MAX);
            lane.tokens_below = Some(below.min(ticket.tokens));
        }
    }

    /// Returns the lane and position of the call to try next, and whether it
    /// is tried for the share of its priority.
    fn choose(
        &self,
        round: &Round,
        now: EpochMillis,
    ) -> Option<(Lane, usize, bool)> {
        let mut candidates = self.candidates(round, now);
        let oldest = candidates.iter().min_by_key(|one| one.entry.number)?;
        let service = self.services.get(&oldest.lane.service);
        let service =
            service.filter(|service| TURNS_PER_SHARE <= service.turns + 1);
        if let Some(service) = service {
            let priority = |one: &Candidate<'_, T>| one.entry.ticket.priority;
            let placed = |priority: &u8| service.placed.get(priority);
            let due = candidates.iter().map(priority).min_by_key(placed)?;
            candidates.retain(|one| priority(one) == due);
        }
        let is_share = service.is_some();
        let may_go = |one: &&Candidate<'_, T>| {
            is_share
                || !one.batch_yields
                || one.entry.ticket.class(now) != CallClass::Batch
        };
        let class = candidates.iter().filter(may_go);
        let class = class.map(|one| class_rank(one.entry, now)).min()?;
        let first = || {
            let open = candidates.iter().filter(may_go);
            open.filter(move |one| class_rank(one.entry, now) == class)
        };
        let served = first().filter_map(|one| self.served(one.entry));
        let least = served.map(|(served, _)| served).reduce(f64::min);
        let in_share = |one: &&Candidate<'_, T>| {
            let Some((served, free_lead)) = self.served(one.entry) else {
                return true;
            };
            least.is_none_or(|least| served <= least + free_lead)
        };
        let due = |one: &&Candidate<'_, T>| {
            (one.entry.ticket.due(), one.entry.number)
        };
        let next = first().filter(in_share).min_by_key(due)?;
        Some((next.lane.clone(), next.position, is_share))
    }

    /// Returns the calls that may be tried in a round. Calls whose deadlines
    /// have passed, as after a pause of the host, are left to the review.
    fn candidates<'a>(
        &'a self,
        round: &'a Round,
        now: EpochMillis,
    ) -> Vec<Candidate<'a, T>> {
        let mut candidates = Vec::new();
        for (lane, state) in round.lanes.iter() {
            let calls = self.lanes.get(lane).into_iter().flatten();
            for (position, entry) in calls.enumerate() {
                let tokens = entry.ticket.tokens;
                let is_open = now < entry.ticket.deadline
                    && state.tokens_below.is_none_or(|below| tokens < below);
                if is_open && !round.failed.contains(&entry.number) {
                    let batch_yields = state.batch_yields;
                    candidates.push(Candidate {
                        lane,
                        position,
                        entry,
                        batch_yields,
                    });
                }
            }
        }
        candidates
    }

    /// Returns what the customer of a call was served, and the lead up to
    /// which the time left decides; `None` for a call without a target.
    fn served(&self, entry: &Entry<T>) -> Option<(f64, f64)> {
        let ticket = &entry.ticket;
        ticket.target?;
        let fair = &self.services.get(&ticket.lane.service)?.fair;
        Some((fair.served(&ticket.customer), fair.free_lead()))
    }
}
