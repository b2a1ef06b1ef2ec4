//! Tests of the division of what a cold runner tolerates, in a simulation of
//! hosts that send as much as they may.

use std::time::Duration;

use proptest::prelude::{
    Just, Strategy, prop, prop_assert, prop_oneof, proptest,
};

use super::super::cold::{ColdBounds, ColdDivision, ColdGate};
use crate::{catalog::ColdSpec, clock::EpochMillis, customer::HostLiveness};

const SPEC: ColdSpec = ColdSpec { span_ms: 3_000, per_second: 18.0 };
const BOUNDS: ColdBounds = ColdBounds {
    overshoot: 1.5,
    slack: 5.0,
    contact: Duration::from_millis(3_000),
};
const NAMES: [&str; 5] = ["f-1", "f-2", "f-3", "f-4", "f-5"];
/// Length of a step of the simulation, in milliseconds.
const STEP: u64 = 20;
/// Steps between two digests of a host.
const DIGEST_STEPS: u64 = 10;
/// Steps between two observations of a host.
const OBSERVE_STEPS: u64 = 5;
/// Time at which the simulation begins, in milliseconds.
const BEGIN: u64 = 100_000;

/// What happens to the hosts. A host is given by its index in [`NAMES`].
#[derive(Clone, Debug)]
enum Event {
    /// Time passes, in milliseconds.
    Wait(u64),
    /// The network is cut into parts; each host is in the part of its number.
    Cut(Vec<usize>),
    /// A host stops running for this many milliseconds.
    Pause(usize, u64),
    /// The process of a host ends, and a new one starts in its place.
    Restart(usize),
}

struct SimHost {
    division: ColdDivision,
    gate: ColdGate,
    liveness: HostLiveness,
    paused_until: u64,
}

impl SimHost {
    fn start(number: usize, count: usize, now: EpochMillis) -> SimHost {
        let mut host = SimHost {
            division: ColdDivision::new(NAMES[number], "boden", BOUNDS),
            gate: ColdGate::default(),
            liveness: HostLiveness::default(),
            paused_until: 0,
        };
        for (other, name) in NAMES.iter().enumerate().take(count) {
            if other != number {
                host.division.add_host(name, "boden");
                host.liveness.add_host(name);
            }
        }
        host.division.note_listed(now);
        host
    }
}

/// Network between the hosts.
#[derive(Clone, Copy)]
struct Network {
    /// Share of the digests that are lost, in percent.
    loss: u64,
    /// Longest delay of a digest, in milliseconds.
    delay: u64,
}

struct Simulation {
    hosts: Vec<SimHost>,
    part: Vec<usize>,
    network: Network,
    now: u64,
    /// State of the generator that decides what is lost and late.
    seed: u64,
    /// Digests on their way: time of arrival, sender and receiver.
    on_the_way: Vec<(u64, usize, usize)>,
    /// Calls sent to the runner: time and sender.
    sends: Vec<(u64, usize)>,
}

impl Simulation {
    fn new(count: usize, network: Network, seed: u64) -> Simulation {
        let begin = EpochMillis(BEGIN);
        let start = |number| SimHost::start(number, count, begin);
        Simulation {
            hosts: (0..count).map(start).collect(),
            part: vec![0; count],
            network,
            now: BEGIN,
            seed,
            on_the_way: Vec::new(),
            sends: Vec::new(),
        }
    }

