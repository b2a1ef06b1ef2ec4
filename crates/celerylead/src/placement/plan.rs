//! The placement plan of a zone.

use serde::{Deserialize, Serialize};

use crate::sorted::SortedTable;

/// Factor by which a model's demand per replica has to exceed the demand per
/// replica that the evicted model has afterwards.
const SWAP_FACTOR: f64 = 3.0;
/// The same factor for a plan that spreads replicas by load: at 3, the replicas
/// of one model may be three times as busy as those of another.
const BALANCED_SWAP_FACTOR: f64 = 1.5;
/// Factor by which the gain of a swap has to exceed its cost: demand fluctuates,
/// and each swap loads weights.
const BALANCE_GAIN: f64 = 1.25;
/// Number of busiest runners, and of models in highest demand on each, that such
/// a plan tries to relieve in a turn: some replicas can't be placed anywhere.
const BUSIEST_RUNNERS: usize = 8;
const BUSIEST_MODELS: usize = 2;
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

/// Where a further replica of a model goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaSpread {
    /// To the runner with the most free memory, or in the place of the replica
    /// in least demand.
    ByMemory,
    /// To the runner whose planned models are in the least demand together, so
    /// that models in high demand don't share a runner.
    ByLoad,
}

impl ReplicaSpread {
    /// Returns the factor by which a model's demand per replica has to exceed
    /// the demand per replica that the evicted model has afterwards.
    fn swap_factor(self) -> f64 {
        match self {
            ReplicaSpread::ByMemory => SWAP_FACTOR,
            ReplicaSpread::ByLoad => BALANCED_SWAP_FACTOR,
        }
    }
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
    /// Where further replicas go.
    pub spread: ReplicaSpread,
}

impl PlanPace {
    /// Creates a pace of `changes` replicas per turn that applies to any
    /// demand and evicts no last replica.
    pub fn of_changes(changes: usize) -> PlanPace {
        PlanPace {
            changes,
            swap_demand: MIN_REPLICA_DEMAND,
            last_replica: LastReplica::Stays,
            spread: ReplicaSpread::ByMemory,
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
        spread: pace.spread,
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

/// The replacement of one replica by another on a runner.
struct ReplicaSwap {
    runner: String,
    evicted: String,
    placed: String,
}

struct PlanDraft<'a> {
    capacities: &'a [RunnerCapacity],
    needs: &'a [ModelNeed],
    swap_demand: f64,
    last_replica: LastReplica,
    spread: ReplicaSpread,
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
            let capacity = match self.spread {
                ReplicaSpread::ByMemory => self.most_free(need),
                ReplicaSpread::ByLoad => self.least_loaded(need),
            };
            if let Some(capacity) = capacity {
                self.place(&capacity.name.clone(), &need.name);
                return true;
            }
        }
        false
    }

    /// Replaces a replica of a model in low demand by one of a model in high
    /// demand.
    fn swap_replica(&mut self) -> bool {
        let swaps = match self.spread {
            ReplicaSpread::ByMemory => {
                self.relieve_hottest_model().into_iter().collect()
            }
            ReplicaSpread::ByLoad => self.relieve_busiest_runner(),
        };
        for swap in &swaps {
            self.remove(&swap.runner, &swap.evicted);
        }
        for swap in &swaps {
            self.place(&swap.runner, &swap.placed);
        }
        !swaps.is_empty()
    }

    /// Returns a swap that widens the model in highest demand per replica.
    fn relieve_hottest_model(&self) -> Option<ReplicaSwap> {
        let hot = self.needs.iter().max_by(|one, other| {
            let demand = self.demand_per_replica(one);
            demand.total_cmp(&self.demand_per_replica(other))
        })?;
        let demand = self.demand_per_replica(hot);
        if demand < self.swap_demand {
            return None;
        }
        let limit = demand / self.spread.swap_factor();
        self.cheapest_swap(hot, limit).map(|(_, swap)| swap)
    }

    /// Returns the swaps that take load off one of the busiest runners: a further
    /// replica of one of its models elsewhere, or the exchange of such a model
    /// for one in less demand. The other runner stays below the load of the busy
    /// one.
    fn relieve_busiest_runner(&self) -> Vec<ReplicaSwap> {
        let names = self.capacities.iter().map(|capacity| &capacity.name);
        let mut busiest: Vec<(f64, &String)> =
            names.map(|name| (self.load(name), name)).collect();
        busiest.sort_by(|(one, _), (other, _)| other.total_cmp(one));
        busiest.truncate(BUSIEST_RUNNERS);
        busiest.retain(|(load, _)| self.swap_demand <= *load);
        for (load, runner) in busiest {
            let models = self.planned(runner).iter();
            let mut models: Vec<(f64, &ModelNeed)> = models
                .filter_map(|model| self.need(model))
                .map(|need| (self.demand_per_replica(need), need))
                .collect();
            models.sort_by(|(one, _), (other, _)| other.total_cmp(one));
            for (demand, hot) in models.into_iter().take(BUSIEST_MODELS) {
                let limit = demand / self.spread.swap_factor();
                let relief = 2.0 * load * self.share_of_next(hot);
                let swap = self.cheapest_swap(hot, limit);
                if let Some((cost, swap)) = swap
                    && cost * BALANCE_GAIN < relief
                {
                    return vec![swap];
                }
                let swaps = self.exchange(runner, load, hot);
                if !swaps.is_empty() {
                    return swaps;
                }
            }
        }
        Vec::new()
    }

