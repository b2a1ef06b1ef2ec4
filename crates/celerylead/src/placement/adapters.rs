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
    catalog::EngineSpec,
    clock::EpochMillis,
    model::ModelName,
    placement::{
        ModelDemand,
        shelf::{Idle, RunnerShelf, holds},
        shelves::ShelfTable,
        uses::UseTable,
    },
    roster::HeldModel,
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

/// What is done for an adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdapterMove {
    /// It is loaded.
    Load,
    /// It is unloaded to make room.
    Unload,
    /// Hosts are told not to use it.
    GiveWay,
}

/// What to do for an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdapterStep {
    /// Identity of the runner.
    pub runner: String,
    /// What is done.
    pub kind: AdapterMove,
    /// Model and adapter.
    pub name: ModelName,
}

/// What the steps of one turn are chosen from.
struct AdapterView<'a> {
    shelves: &'a ShelfTable,
    engine: &'a EngineSpec,
    demand: &'a ModelDemand,
    /// Runners that have an adapter, or will.
    copies: SortedTable<ModelName, usize>,
    book: &'a AdapterBook,
    uses: &'a UseTable,
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
        engine: &EngineSpec,
        demand: &ModelDemand,
        uses: &UseTable,
        now: EpochMillis,
    ) -> Option<AdapterStep> {
        let copies = count_copies(shelves);
        let book = self;
        let view =
            AdapterView { shelves, engine, demand, copies, book, uses, now };
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
            .or_else(|| view.finish_yield())
            .or_else(|| view.make_way(&waited))
            .or_else(|| {
                asked.clone().find_map(|name| view.make_way_for_more(name))
            })
            .or_else(|| view.further_copy())
            .or_else(|| view.spare())
    }
}

/// Runners that have each adapter, or will.
fn count_copies(shelves: &ShelfTable) -> SortedTable<ModelName, usize> {
    let mut copies = SortedTable::default();
    for (_, models) in shelves.expected() {
        for name in held_adapters(&models) {
            *copies.entry(name, || 0) += 1;
        }
    }
    copies
}

impl<'a> AdapterView<'a> {
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
            kind: AdapterMove::Load,
            name: name.clone(),
        })
    }

    /// Unloads an adapter that gave way, once no call uses it.
    fn finish_yield(&self) -> Option<AdapterStep> {
        self.shelves.idle().find_map(|shelf| {
            let runner = shelf.facts.id.as_str();
            let mut held = held_adapters(&shelf.models);
            let name = held.find(|name| {
                let used = self.is_used(runner, name);
                shelf.is_clear(name, used, self.now)
            })?;
            let (runner, kind) = (runner.to_owned(), AdapterMove::Unload);
            Some(AdapterStep { runner, kind, name })
        })
    }

    /// Lets the adapter that is missed least give way for one that a call
    /// waits for.
    fn make_way(&self, waited: &[ModelName]) -> Option<AdapterStep> {
        waited.iter().find_map(|name| {
            let same = |other: &&ModelName| other.model == name.model;
            let waiting = waited.iter().filter(same).count();
            let yielding = self.holders(name).flat_map(yielding_adapters);
            if waiting <= yielding.count() {
                return None;
            }
            let (.., step) = self.least_missed(name)?;
            Some(step)
        })
    }

    /// The same for one that is asked for far more, by one without calls.
    fn make_way_for_more(&self, name: &ModelName) -> Option<AdapterStep> {
        let yielding = self.holders(name).flat_map(yielding_adapters);
        let (used, loss, step) = self.least_missed(name)?;
        let worth = loss * YIELD_FACTOR < self.rate(name);
        (!used && worth && yielding.count() == 0).then_some(step)
    }

    /// The adapter at a holder of the model that would be missed least:
    /// whether it is in use, and the demand for it. One in use gives way only
    /// where no other does, as its place serves nobody new until then.
    fn least_missed(
        &self,
        name: &ModelName,
    ) -> Option<(bool, u64, AdapterStep)> {
        let candidates = self.holders(name).flat_map(|shelf| {
            let alone = yielding_adapters(shelf).next().is_none();
            self.candidates_at(shelf).filter(move |(used, ..)| alone || !used)
        });
        let (used, loss, runner, name) = candidates.min()?;
        let (runner, kind) = (runner.to_owned(), AdapterMove::GiveWay);
        Some((used, loss, AdapterStep { runner, kind, name }))
    }

    /// Adapters that could give way at a runner, each with whether it is in
    /// use and what would be missed.
    fn candidates_at(
        &self,
        shelf: &'a RunnerShelf<Idle>,
    ) -> impl Iterator<Item = (bool, u64, &'a str, ModelName)> {
        let runner = shelf.facts.id.as_str();
        held_adapters(&shelf.models)
            .filter(|name| !shelf.yields(name) && !self.is_fresh(name))
            .map(move |name| {
                let used = self.is_used(runner, &name);
                (used, self.loss(&name), runner, name)
            })
    }

    fn is_used(&self, runner: &str, name: &ModelName) -> bool {
        self.uses.uses(runner, name, self.now)
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
        let model = ModelName { adapter: None, ..name.clone() };
        self.shelves.idle().filter(move |shelf| {
            holds(&shelf.models, &model) && !shelf.yields(&model)
        })
    }
}

/// Adapters that give way at a runner.
fn yielding_adapters(
    shelf: &RunnerShelf<Idle>,
) -> impl Iterator<Item = ModelName> {
    held_adapters(&shelf.models).filter(|name| shelf.yields(name))
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
