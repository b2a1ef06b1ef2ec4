//! Which adapters belong on which runner.
//!
//! Calls for an adapter can only run where it is, so each that is asked for
//! has a place, those that a call is waiting for first. Places that are left
//! take further copies of the adapters in highest demand, and then those
//! that nobody asked for yet of the models in demand. An adapter gives way
//! only where another runner has it too, or it is asked for far less than
//! the one that takes its place.
//!
//! An adapter that is to go gives way first: hosts send it no more calls, and
//! it is unloaded when the last has ended. Those that no call uses go before
//! all others.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    catalog::EngineTraits,
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

/// Time for which a call that found its adapter nowhere counts.
const MISS_MAX_AGE: Duration = Duration::from_millis(2_000);
/// Time for which an adapter that was loaded doesn't give way: the calls that
/// waited for it begin, and it is in use.
const MIN_RESIDENCY: Duration = Duration::from_millis(700);
/// How many times the demand for an adapter without a place has to be that
/// of the one that gives way.
const EVICTION_DEMAND_RATIO: u64 = 2;

/// What calls asked for in vain, and what was loaded for them.
#[derive(Clone, Debug, Default)]
pub struct AdapterPlanner {
    misses: SortedTable<ModelName, EpochMillis>,
    loaded_at: SortedTable<ModelName, EpochMillis>,
}

/// What is done for an adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdapterAction {
    /// It is loaded.
    Load,
    /// It is unloaded to make room.
    Unload,
    /// Hosts are told not to use it.
    Drain,
}

/// What to do for an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdapterStep {
    /// Identity of the runner.
    pub runner: String,
    /// What is done.
    pub kind: AdapterAction,
    /// Model and adapter.
    pub name: ModelName,
}

/// What the steps of one turn are chosen from.
struct AdapterView<'a> {
    runners: &'a RunnerTable,
    engine: &'a EngineTraits,
    demand: &'a ModelDemand,
    /// Runners that have an adapter, or will.
    replicas: SortedTable<ModelName, usize>,
    planner: &'a AdapterPlanner,
    uses: &'a UseTable,
    now: EpochMillis,
}

impl AdapterPlanner {
    /// Notes that a call found an adapter nowhere.
    pub fn record_miss(&mut self, name: &ModelName, now: EpochMillis) {
        self.misses.insert(name.clone(), now);
    }

    /// Notes that an adapter was ordered: nobody waits for it any more.
    pub fn record_load(&mut self, name: &ModelName, now: EpochMillis) {
        self.misses.remove(name);
        self.loaded_at.insert(name.clone(), now);
    }

    /// Returns the next step, if one is due. `demand` is by model, and by
    /// model and adapter.
    pub fn next_step(
        &self,
        runners: &RunnerTable,
        engine: &EngineTraits,
        demand: &ModelDemand,
        uses: &UseTable,
        now: EpochMillis,
    ) -> Option<AdapterStep> {
        let replicas = count_replicas(runners);
        let planner = self;
        let view = AdapterView {
            runners,
            engine,
            demand,
            replicas,
            planner,
            uses,
            now,
        };
        let awaited: Vec<ModelName> = self
            .misses
            .iter()
            .filter(|(name, at)| {
                now < at.after(MISS_MAX_AGE) && view.replicas(name) == 0
            })
            .map(|(name, _)| name.clone())
            .collect();
        let mut in_demand = view.in_demand();
        in_demand.retain(|(name, _)| view.replicas(name) == 0);
        let in_demand = in_demand.iter().map(|(name, _)| name);
        awaited
            .iter()
            .chain(in_demand.clone())
            .find_map(|name| view.load_into_free_slot(name))
            .or_else(|| view.unload_drained())
            .or_else(|| view.evict_for_waiting_calls(&awaited))
            .or_else(|| {
                in_demand.clone().find_map(|name| view.evict_for_demand(name))
            })
            .or_else(|| view.add_replica())
            .or_else(|| view.preload())
    }
}

