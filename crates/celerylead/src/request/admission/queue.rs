//! The waiting calls.

use std::time::Duration;

use super::{
    Room, RunnerRoom,
    fair::FairShares,
    pace::{FreedPace, WaitBasis},
    ticket::{CallClass, Lane, Ticket, WaitCause},
};
use crate::{clock::EpochMillis, sorted::SortedTable};

/// Of this many turns while calls wait, one goes to the priority of which no
/// call got a place for longest.
pub(super) const TURNS_PER_SHARE: u32 = 8;
/// Factor on the mean time from a send to the head of an answer, after which
/// most answers have begun.
const LEAD_FACTOR: f64 = 1.25;
/// Largest part of the time to its target that is kept for a call's answer to
/// begin. Without a bound, all calls of a slow service would be late at once.
const MAX_LEAD_SHARE: f64 = 0.5;
/// Part of the places of its candidates up to which a batch call may fill
/// them. From 9 calls on 12 places on, a tenth of the urgent calls are late.
const BATCH_FILL_SHARE: f64 = 0.75;
/// Time after the last urgent call of a service from which batch calls may
/// fill all places.
const URGENT_MEMORY: Duration = Duration::from_millis(5_000);
/// Most batch calls that wait.
const MAX_BATCH_CALLS: usize = 256;
/// Expected wait of a batch call that finds no room to wait.
const CROWDED_WAIT: Duration = Duration::from_millis(2_000);
/// Most memory that the bodies of waiting batch calls take.
const MAX_BATCH_BYTES: u64 = 8 << 20;
/// Longest time from a missing model's first call to the end of its load:
/// loads take up to 4.2 s.
const MAX_LOAD_WAIT: Duration = Duration::from_millis(4_500);
/// Weight of a new sample in the mean time until a missing model is held.
const LOAD_WEIGHT: f64 = 0.2;
/// Time after which a missing model of which no call is left is forgotten.
const MISSING_MEMORY: Duration = Duration::from_secs(30);
/// Part of the estimated wait by which a waiting call must be over its limit
/// to be refused. It is under one, as estimates vary, and a call that has
/// waited should not be refused because of that.
const SURE_PART: f64 = 0.5;
/// Time between two reviews of the waiting calls that have targets.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);

/// A call with its place in the order of arrival.
#[derive(Debug)]
pub struct Entry<T> {
    /// Terms on which the call waits.
    pub ticket: Ticket,
    /// The call.
    pub call: T,
    pub(super) number: u64,
    /// Time before its target at which the call must get a place.
    lead: Duration,
    /// Whether it is tried for the share of its priority.
    pub(super) is_share: bool,
    /// What the call waits for.
    pub cause: WaitCause,
    /// Expected wait at the time at which the wait began.
    expected: Option<Duration>,
    has_waited: bool,
}

/// What becomes of a call that got no runner.
#[derive(Debug)]
pub enum Waiting<T> {
    /// The call waits. Says whether its wait has just begun.
    Held {
        /// Whether the call didn't wait before.
        begins: bool,
    },
    /// The call is refused.
    Refused(Box<Refused<T>>),
}

/// A call that is refused, and why.
#[derive(Debug)]
pub struct Refused<T> {
    /// The call and its terms.
    pub entry: Entry<T>,
    /// Reason in log lines and metrics: `waited`, `too_late`, `crowded`.
    pub reason: &'static str,
    /// Expected time until the call could have run.
    pub expected: Option<Duration>,
    /// Figures behind the expectation.
    pub basis: Option<WaitBasis>,
}

#[derive(Debug, Default)]
pub(super) struct ServiceState {
    pub(super) fair: FairShares,
    pace: FreedPace,
    /// Turns since the last one for the share of a priority.
    pub(super) turns: u32,
    /// Number of the last call that got a place, by priority.
    pub(super) placed: SortedTable<u8, u64>,
    placements: u64,
    urgent_at: Option<EpochMillis>,
    load_ms: Option<f64>,
}

