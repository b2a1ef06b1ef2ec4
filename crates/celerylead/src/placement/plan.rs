//! The plan of a zone.

use serde::{Deserialize, Serialize};

use crate::sorted::SortedTable;

/// How many times the demand for each copy of another model has to be that
/// of a copy that is given up.
const SWAP_FACTOR: f64 = 3.0;
/// Demand for each copy from which a model gets a further one, in tokens a
/// second.
const COPY_DEMAND: f64 = 1.0;

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
        PlanPace { changes, swap_demand: COPY_DEMAND }
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
pub struct RunnerRoom {
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
///     ModelNeed, PlacementPlan, PlanPace, RunnerRoom, next_plan,
/// };
///
/// let room = RunnerRoom {
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
/// let plan = next_plan(&PlacementPlan::default(), &[room], &[need], pace);
/// assert_eq!(plan.targets.get("r-1").unwrap(), &["outline"]);
/// ```
pub fn next_plan(
    current: &PlacementPlan,
    rooms: &[RunnerRoom],
    needs: &[ModelNeed],
    pace: PlanPace,
) -> PlacementPlan {
    let mut draft = PlanDraft {
        rooms,
        needs,
        swap_demand: pace.swap_demand,
        plan: PlacementPlan::default(),
        copies: SortedTable::default(),
        used: SortedTable::default(),
    };
    draft.carry_over(current);
    draft.reach_all();
    for _ in 0..pace.changes {
        if !draft.add_copy() && !draft.swap_copy() {
            break;
        }
    }
    draft.plan
}

struct PlanDraft<'a> {
    rooms: &'a [RunnerRoom],
    needs: &'a [ModelNeed],
    swap_demand: f64,
    plan: PlacementPlan,
    /// Copies planned by model, and memory planned by runner in MB: counted
    /// along, since they are asked for far more often than they change.
    copies: SortedTable<String, usize>,
    used: SortedTable<String, u64>,
}

