//! The state that one host keeps of a runner.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{
    call::CallRequirements,
    capacity::{HeadSample, LearnedCapacity},
    choice::{LoadBasis, RelayChoice, SentCall},
    timing::{ServiceTiming, TimingView},
};
use crate::{
    clock::EpochMillis, model::ModelName, roster::RunnerFacts,
    sorted::SortedTable,
};

/// Weight of a new sample in the moving average of a runner's latency.
const LATENCY_WEIGHT: f64 = 0.2;
/// Weight of a new sample in the moving average of a runner's failures.
const FAILURE_WEIGHT: f64 = 0.1;
/// Consecutive failures after which a runner is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Time without any response head, while at least one is due, after which a
/// runner counts as silent: several times the longest time to the first
/// token.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(800);
/// Length of a runner's first ejection; each further one is twice as long.
const BASE_EJECTION: Duration = Duration::from_millis(500);
/// Number of doublings after which an ejection gets no longer.
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// Age from which the load that another host reported is ignored.
const PEER_LOAD_TTL: Duration = Duration::from_millis(1_500);
/// Calls beyond its slots that a model engine may be sent, as a fraction of
/// the slots; these calls wait in the engine's queue.
const ENGINE_QUEUE_SHARE: f64 = 0.25;
/// Calls beyond its slots that a runner of a plain service may be sent, as a
/// fraction of the slots; the queues of plain services are short.
const PLAIN_QUEUE_SHARE: f64 = 1.0;
/// Age at which an announcement of the lease holder expires and the roster
/// decides which models a runner holds. The lease holder announces at least
/// once a second.
const ANNOUNCEMENT_TTL: Duration = Duration::from_millis(3_000);

/// Outcome of a call at a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallEnd {
    /// The runner sent a complete answer. The latency is the duration of a
    /// plain call, or the mean time between the events of a stream.
    Complete {
        /// Latency, in microseconds.
        latency_us: u64,
    },
    /// The runner itself answered with an error.
    Failed,
    /// The runner sent a malformed answer, or none in time.
    Broken,
    /// The connection to the runner ended before the answer was complete.
    Cut,
    /// No connection to the runner could be opened.
    Unreachable,
    /// The runner rejected the call before running it.
    Rejected,
    /// The caller disconnected, or the outcome says nothing about the
    /// runner's health.
    Neutral,
}

/// Load of another host at a runner, as that host reported it.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerLoad {
    /// Calls in flight.
    pub(super) calls: u32,
    /// Tokens of these calls.
    pub(super) tokens: u64,
    /// Time of the report.
    pub(super) reported_at: EpochMillis,
}

/// A runner in the relay table.
#[derive(Clone, Debug)]
pub(super) struct RelayBackend {
    pub(super) facts: RunnerFacts,
    /// Models and adapters that the runner holds according to the last
    /// announcement of the lease holder, sorted. The lease holder is the host
    /// that sends the runner its orders.
    pub(super) announced_models: Vec<ModelName>,
    /// Time of the last announcement or of its last extension; `None` before
    /// the first announcement and after a missed one.
    pub(super) announced_at: Option<EpochMillis>,
    pub(super) calls: u32,
    pub(super) tokens: u64,
    /// Calls of this host in flight by model and adapter.
    calls_by_model: SortedTable<ModelName, u32>,
    pub(super) peers: SortedTable<String, PeerLoad>,
    /// Moving average of the latency by model, in microseconds; plain calls
    /// are under the empty name.
    latency: SortedTable<String, f64>,
    /// Moving average of the share of calls that failed.
    pub(super) failure_rate: f64,
    pub(super) capacity: LearnedCapacity,
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: EpochMillis,
    /// Calls of this host whose response head is still due.
    awaiting_head: u32,
    /// Time of the last response head, or the time at which the oldest call
    /// that awaits one was sent, if that is later.
    silent_since: EpochMillis,
}

impl RelayBackend {
    pub(super) fn new(facts: RunnerFacts) -> RelayBackend {
        RelayBackend {
            facts,
            announced_models: Vec::new(),
            announced_at: None,
            calls: 0,
            tokens: 0,
            calls_by_model: SortedTable::default(),
            peers: SortedTable::default(),
            latency: SortedTable::default(),
            failure_rate: 0.0,
            capacity: LearnedCapacity::default(),
            consecutive_failures: 0,
            ejections: 0,
            ejected_until: EpochMillis::default(),
            awaiting_head: 0,
            silent_since: EpochMillis::default(),
        }
    }

