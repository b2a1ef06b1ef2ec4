//! The plan of a zone.

use serde::{Deserialize, Serialize};

use crate::sorted::SortedTable;

/// How many times the demand for each copy of another model has to be that
/// of a copy that is given up.
const SWAP_FACTOR: f64 = 3.0;
/// Demand for each copy from which a model gets a further one, in tokens a
/// second.
const MIN_REPLICA_DEMAND: f64 = 1.0;

/// How fast a plan follows demand.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PlanPace {
    /// Copies that one turn may add, besides those that keep models
    /// reachable.
    pub changes: usize,
    /// Demand for each copy from which a model takes the place of another's
    /// copy, in tokens a second.
    pub swap_demand: f64,
}

impl PlanPace {
    /// Makes a pace of so many copies a turn, for any demand.
    pub fn of_changes(changes: usize) -> PlanPace {
        PlanPace { changes, swap_demand: MIN_REPLICA_DEMAND }
    }
}

/// Models that should be resident on each runner of a zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PlacementPlan {
    /// Models by runner, each list sorted.
    pub targets: SortedTable<String, Vec<String>>,
}

/// A runner to plan for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerCapacity {
    /// Its name.
    pub name: String,
    /// Its group.
    pub group: String,
    /// Its memory, in MB.
    pub memory_mb: u64,
    /// Models that are resident now.
    pub resident: Vec<String>,
}

/// A model to plan for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelNeed {
    /// Its name.
    pub name: String,
    /// Its group.
    pub group: String,
    /// Its memory with adapters, in MB.
    pub size_mb: u64,
    /// Tokens a second that the zone is asked for.
    pub demand: u64,
    /// Whether another zone plans a copy.
    pub elsewhere: bool,
}

/// Returns the plan that follows `current` at a pace. `needs` are sorted by
/// name.
///
/// # Examples
///
/// ```
/// use celerylead::placement::{
///     ModelNeed, PlacementPlan, PlanPace, RunnerCapacity, next_plan,
/// };
///
/// let capacity = RunnerCapacity {
///     name: "r-1".to_owned(),
///     group: "g".to_owned(),
///     memory_mb: 100,
///     resident: Vec::new(),
/// };
/// let need = ModelNeed {
///     name: "outline".to_owned(),
///     group: "g".to_owned(),
///     size_mb: 60,
///     demand: 0,
///     elsewhere: false,
/// };
/// let pace = PlanPace::of_changes(1);
/// let plan = next_plan(&PlacementPlan::default(), &[capacity], &[need], pace);
/// assert_eq!(plan.targets.get("r-1").unwrap(), &["outline"]);
/// ```
pub fn next_plan(
    current: &PlacementPlan,
    capacities: &[RunnerCapacity],
    needs: &[ModelNeed],
    pace: PlanPace,
) -> PlacementPlan {
    let mut draft = PlanDraft {
        capacities,
        needs,
        swap_demand: pace.swap_demand,
        plan: PlacementPlan::default(),
        replicas: SortedTable::default(),
        used_mb: SortedTable::default(),
    };
    draft.carry_over(current);
    draft.place_missing();
    for _ in 0..pace.changes {
        if !draft.add_replica() && !draft.swap_replica() {
            break;
        }
    }
    draft.plan
}

struct PlanDraft<'a> {
    capacities: &'a [RunnerCapacity],
    needs: &'a [ModelNeed],
    swap_demand: f64,
    plan: PlacementPlan,
    /// Copies planned by model, and memory planned by runner in MB: counted
    /// along, since they are asked for far more often than they change.
    replicas: SortedTable<String, usize>,
    used_mb: SortedTable<String, u64>,
}

