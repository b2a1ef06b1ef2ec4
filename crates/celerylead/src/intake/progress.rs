//! Until when a body must go on.

use std::time::Duration;

use crate::clock::EpochMillis;

/// Multiple of the configured idle time for which a body may be silent, and for
/// which it may be slow at first. Callers within the configured limits stay
/// below both.
const SILENCE_FACTOR: u32 = 2;
/// Bytes per second below which a body ends that has had its first time.
const MIN_BYTES_PER_SECOND: u64 = 1_024;

/// Time after which a body gives way to others, besides that for its bytes.
pub(super) const YIELD_GRACE: Duration = Duration::from_millis(1_000);
/// Bytes per millisecond below which a body gives way to others: ten bodies
/// share a link of 10 Mbit/s at twice this pace.
pub(super) const YIELDING_BYTES_PER_MS: u64 = 64;

/// Deadlines of a body that is being read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BodyProgress {
    /// Time by which the next byte is due.
    next_byte_due: EpochMillis,
    /// Time by which a byte is due at the least pace.
    pace_due: EpochMillis,
    /// Time by which a byte is due, or the connection gives way to others.
    next_byte_yields: EpochMillis,
    /// Time by which a byte is due at the pace below which the connection gives
    /// way to others.
    pace_yields: EpochMillis,
}

impl BodyProgress {
    /// Begins to watch a body.
    pub(crate) fn begin(idle: Duration, now: EpochMillis) -> BodyProgress {
        let first = now.after(idle * SILENCE_FACTOR);
        let first_yield = now.after(YIELD_GRACE);
        BodyProgress {
            next_byte_due: first,
            pace_due: first,
            next_byte_yields: first_yield,
            pace_yields: first_yield,
        }
    }

    /// Notes bytes that have arrived.
    pub(crate) fn received(
        &mut self,
        bytes: usize,
        idle: Duration,
        now: EpochMillis,
    ) {
        self.next_byte_due = now.after(idle * SILENCE_FACTOR);
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        let earned = bytes.saturating_mul(1_000) / MIN_BYTES_PER_SECOND;
        self.pace_due = self.pace_due.after(Duration::from_millis(earned));
        self.next_byte_yields = now.after(YIELD_GRACE);
        let earned = Duration::from_millis(bytes / YIELDING_BYTES_PER_MS);
        self.pace_yields = self.pace_yields.after(earned);
    }

    /// Returns the time until which the next byte is waited for.
    pub(crate) fn deadline(&self) -> EpochMillis {
        self.next_byte_due.min(self.pace_due)
    }

    /// Returns the time from which the connection gives way to others.
    pub(crate) fn yields_at(&self) -> EpochMillis {
        self.next_byte_yields.min(self.pace_yields)
    }
}
