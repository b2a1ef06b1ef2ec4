//! Claims of retries, which outlive the process that makes them.
//!
//! A process may retry at once what the requests of the past window allow. If
//! it ends then, its successor has to know, or the same requests would pay for
//! retries twice within a window. So the process first claims the retries in
//! its host's row on the platform, in small lots. The row holds the counts of
//! its window too, with which the successor continues; what is claimed counts as
//! made.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::allowance::{RetryWindow, WindowSlice};
use crate::clock::EpochMillis;

/// Least number of retries in a further claim of a fault: each claim costs a
/// write.
const MIN_LOT: u32 = 2;
/// Number of retries in the first claim of a fault. Each further one doubles
/// it, as the fault goes on.
const FIRST_LOT: u32 = 8;
/// Claims of a service that can follow each other within a window without
/// overlapping.
const TERMS_PER_WINDOW: u32 = 5;
/// Time from a failed write to the next one.
const FAILURE_PAUSE: Duration = Duration::from_millis(700);
/// Time from the choice of a runner until a retry has reached it, at most.
const ARRIVAL_MARGIN: Duration = Duration::from_millis(500);

/// Retries that a host claims for a service, and what it has counted before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RetryClaim {
    /// Name of the service.
    pub service: String,
    /// Number of retries that are claimed and weren't made yet.
    pub retries: u32,
    /// Time from which the claim can't be used any more.
    pub spend_by: EpochMillis,
    /// Requests and retries in the window when the claim was made.
    pub earlier: Vec<WindowSlice>,
}

impl RetryClaim {
    /// Returns the claim with its times converted to another clock.
    pub(crate) fn at_clock(
        &self,
        convert: impl Fn(EpochMillis) -> EpochMillis,
    ) -> RetryClaim {
        let earlier = self.earlier.iter();
        RetryClaim {
            service: self.service.clone(),
            retries: self.retries,
            spend_by: convert(self.spend_by),
            earlier: earlier.map(|slice| slice.at_clock(&convert)).collect(),
        }
    }

    /// Returns the window of a successor that starts at `started_at`, when the
    /// process that made the claim has ended.
    pub(super) fn resume(
        &self,
        window: Duration,
        started_at: EpochMillis,
    ) -> RetryWindow {
        let ended_by = self.spend_by.min(started_at);
        let until = ended_by.after(window).after(ARRIVAL_MARGIN);
        let claimed = WindowSlice::of_retries(self.retries, until);
        let slices = self.earlier.iter().copied().chain([claimed]);
        RetryWindow::resume(window, slices)
    }
}

/// Retries that are claimed at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ClaimLot {
    size: u32,
    left: u32,
    spend_by: EpochMillis,
}

/// The claims of one process for one service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct ServiceClaims {
    /// The lot of the claim that is being written.
    pending: Option<ClaimLot>,
    /// The lot of the last claim that was written.
    written: Option<ClaimLot>,
    /// Time before which no claim is made, after a failed write.
    resumes_at: EpochMillis,
}

impl ServiceClaims {
    /// Creates the claims of a successor, which starts at `started_at` and can't
    /// use what its predecessor claimed.
    pub(super) fn continued(
        former: &RetryClaim,
        started_at: EpochMillis,
    ) -> ServiceClaims {
        let lot = ClaimLot {
            size: former.retries,
            left: 0,
            spend_by: former.spend_by.min(started_at),
        };
        ServiceClaims { written: Some(lot), ..ServiceClaims::default() }
    }

    /// Begins a claim of up to `available` retries. Returns `false` if there is
    /// no room for one, or one is being written, or a write failed a moment ago.
    pub(super) fn begin(
        &mut self,
        available: u32,
        window: Duration,
        now: EpochMillis,
    ) -> bool {
        if self.pending.is_some() || now < self.resumes_at {
            return false;
        }
        let last = self.written.map(|lot| (lot.size, lot.spend_by));
        let last = last.filter(|(_, spend_by)| now < spend_by.after(window));
        let size = match last {
            None => available.min(FIRST_LOT),
            Some((size, _)) => {
                available.min(FIRST_LOT.max(size.saturating_mul(2)))
            }
        };
        if size == 0 || (last.is_some() && size < MIN_LOT) {
            return false;
        }
        let spend_by = now.after(window / TERMS_PER_WINDOW);
        self.pending = Some(ClaimLot { size, left: size, spend_by });
        true
    }

    /// Records that the claim in flight is written, or that its outcome isn't
    /// known.
    pub(super) fn conclude(&mut self, is_written: bool, now: EpochMillis) {
        let Some(lot) = self.pending.take() else { return };
        if is_written {
            self.written = Some(lot);
        } else {
            self.resumes_at = now.after(FAILURE_PAUSE);
        }
    }

    /// Uses a retry of the written claim; returns `false` if none is left.
    pub(super) fn take(&mut self, now: EpochMillis) -> bool {
        let lot = self.written.as_mut();
        let lot = lot.filter(|lot| 0 < lot.left && now < lot.spend_by);
        lot.map(|lot| lot.left -= 1).is_some()
    }

    /// Returns the retries that are claimed and not made, and the time up to
    /// which they may be made; `None` if there was no claim within the window.
    pub(super) fn open_claims(
        &self,
        window: Duration,
        now: EpochMillis,
    ) -> Option<(u32, EpochMillis)> {
        let lots = self.written.iter().chain(&self.pending);
        let lots = lots.filter(|lot| now < lot.spend_by.after(window));
        let open = lots.map(|lot| {
            let left = if now < lot.spend_by { lot.left } else { 0 };
            (left, lot.spend_by)
        });
        open.reduce(|(one, by), (two, until)| (one + two, by.max(until)))
    }
}
