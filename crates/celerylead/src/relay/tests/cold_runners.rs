//! Tests of the state of cold runners in the relay table.

use std::time::Duration;

use super::{call, runner, start};
use crate::{
    catalog::{CallLimits, ColdSpec, ServiceCatalog, ServiceSpec},
    clock::EpochMillis,
    customer::HostLiveness,
    relay::{CallEnd, ColdBounds, PickFault, RelayTable, RunnerNotice},
    roster::RunnerFacts,
};

/// Calls that the only host may send within a little over a second.
const OWNER_LIMIT: usize = 16;
const BOUNDS: ColdBounds = ColdBounds {
    overshoot: 1.5,
    slack: 5.0,
    contact: Duration::from_millis(3_000),
};

/// Returns a catalog with one service, whose runners are cold if `is_cold`.
fn catalog(is_cold: bool) -> ServiceCatalog {
    let cold = ColdSpec { span_ms: 3_000, per_second: 18.0 };
    let ledger = ServiceSpec {
        name: "ledger".to_owned(),
        max_links: 1_000,
        engine: None,
        cold: is_cold.then_some(cold),
    };
    let limits = CallLimits::default();
    ServiceCatalog::new(1, limits, Vec::new(), vec![ledger], Vec::new())
}

fn facts(born: u64, cold_until: u64) -> RunnerFacts {
    RunnerFacts {
        slots: 1_000,
        born: Some(born),
        cold_until: EpochMillis(cold_until),
        ..runner("a", "ledger", &[])
    }
}

enum Step {
    /// The registry lists the runner with this start and end of its cold time.
    Listed(u64, u64),
    /// The runner states in an answer until when it is cold.
    Stated(u64),
    /// A connection to the runner is refused.
    Refused,
    /// Another host saw this start of the runner end.
    Crashed(u64),
    /// The runner states that it leaves.
    Leaves,
    /// Time passes up to this moment, with observations.
    Until(u64),
}

