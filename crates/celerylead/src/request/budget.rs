//! Retry budget and back-off, which prevent retry storms.
//!
//! Each request adds a tenth of a retry to the budget, up to a small reserve.
//! When many runners fail at once, the reserve is soon spent, and the load
//! on the other runners stays close to the load that callers send.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Retries that a request adds to the budget by default.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Retries that the budget can hold by default.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// Upper bound of the wait before the first retry.
const MAX_FIRST_BACKOFF: Duration = Duration::from_millis(10);

/// Number of retries that are still allowed.
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
    /// Creates a full budget of `capacity` retries, to which each request adds
    /// `per_request` of a retry.
    pub fn new(per_request: f64, capacity: f64) -> RetryBudget {
        RetryBudget { available: capacity, per_request, capacity }
    }

    /// Adds the share of a request to the budget.
    pub fn earn(&mut self) {
        self.available =
            (self.available + self.per_request).min(self.capacity);
    }

    /// Takes a retry from the budget and returns `true`, if one is left.
    pub fn spend(&mut self) -> bool {
        // Rounding may leave a sum of tenths slightly below 1.
        if self.available < 1.0 - 1e-9 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}

/// Returns the wait before the `retry`-th retry: exponential back-off that
/// doubles with each retry up to the eighth, multiplied by the random
/// fraction `jitter` (0 to 1).
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
