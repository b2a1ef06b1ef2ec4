//! Tests of the orders lease.

use std::time::Duration;

use crate::{
    EpochMillis, StoreVersion,
    membership::{OrdersLease, OrdersRow, StoredOrdersRow},
};

const ALTERNATION_WINDOW: Duration = Duration::from_millis(3_000);

fn row(holder: &str, incarnation: u64, fencing: u64) -> OrdersRow {
    let holder = holder.to_owned();
    OrdersRow { holder, incarnation, fencing, open_loads: 0 }
}

fn stored(holder: &str, incarnation: u64, fencing: u64) -> StoredOrdersRow {
    row(holder, incarnation, fencing).into()
}

fn at_version(number: u64) -> StoreVersion {
    StoreVersion::new(0, number)
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
                stored(holder, incarnation, fencing)
            });
            let version = reading.map_or(0, |(.., version)| version);
            lease.record_read(seen_row, at_version(version), EpochMillis(*at));
        }
        let claim =
            lease.claim("a", 7, ALTERNATION_WINDOW, EpochMillis(case.at));
        let claim = claim
            .map(|claim| (claim.row.row.fencing, claim.expected.number()));
        assert_eq!(claim, case.claim, "{}", case.name);
    }
}

/// Guards against a lease that stays with a host which is always killed before
/// it can use it. Host `a` in incarnation 7 reads the row of its incarnation 6.
#[test]
fn a_host_that_could_not_use_the_lease_claims_later() {
    struct Case {
        name: &'static str,
        unused_terms: u32,
        /// Milliseconds from the read of the row to the first claim.
        claims_after: u64,
        /// Unused terms that the claim states.
        states: u32,
    }
    let cases = [
        Case {
            name: "the earlier process used the lease",
            unused_terms: 0,
            claims_after: 0,
            states: 1,
        },
        Case {
            name: "one process didn't use it",
            unused_terms: 1,
            claims_after: 2_000,
            states: 2,
        },
        Case {
            name: "two in a row didn't use it",
            unused_terms: 2,
            claims_after: 4_000,
            states: 3,
        },
        Case {
            name: "never later than other hosts",
            unused_terms: 50,
            claims_after: 5_500,
            states: 51,
        },
    ];
    for case in cases {
        let mut lease = OrdersLease::new(EpochMillis(500));
        let seen = StoredOrdersRow {
            unused_terms: case.unused_terms,
            ..stored("a", 6, 4)
        };
        lease.record_read(Some(seen), at_version(9), EpochMillis(1_000));
        let at = EpochMillis(1_000 + case.claims_after);
        if 0 < case.claims_after {
            let early = EpochMillis(at.0 - 1);
            let claim = lease.claim("a", 7, ALTERNATION_WINDOW, early);
            assert_eq!(claim, None, "{}", case.name);
        }
        let claim = lease.claim("a", 7, ALTERNATION_WINDOW, at).unwrap();
        assert_eq!(claim.row.unused_terms, case.states, "{}", case.name);
        assert_eq!(claim.row.row.fencing, 5, "{}", case.name);
        lease.record_claim(&claim, at_version(10), at);
        assert!(lease.record_use(), "{}", case.name);
        let renewal = lease.claim("a", 7, ALTERNATION_WINDOW, at).unwrap();
        assert_eq!(renewal.row.unused_terms, 0, "{}", case.name);
    }
}

/// Guards against a deployment that settles anew with each process, and against
/// one that moves models before its runners are listed.
#[test]
fn a_deployment_settles_once() {
    struct Case {
        name: &'static str,
        /// Time of the read, and the time in which the deployment still
        /// settles by the row read.
        read: Option<(u64, Option<u64>)>,
        settled_at: u64,
    }
    let cases = [
        Case { name: "nothing read", read: None, settled_at: 6_000 },
        Case { name: "no row", read: Some((500, None)), settled_at: 6_000 },
        Case {
            name: "a row of a deployment that settles",
            read: Some((500, Some(1_200))),
            settled_at: 1_700,
        },
        Case {
            name: "a row of a settled deployment",
            read: Some((500, Some(0))),
            settled_at: 500,
        },
    ];
    for case in cases {
        let mut lease = OrdersLease::new(EpochMillis(0));
        if let Some((at, settling)) = case.read {
            let seen = settling.map(|settling_ms| StoredOrdersRow {
                settling_ms,
                ..stored("b", 1, 4)
            });
            lease.record_read(seen, at_version(9), EpochMillis(at));
        }
        // What a holder announces doesn't state whether it settles.
        let announced = row("b", 1, 4);
        lease.record_announcement(
            &announced,
            at_version(10),
            EpochMillis(600),
        );
        let at = case.settled_at;
        assert!(!lease.is_settled(EpochMillis(at - 1)), "{}", case.name);
        assert!(lease.is_settled(EpochMillis(at)), "{}", case.name);
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
        lease.record_read(None, at_version(0), EpochMillis(0));
        let claim =
            lease.claim("a", 7, ALTERNATION_WINDOW, EpochMillis(0)).unwrap();
        lease.record_claim(&claim, at_version(5), EpochMillis(answered));
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
        lease.record_read(
            Some(stored("b", 1, 4)),
            at_version(9),
            EpochMillis(1_000),
        );
        assert!(lease.record_release(released, EpochMillis(1_100)), "{name}");
        // A repeated announcement doesn't put the takeover off.
        assert!(!lease.record_release(released, EpochMillis(1_900)), "{name}");
        let found = lease.claim("a", 7, ALTERNATION_WINDOW, EpochMillis(at));
        let found = found.map(|claim| claim.row.row.fencing);
        assert_eq!(found, claim, "{name}");
    }
}

