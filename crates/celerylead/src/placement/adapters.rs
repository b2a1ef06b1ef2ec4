//! Plans which adapters are loaded on which runner.
//!
//! A call for an adapter can only run on a runner that holds the adapter. Each
//! requested adapter therefore gets an adapter slot, and adapters that calls
//! are waiting for come first. Remaining slots go to further replicas of the
//! adapters in highest demand, and then to adapters without requests so far,
//! of models in demand. If no slot is free, an adapter that a call waits for
//! replaces the adapter whose eviction loses the least demand. An adapter in
//! demand that no call waits for replaces only an adapter that no call uses,
//! and that another runner holds too or that is in far lower demand.
//!
//! An adapter is drained before it is unloaded: hosts send it no new calls,
//! and it is unloaded once its last call has ended. Adapters that no call uses
//! are evicted before all others.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    catalog::EngineSpec,
    clock::EpochMillis,
    model::ModelName,
    placement::{
        ModelDemand,
        managed::{Idle, ManagedRunner, holds},
        table::RunnerTable,
        uses::UseTable,
    },
    roster::HeldModel,
    sorted::SortedTable,
};

/// How long a call that found its adapter on no runner counts as waiting.
const MISS_MAX_AGE: Duration = Duration::from_millis(2_000);
/// Most adapters that count as missed at a time; callers may state any name.
const MAX_MISSES: usize = 1_024;
/// How long a loaded adapter is protected from eviction. Within this time the
/// calls that waited for the adapter start and use it.
const MIN_RESIDENCY: Duration = Duration::from_millis(700);
/// Factor by which the demand for an adapter without a slot has to exceed the
/// demand lost by an eviction.
const EVICTION_DEMAND_RATIO: u64 = 2;

/// Plans loads and evictions of adapters from the misses of calls and from
/// recent loads.
#[derive(Clone, Debug, Default)]
pub struct AdapterPlanner {
    misses: SortedTable<ModelName, EpochMillis>,
    loaded_at: SortedTable<ModelName, EpochMillis>,
}

/// Kind of step for an adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdapterAction {
    /// Load the adapter.
    Load,
    /// Unload the adapter to free its slot.
    Unload,
    /// Tell hosts not to use the adapter any more.
    Drain,
}

/// One planned step for an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdapterStep {
    /// Identity of the runner.
    pub runner: String,
    /// Kind of step.
    pub kind: AdapterAction,
    /// Model and adapter.
    pub name: ModelName,
}

/// Inputs to the choice of one step.
struct AdapterView<'a> {
    runners: &'a RunnerTable,
    engine: &'a EngineSpec,
    demand: &'a ModelDemand,
    /// Adapters in demand, in descending order of demand.
    in_demand: Vec<(ModelName, u64)>,
    /// Adapters that calls wait for.
    awaited: Vec<&'a ModelName>,
    /// Number of runners that hold each adapter or are loading it.
    replicas: SortedTable<ModelName, usize>,
    /// Idle runners that hold each model.
    holders: SortedTable<&'a str, Vec<&'a ManagedRunner<Idle>>>,
    /// Runners with a step.
    taken: Vec<String>,
    planner: &'a AdapterPlanner,
    uses: &'a UseTable,
    now: EpochMillis,
}

impl AdapterPlanner {
    /// Records that a call found an adapter on no runner. Once too many are
    /// missed at a time, further ones aren't recorded.
    pub fn record_miss(&mut self, name: &ModelName, now: EpochMillis) {
        if MAX_MISSES <= self.misses.len() {
            self.misses.retain(|_, at| now < at.after(MISS_MAX_AGE));
            if MAX_MISSES <= self.misses.len() {
                return;
            }
        }
        self.misses.insert(name.clone(), now);
    }

    /// Records that the load of an adapter was ordered, so that no call counts
    /// as waiting for it any more.
    pub fn record_load(&mut self, name: &ModelName, now: EpochMillis) {
        self.misses.remove(name);
        self.loaded_at.insert(name.clone(), now);
    }

    /// Returns the steps that are due, each at another runner. The keys of
    /// `demand` are both models and pairs of model and adapter. A drain changes
    /// what other steps are chosen by, so none follows it.
    pub fn next_steps(
        &self,
        runners: &RunnerTable,
        engine: &EngineSpec,
        demand: &ModelDemand,
        uses: &UseTable,
        now: EpochMillis,
    ) -> Vec<AdapterStep> {
        let mut holders: SortedTable<&str, Vec<&ManagedRunner<Idle>>> =
            SortedTable::default();
        for managed in runners.idle() {
            for model in &managed.models {
                let holders = holders.entry(model.name.as_str(), Vec::new);
                holders.push(managed);
            }
        }
        let awaited = self.misses.iter();
        let awaited = awaited.filter(|(_, at)| now < at.after(MISS_MAX_AGE));
        let mut view = AdapterView {
            runners,
            engine,
            demand,
            in_demand: in_demand(demand),
            awaited: awaited.map(|(name, _)| name).collect(),
            replicas: count_replicas(runners),
            holders,
            taken: Vec::new(),
            planner: self,
            uses,
            now,
        };
        let mut steps = Vec::new();
        while let Some(step) = view.next_step() {
            let is_last = step.kind == AdapterAction::Drain;
            view.note_step(&step);
            steps.push(step);
            if is_last {
                break;
            }
        }
        steps
    }
}

