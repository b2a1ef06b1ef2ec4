//! Tests of admission, with simulated runners and no network.

mod patterns;
mod properties;
mod rules;

use super::{
    Admission, Entry, Refused, Room, RunnerRoom, Scope, Ticket, WaitCause,
    Waiting, retry_at,
};
use crate::{
    clock::EpochMillis,
    model::ModelName,
    quarantine::PromptParts,
    relay::{CallProfile, CallRequirements},
    request::RequestId,
};

const START: u64 = 1_000_000;
/// Time from the choice of a runner to the first event of an answer.
const FIRST_EVENT_MS: u64 = 80;
/// Longest wait under the rules for calls without a target.
const BASE_WAIT_MS: u64 = 1_500;

/// A call of a simulated caller.
#[derive(Clone, Debug)]
struct SimCall {
    id: usize,
    kind: usize,
    customer: String,
    model: String,
    /// Time from the arrival to the target; 0 without a target.
    target_ms: u64,
    timeout_ms: u64,
    priority: u8,
    tokens: u64,
    /// Length of the body.
    bytes: u64,
    /// First arrival of the caller.
    began: u64,
    returns: u32,
}

#[derive(Clone, Debug)]
struct SimRunner {
    models: Vec<&'static str>,
    slots: u32,
    hold_ms: u64,
    /// Ends of the calls in flight.
    ends: Vec<u64>,
    /// Times from and until which the runner takes calls.
    up: (u64, u64),
    /// Model that it holds from a time on.
    loaded: Option<(&'static str, u64)>,
}

impl SimRunner {
    fn new(models: &[&'static str], slots: u32, hold_ms: u64) -> SimRunner {
        SimRunner {
            models: models.to_vec(),
            slots,
            hold_ms,
            ends: Vec::new(),
            up: (0, u64::MAX),
            loaded: None,
        }
    }

    fn holds(&self, model: &str, at: u64) -> bool {
        let (from, until) = self.up;
        let loaded = self
            .loaded
            .is_some_and(|(name, since)| name == model && since <= at);
        from <= at && at < until && (loaded || self.models.contains(&model))
    }

    /// Calls that the runner is sent at the most: a quarter more than run at
    /// a time.
    fn capacity(&self) -> u32 {
        self.slots + self.slots / 4
    }
}

/// The runners as admission sees them.
struct SimRunners {
    runners: Vec<SimRunner>,
    began: u64,
}

impl SimRunners {
    fn at(&self, now: EpochMillis) -> u64 {
        now.0 - self.began
    }
}

impl RunnerRoom<SimCall> for SimRunners {
    fn room(&self, call: &SimCall, now: EpochMillis) -> Room {
        let at = self.at(now);
        let mut room = Room::default();
        for one in self.runners.iter().filter(|r| r.holds(&call.model, at)) {
            room.places += one.slots;
            room.taken += one.ends.len() as u32;
        }
        room
    }

    fn serves(&self, runner: &str, call: &SimCall, now: EpochMillis) -> bool {
        let index: usize = runner.parse().unwrap();
        self.runners[index].holds(&call.model, self.at(now))
    }
}

/// What became of a caller.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    InTime,
    Late,
    Refused,
}

/// A refusal: when, after which wait, with how much time left before the wait,
/// and the time to the return.
#[derive(Clone, Copy, Debug)]
struct SimRefusal {
    kind: usize,
    at: u64,
    held_ms: u64,
    left_ms: u64,
    retry_ms: u64,
}

/// A host in front of runners.
struct Sim {
    admission: Admission<SimCall>,
    view: SimRunners,
    now: u64,
    /// Calls that are still to arrive, by time.
    arrivals: Vec<(u64, SimCall)>,
    /// Largest number of times that a refused caller returns.
    max_returns: u32,
    fates: Vec<(SimCall, Fate)>,
    refusals: Vec<SimRefusal>,
    dice: u64,
    /// Whether targets and priorities are dropped, so that calls are treated
    /// as before there was an order by class and customer.
    is_plain: bool,
}

impl Sim {
    fn new(runners: Vec<SimRunner>, is_plain: bool) -> Sim {
        Sim {
            admission: Admission::default(),
            view: SimRunners { runners, began: START },
            now: 0,
            arrivals: Vec::new(),
            max_returns: 2,
            fates: Vec::new(),
            refusals: Vec::new(),
            dice: 1,
            is_plain,
        }
    }

