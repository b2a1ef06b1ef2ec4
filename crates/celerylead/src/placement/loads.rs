//! Loads from the weight store, over all runners.

use serde::{Deserialize, Serialize};

use crate::clock::EpochMillis;

/// Where the weights of a load come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadSource {
    /// The weight store.
    Store,
    /// A copy that the runner keeps.
    Copy,
}

/// Loads that may begin at once after a pause; the platform bounds the
/// loads of a window by its rate and three more.
const BURST: f64 = 2.0;

/// How many loads may begin.
///
/// It starts empty: a host that takes over doesn't know what the one before
/// it has just begun.
///
/// # Examples
///
/// ```
/// use celerylead::{EpochMillis, placement::LoadAllowance};
///
/// let mut allowance = LoadAllowance::empty(EpochMillis(0));
/// assert!(!allowance.take(2.0, EpochMillis(100)));
/// assert!(allowance.take(2.0, EpochMillis(500)));
/// assert!(!allowance.take(2.0, EpochMillis(600)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LoadAllowance {
    loads: f64,
    refilled: EpochMillis,
}

impl LoadAllowance {
    /// Makes an allowance without any load in it.
    pub fn empty(now: EpochMillis) -> LoadAllowance {
        LoadAllowance { loads: 0.0, refilled: now }
    }

    /// Takes a load, of `per_second`, if one may begin.
    pub fn take(&mut self, per_second: f64, now: EpochMillis) -> bool {
        let seconds = self.refilled.until(now).as_secs_f64();
        self.refilled = now;
        self.loads = (self.loads + per_second * seconds).min(BURST);
        if self.loads < 1.0 {
            return false;
        }
        self.loads -= 1.0;
        true
    }
}
