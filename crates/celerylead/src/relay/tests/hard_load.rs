//! Simulation of a fleet whose model engines have hardly room for their load,
//! in steps of 1 ms.
//!
//! An engine answers in steps: each gives one event to every stream whose
//! prompt is processed, and processes a part of the prompts. Above eight of its
//! twelve slots that part shrinks quickly, so that first events come late. Hosts
//! learn the load of the others from a total that is up to 400 ms old.

use std::collections::VecDeque;

use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

use super::{
    super::{CallEnd, CallProfile, CallRequirements, RelayChoice, RelayTable},
    call, runner,
};
use crate::{
    catalog::{CallLimits, EngineSpec, ServiceCatalog, ServiceSpec},
    clock::EpochMillis,
    membership::RunnerLoad,
    request::RequestId,
    roster::RunnerFacts,
};

/// Simulated time, in milliseconds.
const DURATION_MS: u64 = 14_000;
/// Initial period whose calls aren't counted, in milliseconds.
const WARM_UP_MS: u64 = 4_000;
/// Final period whose calls aren't counted, in milliseconds.
const COOL_DOWN_MS: u64 = 1_500;
/// Calls that an engine runs at a time.
const SLOTS: usize = 12;
/// Calls at an engine above which prompts are processed more slowly.
const WELL_SERVED: usize = 8;
/// Prompt tokens that an engine processes in a step.
const CHUNK_TOKENS: u64 = 4_096;
/// Tokens of an ordinary and of a long prompt.
const PROMPT_TOKENS: u64 = 715;
const LONG_PROMPT_TOKENS: u64 = 8_000;
/// Events of an answer.
const EVENTS: u32 = 30;
/// Time to the first event, and the longest gap, that are in time.
const TARGET_MS: u64 = 400;
const GAP_MS: u64 = 200;
/// Time for which a call waits for a runner with room.
const MAX_WAIT_MS: u64 = 300;
/// Number of runners that hold a model.
const HOLDERS: usize = 3;
/// Number of availability zones.
const ZONES: usize = 3;

/// A change of the time that a runner takes for everything.
#[derive(Clone, Copy)]
struct Slowdown {
    runner: usize,
    factor: f64,
    from: u64,
    until: u64,
}

/// A load, and the least share of its calls that is to be in time.
#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    hosts: usize,
    /// Speed of each runner.
    speeds: &'static [f64],
    per_second: f64,
    /// Share of the calls that asks for the first model, and when.
    hot_share: f64,
    hot_ms: (u64, u64),
    long_share: f64,
    slowdowns: &'static [Slowdown],
    /// Time between two totals of the other hosts, in milliseconds.
    digest_ms: u64,
}

/// How runners are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Chooser {
    /// By calls with a target.
    Targets,
    /// By calls without one, as all calls were chosen for before.
    Former,
    /// By one scheduler that knows every call and the speed of each runner.
    Central,
}

struct SimStream {
    host: usize,
    choice: Option<RelayChoice>,
    arrived_at: u64,
    prompt_left: u64,
    events: u32,
    first_at: u64,
    last_at: u64,
    pace_since: u64,
    longest_gap: u64,
}

#[derive(Default)]
struct SimEngine {
    running: Vec<SimStream>,
    waiting: VecDeque<SimStream>,
    step_end: Option<u64>,
    /// Prompt tokens that the step processes, by stream.
    chunks: Vec<u64>,
}

impl SimEngine {
    fn load(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Begins a step and returns its duration at speed 1, in milliseconds.
    fn begin_step(&mut self) -> f64 {
        while self.running.len() < SLOTS
            && let Some(stream) = self.waiting.pop_front()
        {
            self.running.push(stream);
        }
        let excess = self.running.len().saturating_sub(WELL_SERVED);
        let mut budget = CHUNK_TOKENS >> (excess * 5 / 4);
        let mut decoding = 0;
        self.chunks.clear();
        for stream in &self.running {
            let chunk = stream.prompt_left.min(budget);
            budget -= chunk;
            decoding += u32::from(stream.prompt_left == 0);
            self.chunks.push(chunk);
        }
        let tokens: u64 = self.chunks.iter().sum();
        8.0 + 1.5 * f64::from(decoding) + 0.034 * tokens as f64
    }
}

/// Outcomes of the counted calls.
#[derive(Debug, Default)]
struct Tally {
    calls: u32,
    in_time: u32,
    late_head: u32,
    long_gap: u32,
    refused: u32,
}

impl Tally {
    fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.calls.max(1))
    }
}

struct WaitingCall {
    host: usize,
    arrived_at: u64,
    call: CallRequirements,
}

