//! Which runner gets a call, and whether it may be sent again.
//!
//! A host passes calls on to the runners of a service. The [`RelayTable`]
//! holds what it knows of each: what the roster says, its own calls in
//! flight, what other hosts tell of theirs, how fast the runner answered and
//! how often it failed. From these it expects a time for each candidate and
//! takes the least. Nothing here reads a clock or a socket.
//!
//! * A runner that leaves, or doesn't hold the model, is never a candidate.
//! * A runner that fails is used less the more it fails compared with the
//!   others of its service, and not at all for a while after several
//!   failures in a row, unless no other is left.
//! * Sending a call a second time draws on a budget.

mod backend;
mod call;
mod table;
#[cfg(test)]
mod tests;

pub use self::{
    backend::CallEnd,
    call::{CallHead, CallRequirements, PromptPart},
    table::{
        CandidateLoad, LoadBasis, PickFault, RelayChoice, RelayTable,
        RunnerView,
    },
};
