//! When a refused caller is told to return.

use std::time::Duration;

use super::ticket::Ticket;
use crate::clock::EpochMillis;

/// Time after which the caller may return if no wait can be estimated.
const BASE_RETRY: Duration = Duration::from_millis(150);
/// Largest part of the caller's remaining time until its return.
const MAX_SHARE: f64 = 1.0 / 3.0;
/// Shortest and longest time to the return, as parts of the expected wait.
const SPREAD: (f64, f64) = (0.5, 1.5);

/// Returns the time from which a refused caller may return, as an even spread
/// around the expected wait. `dice` is a random number from 0 to 1.
///
/// A caller without a target is told the base time, as are all callers whose
/// wait isn't known, though these are spread.
pub fn retry_at(
    ticket: &Ticket,
    expected: Option<Duration>,
    dice: f64,
    now: EpochMillis,
) -> EpochMillis {
    if ticket.target.is_none() {
        return now.after(BASE_RETRY);
    }
    let wait = expected.unwrap_or(BASE_RETRY).max(BASE_RETRY);
    let (low, high) = SPREAD;
    let latest = now.until(ticket.deadline).mul_f64(MAX_SHARE);
    let high = wait.mul_f64(high).min(latest);
    // The spread keeps its width in proportion where the bound cuts it off.
    let low = wait.mul_f64(low).min(high.mul_f64(0.5));
    let span = high.saturating_sub(low);
    now.after(low + span.mul_f64(dice.clamp(0.0, 1.0)))
}
