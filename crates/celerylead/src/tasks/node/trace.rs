//! What a call's course tells about the parts of its prompt.

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    clock::EpochMillis,
    quarantine::{CrashWitness, PromptParts},
    relay::CallEnd,
};

/// Time from the first event of an answer after which the answer goes on. A
/// runner that an answer crashes ends within some tens of milliseconds.
const SOUND_AFTER: Duration = Duration::from_millis(250);

/// The course of a call at a runner.
#[derive(Debug, Default)]
pub(super) struct CallTrace {
    pub(super) parts: PromptParts,
    /// Time at which the call was written.
    pub(super) sent_at: Option<Instant>,
    /// Whether the head of the answer arrived.
    pub(super) begun: bool,
    /// Whether the runner's address refused a connection.
    pub(super) refused: bool,
    /// Whether nothing but the end of the connection ends the answer, which
    /// that of its runner does too.
    pub(super) is_unframed: bool,
    first_frame_at: Option<Instant>,
    is_sound: bool,
}

/// What the end of a call tells.
pub(super) enum TraceVerdict {
    /// Its answer went on.
    Sound,
    /// It ended with its runner before its answer had got anywhere.
    Witness(CrashWitness),
    /// Its answer ended with its connection, as a whole one does or one whose
    /// runner ends.
    Unframed(CrashWitness),
    /// Nothing.
    Neutral,
}

impl CallTrace {
    /// Begins the trace of a call with these parts in its prompt.
    pub(super) fn of(parts: &PromptParts) -> CallTrace {
        CallTrace { parts: parts.clone(), ..CallTrace::default() }
    }

    /// Notes that a part of the answer's body arrived. Returns whether the
    /// answer goes on and that is new.
    pub(super) fn note_frame(&mut self, now: Instant) -> bool {
        let first = *self.first_frame_at.get_or_insert(now);
        let is_new = !self.is_sound && first + SOUND_AFTER <= now;
        self.is_sound |= is_new;
        is_new && !self.parts.is_empty()
    }

    /// Returns what the end of the call tells, `now` being the time of the
    /// clock at `instant`.
    pub(super) fn verdict(
        &self,
        end: CallEnd,
        (instant, now): (Instant, EpochMillis),
    ) -> TraceVerdict {
        let is_whole =
            matches!(end, CallEnd::Complete { .. }) && !self.is_unframed;
        if self.is_sound || (is_whole && self.first_frame_at.is_some()) {
            return TraceVerdict::Sound;
        }
        let Some(sent_at) = self.sent_at else { return TraceVerdict::Neutral };
        let sent_at = now.before(instant - sent_at);
        let (parts, begun) = (self.parts.clone(), self.begun);
        let is_partial = false;
        let witness = CrashWitness { parts, is_partial, begun, sent_at };
        match end {
            CallEnd::Cut => TraceVerdict::Witness(witness),
            CallEnd::Complete { .. } if self.is_unframed => {
                TraceVerdict::Unframed(witness)
            }
            _ => TraceVerdict::Neutral,
        }
    }
}