#[test]
fn a_host_that_gave_up_orders_only_under_a_new_token() {
    let mut lease = OrdersLease::default();
    lease.record_read(None, at_version(0), EpochMillis(0));
    let claim =
        lease.claim("a", 7, ALTERNATION_WINDOW, EpochMillis(0)).unwrap();
    lease.record_claim(&claim, at_version(5), EpochMillis(10));
    assert_eq!(lease.give_up(), Some(1));
    assert_eq!(lease.fencing(EpochMillis(20)), None);
    let claim =
        lease.claim("a", 7, ALTERNATION_WINDOW, EpochMillis(30)).unwrap();
    assert_eq!(claim.row.row.fencing, 2);
}

/// Guards against orders of two hosts within the alternation window. Other
/// hosts measure the handover delay from the announcement that a token was
/// given up, so a renewal in flight at that time must give no permit under it.
#[test]
fn a_renewal_in_flight_does_not_revive_a_token_given_up() {
    let mut lease = OrdersLease::default();
    lease.record_read(None, at_version(0), EpochMillis(0));
    let claim =
        lease.claim("a", 7, ALTERNATION_WINDOW, EpochMillis(0)).unwrap();
    lease.record_claim(&claim, at_version(5), EpochMillis(10));
    let renewal =
        lease.claim("a", 7, ALTERNATION_WINDOW, EpochMillis(1_000)).unwrap();
    assert_eq!(lease.give_up(), Some(1));
    lease.record_claim(&renewal, at_version(6), EpochMillis(2_300));
    assert_eq!(lease.fencing(EpochMillis(2_400)), None);
    let claim =
        lease.claim("a", 7, ALTERNATION_WINDOW, EpochMillis(2_400)).unwrap();
    assert_eq!((claim.row.row.fencing, claim.expected), (2, at_version(6)));
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
        lease.record_read(None, at_version(0), EpochMillis(0));
        let claim =
            lease.claim("a", 7, ALTERNATION_WINDOW, EpochMillis(0)).unwrap();
        lease.record_claim(&claim, at_version(5), EpochMillis(10));
        if case.gives_up {
            lease.give_up();
        }
        if case.claims_again {
            let claim = lease
                .claim("a", 7, ALTERNATION_WINDOW, EpochMillis(100))
                .unwrap();
            lease.record_claim(&claim, at_version(6), EpochMillis(110));
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
        lease.record_read(None, at_version(0), EpochMillis(0));
        let claim =
            lease.claim("a", 7, ALTERNATION_WINDOW, EpochMillis(0)).unwrap();
        lease.record_claim(&claim, at_version(5), EpochMillis(10));
        if let Some(read_at) = read_at {
            lease.record_read(
                Some(stored("b", 1, 2)),
                at_version(6),
                EpochMillis(read_at),
            );
        }
        assert_eq!(lease.fencing(EpochMillis(at)), fencing, "{name}");
        assert_eq!(lease.give_up(), given_up, "{name}");
        assert_eq!(lease.give_up(), None, "{name}: given up only once");
    }
}

/// Returns the fencing token of a claim in an era above 0 that expected the row
/// to have the version before this number.
const fn token(era: u64, number: u64) -> u64 {
    (era << 40) + number
}

