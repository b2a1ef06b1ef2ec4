//! Requests: life cycle, refusals, retries, queueing and routing.
//!
//! The state of a request decides which outcome a refusal may report. Before
//! the first byte is written to a backend server, a refusal may report
//! `not-run`, and the request may be sent to another server. Afterwards,
//! unless the server provably rejected the request, a failure reports
//! `outcome-unknown`, and only an idempotent request may run again. The
//! states are types, so code that sends a request again without checking
//! that it is idempotent doesn't compile.

pub mod admission;
mod allowance;
mod budget;
mod life;
mod queue;
mod refusal;
mod retry_claim;
mod retry_ledger;
mod route;
mod scheduling;

#[cfg(test)]
mod tests;

pub use self::{
    allowance::{RetryWindow, WindowCounts, WindowSlice},
    budget::{RetryBudget, backoff},
    life::{
        Admitted, Answered, Received, RejectionProof, Request, RequestId,
        Sent, UnsentProof,
    },
    queue::FairQueue,
    refusal::{Refusal, RefusalCode, RunOutcome},
    retry_claim::RetryClaim,
    retry_ledger::{
        Granting, RetryAllowance, RetryBasis, RetryDenial, RetryGrant,
        RetryLedger, Withheld,
    },
    route::{RouteChoice, RouteQuery, RouteReason, RouteTable, RunResult},
    scheduling::CallScheduling,
};
