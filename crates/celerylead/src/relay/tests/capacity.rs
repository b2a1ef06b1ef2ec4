//! Tests of the learned capacity of a runner.

use proptest::prelude::*;

use super::{
    super::{CallEnd, CallProfile, RelayChoice, RelayTable},
    call, catalog_with, runner,
};
use crate::{
    catalog::ServiceCatalog, clock::EpochMillis, membership::RunnerLoad,
    roster::RunnerFacts,
};

const SLOTS: u32 = 12;
/// Most calls that an engine of 12 slots may be sent.
const HARD_LIMIT: f64 = 15.0;
const TARGET_MS: u64 = 400;

/// A table of one host with some runners, and the time.
struct Host {
    table: RelayTable,
    catalog: ServiceCatalog,
    now: u64,
}

fn facts(id: &str, born: u64) -> RunnerFacts {
    let born = Some(born);
    RunnerFacts { slots: SLOTS, born, ..runner(id, "advisor", &["bend"]) }
}

impl Host {
    fn new(runners: &[&str]) -> Host {
        let mut table = RelayTable::new("boden");
        let facts: Vec<_> = runners.iter().map(|id| facts(id, 1)).collect();
        table.set_roster(facts.iter());
        Host { table, catalog: catalog_with(500), now: 100_000 }
    }

    fn at(&self) -> EpochMillis {
        EpochMillis(self.now)
    }

    /// Sends a call to a runner that has `others` calls of other hosts.
    fn send(&mut self, id: &str, others: u32) -> Option<RelayChoice> {
        let load = RunnerLoad {
            runner: id.to_owned(),
            calls: others,
            tokens: 1,
            names: Vec::new(),
        };
        self.table.update_peer_loads("front-2", &[load], self.at());
        let mut call = call("advisor", Some("bend"));
        call.tokens = 1;
        call.profile = CallProfile {
            prompt_tokens: 700,
            target: Some(EpochMillis(self.now + TARGET_MS)),
            gap_ms: 200,
            ..CallProfile::default()
        };
        let others = ["a", "b", "c"].into_iter().filter(|other| *other != id);
        call.tried = others.map(str::to_owned).collect();
        self.table.pick(&call, &self.catalog, self.at()).ok()
    }

    /// Runs a call whose first event comes after `head_ms`, with `others` calls
    /// beside it.
    fn run(&mut self, id: &str, others: u32, head_ms: u64) {
        let Some(choice) = self.send(id, others) else { return };
        self.now += head_ms;
        let start = choice.start();
        self.table.note_head(&start, self.at());
        self.table.note_first_event(&start, choice.sent, self.at());
        self.table.end_call(&choice, true, CallEnd::Neutral, self.at());
    }

    fn capacity(&self, id: &str) -> f64 {
        let mut capacities = self.table.capacities(self.at());
        capacities.find(|(found, ..)| *found == id).unwrap().1
    }
}

