//! Plans which models are resident on which runner of a service, over all
//! zones.

use std::cmp::Reverse;

use crate::{
    catalog::{EngineSpec, ServiceSpec},
    placement::{
        LastReplica, LoadSource, ModelDemand, ModelNeed, PlacementPlan,
        PlanPace, ReplicaSpread, RunnerCapacity,
        managed::{Idle, ManagedRunner},
        next_plan,
        table::RunnerTable,
    },
    roster::HeldModel,
    runner::OrderKind,
    sorted::SortedTable,
};

/// Fewest replicas that one planning turn may add.
const MIN_REPLICAS_PER_TURN: usize = 2;
/// Part of a second's loads from the weight store that one planning turn may
/// add as replicas: turns are 400 ms apart.
const TURN_LOAD_SHARE: f64 = 0.4;
/// Weight of the demand for a model that no runner holds.
const MISSING_WEIGHT: u64 = 4;
/// Fraction of a runner's token capacity that demand has to request per second
/// before a model replaces another model's replica. Calls last about two
/// seconds, so a replica at this demand is one eighth full.
const SWAP_SHARE: f64 = 1.0 / 16.0;

/// Longest load, in milliseconds, with which replicas are spread by load. A place
/// serves nobody while it loads: with loads of 4 s, three times as many of them cost
/// more than the better spread gained.
const MAX_SPREAD_LOAD_MS: u64 = 2_000;

/// The plans of all services.
#[derive(Clone, Debug, Default)]
pub struct FleetPlan {
    services: SortedTable<String, PlacementPlan>,
}

/// The plan of one service, as it is carried out.
#[derive(Debug)]
pub struct ServicePlan<'a> {
    plan: &'a PlacementPlan,
    engine: &'a EngineSpec,
    service: &'a str,
    /// Demand by model that one more replica would relieve, in tokens per
    /// second.
    urgency: SortedTable<&'a str, u64>,
}

/// An order for a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelStep {
    /// Identity of the runner.
    pub runner: String,
    /// Load or unload.
    pub kind: OrderKind,
    /// Model name.
    pub model: String,
    /// Where the weights come from, if this is a load.
    pub source: Option<LoadSource>,
}

impl FleetPlan {
    /// Updates the plan of a service for the current demand. Returns `None` if
    /// the service isn't served by model engines.
    pub fn advance<'a>(
        &'a mut self,
        service: &'a ServiceSpec,
        runners: &RunnerTable,
        demand: &ModelDemand,
    ) -> Option<ServicePlan<'a>> {
        let engine = service.engine.as_ref()?;
        let name = service.name.as_str();
        let reserve_mb = adapter_reserve_mb(engine);
        let capacities: Vec<RunnerCapacity> = runners
            .projected()
            .filter(|(facts, _)| facts.service == name)
            .map(|(facts, models)| RunnerCapacity {
                name: facts.id.clone(),
                group: name.to_owned(),
                memory_mb: (engine.memory_mb - reserve_mb).max(0.0) as u64,
                resident: models.into_iter().map(|model| model.name).collect(),
            })
            .collect();
        let needs: Vec<ModelNeed> = engine
            .models
            .iter()
            .map(|model| ModelNeed {
                name: model.name.clone(),
                group: name.to_owned(),
                size_mb: model.size_mb.ceil() as u64,
                demand: demand.get(&model.name).copied().unwrap_or(0),
                elsewhere: false,
            })
            .collect();
        let plan = self.services.entry(name.to_owned(), Default::default);
        let pace = PlanPace {
            changes: replicas_per_turn(engine.loads_per_second),
            swap_demand: engine.token_capacity as f64 * SWAP_SHARE,
            last_replica: LastReplica::Yields,
            spread: replica_spread(engine, capacities.len()),
        };
        *plan = next_plan(plan, &capacities, &needs, pace);
        let mut replicas: SortedTable<String, u64> = SortedTable::default();
        for model in capacities.into_iter().flat_map(|runner| runner.resident)
        {
            *replicas.entry(model, || 0) += 1;
        }
        let urgency = engine.models.iter().map(|model| {
            let rate = demand.get(&model.name).copied().unwrap_or(0);
            let urgency = match replicas.get(&model.name) {
                Some(count) => rate / count,
                None => rate.saturating_mul(MISSING_WEIGHT),
            };
            (model.name.as_str(), urgency)
        });
        let urgency = urgency.collect();
        Some(ServicePlan { plan, engine, service: name, urgency })
    }
}

