//! Load balancing: the choice of a runner for each call.
//!
//! A host forwards calls to the runners of a service. The [`RelayTable`]
//! keeps the following about each runner: its roster entry, this host's
//! calls in flight, the calls in flight that other hosts report, the
//! latency, the failure rate, and how many calls the runner takes well. From
//! these the table estimates how long the call would take at each candidate and
//! how likely it is to be late, and chooses the candidate with the lowest cost.
//! Nothing in this module reads a clock or a socket.
//!
//! * A runner that is leaving, or that doesn't hold the model, is never a
//!   candidate. A runner may leave by the registry's word or by its own, in an
//!   answer; its own holds for as long as this start of it lives.
//! * A runner in an evacuated zone is no candidate until the evacuation is
//!   withdrawn.
//! * A runner that asked for a pause is no candidate until the pause ends.
//! * A runner that is cold gets calls only from its owner among the hosts, and
//!   few of them.
//! * A runner gets fewer calls the further its failure rate is above the mean
//!   of the candidates. After several consecutive broken or rejected calls, or
//!   one failure to connect, a runner is ejected: it gets no calls for a
//!   while, unless no other candidate is left. A runner that sends no response
//!   head for a while, although one is due, is treated as ejected.
//! * Sending a call a second time draws on a retry budget.

mod backend;
mod call;
mod candidate;
mod capacity;
mod choice;
mod cold;
mod cold_runners;
mod life;
mod notice;
mod pace;
mod selection;
mod table;
#[cfg(test)]
mod tests;
mod timing;

pub use self::{
    backend::CallEnd,
    call::{CallHead, CallProfile, CallRequirements, PromptPart},
    choice::{
        CandidateLoad, Headroom, LoadBasis, PickFault, RelayChoice,
        RunnerView, SentCall,
    },
    cold::ColdBounds,
    cold_runners::ColdSummary,
    notice::RunnerNotice,
    pace::ModelPaces,
    table::RelayTable,
};
