//! Token bucket at one holder of a part of a customer's rate.
//!
//! Guarantee: the tokens taken from a bucket in any window of `w` seconds
//! are at most `rate × w + burst`, also where some of them were granted to
//! another host and spent there up to [`GRANT_HOLD`] later. For that, a
//! grant keeps its room in the bucket until it can no longer be spent:
//! `level + held grants ≤ burst` holds at every moment.
//!
//! Amounts are kept in whole microtokens, so that refills lose nothing:
//! a rate in millitokens per second times milliseconds is microtokens.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::EpochMillis;

/// Time for which a grant keeps its room in the grantor's bucket.
///
/// The host that asked gives up on a grant well before this, counted from
/// when it asked, so no clocks are compared.
pub const GRANT_HOLD: Duration = Duration::from_millis(1_000);

const MICROTOKENS_PER_TOKEN: i64 = 1_000_000;
const MILLITOKENS_PER_TOKEN: i64 = 1_000;

/// Tokens that were granted to another host and may still be spent there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TokenGrant {
    /// Point from which the tokens can no longer be spent.
    pub deadline: EpochMillis,
    /// Microtokens granted.
    pub amount: i64,
}

/// A token bucket: refills at a rate up to a burst.
///
/// # Examples
///
/// ```
/// use celerylead::{EpochMillis, customer::RateBucket};
///
/// let mut bucket = RateBucket::full(10_000, 5, EpochMillis(0));
/// assert!(bucket.take(5, EpochMillis(0)));
/// assert!(!bucket.take(1, EpochMillis(0)));
/// // 10,000 millitokens a second: one token every 100 ms.
/// assert!(bucket.take(1, EpochMillis(100)));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RateBucket {
    /// Millitokens a second.
    rate: i64,
    /// Microtokens at which the bucket is full.
    burst: i64,
    /// Microtokens ready to be taken; below zero after a debt.
    level: i64,
    refilled_at: EpochMillis,
    grants: Vec<TokenGrant>,
}

impl RateBucket {
    /// Makes a bucket of `rate` millitokens a second that holds nothing.
    ///
    /// A part of a rate whose former holder may have spent the burst starts
    /// this way.
    pub fn empty(rate: u64, burst: u64, now: EpochMillis) -> RateBucket {
        RateBucket {
            rate: clamp(rate),
            burst: clamp(burst).saturating_mul(MICROTOKENS_PER_TOKEN),
            level: 0,
            refilled_at: now,
            grants: Vec::new(),
        }
    }

    /// Makes a bucket of `rate` millitokens a second that holds its burst.
    pub fn full(rate: u64, burst: u64, now: EpochMillis) -> RateBucket {
        let mut bucket = RateBucket::empty(rate, burst, now);
        bucket.level = bucket.burst;
        bucket
    }

    /// Changes rate and burst. A smaller burst cuts the level at once; a
    /// larger one fills at the rate.
    pub fn resize(&mut self, rate: u64, burst: u64, now: EpochMillis) {
        self.refill(now);
        self.rate = clamp(rate);
        self.burst = clamp(burst).saturating_mul(MICROTOKENS_PER_TOKEN);
        self.level = self.level.min(self.level_limit());
    }

    /// Takes `tokens` whole, or nothing.
    pub fn take(&mut self, tokens: u64, now: EpochMillis) -> bool {
        self.refill(now);
        let amount = clamp(tokens).saturating_mul(MICROTOKENS_PER_TOKEN);
        if self.level < amount {
            return false;
        }
        self.level -= amount;
        true
    }

    /// Takes as many whole tokens as there are, up to `tokens`, for another
    /// host to spend before the returned grant's deadline.
    pub fn grant(&mut self, tokens: u64, now: EpochMillis) -> u64 {
        self.refill(now);
        let whole =
            u64::try_from(self.level / MICROTOKENS_PER_TOKEN).unwrap_or(0);
        let granted = whole.min(tokens);
        if granted == 0 {
            return 0;
        }
        let amount = clamp(granted) * MICROTOKENS_PER_TOKEN;
        self.level -= amount;
        let deadline = now.after(GRANT_HOLD);
        self.grants.push(TokenGrant { deadline, amount });
        granted
    }

    /// Notes that granted tokens were spent or won't be: their room is free
    /// before the grant has run out.
    ///
    /// The grants with the earliest deadlines go first. Those that remain
    /// keep their room at least as long as what is still out may be spent.
    pub fn end_grant(&mut self, tokens: u64, now: EpochMillis) {
        self.refill(now);
        let mut amount = clamp(tokens).saturating_mul(MICROTOKENS_PER_TOKEN);
        for grant in &mut self.grants {
            let ended = grant.amount.min(amount);
            grant.amount -= ended;
            amount -= ended;
        }
        self.grants.retain(|grant| 0 < grant.amount);
    }

    /// Gives back tokens that were taken and then not used. What exceeds
    /// the burst is lost.
    pub fn refund(&mut self, tokens: u64, now: EpochMillis) {
        self.refill(now);
        let amount = clamp(tokens).saturating_mul(MICROTOKENS_PER_TOKEN);
        self.level = self.level.saturating_add(amount).min(self.level_limit());
    }

    /// Books tokens that were used beyond what was taken; the level may
    /// fall below zero and later requests wait for the refill.
    pub fn debit(&mut self, tokens: u64, now: EpochMillis) {
        self.refill(now);
        let amount = clamp(tokens).saturating_mul(MICROTOKENS_PER_TOKEN);
        self.level = self.level.saturating_sub(amount);
    }

    /// Returns the whole tokens that can be taken now.
    pub fn level(&mut self, now: EpochMillis) -> u64 {
        self.refill(now);
        u64::try_from(self.level / MICROTOKENS_PER_TOKEN).unwrap_or(0)
    }

    /// Returns the burst in whole tokens.
    pub fn burst(&self) -> u64 {
        u64::try_from(self.burst / MICROTOKENS_PER_TOKEN).unwrap_or(0)
    }

    /// Returns the point at which `tokens` will be there, or `None` where
    /// the burst is smaller or the rate is zero.
    pub fn ready_at(&self, tokens: u64) -> Option<EpochMillis> {
        let amount = clamp(tokens).saturating_mul(MICROTOKENS_PER_TOKEN);
        if self.burst < amount {
            return None;
        }
        let missing = amount - self.level;
        if missing <= 0 {
            return Some(self.refilled_at);
        }
        if self.rate == 0 {
            return None;
        }
        let millis = u64::try_from(missing / self.rate + 1).ok()?;
        Some(self.refilled_at.after(Duration::from_millis(millis)))
    }

    fn refill(&mut self, now: EpochMillis) {
        self.grants.retain(|grant| now < grant.deadline);
        if now <= self.refilled_at {
            return;
        }
        let millis = clamp(now.0 - self.refilled_at.0);
        let gained = self.rate.saturating_mul(millis);
        self.refilled_at = now;
        self.level = self.level.saturating_add(gained).min(self.level_limit());
    }

    /// Largest level allowed while grants are out.
    fn level_limit(&self) -> i64 {
        let held: i64 = self.grants.iter().map(|grant| grant.amount).sum();
        self.burst - held
    }
}

/// Largest rate or burst that the arithmetic takes, in its own unit.
const MAX_AMOUNT: i64 =
    i64::MAX / MICROTOKENS_PER_TOKEN / MILLITOKENS_PER_TOKEN;

fn clamp(amount: u64) -> i64 {
    i64::try_from(amount).map_or(MAX_AMOUNT, |amount| amount.min(MAX_AMOUNT))
}