/// Counts the runners that hold each adapter or are loading it.
fn count_replicas(runners: &RunnerTable) -> SortedTable<ModelName, usize> {
    let mut replicas = SortedTable::default();
    for (_, models) in runners.projected() {
        for name in held_adapters(&models) {
            *replicas.entry(name, || 0) += 1;
        }
    }
    replicas
}

impl<'a> AdapterView<'a> {
    /// Returns the next step at a runner without one, if one is due.
    fn next_step(&self) -> Option<AdapterStep> {
        let is_missing = |name: &&ModelName| self.replicas(name) == 0;
        let awaited = self.awaited.iter().copied().filter(is_missing);
        let in_demand = self.in_demand.iter().map(|(name, _)| name);
        let in_demand = in_demand.filter(is_missing);
        awaited
            .clone()
            .chain(in_demand.clone())
            .find_map(|name| self.load_into_free_slot(name))
            .or_else(|| self.unload_drained())
            .or_else(|| {
                let awaited: Vec<&ModelName> = awaited.collect();
                self.evict_for_waiting_calls(&awaited)
            })
            .or_else(|| {
                in_demand.clone().find_map(|name| self.evict_for_demand(name))
            })
            .or_else(|| self.add_replica())
            .or_else(|| self.preload())
    }

    /// Accounts for a step, so that the next one is chosen with it.
    fn note_step(&mut self, step: &AdapterStep) {
        if let Err(index) = self.taken.binary_search(&step.runner) {
            self.taken.insert(index, step.runner.clone());
        }
        if step.kind == AdapterAction::Load {
            *self.replicas.entry(step.name.clone(), || 0) += 1;
        }
    }

    fn is_taken(&self, managed: &ManagedRunner<Idle>) -> bool {
        self.taken.binary_search(&managed.facts.id).is_ok()
    }

    /// Returns the demand for an adapter, in tokens per second.
    fn demand_for(&self, name: &ModelName) -> u64 {
        self.demand.get(&name.to_string()).copied().unwrap_or(0)
    }

    fn replicas(&self, name: &ModelName) -> usize {
        self.replicas.get(name).copied().unwrap_or(0)
    }

    /// Returns a load of an adapter at a runner with a free adapter slot.
    fn load_into_free_slot(&self, name: &ModelName) -> Option<AdapterStep> {
        let slots = self.engine.adapter_places as usize;
        let runner = self
            .runners_with_model(name)
            .filter(|managed| !holds(&managed.models, name))
            .filter(|managed| adapter_count(&managed.models) < slots)
            .min_by_key(|managed| adapter_count(&managed.models))?;
        Some(AdapterStep {
            runner: runner.facts.id.clone(),
            kind: AdapterAction::Load,
            name: name.clone(),
        })
    }

    /// Returns an unload of a drained adapter that no call uses any more.
    fn unload_drained(&self) -> Option<AdapterStep> {
        let mut idle =
            self.runners.idle().filter(|managed| !self.is_taken(managed));
        idle.find_map(|managed| {
            let runner = managed.facts.id.as_str();
            let mut names = draining_adapters(managed);
            let name = names.find(|name| {
                let used = self.is_used(runner, name);
                managed.is_drained(name, used, self.now)
            })?;
            let (runner, kind) = (runner.to_owned(), AdapterAction::Unload);
            Some(AdapterStep { runner, kind, name })
        })
    }

    /// Drains the adapter with the least lost demand, to free a slot for an
    /// adapter that a call waits for. Nothing is drained if the runners that
    /// hold the model already drain as many adapters as there are adapters of
    /// the model that calls wait for.
    fn evict_for_waiting_calls(
        &self,
        awaited: &[&ModelName],
    ) -> Option<AdapterStep> {
        awaited.iter().find_map(|name| {
            let is_same = |other: &&&ModelName| other.model == name.model;
            let waiting = awaited.iter().filter(is_same).count();
            let draining =
                self.runners_with_model(name).flat_map(draining_adapters);
            if waiting <= draining.count() {
                return None;
            }
            let (.., step) = self.cheapest_eviction(name)?;
            Some(step)
        })
    }

    /// Drains an adapter that no call uses, to free a slot for an adapter in
    /// far higher demand.
    fn evict_for_demand(&self, name: &ModelName) -> Option<AdapterStep> {
        let draining =
            self.runners_with_model(name).flat_map(draining_adapters);
        let (used, lost_demand, step) = self.cheapest_eviction(name)?;
        let worthwhile =
            lost_demand * EVICTION_DEMAND_RATIO < self.demand_for(name);
        (!used && worthwhile && draining.count() == 0).then_some(step)
    }

