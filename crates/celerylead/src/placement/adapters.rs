//! Which adapters belong on which runner.
//!
//! Calls for an adapter can only run where it is, so each that is asked for
//! has a place, those that a call is waiting for first. Places that are left
//! take further copies of the adapters in highest demand, and then those
//! that nobody asked for yet of the models in demand. An adapter gives way
//! only where another runner has it too, or it is asked for far less than
//! the one that takes its place.

use std::time::Duration;

use crate::{
    catalog::EngineTraits,
    clock::EpochMillis,
    model::ModelName,
    placement::{
        ModelDemand,
        shelf::{Idle, RunnerShelf, ShelfTable, holds},
    },
    roster::HeldModel,
    runner::OrderKind,
    sorted::SortedTable,
};

/// Time for which a call that found its adapter nowhere counts.
const WANT_AGE: Duration = Duration::from_millis(2_000);
/// Time for which an adapter that was loaded doesn't give way: the calls that
/// waited for it begin, and it is in use.
const KEEP: Duration = Duration::from_millis(700);
/// How many times the demand for an adapter without a place has to be that
/// of the one that gives way.
const YIELD_FACTOR: u64 = 2;

/// What calls asked for in vain, and what was loaded for them.
#[derive(Clone, Debug, Default)]
pub struct AdapterBook {
    wanted: SortedTable<ModelName, EpochMillis>,
    loaded: SortedTable<ModelName, EpochMillis>,
}

/// What to do for an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdapterStep {
    /// Identity of the runner.
    pub runner: String,
    /// Load, or unload to make room.
    pub kind: OrderKind,
    /// Model and adapter.
    pub name: ModelName,
}

/// What the steps of one turn are chosen from.
struct AdapterView<'a> {
    shelves: &'a ShelfTable,
    engine: &'a EngineTraits,
    demand: &'a ModelDemand,
    /// Runners that have an adapter, or will.
    copies: SortedTable<ModelName, usize>,
    book: &'a AdapterBook,
    now: EpochMillis,
}

impl AdapterBook {
    /// Notes that a call found an adapter nowhere.
    pub fn want(&mut self, name: &ModelName, now: EpochMillis) {
        self.wanted.insert(name.clone(), now);
    }

    /// Notes that an adapter was ordered: nobody waits for it any more.
    pub fn loaded(&mut self, name: &ModelName, now: EpochMillis) {
        self.wanted.remove(name);
        self.loaded.insert(name.clone(), now);
    }

    /// Returns the next step, if one is due. `demand` is by model, and by
    /// model and adapter.
    pub fn next_step(
        &self,
        shelves: &ShelfTable,
        engine: &EngineTraits,
        demand: &ModelDemand,
        now: EpochMillis,
    ) -> Option<AdapterStep> {
        let view = AdapterView::new(self, shelves, engine, demand, now);
        let waited: Vec<ModelName> = self
            .wanted
            .iter()
            .filter(|(name, at)| {
                now < at.after(WANT_AGE) && view.copies(name) == 0
            })
            .map(|(name, _)| name.clone())
            .collect();
        let mut asked = view.asked();
        asked.retain(|(name, _)| view.copies(name) == 0);
        let asked = asked.iter().map(|(name, _)| name);
        waited
            .iter()
            .chain(asked.clone())
            .find_map(|name| view.place(name))
            .or_else(|| waited.iter().find_map(|name| view.make_way(name)))
            .or_else(|| {
                asked.clone().find_map(|name| view.make_way_for_more(name))
            })
            .or_else(|| view.further_copy())
            .or_else(|| view.spare())
    }
}

