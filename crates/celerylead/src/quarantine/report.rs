//! What hosts tell each other about suspected parts.
//!
//! Times are sent as ages, as the clocks of hosts differ.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{
    part::{PartId, PromptParts},
    signs::RunnerSign,
};
use crate::{clock::EpochMillis, roster::RunnerStart};

/// A call that ended with its runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct WitnessRow {
    /// Parts of its prompt that are suspected.
    pub parts: PromptParts,
    /// Whether other parts of its prompt were left out.
    pub is_partial: bool,
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

impl VerdictRow {
    /// Returns whether a probe has confirmed the verdict. Until then it rests on a
    /// coincidence of crashes, and a refusal on its account can't be final.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerylead::quarantine::{PartId, VerdictRow};
    ///
    /// let part = PartId(0xb);
    /// let (trials, terms, sent_ago_ms, left_ms) = (3, 1, 250, 60_000);
    /// let row = VerdictRow { part, trials, terms, sent_ago_ms, left_ms };
    /// assert!(!row.is_confirmed());
    /// assert!(VerdictRow { terms: 2, ..row }.is_confirmed());
    /// ```
    pub fn is_confirmed(&self) -> bool {
        1 < self.terms
    }
}

/// A verdict in force on parts that the crashes can't be told apart by.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct GroupRow {
    /// The parts, of which one at least is the cause.
    pub parts: Vec<PartId>,
    /// Crashes by which parts left the group.
    pub narrowed: u32,
    /// The verdict on the first part; those on the others are the same.
    pub verdict: VerdictRow,
}

/// A verdict as the platform's store keeps it for hosts that start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct KeptVerdict {
    /// The rejected part.
    pub part: PartId,
    /// Trials behind the verdict.
    pub trials: u32,
    /// Terms that the verdict has had, the present one included.
    pub terms: u32,
    /// Time at which the last call that crashed a runner was sent.
    pub sent_at: EpochMillis,
    /// Time from which the part may be probed.
    pub until: EpochMillis,
    /// Parts that the crashes can't tell it from. Hosts of a version without
    /// groups reject the part by itself.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub others: Vec<PartId>,
}

impl KeptVerdict {
    /// Converts a verdict as described at `now`, on a part that the crashes
    /// can't tell from the `others`.
    pub fn of(
        row: &VerdictRow,
        others: &[PartId],
        now: EpochMillis,
    ) -> KeptVerdict {
        let VerdictRow { part, trials, terms, sent_ago_ms, left_ms } = *row;
        let sent_at = now.before(Duration::from_millis(sent_ago_ms));
        let until = now.after(Duration::from_millis(left_ms));
        let others = others.to_vec();
        KeptVerdict { part, trials, terms, sent_at, until, others }
    }

    /// Describes the verdict at `now`.
    pub fn row(&self, now: EpochMillis) -> VerdictRow {
        let KeptVerdict { part, trials, terms, sent_at, until, .. } = *self;
        let sent_ago_ms = sent_at.until(now).as_millis() as u64;
        let left_ms = now.until(until).as_millis() as u64;
        VerdictRow { part, trials, terms, sent_ago_ms, left_ms }
    }

    /// Returns the verdict with its times converted to another clock.
    pub(crate) fn at_clock(
        &self,
        convert: impl Fn(EpochMillis) -> EpochMillis,
    ) -> KeptVerdict {
        let (sent_at, until) = (convert(self.sent_at), convert(self.until));
        KeptVerdict { sent_at, until, ..self.clone() }
    }
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
    /// Verdicts in force on single parts.
    pub verdicts: Vec<VerdictRow>,
    /// Verdicts in force on groups. They travel in a message of their own, as
    /// hosts of a version without them can't read a longer report.
    #[serde(skip)]
    pub groups: Vec<GroupRow>,
}

impl EvidenceReport {
    /// Returns the report of verdicts that the store kept.
    pub(crate) fn of_kept(
        kept: &[KeptVerdict],
        now: EpochMillis,
    ) -> EvidenceReport {
        let mut report = EvidenceReport::default();
        for held in kept {
            let verdict = held.row(now);
            if held.others.is_empty() {
                report.verdicts.push(verdict);
                continue;
            }
            let others = held.others.iter().copied();
            let parts = others.chain([held.part]).collect();
            report.groups.push(GroupRow { parts, narrowed: 0, verdict });
        }
        report
    }

    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
            && self.signs.is_empty()
            && self.cleared.is_empty()
            && self.verdicts.is_empty()
            && self.groups.is_empty()
    }
}