/// Guards against a runner that gets more calls than it tolerates while it is
/// cold, or fewer than it could take once it is warm.
#[test]
fn a_cold_runner_gets_few_calls_until_it_is_warm() {
    struct Case {
        name: &'static str,
        is_cold: bool,
        steps: &'static [Step],
        /// Calls that the runner gets at once after the steps.
        calls: usize,
    }
    use Step::{Crashed, Leaves, Listed, Refused, Stated, Until};
    const WARM: usize = 60;
    let case = Case { name: "", is_cold: true, steps: &[], calls: WARM };
    let cases = [
        Case {
            name: "a service whose runners are never cold",
            is_cold: false,
            steps: &[Listed(1, 109_000)],
            ..case
        },
        Case { name: "a warm runner", steps: &[Listed(1, 0)], ..case },
        Case {
            name: "cold since its start",
            steps: &[Listed(1, 109_000), Until(105_000)],
            calls: OWNER_LIMIT,
            ..case
        },
        Case {
            name: "warm again in time",
            steps: &[Listed(1, 109_000), Until(109_000)],
            ..case
        },
        Case {
            name: "the registry says sooner that it is warm",
            steps: &[Listed(1, 109_000), Until(105_000), Listed(1, 0)],
            ..case
        },
        Case {
            name: "just turned cold: what was sent before may arrive yet",
            steps: &[Listed(1, 0), Until(105_000), Stated(109_000)],
            calls: 0,
            ..case
        },
        Case {
            name: "turned cold again",
            steps: &[
                Listed(1, 0),
                Until(105_000),
                Listed(1, 109_000),
                Until(106_300),
            ],
            calls: OWNER_LIMIT,
            ..case
        },
        Case {
            name: "cold by its own word, warm by an older row",
            steps: &[Stated(109_000), Listed(1, 0), Until(107_000)],
            calls: OWNER_LIMIT,
            ..case
        },
        Case {
            name: "refused a connection: it may have started again",
            steps: &[Listed(1, 0), Until(105_000), Refused, Until(106_300)],
            calls: OWNER_LIMIT,
            ..case
        },
        Case {
            name: "its former row is read once more after the refusal",
            steps: &[
                Listed(1, 0),
                Until(105_000),
                Refused,
                Listed(1, 0),
                Until(106_300),
            ],
            calls: OWNER_LIMIT,
            ..case
        },
        Case {
            name: "the next start's row says that it is warm",
            steps: &[Listed(1, 0), Until(105_000), Refused, Listed(2, 0)],
            ..case
        },
        Case {
            name: "no other start was listed after a refusal",
            steps: &[Listed(1, 0), Until(105_000), Refused, Until(111_100)],
            ..case
        },
        Case {
            name: "another host saw it end",
            steps: &[Listed(1, 0), Until(105_000), Crashed(1), Until(106_300)],
            calls: OWNER_LIMIT,
            ..case
        },
        Case {
            name: "another host saw its former start end",
            steps: &[Listed(2, 0), Until(105_000), Crashed(1)],
            ..case
        },
        Case {
            name: "leaves while it is cold",
            steps: &[Listed(1, 109_000), Until(105_000), Leaves],
            calls: 0,
            ..case
        },
        Case {
            name: "leaves while it is cold, past that time",
            steps: &[
                Listed(1, 109_000),
                Until(105_000),
                Leaves,
                Until(110_000),
            ],
            calls: 0,
            ..case
        },
    ];
    for Case { name, is_cold, steps, calls } in cases {
        let mut table = RelayTable::with_cold_bounds("f-1", "boden", BOUNDS);
        let liveness = HostLiveness::default();
        let catalog = catalog(is_cold);
        table.set_cold_services(&catalog);
        let mut now = EpochMillis(100_000);
        table.refresh_cold(&liveness, now);
        table.note_hosts_listed(now);
        let call = call("ledger", None);
        for step in steps {
            match *step {
                Listed(born, cold_until) => {
                    table.set_roster([&facts(born, cold_until)].into_iter());
                }
                Stated(until) => {
                    let cold_until = EpochMillis(until);
                    let notice =
                        RunnerNotice { cold_until, ..Default::default() };
                    table.note_runner(&start("a", 1), notice, now);
                }
                Refused => {
                    let choice = table.pick(&call, &catalog, now).unwrap();
                    let end = CallEnd::Unreachable;
                    table.end_call(&choice, false, end, now);
                    assert!(table.suspect_restart(&choice.start(), now));
                }
                Crashed(born) => {
                    table.suspect_restart(&start("a", born), now);
                }
                Leaves => {
                    let notice =
                        RunnerNotice { leaving: true, ..Default::default() };
                    table.note_runner(&start("a", 1), notice, now);
                }
                Until(at) => {
                    while now < EpochMillis(at) {
                        now = now.after(Duration::from_millis(100));
                        table.refresh_cold(&liveness, now);
                    }
                }
            }
        }
        let picked = (0..WARM)
            .take_while(|_| table.pick(&call, &catalog, now).is_ok())
            .count();
        assert_eq!(picked, calls, "{name}");
    }
}

/// Guards against calls that are refused, or wait too long, because the only
/// runner left is cold.
#[test]
fn a_call_waits_for_its_part_of_a_cold_runner() {
    let mut table = RelayTable::with_cold_bounds("f-1", "boden", BOUNDS);
    let liveness = HostLiveness::default();
    let catalog = catalog(true);
    table.set_cold_services(&catalog);
    table.set_roster([&facts(1, 109_000)].into_iter());
    let call = call("ledger", None);
    let begin = EpochMillis(100_000);
    let early = table.pick(&call, &catalog, begin);
    assert_eq!(early, Err(PickFault::Cold(EpochMillis(109_000))));
    table.refresh_cold(&liveness, begin);
    table.note_hosts_listed(begin);
    let early = table.pick(&call, &catalog, begin);
    assert_eq!(early, Err(PickFault::Cold(EpochMillis(103_000))));
    for step in 1..=40 {
        let now = begin.after(Duration::from_millis(100 * step));
        table.refresh_cold(&liveness, now);
    }
    let now = EpochMillis(104_000);
    for _ in 0..OWNER_LIMIT {
        let choice = table.pick(&call, &catalog, now).unwrap();
        assert_eq!(choice.send_by, Some(EpochMillis(104_100)));
    }
    let full = table.pick(&call, &catalog, now);
    assert_eq!(full, Err(PickFault::Cold(EpochMillis(105_100))));
}
