//! A customer's rate over a fleet whose hosts start again, in simulated time.

use std::time::Duration;

use crate::{
    EpochMillis,
    catalog::{RateUnit, TokenRate},
    customer::{FleetBucket, HostLiveness},
};

const HOSTS: usize = 8;
const RATE: TokenRate =
    TokenRate { per_second: 8_000, burst: 16_000, unit: RateUnit::Calls };
/// Window in which the platform counts a customer's calls.
const WINDOW: Duration = Duration::from_secs(8);
/// Time between two digests of a host.
const DIGEST_MS: u64 = 200;
/// Time between two calls at a host.
const CALL_MS: u64 = 10;
/// Time for which a host is down.
const OUTAGE_MS: u64 = 300;

struct SimulatedHost {
    name: String,
    incarnation: u64,
    bucket: FleetBucket,
    liveness: HostLiveness,
    up_from: u64,
}

impl SimulatedHost {
    fn start(number: usize, incarnation: u64, now: u64) -> SimulatedHost {
        let mut liveness = HostLiveness::default();
        for other in (0..HOSTS).filter(|other| *other != number) {
            liveness.add_host(&format!("front-{other}"));
        }
        SimulatedHost {
            name: format!("front-{number}"),
            incarnation,
            bucket: FleetBucket::empty(RATE, EpochMillis(now)),
            liveness,
            up_from: now,
        }
    }
}

struct Case {
    name: &'static str,
    /// Times at which `killed` hosts end, in milliseconds.
    kills: &'static [u64],
    killed: usize,
    /// What callers send at any time after 4 s, times the rate.
    load: f64,
    /// Least part of what the rate allows that is admitted in the worst window.
    least: f64,
}

/// Plays a case for 20 seconds; returns what was admitted, in order of time.
fn play(case: &Case) -> Vec<(u64, u64)> {
    let mut hosts: Vec<SimulatedHost> =
        (0..HOSTS).map(|number| SimulatedHost::start(number, 1, 0)).collect();
    let calls_per_second = HOSTS as u64 * 1_000 / CALL_MS;
    let cost = case.load * RATE.per_second as f64 / calls_per_second as f64;
    let mut admitted = Vec::new();
    for at in 0..20_000_u64 {
        let now = EpochMillis(at);
        for number in 0..HOSTS {
            if number < case.killed && case.kills.contains(&at) {
                let incarnation = hosts[number].incarnation + 1;
                let up_from = at + OUTAGE_MS;
                hosts[number] =
                    SimulatedHost::start(number, incarnation, up_from);
            }
            if at < hosts[number].up_from {
                continue;
            }
            let phase = number as u64 * DIGEST_MS / HOSTS as u64;
            if (at + phase).is_multiple_of(DIGEST_MS) {
                let SimulatedHost { name, incarnation, bucket, .. } =
                    &hosts[number];
                let (name, incarnation) = (name.clone(), *incarnation);
                let (spent, level) = (bucket.spent(), bucket.known_level());
                for other in (0..HOSTS).filter(|other| *other != number) {
                    let other = &mut hosts[other];
                    if other.up_from <= at {
                        other.liveness.record_report(&name, now);
                        other.bucket.record_total(
                            &name,
                            incarnation,
                            spent,
                            level,
                        );
                    }
                }
            }
            if 4_000 <= at && (at + number as u64).is_multiple_of(CALL_MS) {
                let host = &mut hosts[number];
                let cost = cost as u64;
                if host.bucket.take(cost, &host.liveness, now).is_ok() {
                    admitted.push((at, cost));
                }
            }
        }
    }
    admitted
}

/// Guards against rates that are exceeded while hosts start again: what a host
/// has admitted since its last digest is known to no other, and a host that
/// starts doesn't know what the others admit until it has their digests.
#[test]
fn a_rate_holds_while_hosts_start_again() {
    let case = Case {
        name: "no host",
        kills: &[],
        killed: HOSTS,
        load: 8.0,
        least: 0.85,
    };
    let cases = [
        Case { name: "all hosts once", kills: &[5_000], ..case },
        Case {
            name: "all hosts in series",
            kills: &[5_000, 6_500, 8_000, 9_500, 11_000, 12_500],
            least: 0.5,
            ..case
        },
        Case {
            name: "half of the hosts in series",
            kills: &[5_000, 6_000, 7_000, 8_000, 9_000, 10_000, 11_000],
            killed: HOSTS / 2,
            ..case
        },
        Case {
            name: "one host in series",
            kills: &[5_000, 6_000, 7_000, 8_000, 9_000, 10_000, 11_000],
            killed: 1,
            ..case
        },
        case,
    ];
    let mut failures = Vec::new();
    for case in cases {
        let admitted = play(&case);
        let windows = admitted.iter().map(|(first, _)| {
            let until = first + WINDOW.as_millis() as u64;
            let calls = admitted.iter();
            let calls = calls.filter(|(at, _)| first <= at && *at < until);
            calls.map(|(_, cost)| cost).sum::<u64>()
        });
        let most = windows.max().unwrap_or(0);
        let rate = RATE.per_second * WINDOW.as_secs() + RATE.burst;
        let allowed = rate + rate / 10;
        println!("{}: {most} of {allowed}", case.name);
        if allowed < most {
            failures.push(format!("{}: {most} of {allowed}", case.name));
        }
        let least = (case.least * rate as f64) as u64;
        if most < least {
            failures.push(format!("{}: only {most} of {rate}", case.name));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
