//! Orders at one runner and their effects, as tables of cases.

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
        cold_until: EpochMillis::default(),
    }
}

pub(super) fn report(orders: u64, busy: bool) -> EngineReport {
    let model = HeldModel { name: "bend".to_owned(), adapters: Vec::new() };
    EngineReport {
        models: vec![model],
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

/// Event for the runner, at a given time.
enum Step {
    /// The due steps are these reports and orders, by their description.
    Due(&'static [&'static str]),
    /// A report arrives, with this number of orders.
    Reported(u64),
    /// The runner is busy or didn't answer.
    ReportFailed,
    /// The load of an adapter is ordered.
    Order(&'static str),
    /// The unload of an adapter is ordered.
    Unload(&'static str),
    /// The unload of the model is ordered.
    UnloadModel,
    /// The order to unload the model was accepted.
    ModelUnloadAccepted,
    /// The order to unload the adapter was accepted, but the adapter is in
    /// use.
    UnloadDeferred(&'static str),
    /// A report arrives, with this number of orders and this adapter.
    ReportedWith(u64, &'static str),
    /// A model or adapter is drained: its name, whether calls use it, and
    /// whether its unload may be ordered.
    Drain(&'static str, bool, bool),
    /// The plan wants all models.
    CancelDrains,
    /// The order for this adapter has this answer.
    AnsweredFor(&'static str, Option<OrderVerdict>),
    /// The order for the first adapter has this answer.
    Answered(Option<OrderVerdict>),
    /// The roster lists the runner with another start time.
    Restarted,
    /// Adapters that hosts may use, and whether the runner takes an order.
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
            name: "a report is read before the first order",
            steps: &[
                (0, Step::Order("a1")),
                (0, Step::Due(&["report"])),
                (0, Step::Due(&[])),
                (10, Step::Reported(4)),
                (10, Step::Holds(&[], true)),
            ],
        },
        Case {
            name: "a failed report is read again",
            steps: &[
                (0, Step::Due(&["report"])),
                (10, Step::ReportFailed),
                (409, Step::Due(&[])),
                (410, Step::Due(&["report"])),
            ],
        },
        Case {
            name: "an accepted order takes effect a little later",
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
            name: "an unanswered order is retried and accepted",
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
            name: "an unanswered order was carried out before the retry",
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
            name: "the adapter is already held, so the order count is read",
            steps: &[
                (0, Step::Due(&["report"])),
                (0, Step::Reported(4)),
                (0, Step::Order("a1")),
                (5, Step::Answered(Some(Holds))),
                (5, Step::Due(&["report"])),
            ],
        },
        Case {
            name: "a deferred unload keeps the runner busy until a report",
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
            name: "a report older than the last order is ignored",
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
            name: "a model drains before its unload",
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
            name: "a draining model that is wanted again stays",
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
            name: "an adapter drains too, and the plan can't cancel its drain",
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
            name: "models stay usable while the runner's report is read again",
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
            name: "a report from before an unload doesn't restore the model",
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
            name: "a restart discards the order",
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
        for (index, (at, step)) in case.steps.iter().enumerate() {
            let label = format!("{}: {index}", case.name);
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
            let due = runners.due(3, now);
            let due: Vec<String> = due.iter().map(describe_step).collect();
            assert_eq!(due, *expected, "{label}");
        }
        Step::Reported(orders) => {
            runners.handle_report("i-1", Some(report(*orders, false)), now);
        }
        Step::ReportFailed => runners.handle_report("i-1", None, now),
        Step::Order(adapter) => {
            // Ignored if the runner takes no order; the cases check which
            // orders are sent.
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
            let outcome = SendOutcome::Answered(OrderVerdict::Accepted);
            let load_time = Duration::from_millis(100);
            runners.handle_outcome(&order, outcome, load_time, now);
        }
        Step::UnloadDeferred(adapter) => {
            let kind = OrderKind::Unload;
            let order = PlacementOrder { kind, ..order(4, adapter) };
            let outcome = SendOutcome::Answered(OrderVerdict::Accepted);
            runners.handle_outcome(&order, outcome, Duration::ZERO, now);
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
            let resident: Vec<String> = runners
                .usable()
                .flat_map(|(_, models)| models)
                .flat_map(|model| model.adapters)
                .collect();
            assert_eq!(resident, *adapters, "{label}");
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
    let outcome = verdict.map_or(SendOutcome::Lost, SendOutcome::Answered);
    runners.handle_outcome(&order(4, adapter), outcome, load_time, now);
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

/// Guards against loads from the weight store that are mistaken for loads from
/// a local copy, and so aren't counted.
#[test]
fn only_a_confirmed_local_copy_counts() {
    struct Case {
        name: &'static str,
        /// Local copies in the registry entry, and the number of orders it
        /// includes.
        entry: (&'static [&'static str], u64),
        /// Local copies in the report, which includes four orders.
        report: Option<&'static [&'static str]>,
        source: LoadSource,
    }
    let cases = [
        Case {
            name: "the report lists the local copy",
            entry: (&[], 0),
            report: Some(&["bend", "fold"]),
            source: LoadSource::Copy,
        },
        Case {
            name: "the local copy was evicted after the entry was written",
            entry: (&["fold"], 3),
            report: Some(&["bend"]),
            source: LoadSource::Store,
        },
        Case {
            name: "no copies in the report, entry with every order",
            entry: (&["fold"], 4),
            report: None,
            source: LoadSource::Copy,
        },
        Case {
            name: "no copies in the report, older entry",
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