/// Guards against a capacity that doesn't follow what a runner takes, or that
/// is lowered by what says nothing about its load.
#[test]
fn the_capacity_follows_a_runner() {
    struct Case {
        name: &'static str,
        /// Number of calls, calls of others beside each, and the time to their
        /// first events, at runner a; runner b always takes 80 ms.
        phases: &'static [(u32, u32, u64)],
        /// Time that passes without calls at the end.
        idle_ms: u64,
        /// Bounds of the ratio of the capacity of a to that of b.
        ratio: (f64, f64),
    }
    let cases = [
        Case {
            name: "like the other",
            phases: &[(30, 2, 80)],
            idle_ms: 0,
            ratio: (0.85, 1.15),
        },
        Case {
            name: "slower without load",
            phases: &[(30, 2, 200)],
            idle_ms: 0,
            ratio: (0.2, 0.75),
        },
        Case {
            name: "turns slow",
            phases: &[(30, 2, 80), (12, 2, 200)],
            idle_ms: 0,
            ratio: (0.2, 0.75),
        },
        Case {
            name: "turns fast again",
            phases: &[(30, 2, 200), (20, 2, 80)],
            idle_ms: 0,
            ratio: (0.8, 1.2),
        },
        Case {
            name: "late beside load",
            phases: &[(20, 2, 80), (10, 9, 600)],
            idle_ms: 0,
            ratio: (0.1, 0.7),
        },
        Case {
            name: "late beside load, then idle",
            phases: &[(20, 2, 80), (10, 9, 600)],
            idle_ms: 120_000,
            ratio: (0.85, 1.15),
        },
        Case {
            name: "one late answer, as after a lost packet, a while ago",
            phases: &[(20, 2, 80), (1, 1, 1_200)],
            idle_ms: 5_000,
            ratio: (0.75, 1.15),
        },
    ];
    for case in cases {
        let mut host = Host::new(&["a", "b"]);
        for (calls, others, head_ms) in case.phases {
            for _ in 0..*calls {
                host.run("a", *others, *head_ms);
                host.run("b", 2, 80);
            }
        }
        host.now += case.idle_ms;
        let ratio = host.capacity("a") / host.capacity("b");
        let (low, high) = case.ratio;
        assert!(
            (low..=high).contains(&ratio),
            "{}: {ratio:.2}, {:.1} and {:.1}",
            case.name,
            host.capacity("a"),
            host.capacity("b"),
        );
    }
}

/// Guards against failures and time-outs that lower the capacity, which would
/// keep calls from a runner after the network is well again.
#[test]
fn failures_leave_the_capacity_alone() {
    let ends = [
        CallEnd::Failed,
        CallEnd::Broken,
        CallEnd::Cut,
        CallEnd::Unreachable,
        CallEnd::Rejected,
        CallEnd::Neutral,
    ];
    for end in ends {
        let mut host = Host::new(&["a"]);
        for _ in 0..20 {
            host.run("a", 2, 80);
        }
        let before = host.capacity("a");
        for _ in 0..20 {
            let choice = host.send("a", 9).unwrap();
            host.table.end_call(&choice, false, end, host.at());
        }
        // The target by which the capacity is judged moves a little with each
        // call that is sent.
        let after = host.capacity("a");
        assert!(0.97 * before <= after, "{end:?}: {before}, then {after}");
    }
}

/// Guards against what was learned of one start of a runner being used for the
/// next one.
#[test]
fn a_new_start_is_learned_anew() {
    let mut host = Host::new(&["a", "b"]);
    for _ in 0..30 {
        host.run("a", 2, 300);
        host.run("b", 2, 80);
    }
    let slow = host.capacity("a");
    let facts = [facts("a", 2), facts("b", 1)];
    host.table.set_roster(facts.iter());
    let fresh = host.capacity("a");
    assert!(slow * 1.3 < fresh, "{slow} before and {fresh} after the start");
}

/// Guards against calls that wait although runners have room, or are sent as if
/// there was room: the free capacity shrinks with each call and is never below
/// zero.
#[test]
fn headroom_shrinks_with_the_load() {
    let mut host = Host::new(&["a", "b"]);
    host.run("a", 0, 80);
    let wanted = call("advisor", Some("bend"));
    let headroom =
        |host: &Host| host.table.headroom(&wanted, &host.catalog, host.at());
    let idle = headroom(&host);
    assert_eq!(idle.runners, 2);
    assert!(2.0 < idle.free && idle.free <= 2.0 * HARD_LIMIT, "{idle:?}");
    let mut former = idle;
    for sent in 0..30 {
        let id = if sent % 2 == 0 { "a" } else { "b" };
        host.send(id, 0).unwrap();
        let found = headroom(&host);
        assert!(found.free <= former.free, "{former:?}, then {found:?}");
        assert!(0.0 <= found.free, "{found:?}");
        former = found;
    }
    let full = headroom(&host);
    assert_eq!((full.runners, full.free), (0, 0.0));
    assert_eq!(full.first_event_ms, None);
}

