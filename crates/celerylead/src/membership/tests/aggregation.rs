//! A fleet that exchanges its state through aggregators, in simulated time.

use std::time::Duration;

use crate::{
    EpochMillis,
    catalog::{RateUnit, TokenRate},
    customer::{FleetBucket, HostLiveness},
    membership::{
        AggregateSource, AggregatorCandidate, AggregatorChoice,
        AggregatorSeat, FleetDigest, GOSSIP_TICK, GossipTick, HostDigest,
        HostMessage, RunnerLoad, SpentTotal,
    },
};

const ZONES: usize = 5;
const RUNNERS: usize = 40;
const CUSTOMER: &str = "parish";
const RATE: TokenRate =
    TokenRate { per_second: 3_000, burst: 3_000, unit: RateUnit::Calls };
/// Window in which the platform counts a customer's calls.
const WINDOW: Duration = Duration::from_millis(8_000);

struct SimulatedHost {
    name: String,
    zone: String,
    is_down: bool,
    choice: AggregatorChoice,
    seat: Option<AggregatorSeat>,
    bucket: FleetBucket,
    liveness: HostLiveness,
    /// Runner at which the host has a call.
    runner: String,
    /// What all other hosts do, as last told.
    told: FleetDigest,
    /// Hosts that weren't heard, as last told.
    absent: Vec<String>,
    messages: usize,
}

/// Name and zone of a host.
type HostIdentity = (String, String);

struct SimulatedFleet {
    /// Names and zones of all hosts, in the order of their names.
    identities: Vec<HostIdentity>,
    hosts: Vec<SimulatedHost>,
    /// Messages under way, by index of the receiver.
    wires: Vec<(usize, HostMessage)>,
    /// Whether each zone is cut in two halves, which
    /// don't hear each other.
    is_cut: bool,
    tick: usize,
    admitted: Vec<(EpochMillis, u64)>,
}

impl SimulatedFleet {
    fn start(hosts: usize) -> SimulatedFleet {
        let identity = |index: usize| {
            (format!("front-{index:03}"), format!("zone-{}", index % ZONES))
        };
        let identities: Vec<HostIdentity> = (0..hosts).map(identity).collect();
        let now = EpochMillis(1_000_000);
        let host = |index: usize| {
            let (name, zone) = identities[index].clone();
            let mut choice = AggregatorChoice::new(&name, &zone, 2, now);
            choice.set_candidates(candidates(&identities, &[]));
            let mut liveness = HostLiveness::default();
            for (other, _) in identities.iter().filter(|(o, _)| *o != name) {
                liveness.add_host(other);
            }
            SimulatedHost {
                choice,
                seat: None,
                bucket: FleetBucket::empty(RATE, now),
                liveness,
                runner: format!("i-{:02}", index % RUNNERS),
                told: FleetDigest::default(),
                absent: Vec::new(),
                messages: 0,
                is_down: false,
                name,
                zone,
            }
        };
        let hosts = (0..hosts).map(host).collect();
        SimulatedFleet {
            identities,
            hosts,
            wires: Vec::new(),
            is_cut: false,
            tick: 0,
            admitted: Vec::new(),
        }
    }

    fn now(&self) -> EpochMillis {
        EpochMillis(1_000_000).after(GOSSIP_TICK * self.tick as u32)
    }

    /// Plays for some seconds. With `calls`, each host makes a call of this cost
    /// in each tick.
    fn play(&mut self, seconds: u32, calls: Option<u64>) {
        let ticks = Duration::from_secs(u64::from(seconds)).as_millis()
            / GOSSIP_TICK.as_millis();
        for _ in 0..ticks {
            let now = self.now();
            for (receiver, message) in std::mem::take(&mut self.wires) {
                self.deliver(receiver, message, now);
            }
            for index in 0..self.hosts.len() {
                if self.hosts[index].is_down {
                    continue;
                }
                if let Some(cost) = calls {
                    let SimulatedHost { bucket, liveness, .. } =
                        &mut self.hosts[index];
                    if bucket.take(cost, liveness, now).is_ok() {
                        self.admitted.push((now, cost));
                    }
                }
                self.act(index, now);
            }
            self.tick += 1;
        }
    }

