//! Plans of whole fleets, carried out by runners in simulated time.

use std::time::Duration;

use crate::{
    EpochMillis, SortedTable,
    catalog::{EngineModel, EngineSpec, ServiceSpec},
    placement::{
        FleetPlan, LoadLimiter, LoadOutcome, LoadSource, ModelDemand,
        OrderStep, RunnerTable, SendOutcome,
    },
    port::{EngineReport, OrderVerdict, PlacementOrder},
    roster::{HeldModel, RunnerFacts},
    runner::OrderKind,
};

const LOAD_TIME: Duration = Duration::from_millis(4_000);
const WINDOW: Duration = Duration::from_millis(5_000);
const TURN: Duration = Duration::from_millis(400);
const MODEL_MB: f64 = 60_000.0;
const RUNNER_MB: f64 = 200_000.0;

/// Runners that carry out every order, and the state of the lease holder.
struct SimulatedFleet {
    service: ServiceSpec,
    /// Models that each runner holds, and the orders that it has accepted.
    held: SortedTable<String, (Vec<String>, u64)>,
    table: RunnerTable,
    plan: FleetPlan,
    loads: LoadLimiter,
    started_loads: Vec<EpochMillis>,
    now: EpochMillis,
}

impl SimulatedFleet {
    /// Starts a fleet in which each runner holds the next two models in turn,
    /// without the models from `missing_from` on.
    fn start(
        runners: usize,
        models: usize,
        missing_from: usize,
        loads_per_second: f64,
    ) -> SimulatedFleet {
        let engine = EngineSpec {
            batch: 12,
            token_capacity: 41_000,
            memory_mb: RUNNER_MB,
            adapter_places: 0,
            loads_per_second,
            models: (0..models).map(engine_model).collect(),
        };
        let service = ServiceSpec {
            name: "advisor".to_owned(),
            max_links: 1_000,
            engine: Some(engine),
            cold: None,
        };
        let held = (0..runners).map(|runner| {
            let models = [2 * runner, 2 * runner + 1];
            let models = models.map(|index| model_name(index % missing_from));
            (format!("i-{runner:03}"), (models.to_vec(), 0))
        });
        let mut fleet = SimulatedFleet {
            service,
            held: held.collect(),
            table: RunnerTable::default(),
            plan: FleetPlan::default(),
            loads: LoadLimiter::new(WINDOW, EpochMillis(0)),
            started_loads: Vec::new(),
            now: EpochMillis(0),
        };
        let facts: Vec<RunnerFacts> =
            fleet.held.keys().map(|id| facts(id)).collect();
        let facts: Vec<&RunnerFacts> = facts.iter().collect();
        fleet.table.adopt(&facts, fleet.now);
        fleet
    }

    /// Makes one turn of the lease holder.
    fn turn(&mut self, demand: &ModelDemand) {
        let now = self.now;
        for step in self.table.due(1, now) {
            let OrderStep::Report(facts) = step else { continue };
            let report = self.report(&facts.id);
            self.table.handle_report(&facts.id, Some(report), now);
        }
        let plan = self.plan.advance(&self.service, &self.table, demand);
        let plan = plan.expect("the service has engines");
        let per_second = self.service.engine.as_ref().unwrap();
        let per_second = per_second.loads_per_second;
        for step in plan.next_steps(&self.table) {
            if step.kind == OrderKind::Load
                && !self.loads.allows(per_second, now)
            {
                continue;
            }
            let (held, orders) = self.held.get_mut(&step.runner).unwrap();
            let order = PlacementOrder {
                runner: step.runner.clone(),
                kind: step.kind,
                model: step.model.clone(),
                adapter: None,
                expected: *orders,
                holder: "front-1".to_owned(),
                fencing: 1,
            };
            let source = Some(LoadSource::Store);
            let started = self.table.start_order(&order, source, now);
            assert!(started.is_some(), "the runner was idle");
            *orders += 1;
            let accepted = SendOutcome::Answered(OrderVerdict::Accepted);
            let mut wait = Duration::ZERO;
            if step.kind == OrderKind::Load {
                held.push(step.model);
                self.loads.record_order(&step.runner, order.expected, now);
                let (runner, expected) = (&step.runner, order.expected);
                let outcome = LoadOutcome::Started;
                self.loads.record_outcome(runner, expected, outcome, now);
                self.started_loads.push(now);
                wait = LOAD_TIME;
            } else {
                held.retain(|model| *model != step.model);
            }
            self.table.handle_outcome(&order, accepted, wait, now);
        }
        self.now = now.after(TURN);
    }

