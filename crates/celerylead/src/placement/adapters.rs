//! Which adapters are missing where.

use std::time::Duration;

use crate::{
    catalog::EngineTraits,
    clock::EpochMillis,
    model::ModelName,
    placement::shelf::{Idle, RunnerShelf, ShelfTable},
    roster::HeldModel,
    runner::OrderKind,
    sorted::SortedTable,
};

/// Time after which an adapter that nobody asked for may give way.
const KEEP: Duration = Duration::from_millis(2_000);

/// What hosts asked for, by model and adapter.
#[derive(Clone, Debug, Default)]
pub struct AdapterBook {
    wanted: SortedTable<ModelName, EpochMillis>,
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

impl AdapterBook {
    /// Notes that a call found an adapter nowhere.
    pub fn want(&mut self, name: &ModelName, now: EpochMillis) {
        self.wanted.insert(name.clone(), now);
    }

    /// Returns the next step, if one is due: for what was asked for last,
    /// then for the adapters of models in demand that no runner has.
    pub fn next_step(
        &self,
        shelves: &ShelfTable,
        engine: &EngineTraits,
        in_demand: &[String],
        now: EpochMillis,
    ) -> Option<AdapterStep> {
        let mut asked: Vec<_> = self.wanted.iter().collect();
        asked.sort_by_key(|(_, at)| std::cmp::Reverse(**at));
        let fresh = asked.into_iter().filter(|(_, at)| now < at.after(KEEP));
        let fresh = fresh.map(|(name, _)| (name.clone(), true));
        let spare = in_demand.iter().flat_map(|model| {
            let count = engine.model(model).map_or(0, |model| model.adapters);
            (1..=count).map(move |number| {
                let adapter = Some(format!("a{number}"));
                (ModelName { model: model.clone(), adapter }, false)
            })
        });
        fresh.chain(spare).find_map(|(name, asked)| {
            if is_expected(shelves, &name) {
                return None;
            }
            self.step_for(&name, asked, shelves, engine, now)
        })
    }

    fn step_for(
        &self,
        name: &ModelName,
        asked: bool,
        shelves: &ShelfTable,
        engine: &EngineTraits,
        now: EpochMillis,
    ) -> Option<AdapterStep> {
        let places = engine.adapter_places as usize;
        let holders = shelves.idle().filter(|shelf| {
            shelf.models.iter().any(|held| held.name == name.model)
        });
        let emptiest =
            holders.min_by_key(|shelf| adapter_count(&shelf.models))?;
        let runner = emptiest.facts.id.clone();
        if adapter_count(&emptiest.models) < places {
            let name = name.clone();
            return Some(AdapterStep { runner, kind: OrderKind::Load, name });
        }
        if !asked {
            return None;
        }
        let name = self.least_wanted(emptiest, now)?;
        Some(AdapterStep { runner, kind: OrderKind::Unload, name })
    }

    /// The adapter of a runner that was asked for longest ago.
    fn least_wanted(
        &self,
        shelf: &RunnerShelf<Idle>,
        now: EpochMillis,
    ) -> Option<ModelName> {
        let held = shelf.models.iter().flat_map(|held| {
            held.adapters.iter().map(|adapter| ModelName {
                model: held.name.clone(),
                adapter: Some(adapter.clone()),
            })
        });
        held.map(|name| {
            let asked = self.wanted.get(&name).copied().unwrap_or_default();
            (asked, name)
        })
        .filter(|(asked, _)| asked.after(KEEP) <= now)
        .min()
        .map(|(_, name)| name)
    }
}

fn adapter_count(models: &[HeldModel]) -> usize {
    models.iter().map(|held| held.adapters.len()).sum()
}

/// Tells whether some runner has the adapter, or will.
fn is_expected(shelves: &ShelfTable, name: &ModelName) -> bool {
    let Some(adapter) = &name.adapter else { return true };
    shelves.expected().any(|(_, models)| {
        models.iter().any(|held| {
            held.name == name.model && held.adapters.contains(adapter)
        })
    })
}
