//! Orders at one runner and what they leave behind, as tables of cases.

use std::time::Duration;

use crate::{
    EpochMillis,
    model::ModelName,
    placement::{
        LoadSource, OrderAttempt, OrderStep, RunnerTable, SendOutcome,
    },
    port::{EngineReport, OrderVerdict, PlacementOrder},
    roster::{HeldModel, RunnerFacts},
    runner::OrderKind,
};

pub(super) fn facts(born: u64) -> RunnerFacts {
    RunnerFacts {
        id: "i-1".to_owned(),
        service: "advisor".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: "boden".to_owned(),
        slots: 4,
        leaving: false,
        born: Some(born),
        models: Vec::new(),
        copies: Vec::new(),
        orders: 0,
    }
}

pub(super) fn report(orders: u64, busy: bool) -> EngineReport {
    let held = HeldModel { name: "bend".to_owned(), adapters: Vec::new() };
    EngineReport {
        models: vec![held],
        busy,
        orders,
        ..EngineReport::default()
    }
}

fn order(expected: u64, adapter: &str) -> PlacementOrder {
    PlacementOrder {
        runner: "i-1".to_owned(),
        kind: OrderKind::Load,
        model: "bend".to_owned(),
        adapter: Some(adapter.to_owned()),
        expected,
        holder: "front-1".to_owned(),
        fencing: 3,
    }
}

