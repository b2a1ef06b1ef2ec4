//! Tests of the catalog's look-ups.

use super::{
    BilledCustomer, CallLimits, CallRoute, RouteKind, ServiceCatalog,
    SplitTarget,
};
use crate::customer::CallerKey;

fn route(host: &str, prefix: &str) -> CallRoute {
    CallRoute {
        name: format!("{host}{prefix}"),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Safe,
        timeout_ms: 1_000,
        objective_ms: 100,
        gap_ms: 0,
        priority: 0,
        targets: vec![
            SplitTarget { service: "blue".to_owned(), weight: 90 },
            SplitTarget { service: "green".to_owned(), weight: 10 },
        ],
        max_attempts: 1,
        public: false,
    }
}

fn catalog() -> ServiceCatalog {
    let customer = BilledCustomer {
        name: "parish".to_owned(),
        priority: None,
        rate: None,
    };
    let keys = vec![CallerKey::presented("k-1"), CallerKey::presented("k-2")];
    ServiceCatalog::new(
        3,
        CallLimits::default(),
        vec![
            route("a.example", "/x/"),
            route("a.example", "/x/y/"),
            route("a.example", "/"),
            route("b.example", "/x/"),
        ],
        Vec::new(),
        vec![(customer, keys)],
    )
}

#[test]
fn the_longest_prefix_wins() {
    struct Case {
        host: &'static str,
        path: &'static str,
        expected: Option<&'static str>,
    }
    let cases = [
        Case { host: "a.example", path: "/x/1", expected: Some("/x/") },
        Case { host: "a.example", path: "/x/y/1", expected: Some("/x/y/") },
        Case { host: "a.example", path: "/x/y", expected: Some("/x/") },
        Case { host: "a.example", path: "/z", expected: Some("/") },
        Case { host: "A.Example", path: "/x/", expected: Some("/x/") },
        Case { host: "b.example", path: "/xy", expected: None },
        Case { host: "b.example", path: "*", expected: None },
        Case { host: "c.example", path: "/x/", expected: None },
    ];
    let catalog = catalog();
    for Case { host, path, expected } in cases {
        let route = catalog.route(host, path);
        let prefix = route.map(|route| route.prefix.as_str());
        assert_eq!(prefix, expected, "{host}{path}");
    }
}

#[test]
fn a_key_leads_to_its_customer() {
    struct Case {
        key: &'static str,
        expected: Option<&'static str>,
    }
    let cases = [
        Case { key: "k-1", expected: Some("parish") },
        Case { key: "k-2", expected: Some("parish") },
        Case { key: "k-3", expected: None },
        Case { key: "", expected: None },
    ];
    let catalog = catalog();
    for Case { key, expected } in cases {
        let customer = catalog.customer(&CallerKey::presented(key));
        let name = customer.map(|customer| customer.name.as_str());
        assert_eq!(name, expected, "{key}");
    }
}

#[test]
fn a_split_follows_its_weights() {
    struct Case {
        draw: f64,
        target: &'static str,
    }
    let cases = [
        Case { draw: 0.0, target: "blue" },
        Case { draw: 0.899, target: "blue" },
        Case { draw: 0.901, target: "green" },
        Case { draw: 1.0, target: "green" },
    ];
    let route = route("a.example", "/");
    for Case { draw, target } in cases {
        assert_eq!(route.target(draw), Some(target), "{draw}");
    }
}

/// Guards against an evacuation that an older word revives or ends.
#[test]
fn the_newest_row_of_a_zone_decides() {
    use super::EvacuationList;
    use crate::StoreVersion;

    let at = |number| StoreVersion::new(0, number);
    enum Step {
        /// A row was written (or removed) at a version.
        Row(&'static str, u64, bool),
        /// The whole table was read at a version, with these rows.
        Table(&'static [(&'static str, u64)], u64),
        /// Another host tells this.
        Told(&'static str, u64, bool),
    }
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        evacuated: &'static [&'static str],
    }
    use Step::{Row, Table, Told};
    let cases = [
        Case { name: "none", steps: &[Table(&[], 4)], evacuated: &[] },
        Case {
            name: "two at once",
            steps: &[Row("b", 5, true), Row("a", 6, true)],
            evacuated: &["a", "b"],
        },
        Case {
            name: "withdrawn within a second",
            steps: &[Row("a", 5, true), Row("a", 6, false)],
            evacuated: &[],
        },
        Case {
            name: "another host is behind",
            steps: &[Row("a", 6, false), Told("a", 5, true)],
            evacuated: &[],
        },
        Case {
            name: "another host is ahead",
            steps: &[Row("a", 5, true), Told("a", 7, false)],
            evacuated: &[],
        },
        Case {
            name: "the removal was missed",
            steps: &[Row("a", 5, true), Table(&[("b", 6)], 9)],
            evacuated: &["b"],
        },
        Case {
            name: "a reading from before the row",
            steps: &[Told("a", 8, true), Table(&[], 7)],
            evacuated: &["a"],
        },
        Case {
            name: "evacuated again",
            steps: &[Row("a", 5, true), Row("a", 6, false), Row("a", 7, true)],
            evacuated: &["a"],
        },
    ];
    for Case { name, steps, evacuated } in cases {
        let mut list = EvacuationList::default();
        for step in steps {
            match *step {
                Row(zone, number, is_evacuated) => {
                    list.apply(zone, at(number), is_evacuated);
                }
                Table(rows, number) => {
                    let rows = rows.iter().map(|(zone, n)| (*zone, at(*n)));
                    let rows: Vec<(&str, StoreVersion)> = rows.collect();
                    list.replace(&rows, at(number));
                }
                Told(zone, number, is_evacuated) => {
                    let mut told = EvacuationList::default();
                    told.apply(zone, at(number), is_evacuated);
                    list.merge(&told);
                }
            }
        }
        let found: Vec<&str> = list.evacuated().collect();
        assert_eq!(found, evacuated, "{name}");
    }
    let mut list = EvacuationList::default();
    list.apply("kgn", at(1), true);
    for number in 2..1_000 {
        list.apply(&format!("z{number}"), at(number), false);
    }
    assert!(list.is_evacuated("kgn"), "marks of others don't displace it");
}

