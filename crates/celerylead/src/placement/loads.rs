//! Loads from the weight store, over all runners.
//!
//! The platform bounds how many may begin in a window. An order that isn't
//! answered may begin its load seconds later, beside younger ones, so it isn't
//! enough to count orders as they are given: a load counts from its order
//! until the window has passed since the latest point at which it can have
//! begun. Of the loads that begin in any window all but the one ordered last
//! count when that one is ordered, so no window has more than are allowed.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{clock::EpochMillis, sorted::SortedTable};

/// Loads that may begin at once after a pause; more of them slow each other
/// down at the weight store.
const BURST: f64 = 2.0;
/// Time after it was sent within which an unanswered order may be carried
/// out; the platform's list of troubles says up to 12 s.
const MAX_START_DELAY: Duration = Duration::from_millis(13_000);

/// Where the weights of a load come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadSource {
    /// The weight store.
    Store,
    /// A copy that the runner keeps.
    Copy,
}

/// How the sending of an order ended, as far as its load goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadOutcome {
    /// It has begun, or may have; it won't any more.
    Started,
    /// It hasn't begun by this sending and won't.
    NotStarted,
    /// It may still begin.
    Open,
}

/// Which order a load is of: the runner, and the orders that it must have
/// accepted before.
type LoadKey = (String, u64);

/// How many loads may begin.
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
/// // Two loads that aren't answered fill a window of two.
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
    /// Span in which the platform counts loads.
    window: Duration,
    /// Loads that the pace leaves.
    tokens: f64,
    refilled_at: EpochMillis,
    /// Latest points at which loads have begun.
    started: Vec<EpochMillis>,
    /// Points until which loads that were ordered here may begin.
    open: SortedTable<LoadKey, EpochMillis>,
    /// The same for those that another host ordered.
    inherited: Vec<EpochMillis>,
    /// Point from which loads of another host are out of the window.
    clear_from: EpochMillis,
}

impl LoadLimiter {
    /// Makes an allowance over `window` whose pace begins at nothing.
    pub fn new(window: Duration, now: EpochMillis) -> LoadLimiter {
        LoadLimiter { window, refilled_at: now, ..LoadLimiter::default() }
    }

    /// Takes over from a host that left so many loads open. It gave its last
    /// order before `last_order`.
    pub fn inherit(
        &mut self,
        open: u32,
        last_order: EpochMillis,
        now: EpochMillis,
    ) {
        let until = now.after(MAX_START_DELAY);
        self.inherited.extend((0..open).map(|_| until));
        self.clear_from = last_order.after(self.window);
        self.tokens = 0.0;
        self.refilled_at = now;
    }

    /// Tells whether another load may be ordered, at a rate of `per_second`.
    pub fn allows(&mut self, per_second: f64, now: EpochMillis) -> bool {
        let seconds = self.refilled_at.until(now).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + per_second * seconds).min(BURST);
        let window = self.window;
        self.started.retain(|at| now < at.after(window));
        self.open.retain(|_, until| now < until.after(window));
        self.inherited.retain(|until| now < until.after(window));
        let counted = self.started.len() + self.open_count();
        let limit = (per_second * window.as_secs_f64()).max(1.0);
        self.clear_from <= now
            && 1.0 <= self.tokens
            && counted as f64 + 1.0 <= limit
    }

    /// Books a load that is ordered now.
    pub fn record_order(
        &mut self,
        runner: &str,
        expected: u64,
        now: EpochMillis,
    ) {
        self.tokens -= 1.0;
        let key = (runner.to_owned(), expected);
        self.open.insert(key, now.after(MAX_START_DELAY));
    }

    /// Notes that the order of a load, if it is one, goes out again.
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

    /// Notes how a sending of the order of a load, if it is one, ended.
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

    /// Notes that a runner has accepted so many orders: a load that was
    /// ordered under a lower number has begun, or never will.
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

    /// Returns how many loads may still begin, or may have begun unseen.
    pub fn open_count(&self) -> usize {
        self.open.len() + self.inherited.len()
    }
}