    /// Does what one host does in a tick.
    fn act(&mut self, index: usize, now: EpochMillis) {
        let identities = &self.identities;
        let position = |name: &str| {
            identities.binary_search_by(|(n, _)| n.as_str().cmp(name)).ok()
        };
        let host = &mut self.hosts[index];
        // The hosts' rounds begin at different times.
        let tick = GossipTick::new(self.tick + index, identities.len());
        let mut sent: Vec<(usize, HostMessage)> = Vec::new();
        if tick.begins_round() {
            let digest = host.digest(index);
            for target in host.choice.targets(now) {
                let message = HostMessage::Member(digest.clone());
                sent.extend(position(target).map(|to| (to, message)));
            }
            if host.choice.is_candidate() {
                host.seat(now).record_member(digest, now);
            }
        }
        let neighbours: Vec<(usize, &str)> = identities
            .iter()
            .enumerate()
            .filter(|(i, (_, zone))| *zone == host.zone && *i != index)
            .map(|(i, (name, _))| (i, name.as_str()))
            .collect();
        let leads = host.choice.is_candidate() && host.choice.leads(now);
        host.seat(now);
        if let Some(seat) = host.seat.take() {
            let listed = neighbours.len() + 1;
            host.seat = Some(seat.update(leads, listed, now).0);
        }
        let zones: Vec<String> =
            host.choice.zones().map(str::to_owned).collect();
        let others = zones.iter().filter(|zone| **zone != host.zone);
        let listed = neighbours.iter().map(|(_, name)| *name);
        let seat = host.seat.as_mut();
        if let Some(sums) = seat.and_then(AggregatorSeat::publishing) {
            let total = sums.total(
                listed.clone(),
                others.clone().map(String::as_str),
                now,
            );
            for (to, name) in &neighbours {
                if tick.includes(*to, true) {
                    let digest = sums.fleet_digest(&total, name, now);
                    sent.push((*to, HostMessage::Fleet(digest)));
                }
            }
            if tick.begins_round() {
                let digest = sums.fleet_digest(&total, &host.name, now);
                let zone_digest = sums.zone_digest(listed, now);
                for zone in others {
                    for carrier in host.choice.carriers(zone, now) {
                        let message = HostMessage::Zone(zone_digest.clone());
                        sent.extend(position(carrier).map(|to| (to, message)));
                    }
                }
                host.follow(digest, identities, now);
            }
        }
        host.messages += sent.len();
        let half = |index: usize| index / ZONES % 2;
        let is_cut = self.is_cut;
        sent.retain(|(to, _)| !is_cut || half(*to) == half(index));
        self.wires.extend(sent);
    }

    fn deliver(
        &mut self,
        receiver: usize,
        message: HostMessage,
        now: EpochMillis,
    ) {
        let identities = &self.identities;
        let host = &mut self.hosts[receiver];
        if host.is_down {
            return;
        }
        match message {
            HostMessage::Member(digest) => {
                host.seat(now).record_member(digest, now);
            }
            HostMessage::Zone(digest) => {
                let source = digest.source.host.clone();
                host.choice.record_source(&digest.zone, &source, now);
                host.seat(now).record_zone(digest, now);
            }
            HostMessage::Fleet(digest) => {
                host.follow(digest, identities, now);
            }
            other => panic!("unexpected message: {other:?}"),
        }
    }

    /// Stops the aggregator of a zone.
    fn stop_aggregator(&mut self, zone: usize) {
        let zone = format!("zone-{zone}");
        let aggregator = self.hosts.iter_mut().find(|host| {
            host.zone == zone
                && !host.is_down
                && matches!(host.seat, Some(AggregatorSeat::Publishing(_)))
        });
        aggregator.expect("the zone has an aggregator").is_down = true;
    }

    /// Checks that each host knows the calls of all others.
    fn check_loads(&self, name: &str) {
        let live = || self.hosts.iter().filter(|host| !host.is_down);
        let calls_at = |runner: &str| {
            live().filter(|host| host.runner == runner).count() as u32
        };
        for host in live() {
            for runner in 0..RUNNERS {
                let runner = format!("i-{runner:02}");
                let own = u32::from(host.runner == runner);
                let told = host.told.loads.iter();
                let told = told
                    .filter(|load| load.runner == runner)
                    .map(|load| load.calls)
                    .sum::<u32>();
                assert_eq!(
                    told + own,
                    calls_at(&runner),
                    "{name}: {runner} at {}, told by {}",
                    host.name,
                    host.told.source.host,
                );
            }
        }
    }

    /// Returns the most that was admitted in a window.
    fn most_admitted(&self) -> u64 {
        let mut most = 0;
        let mut first = 0;
        let mut sum = 0;
        for (at, cost) in &self.admitted {
            sum += cost;
            while self.admitted[first].0.after(WINDOW) <= *at {
                sum -= self.admitted[first].1;
                first += 1;
            }
            most = most.max(sum);
        }
        most
    }
}

impl SimulatedHost {
    fn digest(&self, index: usize) -> HostDigest {
        HostDigest {
            host: self.name.clone(),
            incarnation: index as u64 + 1,
            loads: vec![RunnerLoad {
                runner: self.runner.clone(),
                calls: 1,
                tokens: 100,
                names: Vec::new(),
            }],
            spent: vec![SpentTotal {
                customer: CUSTOMER.to_owned(),
                total: self.bucket.spent(),
                level: self.bucket.known_level(),
            }],
            ..HostDigest::default()
        }
    }

    fn seat(&mut self, now: EpochMillis) -> &mut AggregatorSeat {
        let host = self.name.clone();
        let incarnation = host.bytes().fold(7, |hash: u64, byte| {
            hash.wrapping_mul(31).wrapping_add(u64::from(byte))
        });
        let source = AggregateSource { host, incarnation };
        let zone = &self.zone;
        self.seat.get_or_insert_with(|| AggregatorSeat::new(zone, source, now))
    }

