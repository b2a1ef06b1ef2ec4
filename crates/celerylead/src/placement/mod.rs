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
//! [`RunnerShelf`] is what it knows of a runner and of the order under way
//! there, a [`FleetPlan`] what it wants, an [`AdapterBook`] which adapters
//! are missing, a [`UseTable`] what calls use, and a [`LoadAllowance`] bounds
//! the loads from the weight store over all runners; a [`HeldTelling`] is
//! what the other hosts are told of it.

mod adapters;
mod demand;
mod fleet;
mod loads;
mod order;
mod plan;
mod shelf;
mod shelves;
mod telling;
mod uses;

#[cfg(test)]
mod tests;

pub use self::{
    adapters::{AdapterBook, AdapterMove, AdapterStep},
    demand::{DemandMeter, ModelDemand},
    fleet::{FleetPlan, ModelStep, ServicePlan},
    loads::{LoadAllowance, LoadFate, LoadSource},
    order::{OrderDraft, OwnedRunner},
    plan::{ModelNeed, PlacementPlan, PlanPace, RunnerRoom, next_plan},
    shelf::{Doubtful, Idle, OrderTry, Ordered, RunnerShelf, Unread},
    shelves::{OrderEnd, OrderStep, ShelfTable},
    telling::{HeldHearing, HeldList, HeldTelling, HeldWord},
    uses::UseTable,
};
