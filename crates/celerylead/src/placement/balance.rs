//! Copies that even out the load of a service's runners.
//!
//! Everything that a runner holds shares its batch, so what counts is the
//! load of a runner over all its models, not the demand for each copy. The
//! demand for a model can be spread over its copies at will; a plan is as
//! good as the best such spread. Adapters count too: a runner whose places
//! are too few for the adapters that are asked for there spends its time on
//! bringing them in, so its load weighs more.
//!
//! A copy in room that is free costs one load from the weight store and is
//! made for a small gain. One that takes the place of another copy is made
//! only to relieve busy runners, for a larger gain.

use crate::{
    placement::{ModelNeed, PlacementPlan, RunnerRoom},
    sorted::SortedTable,
};

/// Passes in which each model's demand is spread over its copies again.
const SPREAD_PASSES: usize = 3;
/// Models on the busiest runners that a change is looked for.
const HOT_MODELS: usize = 3;
/// Part of the plan's cost that a copy in free room has to save.
const FREE_GAIN: f64 = 0.01;
/// Part of the plan's cost that a copy in the place of others has to save.
const SWAP_GAIN: f64 = 0.08;

/// Adapters that are asked for, and the places for them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdapterNeeds {
    /// Places on each runner.
    pub places: u32,
    /// Number of adapters asked for, by model.
    pub asked: SortedTable<String, u32>,
}

/// A plan that is being improved.
#[derive(Debug)]
pub struct PlanBalance<'a> {
    rooms: &'a [RunnerRoom],
    needs: &'a [ModelNeed],
    adapters: &'a AdapterNeeds,
    /// Load from which a runner counts as busy, in tokens a second.
    busy: f64,
}

