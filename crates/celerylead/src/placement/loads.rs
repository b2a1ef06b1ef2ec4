//! Limits loads from the weight store over all runners.
//!
//! The platform bounds how many loads may start in a window. An order that
//! isn't answered may start its load seconds later, at the same time as newer
//! loads, so counting orders at the time they are sent isn't enough. A load
//! therefore counts from its order until one window after the latest time at
//! which it can have started. When the last of the loads that start in a
//! window is ordered, the other loads of the window still count, so no window
//! contains more loads than allowed.
//!
//! The lease's row has a [`LoadHistory`], from which the next holder goes on
//! counting. As the row is written at intervals, the history also reserves the
//! orders that may follow until the next write, and the holder gives no more.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{clock::EpochMillis, sorted::SortedTable};

/// Fewest loads that may start at once after a pause.
const MIN_BURST: f64 = 2.0;
/// Time whose loads may start at once after a pause: somewhat more than the
/// time between two turns of the plan, or turns would leave loads unused that
/// the weight store allows. More simultaneous loads slow each other down there.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Longest time after sending within which an unanswered order may still be
/// carried out. The platform's list of faults states up to 12 s.
const MAX_START_DELAY: Duration = Duration::from_millis(13_000);

/// Where the weights of a load come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadSource {
    /// The weight store.
    Store,
    /// A local copy that the runner keeps.
    Copy,
}

/// What the outcome of sending an order implies for its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadOutcome {
    /// The load has started or may have started, and won't start later.
    Started,
    /// This attempt didn't start the load and won't start it later.
    NotStarted,
    /// The load may still start.
    Open,
}

/// Loads of a holder that count in the window, for the next holder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct LoadHistory {
    /// Ages, in milliseconds, of the loads that started in the window.
    pub ages_ms: Vec<u32>,
    /// Loads that the holder may order until the row is written again.
    pub reserved: u32,
}

/// Identifies the order of a load: the runner, and the number of orders that
/// the runner must have accepted before.
type LoadKey = (String, u64);

/// Limits how many loads from the weight store may start: a token bucket sets
/// the rate, and a sliding window bounds the count.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerylead::{
///     EpochMillis,
///     placement::{LoadLimiter, LoadOutcome},
/// };
///
/// let start = EpochMillis(0);
/// let window = Duration::from_secs(1);
/// let mut limiter = LoadLimiter::new(window, start);
/// assert!(!limiter.allows(2.0, EpochMillis(100)));
/// // Two unanswered loads fill a window of two.
/// for (number, at) in [(0, 500), (1, 1_000)] {
///     assert!(limiter.allows(2.0, EpochMillis(at)));
///     limiter.record_order("i-1", number, EpochMillis(at));
/// }
/// assert!(!limiter.allows(2.0, EpochMillis(3_000)));
/// limiter.record_outcome("i-1", 0, LoadOutcome::Started, EpochMillis(3_000));
/// assert!(!limiter.allows(2.0, EpochMillis(3_900)));
/// assert!(limiter.allows(2.0, EpochMillis(4_000)));
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadLimiter {
    /// Length of the window in which the platform counts loads.
    window: Duration,
    /// Loads that the token bucket allows now.
    tokens: f64,
    refilled_at: EpochMillis,
    /// Latest possible start times of loads that have started.
    started: Vec<EpochMillis>,
    /// Latest times at which loads ordered by this host may start.
    open: SortedTable<LoadKey, EpochMillis>,
    /// Latest times at which loads ordered by another host may start.
    inherited: Vec<EpochMillis>,
    /// Time from which the loads of another host are out of the window, apart
    /// from those in `inherited`.
    clear_from: EpochMillis,
    /// Number of loads ordered so far.
    ordered: u64,
    /// Number of loads that may be ordered in all before the history is written
    /// again; `None` before it was first written.
    reserved_until: Option<u64>,
}

impl LoadLimiter {
    /// Creates a limiter over `window` with an empty token bucket.
    pub fn new(window: Duration, now: EpochMillis) -> LoadLimiter {
        LoadLimiter { window, refilled_at: now, ..LoadLimiter::default() }
    }