    /// Returns the number of calls in flight: those of this host and those
    /// that other hosts reported.
    pub(super) fn load(&self, now: EpochMillis) -> u32 {
        let peers = self.fresh_peers(now).map(|load| load.calls);
        peers.fold(self.calls, u32::saturating_add)
    }

    /// Returns the load figures by which the runner is chosen.
    pub(super) fn basis(&self, now: EpochMillis) -> LoadBasis {
        let mut basis = LoadBasis { own: self.calls, ..LoadBasis::default() };
        for load in self.fresh_peers(now).filter(|load| 0 < load.calls) {
            basis.reported = basis.reported.saturating_add(load.calls);
            let age = load.reported_at.until(now).as_millis() as u64;
            basis.oldest_ms = basis.oldest_ms.max(age);
        }
        basis
    }

    /// Returns the tokens of the calls in flight: those of this host and
    /// those that other hosts reported.
    pub(super) fn tokens(&self, now: EpochMillis) -> u64 {
        let peers = self.fresh_peers(now).map(|load| load.tokens);
        peers.fold(self.tokens, u64::saturating_add)
    }

    /// Iterates over the loads of other hosts that were reported recently
    /// enough to count.
    fn fresh_peers(
        &self,
        now: EpochMillis,
    ) -> impl Iterator<Item = &PeerLoad> {
        self.peers
            .values()
            .filter(move |load| now < load.reported_at.after(PEER_LOAD_TTL))
    }

    /// Returns the mean latency of a model on the runner, in microseconds.
    pub(super) fn latency(&self, model: &str) -> Option<f64> {
        self.latency.get(model).copied()
    }

    /// Returns whether the runner should get no calls: it is ejected, a probe
    /// is in flight, or no response head has arrived for [`SILENCE_TIMEOUT`]
    /// although one is due.
    pub(super) fn is_ejected(&self, now: EpochMillis) -> bool {
        let silent = self.silent_since.after(SILENCE_TIMEOUT) <= now;
        // An ejected runner gets a single call as a probe until it has
        // answered.
        let probed = 0 < self.ejections;
        (0 < self.awaiting_head && (silent || probed))
            || now < self.ejected_until
    }

    /// Returns for how long a response head has been due, in milliseconds.
    pub(super) fn overdue_ms(&self, now: EpochMillis) -> f64 {
        if self.awaiting_head == 0 {
            return 0.0;
        }
        self.silent_since.until(now).as_millis() as f64
    }

    /// Returns the adapters that calls of this host use at the runner, and
    /// the models in use that the lease holder no longer announces there.
    pub(super) fn names_in_use(&self) -> Vec<ModelName> {
        let announced = self.announced_at.is_some();
        let listed = |name| self.announced_models.binary_search(name).is_ok();
        let names = self.calls_by_model.keys();
        let names = names.filter(|name| {
            name.adapter.is_some() || (announced && !listed(name))
        });
        names.cloned().collect()
    }

    /// Counts a call as in flight.
    pub(super) fn begin_call(
        &mut self,
        call: &CallRequirements,
        now: EpochMillis,
    ) {
        if self.awaiting_head == 0 {
            self.silent_since = now;
        }
        self.awaiting_head += 1;
        self.calls += 1;
        self.tokens = self.tokens.saturating_add(call.tokens);
        if let Some(name) = &call.model {
            *self.calls_by_model.entry(name.clone(), || 0) += 1;
        }
    }

    /// Records that the head of an answer arrived.
    pub(super) fn note_head(&mut self, now: EpochMillis) {
        self.awaiting_head = self.awaiting_head.saturating_sub(1);
        self.silent_since = now;
    }

    /// Returns the number of calls that the runner takes well: at least one,
    /// and no more than it may be sent.
    pub(super) fn limit(
        &self,
        view: &TimingView<'_>,
        now: EpochMillis,
    ) -> f64 {
        let slots = self.facts.slots;
        let hard = hard_limit(slots, view.timing().is_engine());
        self.capacity.limit(slots, hard, view, now)
    }

    /// Learns from the time to the first event of an answer.
    pub(super) fn note_first_event(
        &mut self,
        sent: SentCall,
        timing: &mut ServiceTiming,
        now: EpochMillis,
    ) {
        let SentCall { at, load, prompt_tokens, target } = sent;
        let limit = self.limit(&timing.at(now), now);
        let sample = HeadSample {
            slots: self.facts.slots,
            load,
            prompt_tokens,
            head_ms: at.until(now).as_millis() as f64,
            left_ms: target.map(|end| at.until(end).as_millis() as f64),
        };
        self.capacity.note_head(&sample, limit, timing, now);
    }

