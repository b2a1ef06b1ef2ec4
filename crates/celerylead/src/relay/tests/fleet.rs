//! Simulation of many hosts that share the runners of one service, in steps
//! of 1 ms.
//!
//! Each host has a separate table and learns the load of the other hosts
//! from their digests, which are sent as often as by the gossip task. The
//! number of calls that the hosts serve in time is compared with the number
//! that the same runners serve under a central scheduler that knows every
//! call.

use std::collections::VecDeque;

use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

use super::{
    super::{CallEnd, RelayChoice, RelayTable},
    call, catalog_with, runner,
};
use crate::{
    catalog::ServiceCatalog, clock::EpochMillis, membership::RunnerLoad,
    roster::RunnerFacts,
};

/// Simulated time, in milliseconds.
const DURATION_MS: u64 = 12_000;
/// Initial period whose calls aren't counted, in milliseconds.
const WARM_UP_MS: u64 = 2_000;
/// Time between two digests to hosts of the same availability zone, in
/// milliseconds. Hosts of other zones get every second digest.
const DIGEST_PERIOD_MS: u64 = 200;
/// Number of calls that a runner queues beyond its slots.
const QUEUE_LIMIT: usize = 24;
/// Number of connections that a runner accepts; no simulated runner reaches
/// it.
const MAX_LINKS: u32 = 500;
/// Number of availability zones.
const ZONES: usize = 3;

/// A service and the hosts and calls that load it.
#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    hosts: usize,
    /// Factor on the work of a call, for each runner.
    slowdowns: &'static [f64],
    model: Option<&'static str>,
    slots: usize,
    per_second: f64,
    work_ms: f64,
    /// Time within which an answer is in time, in milliseconds.
    objective_ms: u64,
}

/// A call at a runner, running or queued.
struct SimCall {
    sent_at: u64,
    work: u64,
    /// Host that sent the call, and the choice in that host's table; `None`
    /// under the central scheduler.
    reservation: Option<(usize, RelayChoice)>,
}

/// A runner with a limited number of slots and a queue.
#[derive(Default)]
struct SimRunner {
    running: Vec<(u64, SimCall)>,
    waiting: VecDeque<SimCall>,
}

impl SimRunner {
    fn load(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Starts queued calls in free slots, and returns the calls that have
    /// ended.
    fn step(&mut self, slots: usize, now: u64) -> Vec<SimCall> {
        let mut ended = Vec::new();
        let mut index = 0;
        while index < self.running.len() {
            if self.running[index].0 <= now {
                ended.push(self.running.swap_remove(index).1);
            } else {
                index += 1;
            }
        }
        while self.running.len() < slots
            && let Some(sim_call) = self.waiting.pop_front()
        {
            self.running.push((now + sim_call.work, sim_call));
        }
        ended
    }
}

/// Outcomes of the counted calls.
#[derive(Debug, Default)]
struct Tally {
    sent: u32,
    in_time: u32,
    full: u32,
    rejected: u32,
}

impl Tally {
    fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent.max(1))
    }
}

struct Fleet {
    case: Case,
    /// Whether the hosts know until when an answer is in time.
    has_targets: bool,
    catalog: ServiceCatalog,
    tables: Vec<RelayTable>,
    runners: Vec<SimRunner>,
    tally: Tally,
}

fn zone(index: usize) -> String {
    format!("zone-{}", index % ZONES)
}

impl Fleet {
    fn new(case: Case) -> Fleet {
        let service = if case.model.is_some() { "advisor" } else { "ledger" };
        let models: Vec<&str> = case.model.into_iter().collect();
        let facts = (0..case.slowdowns.len()).map(|index| RunnerFacts {
            zone: zone(index),
            slots: case.slots as u32,
            ..runner(&format!("runner-{index}"), service, &models)
        });
        let facts: Vec<RunnerFacts> = facts.collect();
        let tables = (0..case.hosts).map(|host| {
            let mut table = RelayTable::new(&zone(host));
            table.set_roster(facts.iter());
            table
        });
        let runners = case.slowdowns.iter().map(|_| SimRunner::default());
        Fleet {
            case,
            has_targets: false,
            catalog: catalog_with(MAX_LINKS),
            tables: tables.collect(),
            runners: runners.collect(),
            tally: Tally::default(),
        }
    }

    /// Simulates the calls of a seed. Without `by_hosts`, a central scheduler
    /// sends each call to the runner with the lowest product of actual load
    /// and slowdown.
    fn simulate(mut self, seed: u64, by_hosts: bool) -> Tally {
        let mut random = StdRng::seed_from_u64(seed);
        let chance = self.case.per_second / 1_000.0;
        for now in 0..DURATION_MS {
            for index in 0..self.runners.len() {
                let ended = self.runners[index].step(self.case.slots, now);
                for sim_call in ended {
                    self.end_call(sim_call, now);
                }
            }
            if by_hosts {
                self.send_digests(now);
            }
            if random.random_bool(chance) {
                let host = random.random_range(0..self.case.hosts);
                let factor = random.random_range(0.5..1.5);
                let counted = self.is_counted(now);
                self.tally.sent += u32::from(counted);
                let work = self.case.work_ms * factor;
                if by_hosts {
                    self.send_call(host, work, now, counted);
                } else {
                    self.send_to_least_loaded(work, now);
                }
            }
        }
        self.tally
    }