    fn follow(
        &mut self,
        digest: FleetDigest,
        identities: &[HostIdentity],
        now: EpochMillis,
    ) {
        if !self.choice.admit(&digest.source.host, now) {
            return;
        }
        let absent = identities.iter().filter(|(name, zone)| {
            *name != self.name
                && (digest.silent_zones.contains(zone)
                    || digest.silent.contains(name))
        });
        let absent: Vec<String> =
            absent.map(|(name, _)| name.clone()).collect();
        if absent != self.absent {
            self.choice.set_candidates(candidates(identities, &absent));
            self.absent.clone_from(&absent);
        }
        self.liveness.record_reports(&absent, now);
        for spent in &digest.spent {
            let source = digest.source.incarnation;
            self.bucket.record_sum(source, spent.total, spent.level, now);
        }
        self.told = digest;
    }
}

fn candidates<'a>(
    identities: &'a [HostIdentity],
    absent: &'a [String],
) -> impl Iterator<Item = AggregatorCandidate<'a>> {
    let listed = identities.iter().enumerate();
    listed.map(|(index, (host, zone))| AggregatorCandidate {
        host,
        zone,
        core_permille: if index < 2 * ZONES { 500 } else { 90 },
        is_absent: absent.contains(host),
    })
}

/// Guards against a host that takes runners for idle which others use, while
/// aggregators change.
#[test]
fn each_host_knows_the_calls_of_all_others() {
    struct Case {
        name: &'static str,
        hosts: usize,
        /// Zones whose aggregators stop, one after the other.
        stops: &'static [usize],
    }
    let cases = [
        Case { name: "small zones", hosts: 10, stops: &[] },
        Case { name: "large zones", hosts: 100, stops: &[] },
        Case { name: "one stops", hosts: 100, stops: &[2] },
        Case {
            name: "two of a zone and one of another stop",
            hosts: 100,
            stops: &[0, 0, 4],
        },
    ];
    for Case { name, hosts, stops } in cases {
        let mut fleet = SimulatedFleet::start(hosts);
        fleet.play(3, None);
        fleet.check_loads(name);
        for zone in stops {
            fleet.stop_aggregator(*zone);
            // 0.45 s until the silence counts, 1.5 s until the calls of the
            // stopped host don't count any more, and two rounds.
            fleet.play(3, None);
            fleet.check_loads(name);
        }
    }
}

/// Guards against two halves of a zone that each take the other one for gone, and
/// go on so once they could hear each other again.
#[test]
fn a_zone_that_was_cut_in_two_has_one_aggregator_again() {
    let mut fleet = SimulatedFleet::start(60);
    fleet.play(3, None);
    fleet.is_cut = true;
    fleet.play(4, None);
    fleet.is_cut = false;
    fleet.play(3, None);
    fleet.check_loads("after the cut");
    let publishing = fleet.hosts.iter().filter(|host| {
        matches!(host.seat, Some(AggregatorSeat::Publishing(_)))
    });
    assert_eq!(publishing.count(), ZONES, "aggregators");
}

/// Guards against a customer that exceeds its rate because what the others
/// spend is lost between two aggregators.
#[test]
fn rates_hold_while_aggregators_change() {
    struct Case {
        name: &'static str,
        hosts: usize,
        /// Zones whose aggregators stop, one in each second.
        stops: &'static [usize],
    }
    let cases = [
        Case { name: "calm", hosts: 60, stops: &[] },
        Case { name: "one stops", hosts: 60, stops: &[1] },
        Case {
            name: "one of each zone stops",
            hosts: 60,
            stops: &[0, 1, 2, 3, 4],
        },
        Case {
            name: "all candidates of a zone stop",
            hosts: 60,
            stops: &[3, 3, 3],
        },
    ];
    for Case { name, hosts, stops } in cases {
        let mut fleet = SimulatedFleet::start(hosts);
        fleet.play(3, Some(10));
        for zone in stops {
            fleet.stop_aggregator(*zone);
            fleet.play(2, Some(10));
        }
        fleet.play(10, Some(10));
        let yielded = RATE.per_second * WINDOW.as_secs() + RATE.burst;
        let most = fleet.most_admitted();
        assert!(most <= yielded * 11 / 10, "{name}: {most} of {yielded}");
        // A customer isn't kept far below its rate either.
        assert!(yielded / 2 <= most, "{name}: {most} of {yielded}");
    }
}

/// Guards against an exchange whose cost for each host grows with the fleet.
#[test]
fn the_messages_of_a_host_are_independent_of_the_fleet() {
    let per_host = |hosts: usize| {
        let mut fleet = SimulatedFleet::start(hosts);
        fleet.play(2, None);
        let messages = |fleet: &SimulatedFleet| -> usize {
            fleet.hosts.iter().map(|host| host.messages).sum()
        };
        let before = messages(&fleet);
        fleet.play(2, None);
        (messages(&fleet) - before) as f64 / (2 * hosts) as f64
    };
    let (small, large) = (per_host(30), per_host(300));
    assert!(large <= small * 1.1, "{small} a second, {large} in a large one");
}
