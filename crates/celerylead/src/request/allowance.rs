//! Requests and retries of one service in a sliding window.
//!
//! A fault causes many retries at once, so the retries that the requests of the
//! whole window allow must be available then. A small reserve to which each
//! request adds a fraction would forfeit most of them.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};

use crate::clock::EpochMillis;

/// Number of slices of a window; the counts of a slice expire together.
const SLICES_PER_WINDOW: u32 = 20;
/// Slices of which a summary merges the counts.
const SLICES_PER_SUMMARY: usize = 5;

/// Requests and retries in one slice of the window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct WindowSlice {
    /// Time from which requests and retries belong to the next slice; the epoch
    /// in a row.
    #[serde(skip)]
    ends_at: EpochMillis,
    /// Time from which its requests aren't in the window any more.
    requests_until: EpochMillis,
    /// Time from which its retries aren't in the window any more.
    retries_until: EpochMillis,
    counts: WindowCounts,
}

impl WindowSlice {
    /// Returns a slice of nothing but retries that may have been made up to
    /// `until` less the window.
    pub(super) fn of_retries(retries: u32, until: EpochMillis) -> WindowSlice {
        WindowSlice {
            ends_at: EpochMillis::default(),
            requests_until: EpochMillis::default(),
            retries_until: until,
            counts: WindowCounts { requests: 0, retries },
        }
    }

    /// Returns the slice, which has ended, with its times converted to another
    /// clock.
    pub(super) fn at_clock(
        self,
        convert: impl Fn(EpochMillis) -> EpochMillis,
    ) -> WindowSlice {
        WindowSlice {
            ends_at: EpochMillis::default(),
            requests_until: convert(self.requests_until),
            retries_until: convert(self.retries_until),
            counts: self.counts,
        }
    }
}

/// Requests and retries in a window.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub struct WindowCounts {
    /// Number of requests.
    pub requests: u32,
    /// Number of retries.
    pub retries: u32,
}

impl WindowCounts {
    fn plus(self, other: WindowCounts) -> WindowCounts {
        WindowCounts {
            requests: self.requests.saturating_add(other.requests),
            retries: self.retries.saturating_add(other.retries),
        }
    }
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
/// window.record_request(EpochMillis(0));
/// window.record_retry(EpochMillis(5_000));
/// let counts = window.counts(EpochMillis(9_000));
/// assert_eq!((counts.requests, counts.retries), (1, 1));
/// // The request has left the window.
/// let counts = window.counts(EpochMillis(11_000));
/// assert_eq!((counts.requests, counts.retries), (0, 1));
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

    /// Creates the window of a process that continues an earlier one, of which
    /// these slices are known.
    pub(super) fn resume(
        window: Duration,
        slices: impl Iterator<Item = WindowSlice>,
    ) -> RetryWindow {
        RetryWindow { window, slices: slices.collect() }
    }

    /// Returns this window followed by what a later one has counted.
    pub(super) fn joined(self, later: &RetryWindow) -> RetryWindow {
        let RetryWindow { window, slices } = self;
        let slices = slices.into_iter().chain(later.slices.iter().copied());
        RetryWindow { window, slices: slices.collect() }
    }

    /// Returns the counts in a few slices. Of those merged into one, requests
    /// leave the window with the first and retries with the last.
    pub(super) fn summary(&mut self, now: EpochMillis) -> Vec<WindowSlice> {
        self.slice(now);
        let slices: &[WindowSlice] = self.slices.make_contiguous();
        let merged = slices.chunks(SLICES_PER_SUMMARY).map(|chunk| {
            let merge = |sum: WindowSlice, next: &WindowSlice| WindowSlice {
                ends_at: now,
                requests_until: sum.requests_until.min(next.requests_until),
                retries_until: sum.retries_until.max(next.retries_until),
                counts: sum.counts.plus(next.counts),
            };
            chunk[1..].iter().fold(chunk[0], merge)
        });
        let is_empty =
            |slice: &WindowSlice| slice.counts == WindowCounts::default();
        merged.filter(|slice| !is_empty(slice)).collect()
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: EpochMillis) {
        self.slice(now).counts.requests += 1;
    }

    /// Counts a retry.
    pub fn record_retry(&mut self, now: EpochMillis) {
        self.slice(now).counts.retries += 1;
    }

    /// Returns the requests and the retries in the window.
    pub fn counts(&mut self, now: EpochMillis) -> WindowCounts {
        self.slice(now);
        let mut sum = WindowCounts::default();
        for slice in &self.slices {
            let WindowCounts { requests, retries } = slice.counts;
            sum.requests +=
                if now < slice.requests_until { requests } else { 0 };
            sum.retries += if now < slice.retries_until { retries } else { 0 };
        }
        sum
    }

    /// Returns the slice for `now`, and drops the slices that have left the
    /// window.
    fn slice(&mut self, now: EpochMillis) -> &mut WindowSlice {
        self.slices.retain(|slice| {
            now < slice.requests_until || now < slice.retries_until
        });
        if self.slices.back().is_none_or(|slice| slice.ends_at <= now) {
            let ends_at = now.after(self.window / SLICES_PER_WINDOW);
            let until = ends_at.after(self.window);
            self.slices.push_back(WindowSlice {
                ends_at,
                requests_until: until,
                retries_until: until,
                counts: WindowCounts::default(),
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
