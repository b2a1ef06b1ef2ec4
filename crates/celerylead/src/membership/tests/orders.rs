//! Tests of the orders lease.

use std::time::Duration;

use crate::{
    EpochMillis,
    membership::{OrdersLease, OrdersRow},
};

const ALTERNATION_WINDOW: Duration = Duration::from_millis(3_000);

fn row(holder: &str, incarnation: u64, fencing: u64) -> OrdersRow {
    let holder = holder.to_owned();
    OrdersRow { holder, incarnation, fencing, open_loads: 0 }
}

/// Holder, incarnation, fencing token and version of a row.
type SeenRow = (&'static str, u64, u64, u64);

/// Host `a` in incarnation 7 reads the row and asks for a claim.
#[test]
fn a_lease_is_taken_only_when_its_holder_can_no_longer_order() {
    struct Case {
        name: &'static str,
        /// Times at which the row was read, and the rows read.
        readings: &'static [(u64, Option<SeenRow>)],
        at: u64,
        /// Expected claim: its fencing token and the version that it requires.
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
            name: "row of an earlier incarnation of this host",
            readings: &[(0, Some(("a", 6, 4, 9)))],
            at: 0,
            claim: Some((5, 9)),
        },
        Case {
            name: "row of another host, 1 ms too early",
            readings: &[(0, Some(("b", 1, 4, 9)))],
            at: 5_499,
            claim: None,
        },
        Case {
            name: "row of another host, not renewed in time",
            readings: &[
                (0, Some(("b", 1, 4, 9))),
                (5_000, Some(("b", 1, 4, 9))),
            ],
            at: 5_500,
            claim: Some((5, 9)),
        },
        Case {
            name: "row of another host, renewed meanwhile",
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
            let seen_row = reading.map(|(holder, incarnation, fencing, _)| {
                row(holder, incarnation, fencing)
            });
            let version = reading.map_or(0, |(.., version)| version);
            lease.record_read(seen_row, version, EpochMillis(*at));
        }
        let claim =
            lease.claim("a", 7, ALTERNATION_WINDOW, EpochMillis(case.at));
        let claim = claim.map(|claim| (claim.row.fencing, claim.expected));
        assert_eq!(claim, case.claim, "{}", case.name);
    }
}

#[test]
fn a_lease_term_starts_before_the_write() {
    struct Case {
        /// Time at which the store's answer arrived.
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
        lease.record_read(None, 0, EpochMillis(0));
        let claim =
            lease.claim("a", 7, ALTERNATION_WINDOW, EpochMillis(0)).unwrap();
        lease.record_claim(&claim, 5, EpochMillis(answered));
        let fencing = lease.fencing(EpochMillis(at));
        assert_eq!(fencing.is_some(), holds, "answered at {answered}");
    }
}

#[test]
fn a_released_lease_is_taken_after_the_handover_delay() {
    struct Case {
        name: &'static str,
        /// Fencing token that was given up.
        released: u64,
        at: u64,
        claim: Option<u64>,
    }
    let cases = [
        Case { name: "too early", released: 4, at: 4_399, claim: None },
        Case {
            name: "after the delay",
            released: 4,
            at: 4_400,
            claim: Some(5),
        },
        Case { name: "an older token", released: 3, at: 4_400, claim: None },
    ];
    for Case { name, released, at, claim } in cases {
        let mut lease = OrdersLease::default();
        lease.record_read(Some(row("b", 1, 4)), 9, EpochMillis(1_000));
        lease.record_release(released, EpochMillis(1_100));
        let found = lease.claim("a", 7, ALTERNATION_WINDOW, EpochMillis(at));
        let found = found.map(|claim| claim.row.fencing);
        assert_eq!(found, claim, "{name}");
    }
}

#[test]
fn a_host_that_gave_up_orders_only_under_a_new_token() {
    let mut lease = OrdersLease::default();
    lease.record_read(None, 0, EpochMillis(0));
    let claim =
        lease.claim("a", 7, ALTERNATION_WINDOW, EpochMillis(0)).unwrap();
    lease.record_claim(&claim, 5, EpochMillis(10));
    assert_eq!(lease.give_up(), Some(1));
    assert_eq!(lease.fencing(EpochMillis(20)), None);
    let claim =
        lease.claim("a", 7, ALTERNATION_WINDOW, EpochMillis(30)).unwrap();
    assert_eq!(claim.row.fencing, 2);
}