impl PlanDraft<'_> {
    /// Keeps what is planned, and for a runner without a plan what is
    /// resident, as far as models and memory are still there.
    fn carry_over(&mut self, current: &PlacementPlan) {
        for room in self.rooms {
            let planned = current.targets.get(&room.name);
            let wanted = planned.unwrap_or(&room.resident).clone();
            self.plan.targets.insert(room.name.clone(), Vec::new());
            for model in wanted {
                let Some(need) = self.need(&model) else { continue };
                if need.group == room.group && need.size_mb <= self.free(room)
                {
                    self.place(&room.name, &model);
                }
            }
        }
    }

    /// Gives each model without a copy its first one.
    fn reach_all(&mut self) {
        let mut missing: Vec<&ModelNeed> = self
            .needs
            .iter()
            .filter(|need| self.copies(&need.name) == 0)
            .collect();
        missing.sort_by_key(|need| {
            (need.elsewhere, std::cmp::Reverse((need.size_mb, need.demand)))
        });
        for need in missing {
            if let Some(room) = self.roomiest(need) {
                self.place(&room.name.clone(), &need.name);
                continue;
            }
            if let Some((runner, given_up)) = self.make_room(need) {
                given_up.iter().for_each(|model| self.drop(&runner, model));
                self.place(&runner, &need.name);
            }
        }
    }

    /// Adds a copy of the model in highest demand, where there is room.
    fn add_copy(&mut self) -> bool {
        let mut wanted: Vec<&ModelNeed> = self
            .needs
            .iter()
            .filter(|need| COPY_DEMAND <= self.demand_per_copy(need))
            .collect();
        wanted.sort_by(|one, other| {
            let demand = self.demand_per_copy(other);
            demand.total_cmp(&self.demand_per_copy(one))
        });
        for need in wanted {
            if let Some(room) = self.roomiest(need) {
                self.place(&room.name.clone(), &need.name);
                return true;
            }
        }
        false
    }

    /// Gives up a copy of a model in low demand for one in high demand.
    fn swap_copy(&mut self) -> bool {
        let hottest = self.needs.iter().max_by(|one, other| {
            let demand = self.demand_per_copy(one);
            demand.total_cmp(&self.demand_per_copy(other))
        });
        let Some(hot) = hottest else { return false };
        let limit = self.demand_per_copy(hot) / SWAP_FACTOR;
        if self.demand_per_copy(hot) < self.swap_demand {
            return false;
        }
        let mut best: Option<(f64, String, String)> = None;
        for room in self.rooms {
            if room.group != hot.group || self.holds(&room.name, &hot.name) {
                continue;
            }
            for model in self.planned(&room.name) {
                let Some(cold) = self.need(model) else { continue };
                let spare = self.free(room) + cold.size_mb;
                let after = self.demand_after_loss(cold);
                let allowed = 1 < self.copies(model) && hot.size_mb <= spare;
                let better =
                    best.as_ref().is_none_or(|(least, ..)| after < *least);
                if allowed && after < limit && better {
                    best = Some((after, room.name.clone(), model.clone()));
                }
            }
        }
        let Some((_, runner, cold)) = best else { return false };
        let hot = hot.name.clone();
        self.drop(&runner, &cold);
        self.place(&runner, &hot);
        true
    }

    /// Finds a runner and the further copies there that a model without one
    /// could take the place of, those in least demand first.
    fn make_room(&self, need: &ModelNeed) -> Option<(String, Vec<String>)> {
        let mut best: Option<(f64, String, Vec<String>)> = None;
        for room in self.rooms.iter().filter(|room| room.group == need.group) {
            let mut spare: Vec<&ModelNeed> = self
                .planned(&room.name)
                .iter()
                .filter(|model| 1 < self.copies(model))
                .filter_map(|model| self.need(model))
                .collect();
            spare.sort_by(|one, other| {
                let demand = self.demand_after_loss(one);
                demand.total_cmp(&self.demand_after_loss(other))
            });
            let mut free = self.free(room);
            let mut lost = 0.0;
            let mut given_up = Vec::new();
            for model in spare {
                if need.size_mb <= free {
                    break;
                }
                free += model.size_mb;
                lost += self.demand_after_loss(model);
                given_up.push(model.name.clone());
            }
            let better = best.as_ref().is_none_or(|(least, ..)| lost < *least);
            if need.size_mb <= free && better {
                best = Some((lost, room.name.clone(), given_up));
            }
        }
        best.map(|(_, runner, given_up)| (runner, given_up))
    }

    /// The runner with the most room that could take a further copy.
    fn roomiest(&self, need: &ModelNeed) -> Option<&RunnerRoom> {
        self.rooms
            .iter()
            .filter(|room| room.group == need.group)
            .filter(|room| !self.holds(&room.name, &need.name))
            .filter(|room| need.size_mb <= self.free(room))
            .min_by_key(|room| std::cmp::Reverse(self.free(room)))
    }

    fn need(&self, model: &str) -> Option<&ModelNeed> {
        let needs = self.needs;
        let place =
            needs.binary_search_by(|need| need.name.as_str().cmp(model));
        Some(&needs[place.ok()?])
    }

    fn planned(&self, runner: &str) -> &[String] {
        self.plan.targets.get(runner).map_or(&[], Vec::as_slice)
    }

    fn holds(&self, runner: &str, model: &str) -> bool {
        let planned = self.planned(runner);
        planned.binary_search_by(|held| held.as_str().cmp(model)).is_ok()
    }

    fn copies(&self, model: &str) -> usize {
        self.copies.get(model).copied().unwrap_or(0)
    }

    fn free(&self, room: &RunnerRoom) -> u64 {
        let used = self.used.get(&room.name).copied().unwrap_or(0);
        room.memory_mb.saturating_sub(used)
    }

    fn demand_per_copy(&self, need: &ModelNeed) -> f64 {
        need.demand as f64 / self.copies(&need.name).max(1) as f64
    }

    fn demand_after_loss(&self, need: &ModelNeed) -> f64 {
        let left = self.copies(&need.name).saturating_sub(1).max(1);
        need.demand as f64 / left as f64
    }

    fn place(&mut self, runner: &str, model: &str) {
        let size = self.need(model).map_or(0, |need| need.size_mb);
        let held = self.plan.targets.entry(runner.to_owned(), Vec::new);
        if let Err(place) = held.binary_search_by(|m| m.as_str().cmp(model)) {
            held.insert(place, model.to_owned());
            *self.copies.entry(model.to_owned(), || 0) += 1;
            *self.used.entry(runner.to_owned(), || 0) += size;
        }
    }

    fn drop(&mut self, runner: &str, model: &str) {
        let size = self.need(model).map_or(0, |need| need.size_mb);
        let Some(held) = self.plan.targets.get_mut(runner) else { return };
        if let Ok(place) = held.binary_search_by(|m| m.as_str().cmp(model)) {
            held.remove(place);
            *self.copies.entry(model.to_owned(), || 0) -= 1;
            *self.used.entry(runner.to_owned(), || 0) -= size;
        }
    }
}
