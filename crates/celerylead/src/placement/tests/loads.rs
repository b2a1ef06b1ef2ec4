//! Loads from the weight store, as tables of cases and with random events.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

use crate::{
    EpochMillis,
    placement::{
        LoadHistory, LoadLimiter, LoadOutcome, LoadSource, OrderAttempt,
        SendOutcome,
    },
    port::{OrderVerdict, PlacementOrder},
    runner::OrderKind,
};

const WINDOW: Duration = Duration::from_millis(5_000);
/// Loads per second: 8 per window.
const RATE: f64 = 1.6;

/// Event for a limiter, at a given time.
enum Step {
    /// These loads are allowed at once, and are ordered.
    Order(&'static [u64]),
    /// No load is allowed.
    Full,
    /// The order with this number is sent again.
    Retry(u64),
    /// Sending the order with this number has this outcome.
    End(u64, LoadOutcome),
    /// The runner reports this number of accepted orders.
    Reported(u64),
    /// Another host left this many loads open; its last order is this many
    /// milliseconds old.
    Inherit(u32, u64),
    /// An earlier process of this host wrote a history with these ages of loads
    /// and this many reserved ones.
    Resume(&'static [u32], u32),
}

#[test]
fn a_load_counts_until_it_can_no_longer_begin_in_the_window() {
    use LoadOutcome::{NotStarted, Open, Started};
    use Step::{End, Full, Inherit, Order, Reported, Resume, Retry};
    struct Case {
        name: &'static str,
        steps: &'static [(u64, Step)],
    }
    let cases = [
        Case {
            name: "two at once after a pause, then at the rate",
            steps: &[
                (0, Full),
                (2_000, Order(&[1, 2])),
                (2_000, Full),
                (2_624, Full),
                (2_625, Order(&[3])),
            ],
        },
        Case {
            name: "eight unanswered loads use up the window",
            steps: &[
                (2_000, Order(&[1, 2])),
                (4_000, Order(&[3, 4])),
                (6_000, Order(&[5, 6])),
                (8_000, Order(&[7, 8])),
                (10_000, Full),
                (19_999, Full),
                (20_000, Order(&[9, 10])),
            ],
        },
        Case {
            name: "a retried load may start later than the first attempt",
            steps: &[
                (2_000, Order(&[1, 2])),
                (4_000, Order(&[3, 4])),
                (6_000, Order(&[5, 6])),
                (8_000, Order(&[7, 8])),
                (9_000, Retry(1)),
                (9_000, Retry(2)),
                (20_000, Full),
                (22_000, Order(&[9, 10])),
            ],
        },
        Case {
            name: "a started load counts for one window",
            steps: &[
                (2_000, Order(&[1, 2])),
                (4_000, Order(&[3, 4])),
                (6_000, Order(&[5, 6])),
                (8_000, Order(&[7, 8])),
                (9_000, End(1, Started)),
                (9_000, End(2, Open)),
                (13_999, Full),
                (14_000, Order(&[9])),
                (14_000, Full),
            ],
        },
        Case {
            name: "a load whose order was never sent doesn't count",
            steps: &[
                (2_000, Order(&[1, 2])),
                (4_000, Order(&[3, 4])),
                (6_000, Order(&[5, 6])),
                (8_000, Order(&[7, 8])),
                (9_000, End(8, NotStarted)),
                (9_000, Order(&[9])),
                (9_000, Full),
            ],
        },
        Case {
            name: "a report settles loads ordered under lower numbers",
            steps: &[
                (2_000, Order(&[1, 2])),
                (4_000, Order(&[3, 4])),
                (6_000, Order(&[5, 6])),
                (8_000, Order(&[7, 8])),
                (8_500, Reported(3)),
                (13_499, Full),
                (13_500, Order(&[9, 10])),
                (13_500, Full),
            ],
        },
        Case {
            name: "loads left open by another host count",
            steps: &[
                (10_000, Inherit(7, 3_000)),
                (11_999, Full),
                (12_000, Order(&[1])),
                (27_999, Full),
                (28_000, Order(&[2, 3])),
            ],
        },
        Case {
            name: "a host that starts again doesn't wait for a window",
            steps: &[
                (10_000, Resume(&[1_000, 4_000], 3)),
                (10_624, Full),
                (11_250, Order(&[1, 2])),
                (12_500, Order(&[3, 4])),
                (13_999, Full),
                (14_000, Order(&[5])),
                (14_999, Full),
            ],
        },
    ];
    for Case { name, steps } in cases {
        let mut limiter = LoadLimiter::new(WINDOW, EpochMillis(0));
        for (at, step) in steps {
            let now = EpochMillis(*at);
            let label = format!("{name} at {at}");
            match step {
                Order(numbers) => {
                    for number in *numbers {
                        assert!(limiter.allows(RATE, now), "{label}");
                        limiter.record_order("i-1", *number, now);
                    }
                }
                Full => assert!(!limiter.allows(RATE, now), "{label}"),
                Retry(number) => limiter.record_retry("i-1", *number, now),
                End(number, outcome) => {
                    limiter.record_outcome("i-1", *number, *outcome, now);
                }
                Reported(orders) => limiter.record_report("i-1", *orders, now),
                Inherit(open, back) => {
                    let last = now.before(Duration::from_millis(*back));
                    limiter.inherit(*open, None, last, now);
                }
                Resume(ages, reserved) => {
                    let history = LoadHistory {
                        ages_ms: ages.to_vec(),
                        reserved: *reserved,
                    };
                    limiter.inherit(0, Some(&history), now, now);
                }
            }
        }
    }
}

/// A load whose order isn't answered yet.
struct UnansweredLoad {
    number: u64,
    /// Time at which a lost attempt takes effect.
    late_start_ms: u64,
    /// End of the current attempt, or time of the next one.
    due_ms: u64,
    under_way: bool,
}

/// Returns the largest number of loads that start within a window.
fn most_in_window(started: &mut [u64]) -> usize {
    started.sort_unstable();
    let counts = started.iter().map(|first| {
        let end = first + WINDOW.as_millis() as u64;
        started.iter().filter(|load| (*first..end).contains(load)).count()
    });
    counts.max().unwrap_or(0)
}

/// Guards against more loads in a window than the rate allows when orders are
/// answered, or are lost and carried out up to 12 s later. Lost orders are
/// sent again, and two hosts alternate as lease holder.
#[test]
fn no_window_has_more_loads_than_the_rate_allows() {
    const HANDOVER_MS: u64 = 3_000;
    for seed in 0..300 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut started: Vec<u64> = Vec::new();
        let mut open: Vec<UnansweredLoad> = Vec::new();
        let mut limiter = LoadLimiter::new(WINDOW, EpochMillis(0));
        let mut number = 0;
        let mut at = 0;
        while at < 120_000 {
            at += random.random_range(1..100);
            if random.random_range(0..1_200) == 0 {
                let last = EpochMillis(at);
                let inherited = limiter.open_count() as u32;
                at += HANDOVER_MS;
                limiter = LoadLimiter::new(WINDOW, EpochMillis(at));
                limiter.inherit(inherited, None, last, EpochMillis(at));
                started.extend(open.drain(..).map(|load| load.late_start_ms));
            }
            let now = EpochMillis(at);
            for load in open.iter_mut().filter(|load| load.due_ms <= at) {
                let answered = random.random_bool(0.5);
                if !load.under_way {
                    limiter.record_retry("i-1", load.number, now);
                    load.due_ms = at + random.random_range(1..800);
                    load.under_way = true;
                } else if answered {
                    limiter.record_outcome(
                        "i-1",
                        load.number,
                        LoadOutcome::Started,
                        now,
                    );
                    started.push(load.late_start_ms.min(at));
                    load.number = 0;
                } else {
                    let late = at + random.random_range(0..11_000);
                    load.late_start_ms = load.late_start_ms.min(late);
                    load.due_ms = at + 400;
                    load.under_way = false;
                }
            }
            open.retain(|load| load.number != 0);
            if limiter.allows(RATE, now) {
                number += 1;
                limiter.record_order("i-1", number, now);
                open.push(UnansweredLoad {
                    number,
                    late_start_ms: at + 12_000,
                    due_ms: at + random.random_range(1..800),
                    under_way: true,
                });
            }
        }
        let most = most_in_window(&mut started);
        assert!(most <= 8, "seed {seed}: {most} loads in a window");
        // A limiter that allows less than a quarter of the rate is of little
        // use.
        assert!(48 <= started.len(), "seed {seed}: {} loads", started.len());
    }
}

/// Guards against more loads in a window than the rate allows: a host is killed
/// and starts again, and all it knows is the row that it last wrote.
#[test]
fn loads_are_counted_over_the_starts_of_a_host() {
    const WRITE_PERIOD: Duration = Duration::from_millis(1_000);
    /// Longest time from an order to the begin of its load.
    const START_LIMIT_MS: u64 = 100;
    for seed in 0..300 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut started: Vec<u64> = Vec::new();
        let mut open: Vec<(u64, u64)> = Vec::new();
        let mut limiter = LoadLimiter::new(WINDOW, EpochMillis(0));
        let mut row = (0, LoadHistory::default());
        let (mut number, mut at, mut write_at) = (0, 0, 0);
        while at < 120_000 {
            at += random.random_range(1..50);
            if random.random_range(0..200) == 0 {
                started.extend(open.drain(..).map(|(_, starts)| starts));
                at += random.random_range(START_LIMIT_MS..1_000);
                limiter = LoadLimiter::new(WINDOW, EpochMillis(at));
                let now = EpochMillis(at);
                limiter.inherit(row.0, Some(&row.1), now, now);
                write_at = at;
            }
            let now = EpochMillis(at);
            if write_at <= at {
                let (history, reserved_until) =
                    limiter.history(RATE, WRITE_PERIOD, now);
                row = (limiter.open_count() as u32, history);
                limiter.record_reservation(reserved_until);
                write_at = at + WRITE_PERIOD.as_millis() as u64;
            }
            for (number, starts) in open.extract_if(.., |load| load.1 <= at) {
                let outcome = LoadOutcome::Started;
                limiter.record_outcome("i-1", number, outcome, now);
                started.push(starts);
            }
            if limiter.allows(RATE, now) {
                number += 1;
                limiter.record_order("i-1", number, now);
                let delay = random.random_range(1..START_LIMIT_MS);
                open.push((number, at + delay));
            }
        }
        let most = most_in_window(&mut started);
        assert!(most <= 8, "seed {seed}: {most} loads in a window");
        assert!(24 <= started.len(), "seed {seed}: {} loads", started.len());
    }
}

