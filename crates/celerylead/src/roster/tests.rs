//! Tests of the roster's rules.

use super::{ColdEnds, RosterChange, RunnerFacts, RunnerRoster};
use crate::{StoreVersion, clock::EpochMillis};

fn facts(id: &str, leaving: bool) -> RunnerFacts {
    RunnerFacts {
        id: id.to_owned(),
        service: "advisor".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: "boden".to_owned(),
        slots: 4,
        leaving,
        born: None,
        models: Vec::new(),
        copies: Vec::new(),
        orders: 0,
        cold_until: EpochMillis::default(),
    }
}

enum Step {
    Listed(&'static str),
    Leaving(&'static str),
    Withdrawn(&'static str),
    Snapshot(&'static [&'static str]),
    /// The registry is available again after an outage.
    Returned,
    /// The registry had no outage; only this host was cut off.
    Steady,
}

#[test]
fn a_missing_entry_is_gone_unless_it_may_have_lapsed() {
    struct Case {
        name: &'static str,
        steps: &'static [(u64, Step)],
        at: u64,
        expected: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "withdrawn without an outage",
            steps: &[(0, Step::Listed("a")), (10, Step::Withdrawn("a"))],
            at: 10,
            expected: &[],
        },
        Case {
            name: "lapsed in an outage, before the deadline",
            steps: &[
                (0, Step::Listed("a")),
                (100, Step::Returned),
                (150, Step::Withdrawn("a")),
            ],
            at: 2_099,
            expected: &["a"],
        },
        Case {
            name: "withdrawn while only this host was cut off",
            steps: &[
                (0, Step::Listed("a")),
                (100, Step::Returned),
                (150, Step::Withdrawn("a")),
                (160, Step::Steady),
            ],
            at: 160,
            expected: &[],
        },
        Case {
            name: "only this host cut off, known before the entry is missing",
            steps: &[
                (0, Step::Listed("a")),
                (100, Step::Returned),
                (110, Step::Steady),
                (150, Step::Withdrawn("a")),
            ],
            at: 150,
            expected: &[],
        },
        Case {
            name: "lapsed in an outage, not back in time",
            steps: &[
                (0, Step::Listed("a")),
                (100, Step::Returned),
                (150, Step::Withdrawn("a")),
            ],
            at: 2_100,
            expected: &[],
        },
        Case {
            name: "lapsed in an outage, back in time",
            steps: &[
                (0, Step::Listed("a")),
                (100, Step::Returned),
                (150, Step::Snapshot(&[])),
                (900, Step::Listed("a")),
            ],
            at: 9_000,
            expected: &["a"],
        },
        Case {
            name: "a leaving runner doesn't lapse",
            steps: &[
                (0, Step::Leaving("a")),
                (100, Step::Returned),
                (150, Step::Withdrawn("a")),
            ],
            at: 150,
            expected: &[],
        },
        Case {
            name: "a snapshot drops the entries that it lacks",
            steps: &[
                (0, Step::Listed("a")),
                (0, Step::Listed("b")),
                (10, Step::Snapshot(&["b", "c"])),
            ],
            at: 10,
            expected: &["b", "c"],
        },
    ];
    for case in cases {
        let mut roster = RunnerRoster::default();
        for (at, step) in case.steps {
            let now = EpochMillis(*at);
            match step {
                Step::Listed(id) => {
                    let facts = facts(id, false);
                    roster.change(RosterChange::Listed(facts), now);
                }
                Step::Leaving(id) => {
                    let facts = facts(id, true);
                    roster.change(RosterChange::Listed(facts), now);
                }
                Step::Withdrawn(id) => {
                    let id = (*id).to_owned();
                    roster.change(RosterChange::Withdrawn(id), now);
                }
                Step::Snapshot(ids) => {
                    let facts = ids.iter().map(|id| facts(id, false));
                    roster.replace(facts.collect(), now);
                }
                Step::Returned => roster.registry_returned(now),
                Step::Steady => {
                    roster.registry_was_steady();
                }
            }
        }
        roster.expire(EpochMillis(case.at));
        let left: Vec<&str> =
            roster.facts().map(|facts| facts.id.as_str()).collect();
        assert_eq!(left, case.expected, "{}", case.name);
    }
}

/// Guards against a runner that is taken for warm too early, and against one
/// that is cold for good because its row is read again and again.
#[test]
fn a_row_makes_its_runner_cold_once() {
    struct Case {
        name: &'static str,
        /// Version of the row and the end of the cold time by this reading.
        former: (u64, u64),
        later: (u64, u64),
        until: u64,
        is_cold: bool,
    }
    let cases = [
        Case {
            name: "the same row, read again later",
            former: (7, 103_000),
            later: (7, 108_000),
            until: 103_000,
            is_cold: true,
        },
        Case {
            name: "written again",
            former: (7, 103_000),
            later: (8, 104_000),
            until: 104_000,
            is_cold: true,
        },
        Case {
            name: "warm sooner than it said",
            former: (7, 103_000),
            later: (8, 0),
            until: 0,
            is_cold: false,
        },
        Case {
            name: "cold again",
            former: (7, 0),
            later: (8, 104_000),
            until: 104_000,
            is_cold: true,
        },
    ];
    for Case { name, former, later, until, is_cold } in cases {
        let mut ends = ColdEnds::default();
        let mut read = |(number, cold_until)| {
            let version = StoreVersion::new(0, number);
            let cold_until = EpochMillis(cold_until);
            let mut facts = RunnerFacts { cold_until, ..facts("a", false) };
            let is_cold = ends.settle(version, &mut facts);
            (facts.cold_until.0, is_cold)
        };
        read(former);
        assert_eq!(read(later), (until, is_cold), "{name}");
    }
}

/// Guards against calls to a runner that has left, or has said that it leaves,
/// and against live runners that are dropped, when the registry comes back from
/// a copy that lacks the latest entries.
#[test]
fn a_copied_registry_does_not_undo_what_is_known() {
    struct Case {
        name: &'static str,
        /// Ids known before, and whether they are leaving.
        known: &'static [(&'static str, bool)],
        /// Ids in the copy; none is leaving there.
        copied: &'static [&'static str],
        /// Ids used after the return, and whether they are leaving.
        expected: &'static [(&'static str, bool)],
        /// Ids whose next entry counts though it is unchanged.
        outdated: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "unchanged",
            known: &[("a", false)],
            copied: &["a"],
            expected: &[("a", false)],
            outdated: &[],
        },
        Case {
            name: "a runner that registered after the copy",
            known: &[("a", false), ("b", false)],
            copied: &["a"],
            expected: &[("a", false), ("b", false)],
            outdated: &[],
        },
        Case {
            name: "a runner that has left after the copy",
            known: &[("a", false)],
            copied: &["a", "b"],
            expected: &[("a", false)],
            outdated: &["b"],
        },
        Case {
            name: "a runner that began to leave after the copy",
            known: &[("a", true)],
            copied: &["a"],
            expected: &[("a", true)],
            outdated: &["a"],
        },
    ];
    for Case { name, known, copied, expected, outdated } in cases {
        let now = EpochMillis(1_000);
        let mut roster = RunnerRoster::default();
        for (id, leaving) in known {
            let facts = facts(id, *leaving);
            roster.change(RosterChange::Listed(facts), now);
        }
        let copied = copied.iter().map(|id| facts(id, false)).collect();
        assert_eq!(roster.restore(copied, now), outdated, "{name}");
        let found: Vec<(&str, bool)> = roster
            .facts()
            .map(|facts| (facts.id.as_str(), facts.leaving))
            .collect();
        assert_eq!(found, expected, "{name}");
        // The runner writes its entry again.
        for id in outdated {
            let facts = facts(id, false);
            roster.change(RosterChange::Listed(facts), now);
            let is_used = roster.facts().any(|f| f.id == *id && !f.leaving);
            assert!(is_used, "{name}");
        }
    }
}
