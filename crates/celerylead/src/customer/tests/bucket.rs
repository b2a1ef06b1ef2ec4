use crate::{
    clock::EpochMillis,
    customer::{CallerKey, GRANT_HOLD, KeyHash, RateBucket},
};

/// Operation on a bucket with a rate of 10 tokens per second and a burst of
/// 20, with its expected result.
#[derive(Clone, Copy)]
enum BucketStep {
    Take(u64, bool),
    Grant(u64, u64),
    Refund(u64),
    Debit(u64),
    Resize(u64),
    Level(u64),
}

struct BucketCase {
    name: &'static str,
    /// Time in milliseconds, and the operation at that time.
    steps: &'static [(u64, BucketStep)],
}

#[test]
fn buckets_keep_to_rate_and_burst() {
    use BucketStep::{Debit, Grant, Level, Refund, Resize, Take};
    let hold = u64::try_from(GRANT_HOLD.as_millis()).unwrap();
    assert_eq!(hold, 1_000, "the cases below assume this duration");
    let cases = [
        BucketCase {
            name: "the whole burst can be taken, then the rate applies",
            steps: &[
                (0, Take(20, true)),
                (0, Take(1, false)),
                (99, Take(1, false)),
                (100, Take(1, true)),
                (100, Take(1, false)),
            ],
        },
        BucketCase {
            name: "a full bucket doesn't exceed its burst",
            steps: &[(60_000, Level(20)), (60_000, Take(21, false))],
        },
        BucketCase {
            name: "a grant occupies its room until it expires",
            steps: &[
                (0, Grant(15, 15)),
                (999, Level(5)),
                (1_000, Level(5)),
                (1_500, Level(10)),
            ],
        },
        BucketCase {
            name: "a grant is limited to the level",
            steps: &[(0, Take(18, true)), (0, Grant(5, 2))],
        },
        BucketCase {
            name: "a refund doesn't exceed the burst",
            steps: &[
                (0, Take(10, true)),
                (1_000, Refund(10)),
                (1_000, Level(20)),
            ],
        },
        BucketCase {
            name: "a refill pays off a debt first",
            steps: &[
                (0, Take(20, true)),
                (0, Debit(10)),
                (1_000, Level(0)),
                (1_100, Take(1, true)),
            ],
        },
        BucketCase {
            name: "a smaller burst cuts the level, a larger one fills up",
            steps: &[
                (0, Resize(5)),
                (0, Level(5)),
                (0, Resize(20)),
                (0, Level(5)),
                (500, Level(10)),
            ],
        },
        BucketCase {
            name: "a clock that goes back refills nothing",
            steps: &[
                (1_000, Take(20, true)),
                (0, Level(0)),
                (1_000, Level(0)),
                (1_100, Level(1)),
            ],
        },
    ];
    for case in cases {
        let mut bucket = RateBucket::full(10_000, 20, EpochMillis(0));
        for (index, (at, step)) in case.steps.iter().enumerate() {
            let now = EpochMillis(*at);
            let name = format!("{}, step {index}", case.name);
            match *step {
                Take(tokens, taken) => {
                    assert_eq!(bucket.take(tokens, now), taken, "{name}");
                }
                Grant(tokens, granted) => {
                    assert_eq!(bucket.grant(tokens, now), granted, "{name}");
                }
                Refund(tokens) => bucket.refund(tokens, now),
                Debit(tokens) => bucket.debit(tokens, now),
                Resize(burst) => bucket.resize(10_000, burst, now),
                Level(level) => {
                    assert_eq!(bucket.level(now), level, "{name}");
                }
            }
        }
    }
}

#[test]
fn keys_are_never_printed() {
    let key = CallerKey::presented("cl-secret");
    assert!(!format!("{key:?} {:?}", key.hash()).contains("cl-secret"));
    let error = "cl-secret".parse::<KeyHash>().unwrap_err();
    assert!(!error.to_string().contains("cl-secret"));
}