    /// Learns from the pace of a stream.
    pub(super) fn note_pace(
        &mut self,
        model: &str,
        pace_us: u64,
        timing: &mut ServiceTiming,
        now: EpochMillis,
    ) {
        let slots = f64::from(self.facts.slots.max(1));
        let load = f64::from(self.load(now)) / slots;
        self.capacity.note_pace(model, load, pace_us, timing, now);
    }

    /// Learns from a complete answer.
    pub(super) fn note_complete(
        &mut self,
        choice: &RelayChoice,
        latency_us: u64,
        timing: &mut ServiceTiming,
        now: EpochMillis,
    ) {
        timing.note_lifetime(choice.sent.at.until(now).as_millis() as f64);
        if choice.name.is_some() {
            self.note_pace(choice.model(), latency_us, timing, now);
        }
    }

    /// Extends the validity of the announced models, unless they have
    /// already expired.
    pub(super) fn refresh_announced_models(&mut self, now: EpochMillis) {
        let fresh = |at: &EpochMillis| now < at.after(ANNOUNCEMENT_TTL);
        if self.announced_at.as_ref().is_some_and(fresh) {
            self.announced_at = Some(now);
        }
    }

    /// Returns whether the runner holds a model and, if one is named, its
    /// adapter. Without a valid announcement the roster decides, and an
    /// adapter of the last announcement still counts if the roster lists its
    /// model.
    pub(super) fn holds(&self, name: &ModelName, now: EpochMillis) -> bool {
        let is_fresh = self
            .announced_at
            .is_some_and(|at| now < at.after(ANNOUNCEMENT_TTL));
        if is_fresh {
            return self.announced_models.binary_search(name).is_ok();
        }
        let Some(model) = self.facts.model(&name.model) else { return false };
        let Some(adapter) = &name.adapter else { return true };
        model.adapters.contains(adapter)
            || self.announced_models.contains(name)
    }

    /// Records the end of a call. `head_received` says whether
    /// [`note_head`](Self::note_head) was called for it.
    pub(super) fn end_call(
        &mut self,
        choice: &RelayChoice,
        head_received: bool,
        end: CallEnd,
        now: EpochMillis,
    ) {
        self.calls = self.calls.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(choice.tokens);
        self.release_model(choice);
        if !head_received {
            self.awaiting_head = self.awaiting_head.saturating_sub(1);
        }
        match end {
            CallEnd::Complete { latency_us } => {
                self.update_latency(choice.model(), latency_us);
                self.failure_rate -= FAILURE_WEIGHT * self.failure_rate;
                self.consecutive_failures = 0;
                self.ejections = 0;
            }
            CallEnd::Neutral => {}
            CallEnd::Failed => self.note_failure(),
            CallEnd::Unreachable => self.eject(now),
            CallEnd::Broken | CallEnd::Cut | CallEnd::Rejected => {
                self.note_failure();
                self.consecutive_failures += 1;
                if FAILURES_TO_EJECT <= self.consecutive_failures {
                    self.eject(now);
                }
            }
        }
    }

    /// Removes an ended call from the count of its model's calls.
    fn release_model(&mut self, choice: &RelayChoice) {
        let Some(name) = &choice.name else { return };
        let Some(calls) = self.calls_by_model.get_mut(name) else { return };
        *calls -= 1;
        if *calls == 0 {
            self.calls_by_model.remove(name);
        }
    }

    /// Adds a latency sample to the moving average of a model.
    pub(super) fn update_latency(&mut self, model: &str, latency_us: u64) {
        let sample = latency_us as f64;
        let mean = self.latency.entry(model.to_owned(), || sample);
        *mean += LATENCY_WEIGHT * (sample - *mean);
    }

    /// Ejects the runner for a time that doubles with each ejection, up to a
    /// limit.
    fn eject(&mut self, now: EpochMillis) {
        if now < self.ejected_until {
            // Several calls that hit the same fault count as one ejection.
            return;
        }
        let wait = BASE_EJECTION * 2_u32.pow(self.ejections);
        self.ejected_until = now.after(wait);
        self.ejections = MAX_EJECTION_DOUBLINGS.min(self.ejections + 1);
        self.consecutive_failures = 0;
    }

    /// Adds a failure to the moving average of the failure rate.
    fn note_failure(&mut self) {
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
    }
}

/// Returns the number of calls that a runner may be sent at most.
pub(super) fn hard_limit(slots: u32, is_engine: bool) -> f64 {
    let queue_share =
        if is_engine { ENGINE_QUEUE_SHARE } else { PLAIN_QUEUE_SHARE };
    f64::from(slots) * (1.0 + queue_share)
}