/// What may happen at a runner.
#[derive(Clone, Debug)]
enum Step {
    Run { runner: usize, others: u32, head_ms: u64 },
    Pace { runner: usize, pace_us: u64 },
    Idle { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..3_usize, 0..20_u32, 0..3_000_u64).prop_map(
            |(runner, others, head_ms)| Step::Run { runner, others, head_ms }
        ),
        3 => (0..3_usize, 0..2_000_000_u64)
            .prop_map(|(runner, pace_us)| Step::Pace { runner, pace_us }),
        1 => (0..20_000_u64).prop_map(|ms| Step::Idle { ms }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against a capacity below one call, above the hard limit, or that
    /// stays low once nothing speaks for it any more; and against a call that
    /// is sent above the hard limit.
    #[test]
    fn the_capacity_keeps_its_bounds(
        steps in prop::collection::vec(step(), 1..120),
    ) {
        const RUNNERS: [&str; 3] = ["a", "b", "c"];
        let mut host = Host::new(&RUNNERS);
        host.run("a", 0, 80);
        let fresh = Host::new(&RUNNERS);
        prop_assert!(fresh.table.capacities(fresh.at()).next().is_none());
        for step in steps {
            match step {
                Step::Run { runner, others, head_ms } => {
                    let id = RUNNERS[runner];
                    if let Some(choice) = host.send(id, others) {
                        prop_assert!(f64::from(choice.sent.load) <= HARD_LIMIT);
                        let end = CallEnd::Neutral;
                        let at = host.at();
                        host.table.end_call(&choice, false, end, at);
                    }
                    host.run(id, others, head_ms);
                }
                Step::Pace { runner, pace_us } => {
                    let (id, at) = (RUNNERS[runner], host.at());
                    host.table.note_pace(id, "bend", pace_us, at);
                }
                Step::Idle { ms } => host.now += ms,
            }
            for (_, capacity, _) in host.table.capacities(host.at()) {
                prop_assert!((1.0..=HARD_LIMIT).contains(&capacity));
            }
        }
        host.now += 600_000;
        for (id, capacity, _) in host.table.capacities(host.at()) {
            prop_assert!(
                0.5 * f64::from(SLOTS) <= capacity,
                "{id} stays at {capacity}"
            );
        }
    }
}

/// Guards against a choice that leaves out what makes calls late: load beside
/// the capacity, token memory, and an answer that is overdue.
#[test]
fn a_call_with_a_target_goes_where_it_is_in_time() {
    struct Case {
        name: &'static str,
        /// Calls and tokens of others at the runners a and b.
        loads: [(u32, u64); 2],
        /// Whether an answer of runner a has been due for 300 ms.
        is_overdue: bool,
        expected: &'static str,
    }
    let case = Case {
        name: "less load",
        loads: [(2, 20), (9, 90)],
        is_overdue: false,
        expected: "a",
    };
    let cases = [
        Case {
            name: "more load",
            loads: [(9, 90), (2, 20)],
            expected: "b",
            ..case
        },
        Case {
            name: "memory nearly taken",
            loads: [(3, 9_400), (4, 40)],
            expected: "b",
            ..case
        },
        Case {
            name: "an overdue answer",
            loads: [(0, 0), (4, 40)],
            is_overdue: true,
            expected: "b",
        },
        case,
    ];
    for case in cases {
        let mut host = Host::new(&["a", "b"]);
        for _ in 0..10 {
            host.run("a", 2, 80);
            host.run("b", 2, 80);
        }
        if case.is_overdue {
            host.send("a", 0).unwrap();
            host.now += 300;
        }
        let loads: Vec<RunnerLoad> = ["a", "b"]
            .into_iter()
            .zip(case.loads)
            .map(|(id, (calls, tokens))| RunnerLoad {
                runner: id.to_owned(),
                calls,
                tokens,
                names: Vec::new(),
            })
            .collect();
        host.table.update_peer_loads("front-2", &loads, host.at());
        let mut wanted = call("advisor", Some("bend"));
        wanted.tokens = 100;
        wanted.profile.target = Some(EpochMillis(host.now + 250));
        let choice = host.table.pick(&wanted, &host.catalog, host.at());
        assert_eq!(choice.unwrap().runner, case.expected, "{}", case.name);
    }
}
