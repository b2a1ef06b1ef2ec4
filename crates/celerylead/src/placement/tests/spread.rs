//! Plans of fleets in which models are scarce: little memory is left beside one
//! replica of each.

use crate::placement::{
    LastReplica, ModelNeed, PlacementPlan, PlanPace, ReplicaSpread,
    RunnerCapacity, next_plan,
};

const MODEL_MB: u64 = 70;
const RUNNER_MB: u64 = 220;
const RUNNERS: usize = 28;
const MODELS: usize = 60;
/// Turns in which a plan has to settle: the shift of demand that it follows takes
/// eight seconds, and a turn 400 ms.
const TURNS: usize = 20;

/// Returns the plan for demand by index of the model, as it is after some turns
/// from a plan in which each runner holds the next three models.
fn settled(spread: ReplicaSpread, demand: &[u64]) -> PlacementPlan {
    let capacities: Vec<RunnerCapacity> = (0..RUNNERS)
        .map(|index| RunnerCapacity {
            name: format!("r{index:02}"),
            group: "g".to_owned(),
            memory_mb: RUNNER_MB,
            resident: (0..3)
                .map(|place| model((3 * index + place) % MODELS))
                .collect(),
        })
        .collect();
    let needs: Vec<ModelNeed> = (0..MODELS)
        .map(|index| ModelNeed {
            name: model(index),
            group: "g".to_owned(),
            size_mb: MODEL_MB,
            demand: demand.get(index).copied().unwrap_or(20),
            elsewhere: false,
        })
        .collect();
    let pace = PlanPace {
        changes: 6,
        swap_demand: 40.0,
        last_replica: LastReplica::Yields,
        spread,
    };
    let mut plan = PlacementPlan::default();
    for _ in 0..TURNS {
        plan = next_plan(&plan, &capacities, &needs, pace);
    }
    plan
}

fn model(index: usize) -> String {
    format!("m{index:02}")
}

/// Returns the load of the busiest runner as a multiple of the mean, if the
/// demand for a model spreads evenly over its replicas.
fn busiest(plan: &PlacementPlan, demand: &[u64]) -> f64 {
    let of_model = |name: &String| {
        let index: usize = name[1..].parse().unwrap();
        let holders = plan.targets.values();
        let holders = holders.filter(|models| models.contains(name)).count();
        demand.get(index).copied().unwrap_or(20) as f64 / holders as f64
    };
    let loads = plan.targets.values();
    let loads = loads.map(|models| models.iter().map(of_model).sum::<f64>());
    let loads: Vec<f64> = loads.collect();
    let mean = loads.iter().sum::<f64>() / loads.len() as f64;
    loads.iter().copied().fold(0.0, f64::max) / mean
}

/// Guards against late calls at few runners while others idle: the replicas of
/// models in high demand met on the same runners.
#[test]
fn the_busiest_runner_stays_near_the_mean() {
    struct Case {
        /// The load that the plan answers.
        name: &'static str,
        /// Demand of the first models; the others have 20 each.
        demand: Vec<u64>,
        /// Highest load of a runner, as a multiple of the mean: calls are late
        /// from two thirds of a runner's slots on, and the fleet is half full.
        most: f64,
    }
    let falling = |first: u64, count: u64| {
        (1..=count).map(|rank| first / rank).collect::<Vec<u64>>()
    };
    let mut neighbours = vec![20; 30];
    for index in [3, 4, 5, 6, 7, 8] {
        neighbours[index] = 400;
    }
    let mut single = vec![20; MODELS];
    single[17] = 900;
    let cases = [
        Case {
            name: "demand that falls with the rank of the model",
            demand: falling(900, 40),
            most: 1.5,
        },
        Case {
            name: "models in high demand beside each other",
            demand: neighbours,
            most: 1.5,
        },
        Case { name: "flash crowd on one model", demand: single, most: 1.5 },
    ];
    for Case { name, demand, most } in cases {
        let plan = settled(ReplicaSpread::ByLoad, &demand);
        let held: Vec<&String> = plan.targets.values().flatten().collect();
        let missing = (0..MODELS).filter(|m| !held.contains(&&model(*m)));
        assert_eq!(missing.count(), 0, "{name}: models without a replica");
        let load = busiest(&plan, &demand);
        let former = settled(ReplicaSpread::ByMemory, &demand);
        let former = busiest(&former, &demand);
        assert!(load <= most, "{name}: {load:.2}, by memory {former:.2}");
    }
}
