//! Placement: which model is resident on which runner.
//!
//! One host of a zone plans for the zone, from the demand that all its hosts
//! report. The plan is a row of the table service; the owner of each runner
//! carries it out. Rules, in order:
//!
//! 1. Each model has a copy in the zone, where memory allows; models that no
//!    other zone has go first.
//! 2. Room that is left goes to the models with the highest demand for each
//!    copy.
//! 3. A copy is given up for another model only where that one's demand for
//!    each copy is several times as high, and never a last copy.
//!
//! A plan changes a little at a time, so that loads stay within what the
//! weight store allows.
//!
//! Behind an adapter one host plans for all zones and gives all orders. A
//! [`ManagedRunner`] is what it knows of a runner and of the order under way
//! there, a [`FleetPlan`] what it wants, an [`AdapterPlanner`] which adapters
//! are missing, a [`UseTable`] what calls use, and a [`LoadLimiter`] bounds
//! the loads from the weight store over all runners; a [`ResidencyBroadcast`] is
//! what the other hosts are told of it.

mod adapters;
mod broadcast;
mod demand;
mod fleet;
mod loads;
mod managed;
mod order;
mod plan;
mod table;
mod uses;

#[cfg(test)]
mod tests;

pub use self::{
    adapters::{AdapterAction, AdapterPlanner, AdapterStep},
    broadcast::{
        ResidencyBroadcast, ResidencyList, SequenceStatus, SequenceTracker,
    },
    demand::{DemandMeter, ModelDemand},
    fleet::{FleetPlan, ModelStep, ServicePlan},
    loads::{LoadLimiter, LoadOutcome, LoadSource},
    managed::{
        Idle, ManagedRunner, NeedsReport, OrderAttempt, Pending, Unanswered,
    },
    order::{OrderDraft, OwnedRunner},
    plan::{ModelNeed, PlacementPlan, PlanPace, RunnerCapacity, next_plan},
    table::{OrderStep, RunnerTable, SendOutcome},
    uses::UseTable,
};
