//! Quarantine of prompt parts that crash runners.
//!
//! A call may bring down the runner that begins to answer it, and the next
//! runner in turn: a query of death. Such calls are told from those that ran
//! beside them by what their prompts share. Nothing in this module reads a
//! clock or a socket.
//!
//! * A host records which of its calls ended with a runner before their
//!   answers had got anywhere, and tells the other hosts ([`EvidenceReport`]).
//!   A [`CrashLog`] joins what the hosts saw by the runner's start, so that a
//!   crash counts once however many hosts report it.
//! * A broken answer isn't the end of its runner. A runner that answers a call
//!   sent after the break hadn't ended, whichever host sent it; one that refuses
//!   a connection had. A crash without either sign counts after a while.
//! * A part is suspected by *trials*: crashes of different runners, each of
//!   which ended a call with the part that was sent after the crash before.
//!   Runners that end together, for whatever reason, are one trial.
//! * An answer that goes on clears the parts of its prompt, at all hosts. Parts
//!   that many calls share are cleared within moments, so that only a part on
//!   which no answer goes on can gather trials.
//! * After [`TRIALS_TO_REJECT`] trials the part is rejected: calls with it are
//!   refused for good, by all hosts. A call with a part under suspicion isn't
//!   sent to a second runner.
//! * Parts that the crashes can't be told apart by are rejected together: only
//!   calls with all of them are refused, and a call with some of them is tried,
//!   one at a time in the fleet.
//! * A verdict ends by itself: after its term one host of the fleet sends one
//!   call as a probe. If its answer goes on, the part is cleared; if its runner
//!   ends, the next term is twice as long. An answer that was under way when
//!   the verdict was found clears the part too, and so does an operator.
//! * A call has as many suspects as its head names parts, if these are few. Of
//!   many, those that look like sound ones are left out, and then no
//!   part on which an answer went on is rejected: the cause isn't known.
//!
//! Every table is bounded. A caller who makes up parts can neither fill them,
//! as only calls that ended with a runner enter, nor displace a verdict.

mod admission;
mod ambiguity;
mod crash;
mod exchange;
mod ledger;
mod part;
mod report;
mod signs;
mod sound;
mod suspects;
#[cfg(test)]
mod tests;
mod unframed;
mod verdict;

pub use self::{
    admission::PartAdmission,
    crash::{CrashLog, CrashWitness},
    ledger::{LedgerEvent, SuspectLedger, TRIALS_TO_REJECT},
    part::{PartId, PromptParts},
    report::{
        ClearanceBasis, ClearanceRow, CrashRow, EvidenceReport, GroupRow,
        KeptVerdict, SignRow, VerdictRow, WitnessRow,
    },
    signs::RunnerSign,
};
