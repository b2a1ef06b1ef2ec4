//! Answers that ended with their connections and nothing else.
//!
//! Such an end is that of a whole answer, or of the runner. What the runner is
//! seen to do next tells them apart.

use std::time::Duration;

use super::{crash::CrashWitness, signs::RunnerSign};
use crate::{clock::EpochMillis, roster::RunnerStart};

/// Time after which an end that no sign explains is forgotten: a runner that has
/// ended refuses the next connection, and calls are sent to it several times a
/// second.
const MEMORY: Duration = Duration::from_millis(2_000);
/// Most ends that are remembered; the oldest are forgotten first.
const MAX_ENDS: usize = 256;

/// An answer that ended with its connection.
#[derive(Clone, Debug)]
pub(super) struct UnframedEnd {
    pub(super) start: RunnerStart,
    pub(super) witness: CrashWitness,
    pub(super) ended_at: EpochMillis,
}

/// The ends that no sign has explained yet, the oldest first.
#[derive(Debug, Default)]
pub(super) struct UnframedEnds {
    ends: Vec<UnframedEnd>,
}

impl UnframedEnds {
    /// Records an end.
    pub(super) fn record(&mut self, end: UnframedEnd) {
        let now = end.ended_at;
        self.ends.retain(|known| now < known.ended_at.after(MEMORY));
        if MAX_ENDS <= self.ends.len() {
            self.ends.remove(0);
        }
        self.ends.push(end);
    }

    /// Removes and returns the ends that a sign of a runner explains.
    pub(super) fn explained(
        &mut self,
        start: &RunnerStart,
        sign: RunnerSign,
        at: EpochMillis,
    ) -> Vec<UnframedEnd> {
        let is_explained = |end: &mut UnframedEnd| {
            let is_later = match sign {
                RunnerSign::Answered => end.ended_at < at,
                RunnerSign::Refused => end.ended_at <= at,
            };
            end.start == *start && is_later && at < end.ended_at.after(MEMORY)
        };
        self.ends.extract_if(.., is_explained).collect()
    }
}