/// What happens to a shelf, each at its point.
enum Step {
    /// It is asked for what is due: reports and orders, by their text.
    Due(&'static [&'static str]),
    /// The report came, with this number of orders.
    Reported(u64),
    /// The runner is busy, or didn't answer.
    ReportFailed,
    /// An adapter is ordered.
    Order(&'static str),
    /// An adapter is to be unloaded.
    Unload(&'static str),
    /// The model is to be unloaded.
    UnloadModel,
    /// The order to unload it was accepted.
    ModelUnloadAccepted,
    /// The order to unload it was accepted: it is in use.
    UnloadDeferred(&'static str),
    /// The report came, with this number of orders and this adapter.
    ReportedWith(u64, &'static str),
    /// A model or adapter gives way, with calls there or not; whether its
    /// unload may be ordered.
    Drain(&'static str, bool, bool),
    /// All models are wanted.
    CancelDrains,
    /// The order for this adapter was answered.
    AnsweredFor(&'static str, Option<OrderVerdict>),
    /// The order for the first adapter was answered.
    Answered(Option<OrderVerdict>),
    /// The runner is listed with another start.
    Restarted,
    /// What it is known to hold, and whether it takes an order.
    Holds(&'static [&'static str], bool),
}

#[test]
fn an_order_is_settled_before_another_goes_out() {
    struct Case {
        name: &'static str,
        steps: &'static [(u64, Step)],
    }
    use OrderVerdict::{Accepted, Conflict, Holds};
    let cases = [
        Case {
            name: "a report comes first",
            steps: &[
                (0, Step::Order("a1")),
                (0, Step::Due(&["report"])),
                (0, Step::Due(&[])),
                (10, Step::Reported(4)),
                (10, Step::Holds(&[], true)),
            ],
        },
        Case {
            name: "a report that fails is read again",
            steps: &[
                (0, Step::Due(&["report"])),
                (10, Step::ReportFailed),
                (409, Step::Due(&[])),
                (410, Step::Due(&["report"])),
            ],
        },
        Case {
            name: "accepted, and there a little later",
            steps: &[
                (0, Step::Due(&["report"])),
                (0, Step::Reported(4)),
                (0, Step::Order("a1")),
                (5, Step::Answered(Some(Accepted))),
                (19, Step::Due(&[])),
                (19, Step::Holds(&[], false)),
                (20, Step::Due(&[])),
                (20, Step::Holds(&["a1"], true)),
            ],
        },
        Case {
            name: "unanswered, repeated, accepted",
            steps: &[
                (0, Step::Due(&["report"])),
                (0, Step::Reported(4)),
                (0, Step::Order("a1")),
                (800, Step::Answered(None)),
                (800, Step::Order("a2")),
                (1_199, Step::Due(&[])),
                (1_200, Step::Due(&["order a1 after 4"])),
                (1_210, Step::Answered(Some(Accepted))),
                (1_225, Step::Due(&[])),
                (1_225, Step::Holds(&["a1"], true)),
            ],
        },
        Case {
            name: "unanswered, and carried out meanwhile",
            steps: &[
                (0, Step::Due(&["report"])),
                (0, Step::Reported(4)),
                (0, Step::Order("a1")),
                (800, Step::Answered(None)),
                (1_200, Step::Due(&["order a1 after 4"])),
                (1_210, Step::Answered(Some(Conflict))),
                (1_610, Step::Due(&["report"])),
                (1_620, Step::Reported(5)),
                (1_620, Step::Holds(&[], true)),
            ],
        },
        Case {
            name: "held already: the number is read",
            steps: &[
                (0, Step::Due(&["report"])),
                (0, Step::Reported(4)),
                (0, Step::Order("a1")),
                (5, Step::Answered(Some(Holds))),
                (5, Step::Due(&["report"])),
            ],
        },
        Case {
            name: "an unload that waits keeps the runner busy until a report",
            steps: &[
                (0, Step::Due(&["report"])),
                (0, Step::ReportedWith(4, "a1")),
                (0, Step::Unload("a1")),
                (5, Step::UnloadDeferred("a1")),
                (5, Step::Holds(&[], false)),
                (404, Step::Due(&[])),
                (405, Step::Due(&["report"])),
                (410, Step::ReportFailed),
                (410, Step::Holds(&[], false)),
                (810, Step::Due(&["report"])),
                (815, Step::Reported(5)),
                (815, Step::Holds(&[], true)),
                (9_000, Step::Due(&[])),
            ],
        },
        Case {
            name: "a report older than the last order says nothing",
            steps: &[
                (0, Step::Due(&["report"])),
                (0, Step::ReportedWith(4, "a1")),
                (0, Step::Unload("a1")),
                (5, Step::UnloadDeferred("a1")),
                (405, Step::Due(&["report"])),
                (410, Step::Reported(4)),
                (809, Step::Due(&[])),
                (810, Step::Due(&["report"])),
            ],
        },
        Case {
            name: "a model gives way before its unload",
            steps: &[
                (0, Step::Due(&["report"])),
                (0, Step::ReportedWith(4, "a1")),
                (0, Step::Holds(&["a1"], true)),
                (0, Step::Drain("bend", false, false)),
                (0, Step::Holds(&[], true)),
                (99, Step::Drain("bend", false, false)),
                (100, Step::Drain("bend", true, false)),
                (900, Step::Drain("bend", false, true)),
            ],
        },
        Case {
            name: "a model that gives way and is wanted again stays",
            steps: &[
                (0, Step::Due(&["report"])),
                (0, Step::ReportedWith(4, "a1")),
                (0, Step::Drain("bend", true, false)),
                (400, Step::CancelDrains),
                (400, Step::Holds(&["a1"], true)),
                (500, Step::Drain("bend", false, false)),
            ],
        },
        Case {
            name: "an adapter gives way as well, and isn't the plan's to keep",
            steps: &[
                (0, Step::Due(&["report"])),
                (0, Step::ReportedWith(4, "a1")),
                (0, Step::Drain("bend:a1", true, false)),
                (0, Step::Holds(&[], true)),
                (99, Step::Drain("bend:a1", false, false)),
                (99, Step::CancelDrains),
                (99, Step::Holds(&[], true)),
                (100, Step::Drain("bend:a1", false, true)),
            ],
        },
        Case {
            name: "while a runner isn't read again its models are used",
            steps: &[
                (0, Step::Holds(&[], false)),
                (0, Step::Due(&["report"])),
                (0, Step::ReportedWith(4, "a1")),
                (0, Step::Order("a2")),
                (5, Step::AnsweredFor("a2", Some(Holds))),
                (5, Step::Holds(&["a1", "a2"], false)),
            ],
        },
        Case {
            name: "a report from before an unload doesn't bring it back",
            steps: &[
                (0, Step::Due(&["report"])),
                (0, Step::ReportedWith(4, "a1")),
                (300, Step::UnloadModel),
                (305, Step::ModelUnloadAccepted),
                (305, Step::Holds(&[], false)),
                (455, Step::Due(&[])),
                (456, Step::Due(&["report"])),
                (460, Step::ReportedWith(4, "a1")),
                (460, Step::Holds(&[], false)),
                (860, Step::Due(&["report"])),
            ],
        },
        Case {
            name: "another start forgets the order",
            steps: &[
                (0, Step::Due(&["report"])),
                (0, Step::Reported(4)),
                (0, Step::Order("a1")),
                (5, Step::Restarted),
                (6, Step::Answered(Some(Accepted))),
                (6, Step::Due(&["report"])),
                (7, Step::Holds(&[], false)),
            ],
        },
    ];
    for case in cases {
        let mut runners = RunnerTable::default();
        runners.adopt(&[&facts(1)], EpochMillis(0));
        for (place, (at, step)) in case.steps.iter().enumerate() {
            let label = format!("{}: {place}", case.name);
            run_step(&mut runners, step, EpochMillis(*at), &label);
        }
    }
}

fn run_step(
    runners: &mut RunnerTable,
    step: &Step,
    now: EpochMillis,
    label: &str,
) {
    match step {
        Step::Due(expected) => {
            let due = runners.due(now);
            let due: Vec<String> = due.iter().map(describe_step).collect();
            assert_eq!(due, *expected, "{label}");
        }
        Step::Reported(orders) => {
            runners.handle_report("i-1", Some(report(*orders, false)), now);
        }
        Step::ReportFailed => runners.handle_report("i-1", None, now),
        Step::Order(adapter) => {
            // Refused where the runner takes none; cases look at what
            // goes out.
            runners.start_order(&order(4, adapter), None, now);
        }
        Step::Unload(adapter) => {
            let kind = OrderKind::Unload;
            let order = PlacementOrder { kind, ..order(4, adapter) };
            runners.start_order(&order, None, now);
        }
        Step::UnloadModel => {
            let kind = OrderKind::Unload;
            let order = PlacementOrder { kind, adapter: None, ..order(4, "") };
            runners.start_order(&order, None, now);
        }
        Step::ModelUnloadAccepted => {
            let kind = OrderKind::Unload;
            let order = PlacementOrder { kind, adapter: None, ..order(4, "") };
            let end = SendOutcome::Answered(OrderVerdict::Accepted);
            let load_time = Duration::from_millis(100);
            runners.handle_outcome(&order, end, load_time, now);
        }
        Step::UnloadDeferred(adapter) => {
            let kind = OrderKind::Unload;
            let order = PlacementOrder { kind, ..order(4, adapter) };
            let end = SendOutcome::Answered(OrderVerdict::Accepted);
            runners.handle_outcome(&order, end, Duration::ZERO, now);
        }
        Step::ReportedWith(orders, adapter) => {
            let mut report = report(*orders, false);
            report.models[0].adapters.push((*adapter).to_owned());
            runners.handle_report("i-1", Some(report), now);
        }
        Step::Drain(name, used, allowed) => {
            let name: ModelName = name.parse().unwrap();
            let found = runners.drain("i-1", &name, *used, now);
            assert_eq!(found, *allowed, "{label}");
        }
        Step::CancelDrains => runners.cancel_drains(|_, _| true),
        Step::Answered(verdict) => answer(runners, "a1", *verdict, now),
        Step::AnsweredFor(adapter, verdict) => {
            answer(runners, adapter, *verdict, now);
        }
        Step::Restarted => runners.adopt(&[&facts(2)], now),
        Step::Holds(adapters, idle) => {
            let held: Vec<String> = runners
                .usable()
                .flat_map(|(_, models)| models)
                .flat_map(|model| model.adapters)
                .collect();
            assert_eq!(held, *adapters, "{label}");
            assert_eq!(runners.idle().count() == 1, *idle, "{label}");
        }
    }
}

fn answer(
    runners: &mut RunnerTable,
    adapter: &str,
    verdict: Option<OrderVerdict>,
    now: EpochMillis,
) {
    let load_time = Duration::from_millis(100);
    let end = verdict.map_or(SendOutcome::Lost, SendOutcome::Answered);
    runners.handle_outcome(&order(4, adapter), end, load_time, now);
}

fn describe_step(step: &OrderStep) -> String {
    match step {
        OrderStep::Report(_) => "report".to_owned(),
        OrderStep::Send(_, OrderAttempt { order, .. }) => {
            let adapter = order.adapter.as_deref().unwrap_or("");
            format!("order {adapter} after {}", order.expected)
        }
    }
}

/// Guards against loads from the weight store that are taken for loads from a
/// copy, and so aren't counted.
#[test]
fn only_a_confirmed_local_copy_counts() {
    struct Case {
        name: &'static str,
        /// Copies by the registry's entry, and orders that it knows.
        entry: (&'static [&'static str], u64),
        /// Copies by the report, which knows four orders.
        report: Option<&'static [&'static str]>,
        source: LoadSource,
    }
    let cases = [
        Case {
            name: "the report names it",
            entry: (&[], 0),
            report: Some(&["bend", "fold"]),
            source: LoadSource::Copy,
        },
        Case {
            name: "it was pushed out since the entry",
            entry: (&["fold"], 3),
            report: Some(&["bend"]),
            source: LoadSource::Store,
        },
        Case {
            name: "the report is silent, the entry knows every order",
            entry: (&["fold"], 4),
            report: None,
            source: LoadSource::Copy,
        },
        Case {
            name: "the report is silent, the entry is older",
            entry: (&["fold"], 3),
            report: None,
            source: LoadSource::Store,
        },
    ];
    for Case { name, entry: (copies, orders), report: reported, source } in
        cases
    {
        let owned = |names: &[&str]| -> Vec<String> {
            names.iter().map(|name| (*name).to_owned()).collect()
        };
        let facts = RunnerFacts { copies: owned(copies), orders, ..facts(1) };
        let now = EpochMillis(0);
        let mut runners = RunnerTable::default();
        runners.adopt(&[&facts], now);
        let copies = reported.map(owned);
        let report = EngineReport { copies, ..report(4, false) };
        runners.handle_report("i-1", Some(report), now);
        let found = runners.idle().map(|managed| managed.source("fold"));
        assert_eq!(found.collect::<Vec<_>>(), [source], "{name}");
    }
}
