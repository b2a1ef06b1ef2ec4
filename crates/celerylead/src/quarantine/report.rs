//! What hosts tell each other about suspected parts.
//!
//! Times are sent as ages, as the clocks of hosts differ.

use serde::{Deserialize, Serialize};

use super::{
    part::{PartId, PromptParts},
    signs::RunnerSign,
};
use crate::roster::RunnerStart;

/// A call that ended with its runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct WitnessRow {
    /// Parts of its prompt that other calls may share.
    pub parts: PromptParts,
    /// Whether the head of its answer had arrived.
    pub begun: bool,
    /// Time since the call was sent, in milliseconds.
    pub sent_ago_ms: u64,
}

/// The end of a runner, as one host saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CrashRow {
    /// The start of the runner that ended.
    pub start: RunnerStart,
    /// Time since its end, in milliseconds.
    pub ended_ago_ms: u64,
    /// Calls of the reporting host that ended with it.
    pub witnesses: Vec<WitnessRow>,
}

/// A part that is cleared of suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ClearanceRow {
    /// The part.
    pub part: PartId,
    /// Time since the clearance, in milliseconds.
    pub ago_ms: u64,
    /// What clears the part.
    pub basis: ClearanceBasis,
}

/// What clears a part of suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClearanceBasis {
    /// An answer on it went on. Another part may have caused the crashes.
    SoundAnswer,
    /// An operator has ended its verdict, which settles the crashes behind it.
    Operator,
}

/// A verdict in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct VerdictRow {
    /// The rejected part.
    pub part: PartId,
    /// Trials behind the verdict.
    pub trials: u32,
    /// Terms that the verdict has had, the present one included.
    pub terms: u32,
    /// Time since the last call that crashed a runner was sent, in
    /// milliseconds.
    pub sent_ago_ms: u64,
    /// Time left until the part may be probed, in milliseconds.
    pub left_ms: u64,
}

/// What a start of a runner was seen to do, where that decides whether it has
/// ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SignRow {
    /// The start of the runner.
    pub start: RunnerStart,
    /// What it did.
    pub sign: RunnerSign,
    /// Time since then, in milliseconds.
    pub ago_ms: u64,
}

/// What a host tells the others.
///
/// # Examples
///
/// ```
/// use celerylead::quarantine::EvidenceReport;
///
/// assert!(EvidenceReport::default().is_empty());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EvidenceReport {
    /// Crashes that the host has just seen.
    pub crashes: Vec<CrashRow>,
    /// Signs that confirm or disprove a crash.
    pub signs: Vec<SignRow>,
    /// Parts that are cleared of suspicion.
    pub cleared: Vec<ClearanceRow>,
    /// Verdicts in force.
    pub verdicts: Vec<VerdictRow>,
}

impl EvidenceReport {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
            && self.signs.is_empty()
            && self.cleared.is_empty()
            && self.verdicts.is_empty()
    }
}
