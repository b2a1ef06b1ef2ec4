//! Plans which models are resident on which runner of a service, over all
//! zones.

use crate::{
    catalog::{EngineSpec, ServiceSpec},
    placement::{
        LastReplica, LoadSource, ModelDemand, ModelNeed, PlacementPlan,
        PlanPace, RunnerCapacity,
        managed::{Idle, ManagedRunner},
        next_plan,
        table::RunnerTable,
    },
    roster::HeldModel,
    runner::OrderKind,
    sorted::SortedTable,
};

/// Maximum number of replicas that one planning turn adds.
const MAX_REPLICAS_PER_TURN: usize = 2;
/// Fraction of a runner's token capacity that demand has to request per second
/// before a model replaces another model's replica. Calls last about two
/// seconds, so a replica at this demand is one eighth full.
const SWAP_SHARE: f64 = 1.0 / 16.0;

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
            changes: MAX_REPLICAS_PER_TURN,
            swap_demand: engine.token_capacity as f64 * SWAP_SHARE,
            last_replica: LastReplica::Yields,
        };
        *plan = next_plan(plan, &capacities, &needs, pace);
        Some(ServicePlan { plan, engine, service: name })
    }
}

impl ServicePlan<'_> {
    /// Returns the orders that bring runners closer to the plan, at most one
    /// per runner.
    pub fn next_steps(&self, runners: &RunnerTable) -> Vec<ModelStep> {
        runners
            .idle()
            .filter(|managed| managed.facts.service == self.service)
            .filter_map(|managed| self.step_at(managed, runners))
            .collect()
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
        let missing = target.iter().find(|model| !is_resident(model))?;
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

/// Returns the memory reserved for adapters: all slots at the largest adapter
/// size.
fn adapter_reserve_mb(engine: &EngineSpec) -> f64 {
    let sizes = engine.models.iter().filter(|model| 0 < model.adapters);
    let largest = sizes.map(|model| model.adapter_mb).fold(0.0, f64::max);
    largest * f64::from(engine.adapter_places)
}