impl ServicePlan<'_> {
    /// Returns the orders that bring runners closer to the plan, at most one
    /// per runner, the most urgent ones first: the weight store may not allow
    /// all loads.
    pub fn next_steps(&self, runners: &RunnerTable) -> Vec<ModelStep> {
        let mut steps: Vec<ModelStep> = runners
            .idle()
            .filter(|managed| managed.facts.service == self.service)
            .filter_map(|managed| self.step_at(managed, runners))
            .collect();
        steps.sort_by_key(|step| match step.kind {
            OrderKind::Load => Reverse(self.urgency(&step.model)),
            // An unload makes room for a load and needs no allowance.
            OrderKind::Unload | OrderKind::Fence => Reverse(u64::MAX),
        });
        steps
    }

    fn urgency(&self, model: &str) -> u64 {
        self.urgency.get(model).copied().unwrap_or(0)
    }

    /// Returns whether the plan places a model on a runner.
    pub fn wants(&self, runner: &str, model: &str) -> bool {
        let target = self.plan.targets.get(runner);
        target.is_some_and(|models| models.iter().any(|m| m == model))
    }

    /// Returns the next step of a runner towards its planned models: the load
    /// of a missing model that fits, or else the unload of an unplanned model
    /// that may go.
    fn step_at(
        &self,
        managed: &ManagedRunner<Idle>,
        runners: &RunnerTable,
    ) -> Option<ModelStep> {
        let target = self.plan.targets.get(&managed.facts.id)?;
        let is_resident = |model: &str| {
            managed.models.iter().any(|held_model| held_model.name == model)
        };
        let missing = target.iter().filter(|model| !is_resident(model));
        let missing = missing.max_by_key(|model| self.urgency(model))?;
        let size = self.engine.model(missing)?.size_mb;
        let runner = managed.facts.id.clone();
        if size <= self.free_mb(&managed.models) {
            return Some(ModelStep {
                runner,
                kind: OrderKind::Load,
                model: missing.clone(),
                source: Some(managed.source(missing)),
            });
        }
        let unwanted = managed.models.iter().find(|model| {
            !target.contains(&model.name)
                && self.may_go(&model.name, &managed.facts.id, runners)
        })?;
        Some(ModelStep {
            runner,
            kind: OrderKind::Unload,
            model: unwanted.name.clone(),
            source: None,
        })
    }

    /// Returns the memory that is neither used by held models nor reserved for
    /// adapters.
    fn free_mb(&self, models: &[HeldModel]) -> f64 {
        let sizes = models.iter().map(|model| {
            // The size of a model that was removed from the configuration is
            // unknown, so it is taken to fill the whole memory.
            let known = self.engine.model(&model.name);
            known.map_or(self.engine.memory_mb, |model| model.size_mb)
        });
        let held_mb: f64 = sizes.sum();
        self.engine.memory_mb - held_mb - adapter_reserve_mb(self.engine)
    }

    /// Returns whether a model may go from a runner: the plan wants it nowhere,
    /// or another runner holds it and keeps it according to the plan.
    fn may_go(
        &self,
        model: &str,
        runner: &str,
        runners: &RunnerTable,
    ) -> bool {
        if self.engine.model(model).is_none() {
            return true;
        }
        let mut targets = self.plan.targets.values();
        if !targets.any(|target| target.iter().any(|m| m == model)) {
            return true;
        }
        runners.usable().any(|(facts, models)| {
            let planned = self.plan.targets.get(&facts.id);
            facts.id != runner
                && models.iter().any(|held_model| held_model.name == model)
                && planned.is_some_and(|t| t.iter().any(|m| m == model))
        })
    }
}

/// Returns where further replicas go. Where models are scarce, which runner holds
/// two models in high demand decides how late their calls are. The plan then
/// spreads replicas by load, unless loads take longer than [`MAX_SPREAD_LOAD_MS`].
fn replica_spread(engine: &EngineSpec, runners: usize) -> ReplicaSpread {
    let longest = engine.models.iter().map(|model| model.load_ms).max();
    let is_quick = longest.is_some_and(|load| load <= MAX_SPREAD_LOAD_MS);
    if engine.is_scarce(runners) && is_quick {
        ReplicaSpread::ByLoad
    } else {
        ReplicaSpread::ByMemory
    }
}

/// Returns how many replicas one planning turn may add, where the weight store
/// allows this many loads per second.
fn replicas_per_turn(loads_per_second: f64) -> usize {
    let share = (loads_per_second * TURN_LOAD_SHARE).floor();
    MIN_REPLICAS_PER_TURN.max(share as usize)
}

/// Returns the memory reserved for adapters: all slots at the largest adapter
/// size.
fn adapter_reserve_mb(engine: &EngineSpec) -> f64 {
    let sizes = engine.models.iter().filter(|model| 0 < model.adapters);
    let largest = sizes.map(|model| model.adapter_mb).fold(0.0, f64::max);
    largest * f64::from(engine.adapter_places)
}