impl PlanDraft<'_> {
    /// Keeps what is planned, and for a runner without a plan what is
    /// resident, as far as models and memory are still there.
    fn carry_over(&mut self, current: &PlacementPlan) {
        for capacity in self.capacities {
            let planned = current.targets.get(&capacity.name);
            let wanted = planned.unwrap_or(&capacity.resident).clone();
            self.plan.targets.insert(capacity.name.clone(), Vec::new());
            for model in wanted {
                let Some(need) = self.need(&model) else { continue };
                if need.group == capacity.group
                    && need.size_mb <= self.free_mb(capacity)
                {
                    self.place(&capacity.name, &model);
                }
            }
        }
    }

    /// Gives each model without a copy its first one.
    fn place_missing(&mut self) {
        let mut missing: Vec<&ModelNeed> = self
            .needs
            .iter()
            .filter(|need| self.replicas(&need.name) == 0)
            .collect();
        missing.sort_by_key(|need| {
            (need.elsewhere, std::cmp::Reverse((need.size_mb, need.demand)))
        });
        for need in missing {
            if let Some(capacity) = self.most_free(need) {
                self.place(&capacity.name.clone(), &need.name);
                continue;
            }
            if let Some((runner, evicted)) = self.make_room(need) {
                evicted.iter().for_each(|model| self.remove(&runner, model));
                self.place(&runner, &need.name);
            }
        }
    }

    /// Adds a copy of the model in highest demand, where there is room.
    fn add_replica(&mut self) -> bool {
        let mut wanted: Vec<&ModelNeed> = self
            .needs
            .iter()
            .filter(|need| MIN_REPLICA_DEMAND <= self.demand_per_replica(need))
            .collect();
        wanted.sort_by(|one, other| {
            let demand = self.demand_per_replica(other);
            demand.total_cmp(&self.demand_per_replica(one))
        });
        for need in wanted {
            if let Some(capacity) = self.most_free(need) {
                self.place(&capacity.name.clone(), &need.name);
                return true;
            }
        }
        false
    }

    /// Gives up a copy of a model in low demand for one in high demand.
    fn swap_replica(&mut self) -> bool {
        let hottest = self.needs.iter().max_by(|one, other| {
            let demand = self.demand_per_replica(one);
            demand.total_cmp(&self.demand_per_replica(other))
        });
        let Some(hot) = hottest else { return false };
        let limit = self.demand_per_replica(hot) / SWAP_FACTOR;
        if self.demand_per_replica(hot) < self.swap_demand {
            return false;
        }
        let mut best: Option<(f64, String, String)> = None;
        for capacity in self.capacities {
            if capacity.group != hot.group
                || self.holds(&capacity.name, &hot.name)
            {
                continue;
            }
            for model in self.planned(&capacity.name) {
                let Some(cold) = self.need(model) else { continue };
                let freed_mb = self.free_mb(capacity) + cold.size_mb;
                let after = self.demand_after_loss(cold);
                let allowed =
                    1 < self.replicas(model) && hot.size_mb <= freed_mb;
                let better =
                    best.as_ref().is_none_or(|(least, ..)| after < *least);
                if allowed && after < limit && better {
                    best = Some((after, capacity.name.clone(), model.clone()));
                }
            }
        }
        let Some((_, runner, cold)) = best else { return false };
        let hot = hot.name.clone();
        self.remove(&runner, &cold);
        self.place(&runner, &hot);
        true
    }

    /// Finds a runner and the further copies there that a model without one
    /// could take the place of, those in least demand first.
    fn make_room(&self, need: &ModelNeed) -> Option<(String, Vec<String>)> {
        let mut best: Option<(f64, String, Vec<String>)> = None;
        for capacity in self
            .capacities
            .iter()
            .filter(|capacity| capacity.group == need.group)
        {
            let mut surplus: Vec<&ModelNeed> = self
                .planned(&capacity.name)
                .iter()
                .filter(|model| 1 < self.replicas(model))
                .filter_map(|model| self.need(model))
                .collect();
            surplus.sort_by(|one, other| {
                let demand = self.demand_after_loss(one);
                demand.total_cmp(&self.demand_after_loss(other))
            });
            let mut free_mb = self.free_mb(capacity);
            let mut lost_demand = 0.0;
            let mut evicted = Vec::new();
            for model in surplus {
                if need.size_mb <= free_mb {
                    break;
                }
                free_mb += model.size_mb;
                lost_demand += self.demand_after_loss(model);
                evicted.push(model.name.clone());
            }
            let better =
                best.as_ref().is_none_or(|(least, ..)| lost_demand < *least);
            if need.size_mb <= free_mb && better {
                best = Some((lost_demand, capacity.name.clone(), evicted));
            }
        }
        best.map(|(_, runner, evicted)| (runner, evicted))
    }

    /// The runner with the most room that could take a further copy.
    fn most_free(&self, need: &ModelNeed) -> Option<&RunnerCapacity> {
        self.capacities
            .iter()
            .filter(|capacity| capacity.group == need.group)
            .filter(|capacity| !self.holds(&capacity.name, &need.name))
            .filter(|capacity| need.size_mb <= self.free_mb(capacity))
            .min_by_key(|capacity| std::cmp::Reverse(self.free_mb(capacity)))
    }

    fn need(&self, model: &str) -> Option<&ModelNeed> {
        let needs = self.needs;
        let index =
            needs.binary_search_by(|need| need.name.as_str().cmp(model));
        Some(&needs[index.ok()?])
    }

    fn planned(&self, runner: &str) -> &[String] {
        self.plan.targets.get(runner).map_or(&[], Vec::as_slice)
    }

    fn holds(&self, runner: &str, model: &str) -> bool {
        let planned = self.planned(runner);
        planned.binary_search_by(|held| held.as_str().cmp(model)).is_ok()
    }

    fn replicas(&self, model: &str) -> usize {
        self.replicas.get(model).copied().unwrap_or(0)
    }

    fn free_mb(&self, capacity: &RunnerCapacity) -> u64 {
        let used_mb = self.used_mb.get(&capacity.name).copied().unwrap_or(0);
        capacity.memory_mb.saturating_sub(used_mb)
    }

    fn demand_per_replica(&self, need: &ModelNeed) -> f64 {
        need.demand as f64 / self.replicas(&need.name).max(1) as f64
    }

    fn demand_after_loss(&self, need: &ModelNeed) -> f64 {
        let left = self.replicas(&need.name).saturating_sub(1).max(1);
        need.demand as f64 / left as f64
    }

    fn place(&mut self, runner: &str, model: &str) {
        let size_mb = self.need(model).map_or(0, |need| need.size_mb);
        let held = self.plan.targets.entry(runner.to_owned(), Vec::new);
        if let Err(index) = held.binary_search_by(|m| m.as_str().cmp(model)) {
            held.insert(index, model.to_owned());
            *self.replicas.entry(model.to_owned(), || 0) += 1;
            *self.used_mb.entry(runner.to_owned(), || 0) += size_mb;
        }
    }

    fn remove(&mut self, runner: &str, model: &str) {
        let size_mb = self.need(model).map_or(0, |need| need.size_mb);
        let Some(held) = self.plan.targets.get_mut(runner) else { return };
        if let Ok(index) = held.binary_search_by(|m| m.as_str().cmp(model)) {
            held.remove(index);
            *self.replicas.entry(model.to_owned(), || 0) -= 1;
            *self.used_mb.entry(runner.to_owned(), || 0) -= size_mb;
        }
    }
}