    /// Returns the next of a fixed sequence of numbers from 0 to 1.
    fn roll(&mut self) -> f64 {
        self.dice = self
            .dice
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.dice >> 40) as f64 / (1_u64 << 24) as f64
    }

    /// Adds calls of a kind from `from` to `until` at a mean rate.
    fn add(&mut self, call: &SimCall, per_s: f64, (from, until): (u64, u64)) {
        let mut at = from as f64;
        loop {
            // Times between calls are spread evenly around the mean.
            at += (0.5 + self.roll()) * 1_000.0 / per_s;
            if until as f64 <= at {
                return;
            }
            let id = self.arrivals.len();
            let began = at as u64;
            self.arrivals.push((began, SimCall { id, began, ..call.clone() }));
        }
    }

    fn run(&mut self) {
        let total = self.arrivals.len();
        while self.fates.len() < total {
            let now = EpochMillis(START + self.now);
            self.end_calls(now);
            let due = self.arrivals.extract_if(.., |(at, _)| *at <= self.now);
            let mut due: Vec<_> = due.collect();
            due.sort_by_key(|(at, call)| (*at, call.id));
            for (_, call) in due {
                self.arrive(call, now);
            }
            if self.admission.next_review_at().is_some_and(|at| at <= now) {
                self.round(Scope::All, now);
                for refused in self.admission.review(&self.view, now) {
                    self.refuse(refused, now);
                }
            }
            self.now += 5;
            assert!(self.now < 600_000, "calls that never end");
        }
    }

    fn end_calls(&mut self, now: EpochMillis) {
        for index in 0..self.view.runners.len() {
            let at = self.now;
            let runner = &mut self.view.runners[index];
            let before = runner.ends.len();
            runner.ends.retain(|end| at < *end);
            let ended = before - runner.ends.len();
            let held = std::time::Duration::from_millis(runner.hold_ms);
            for _ in 0..ended {
                self.admission.note_held("advisor", held);
            }
            if 0 < ended {
                self.round(Scope::Runner(&index.to_string()), now);
            }
        }
    }

    fn arrive(&mut self, call: SimCall, now: EpochMillis) {
        let ticket = self.ticket(&call, now);
        let entry = self.admission.arrive(ticket, call, now);
        let obstacle = self.admission.obstacle(&entry, &self.view, now);
        let Some(cause) = obstacle else {
            if let Some((entry, cause)) = self.place(entry, now) {
                self.hold(entry, cause, now);
            }
            return;
        };
        let lane = entry.ticket.lane.clone();
        self.hold(entry, cause, now);
        self.round(Scope::Lane(&lane), now);
    }

    fn ticket(&self, call: &SimCall, now: EpochMillis) -> Ticket {
        let began = EpochMillis(START + call.began);
        let after = |ms| began.after(std::time::Duration::from_millis(ms));
        let deadline = after(call.timeout_ms);
        let has_target = 0 < call.target_ms && !self.is_plain;
        let profile = CallProfile {
            target: has_target.then(|| after(call.target_ms)),
            priority: if self.is_plain { 0 } else { call.priority },
            customer: call.customer.clone(),
            body_bytes: call.bytes,
            ..CallProfile::default()
        };
        let name = ModelName { model: call.model.clone(), adapter: None };
        let requirements = CallRequirements {
            id: RequestId::from_caller("r-1"),
            service: "advisor".to_owned(),
            model: Some(name),
            tokens: call.tokens,
            tried: Vec::new(),
            sent: false,
            deadline,
            parts: PromptParts::default(),
            profile,
        };
        let base = now.until(deadline).mul_f64(0.2);
        let base = base.min(std::time::Duration::from_millis(BASE_WAIT_MS));
        Ticket::of(&requirements, now.after(base), now)
    }