/// What host `a` in incarnation 7 learns of the lease. A version is an era and a
/// number.
#[derive(Clone, Copy)]
enum Step {
    /// It reads a row, by its holder, incarnation and fencing token.
    Read(Option<(&'static str, u64, u64)>, (u16, u64)),
    /// It hears from the holder of a row.
    Hear((&'static str, u64, u64), (u16, u64)),
    /// It hears that the holder of a token released it.
    Release(u64),
    /// Its claim is written as this version.
    Claim((u16, u64)),
}

/// Guards against two hosts under one fencing token, and against orders of two
/// hosts within the alternation window, when the store comes back from a copy
/// that lacks the latest claims.
#[test]
fn a_copied_row_does_not_vouch_for_its_holder() {
    use Step::{Claim, Hear, Read, Release};
    struct Case {
        name: &'static str,
        steps: &'static [(u64, Step)],
        /// First time at which the host claims, and the token of the claim.
        claims: (u64, u64),
        /// Token under which the host may order just before.
        permit: Option<u64>,
    }
    const OLD: u64 = token(1, 5);
    const CASES: &[Case] = &[
        Case {
            name: "a row of another host",
            steps: &[(0, Read(Some(("b", 1, OLD)), (2, 30)))],
            claims: (5_500, token(2, 31)),
            permit: None,
        },
        Case {
            name: "the host's own row, without a permit",
            steps: &[(0, Read(Some(("a", 7, OLD)), (2, 30)))],
            claims: (5_500, token(2, 31)),
            permit: None,
        },
        Case {
            name: "a row of an earlier process of the host",
            steps: &[(0, Read(Some(("a", 6, OLD)), (2, 30)))],
            claims: (5_500, token(2, 31)),
            permit: None,
        },
        Case {
            name: "no row",
            steps: &[(100, Read(None, (2, 0)))],
            claims: (5_600, token(2, 1)),
            permit: None,
        },
        Case {
            name: "a row whose token was released before the return",
            steps: &[
                (0, Read(Some(("b", 1, OLD)), (1, 5))),
                (100, Release(OLD)),
                (900, Read(Some(("b", 1, OLD)), (2, 5))),
            ],
            claims: (6_400, token(2, 6)),
            permit: None,
        },
        Case {
            name: "a row whose token is released after the return",
            steps: &[
                (0, Read(Some(("b", 1, OLD)), (2, 5))),
                (100, Release(OLD)),
            ],
            claims: (5_500, token(2, 6)),
            permit: None,
        },
        Case {
            name: "a row that was claimed after the return, released",
            steps: &[
                (0, Read(Some(("b", 1, token(2, 31))), (2, 31))),
                (100, Release(token(2, 31))),
            ],
            claims: (3_400, token(2, 32)),
            permit: None,
        },
        Case {
            name: "a lost claim whose permit is valid",
            steps: &[
                (0, Read(Some(("a", 6, OLD)), (1, 5))),
                (0, Claim((1, 40))),
                (1_000, Read(Some(("b", 1, token(1, 3))), (2, 30))),
            ],
            claims: (1_000, token(2, 31)),
            permit: Some(token(1, 6)),
        },
        Case {
            name: "a lost claim whose permit has expired",
            steps: &[
                (0, Read(Some(("a", 6, OLD)), (1, 5))),
                (0, Claim((1, 40))),
                (2_200, Read(Some(("b", 1, token(1, 3))), (2, 30))),
            ],
            claims: (7_700, token(2, 31)),
            permit: None,
        },
        Case {
            name: "a claim that was carried out in a later era",
            steps: &[
                (0, Read(Some(("a", 6, OLD)), (1, 5))),
                (0, Claim((2, 31))),
            ],
            claims: (5_500, token(2, 32)),
            permit: None,
        },
        Case {
            name: "a late answer of the former era",
            steps: &[
                (0, Read(Some(("b", 1, OLD)), (2, 30))),
                (3_000, Read(None, (1, 0))),
                (3_000, Hear(("c", 1, token(1, 9)), (1, 41))),
            ],
            claims: (5_500, token(2, 31)),
            permit: None,
        },
        Case {
            name: "a row overwritten by a write of the former era",
            steps: &[
                (0, Read(Some(("b", 1, token(2, 36))), (2, 36))),
                (100, Read(Some(("c", 1, token(1, 36))), (2, 37))),
            ],
            claims: (5_600, token(2, 38)),
            permit: None,
        },
    ];
    for case in CASES {
        let Case { name, steps, claims: (claim_at, fencing), permit } = *case;
        let mut lease = OrdersLease::default();
        let claim_by = |lease: &OrdersLease, at: u64| {
            lease.claim("a", 7, ALTERNATION_WINDOW, EpochMillis(at))
        };
        for (at, step) in steps {
            let now = EpochMillis(*at);
            match *step {
                Read(seen, (era, number)) => {
                    let seen = seen.map(|(h, i, f)| stored(h, i, f));
                    let version = StoreVersion::new(era, number);
                    lease.record_read(seen, version, now);
                }
                Hear((holder, incarnation, fencing), (era, number)) => {
                    let seen = row(holder, incarnation, fencing);
                    let version = StoreVersion::new(era, number);
                    lease.record_announcement(&seen, version, now);
                }
                Release(fencing) => {
                    lease.record_release(fencing, now);
                }
                Claim((era, number)) => {
                    let claim = claim_by(&lease, *at).unwrap();
                    let version = StoreVersion::new(era, number);
                    lease.record_claim(&claim, version, now);
                }
            }
        }
        let (last, _) = steps.last().unwrap();
        if *last < claim_at {
            let early = claim_by(&lease, claim_at - 1);
            assert_eq!(early, None, "{name}: claims too early");
        }
        assert_eq!(lease.fencing(EpochMillis(claim_at)), permit, "{name}");
        let claim = claim_by(&lease, claim_at).expect(name);
        assert_eq!(claim.row.row.fencing, fencing, "{name}");
        assert_eq!(claim.expected.era(), 2, "{name}");
        // The new token is in force as soon as the claim is written.
        let version = StoreVersion::new(2, 1_000);
        lease.record_claim(&claim, version, EpochMillis(claim_at + 5));
        let held = lease.fencing(EpochMillis(claim_at + 5));
        assert_eq!(held, Some(fencing), "{name}");
    }
}
