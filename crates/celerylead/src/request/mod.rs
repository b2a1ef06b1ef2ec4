//! Requests: their life cycle, their refusals and where they are sent.
//!
//! A request's state decides what may still be said about it. Before its
//! first byte goes to a backend server a refusal may say `not-run`, and the
//! request may go elsewhere. After it only an idempotent request may run
//! again, and a failure says `outcome-unknown`. The states are types, so a
//! retry of a sent request that isn't idempotent doesn't compile.

mod allowance;
mod budget;
mod life;
mod queue;
mod refusal;
mod route;

#[cfg(test)]
mod tests;

pub use self::{
    allowance::RetryWindow,
    budget::{RetryBudget, backoff},
    life::{
        Admitted, Answered, Received, RejectionProof, Request, RequestId,
        Sent, UnsentProof,
    },
    queue::FairQueue,
    refusal::{Refusal, RefusalCode, RunOutcome},
    route::{RouteChoice, RouteQuery, RouteReason, RouteTable, RunResult},
};
