//! Backend servers: their life cycle and what they report.
//!
//! A runner is `Joining` until it has reported, `Serving` while it takes new
//! work, and `Leaving` once it is drained or gone from the settings. Routing
//! sees only `Serving` runners, by type.

mod ledger;
mod life;

#[cfg(test)]
mod tests;

pub use self::{
    ledger::{
        ORDER_QUARANTINE, OrderKind, ReadReport, RunnerLedger, RunnerOrder,
    },
    life::{Joining, Leaving, Runner, RunnerReport, RunnerSpeed, Serving},
};
