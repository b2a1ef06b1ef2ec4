//! The lease on orders, as tables of cases.

use std::time::Duration;

use crate::{
    EpochMillis,
    membership::{OrdersLease, OrdersRow},
};

const TURNS: Duration = Duration::from_millis(3_000);

fn row(holder: &str, incarnation: u64, fencing: u64) -> OrdersRow {
    OrdersRow { holder: holder.to_owned(), incarnation, fencing }
}

/// Holder, process, number and version.
type SeenRow = (&'static str, u64, u64, u64);

/// Host `a` in its process 7 looks at the row.
#[test]
fn a_lease_is_taken_only_where_nobody_can_order_any_more() {
    struct Case {
        name: &'static str,
        /// Points at which the row was read, and what it was.
        readings: &'static [(u64, Option<SeenRow>)],
        at: u64,
        /// Fencing number and expected version of the claim.
        claim: Option<(u64, u64)>,
    }
    let cases = [
        Case { name: "never read", readings: &[], at: 0, claim: None },
        Case {
            name: "no row",
            readings: &[(0, None)],
            at: 0,
            claim: Some((1, 0)),
        },
        Case {
            name: "own row",
            readings: &[(0, Some(("a", 7, 4, 9)))],
            at: 0,
            claim: Some((4, 9)),
        },
        Case {
            name: "row of an earlier process of this host",
            readings: &[(0, Some(("a", 6, 4, 9)))],
            at: 0,
            claim: Some((5, 9)),
        },
        Case {
            name: "another's row, just seen",
            readings: &[(0, Some(("b", 1, 4, 9)))],
            at: 5_499,
            claim: None,
        },
        Case {
            name: "another's row, not renewed for hold, margin and turns",
            readings: &[
                (0, Some(("b", 1, 4, 9))),
                (5_000, Some(("b", 1, 4, 9))),
            ],
            at: 5_500,
            claim: Some((5, 9)),
        },
        Case {
            name: "another's row, renewed meanwhile",
            readings: &[
                (0, Some(("b", 1, 4, 9))),
                (5_000, Some(("b", 1, 4, 10))),
            ],
            at: 6_000,
            claim: None,
        },
    ];
    for case in cases {
        let mut lease = OrdersLease::default();
        for (at, reading) in case.readings {
            let held = reading.map(|(holder, incarnation, fencing, _)| {
                row(holder, incarnation, fencing)
            });
            let version = reading.map_or(0, |(.., version)| version);
            lease.read(held, version, EpochMillis(*at));
        }
        let claim = lease.claim("a", 7, TURNS, EpochMillis(case.at));
        let claim = claim.map(|claim| (claim.row.fencing, claim.expected));
        assert_eq!(claim, case.claim, "{}", case.name);
    }
}

#[test]
fn a_holder_counts_from_before_its_write() {
    struct Case {
        /// Point at which the store's answer came.
        answered: u64,
        at: u64,
        holds: bool,
    }
    let cases = [
        Case { answered: 10, at: 2_199, holds: true },
        Case { answered: 10, at: 2_200, holds: false },
        Case { answered: 2_600, at: 2_601, holds: false },
    ];
    for Case { answered, at, holds } in cases {
        let mut lease = OrdersLease::default();
        lease.read(None, 0, EpochMillis(0));
        let claim = lease.claim("a", 7, TURNS, EpochMillis(0)).unwrap();
        lease.claimed(&claim, 5, EpochMillis(answered));
        let fencing = lease.fencing(EpochMillis(at));
        assert_eq!(fencing.is_some(), holds, "answered at {answered}");
    }
}

#[test]
fn a_lease_that_was_given_up_is_taken_after_the_span_of_turns() {
    struct Case {
        name: &'static str,
        /// Number that was given up.
        released: u64,
        at: u64,
        claim: Option<u64>,
    }
    let cases = [
        Case { name: "too soon", released: 4, at: 4_099, claim: None },
        Case { name: "in time", released: 4, at: 4_100, claim: Some(5) },
        Case { name: "an older number", released: 3, at: 4_100, claim: None },
    ];
    for Case { name, released, at, claim } in cases {
        let mut lease = OrdersLease::default();
        lease.read(Some(row("b", 1, 4)), 9, EpochMillis(1_000));
        lease.released(released, EpochMillis(1_100));
        let found = lease.claim("a", 7, TURNS, EpochMillis(at));
        let found = found.map(|claim| claim.row.fencing);
        assert_eq!(found, claim, "{name}");
    }
}

#[test]
fn a_host_that_gave_up_orders_only_under_a_new_number() {
    let mut lease = OrdersLease::default();
    lease.read(None, 0, EpochMillis(0));
    let claim = lease.claim("a", 7, TURNS, EpochMillis(0)).unwrap();
    lease.claimed(&claim, 5, EpochMillis(10));
    assert_eq!(lease.give_up(), Some(1));
    assert_eq!(lease.fencing(EpochMillis(20)), None);
    let claim = lease.claim("a", 7, TURNS, EpochMillis(30)).unwrap();
    assert_eq!(claim.row.fencing, 2);
}