impl<'a> AdapterView<'a> {
    fn new(
        book: &'a AdapterBook,
        shelves: &'a ShelfTable,
        engine: &'a EngineTraits,
        demand: &'a ModelDemand,
        now: EpochMillis,
    ) -> AdapterView<'a> {
        let mut copies = SortedTable::default();
        for (_, models) in shelves.expected() {
            for name in held_adapters(&models) {
                *copies.entry(name, || 0) += 1;
            }
        }
        AdapterView { shelves, engine, demand, copies, book, now }
    }

    /// Adapters in demand, the highest first.
    fn asked(&self) -> Vec<(ModelName, u64)> {
        let mut asked: Vec<(ModelName, u64)> = self
            .demand
            .iter()
            .filter_map(|(text, rate)| {
                let name: ModelName = text.parse().ok()?;
                name.adapter.is_some().then_some((name, *rate))
            })
            .collect();
        asked.sort_by_key(|(_, rate)| std::cmp::Reverse(*rate));
        asked
    }

    fn rate(&self, name: &ModelName) -> u64 {
        self.demand.get(&name.to_string()).copied().unwrap_or(0)
    }

    fn copies(&self, name: &ModelName) -> usize {
        self.copies.get(name).copied().unwrap_or(0)
    }

    /// Loads an adapter at a runner with a free place.
    fn place(&self, name: &ModelName) -> Option<AdapterStep> {
        let places = self.engine.adapter_places as usize;
        let runner = self
            .holders(name)
            .filter(|shelf| !holds(&shelf.models, name))
            .filter(|shelf| adapter_count(&shelf.models) < places)
            .min_by_key(|shelf| adapter_count(&shelf.models))?;
        Some(AdapterStep {
            runner: runner.facts.id.clone(),
            kind: OrderKind::Load,
            name: name.clone(),
        })
    }

    /// Unloads the adapter that is missed least, for one without a place.
    fn make_way(&self, name: &ModelName) -> Option<AdapterStep> {
        let (_, runner, given_up) = self.least_missed(name)?;
        Some(AdapterStep {
            runner: runner.to_owned(),
            kind: OrderKind::Unload,
            name: given_up,
        })
    }

    /// The same, where the one without a place is asked for far more.
    fn make_way_for_more(&self, name: &ModelName) -> Option<AdapterStep> {
        let (loss, ..) = self.least_missed(name)?;
        let worth = loss * YIELD_FACTOR < self.rate(name);
        worth.then(|| self.make_way(name)).flatten()
    }

    /// The adapter at a holder of the model that would be missed least.
    fn least_missed(
        &self,
        name: &ModelName,
    ) -> Option<(u64, &str, ModelName)> {
        let held = self.holders(name).flat_map(|shelf| {
            let held = held_adapters(&shelf.models);
            let held = held.filter(|name| !shelf.going.contains(name));
            held.map(|held| (self.loss(&held), shelf.facts.id.as_str(), held))
        });
        held.filter(|(.., name)| !self.is_fresh(name)).min()
    }

    /// Tells whether an adapter was loaded just now.
    fn is_fresh(&self, name: &ModelName) -> bool {
        let loaded = self.book.loaded.get(name);
        loaded.is_some_and(|at| self.now < at.after(KEEP))
    }

    /// Demand that would find an adapter nowhere if a copy went.
    fn loss(&self, name: &ModelName) -> u64 {
        if 1 < self.copies(name) { 0 } else { self.rate(name) }
    }

    /// A further copy of an adapter in demand, where places are free.
    fn further_copy(&self) -> Option<AdapterStep> {
        self.asked().iter().find_map(|(name, _)| self.place(name))
    }

    /// An adapter that nobody asked for yet, of a model in demand.
    fn spare(&self) -> Option<AdapterStep> {
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
        let mut missing = names.filter(|name| self.copies(name) == 0);
        missing.find_map(|name| self.place(&name))
    }

    fn holders(
        &self,
        name: &ModelName,
    ) -> impl Iterator<Item = &'a RunnerShelf<Idle>> {
        let model = name.model.clone();
        self.shelves.idle().filter(move |shelf| {
            shelf.models.iter().any(|held| held.name == model)
        })
    }
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
