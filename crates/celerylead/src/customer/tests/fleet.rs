//! Tests of a customer's rate over several hosts that report their spending
//! to each other.

use crate::{
    EpochMillis,
    catalog::{RateUnit, TokenRate},
    customer::{FleetBucket, HostLiveness},
};

const RATE: TokenRate =
    TokenRate { per_second: 1_000, burst: 2_000, unit: RateUnit::Calls };

/// Event at the bucket of one of two hosts.
enum Step {
    /// A call of this cost, and whether it is admitted.
    Take(u64, bool),
    /// A refund of this cost, for a call that didn't run.
    Refund(u64),
    /// A report of the other host, with its incarnation and its total.
    Report(u64, i64),
    /// The first report of a third host, with the level that it knows.
    First(i64),
    /// A change of the rate and the burst by the operator.
    Resize(u64, u64),
}

#[test]
fn a_bucket_follows_its_own_and_others_spending() {
    struct Case {
        name: &'static str,
        steps: &'static [(u64, Step)],
    }
    let cases = [
        Case {
            name: "a bucket starts empty and fills at the rate",
            steps: &[
                (0, Step::Report(1, 0)),
                (0, Step::Take(1, false)),
                (100, Step::Report(1, 0)),
                (500, Step::Take(500, true)),
                (500, Step::Take(1, false)),
            ],
        },
        Case {
            name: "nothing is assumed of a level that no host reports",
            steps: &[
                (0, Step::Take(1, false)),
                (449, Step::Take(450, false)),
                (450, Step::Take(451, false)),
                (450, Step::Take(450, true)),
                (450, Step::Take(1, false)),
            ],
        },
        Case {
            name: "spending of another host is debited",
            steps: &[
                (0, Step::Report(1, 0)),
                (600, Step::Report(1, 0)),
                (1_000, Step::Report(1, 900)),
                (1_000, Step::Take(101, false)),
                (1_000, Step::Take(100, true)),
            ],
        },
        Case {
            name: "a restarted host counts from zero",
            steps: &[
                (0, Step::Report(1, 5_000)),
                (600, Step::Report(1, 5_000)),
                (1_000, Step::Report(2, 300)),
                (1_000, Step::Take(701, false)),
                (1_000, Step::Take(700, true)),
            ],
        },
        Case {
            name: "the last spending of an ended process is debited",
            steps: &[
                (0, Step::Report(1, 0)),
                (400, Step::Report(1, 0)),
                (600, Step::Report(1, 200)),
                (1_000, Step::Report(2, 300)),
                (1_000, Step::Take(301, false)),
                (1_000, Step::Take(300, true)),
            ],
        },
        Case {
            name: "what the first reporter didn't know yet is debited",
            steps: &[
                (0, Step::Report(1, 0)),
                (500, Step::Take(0, true)),
                (500, Step::First(100)),
                (500, Step::Take(101, false)),
                (500, Step::Take(100, true)),
            ],
        },
        Case {
            name: "a silent host is debited its share",
            steps: &[
                (0, Step::Report(1, 0)),
                (699, Step::Take(699, true)),
                (1_699, Step::Take(501, false)),
                (1_699, Step::Take(500, true)),
            ],
        },
        Case {
            name: "spending of a silent host beyond its share is debited too",
            steps: &[
                (0, Step::Report(1, 0)),
                (699, Step::Take(699, true)),
                (1_699, Step::Take(0, true)),
                (1_699, Step::Report(1, 800)),
                (1_699, Step::Take(201, false)),
                (1_699, Step::Take(200, true)),
            ],
        },
        Case {
            name: "a call larger than the burst needs a full bucket",
            steps: &[
                (0, Step::Report(1, 0)),
                (600, Step::Report(1, 0)),
                (1_200, Step::Report(1, 0)),
                (1_800, Step::Report(1, 0)),
                (1_900, Step::Take(5_000, false)),
                (2_000, Step::Take(5_000, true)),
                (2_500, Step::Take(1, false)),
            ],
        },
        Case {
            name: "a call of absurd cost is refused and leaves no debt",
            steps: &[
                (0, Step::Report(1, 0)),
                (600, Step::Report(1, 0)),
                (1_200, Step::Report(1, 0)),
                (1_800, Step::Report(1, 0)),
                (2_000, Step::Take(u64::MAX, false)),
                (2_000, Step::Take(2_000, true)),
            ],
        },
        Case {
            name: "an absurd report of another host is survived",
            steps: &[
                (0, Step::Report(1, i64::MIN)),
                (100, Step::Report(1, i64::MAX)),
                (200, Step::Take(1, false)),
            ],
        },
        Case {
            name: "a call that didn't run costs nothing",
            steps: &[
                (0, Step::Report(1, 0)),
                (600, Step::Take(600, true)),
                (600, Step::Refund(600)),
                (600, Step::Take(600, true)),
            ],
        },
        Case {
            name: "a smaller burst cuts the level",
            steps: &[
                (0, Step::Report(1, 0)),
                (600, Step::Take(0, true)),
                (600, Step::Resize(100, 50)),
                (600, Step::Take(50, true)),
                (600, Step::Take(1, false)),
            ],
        },
    ];
    for case in cases {
        let mut liveness = HostLiveness::default();
        liveness.add_host("other");
        let mut bucket = FleetBucket::empty(RATE, EpochMillis(0));
        for (index, (at, step)) in case.steps.iter().enumerate() {
            let now = EpochMillis(*at);
            match step {
                Step::Take(cost, taken) => {
                    let admitted = bucket.take(*cost, &liveness, now).is_ok();
                    assert_eq!(admitted, *taken, "{}: {index}", case.name);
                }
                Step::Refund(cost) => bucket.refund(*cost),
                Step::Report(incarnation, total) => {
                    let level = Some(0);
                    bucket.record_total("other", *incarnation, *total, level);
                    liveness.record_report("other", now);
                }
                Step::First(level) => {
                    bucket.record_total("third", 1, 0, Some(*level));
                }
                Step::Resize(per_second, burst) => {
                    let (per_second, burst) = (*per_second, *burst);
                    bucket.resize(TokenRate { per_second, burst, ..RATE });
                }
            }
        }
    }
}
