//! The placement plan of a zone.

use serde::{Deserialize, Serialize};

use crate::sorted::SortedTable;

/// Factor by which a model's demand per replica has to exceed the demand per
/// replica that the evicted model has afterwards.
const SWAP_FACTOR: f64 = 3.0;
/// Demand per replica at which a model gets a further replica, in tokens per
/// second.
const MIN_REPLICA_DEMAND: f64 = 1.0;

/// Weight of a model's demand if its last replica is at stake: its callers
/// would have to wait for a load, while those of other models only share.
const LAST_REPLICA_WEIGHT: f64 = 4.0;

/// What may happen to the last replica of a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LastReplica {
    /// It stays, so that a call of any model finds a replica.
    Stays,
    /// It may be evicted for a model that has no replica and is in much higher
    /// demand, but not for a further replica. A model without a replica is
    /// loaded once it is called.
    Yields,
}

/// How fast a plan follows demand.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PlanPace {
    /// Maximum number of replicas that one turn adds, not counting those that
    /// keep models reachable.
    pub changes: usize,
    /// Demand per replica at which a model may replace another model's
    /// replica, in tokens per second.
    pub swap_demand: f64,
    /// What may happen to the last replica of a model.
    pub last_replica: LastReplica,
}

impl PlanPace {
    /// Creates a pace of `changes` replicas per turn that applies to any
    /// demand and evicts no last replica.
    pub fn of_changes(changes: usize) -> PlanPace {
        PlanPace {
            changes,
            swap_demand: MIN_REPLICA_DEMAND,
            last_replica: LastReplica::Stays,
        }
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
    /// Runner name.
    pub name: String,
    /// Group of the runner.
    pub group: String,
    /// Memory of the runner, in MB.
    pub memory_mb: u64,
    /// Models that are resident now.
    pub resident: Vec<String>,
}

/// A model to plan for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelNeed {
    /// Model name.
    pub name: String,
    /// Group of the model.
    pub group: String,
    /// Memory of the model with its adapters, in MB.
    pub size_mb: u64,
    /// Demand in the zone, in tokens per second.
    pub demand: u64,
    /// Whether the plan of another zone has a replica.
    pub elsewhere: bool,
}

/// Returns the plan that follows `current` at the given pace. `needs` has to
/// be sorted by name.
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
/// let plan =
///     next_plan(&PlacementPlan::default(), &[capacity], &[need], pace);
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
        last_replica: pace.last_replica,
        plan: PlacementPlan::default(),
        replicas: SortedTable::default(),
        used_mb: SortedTable::default(),
    };
    draft.carry_over(current);
    draft.place_missing();
    let mut has_room = true;
    for _ in 0..pace.changes {
        // A swap leaves no room for a further replica.
        has_room = has_room && draft.add_replica();
        if !has_room && !draft.swap_replica() {
            break;
        }
    }
    draft.plan
}

struct PlanDraft<'a> {
    capacities: &'a [RunnerCapacity],
    needs: &'a [ModelNeed],
    swap_demand: f64,
    last_replica: LastReplica,
    plan: PlacementPlan,
    /// Planned replicas by model, and planned memory by runner in MB. Both are
    /// kept up to date rather than computed, as they are read far more often
    /// than they change.
    replicas: SortedTable<String, usize>,
    used_mb: SortedTable<String, u64>,
}

impl PlanDraft<'_> {
    /// Keeps the planned models, or the resident models of a runner without a
    /// plan, as far as the models still exist and fit into memory.
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

    /// Places a first replica of each model that has none.
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
            let is_idle = (need.demand as f64) < MIN_REPLICA_DEMAND;
            if is_idle && self.last_replica == LastReplica::Yields {
                continue;
            }
            if let Some((runner, evicted)) = self.make_room(need) {
                evicted.iter().for_each(|model| self.remove(&runner, model));
                self.place(&runner, &need.name);
            }
        }
    }

    /// Adds a replica of the model in highest demand that fits on a runner.
    fn add_replica(&mut self) -> bool {
        let largest_mb = self.capacities.iter();
        let largest_mb = largest_mb.map(|capacity| self.free_mb(capacity));
        let largest_mb = largest_mb.max().unwrap_or(0);
        let mut wanted: Vec<(f64, &ModelNeed)> = self
            .needs
            .iter()
            .filter(|need| need.size_mb <= largest_mb)
            .map(|need| (self.demand_per_replica(need), need))
            .filter(|(demand, _)| MIN_REPLICA_DEMAND <= *demand)
            .collect();
        wanted.sort_by(|(one, _), (other, _)| other.total_cmp(one));
        for (_, need) in wanted {
            if let Some(capacity) = self.most_free(need) {
                self.place(&capacity.name.clone(), &need.name);
                return true;
            }
        }
        false
    }

    /// Replaces a replica of a model in low demand by one of the model in
    /// highest demand.
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

    /// Finds a runner, and the replicas there to evict for a model that has no
    /// replica. Replicas with the least demand are evicted first: surplus ones,
    /// and last ones if they may yield to the demand for the model.
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
                .filter_map(|model| self.need(model))
                .filter(|other| {
                    let limit = need.demand as f64 / SWAP_FACTOR;
                    let yields = self.last_replica == LastReplica::Yields
                        && self.demand_after_loss(other) < limit;
                    1 < self.replicas(&other.name) || yields
                })
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

    /// Returns the runner with the most free memory that can take a further
    /// replica.
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

    /// Returns the models planned for a runner, sorted by name.
    fn planned(&self, runner: &str) -> &[String] {
        self.plan.targets.get(runner).map_or(&[], Vec::as_slice)
    }

    fn holds(&self, runner: &str, model: &str) -> bool {
        let planned = self.planned(runner);
        planned.binary_search_by(|name| name.as_str().cmp(model)).is_ok()
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

    /// Returns the demand per replica after the loss of one replica; if that is
    /// the last one, the whole demand, weighted.
    fn demand_after_loss(&self, need: &ModelNeed) -> f64 {
        match self.replicas(&need.name).saturating_sub(1) {
            0 => need.demand as f64 * LAST_REPLICA_WEIGHT,
            left => need.demand as f64 / left as f64,
        }
    }

    /// Plans a model on a runner and reserves the memory for it.
    fn place(&mut self, runner: &str, model: &str) {
        let size_mb = self.need(model).map_or(0, |need| need.size_mb);
        let planned = self.plan.targets.entry(runner.to_owned(), Vec::new);
        if let Err(index) = planned.binary_search_by(|m| m.as_str().cmp(model))
        {
            planned.insert(index, model.to_owned());
            *self.replicas.entry(model.to_owned(), || 0) += 1;
            *self.used_mb.entry(runner.to_owned(), || 0) += size_mb;
        }
    }

    /// Removes a model from the plan of a runner and frees its memory.
    fn remove(&mut self, runner: &str, model: &str) {
        let size_mb = self.need(model).map_or(0, |need| need.size_mb);
        let Some(planned) = self.plan.targets.get_mut(runner) else { return };
        if let Ok(index) = planned.binary_search_by(|m| m.as_str().cmp(model))
        {
            planned.remove(index);
            *self.replicas.entry(model.to_owned(), || 0) -= 1;
            *self.used_mb.entry(runner.to_owned(), || 0) -= size_mb;
        }
    }
}
