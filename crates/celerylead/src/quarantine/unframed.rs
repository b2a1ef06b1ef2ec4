//! Answers that ended with their connections and nothing else.
//!
//! Such an end is that of a whole answer, or of the runner. What the runner is
//! seen to do next distinguishes them.

use std::time::Duration;

use super::{
    crash::CrashWitness,
    ledger::{LedgerEvent, REPEAT_TIME, SuspectLedger},
    signs::RunnerSign,
};
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

impl SuspectLedger {
    /// Records a call of this host whose answer ended with its connection, so
    /// that its runner may have ended.
    pub fn record_unframed(
        &mut self,
        start: &RunnerStart,
        witness: &CrashWitness,
        now: EpochMillis,
    ) {
        let (start, witness) = (start.clone(), witness.clone());
        self.unframed.record(UnframedEnd { start, witness, ended_at: now });
    }

    /// Applies a sign to the answers of its runner that ended with their
    /// connections: each was whole, or ended with the runner.
    pub(super) fn explain_unframed(
        &mut self,
        start: &RunnerStart,
        sign: RunnerSign,
        at: EpochMillis,
        now: EpochMillis,
    ) -> Vec<LedgerEvent> {
        let mut events = Vec::new();
        for end in self.unframed.explained(start, sign, at) {
            let UnframedEnd { start, witness, ended_at } = end;
            match sign {
                RunnerSign::Answered => {
                    events.extend(self.record_sound(&witness.parts, ended_at));
                }
                RunnerSign::Refused => {
                    let repeat_until = now.after(REPEAT_TIME);
                    let ended = (ended_at, repeat_until);
                    let witness = self.suspects_of(&witness);
                    self.add_witness(&start, &witness, ended, now);
                    self.news.tell_soon(now);
                    events.extend(self.weigh(now));
                }
            }
        }
        events
    }
}
