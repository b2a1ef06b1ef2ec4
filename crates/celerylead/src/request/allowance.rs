//! Retry budget over a sliding window.
//!
//! A platform limits the retries of all hosts together to a share of the
//! requests in a window, plus a fixed slack. Each host applies the limit to
//! its own requests, so that the sum over all hosts keeps to the limit. A
//! fault causes many retries at once, so the retries that the requests of the
//! whole window allow must be available then. A small reserve to which each
//! request adds a fraction would forfeit most of these retries.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};

use crate::clock::EpochMillis;

/// Number of slices of a window; the counts of a slice expire together.
const SLICES_PER_WINDOW: u32 = 20;

/// Requests and retries in one slice of the window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct WindowSlice {
    /// Time from which requests and retries belong to the next slice.
    ends_at: EpochMillis,
    /// Time from which no part of the slice lies in the window any more.
    expires_at: EpochMillis,
    requests: u32,
    retries: u32,
}

/// Requests and retries of one host in a sliding window.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerylead::{EpochMillis, request::RetryWindow};
///
/// let mut window = RetryWindow::new(Duration::from_secs(10));
/// (0..50).for_each(|_| window.record_request(EpochMillis(0)));
/// // A tenth of 50 requests, plus a slack of 2.
/// let now = EpochMillis(5_000);
/// let retried = (0..50).filter(|_| window.spend(0.1, 2.0, now)).count();
/// assert_eq!(retried, 7);
/// // Once the requests and retries have left the window, the slack of 2
/// // remains.
/// assert!(window.spend(0.1, 2.0, EpochMillis(16_000)));
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RetryWindow {
    window: Duration,
    /// Slices of the window, the oldest first.
    slices: VecDeque<WindowSlice>,
}

impl RetryWindow {
    /// Creates an empty window of this length.
    pub fn new(window: Duration) -> RetryWindow {
        RetryWindow { window, slices: VecDeque::new() }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: EpochMillis) {
        self.slice(now).requests += 1;
    }

    /// Counts a retry and returns `true`, if the retries of the window stay
    /// within `share` of its requests plus `slack`.
    pub fn spend(&mut self, share: f64, slack: f64, now: EpochMillis) -> bool {
        let (requests, retries) = self.counts(now);
        let allowed = f64::from(requests) * share + slack;
        let granted = f64::from(retries) + 1.0 <= allowed;
        self.slice(now).retries += u32::from(granted);
        granted
    }

    /// Returns the requests and the retries in the window.
    pub fn counts(&mut self, now: EpochMillis) -> (u32, u32) {
        self.slice(now);
        let requests = self.slices.iter().map(|slice| slice.requests).sum();
        let retries = self.slices.iter().map(|slice| slice.retries).sum();
        (requests, retries)
    }

    /// Returns the slice for `now`, and drops the slices that have left the
    /// window.
    fn slice(&mut self, now: EpochMillis) -> &mut WindowSlice {
        while self.slices.front().is_some_and(|slice| slice.expires_at <= now)
        {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|slice| slice.ends_at <= now) {
            let ends_at = now.after(self.window / SLICES_PER_WINDOW);
            self.slices.push_back(WindowSlice {
                ends_at,
                expires_at: ends_at.after(self.window),
                requests: 0,
                retries: 0,
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
