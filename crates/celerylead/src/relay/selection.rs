//! The choice among the runners that may get a call.
//!
//! A call with a target goes where the least lateness is expected: of its own
//! first event and gaps, and of the streams that its prompt would stall. Among
//! runners where that is alike, the load in relation to the learned capacity
//! decides, then the availability zone. A call without a target goes where it is
//! expected to take the least time.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};

use super::{
    backend::RelayBackend,
    call::{CallProfile, CallRequirements},
    choice::Headroom,
    timing::{ServiceTiming, TimingView},
};
use crate::clock::EpochMillis;

/// Latency assumed while no runner has answered yet, in microseconds.
const DEFAULT_LATENCY_US: f64 = 20_000.0;
/// Ratio of the time that a call takes at a full runner to its time at an
/// idle one.
const FULL_FACTOR: f64 = 3.0;
/// Factor on the expected cost of a call at a runner whose failure rate is a
/// twentieth above the mean of the candidates. The cost grows linearly with
/// the failure rate.
const FAILURE_FACTOR: f64 = 2.0;
/// Cost of a call into another availability zone, as a fraction of the
/// latency.
const OTHER_ZONE_FACTOR: f64 = 0.15;
/// Cost of one late call, in units of a runner's capacity.
const LATE_COST: f64 = 8.0;
/// Cost of a call into another availability zone, in the same units: less than
/// that of one call more at a runner of 12 slots.
const OTHER_ZONE_COST: f64 = 0.08;
/// Further cost of a runner over its capacity, for each multiple of it.
const OVER_LIMIT_COST: f64 = 1.0;
/// Share of a runner's token memory from which on a call costs more: the calls
/// that others send meanwhile may exhaust it, and the runner then preempts one.
const MEMORY_SHARE: f64 = 0.8;
/// Cost of the memory beyond that, for the whole memory.
const MEMORY_COST: f64 = 10.0;
/// Time that digests are under way and collected by an aggregator, by which the
/// calls of others are older than their report, in milliseconds.
const DIGEST_DELAY_MS: f64 = 100.0;
/// Most of the difference from the mean load that is expected to have vanished
/// since the other hosts reported their calls.
const MAX_PULL: f64 = 0.8;
/// Ratio of the random part of the cost to the load that the other hosts have
/// sent since their reports. Over the patterns of `hard_load.rs` a ratio of 2
/// gave 0.969 of the calls in time, one of 1 with a tighter bound 0.946, and
/// none 0.931.
const JITTER_RATIO: f64 = 2.0;

/// A runner that may get a call.
pub(super) struct Candidate<'a> {
    pub(super) backend: &'a RelayBackend,
    own: f64,
    reported: f64,
    age_ms: f64,
}

impl<'a> Candidate<'a> {
    pub(super) fn new(
        backend: &'a RelayBackend,
        now: EpochMillis,
    ) -> Candidate<'a> {
        let basis = backend.basis(now);
        Candidate {
            backend,
            own: f64::from(basis.own),
            reported: f64::from(basis.reported),
            age_ms: basis.oldest_ms as f64,
        }
    }

    fn load(&self) -> f64 {
        self.own + self.reported
    }
}

/// Returns the candidate that gets a call; `None` if there is no candidate.
pub(super) fn best<'a>(
    candidates: &[Candidate<'a>],
    call: &CallRequirements,
    timing: Option<&ServiceTiming>,
    token_capacity: Option<u64>,
    zone: &str,
    now: EpochMillis,
) -> Option<&'a RelayBackend> {
    let mean_failure_rate =
        mean(candidates.iter().map(|found| found.backend.failure_rate));
    let failure_factor = |found: &Candidate<'_>| {
        let excess = found.backend.failure_rate - mean_failure_rate;
        1.0 + (FAILURE_FACTOR - 1.0) * excess.max(0.0) * 20.0
    };
    let is_far = |found: &Candidate<'_>| found.backend.facts.zone != zone;
    let chosen = match timing {
        Some(timing) if call.profile.target.is_some() => {
            let forecast = Forecast::new(candidates, call, timing, now);
            least(candidates, |found| {
                let far = if is_far(found) { OTHER_ZONE_COST } else { 0.0 };
                let memory = memory_cost(found, call, token_capacity, now);
                (forecast.cost(found) + memory + far) * failure_factor(found)
            })
        }
        _ => {
            let default_latency = fastest(candidates, call);
            least(candidates, |found| {
                let far = if is_far(found) { OTHER_ZONE_FACTOR } else { 0.0 };
                let latency = latency(found, call).unwrap_or(default_latency);
                let slots = f64::from(found.backend.facts.slots.max(1));
                let load = found.load() / slots;
                latency
                    * (1.0 + (FULL_FACTOR - 1.0) * load + far)
                    * failure_factor(found)
            })
        }
    };
    chosen.map(|found| found.backend)
}

/// Returns the free room for a call at the candidates.
pub(super) fn headroom(
    candidates: &[Candidate<'_>],
    call: &CallRequirements,
    timing: Option<&ServiceTiming>,
    now: EpochMillis,
) -> Headroom {
    let prior = ServiceTiming::new(call.model.is_some());
    let timing = timing.unwrap_or(&prior);
    let forecast = Forecast::new(candidates, call, timing, now);
    let free = |found: &Candidate<'_>| {
        (found.backend.limit(&forecast.view, now) - forecast.load(found))
            .max(0.0)
    };
    let first_event_ms =
        candidates.iter().map(|found| forecast.head_ms(found));
    Headroom {
        runners: u32::try_from(candidates.len()).unwrap_or(u32::MAX),
        free: candidates.iter().map(free).sum(),
        first_event_ms: first_event_ms.reduce(f64::min),
    }
}