    fn report(&self, runner: &str) -> EngineReport {
        let (held, orders) = self.held.get(runner).unwrap();
        let models = held.iter().cloned();
        let models =
            models.map(|name| HeldModel { name, adapters: Vec::new() });
        EngineReport {
            models: models.collect(),
            orders: *orders,
            ..EngineReport::default()
        }
    }

    /// Returns the models that no runner has, or is known to have.
    fn missing(&self, models: usize) -> usize {
        let mut usable: Vec<String> = self
            .table
            .usable()
            .flat_map(|(_, models)| models)
            .map(|model| model.name)
            .collect();
        usable.sort_unstable();
        let names = (0..models).map(model_name);
        names.filter(|name| usable.binary_search(name).is_err()).count()
    }

    /// Returns the most loads that began within a window.
    fn most_loads(&self) -> usize {
        let windows = self.started_loads.iter().map(|begin| {
            let within = |at: &&EpochMillis| {
                *begin <= **at && **at < begin.after(WINDOW)
            };
            self.started_loads.iter().filter(within).count()
        });
        windows.max().unwrap_or(0)
    }
}

fn engine_model(index: usize) -> EngineModel {
    EngineModel {
        name: model_name(index),
        // The plan places larger models first.
        size_mb: MODEL_MB - index as f64,
        load_ms: LOAD_TIME.as_millis() as u64,
        warm_ms: 300,
        disk_ms: 1_000,
        adapters: 0,
        adapter_mb: 0.0,
    }
}

fn model_name(index: usize) -> String {
    format!("m{index:03}")
}

fn facts(id: &str) -> RunnerFacts {
    RunnerFacts {
        id: id.to_owned(),
        service: "advisor".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: "boden".to_owned(),
        slots: 12,
        leaving: false,
        born: Some(1),
        models: Vec::new(),
        copies: Vec::new(),
        orders: 0,
        cold_until: EpochMillis::default(),
    }
}

/// Guards against models that are asked for and never loaded, as the lease
/// holder orders a few loads a turn whatever the weight store allows.
#[test]
fn missing_models_are_loaded_as_fast_as_the_store_allows() {
    struct Case {
        name: &'static str,
        runners: usize,
        models: usize,
        /// Models that no runner holds at first, all of them asked for.
        missing: usize,
        loads_per_second: f64,
    }
    let cases = [
        Case {
            name: "small",
            runners: 9,
            models: 20,
            missing: 4,
            loads_per_second: 1.6,
        },
        Case {
            name: "sixty runners",
            runners: 60,
            models: 150,
            missing: 50,
            loads_per_second: 9.5,
        },
        Case {
            name: "two hundred runners",
            runners: 192,
            models: 432,
            missing: 100,
            loads_per_second: 28.0,
        },
    ];
    for Case { name, runners, models, missing, loads_per_second } in cases {
        let held = models - missing;
        let mut fleet =
            SimulatedFleet::start(runners, models, held, loads_per_second);
        let demand: ModelDemand =
            (held..models).map(|index| (model_name(index), 200)).collect();
        // The store's own time for these loads, half as much again, and the
        // time of the last one.
        let store_seconds = missing as f64 / loads_per_second;
        let limit = Duration::from_secs_f64(store_seconds * 1.5)
            + LOAD_TIME
            + TURN * 3;
        while fleet.now < EpochMillis(0).after(limit) {
            fleet.turn(&demand);
        }
        assert_eq!(fleet.missing(models), 0, "{name}: models still missing");
        let allowed = loads_per_second * WINDOW.as_secs_f64();
        let most = fleet.most_loads() as f64;
        assert!(most <= allowed.max(1.0), "{name}: {most} loads in a window");
    }
}

/// Guards against callers whose model waits behind loads that nobody asks for.
#[test]
fn the_models_most_asked_for_are_loaded_first() {
    const MODELS: usize = 498;
    const HELD: usize = 332;
    let mut fleet = SimulatedFleet::start(166, MODELS, HELD, 5.0);
    let wanted = model_name(HELD);
    let demand: ModelDemand = [(wanted.clone(), 900)].into_iter().collect();
    for _ in 0..4 {
        fleet.turn(&demand);
    }
    let held = fleet.held.values();
    let holders = held.filter(|(models, _)| models.contains(&wanted));
    assert!(0 < holders.count(), "{wanted} wasn't among the first loads");
}
