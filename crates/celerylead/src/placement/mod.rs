//! Placement: which model is resident on which runner.
//!
//! In each zone, one host plans for the zone from the demand that all hosts of
//! the zone report. The plan is a row of the table service, and the owner of
//! each runner carries it out. The planner follows these rules, in this order:
//!
//! 1. Each model has a replica in the zone if memory allows. Models that no
//!    other zone has go first.
//! 2. Remaining memory goes to the models with the highest demand per replica.
//! 3. A replica is evicted for another model only if the other model's demand
//!    per replica is several times as high. The last replica of a model is
//!    never evicted.
//!
//! A plan changes in small steps, so that the number of loads stays within
//! what the weight store allows.
//!
//! Behind a platform adapter, one host plans for all zones and sends all
//! orders: the holder of the orders lease, called the lease holder. A
//! [`ManagedRunner`] is its record of a runner and of the order in progress
//! there, a [`FleetPlan`] is the desired placement, an [`AdapterPlanner`]
//! decides which adapters to load and unload, and a [`UseTable`] records which
//! models and adapters calls use. A [`LoadLimiter`] bounds the loads from the
//! weight store over all runners, and a [`ResidencyBroadcast`] tells the other
//! hosts what the runners hold.

mod adapters;
mod broadcast;
mod demand;
mod fleet;
mod loads;
mod managed;
mod order;
mod plan;
mod reach;
mod table;
mod uses;

#[cfg(test)]
mod tests;

pub use self::{
    adapters::{AdapterAction, AdapterPlanner, AdapterStep},
    broadcast::{
        BroadcastFanout, ResidencyBroadcast, ResidencyList, SequenceStatus,
        SequenceTracker,
    },
    demand::{DemandMeter, ModelDemand},
    fleet::{FleetPlan, ModelStep, ServicePlan},
    loads::{LoadHistory, LoadLimiter, LoadOutcome, LoadSource},
    managed::{
        Idle, ManagedRunner, NeedsReport, OrderAttempt, Pending, Unanswered,
    },
    order::{OrderDraft, OwnedRunner},
    plan::{
        LastReplica, ModelNeed, PlacementPlan, PlanPace, ReplicaSpread,
        RunnerCapacity, next_plan,
    },
    reach::{MissingModel, ReachChange, ReachLog},
    table::{OrderStep, RunnerTable, SendOutcome, StateCounts},
    uses::UseTable,
};
