mod adapters;
mod broadcast;
mod demand;
mod fleet;
mod loads;
mod managed;
mod reach;
mod spread;

use super::{
    LastReplica, ModelNeed, PlacementPlan, PlanPace, RunnerCapacity, next_plan,
};

struct PlanCase {
    name: &'static str,
    /// Memory of each runner in MB, and its resident models.
    capacities: &'static [(u64, &'static [&'static str])],
    /// Name, memory, demand, and whether another zone has a replica.
    needs: &'static [(&'static str, u64, u64, bool)],
    /// Planning turns before the plan is compared with `planned`, the models
    /// of each runner.
    turns: usize,
    planned: &'static [&'static [&'static str]],
}

#[test]
fn plans_reach_every_model_and_follow_demand() {
    let cases = [
        PlanCase {
            name: "each model has one replica, the largest placed first",
            capacities: &[(100, &[]), (100, &[])],
            needs: &[
                ("a", 60, 0, false),
                ("b", 60, 0, false),
                ("c", 40, 0, false),
            ],
            turns: 1,
            planned: &[&["a", "c"], &["b"]],
        },
        PlanCase {
            name: "remaining memory goes to models in demand",
            capacities: &[(100, &["a"]), (100, &["b"])],
            needs: &[("a", 50, 900, false), ("b", 50, 10, false)],
            turns: 2,
            planned: &[&["a", "b"], &["a", "b"]],
        },
        PlanCase {
            name: "a new model replaces a surplus replica",
            capacities: &[(100, &["a", "b"]), (100, &["a", "b"])],
            needs: &[
                ("a", 50, 90, false),
                ("b", 50, 10, false),
                ("c", 50, 0, false),
            ],
            turns: 1,
            planned: &[&["a", "c"], &["a", "b"]],
        },
        PlanCase {
            name: "the last replica is never evicted",
            capacities: &[(50, &["a"]), (50, &["b"])],
            needs: &[("a", 50, 0, false), ("b", 50, 9_000, false)],
            turns: 3,
            planned: &[&["a"], &["b"]],
        },
        PlanCase {
            name: "a small difference in demand evicts nothing",
            capacities: &[(50, &["a"]), (50, &["a"]), (50, &["b"])],
            needs: &[("a", 50, 100, false), ("b", 50, 150, false)],
            turns: 3,
            planned: &[&["a"], &["a"], &["b"]],
        },
        PlanCase {
            name: "a large difference in demand moves a replica",
            capacities: &[(50, &["a"]), (50, &["a"]), (50, &["b"])],
            needs: &[("a", 50, 100, false), ("b", 50, 900, false)],
            turns: 3,
            planned: &[&["b"], &["a"], &["b"]],
        },
        PlanCase {
            name: "models that no other zone has come first when not all fit",
            capacities: &[(50, &[])],
            needs: &[("a", 50, 900, true), ("b", 50, 0, false)],
            turns: 2,
            planned: &[&["b"]],
        },
    ];
    check(&cases, PlanPace::of_changes(1));
}

/// Pattern: more models than the runners hold, and demand that moves to models
/// without a replica.
#[test]
fn cold_models_share_the_runners_by_demand() {
    let cases = [
        PlanCase {
            name: "a model in demand replaces one that nobody calls",
            capacities: &[(50, &["a"]), (50, &["b"])],
            needs: &[
                ("a", 50, 0, false),
                ("b", 50, 400, false),
                ("c", 50, 40, false),
            ],
            turns: 3,
            planned: &[&["c"], &["b"]],
        },
        PlanCase {
            name: "models in similar demand don't turn each other out",
            capacities: &[(50, &["a"]), (50, &["b"])],
            needs: &[
                ("a", 50, 100, false),
                ("b", 50, 400, false),
                ("c", 50, 900, false),
            ],
            turns: 3,
            planned: &[&["a"], &["b"]],
        },
        PlanCase {
            name: "a model in far higher demand replaces one in little",
            capacities: &[(50, &["a"]), (50, &["b"])],
            needs: &[
                ("a", 50, 100, false),
                ("b", 50, 400, false),
                ("c", 50, 1_300, false),
            ],
            turns: 3,
            planned: &[&["c"], &["b"]],
        },
        PlanCase {
            name: "a model that nobody calls evicts no replica",
            capacities: &[(50, &["a"]), (50, &["a"])],
            needs: &[("a", 50, 100, false), ("b", 50, 0, false)],
            turns: 3,
            planned: &[&["a"], &["a"]],
        },
        PlanCase {
            name: "a hot model gets no second replica for a last one",
            capacities: &[(50, &["a"]), (50, &["b"])],
            needs: &[("a", 50, 0, false), ("b", 50, 9_000, false)],
            turns: 3,
            planned: &[&["a"], &["b"]],
        },
    ];
    let last_replica = LastReplica::Yields;
    check(&cases, PlanPace { last_replica, ..PlanPace::of_changes(1) });
}

fn check(cases: &[PlanCase], pace: PlanPace) {
    for case in cases {
        let capacities: Vec<RunnerCapacity> = case
            .capacities
            .iter()
            .enumerate()
            .map(|(index, (memory_mb, resident))| RunnerCapacity {
                name: format!("r{index}"),
                group: "g".to_owned(),
                memory_mb: *memory_mb,
                resident: resident.iter().map(|m| (*m).to_owned()).collect(),
            })
            .collect();
        let needs: Vec<ModelNeed> = case
            .needs
            .iter()
            .map(|(name, size_mb, demand, elsewhere)| ModelNeed {
                name: (*name).to_owned(),
                group: "g".to_owned(),
                size_mb: *size_mb,
                demand: *demand,
                elsewhere: *elsewhere,
            })
            .collect();
        let mut plan = PlacementPlan::default();
        for _ in 0..case.turns {
            plan = next_plan(&plan, &capacities, &needs, pace);
        }
        let planned: Vec<Vec<String>> =
            plan.targets.values().cloned().collect();
        assert_eq!(planned, case.planned, "{}", case.name);
    }
}
