//! Backend servers: their life cycle, their reports and their memory ledger.
//!
//! A runner is [`Joining`] until it has reported, [`Serving`] while it takes
//! new work, and [`Leaving`] once it is drained or removed from the settings.
//! Routing accepts only `Serving` runners, which the type system enforces.

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