    fn random(&mut self, below: u64) -> u64 {
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.seed >> 33) % below
    }

    fn apply(&mut self, event: &Event) {
        let count = self.hosts.len();
        match event {
            Event::Wait(span) => {
                for _ in 0..span / STEP {
                    self.step();
                }
            }
            Event::Cut(parts) => self.part = parts[..count].to_vec(),
            Event::Pause(host, span) => {
                self.hosts[host % count].paused_until = self.now + span;
            }
            Event::Restart(host) => {
                let host = host % count;
                let now = EpochMillis(self.now);
                self.hosts[host] = SimHost::start(host, count, now);
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let step = self.now / STEP;
        let now = EpochMillis(self.now);
        let arrived: Vec<_> =
            self.on_the_way.extract_if(.., |(at, ..)| *at <= now.0).collect();
        for (_, from, to) in arrived {
            let host = &mut self.hosts[to];
            host.liveness.record_report(NAMES[from], now);
        }
        for number in 0..self.hosts.len() {
            if now.0 < self.hosts[number].paused_until {
                continue;
            }
            if (step + 3 * number as u64).is_multiple_of(DIGEST_STEPS) {
                self.send_digests(number);
            }
            let host = &mut self.hosts[number];
            if (step + number as u64).is_multiple_of(OBSERVE_STEPS) {
                host.division.observe(&host.liveness, now);
                let limits =
                    (BOUNDS.owner_limit(&SPEC), BOUNDS.in_a_second(&SPEC));
                let place = ("i-1", "boden");
                let (division, liveness) = (&host.division, &host.liveness);
                host.gate.refresh(place, limits, division, liveness, now);
            }
            while host.gate.admit(&host.division, now).is_ok() {
                host.gate.record(now);
                self.sends.push((now.0, number));
            }
        }
    }

    fn send_digests(&mut self, from: usize) {
        for to in 0..self.hosts.len() {
            let is_lost = self.random(100) < self.network.loss;
            let delay = self.random(self.network.delay + 1);
            if to != from && self.part[to] == self.part[from] && !is_lost {
                self.on_the_way.push((self.now + delay, from, to));
            }
        }
    }

    /// Iterates over the calls of each second that begins with a call.
    fn seconds(&self) -> impl Iterator<Item = &[(u64, usize)]> {
        self.sends.iter().enumerate().map(|(first, (begin, _))| {
            let rest = &self.sends[first..];
            let count = rest.partition_point(|(at, _)| *at < begin + 1_000);
            &rest[..count]
        })
    }
}

fn event() -> impl Strategy<Value = Event> {
    let host = 0..NAMES.len();
    prop_oneof![
        4 => (100_u64..5_000).prop_map(Event::Wait),
        2 => prop::collection::vec(0_usize..4, NAMES.len())
            .prop_map(Event::Cut),
        1 => Just(Event::Cut(vec![0; NAMES.len()])),
        1 => (host.clone(), 100_u64..9_000)
            .prop_map(|(host, span)| Event::Pause(host, span)),
        1 => host.prop_map(Event::Restart),
    ]
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    prop::collection::vec(event(), 1..24)
}

proptest! {
    /// Guards against hosts that together send a cold runner more than it may
    /// get in a second, however the network is cut and hosts start, stop for a
    /// while and come back.
    #[test]
    fn hosts_together_stay_within_the_bound(
        count in 1_usize..=NAMES.len(),
        delay in 0_u64..300,
        seed in 0_u64..1_000_000,
        events in events(),
    ) {
        let network = Network { loss: 0, delay };
        let mut simulation = Simulation::new(count, network, seed);
        simulation.apply(&Event::Wait(6_000));
        for event in &events {
            simulation.apply(event);
        }
        simulation.apply(&Event::Wait(6_000));
        let bound = BOUNDS.in_a_second(&SPEC) as usize;
        for second in simulation.seconds() {
            prop_assert!(second.len() <= bound, "{second:?}");
        }
    }

    /// Guards against an owner that sends more than its half, so that two of
    /// them exceed the bound, where digests are lost and late at random.
    #[test]
    fn two_owners_at_a_time_stay_within_the_bound(
        count in 2_usize..=NAMES.len(),
        loss in 0_u64..95,
        delay in 0_u64..4_000,
        seed in 0_u64..1_000_000,
        events in events(),
    ) {
        let network = Network { loss, delay };
        let mut simulation = Simulation::new(count, network, seed);
        for event in &events {
            simulation.apply(event);
        }
        let bound = BOUNDS.in_a_second(&SPEC) as usize;
        for second in simulation.seconds() {
            let mut senders: Vec<usize> =
                second.iter().map(|(_, sender)| *sender).collect();
            senders.sort_unstable();
            senders.dedup();
            if senders.len() <= 2 {
                prop_assert!(second.len() <= bound, "{second:?}");
            }
        }
    }
}

/// Guards against a division that is safe because hardly anything is sent.
#[test]
fn most_of_what_a_cold_runner_tolerates_is_used_at_calm() {
    struct Case {
        name: &'static str,
        hosts: usize,
        network: Network,
    }
    let calm = Network { loss: 0, delay: 5 };
    let cases = [
        Case { name: "a host alone", hosts: 1, network: calm },
        Case { name: "two hosts", hosts: 2, network: calm },
        Case { name: "five hosts", hosts: 5, network: calm },
        Case {
            name: "some digests are lost and late",
            hosts: 5,
            network: Network { loss: 10, delay: 100 },
        },
    ];
    for Case { name, hosts, network } in cases {
        let mut simulation = Simulation::new(hosts, network, 7);
        simulation.apply(&Event::Wait(8_000));
        let before = simulation.sends.len();
        simulation.apply(&Event::Wait(20_000));
        let sent = (simulation.sends.len() - before) as f64 / 20.0;
        assert!(0.8 * SPEC.per_second <= sent, "{name}: {sent} per second");
    }
}

/// Guards against hosts that send at the wrong moment.
#[test]
fn a_host_sends_nothing_while_it_may_not_know_the_owner() {
    struct Case {
        name: &'static str,
        hosts: usize,
        before: &'static [Event],
        /// Longest time without any call, in milliseconds.
        quiet: u64,
    }
    let cases = [
        Case {
            name: "after a start",
            hosts: 1,
            before: &[Event::Restart(0)],
            quiet: 2_900,
        },
        Case {
            name: "after a pause",
            hosts: 1,
            before: &[Event::Pause(0, 5_000), Event::Wait(5_000)],
            quiet: 2_900,
        },
        Case {
            name: "not after a short pause",
            hosts: 1,
            before: &[Event::Pause(0, 500), Event::Wait(500)],
            quiet: 0,
        },
    ];
    for Case { name, hosts, before, quiet } in cases {
        let network = Network { loss: 0, delay: 0 };
        let mut simulation = Simulation::new(hosts, network, 7);
        simulation.apply(&Event::Wait(10_000));
        before.iter().for_each(|event| simulation.apply(event));
        let sent = simulation.sends.len();
        simulation.apply(&Event::Wait(quiet));
        assert_eq!(simulation.sends.len(), sent, "{name}");
        simulation.apply(&Event::Wait(1_500));
        assert!(sent < simulation.sends.len(), "{name}: sends again");
    }
}