struct Fleet {
    case: Case,
    chooser: Chooser,
    catalog: ServiceCatalog,
    tables: Vec<RelayTable>,
    engines: Vec<SimEngine>,
    waiting: Vec<WaitingCall>,
    tally: Tally,
}

fn zone(index: usize) -> String {
    format!("zone-{}", index % ZONES)
}

fn catalog() -> ServiceCatalog {
    let engine = EngineSpec {
        batch: SLOTS as u32,
        token_capacity: 45_108,
        memory_mb: 100.0,
        adapter_places: 2,
        loads_per_second: 1.0,
        models: Vec::new(),
    };
    let service = ServiceSpec {
        name: "advisor".to_owned(),
        max_links: 500,
        cold: None,
        engine: Some(engine),
    };
    let limits = CallLimits::default();
    ServiceCatalog::new(1, limits, Vec::new(), vec![service], Vec::new())
}

impl Fleet {
    fn new(case: Case, chooser: Chooser) -> Fleet {
        let count = case.speeds.len();
        let facts: Vec<RunnerFacts> = (0..count)
            .map(|index| {
                // Runner r holds the models r, r-1 and r-2.
                let models: Vec<String> = (0..HOLDERS)
                    .map(|back| {
                        format!("m-{}", (index + count - back) % count)
                    })
                    .collect();
                let models: Vec<&str> =
                    models.iter().map(String::as_str).collect();
                RunnerFacts {
                    zone: zone(index),
                    slots: SLOTS as u32,
                    ..runner(&format!("runner-{index}"), "advisor", &models)
                }
            })
            .collect();
        let tables = (0..case.hosts).map(|host| {
            let mut table = RelayTable::new(&zone(host));
            table.set_roster(facts.iter());
            table
        });
        Fleet {
            case,
            chooser,
            catalog: catalog(),
            tables: tables.collect(),
            engines: (0..count).map(|_| SimEngine::default()).collect(),
            waiting: Vec::new(),
            tally: Tally::default(),
        }
    }

    fn simulate(mut self, seed: u64) -> Tally {
        let mut random = StdRng::seed_from_u64(seed);
        let chance = self.case.per_second / 1_000.0;
        for now in 0..DURATION_MS {
            for index in 0..self.engines.len() {
                self.step(index, now);
            }
            if self.chooser != Chooser::Central {
                self.send_digests(now);
            }
            for _ in 0..2 {
                if random.random_bool(chance / 2.0) {
                    let call = self.arrival(&mut random, now);
                    self.tally.calls += u32::from(is_counted(now));
                    self.waiting.push(call);
                }
            }
            if now.is_multiple_of(5) {
                for call in std::mem::take(&mut self.waiting) {
                    self.dispatch(call, now);
                }
            }
        }
        self.tally
    }

    fn arrival(&self, random: &mut StdRng, now: u64) -> WaitingCall {
        let (from, until) = self.case.hot_ms;
        let is_hot = (from..until).contains(&now)
            && random.random_bool(self.case.hot_share);
        let models = self.case.speeds.len();
        let model = if is_hot { 0 } else { random.random_range(0..models) };
        let is_long = random.random_bool(self.case.long_share);
        let prompt = if is_long { LONG_PROMPT_TOKENS } else { PROMPT_TOKENS };
        let mut call = call("advisor", Some(&format!("m-{model}")));
        call.id =
            RequestId::from_caller(&format!("r-{}", random.random::<u64>()));
        call.tokens = prompt + u64::from(EVENTS);
        if self.chooser == Chooser::Targets {
            call.profile = CallProfile {
                prompt_tokens: prompt,
                output_tokens: u64::from(EVENTS),
                target: Some(EpochMillis(now + TARGET_MS)),
                gap_ms: GAP_MS,
                ..CallProfile::default()
            };
        }
        let host = random.random_range(0..self.case.hosts);
        WaitingCall { host, arrived_at: now, call }
    }

    /// Sends a call to a runner, or lets it wait for one for a while.
    fn dispatch(&mut self, waiting: WaitingCall, now: u64) {
        let WaitingCall { host, arrived_at, ref call } = waiting;
        let prompt = call.tokens - u64::from(EVENTS);
        let at = EpochMillis(now);
        let (index, choice) = if self.chooser == Chooser::Central {
            (self.least_loaded(call, now), None)
        } else {
            let picked = self.tables[host].pick(call, &self.catalog, at);
            let index = picked.as_ref().ok().map(|choice| {
                let (_, index) = choice.runner.split_once('-').unwrap();
                index.parse().unwrap()
            });
            (index, picked.ok())
        };
        let Some(index) = index else {
            if arrived_at + MAX_WAIT_MS <= now {
                self.tally.refused += u32::from(is_counted(arrived_at));
            } else {
                self.waiting.push(waiting);
            }
            return;
        };
        self.engines[index].waiting.push_back(SimStream {
            host,
            choice,
            arrived_at,
            prompt_left: prompt,
            events: 0,
            first_at: 0,
            last_at: 0,
            pace_since: 0,
            longest_gap: 0,
        });
    }

