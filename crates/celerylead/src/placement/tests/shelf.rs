//! Orders at one runner and what they leave behind, as tables of cases.

use std::time::Duration;

use crate::{
    EpochMillis,
    catalog::{EngineModel, EngineTraits},
    model::ModelName,
    placement::{AdapterBook, ModelDemand, OrderStep, ShelfTable},
    port::{EngineReport, OrderVerdict, PlacementOrder},
    roster::{HeldModel, RunnerFacts},
    runner::OrderKind,
};

fn facts(born: u64) -> RunnerFacts {
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

fn report(orders: u64, busy: bool) -> EngineReport {
    let held = HeldModel { name: "bend".to_owned(), adapters: Vec::new() };
    EngineReport { models: vec![held], incoming: Vec::new(), busy, orders }
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
    Unreported,
    /// An adapter is ordered.
    Order(&'static str),
    /// An adapter is to be unloaded.
    Unload(&'static str),
    /// The model is to be unloaded.
    UnloadModel,
    /// The order to unload it was accepted.
    ModelUnloading,
    /// The order to unload it was accepted: it is in use.
    Unloading(&'static str),
    /// The report came, with this number of orders and this adapter.
    ReportedWith(u64, &'static str),
    /// The order was answered.
    Answered(Option<OrderVerdict>),
    /// The runner is listed with another start.
    Reborn,
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
                (10, Step::Unreported),
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
                (34, Step::Due(&[])),
                (34, Step::Holds(&[], false)),
                (35, Step::Due(&[])),
                (35, Step::Holds(&["a1"], true)),
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
                (1_240, Step::Due(&[])),
                (1_240, Step::Holds(&["a1"], true)),
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
            name: "unloaded only once a report says so",
            steps: &[
                (0, Step::Due(&["report"])),
                (0, Step::ReportedWith(4, "a1")),
                (0, Step::Unload("a1")),
                (5, Step::Unloading("a1")),
                (5, Step::Holds(&[], true)),
                (404, Step::Due(&[])),
                (405, Step::Due(&["report"])),
                (410, Step::ReportedWith(5, "a1")),
                (410, Step::Holds(&[], true)),
                (810, Step::Due(&["report"])),
                (815, Step::Reported(5)),
                (9_000, Step::Due(&[])),
            ],
        },
        Case {
            name: "a report older than the last order says nothing",
            steps: &[
                (0, Step::Due(&["report"])),
                (0, Step::ReportedWith(4, "a1")),
                (0, Step::Unload("a1")),
                (5, Step::Unloading("a1")),
                (405, Step::Due(&["report"])),
                (410, Step::Reported(4)),
                (809, Step::Due(&[])),
                (810, Step::Due(&["report"])),
            ],
        },
        Case {
            name: "a model is cleared before its unload",
            steps: &[
                (0, Step::Due(&["report"])),
                (0, Step::ReportedWith(4, "a1")),
                (0, Step::UnloadModel),
                (0, Step::Holds(&[], false)),
                (299, Step::Due(&[])),
                (300, Step::Due(&["order  after 4"])),
            ],
        },
        Case {
            name: "a report from before an unload doesn't bring it back",
            steps: &[
                (0, Step::Due(&["report"])),
                (0, Step::ReportedWith(4, "a1")),
                (0, Step::UnloadModel),
                (300, Step::Due(&["order  after 4"])),
                (305, Step::ModelUnloading),
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
                (5, Step::Reborn),
                (6, Step::Answered(Some(Accepted))),
                (6, Step::Due(&["report"])),
                (7, Step::Holds(&[], false)),
            ],
        },
    ];
    for case in cases {
        let mut shelves = ShelfTable::default();
        shelves.adopt(&[&facts(1)], EpochMillis(0));
        for (place, (at, step)) in case.steps.iter().enumerate() {
            let label = format!("{}: {place}", case.name);
            play(&mut shelves, step, EpochMillis(*at), &label);
        }
    }
}

fn play(shelves: &mut ShelfTable, step: &Step, now: EpochMillis, label: &str) {
    match step {
        Step::Due(expected) => {
            let due = shelves.due(now);
            let due: Vec<String> = due.iter().map(text).collect();
            assert_eq!(due, *expected, "{label}");
        }
        Step::Reported(orders) => {
            shelves.reported("i-1", Some(report(*orders, false)), now);
        }
        Step::Unreported => shelves.reported("i-1", None, now),
        Step::Order(adapter) => {
            // Refused where the runner takes none; cases look at what
            // goes out.
            shelves.order(&order(4, adapter), now);
        }
        Step::Unload(adapter) => {
            let kind = OrderKind::Unload;
            let order = PlacementOrder { kind, ..order(4, adapter) };
            shelves.order(&order, now);
        }
        Step::UnloadModel => {
            let kind = OrderKind::Unload;
            let order = PlacementOrder { kind, adapter: None, ..order(4, "") };
            shelves.order(&order, now);
        }
        Step::ModelUnloading => {
            let kind = OrderKind::Unload;
            let order = PlacementOrder { kind, adapter: None, ..order(4, "") };
            let verdict = Some(OrderVerdict::Accepted);
            let takes = Duration::from_millis(100);
            shelves.answered(&order, verdict, takes, now);
        }
        Step::Unloading(adapter) => {
            let kind = OrderKind::Unload;
            let order = PlacementOrder { kind, ..order(4, adapter) };
            let verdict = Some(OrderVerdict::Accepted);
            shelves.answered(&order, verdict, Duration::ZERO, now);
        }
        Step::ReportedWith(orders, adapter) => {
            let mut report = report(*orders, false);
            report.models[0].adapters.push((*adapter).to_owned());
            shelves.reported("i-1", Some(report), now);
        }
        Step::Answered(verdict) => {
            let takes = Duration::from_millis(100);
            shelves.answered(&order(4, "a1"), *verdict, takes, now);
        }
        Step::Reborn => shelves.adopt(&[&facts(2)], now),
        Step::Holds(adapters, idle) => {
            let held: Vec<String> = shelves
                .usable()
                .flat_map(|(_, models)| models)
                .flat_map(|model| model.adapters)
                .collect();
            assert_eq!(held, *adapters, "{label}");
            assert_eq!(shelves.idle().count() == 1, *idle, "{label}");
        }
    }
}

fn text(step: &OrderStep) -> String {
    match step {
        OrderStep::Report(_) => "report".to_owned(),
        OrderStep::Send(_, order) => {
            let adapter = order.adapter.as_deref().unwrap_or("");
            format!("order {adapter} after {}", order.expected)
        }
    }
}

#[test]
fn an_adapter_goes_where_there_is_a_place_or_one_is_made() {
    struct Case {
        name: &'static str,
        /// Adapters that the runner holds.
        held: &'static [&'static str],
        /// Adapters that calls found nowhere, and when.
        wanted: &'static [(&'static str, u64)],
        /// Adapters that were loaded, and when.
        loaded: &'static [(&'static str, u64)],
        /// Demand, in tokens a second.
        demand: &'static [(&'static str, u64)],
        step: Option<(OrderKind, &'static str)>,
    }
    let case = Case {
        name: "",
        held: &[],
        wanted: &[],
        loaded: &[],
        demand: &[],
        step: None,
    };
    let cases = [
        Case { name: "nothing is asked for", ..case },
        Case {
            name: "what a call waits for",
            wanted: &[("a3", 9_900)],
            step: Some((OrderKind::Load, "a3")),
            ..case
        },
        Case {
            name: "what a call waited for long ago",
            wanted: &[("a3", 1_000)],
            ..case
        },
        Case {
            name: "the highest demand first",
            demand: &[("bend", 90), ("bend:a1", 30), ("bend:a2", 60)],
            step: Some((OrderKind::Load, "a2")),
            ..case
        },
        Case {
            name: "a spare one of a model in demand",
            held: &["a1"],
            demand: &[("bend", 90)],
            step: Some((OrderKind::Load, "a2")),
            ..case
        },
        Case {
            name: "full: the one asked for least gives way",
            held: &["a1", "a2"],
            wanted: &[("a3", 9_900)],
            demand: &[("bend:a1", 50), ("bend:a2", 0), ("bend:a3", 9)],
            step: Some((OrderKind::Unload, "a2")),
            ..case
        },
        Case {
            name: "full: what was loaded just now stays",
            held: &["a1", "a2"],
            wanted: &[("a3", 9_900)],
            loaded: &[("a2", 9_301)],
            demand: &[("bend:a1", 50), ("bend:a2", 0)],
            step: Some((OrderKind::Unload, "a1")),
        },
        Case {
            name: "full of what was loaded just now",
            held: &["a1", "a2"],
            wanted: &[("a3", 9_900)],
            loaded: &[("a1", 9_400), ("a2", 9_301)],
            ..case
        },
        Case {
            name: "loaded since it was asked for",
            held: &["a1"],
            wanted: &[("a3", 9_800)],
            loaded: &[("a3", 9_900)],
            ..case
        },
        Case {
            name: "full, and asked for twice as much",
            held: &["a1", "a2"],
            demand: &[("bend:a1", 50), ("bend:a2", 45), ("bend:a3", 91)],
            step: Some((OrderKind::Unload, "a2")),
            ..case
        },
        Case {
            name: "full of what is asked for as much",
            held: &["a1", "a2"],
            demand: &[("bend:a1", 50), ("bend:a2", 50), ("bend:a3", 90)],
            ..case
        },
        Case {
            name: "full, and nobody asked",
            held: &["a1", "a2"],
            demand: &[("bend", 90)],
            ..case
        },
    ];
    let engine = EngineTraits {
        batch: 4,
        token_capacity: 100,
        memory_mb: 100.0,
        adapter_places: 2,
        loads_per_second: 1.0,
        models: vec![EngineModel {
            name: "bend".to_owned(),
            size_mb: 40.0,
            load_ms: 10,
            warm_ms: 10,
            disk_ms: 10,
            adapters: 3,
            adapter_mb: 1.0,
        }],
    };
    let now = EpochMillis(10_000);
    for case in cases {
        let mut shelves = ShelfTable::default();
        shelves.adopt(&[&facts(1)], EpochMillis(0));
        shelves.due(EpochMillis(0));
        let mut report = report(0, false);
        for adapter in case.held {
            report.models[0].adapters.push((*adapter).to_owned());
        }
        shelves.reported("i-1", Some(report), EpochMillis(0));
        let mut book = AdapterBook::default();
        for (adapter, at) in case.wanted {
            let name: ModelName = format!("bend:{adapter}").parse().unwrap();
            book.want(&name, EpochMillis(*at));
        }
        for (adapter, at) in case.loaded {
            let name: ModelName = format!("bend:{adapter}").parse().unwrap();
            book.loaded(&name, EpochMillis(*at));
        }
        let demand = case.demand.iter();
        let demand: ModelDemand =
            demand.map(|(name, rate)| ((*name).to_owned(), *rate)).collect();
        let step = book.next_step(&shelves, &engine, &demand, now);
        let step = step.map(|step| (step.kind, step.name.adapter.unwrap()));
        let expected =
            case.step.map(|(kind, adapter)| (kind, adapter.to_owned()));
        assert_eq!(step, expected, "{}", case.name);
    }
}
