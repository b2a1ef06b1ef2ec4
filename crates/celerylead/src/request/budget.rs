//! Budget of runs beyond the first, so that retries can't add up to a storm.
//!
//! Every request earns a tenth of a further run, up to a small reserve. When
//! many runners fail at once the reserve is soon spent, and the load on the
//! others stays close to what callers send.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Further runs that a request earns by default.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Further runs that can be saved up by default.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// Longest wait before the first further run.
const MAX_FIRST_BACKOFF: Duration = Duration::from_millis(10);

/// Runs that may still be repeated.
///
/// # Examples
///
/// ```
/// use celerylead::request::RetryBudget;
///
/// let mut budget = RetryBudget::default();
/// let spent = (0..100).filter(|_| budget.spend()).count();
/// assert_eq!(spent, 10);
/// (0..20).for_each(|_| budget.earn());
/// assert!(budget.spend() && budget.spend() && !budget.spend());
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RetryBudget {
    available: f64,
    per_request: f64,
    capacity: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget::new(RETRIES_PER_REQUEST, MAX_SAVED_RETRIES)
    }
}

impl RetryBudget {
    /// Makes a full budget in which a request earns `per_request` of a further
    /// run, and `capacity` runs can be saved up.
    pub fn new(per_request: f64, capacity: f64) -> RetryBudget {
        RetryBudget { available: capacity, per_request, capacity }
    }

    /// Notes a request.
    pub fn earn(&mut self) {
        self.available =
            (self.available + self.per_request).min(self.capacity);
    }

    /// Takes a further run, if there is one.
    pub fn spend(&mut self) -> bool {
        // A sum of tenths may be a little short of a whole.
        if self.available < 1.0 - 1e-9 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}

/// Returns the wait before the `retry`-th further run: twice as long each
/// time, by a random part `jitter` (0 to 1) of it.
///
/// # Examples
///
/// ```
/// let wait = celerylead::request::backoff(2, 0.5);
/// assert_eq!(wait.as_millis(), 10);
/// ```
pub fn backoff(retry: u32, jitter: f64) -> Duration {
    let doubled = MAX_FIRST_BACKOFF * 2_u32.pow(retry.clamp(1, 8) - 1);
    doubled.mul_f64(jitter.clamp(0.0, 1.0))
}