    /// Returns the swaps that exchange a model of a busy runner for one in less
    /// demand on the least loaded runner that has one. Both models have as many
    /// replicas afterwards as before.
    fn exchange(
        &self,
        busy: &str,
        busy_load: f64,
        hot: &ModelNeed,
    ) -> Vec<ReplicaSwap> {
        let share = self.demand_per_replica(hot);
        let mut best: Option<(f64, &str, &ModelNeed)> = None;
        for capacity in self.capacities {
            let free_mb = self.free_mb(capacity);
            if capacity.group != hot.group
                || self.holds(&capacity.name, &hot.name)
            {
                continue;
            }
            let load = self.load(&capacity.name);
            for model in self.planned(&capacity.name) {
                let Some(cold) = self.need(model) else { continue };
                let fits = cold.size_mb <= hot.size_mb
                    && hot.size_mb <= free_mb + cold.size_mb;
                let gained = share - self.demand_per_replica(cold);
                let highest = (load + gained).max(busy_load - gained);
                let better =
                    best.as_ref().is_none_or(|(least, ..)| highest < *least);
                if fits && better && !self.holds(busy, model) {
                    best = Some((highest, &capacity.name, cold));
                }
            }
        }
        let Some((highest, runner, cold)) = best else { return Vec::new() };
        if busy_load <= highest * BALANCE_GAIN {
            return Vec::new();
        }
        let swap = |runner: &str, evicted: &ModelNeed, placed: &ModelNeed| {
            ReplicaSwap {
                runner: runner.to_owned(),
                evicted: evicted.name.clone(),
                placed: placed.name.clone(),
            }
        };
        vec![swap(busy, hot, cold), swap(runner, cold, hot)]
    }

    /// Returns the best place for a further replica of a model, where the demand
    /// per replica of the evicted model stays below `limit`, with its cost. In a
    /// plan that spreads replicas by load, that is the change in the sum of the
    /// squares of all loads, without the relief of the model's other runners; the
    /// other runners of the evicted model count as loaded like this one.
    fn cheapest_swap(
        &self,
        hot: &ModelNeed,
        limit: f64,
    ) -> Option<(f64, ReplicaSwap)> {
        let share = self.share_of_next(hot);
        let mut best: Option<(f64, &str, &str)> = None;
        for capacity in self.capacities {
            if capacity.group != hot.group
                || self.holds(&capacity.name, &hot.name)
            {
                continue;
            }
            let load = self.load(&capacity.name);
            for model in self.planned(&capacity.name) {
                let Some(cold) = self.need(model) else { continue };
                let freed_mb = self.free_mb(capacity) + cold.size_mb;
                let after = self.demand_after_loss(cold);
                let allowed = 1 < self.replicas(model)
                    && hot.size_mb <= freed_mb
                    && after < limit;
                let cost = match self.spread {
                    ReplicaSpread::ByMemory => after,
                    ReplicaSpread::ByLoad => {
                        let moved = self.demand_per_replica(cold);
                        let loaded = load - moved + share;
                        loaded * loaded - load * load + 2.0 * load * moved
                    }
                };
                let better =
                    best.as_ref().is_none_or(|(least, ..)| cost < *least);
                if allowed && better {
                    best = Some((cost, &capacity.name, model));
                }
            }
        }
        best.map(|(cost, runner, cold)| {
            let swap = ReplicaSwap {
                runner: runner.to_owned(),
                evicted: cold.to_owned(),
                placed: hot.name.clone(),
            };
            (cost, swap)
        })
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
                    let limit = need.demand as f64 / self.spread.swap_factor();
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

    /// Returns the runner that can take a further replica and whose planned
    /// models are in the least demand together.
    fn least_loaded(&self, need: &ModelNeed) -> Option<&RunnerCapacity> {
        self.capacities
            .iter()
            .filter(|capacity| capacity.group == need.group)
            .filter(|capacity| !self.holds(&capacity.name, &need.name))
            .filter(|capacity| need.size_mb <= self.free_mb(capacity))
            .map(|capacity| (self.load(&capacity.name), capacity))
            .min_by(|(one, _), (other, _)| one.total_cmp(other))
            .map(|(_, capacity)| capacity)
    }

    /// Returns the demand for a model that a further replica of it would get.
    fn share_of_next(&self, need: &ModelNeed) -> f64 {
        need.demand as f64 / (self.replicas(&need.name) + 1) as f64
    }

    /// Returns the demand that the planned models bring to a runner.
    fn load(&self, runner: &str) -> f64 {
        let needs = self.planned(runner).iter();
        let needs = needs.filter_map(|model| self.need(model));
        needs.map(|need| self.demand_per_replica(need)).sum()
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
