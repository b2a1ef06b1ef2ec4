//! Parts on which answers went on.

use std::time::Duration;

use super::part::{PartId, PromptParts};
use crate::{clock::EpochMillis, sorted::SortedTable};

/// Most parts that are remembered; those longest unused are forgotten first.
const MAX_PARTS: usize = 4_096;
/// Time for which a part is remembered after its last sound answer.
const MEMORY: Duration = Duration::from_secs(120);

/// When the answers of this host last went on, by part of the prompt.
#[derive(Debug, Default)]
pub(super) struct SoundLog {
    parts: SortedTable<PartId, EpochMillis>,
}

impl SoundLog {
    /// Records an answer that went on, for the parts that other calls may share:
    /// the last parts of all calls would push those out.
    pub(super) fn record(&mut self, parts: &PromptParts, now: EpochMillis) {
        for part in parts.shared() {
            if MAX_PARTS <= self.parts.len() && self.parts.get(&part).is_none()
            {
                self.forget_older_half(now);
            }
            self.parts.insert(part, now);
        }
    }

    /// Returns the time of the last sound answer on a part.
    pub(super) fn last(&self, part: PartId) -> Option<EpochMillis> {
        self.parts.get(&part).copied()
    }

    /// Forgets the parts that haven't been used lately, and at least half of
    /// all, so that the cost of a full table is spread over many calls.
    fn forget_older_half(&mut self, now: EpochMillis) {
        let mut times: Vec<EpochMillis> =
            self.parts.values().copied().collect();
        times.sort();
        let middle = times[times.len() / 2];
        self.parts.retain(|_, at| middle < *at && now < at.after(MEMORY));
    }
}