    fn place(
        &mut self,
        entry: Entry<SimCall>,
        now: EpochMillis,
    ) -> Option<(Entry<SimCall>, WaitCause)> {
        let at = self.now;
        let vary = 0.5 + self.roll();
        let holders = self.view.runners.iter_mut();
        let mut holders: Vec<_> = holders
            .filter(|runner| runner.holds(&entry.call.model, at))
            .collect();
        if holders.is_empty() {
            return Some((entry, WaitCause::Model));
        }
        holders.retain(|one| (one.ends.len() as u32) < one.capacity());
        let best = holders.into_iter().min_by_key(|one| one.ends.len());
        let Some(best) = best else {
            return Some((entry, WaitCause::Place));
        };
        assert!(now < entry.ticket.deadline, "placed after its deadline");
        best.ends.push(at + (best.hold_ms as f64 * vary) as u64);
        self.admission.note_placed(&entry, now);
        let head = std::time::Duration::from_millis(FIRST_EVENT_MS);
        self.admission.note_head("advisor", head);
        let call = entry.call;
        let first = at + FIRST_EVENT_MS - call.began;
        let is_late = 0 < call.target_ms && call.target_ms < first;
        let fate = if is_late { Fate::Late } else { Fate::InTime };
        self.fates.push((call, fate));
        None
    }

    fn hold(
        &mut self,
        entry: Entry<SimCall>,
        cause: WaitCause,
        now: EpochMillis,
    ) {
        let held = self.admission.hold(entry, cause, &self.view, now);
        if let Waiting::Refused(refused) = held {
            self.refuse(*refused, now);
        }
    }

    fn round(&mut self, scope: Scope<'_>, now: EpochMillis) {
        let mut round = self.admission.round(scope, &self.view, now);
        while let Some(entry) =
            self.admission.next_turn(&mut round, &self.view, now)
        {
            if let Some((entry, cause)) = self.place(entry, now) {
                self.admission.note_failure(&mut round, &entry);
                self.hold(entry, cause, now);
            }
        }
    }

    fn refuse(&mut self, refused: Refused<SimCall>, now: EpochMillis) {
        let Refused { entry, expected, .. } = refused;
        let ticket = entry.ticket;
        assert!(now <= ticket.deadline, "held past its deadline");
        let dice = self.roll();
        let at = retry_at(&ticket, expected, dice, now);
        self.refusals.push(SimRefusal {
            kind: entry.call.kind,
            at: self.now,
            held_ms: ticket.arrived.until(now).as_millis() as u64,
            left_ms: ticket.arrived.until(ticket.deadline).as_millis() as u64,
            retry_ms: now.until(at).as_millis() as u64,
        });
        let mut call = entry.call;
        let is_over = ticket.deadline <= at;
        if is_over || self.max_returns <= call.returns {
            self.fates.push((call, Fate::Refused));
            return;
        }
        call.returns += 1;
        self.arrivals.push((at.0 - START, call));
    }

    /// Returns the share of the callers of a kind with this fate.
    fn share(&self, kind: usize, fate: Fate) -> f64 {
        let of_kind = self.fates.iter().filter(|(one, _)| one.kind == kind);
        let all = of_kind.clone().count();
        let found = of_kind.filter(|(_, found)| *found == fate).count();
        found as f64 / all.max(1) as f64
    }
}

/// Returns a draft for which a user waits.
fn draft(customer: &str, model: &str) -> SimCall {
    SimCall {
        id: 0,
        kind: 0,
        customer: customer.to_owned(),
        model: model.to_owned(),
        target_ms: 400,
        timeout_ms: 10_000,
        priority: 0,
        tokens: 715,
        bytes: 2_000,
        began: 0,
        returns: 0,
    }
}

/// Returns a draft of a batch.
fn batch(customer: &str, model: &str) -> SimCall {
    SimCall {
        kind: 1,
        target_ms: 8_000,
        timeout_ms: 15_000,
        priority: 2,
        ..draft(customer, model)
    }
}
