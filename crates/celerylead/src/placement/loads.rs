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
const LATE_LIMIT: Duration = Duration::from_millis(13_000);

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
pub enum LoadFate {
    /// It has begun, or may have; it won't any more.
    Begun,
    /// It hasn't begun by this sending and won't.
    Averted,
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
///     placement::{LoadAllowance, LoadFate},
/// };
///
/// let start = EpochMillis(0);
/// let window = Duration::from_secs(1);
/// let mut allowance = LoadAllowance::new(window, start);
/// assert!(!allowance.allows(2.0, EpochMillis(100)));
/// // Two loads that aren't answered fill a window of two.
/// for (number, at) in [(0, 500), (1, 1_000)] {
///     assert!(allowance.allows(2.0, EpochMillis(at)));
///     allowance.ordered("i-1", number, EpochMillis(at));
/// }
/// assert!(!allowance.allows(2.0, EpochMillis(3_000)));
/// allowance.ended("i-1", 0, LoadFate::Begun, EpochMillis(3_000));
/// assert!(!allowance.allows(2.0, EpochMillis(3_900)));
/// assert!(allowance.allows(2.0, EpochMillis(4_000)));
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadAllowance {
    /// Span in which the platform counts loads.
    window: Duration,
    /// Loads that the pace leaves.
    paced: f64,
    refilled: EpochMillis,
    /// Latest points at which loads have begun.
    begun: Vec<EpochMillis>,
    /// Points until which loads that were ordered here may begin.
    open: SortedTable<LoadKey, EpochMillis>,
    /// The same for those that another host ordered.
    inherited: Vec<EpochMillis>,
    /// Point from which loads of another host are out of the window.
    clear_from: EpochMillis,
}

impl LoadAllowance {
    /// Makes an allowance over `window` whose pace begins at nothing.
    pub fn new(window: Duration, now: EpochMillis) -> LoadAllowance {
        LoadAllowance { window, refilled: now, ..LoadAllowance::default() }
    }

    /// Takes over from a host that left so many loads open. It gave its last
    /// order before `last_order`.
    pub fn inherit(
        &mut self,
        open: u32,
        last_order: EpochMillis,
        now: EpochMillis,
    ) {
        let until = now.after(LATE_LIMIT);
        self.inherited.extend((0..open).map(|_| until));
        self.clear_from = last_order.after(self.window);
        self.paced = 0.0;
        self.refilled = now;
    }

    /// Tells whether another load may be ordered, at a rate of `per_second`.
    pub fn allows(&mut self, per_second: f64, now: EpochMillis) -> bool {
        let seconds = self.refilled.until(now).as_secs_f64();
        self.refilled = now;
        self.paced = (self.paced + per_second * seconds).min(BURST);
        let window = self.window;
        self.begun.retain(|at| now < at.after(window));
        self.open.retain(|_, until| now < until.after(window));
        self.inherited.retain(|until| now < until.after(window));
        let counted = self.begun.len() + self.open_count();
        let most = (per_second * window.as_secs_f64()).max(1.0);
        self.clear_from <= now
            && 1.0 <= self.paced
            && counted as f64 + 1.0 <= most
    }

    /// Books a load that is ordered now.
    pub fn ordered(&mut self, runner: &str, expected: u64, now: EpochMillis) {
        self.paced -= 1.0;
        let key = (runner.to_owned(), expected);
        self.open.insert(key, now.after(LATE_LIMIT));
    }

    /// Notes that the order of a load, if it is one, goes out again.
    pub fn repeated(&mut self, runner: &str, expected: u64, now: EpochMillis) {
        if let Some(until) = self.open.get_mut(&(runner.to_owned(), expected))
        {
            *until = now.after(LATE_LIMIT);
        }
    }

    /// Notes how a sending of the order of a load, if it is one, ended.
    pub fn ended(
        &mut self,
        runner: &str,
        expected: u64,
        fate: LoadFate,
        now: EpochMillis,
    ) {
        if fate == LoadFate::Open {
            return;
        }
        let held = self.open.remove(&(runner.to_owned(), expected));
        if held.is_some() && fate == LoadFate::Begun {
            self.begun.push(now);
        }
    }

    /// Notes that a runner has accepted so many orders: a load that was
    /// ordered under a lower number has begun, or never will.
    pub fn settled(&mut self, runner: &str, orders: u64, now: EpochMillis) {
        let before = self.open.len();
        self.open.retain(|(held, expected), _| {
            held != runner || orders <= *expected
        });
        let settled = before - self.open.len();
        self.begun.extend((0..settled).map(|_| now));
    }

    /// Returns how many loads may still begin, or may have begun unseen.
    pub fn open_count(&self) -> usize {
        self.open.len() + self.inherited.len()
    }
}