/// The waiting calls of a host.
#[derive(Debug)]
pub struct Admission<T> {
    pub(super) lanes: SortedTable<Lane, Vec<Entry<T>>>,
    pub(super) services: SortedTable<String, ServiceState>,
    /// Lanes whose model no runner holds, and since when.
    missing: SortedTable<Lane, EpochMillis>,
    next_number: u64,
    review_at: Option<EpochMillis>,
}

impl<T> Default for Admission<T> {
    fn default() -> Self {
        Admission {
            lanes: SortedTable::default(),
            services: SortedTable::default(),
            missing: SortedTable::default(),
            next_number: 0,
            review_at: None,
        }
    }
}

impl<T> Admission<T> {
    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.lanes.values().map(Vec::len).sum()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.lanes.is_empty()
    }

    /// Takes in a call that has just arrived.
    pub fn arrive(
        &mut self,
        ticket: Ticket,
        call: T,
        now: EpochMillis,
    ) -> Entry<T> {
        let number = self.next_number;
        self.next_number += 1;
        let class = ticket.class(now);
        let service = self.service(&ticket.lane.service);
        let span = ticket.target.map(|target| now.until(target));
        let most = span.unwrap_or_default().mul_f64(MAX_LEAD_SHARE);
        let lead = service.pace.head().mul_f64(LEAD_FACTOR).min(most);
        if class == CallClass::Urgent {
            service.urgent_at = Some(now);
        }
        if class != CallClass::Untargeted {
            service.fair.note_arrival(&ticket.customer, now);
        }
        Entry {
            ticket,
            call,
            number,
            lead,
            is_share: false,
            cause: WaitCause::Place,
            expected: None,
            has_waited: false,
        }
    }

    /// Returns what keeps a call that has just arrived from being given a
    /// place at once: calls of its lane that are of its class or of a higher
    /// one, or that it must yield. `None` if it may be tried.
    pub fn obstacle(
        &self,
        entry: &Entry<T>,
        room: &impl RunnerRoom<T>,
        now: EpochMillis,
    ) -> Option<WaitCause> {
        let mine = class_rank(entry, now);
        let waiting = self.lanes.get(&entry.ticket.lane);
        let mut waiting = waiting.into_iter().flatten();
        if let Some(other) =
            waiting.find(|other| class_rank(other, now) <= mine)
        {
            return Some(other.cause);
        }
        self.must_yield(entry, room, now).then_some(WaitCause::Yield)
    }

    /// Returns whether a batch call leaves the room at its candidates to
    /// urgent calls.
    pub(super) fn must_yield(
        &self,
        entry: &Entry<T>,
        room: &impl RunnerRoom<T>,
        now: EpochMillis,
    ) -> bool {
        let Ticket { lane, .. } = &entry.ticket;
        if entry.ticket.class(now) != CallClass::Batch {
            return false;
        }
        let waiting = self.lanes.get(lane);
        let mut waiting = waiting.into_iter().flatten();
        if waiting.any(|other| other.ticket.class(now) == CallClass::Urgent) {
            return true;
        }
        let service = self.services.get(&lane.service);
        let urgent_at = service.and_then(|service| service.urgent_at);
        let is_recent = |at: EpochMillis| now < at.after(URGENT_MEMORY);
        if !urgent_at.is_some_and(is_recent) {
            return false;
        }
        let room = room.room(&entry.call, now);
        let usable = f64::from(room.places) * BATCH_FILL_SHARE;
        // Without a candidate the call waits for one under its own rules.
        0 < room.places && usable < f64::from(room.taken + 1)
    }

    /// Lets a call wait that got no place because of `cause`, or refuses it.
    pub fn hold(
        &mut self,
        mut entry: Entry<T>,
        cause: WaitCause,
        room: &impl RunnerRoom<T>,
        now: EpochMillis,
    ) -> Waiting<T> {
        entry.cause = cause;
        self.note_cause(&entry, now);
        let basis = self.basis(&entry, room, now);
        let expected = self.expected(&entry, basis, now);
        let is_known = expected.is_some() || entry.expected.is_some();
        if self.limit(&entry, is_known) <= now {
            return refused(entry, "waited", expected, basis);
        }
        if !entry.has_waited {
            if self.is_too_late(&entry, expected, 1.0, now) {
                return refused(entry, "too_late", expected, basis);
            }
            if self.is_crowded(&entry.ticket) {
                let expected = expected.max(Some(CROWDED_WAIT));
                return refused(entry, "crowded", expected, basis);
            }
            entry.expected = expected;
        }
        if entry.ticket.target.is_some() {
            self.review_at.get_or_insert(now.after(REVIEW_INTERVAL));
        }
        let begins = !std::mem::replace(&mut entry.has_waited, true);
        let lane = entry.ticket.lane.clone();
        self.lanes.entry(lane, Vec::new).push(entry);
        Waiting::Held { begins }
    }

    /// Notes that a call got a place.
    pub fn note_placed(&mut self, entry: &Entry<T>, now: EpochMillis) {
        let ticket = &entry.ticket;
        if let Some(since) = self.missing.remove(&ticket.lane) {
            let service = self.service(&ticket.lane.service);
            let sample =
                since.until(now).min(MAX_LOAD_WAIT).as_millis() as f64;
            let mean = service.load_ms.get_or_insert(sample);
            *mean += LOAD_WEIGHT * (sample - *mean);
        }
        let waits = !self.is_empty();
        let service = self.service(&ticket.lane.service);
        if ticket.target.is_some() {
            service.fair.charge(&ticket.customer, ticket.tokens, now);
        }
        service.placements += 1;
        service.placed.insert(ticket.priority, service.placements);
        if entry.is_share {
            service.turns = 0;
        } else if waits {
            service.turns = TURNS_PER_SHARE.min(service.turns + 1);
        }
        self.note_waited(entry, now);
    }

    /// Learns from the end of a call's wait for a place. From its target on
    /// a call waits behind others, which its estimate doesn't contain; until
    /// then it has waited for that long at least.
    fn note_waited(&mut self, entry: &Entry<T>, now: EpochMillis) {
        let Entry { ticket, cause, expected, .. } = entry;
        if let (WaitCause::Place, Some(expected)) = (cause, *expected) {
            let end = ticket.target.map_or(now, |target| target.min(now));
            let waited = ticket.arrived.until(end);
            if end == now || expected < waited {
                let service = self.service(&ticket.lane.service);
                service.pace.note_wait(expected, waited, now);
            }
        }
    }

    /// Notes that a call of a service has held its place for `held`.
    pub fn note_held(&mut self, service: &str, held: Duration) {
        self.service(service).pace.note_held(held);
    }

    /// Notes that an answer of a service has begun `span` after the call was
    /// sent.
    pub fn note_head(&mut self, service: &str, span: Duration) {
        self.service(service).pace.note_head(span);
    }

    /// Removes the calls whose wait is over, and those that certainly won't
    /// get a place within their limits.
    pub fn review(
        &mut self,
        room: &impl RunnerRoom<T>,
        now: EpochMillis,
    ) -> Vec<Refused<T>> {
        let is_due = self.review_at.is_some_and(|at| at <= now);
        let mut over = Vec::new();
        for (lane, calls) in self.lanes.iter() {
            let mut figures = None;
            for entry in calls {
                let mut reason = None;
                if self.limit(entry, entry.expected.is_some()) <= now {
                    reason = Some("waited");
                } else if is_due && entry.ticket.target.is_some() {
                    // One look at the runners suffices for the whole lane.
                    let (room, ranks) = figures.get_or_insert_with(|| {
                        (room.room(&entry.call, now), ranks(calls, now))
                    });
                    let ahead = ahead(entry, ranks.iter().copied(), now);
                    let basis = self.pace_basis(entry, *room, ahead, now);
                    let expected = self.expected(entry, basis, now);
                    if self.is_too_late(entry, expected, SURE_PART, now) {
                        reason = Some("too_late");
                    }
                }
                if let Some(reason) = reason {
                    over.push((lane.clone(), entry.number, reason));
                }
            }
        }
        let mut ended = Vec::new();
        for (lane, number, reason) in over {
            let Some(calls) = self.lanes.get_mut(&lane) else { continue };
            let found = calls.iter().position(|one| one.number == number);
            let Some(position) = found else { continue };
            let entry = calls.remove(position);
            self.note_waited(&entry, now);
            let basis = self.basis(&entry, room, now);
            let expected = self.expected(&entry, basis, now);
            ended.push(Refused { entry, reason, expected, basis });
        }
        self.lanes.retain(|_, calls| !calls.is_empty());
        if is_due {
            let lanes = &self.lanes;
            self.missing.retain(|lane, since| {
                now < since.after(MISSING_MEMORY) || lanes.get(lane).is_some()
            });
            let mut waiting = self.lanes.values().flatten();
            let has_targets = waiting.any(|one| one.ticket.target.is_some());
            let next = now.after(REVIEW_INTERVAL);
            self.review_at = has_targets.then_some(next);
        }
        ended
    }

    /// Returns the time of the next [`review`](Self::review).
    pub fn next_review_at(&self) -> Option<EpochMillis> {
        let waiting = self.lanes.values().flatten();
        let limits =
            waiting.map(|entry| self.limit(entry, entry.expected.is_some()));
        limits.chain(self.review_at).min()
    }

    /// Removes and returns the calls for which `ended` holds.
    pub fn take_ended(&mut self, ended: impl Fn(&T) -> bool) -> Vec<T> {
        let mut taken = Vec::new();
        for (_, calls) in self.lanes.iter_mut() {
            let gone = calls.extract_if(.., |entry| ended(&entry.call));
            taken.extend(gone.map(|entry| entry.call));
        }
        self.lanes.retain(|_, calls| !calls.is_empty());
        taken
    }

    fn service(&mut self, name: &str) -> &mut ServiceState {
        self.services.entry(name.to_owned(), ServiceState::default)
    }

    /// Notes whether the model of a call is missing.
    fn note_cause(&mut self, entry: &Entry<T>, now: EpochMillis) {
        let Entry { ticket, cause, .. } = entry;
        match cause {
            WaitCause::Model if ticket.target.is_some() => {
                self.missing.entry(ticket.lane.clone(), || now);
            }
            WaitCause::Place => {
                self.missing.remove(&ticket.lane);
            }
            _ => {}
        }
    }

    /// Returns the figures behind the expected wait for a place.
    fn basis(
        &self,
        entry: &Entry<T>,
        room: &impl RunnerRoom<T>,
        now: EpochMillis,
    ) -> Option<WaitBasis> {
        if entry.ticket.target.is_none() || entry.cause != WaitCause::Place {
            return None;
        }
        let waiting = self.lanes.get(&entry.ticket.lane);
        let waiting = waiting.into_iter().flatten();
        let ahead = ahead(entry, waiting.map(|one| rank(one, now)), now);
        let room = room.room(&entry.call, now);
        self.pace_basis(entry, room, ahead, now)
    }

    fn pace_basis(
        &self,
        entry: &Entry<T>,
        room: Room,
        ahead: usize,
        now: EpochMillis,
    ) -> Option<WaitBasis> {
        let service = self.services.get(&entry.ticket.lane.service)?;
        service.pace.basis(room, ahead, now)
    }

    /// Returns the expected time until a call gets a place.
    fn expected(
        &self,
        entry: &Entry<T>,
        basis: Option<WaitBasis>,
        now: EpochMillis,
    ) -> Option<Duration> {
        let Entry { ticket, cause, .. } = entry;
        match cause {
            _ if ticket.target.is_none() => None,
            WaitCause::Place => basis.map(|basis| basis.wait()),
            WaitCause::Model => {
                let load_ms =
                    self.services.get(&ticket.lane.service)?.load_ms?;
                let load = Duration::from_millis(load_ms as u64);
                let since = self.missing.get(&ticket.lane)?;
                Some(now.until(since.after(load)))
            }
            WaitCause::Yield | WaitCause::Runner => None,
        }
    }

    /// Returns the time at which the wait of a call ends at the latest.
    /// `is_known` says whether its wait could be estimated.
    fn limit(&self, entry: &Entry<T>, is_known: bool) -> EpochMillis {
        let Entry { ticket, cause, .. } = entry;
        let limit = ticket.limit(*cause);
        let base = ticket.base_until;
        match cause {
            WaitCause::Model => {
                let since = self.missing.get(&ticket.lane);
                let end = since.map(|since| since.after(MAX_LOAD_WAIT));
                end.map_or(limit, |end| limit.min(end.max(base)))
            }
            // Without a figure, a long wait could be in vain.
            WaitCause::Place
                if !is_known && ticket.batch_until().is_none() =>
            {
                base
            }
            _ => limit,
        }
    }

    /// Returns whether a call gets no place within its limit, counting a part
    /// of the expected wait.
    fn is_too_late(
        &self,
        entry: &Entry<T>,
        expected: Option<Duration>,
        part: f64,
        now: EpochMillis,
    ) -> bool {
        expected.is_some_and(|expected| {
            let earliest = now.after(expected.mul_f64(part));
            self.limit(entry, true) < earliest
        })
    }

    /// Returns whether no further batch call may wait.
    fn is_crowded(&self, ticket: &Ticket) -> bool {
        if ticket.batch_until().is_none() {
            return false;
        }
        let waiting = self.lanes.values().flatten().map(|one| &one.ticket);
        let batch = waiting.filter(|one| one.batch_until().is_some());
        let (calls, bytes) = batch.fold((0, 0_u64), |(calls, bytes), one| {
            (calls + 1, bytes.saturating_add(one.bytes))
        });
        MAX_BATCH_CALLS <= calls
            || MAX_BATCH_BYTES < bytes.saturating_add(ticket.bytes)
    }
}