/// Guards against orders of two hosts within the alternation window. Other
/// hosts measure the handover delay from the announcement that a token was
/// given up, so a renewal in flight at that time must give no permit under it.
#[test]
fn a_renewal_in_flight_does_not_revive_a_token_given_up() {
    let mut lease = OrdersLease::default();
    lease.record_read(None, 0, EpochMillis(0));
    let claim =
        lease.claim("a", 7, ALTERNATION_WINDOW, EpochMillis(0)).unwrap();
    lease.record_claim(&claim, 5, EpochMillis(10));
    let renewal =
        lease.claim("a", 7, ALTERNATION_WINDOW, EpochMillis(1_000)).unwrap();
    assert_eq!(lease.give_up(), Some(1));
    lease.record_claim(&renewal, 6, EpochMillis(2_300));
    assert_eq!(lease.fencing(EpochMillis(2_400)), None);
    let claim =
        lease.claim("a", 7, ALTERNATION_WINDOW, EpochMillis(2_400)).unwrap();
    assert_eq!((claim.row.fencing, claim.expected), (2, 6));
}

#[test]
fn an_order_is_written_only_under_a_valid_permit() {
    struct Case {
        name: &'static str,
        /// Whether the holder gave up its token, and whether it claimed a new
        /// one, while the order waited for its connection.
        gives_up: bool,
        claims_again: bool,
        /// Fencing token of the order.
        fencing: u64,
        at: u64,
        allowed: bool,
    }
    let case = Case {
        name: "the permit is valid",
        gives_up: false,
        claims_again: false,
        fencing: 1,
        at: 800,
        allowed: true,
    };
    let cases = [
        Case {
            name: "the permit has expired",
            at: 2_200,
            allowed: false,
            ..case
        },
        Case { name: "given up", gives_up: true, allowed: false, ..case },
        Case {
            name: "claimed again, the order has the old token",
            gives_up: true,
            claims_again: true,
            allowed: false,
            ..case
        },
        Case {
            name: "claimed again, the order has the new token",
            gives_up: true,
            claims_again: true,
            fencing: 2,
            ..case
        },
        case,
    ];
    for case in cases {
        let mut lease = OrdersLease::default();
        lease.record_read(None, 0, EpochMillis(0));
        let claim =
            lease.claim("a", 7, ALTERNATION_WINDOW, EpochMillis(0)).unwrap();
        lease.record_claim(&claim, 5, EpochMillis(10));
        if case.gives_up {
            lease.give_up();
        }
        if case.claims_again {
            let claim = lease
                .claim("a", 7, ALTERNATION_WINDOW, EpochMillis(100))
                .unwrap();
            lease.record_claim(&claim, 6, EpochMillis(110));
        }
        let allowed =
            lease.permit().allows(case.fencing, EpochMillis(case.at));
        assert_eq!(allowed, case.allowed, "{}", case.name);
    }
}

/// Host `a` held fencing token 1. While `a` was paused, host `b` took token 2.
#[test]
fn a_host_gives_up_only_the_token_it_held() {
    struct Case {
        name: &'static str,
        /// Time at which `a` reads `b`'s row, if it does.
        read_at: Option<u64>,
        at: u64,
        fencing: Option<u64>,
        given_up: Option<u64>,
    }
    let cases = [
        Case {
            name: "the permit is valid and no other row was read",
            read_at: None,
            at: 100,
            fencing: Some(1),
            given_up: Some(1),
        },
        Case {
            name: "the permit has expired and no other row was read",
            read_at: None,
            at: 9_000,
            fencing: None,
            given_up: Some(1),
        },
        Case {
            name: "the permit has expired and the other row was read",
            read_at: Some(9_000),
            at: 9_000,
            fencing: None,
            given_up: Some(1),
        },
        Case {
            name: "the other row was read before the permit expired",
            read_at: Some(50),
            at: 100,
            fencing: None,
            given_up: Some(1),
        },
    ];
    for Case { name, read_at, at, fencing, given_up } in cases {
        let mut lease = OrdersLease::default();
        lease.record_read(None, 0, EpochMillis(0));
        let claim =
            lease.claim("a", 7, ALTERNATION_WINDOW, EpochMillis(0)).unwrap();
        lease.record_claim(&claim, 5, EpochMillis(10));
        if let Some(read_at) = read_at {
            lease.record_read(Some(row("b", 1, 2)), 6, EpochMillis(read_at));
        }
        assert_eq!(lease.fencing(EpochMillis(at)), fencing, "{name}");
        assert_eq!(lease.give_up(), given_up, "{name}");
        assert_eq!(lease.give_up(), None, "{name}: given up only once");
    }
}