    /// Returns the cheapest eviction on the runners that hold the model:
    /// whether the adapter is in use, the demand that is lost, and the step.
    /// An adapter in use is a candidate only if no other adapter is draining
    /// on its runner, as a draining slot serves no new calls until the last
    /// call on it has ended.
    fn cheapest_eviction(
        &self,
        name: &ModelName,
    ) -> Option<(bool, u64, AdapterStep)> {
        let candidates = self.runners_with_model(name).flat_map(|managed| {
            let none_draining = draining_adapters(managed).next().is_none();
            self.candidates_at(managed)
                .filter(move |(used, ..)| none_draining || !used)
        });
        let (used, lost_demand, runner, name) = candidates.min()?;
        let (runner, kind) = (runner.to_owned(), AdapterAction::Drain);
        Some((used, lost_demand, AdapterStep { runner, kind, name }))
    }

    /// Returns the adapters that could be evicted from a runner, each with
    /// whether it is in use and the demand that is lost.
    fn candidates_at(
        &self,
        managed: &'a ManagedRunner<Idle>,
    ) -> impl Iterator<Item = (bool, u64, &'a str, ModelName)> {
        let runner = managed.facts.id.as_str();
        held_adapters(&managed.models)
            .filter(|name| {
                !managed.is_draining(name) && !self.is_recently_loaded(name)
            })
            .map(move |name| {
                let used = self.is_used(runner, &name);
                (used, self.lost_demand(&name), runner, name)
            })
    }

    fn is_used(&self, runner: &str, name: &ModelName) -> bool {
        self.uses.is_in_use(runner, name, self.now)
    }

    /// Returns whether an adapter was loaded within [`MIN_RESIDENCY`].
    fn is_recently_loaded(&self, name: &ModelName) -> bool {
        let loaded_at = self.planner.loaded_at.get(name);
        loaded_at.is_some_and(|at| self.now < at.after(MIN_RESIDENCY))
    }

    /// Returns the demand that no runner could serve any more if a replica
    /// were evicted.
    fn lost_demand(&self, name: &ModelName) -> u64 {
        if 1 < self.replicas(name) { 0 } else { self.demand_for(name) }
    }

    /// Returns a load of a further replica of an adapter in demand, if a slot
    /// is free.
    fn add_replica(&self) -> Option<AdapterStep> {
        self.in_demand
            .iter()
            .find_map(|(name, _)| self.load_into_free_slot(name))
    }

    /// Returns a load of an adapter without requests so far, of a model in
    /// demand.
    fn preload(&self) -> Option<AdapterStep> {
        let models = self.engine.models.iter();
        let models = models.filter(|model| {
            self.demand.get(&model.name).is_some_and(|rate| 0 < *rate)
        });
        let names = models.flat_map(|model| {
            model.adapter_names().map(|adapter| ModelName {
                model: model.name.clone(),
                adapter: Some(adapter),
            })
        });
        let mut missing = names.filter(|name| self.replicas(name) == 0);
        missing.find_map(|name| self.load_into_free_slot(&name))
    }

    /// Returns the idle runners that hold the model of an adapter, apart from
    /// those where the model drains.
    fn runners_with_model(
        &self,
        name: &ModelName,
    ) -> impl Iterator<Item = &'a ManagedRunner<Idle>> {
        let model = ModelName { adapter: None, ..name.clone() };
        let holders = self.holders.get(name.model.as_str());
        let holders = holders.into_iter().flatten().copied();
        holders.filter(move |managed| {
            !managed.is_draining(&model) && !self.is_taken(managed)
        })
    }
}

/// Returns the adapters in demand, in descending order of demand.
fn in_demand(demand: &ModelDemand) -> Vec<(ModelName, u64)> {
    let mut in_demand: Vec<(ModelName, u64)> = demand
        .iter()
        .filter_map(|(text, rate)| {
            let name: ModelName = text.parse().ok()?;
            name.adapter.is_some().then_some((name, *rate))
        })
        .collect();
    in_demand.sort_by_key(|(_, rate)| std::cmp::Reverse(*rate));
    in_demand
}

/// Returns the adapters that are draining on a runner.
fn draining_adapters(
    managed: &ManagedRunner<Idle>,
) -> impl Iterator<Item = ModelName> {
    let names = managed.draining.keys();
    let names = names
        .filter(|name| name.adapter.is_some() && holds(&managed.models, name));
    names.cloned()
}

fn adapter_count(models: &[HeldModel]) -> usize {
    models.iter().map(|model| model.adapters.len()).sum()
}

fn held_adapters(models: &[HeldModel]) -> impl Iterator<Item = ModelName> {
    models.iter().flat_map(|model| {
        model.adapters.iter().map(|adapter| ModelName {
            model: model.name.clone(),
            adapter: Some(adapter.clone()),
        })
    })
}
