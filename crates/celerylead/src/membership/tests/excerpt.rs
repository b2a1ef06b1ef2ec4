//! Tests of the excerpts of the registry's feed.

use crate::{
    StoreVersion,
    clock::EpochMillis,
    membership::{
        ExcerptRow, ExcerptVerdict, FeedExcerpt, FeedFollower, RevisionNews,
    },
};

fn row(key: &str, version: u64, bytes: usize) -> ExcerptRow {
    let version = StoreVersion::new(0, version);
    ExcerptRow { key: key.to_owned(), version, value: Some(vec![0; bytes]) }
}

#[test]
fn an_excerpt_is_split_between_versions() {
    struct Case {
        name: &'static str,
        /// Version and size of each row.
        rows: &'static [(u64, usize)],
        /// Positions and number of rows of each excerpt.
        expected: &'static [(u64, u64, usize)],
    }
    let cases = [
        Case { name: "no change", rows: &[], expected: &[(10, 20, 0)] },
        Case {
            name: "all fit",
            rows: &[(11, 100), (12, 100)],
            expected: &[(10, 20, 2)],
        },
        Case {
            name: "two are needed",
            rows: &[(11, 5_000), (12, 5_000), (13, 100)],
            expected: &[(10, 11, 1), (11, 20, 2)],
        },
        Case {
            name: "rows of one version stay together",
            rows: &[(11, 3_000), (12, 3_000), (12, 3_000)],
            expected: &[(10, 11, 1), (11, 20, 2)],
        },
        Case {
            name: "a row that fits in none ends them",
            rows: &[(11, 100), (12, 9_000), (13, 100)],
            expected: &[(10, 11, 1)],
        },
        Case {
            name: "a row without a version",
            rows: &[(0, 100), (12, 100)],
            expected: &[],
        },
        Case {
            name: "the first row fits in none",
            rows: &[(11, 9_000)],
            expected: &[],
        },
    ];
    for case in cases {
        let rows = case
            .rows
            .iter()
            .map(|(version, bytes)| row("i-1", *version, *bytes));
        let excerpt = FeedExcerpt {
            after: StoreVersion::new(0, 10),
            version: StoreVersion::new(0, 20),
            store_time: EpochMillis(5),
            revision: 3,
            is_newest: true,
            rows: rows.collect(),
        };
        let found: Vec<(u64, u64, usize)> = excerpt
            .split()
            .iter()
            .map(|part| {
                let (after, version) = (part.after, part.version);
                (after.number(), version.number(), part.rows.len())
            })
            .collect();
        assert_eq!(found, case.expected, "{}", case.name);
    }
}

/// The host's clock is 1,000 ms ahead of the store's, and its reads take 5 ms.
#[test]
fn a_fresh_continuous_excerpt_puts_off_the_own_read() {
    struct Case {
        name: &'static str,
        after: u64,
        version: u64,
        store_time: u64,
        verdict: ExcerptVerdict,
        read_due: u64,
    }
    let case = Case {
        name: "the next one",
        after: 10,
        version: 12,
        store_time: 9_500,
        verdict: ExcerptVerdict::Apply,
        read_due: 11_805,
    };
    let cases = [
        Case { name: "without changes", version: 10, ..case },
        Case { name: "overlapping", after: 7, ..case },
        Case {
            name: "long on its way",
            store_time: 7_000,
            read_due: 11_305,
            ..case
        },
        Case {
            name: "behind the position",
            after: 7,
            version: 9,
            verdict: ExcerptVerdict::Stale,
            read_due: 11_305,
            ..case
        },
        Case {
            name: "beyond the position",
            after: 11,
            verdict: ExcerptVerdict::Missed,
            read_due: 11_305,
            ..case
        },
        case,
    ];
    for case in cases {
        let mut follower = FeedFollower::default();
        follower.record_read(EpochMillis(8_000), EpochMillis(9_005));
        follower.record_read(EpochMillis(8_900), EpochMillis(10_005));
        let excerpt = FeedExcerpt {
            after: StoreVersion::new(0, case.after),
            version: StoreVersion::new(0, case.version),
            store_time: EpochMillis(case.store_time),
            revision: 3,
            is_newest: true,
            rows: Vec::new(),
        };
        let verdict = follower.admit(StoreVersion::new(0, 10), &excerpt);
        assert_eq!(verdict, case.verdict, "{}", case.name);
        let known_at = EpochMillis(case.store_time + 1_005);
        let news = RevisionNews { revision: 3, is_newest: true, known_at };
        assert_eq!(follower.news(&excerpt), news, "{}", case.name);
        let due = follower.read_due();
        assert_eq!(due, EpochMillis(case.read_due), "{}", case.name);
    }
}
