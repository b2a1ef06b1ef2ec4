//! An allowance of further sends in a sliding window.
//!
//! A platform allows so many further sends for the requests of a window, and
//! some beyond, over all hosts together. Each host keeps to it for its own
//! requests, so that the sum does. A fault asks for many further sends at
//! once: what the requests of the whole window allow must be there then. A
//! small reserve that is filled by each request would forfeit most of it.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};

use crate::clock::EpochMillis;

/// Parts of the window that are counted together.
const SLICES_PER_WINDOW: u32 = 20;

/// Requests and further sends of one part of the window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct WindowSlice {
    /// Point from which later ones belong to the next part.
    ends_at: EpochMillis,
    /// Point from which none of it lies in a window any more.
    expires_at: EpochMillis,
    requests: u32,
    retries: u32,
}

/// Requests and further sends of one host in the window.
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
/// // A tenth of fifty, and two beyond.
/// let now = EpochMillis(5_000);
/// let retried = (0..50).filter(|_| window.spend(0.1, 2.0, now)).count();
/// assert_eq!(retried, 7);
/// // Once all that has left the window, the two beyond remain.
/// assert!(window.spend(0.1, 2.0, EpochMillis(16_000)));
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RetryWindow {
    window: Duration,
    /// The oldest first.
    slices: VecDeque<WindowSlice>,
}

impl RetryWindow {
    /// Makes an empty count over a window.
    pub fn new(window: Duration) -> RetryWindow {
        RetryWindow { window, slices: VecDeque::new() }
    }

    /// Notes a request.
    pub fn record_request(&mut self, now: EpochMillis) {
        self.slice(now).requests += 1;
    }

    /// Takes a further send, if `share` of one for each request of the window
    /// and `slack` beyond allow it.
    pub fn spend(&mut self, share: f64, slack: f64, now: EpochMillis) -> bool {
        self.slice(now);
        let requests: u32 =
            self.slices.iter().map(|slice| slice.requests).sum();
        let retries: u32 = self.slices.iter().map(|slice| slice.retries).sum();
        let allowed = f64::from(requests) * share + slack;
        let granted = f64::from(retries) + 1.0 <= allowed;
        self.slice(now).retries += u32::from(granted);
        granted
    }

    /// Returns the part of the window that a point lies in, and drops those
    /// that have left it.
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