/// Runners that have each adapter, or will.
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
    /// Adapters in demand, the highest first.
    fn in_demand(&self) -> Vec<(ModelName, u64)> {
        let mut in_demand: Vec<(ModelName, u64)> = self
            .demand
            .iter()
            .filter_map(|(text, rate)| {
                let name: ModelName = text.parse().ok()?;
                name.adapter.is_some().then_some((name, *rate))
            })
            .collect();
        in_demand.sort_by_key(|(_, rate)| std::cmp::Reverse(*rate));
        in_demand
    }

    fn rate(&self, name: &ModelName) -> u64 {
        self.demand.get(&name.to_string()).copied().unwrap_or(0)
    }

    fn replicas(&self, name: &ModelName) -> usize {
        self.replicas.get(name).copied().unwrap_or(0)
    }

    /// Loads an adapter at a runner with a free place.
    fn load_into_free_slot(&self, name: &ModelName) -> Option<AdapterStep> {
        let slots = self.engine.adapter_places as usize;
        let runner = self
            .holders(name)
            .filter(|managed| !holds(&managed.models, name))
            .filter(|managed| adapter_count(&managed.models) < slots)
            .min_by_key(|managed| adapter_count(&managed.models))?;
        Some(AdapterStep {
            runner: runner.facts.id.clone(),
            kind: AdapterAction::Load,
            name: name.clone(),
        })
    }

    /// Unloads an adapter that gave way, once no call uses it.
    fn unload_drained(&self) -> Option<AdapterStep> {
        self.runners.idle().find_map(|managed| {
            let runner = managed.facts.id.as_str();
            let mut held = held_adapters(&managed.models);
            let name = held.find(|name| {
                let used = self.is_used(runner, name);
                managed.is_drained(name, used, self.now)
            })?;
            let (runner, kind) = (runner.to_owned(), AdapterAction::Unload);
            Some(AdapterStep { runner, kind, name })
        })
    }

    /// Lets the adapter that is missed least give way for one that a call
    /// waits for.
    fn evict_for_waiting_calls(
        &self,
        awaited: &[ModelName],
    ) -> Option<AdapterStep> {
        awaited.iter().find_map(|name| {
            let same_model = |other: &&ModelName| other.model == name.model;
            let waiting = awaited.iter().filter(same_model).count();
            let draining = self.holders(name).flat_map(draining_adapters);
            if waiting <= draining.count() {
                return None;
            }
            let (.., step) = self.cheapest_eviction(name)?;
            Some(step)
        })
    }

    /// The same for one that is asked for far more, by one without calls.
    fn evict_for_demand(&self, name: &ModelName) -> Option<AdapterStep> {
        let draining = self.holders(name).flat_map(draining_adapters);
        let (used, lost_demand, step) = self.cheapest_eviction(name)?;
        let worthwhile = lost_demand * EVICTION_DEMAND_RATIO < self.rate(name);
        (!used && worthwhile && draining.count() == 0).then_some(step)
    }

    /// The adapter at a holder of the model that would be missed least:
    /// whether it is in use, and the demand for it. One in use gives way only
    /// where no other does, as its place serves nobody new until then.
    fn cheapest_eviction(
        &self,
        name: &ModelName,
    ) -> Option<(bool, u64, AdapterStep)> {
        let candidates = self.holders(name).flat_map(|managed| {
            let none_draining = draining_adapters(managed).next().is_none();
            self.candidates_at(managed)
                .filter(move |(used, ..)| none_draining || !used)
        });
        let (used, lost_demand, runner, name) = candidates.min()?;
        let (runner, kind) = (runner.to_owned(), AdapterAction::Drain);
        Some((used, lost_demand, AdapterStep { runner, kind, name }))
    }

    /// Adapters that could give way at a runner, each with whether it is in
    /// use and what would be missed.
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

    /// Tells whether an adapter was loaded just now.
    fn is_recently_loaded(&self, name: &ModelName) -> bool {
        let loaded_at = self.planner.loaded_at.get(name);
        loaded_at.is_some_and(|at| self.now < at.after(MIN_RESIDENCY))
    }

    /// Demand that would find an adapter nowhere if a copy went.
    fn lost_demand(&self, name: &ModelName) -> u64 {
        if 1 < self.replicas(name) { 0 } else { self.rate(name) }
    }

    /// A further copy of an adapter in demand, where places are free.
    fn add_replica(&self) -> Option<AdapterStep> {
        self.in_demand()
            .iter()
            .find_map(|(name, _)| self.load_into_free_slot(name))
    }

    /// An adapter that nobody asked for yet, of a model in demand.
    fn preload(&self) -> Option<AdapterStep> {
        let models = self.engine.models.iter();
        let models = models.filter(|model| {
            self.demand.get(&model.name).is_some_and(|rate| 0 < *rate)
        });
        let names = models.flat_map(|model| {
            (1..=model.adapters).map(|number| ModelName {
                model: model.name.clone(),
                adapter: Some(format!("a{number}")),
            })
        });
        let mut missing = names.filter(|name| self.replicas(name) == 0);
        missing.find_map(|name| self.load_into_free_slot(&name))
    }

    fn holders(
        &self,
        name: &ModelName,
    ) -> impl Iterator<Item = &'a ManagedRunner<Idle>> {
        let model = ModelName { adapter: None, ..name.clone() };
        self.runners.idle().filter(move |managed| {
            holds(&managed.models, &model) && !managed.is_draining(&model)
        })
    }
}

/// Adapters that give way at a runner.
fn draining_adapters(
    managed: &ManagedRunner<Idle>,
) -> impl Iterator<Item = ModelName> {
    held_adapters(&managed.models).filter(|name| managed.is_draining(name))
}

fn adapter_count(models: &[HeldModel]) -> usize {
    models.iter().map(|held| held.adapters.len()).sum()
}

fn held_adapters(models: &[HeldModel]) -> impl Iterator<Item = ModelName> {
    models.iter().flat_map(|held| {
        held.adapters.iter().map(|adapter| ModelName {
            model: held.name.clone(),
            adapter: Some(adapter.clone()),
        })
    })
}