    fn least_loaded(
        &self,
        call: &CallRequirements,
        now: u64,
    ) -> Option<usize> {
        let model = &call.model.as_ref().unwrap().model;
        let model: usize = model.strip_prefix("m-").unwrap().parse().unwrap();
        let count = self.engines.len();
        let cost = |index: &usize| {
            self.time_factor(*index, now)
                * (self.engines[*index].load() + 1) as f64
        };
        (0..HOLDERS)
            .map(|ahead| (model + ahead) % count)
            .filter(|index| self.engines[*index].load() < SLOTS)
            .min_by(|one, other| cost(one).total_cmp(&cost(other)))
    }

    /// Returns the time that a runner takes, in relation to speed 1.
    fn time_factor(&self, index: usize, now: u64) -> f64 {
        let slowdowns = self.case.slowdowns.iter().filter(|slowdown| {
            slowdown.runner == index
                && (slowdown.from..slowdown.until).contains(&now)
        });
        slowdowns.map(|slowdown| slowdown.factor).product::<f64>()
            / self.case.speeds[index]
    }

    fn step(&mut self, index: usize, now: u64) {
        if self.engines[index].step_end.is_some_and(|end| now < end) {
            return;
        }
        if self.engines[index].step_end.take().is_some() {
            self.end_step(index, now);
        }
        if 0 < self.engines[index].load() {
            let factor = self.time_factor(index, now);
            let duration = self.engines[index].begin_step() * factor;
            let end = now + (duration.ceil() as u64).max(1);
            self.engines[index].step_end = Some(end);
        }
    }

    fn end_step(&mut self, index: usize, now: u64) {
        let chunks = std::mem::take(&mut self.engines[index].chunks);
        let streams = std::mem::take(&mut self.engines[index].running);
        for (mut stream, chunk) in streams.into_iter().zip(chunks) {
            let had_prompt = 0 < stream.prompt_left;
            stream.prompt_left -= chunk;
            if 0 < stream.prompt_left {
                self.engines[index].running.push(stream);
                continue;
            }
            if had_prompt {
                stream.first_at = now;
                stream.pace_since = now;
                self.note_head(&stream, now);
            } else {
                let gap = now - stream.last_at;
                stream.longest_gap = stream.longest_gap.max(gap);
            }
            stream.last_at = now;
            stream.events += 1;
            if stream.events.is_multiple_of(12) {
                self.note_pace(&stream, now);
                stream.pace_since = now;
            }
            if stream.events < EVENTS {
                self.engines[index].running.push(stream);
            } else {
                self.end_stream(&stream, now);
            }
        }
    }

    fn note_head(&mut self, stream: &SimStream, now: u64) {
        let Some(choice) = &stream.choice else { return };
        let table = &mut self.tables[stream.host];
        let start = choice.start();
        table.note_head(&start, EpochMillis(now));
        table.note_first_event(&start, choice.sent, EpochMillis(now));
    }

    fn note_pace(&mut self, stream: &SimStream, now: u64) {
        let Some(choice) = &stream.choice else { return };
        let pace_us = (now - stream.pace_since) * 1_000 / 12;
        let (runner, model) = (&choice.runner, choice.model());
        let table = &mut self.tables[stream.host];
        table.record_latency(runner, model, pace_us);
        table.note_pace(runner, model, pace_us, EpochMillis(now));
    }

    fn end_stream(&mut self, stream: &SimStream, now: u64) {
        if is_counted(stream.arrived_at) {
            let late_head = stream.arrived_at + TARGET_MS < stream.first_at;
            let long_gap = GAP_MS < stream.longest_gap;
            self.tally.in_time += u32::from(!late_head && !long_gap);
            self.tally.late_head += u32::from(late_head);
            self.tally.long_gap += u32::from(long_gap);
        }
        let Some(choice) = &stream.choice else { return };
        let span = now - stream.first_at;
        let latency_us = span * 1_000 / u64::from(EVENTS);
        let end = CallEnd::Complete { latency_us };
        let table = &mut self.tables[stream.host];
        table.end_call(choice, true, end, EpochMillis(now));
    }