/// Returns the class of a call in the order of service: its priority, and
/// within it calls that can meet their targets, then batch calls that have
/// become urgent, then calls whose targets have passed. Batch calls rank after
/// the others as their customers, who were served little, would else go before
/// the users who wait.
pub(super) fn class_rank<T>(entry: &Entry<T>, now: EpochMillis) -> (u8, u8) {
    let ticket = &entry.ticket;
    let tier = if ticket.is_late(now.after(entry.lead)) {
        2
    } else {
        u8::from(ticket.batch_until().is_some_and(|end| end <= now))
    };
    (ticket.priority(now), tier)
}

/// Place of a call in the order of service among the calls of equally served
/// customers.
type Rank = ((u8, u8), EpochMillis, u64);

fn rank<T>(entry: &Entry<T>, now: EpochMillis) -> Rank {
    (class_rank(entry, now), entry.ticket.due(), entry.number)
}

/// Returns how many turns go to other calls before it is the turn of a call,
/// given the ranks of the waiting calls. Calls of lower priority come before
/// all others of higher ones are served, by the share of their priority.
fn ahead<T>(
    entry: &Entry<T>,
    ranks: impl Iterator<Item = Rank>,
    now: EpochMillis,
) -> usize {
    let mine = rank(entry, now);
    let first = ranks.filter(|other| *other < mine);
    let (all, equal) = first.fold((0_usize, 0_usize), |(all, equal), one| {
        (all + 1, equal + usize::from(one.0.0 == mine.0.0))
    });
    all.min((equal + 1) * TURNS_PER_SHARE as usize - 1)
}

fn ranks<T>(calls: &[Entry<T>], now: EpochMillis) -> Vec<Rank> {
    calls.iter().map(|entry| rank(entry, now)).collect()
}

fn refused<T>(
    entry: Entry<T>,
    reason: &'static str,
    expected: Option<Duration>,
    basis: Option<WaitBasis>,
) -> Waiting<T> {
    let refused = Refused { entry, reason, expected, basis };
    Waiting::Refused(Box::new(refused))
}