/// What a call may expect at the candidates.
struct Forecast<'a> {
    call: &'a CallRequirements,
    view: TimingView<'a>,
    now: EpochMillis,
    model: &'a str,
    mean_reported: f64,
    /// Share of the difference of a runner's reported load from the mean that
    /// has vanished since the report, as the other hosts follow the same
    /// reports.
    pull: f64,
    /// Calls that the other hosts have sent to the candidates since their
    /// reports.
    unseen: f64,
}

impl<'a> Forecast<'a> {
    fn new(
        candidates: &[Candidate<'_>],
        call: &'a CallRequirements,
        timing: &'a ServiceTiming,
        now: EpochMillis,
    ) -> Forecast<'a> {
        let reported: f64 =
            candidates.iter().map(|found| found.reported).sum();
        let age_ms =
            candidates.iter().map(|found| found.age_ms).fold(0.0, f64::max);
        // The calls in flight are replaced once in their lifetime.
        let replaced = (age_ms + DIGEST_DELAY_MS) / timing.lifetime_ms();
        Forecast {
            call,
            view: timing.at(now),
            now,
            model: call.model.as_ref().map_or("", |name| &name.model),
            mean_reported: reported / candidates.len().max(1) as f64,
            pull: replaced.min(MAX_PULL),
            unseen: reported * replaced,
        }
    }

    /// Returns the calls that are expected to be in flight at a runner.
    fn load(&self, found: &Candidate<'_>) -> f64 {
        let missing = self.mean_reported - found.reported;
        found.load() + self.pull * missing
    }

    /// Returns the load with this call, for each slot.
    fn load_share(&self, found: &Candidate<'_>) -> f64 {
        let slots = f64::from(found.backend.facts.slots.max(1));
        (self.load(found) + 1.0) / slots
    }

    /// Returns the expected time to the first event, in milliseconds.
    fn head_ms(&self, found: &Candidate<'_>) -> f64 {
        let slowness = found.backend.capacity.slowness(self.now);
        let load = self.load_share(found);
        let prompt = self.call.profile.prompt_tokens;
        let expected = self.view.head_ms(slowness, load, prompt);
        // A runner that owes an answer for longer is slow at the moment.
        expected.max(found.backend.overdue_ms(self.now))
    }

    fn cost(&self, found: &Candidate<'_>) -> f64 {
        let limit = found.backend.limit(&self.view, self.now);
        let load = (self.load(found) + 1.0) / limit;
        let over = (load - 1.0).max(0.0);
        let jitter =
            JITTER_RATIO * self.unseen.min(self.mean_reported) / limit;
        LATE_COST * self.lateness(found)
            + load
            + OVER_LIMIT_COST * over
            + jitter * self.noise(found)
    }

    /// Returns the expected number of calls that are late because of the
    /// choice: this one, and the streams that its prompt stalls.
    fn lateness(&self, found: &Candidate<'_>) -> f64 {
        let CallProfile { prompt_tokens, target, gap_ms, .. } =
            self.call.profile;
        let left = target
            .map_or(0.0, |target| self.now.until(target).as_millis() as f64);
        let head = self.view.late_share(self.head_ms(found), left);
        if gap_ms == 0 || self.call.model.is_none() {
            return head;
        }
        let limit = gap_ms as f64;
        let slowness = found.backend.capacity.slowness(self.now);
        let load = self.load_share(found);
        let pace = self.view.timing().pace_ms(self.model, slowness, load);
        let stall = |tokens| self.view.stall_ms(slowness, tokens);
        let usual = pace + stall(self.view.timing().mean_prompt());
        let stalled = pace + stall(prompt_tokens as f64);
        let own = self.view.long_gap_share(usual, limit);
        let others = self.view.long_gap_share(stalled, limit) - own;
        head + (1.0 - head) * own + self.load(found) * others.max(0.0)
    }

    /// Returns a number from 0 to 1 that differs between calls and runners.
    fn noise(&self, found: &Candidate<'_>) -> f64 {
        let mut hasher = DefaultHasher::new();
        self.call.id.as_str().hash(&mut hasher);
        self.now.0.hash(&mut hasher);
        found.backend.facts.id.hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Returns the cost of a runner whose token memory is nearly taken.
fn memory_cost(
    found: &Candidate<'_>,
    call: &CallRequirements,
    token_capacity: Option<u64>,
    now: EpochMillis,
) -> f64 {
    let Some(capacity) = token_capacity else { return 0.0 };
    let tokens = found.backend.tokens(now).saturating_add(call.tokens);
    let share = tokens as f64 / capacity.max(1) as f64;
    MEMORY_COST * (share - MEMORY_SHARE).max(0.0)
}

/// Returns the lowest latency of the candidates. A
/// runner that hasn't answered yet is assumed to be as fast as the fastest, so
/// that every runner gets tried.
fn fastest(candidates: &[Candidate<'_>], call: &CallRequirements) -> f64 {
    let latencies = candidates.iter().filter_map(|found| latency(found, call));
    latencies.reduce(f64::min).unwrap_or(DEFAULT_LATENCY_US)
}

fn latency(found: &Candidate<'_>, call: &CallRequirements) -> Option<f64> {
    let model = call.model.as_ref().map_or("", |name| &name.model);
    found.backend.latency(model)
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len().max(1) as f64;
    values.sum::<f64>() / count
}

fn least<'c, 'a>(
    candidates: &'c [Candidate<'a>],
    cost: impl Fn(&Candidate<'_>) -> f64,
) -> Option<&'c Candidate<'a>> {
    let costs = candidates.iter().map(|found| (found, cost(found)));
    let best = costs.min_by(|one, other| one.1.total_cmp(&other.1));
    best.map(|(found, _)| found)
}
