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

mod demand;
mod order;
mod plan;

#[cfg(test)]
mod tests;

pub use self::{
    demand::{DemandMeter, ModelDemand},
    order::{OrderDraft, OwnedRunner},
    plan::{ModelNeed, PlacementPlan, RunnerRoom, next_plan},
};