impl<'a> PlanBalance<'a> {
    /// Makes the balance of a service's rooms and needs; both belong to one
    /// group, and needs are sorted by name. `busy` is the load, in tokens a
    /// second, from which a runner is worth relieving.
    pub fn new(
        rooms: &'a [RunnerRoom],
        needs: &'a [ModelNeed],
        adapters: &'a AdapterNeeds,
        busy: f64,
    ) -> PlanBalance<'a> {
        PlanBalance { rooms, needs, adapters, busy }
    }

    /// Makes the change that saves most, if one is worth its load.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerylead::placement::{
    ///     AdapterNeeds, ModelNeed, PlacementPlan, PlanBalance, RunnerRoom,
    /// };
    ///
    /// let room = |name: &str| RunnerRoom {
    ///     name: name.to_owned(),
    ///     group: "g".to_owned(),
    ///     memory_mb: 100,
    ///     resident: Vec::new(),
    /// };
    /// let rooms = [room("r-1"), room("r-2")];
    /// let needs = [ModelNeed {
    ///     name: "outline".to_owned(),
    ///     group: "g".to_owned(),
    ///     size_mb: 60,
    ///     demand: 9_000,
    ///     elsewhere: false,
    /// }];
    /// let mut plan = PlacementPlan::default();
    /// plan.targets.insert("r-1".to_owned(), vec!["outline".to_owned()]);
    /// let adapters = AdapterNeeds::default();
    /// let balance = PlanBalance::new(&rooms, &needs, &adapters, 1_000.0);
    /// assert!(balance.improve(&mut plan));
    /// assert_eq!(plan.targets.get("r-2").unwrap(), &["outline"]);
    /// assert!(!balance.improve(&mut plan));
    /// ```
    pub fn improve(&self, plan: &mut PlacementPlan) -> bool {
        let loads = self.loads(plan);
        let before = cost(&loads);
        let mut best: Option<(f64, PlacementPlan)> = None;
        for (least_busy, need) in self.hot_models(plan, &loads) {
            for room in self.rooms {
                let copy = self.with_copy(plan, room, need);
                let Some((changed, displaces)) = copy else { continue };
                let after = cost(&self.loads(&changed));
                let gain = if displaces { SWAP_GAIN } else { FREE_GAIN };
                let due = !displaces || self.busy <= least_busy;
                let worth = due && after < before * (1.0 - gain);
                let better =
                    best.as_ref().is_none_or(|(least, _)| after < *least);
                if worth && better {
                    best = Some((after, changed));
                }
            }
        }
        let Some((_, changed)) = best else { return false };
        *plan = changed;
        true
    }

    /// Load of each runner when demand is spread as evenly as copies allow.
    fn loads(&self, plan: &PlacementPlan) -> SortedTable<String, f64> {
        let mut loads: SortedTable<String, f64> =
            self.rooms.iter().map(|room| (room.name.clone(), 0.0)).collect();
        let asked = self.needs.iter().filter(|need| 0 < need.demand);
        let mut shares: Vec<(f64, Vec<(&str, f64)>)> = asked
            .map(|need| {
                let copies = self.copies(plan, &need.name);
                (need.demand as f64, copies.map(|name| (name, 0.0)).collect())
            })
            .collect();
        for _ in 0..SPREAD_PASSES {
            for (demand, copies) in &mut shares {
                for (runner, share) in copies.iter_mut() {
                    if let Some(load) = loads.get_mut(*runner) {
                        *load -= *share;
                    }
                    *share = 0.0;
                }
                fill(*demand, copies, &loads);
                for (runner, share) in copies.iter() {
                    if let Some(load) = loads.get_mut(*runner) {
                        *load += *share;
                    }
                }
            }
        }
        for (runner, load) in loads.iter_mut() {
            *load *= self.adapter_factor(plan, runner);
        }
        loads
    }

    /// How much more a runner's load weighs for the adapters asked for
    /// there.
    fn adapter_factor(&self, plan: &PlacementPlan, runner: &str) -> f64 {
        let Some(held) = plan.targets.get(runner) else { return 1.0 };
        let asked = held.iter().map(|model| {
            let asked = self.adapters.asked.get(model).copied().unwrap_or(0);
            let copies = self.copies(plan, model).count().max(1);
            f64::from(asked) / copies as f64
        });
        let places = f64::from(self.adapters.places.max(1));
        (asked.sum::<f64>() / places).max(1.0)
    }

    fn copies<'b>(
        &'b self,
        plan: &'b PlacementPlan,
        model: &'b str,
    ) -> impl Iterator<Item = &'b str> {
        let rooms = self.rooms.iter().map(|room| room.name.as_str());
        rooms.filter(move |room| holds(plan, room, model))
    }

    /// Models in demand, with the load of their least busy copy, the
    /// busiest first.
    fn hot_models(
        &self,
        plan: &PlacementPlan,
        loads: &SortedTable<String, f64>,
    ) -> Vec<(f64, &'a ModelNeed)> {
        let mut hot: Vec<(f64, &ModelNeed)> = self
            .needs
            .iter()
            .filter(|need| 0 < need.demand)
            .map(|need| {
                let copies = self.copies(plan, &need.name);
                let loads = copies.filter_map(|name| loads.get(name).copied());
                (loads.fold(f64::MAX, f64::min), need)
            })
            .filter(|(load, _)| *load < f64::MAX)
            .collect();
        hot.sort_by(|one, other| other.0.total_cmp(&one.0));
        hot.truncate(HOT_MODELS);
        hot
    }

    /// The plan with one more copy, in place of further copies of others
    /// where there is no room; tells whether it displaces any.
    fn with_copy(
        &self,
        plan: &PlacementPlan,
        room: &RunnerRoom,
        need: &ModelNeed,
    ) -> Option<(PlacementPlan, bool)> {
        if holds(plan, &room.name, &need.name) {
            return None;
        }
        let mut held = plan.targets.get(&room.name).cloned()?;
        let mut used: u64 = held.iter().map(|model| self.size(model)).sum();
        let mut spare: Vec<String> = held
            .iter()
            .filter(|model| 1 < self.copies(plan, model).count())
            .cloned()
            .collect();
        spare.sort_by_key(|model| {
            let copies = self.copies(plan, model).count() as u64;
            self.demand(model) / (copies - 1)
        });
        let displaces = room.memory_mb < used + need.size_mb;
        let mut spare = spare.into_iter();
        while room.memory_mb < used + need.size_mb {
            let given_up = spare.next()?;
            used -= self.size(&given_up);
            held.retain(|model| *model != given_up);
        }
        held.push(need.name.clone());
        held.sort();
        let mut changed = plan.clone();
        changed.targets.insert(room.name.clone(), held);
        Some((changed, displaces))
    }

    fn need(&self, model: &str) -> Option<&ModelNeed> {
        let needs = self.needs;
        let place =
            needs.binary_search_by(|need| need.name.as_str().cmp(model));
        Some(&needs[place.ok()?])
    }

    fn size(&self, model: &str) -> u64 {
        self.need(model).map_or(0, |need| need.size_mb)
    }

    fn demand(&self, model: &str) -> u64 {
        self.need(model).map_or(0, |need| need.demand)
    }
}

/// Spreads a demand over copies so that the busiest of their runners is as
/// little busy as can be.
fn fill(
    demand: f64,
    copies: &mut [(&str, f64)],
    loads: &SortedTable<String, f64>,
) {
    let load = |name: &str| loads.get(name).copied().unwrap_or(0.0);
    copies.sort_by(|one, other| load(one.0).total_cmp(&load(other.0)));
    // The level to which the first copies are filled: raised while the next
    // one lies below it.
    let mut sum = demand;
    let mut level = 0.0;
    let mut filled = 0;
    for (place, (name, _)) in copies.iter().enumerate() {
        if 0 < place && level <= load(name) {
            break;
        }
        sum += load(name);
        filled = place + 1;
        level = sum / filled as f64;
    }
    for (name, share) in &mut copies[..filled] {
        *share = (level - load(name)).max(0.0);
    }
}

/// Busy runners count for much more than idle ones.
fn cost(loads: &SortedTable<String, f64>) -> f64 {
    loads.values().map(|load| load * load).sum()
}

fn holds(plan: &PlacementPlan, runner: &str, model: &str) -> bool {
    let planned = plan.targets.get(runner);
    planned.is_some_and(|held| {
        held.binary_search_by(|name| name.as_str().cmp(model)).is_ok()
    })
}