#[test]
fn a_send_outcome_decides_whether_a_load_can_still_start() {
    use LoadOutcome::{NotStarted, Open, Started};
    use OrderVerdict::{Accepted, Conflict, Holds, Refused};
    struct Case {
        end: SendOutcome,
        /// Outcomes for the first attempt and for a later one.
        outcomes: [LoadOutcome; 2],
    }
    let cases = [
        Case {
            end: SendOutcome::Answered(Accepted),
            outcomes: [Started, Started],
        },
        Case {
            end: SendOutcome::Answered(Holds),
            outcomes: [Started, Started],
        },
        Case {
            end: SendOutcome::Answered(Conflict),
            outcomes: [NotStarted, Started],
        },
        Case {
            end: SendOutcome::Answered(Refused),
            outcomes: [NotStarted, Started],
        },
        Case { end: SendOutcome::Unsent, outcomes: [NotStarted, Open] },
        Case { end: SendOutcome::Lost, outcomes: [Open, Open] },
    ];
    for Case { end, outcomes } in cases {
        for (attempt, outcome) in (1..).zip(outcomes) {
            let order = PlacementOrder {
                runner: "i-1".to_owned(),
                kind: OrderKind::Load,
                model: "bend".to_owned(),
                adapter: None,
                expected: 4,
                holder: "front-1".to_owned(),
                fencing: 3,
            };
            let source = Some(LoadSource::Store);
            let first_sent_at = EpochMillis(0);
            let sent = OrderAttempt { order, source, first_sent_at, attempt };
            assert_eq!(
                sent.load_outcome(end),
                outcome,
                "{end:?} at attempt {attempt}"
            );
        }
    }
}
