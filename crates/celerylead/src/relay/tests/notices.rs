//! Tests of what runners state about themselves in their answers.

use super::{
    super::{CallEnd, PickFault, RelayTable, RunnerNotice},
    NOW, call, catalog, runner, start,
};
use crate::clock::EpochMillis;

/// Something that happens to runner "a", which is listed as started at 1.
#[derive(Clone, Copy)]
enum Step {
    /// An answer of the start of this time says that it leaves.
    Leaves(u64),
    /// Another host reports the same.
    Reported(u64),
    /// An answer of the start of time 1 asks for a pause until this time.
    Paused(u64),
    /// An answer of the start of time 2 does.
    NextPaused(u64),
    /// The registry no longer lists the runner.
    Unlisted,
    /// The registry lists the start of this time as ready.
    Listed(u64),
    /// A call sent to the start of time 1 ends broken, three times.
    OldCallsBreak,
}

#[test]
fn a_notice_holds_for_the_start_that_gave_it() {
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        at: u64,
        expected: Result<&'static str, PickFault>,
    }
    let paused = |until| Err(PickFault::Paused(EpochMillis(until)));
    let cases = [
        Case {
            name: "leaves",
            steps: &[Step::Leaves(1)],
            at: NOW.0,
            expected: Err(PickFault::NoRunner),
        },
        Case {
            name: "leaves, and is listed again",
            steps: &[Step::Leaves(1), Step::Unlisted, Step::Listed(1)],
            at: NOW.0 + 60_000,
            expected: Err(PickFault::NoRunner),
        },
        Case {
            name: "another start is listed",
            steps: &[Step::Leaves(1), Step::Listed(2)],
            at: NOW.0,
            expected: Ok("a"),
        },
        Case {
            name: "a late answer of the former start",
            steps: &[Step::Listed(2), Step::Leaves(1)],
            at: NOW.0,
            expected: Ok("a"),
        },
        Case {
            name: "reported by another host",
            steps: &[Step::Reported(1)],
            at: NOW.0,
            expected: Err(PickFault::NoRunner),
        },
        Case {
            name: "reported before it is listed",
            steps: &[Step::Unlisted, Step::Reported(1), Step::Listed(1)],
            at: NOW.0,
            expected: Err(PickFault::NoRunner),
        },
        Case {
            name: "paused",
            steps: &[Step::Paused(102_000)],
            at: 101_999,
            expected: paused(102_000),
        },
        Case {
            name: "a shorter pause doesn't end a longer one",
            steps: &[Step::Paused(102_000), Step::Paused(100_500)],
            at: 101_000,
            expected: paused(102_000),
        },
        Case {
            name: "paused, and listed again meanwhile",
            steps: &[Step::Paused(102_000), Step::Unlisted, Step::Listed(1)],
            at: 101_000,
            expected: paused(102_000),
        },
        Case {
            name: "a late answer of the former start doesn't end a pause",
            steps: &[
                Step::Listed(2),
                Step::NextPaused(102_000),
                Step::Leaves(1),
                Step::Unlisted,
                Step::Listed(2),
            ],
            at: 101_000,
            expected: paused(102_000),
        },
        Case {
            name: "the pause is over",
            steps: &[Step::Paused(102_000)],
            at: 102_000,
            expected: Ok("a"),
        },
        Case {
            name: "calls of the former start break late",
            steps: &[Step::Listed(2), Step::OldCallsBreak],
            at: NOW.0,
            expected: Ok("a"),
        },
    ];
    for case in cases {
        let mut table = RelayTable::new("boden");
        let mut facts = runner("a", "ledger", &[]);
        table.set_roster([&facts].into_iter());
        let call = call("ledger", None);
        let sent: Vec<_> = (0..3)
            .map(|_| table.pick(&call, &catalog(), NOW).unwrap())
            .collect();
        for step in case.steps {
            match *step {
                Step::Leaves(born) => {
                    let notice =
                        RunnerNotice { leaving: true, ..Default::default() };
                    table.note_runner(&start("a", born), notice, NOW);
                }
                Step::Reported(born) => {
                    assert!(table.note_departure(&start("a", born), NOW));
                }
                Step::Paused(until) => {
                    let paused_until = EpochMillis(until);
                    let notice =
                        RunnerNotice { paused_until, ..Default::default() };
                    table.note_runner(&start("a", 1), notice, NOW);
                }
                Step::NextPaused(until) => {
                    let paused_until = EpochMillis(until);
                    let notice =
                        RunnerNotice { paused_until, ..Default::default() };
                    table.note_runner(&start("a", 2), notice, NOW);
                }
                Step::Unlisted => table.set_roster([].into_iter()),
                Step::Listed(born) => {
                    facts.born = Some(born);
                    table.set_roster([&facts].into_iter());
                }
                Step::OldCallsBreak => {
                    for choice in &sent {
                        table.end_call(choice, false, CallEnd::Broken, NOW);
                    }
                    let view = table.views().next().unwrap();
                    assert_eq!(view.failure_rate, 0.0, "{}", case.name);
                }
            }
        }
        let found = table.pick(&call, &catalog(), EpochMillis(case.at));
        let found = found.as_ref().map(|choice| choice.runner.as_str());
        assert_eq!(found, case.expected.as_ref().copied(), "{}", case.name);
    }
}

/// Guards against calls that wait for one full runner being refused because
/// another one paused, and the reverse.
#[test]
fn the_closest_runner_decides_why_none_was_chosen() {
    let mut table = RelayTable::new("boden");
    let facts =
        [runner("a", "advisor", &["bend"]), runner("b", "advisor", &["bend"])];
    table.set_roster(facts.iter());
    let call = call("advisor", Some("bend"));
    let pause = |table: &mut RelayTable, id: &str, until| {
        let paused_until = EpochMillis(until);
        let notice = RunnerNotice { paused_until, ..Default::default() };
        table.note_runner(&start(id, 1), notice, NOW);
    };
    pause(&mut table, "a", 103_000);
    for _ in 0..5 {
        let choice = table.pick(&call, &catalog(), NOW).unwrap();
        assert_eq!(choice.runner, "b");
    }
    let full = table.pick(&call, &catalog(), NOW);
    assert_eq!(full, Err(PickFault::Full));
    pause(&mut table, "b", 102_000);
    let paused = table.pick(&call, &catalog(), NOW);
    assert_eq!(paused, Err(PickFault::Paused(EpochMillis(102_000))));
}