    /// Delivers the calls of all other hosts to each host, those of half of the
    /// hosts every second time only.
    fn send_digests(&mut self, now: u64) {
        if !now.is_multiple_of(self.case.digest_ms) {
            return;
        }
        let loads: Vec<Vec<RunnerLoad>> =
            self.tables.iter().map(RelayTable::loads).collect();
        let mut totals = vec![(0, 0); self.engines.len()];
        let index = |load: &RunnerLoad| -> usize {
            let (_, index) = load.runner.split_once('-').unwrap();
            index.parse().unwrap()
        };
        for load in loads.iter().flatten() {
            let total = &mut totals[index(load)];
            total.0 += load.calls;
            total.1 += load.tokens;
        }
        let round = now / self.case.digest_ms;
        for (host, table) in self.tables.iter_mut().enumerate() {
            if host % 2 == 1 && round % 2 == 1 {
                continue;
            }
            let mut others = totals.clone();
            for load in &loads[host] {
                let total = &mut others[index(load)];
                total.0 -= load.calls;
                total.1 -= load.tokens;
            }
            let mut others: Vec<RunnerLoad> = others
                .into_iter()
                .enumerate()
                .filter(|(_, (calls, _))| 0 < *calls)
                .map(|(index, (calls, tokens))| RunnerLoad {
                    runner: format!("runner-{index}"),
                    calls,
                    tokens,
                    names: Vec::new(),
                })
                .collect();
            others.sort_by(|one, other| one.runner.cmp(&other.runner));
            table.update_peer_loads("", &others, EpochMillis(now));
        }
    }
}

/// Returns whether a call that arrived at `at` is counted.
fn is_counted(at: u64) -> bool {
    (WARM_UP_MS..DURATION_MS - COOL_DOWN_MS).contains(&at)
}

/// Guards against calls that are late at one runner while another has room, as
/// the runner's speed, its long prompts or its present slowness aren't known.
#[test]
fn calls_are_in_time_under_hard_load() {
    /// Least ratio of the share in time to that under the central scheduler.
    const MIN_SHARE: f64 = 0.9;
    const MIXED: &[f64] =
        &[0.6, 1.0, 1.6, 1.0, 0.6, 1.6, 1.0, 1.0, 1.6, 0.6, 1.0, 1.0];
    const EVEN: &[f64] = &[1.0; 12];
    let case = Case {
        // Chosen without targets: 0.95 and 0.81.
        name: "speeds of 0.6, 1 and 1.6",
        hosts: 40,
        speeds: MIXED,
        per_second: 120.0,
        hot_share: 0.0,
        hot_ms: (0, 0),
        long_share: 0.0,
        slowdowns: &[],
        digest_ms: 200,
    };
    let cases = [
        case,
        Case {
            // Chosen without targets: 0.83 and 0.86.
            name: "stale views of 40 hosts",
            speeds: EVEN,
            per_second: 108.0,
            digest_ms: 400,
            ..case
        },
        Case {
            // Chosen without targets: 0.99 and 0.97.
            name: "flash crowd on one model",
            speeds: EVEN,
            per_second: 90.0,
            hot_share: 0.2,
            hot_ms: (6_000, 10_000),
            ..case
        },
        Case {
            // Chosen without targets: 0.93 and 0.97.
            name: "slow third of the runners",
            speeds: &[
                0.4, 1.0, 1.0, 0.4, 1.0, 1.0, 0.4, 1.0, 1.0, 0.4, 1.0, 1.0,
            ],
            per_second: 85.0,
            ..case
        },
        Case {
            // Chosen without targets: 0.95 and 0.94.
            name: "a runner slowed 2.5 times for 600 ms",
            speeds: EVEN,
            per_second: 110.0,
            slowdowns: &[
                Slowdown { runner: 2, factor: 2.5, from: 5_000, until: 5_600 },
                Slowdown { runner: 7, factor: 2.5, from: 7_000, until: 7_600 },
                Slowdown { runner: 2, factor: 2.5, from: 9_000, until: 9_600 },
                Slowdown {
                    runner: 9,
                    factor: 2.5,
                    from: 11_000,
                    until: 11_600,
                },
            ],
            ..case
        },
        Case {
            // Chosen without targets: 0.92 and 0.92.
            name: "long prompts beside streams",
            per_second: 85.0,
            long_share: 0.06,
            ..case
        },
    ];
    let mut failures = Vec::new();
    for case in cases {
        for seed in 1..=2 {
            let share = |chooser| {
                let tally = Fleet::new(case, chooser).simulate(seed);
                (tally.share(), tally)
            };
            let (best, _) = share(Chooser::Central);
            let (former, _) = share(Chooser::Former);
            let (found, tally) = share(Chooser::Targets);
            if found < MIN_SHARE * best {
                failures.push(format!(
                    "{}, seed {seed}: {found:.3} in time of {best:.3}, \
                     without targets {former:.3}, {tally:?}",
                    case.name,
                ));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
