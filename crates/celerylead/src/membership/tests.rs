mod aggregation;
mod excerpt;
mod gossip;
mod listing;
mod orders;

use super::{HeldLease, HostLease, HostTag, LeasePhase, best_host};
use crate::clock::{ClockBound, EpochMillis};

fn lease() -> HostLease {
    HostLease {
        tag: HostTag { host: "kgn-1".to_owned(), incarnation: 1 },
        nonce: 7,
        zone: "kgn".to_owned(),
        peer_address: "127.0.0.1:1".to_owned(),
        deadline: EpochMillis(10_000),
        standing_deadline: EpochMillis(60_000),
        revision: 1,
        phase: LeasePhase::Serving,
        demand: Default::default(),
    }
}

struct LeaseCase {
    name: &'static str,
    /// Times at which the process records that it runs.
    ticks: &'static [u64],
    /// Start and arrival of a second read that confirms the lease, if any.
    second_reading: Option<(u64, u64)>,
    used_at: u64,
    live: bool,
    standing: bool,
}

#[test]
fn a_lease_is_used_only_before_its_deadline_and_without_pauses() {
    let cases = [
        LeaseCase {
            name: "before both deadlines",
            ticks: &[3_000, 5_000],
            second_reading: None,
            used_at: 5_100,
            live: true,
            standing: true,
        },
        LeaseCase {
            name: "within the clock skew of the deadline",
            ticks: &[3_000, 6_000, 9_000, 9_500],
            second_reading: None,
            used_at: 9_800,
            live: false,
            standing: true,
        },
        LeaseCase {
            name: "a pause immediately before the use",
            ticks: &[3_000, 5_000],
            second_reading: None,
            used_at: 8_900,
            live: false,
            standing: false,
        },
        LeaseCase {
            name: "a pause before the last tick",
            ticks: &[3_000, 5_000, 20_000],
            second_reading: None,
            used_at: 20_000,
            live: false,
            standing: false,
        },
        LeaseCase {
            name: "a read that began before the pause confirms nothing",
            ticks: &[3_000, 5_000],
            second_reading: Some((4_900, 9_000)),
            used_at: 9_000,
            live: false,
            standing: false,
        },
        LeaseCase {
            name: "a read that began after the pause confirms the lease",
            ticks: &[1_000, 5_000],
            second_reading: Some((5_001, 5_100)),
            used_at: 5_100,
            live: true,
            standing: true,
        },
        LeaseCase {
            name: "long after the last renewal, without a pause",
            ticks: &[3_000, 6_000, 9_000, 12_000, 15_000],
            second_reading: None,
            used_at: 15_000,
            live: false,
            standing: true,
        },
    ];
    for case in cases {
        let mut own_lease = HeldLease::default();
        let start = EpochMillis(1_000);
        own_lease.confirm(Some(&lease()), start, start);
        for tick in case.ticks {
            own_lease.tick(EpochMillis(*tick));
        }
        if let Some((from, at)) = case.second_reading {
            let from = EpochMillis(from);
            own_lease.confirm(Some(&lease()), from, EpochMillis(at));
        }
        let now = ClockBound::around(EpochMillis(case.used_at));
        assert_eq!(own_lease.is_live(now), case.live, "live: {}", case.name);
        assert_eq!(
            own_lease.is_standing_live(now),
            case.standing,
            "{}",
            case.name
        );
    }
}

#[test]
fn a_lost_host_moves_only_its_own_names() {
    let hosts = ["kgn-1", "kgn-2", "kgn-3"];
    let names: Vec<String> = (0..300).map(|n| format!("c{n}")).collect();
    let mut moved = 0;
    for name in &names {
        let before = best_host(hosts, name);
        let after = best_host(["kgn-1", "kgn-2"], name);
        if before == Some("kgn-3") {
            moved += 1;
        } else {
            assert_eq!(before, after);
        }
    }
    assert!((60..=140).contains(&moved), "{moved} of 300 names moved");
}
