//! Which parts of a call are suspected when its runner ends.

use super::{crash::CrashWitness, ledger::SuspectLedger, part::PartId};

/// Most parts that are suspected for one call and reported to the other hosts.
const MAX_SUSPECTED: usize = 24;

impl SuspectLedger {
    /// Returns the witness with the parts that may have ended its runner: those
    /// on which no answer went on since the call was sent. If there are too many
    /// to report, keeps those already suspected, then those on which no answer is
    /// known to have gone on, and of each kind the deepest in the prompt.
    pub(super) fn suspects_of(&self, witness: &CrashWitness) -> CrashWitness {
        let CrashWitness { parts, is_partial, begun, sent_at } = witness;
        let mut parts = parts.clone();
        parts.retain(|part| {
            self.sound.last(part).is_none_or(|at| at < *sent_at)
        });
        let mut is_partial = *is_partial;
        if MAX_SUSPECTED < parts.len() {
            is_partial = true;
            let mut ranked: Vec<(bool, bool, usize, PartId)> = parts
                .iter()
                .enumerate()
                .map(|(depth, part)| {
                    let is_suspect = self.suspects.get(&part).is_some();
                    (is_suspect, !self.was_sound(part), depth, part)
                })
                .collect();
            ranked.sort_unstable();
            let kept = &ranked[ranked.len() - MAX_SUSPECTED..];
            let mut kept: Vec<PartId> =
                kept.iter().map(|(_, _, _, part)| *part).collect();
            kept.sort_unstable();
            parts.retain(|part| kept.binary_search(&part).is_ok());
        }
        CrashWitness { parts, is_partial, begun: *begun, sent_at: *sent_at }
    }

    /// Returns whether an answer on a part is known to have gone on.
    pub fn was_sound(&self, part: PartId) -> bool {
        self.cleared.get(&part).is_some() || self.sound.last(part).is_some()
    }
}