/// Guards against a refusal whose log line calls an older revision the newest.
#[test]
fn evidence_names_the_newest_revision_and_its_age() {
    use super::RevisionEvidence;
    use crate::EpochMillis;

    enum Step {
        Hear(u64),
        Confirm(u64, u64),
    }
    use Step::{Confirm, Hear};
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        newest: u64,
        /// Age of the confirmation at the time 1,000.
        age_ms: Option<u64>,
    }
    let cases = [
        Case { name: "nothing", steps: &[], newest: 0, age_ms: None },
        Case {
            name: "from another host only",
            steps: &[Hear(4)],
            newest: 4,
            age_ms: None,
        },
        Case {
            name: "read from the store",
            steps: &[Hear(4), Confirm(4, 700)],
            newest: 4,
            age_ms: Some(300),
        },
        Case {
            name: "an earlier reading is reported late",
            steps: &[Confirm(4, 700), Confirm(4, 600)],
            newest: 4,
            age_ms: Some(300),
        },
        Case {
            name: "another host is behind",
            steps: &[Confirm(4, 700), Confirm(3, 900)],
            newest: 4,
            age_ms: Some(300),
        },
        Case {
            name: "a newer one is heard of",
            steps: &[Confirm(4, 700), Hear(6)],
            newest: 6,
            age_ms: None,
        },
        Case {
            name: "the store's clock isn't known yet",
            steps: &[Confirm(4, 0)],
            newest: 4,
            age_ms: None,
        },
    ];
    for Case { name, steps, newest, age_ms } in cases {
        let mut evidence = RevisionEvidence::default();
        for step in steps {
            match *step {
                Hear(revision) => evidence.hear(revision),
                Confirm(revision, at) => {
                    evidence.confirm(revision, EpochMillis(at));
                }
            }
        }
        assert_eq!(evidence.newest(), newest, "{name}");
        assert_eq!(evidence.age_ms(EpochMillis(1_000)), age_ms, "{name}");
    }
}

/// Guards against a final 401 or 404 by a host that may lack the newest revision,
/// and against a 503 for an unknown key by one that surely has it.
#[test]
fn only_recent_evidence_shows_the_newest_revision() {
    use std::time::Duration;

    use super::RevisionEvidence;
    use crate::EpochMillis;

    enum Step {
        Hear(u64),
        Confirm(u64, u64),
        Decoded(bool),
    }
    use Step::{Confirm, Decoded, Hear};
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        /// Whether revision 4 is shown to be the newest at the time 5,000, with
        /// a limit of 3,000.
        shown: bool,
    }
    let cases = [
        Case { name: "nothing is known", steps: &[], shown: false },
        Case { name: "recent", steps: &[Confirm(4, 2_001)], shown: true },
        Case { name: "too old", steps: &[Confirm(4, 2_000)], shown: false },
        Case {
            name: "confirmed anew",
            steps: &[Confirm(4, 1_000), Confirm(4, 4_000)],
            shown: true,
        },
        Case { name: "from another host", steps: &[Hear(4)], shown: false },
        Case {
            name: "another host has a newer one",
            steps: &[Confirm(4, 4_900), Confirm(5, 4_950)],
            shown: false,
        },
        Case {
            name: "another host is behind",
            steps: &[Confirm(4, 4_900), Confirm(3, 4_950)],
            shown: true,
        },
        Case {
            name: "a newer one can't be decoded",
            steps: &[Confirm(4, 4_900), Decoded(false), Confirm(4, 4_950)],
            shown: false,
        },
        Case {
            name: "another host has one below the unreadable one",
            steps: &[Decoded(false), Hear(4), Confirm(4, 4_950)],
            shown: false,
        },
        Case {
            name: "an unreadable one was replaced",
            steps: &[Decoded(false), Decoded(true), Confirm(4, 4_950)],
            shown: true,
        },
    ];
    for Case { name, steps, shown } in cases {
        let mut evidence = RevisionEvidence::default();
        for step in steps {
            match *step {
                Hear(revision) => evidence.hear(revision),
                Confirm(revision, at) => {
                    evidence.confirm(revision, EpochMillis(at));
                }
                Decoded(is_readable) => evidence.record_decoding(is_readable),
            }
        }
        let (now, limit) = (EpochMillis(5_000), Duration::from_millis(3_000));
        assert_eq!(evidence.shows_newest(4, now, limit), shown, "{name}");
    }
}