    fn send_call(&mut self, host: usize, work: f64, now: u64, counted: bool) {
        let service =
            if self.case.model.is_some() { "advisor" } else { "ledger" };
        let mut call = call(service, self.case.model);
        call.tokens = 1;
        let at = EpochMillis(now);
        if self.has_targets {
            let target = EpochMillis(now + self.case.objective_ms);
            call.profile.target = Some(target);
        }
        let table = &mut self.tables[host];
        let Ok(choice) = table.pick(&call, &self.catalog, at) else {
            self.tally.full += u32::from(counted);
            return;
        };
        let (_, index) = choice.runner.split_once('-').unwrap();
        let index: usize = index.parse().unwrap();
        if self.case.slots + QUEUE_LIMIT <= self.runners[index].load() {
            table.end_call(&choice, false, CallEnd::Rejected, at);
            self.tally.rejected += u32::from(counted);
            return;
        }
        let work = (work * self.case.slowdowns[index]) as u64;
        let reservation = Some((host, choice));
        let sim_call = SimCall { sent_at: now, work, reservation };
        self.runners[index].waiting.push_back(sim_call);
    }

    fn send_to_least_loaded(&mut self, work: f64, now: u64) {
        let cost = |index: usize| {
            self.case.slowdowns[index]
                * (self.runners[index].load() + 1) as f64
        };
        let best = (0..self.runners.len())
            .min_by(|one, other| cost(*one).total_cmp(&cost(*other)));
        let index = best.unwrap();
        let work = (work * self.case.slowdowns[index]) as u64;
        let sim_call = SimCall { sent_at: now, work, reservation: None };
        self.runners[index].waiting.push_back(sim_call);
    }

    fn end_call(&mut self, sim_call: SimCall, now: u64) {
        let latency_ms = now - sim_call.sent_at;
        let counted = self.is_counted(sim_call.sent_at);
        let in_time = latency_ms <= self.case.objective_ms;
        self.tally.in_time += u32::from(counted && in_time);
        if let Some((host, choice)) = sim_call.reservation {
            let end = CallEnd::Complete { latency_us: latency_ms * 1_000 };
            let at = EpochMillis(now);
            let table = &mut self.tables[host];
            if self.case.model.is_none() {
                table.note_first_event(&choice.start(), choice.sent, at);
            }
            table.end_call(&choice, false, end, at);
        }
    }

    /// Returns whether a call sent at `sent_at` is counted. Calls of the
    /// warm-up aren't, nor those sent too late to end in time.
    fn is_counted(&self, sent_at: u64) -> bool {
        let last = DURATION_MS - self.case.objective_ms;
        (WARM_UP_MS..last).contains(&sent_at)
    }

    /// Delivers the digests that are due.
    fn send_digests(&mut self, now: u64) {
        for host in 0..self.case.hosts {
            let due = now + host as u64 * 7;
            if !due.is_multiple_of(DIGEST_PERIOD_MS) {
                continue;
            }
            let to_all_zones = due.is_multiple_of(2 * DIGEST_PERIOD_MS);
            let at = EpochMillis(now);
            let loads: Vec<RunnerLoad> = self.tables[host].loads();
            let name = format!("host-{host}");
            for (index, table) in self.tables.iter_mut().enumerate() {
                if index != host
                    && (to_all_zones || index % ZONES == host % ZONES)
                {
                    table.update_peer_loads(&name, &loads, at);
                }
            }
        }
    }
}

/// Least ratio of the share served in time to that under the central scheduler.
const MIN_SHARE: f64 = 0.95;

/// Returns the loads of the tests.
fn cases() -> [Case; 8] {
    let few = Case {
        name: "few hosts",
        hosts: 8,
        slowdowns: &[1.0; 3],
        model: None,
        slots: 6,
        per_second: 140.0,
        work_ms: 60.0,
        objective_ms: 300,
    };
    let many = Case {
        name: "many hosts",
        hosts: 87,
        slowdowns: &[1.0; 5],
        per_second: 231.0,
        ..few
    };
    [
        few,
        many,
        Case {
            name: "shorter calls",
            hosts: 74,
            per_second: 268.0,
            work_ms: 30.0,
            objective_ms: 150,
            ..many
        },
        Case { name: "a runner is gone", slowdowns: &[1.0; 4], ..many },
        Case {
            name: "runners differ",
            slowdowns: &[0.6, 1.0, 1.0, 1.0, 1.6],
            ..many
        },
        Case {
            name: "a runner is slow",
            slowdowns: &[4.0, 1.0, 1.0, 1.0, 1.0],
            ..many
        },
        Case { name: "a higher call rate", per_second: 350.0, ..many },
        Case {
            name: "long calls",
            model: Some("bend"),
            slowdowns: &[1.0; 4],
            slots: 24,
            per_second: 60.0,
            work_ms: 1_000.0,
            objective_ms: 2_000,
            ..many
        },
    ]
}

/// Returns the cases and seeds in which hosts, with targets or without, serve too
/// few calls in time.
fn failures(has_targets: bool) -> Vec<String> {
    let mut failures = Vec::new();
    for case in cases() {
        for seed in 1..=3 {
            let best = Fleet::new(case).simulate(seed, false);
            let fleet = Fleet { has_targets, ..Fleet::new(case) };
            let found = fleet.simulate(seed, true);
            if found.share() < MIN_SHARE * best.share() {
                failures.push(format!(
                    "{}, seed {seed}: {:.2} in time of {:.2}, {found:?}",
                    case.name,
                    found.share(),
                    best.share(),
                ));
            }
        }
    }
    failures
}

/// Guards against plain calls of which only half as many are served in time
/// as the runners could serve, which happens as soon as many hosts share few
/// runners.
#[test]
fn many_hosts_serve_what_their_runners_can() {
    let failures = failures(false);
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against hosts that, for the sake of a target, serve less in time than
/// those that know none.
#[test]
fn hosts_that_know_targets_serve_what_their_runners_can() {
    let failures = failures(true);
    assert!(failures.is_empty(), "{failures:#?}");
}