    /// Returns the loads that count in the window, and the total number of
    /// ordered loads up to which they reserve orders at a rate of `per_second`:
    /// what the token bucket may grant until the row is written again.
    pub fn history(
        &self,
        per_second: f64,
        until_next: Duration,
        now: EpochMillis,
    ) -> (LoadHistory, u64) {
        let counted = self.started.iter().map(|at| at.until(now));
        let counted = counted.filter(|age| *age < self.window);
        let ages_ms = counted.map(|age| age.as_millis() as u32).collect();
        let grants = burst(per_second) + per_second * until_next.as_secs_f64();
        let reserved = grants.ceil() as u32;
        let history = LoadHistory { ages_ms, reserved };
        (history, self.ordered + u64::from(reserved))
    }

    /// Records that a history was written which reserves orders up to this
    /// total number.
    pub fn record_reservation(&mut self, until: u64) {
        self.reserved_until = Some(until);
    }

    /// Takes over from a holder that left `open` loads that may still start. Its
    /// last order was sent before `last_order`. Without a history, the whole
    /// window has to pass.
    pub fn inherit(
        &mut self,
        open: u32,
        history: Option<&LoadHistory>,
        last_order: EpochMillis,
        now: EpochMillis,
    ) {
        let until = now.after(MAX_START_DELAY);
        self.inherited.extend((0..open).map(|_| until));
        match history {
            Some(history) => {
                let ages = history.ages_ms.iter();
                let starts = ages.map(|age| {
                    now.before(Duration::from_millis(u64::from(*age)))
                });
                self.started.extend(starts.map(|at| at.min(last_order)));
                let reserved = 0..history.reserved;
                self.started.extend(reserved.map(|_| last_order));
            }
            None => self.clear_from = last_order.after(self.window),
        }
        self.tokens = 0.0;
        self.refilled_at = now;
    }

    /// Returns whether another load may be ordered, at a rate of `per_second`.
    pub fn allows(&mut self, per_second: f64, now: EpochMillis) -> bool {
        let seconds = self.refilled_at.until(now).as_secs_f64();
        self.refilled_at = now;
        self.tokens =
            (self.tokens + per_second * seconds).min(burst(per_second));
        let window = self.window;
        self.started.retain(|at| now < at.after(window));
        self.open.retain(|_, until| now < until.after(window));
        self.inherited.retain(|until| now < until.after(window));
        let counted = self.started.len() + self.open_count();
        let limit = (per_second * window.as_secs_f64()).max(1.0);
        self.clear_from <= now
            && self.reserved_until.is_none_or(|until| self.ordered < until)
            && 1.0 <= self.tokens
            && counted as f64 + 1.0 <= limit
    }

    /// Records a load that is ordered now.
    pub fn record_order(
        &mut self,
        runner: &str,
        expected: u64,
        now: EpochMillis,
    ) {
        self.tokens -= 1.0;
        self.ordered += 1;
        let key = (runner.to_owned(), expected);
        self.open.insert(key, now.after(MAX_START_DELAY));
    }

    /// Records that an order is sent again. Orders that aren't counted loads
    /// are ignored.
    pub fn record_retry(
        &mut self,
        runner: &str,
        expected: u64,
        now: EpochMillis,
    ) {
        if let Some(until) = self.open.get_mut(&(runner.to_owned(), expected))
        {
            *until = now.after(MAX_START_DELAY);
        }
    }

    /// Records the outcome of sending an order. Orders that aren't counted
    /// loads are ignored.
    pub fn record_outcome(
        &mut self,
        runner: &str,
        expected: u64,
        outcome: LoadOutcome,
        now: EpochMillis,
    ) {
        if outcome == LoadOutcome::Open {
            return;
        }
        let removed = self.open.remove(&(runner.to_owned(), expected));
        if removed.is_some() && outcome == LoadOutcome::Started {
            self.started.push(now);
        }
    }

    /// Records that a runner reports `orders` accepted orders. A load that was
    /// ordered under a lower number has started by now or will never start.
    pub fn record_report(
        &mut self,
        runner: &str,
        orders: u64,
        now: EpochMillis,
    ) {
        let before = self.open.len();
        self.open.retain(|(key_runner, expected), _| {
            key_runner != runner || orders <= *expected
        });
        let started = before - self.open.len();
        self.started.extend((0..started).map(|_| now));
    }

    /// Returns the number of loads that may still start, or may have started
    /// unnoticed.
    pub fn open_count(&self) -> usize {
        self.open.len() + self.inherited.len()
    }
}

/// Returns the loads that may start at once after a pause.
fn burst(per_second: f64) -> f64 {
    MIN_BURST.max(per_second * BURST_TIME.as_secs_f64())
}
