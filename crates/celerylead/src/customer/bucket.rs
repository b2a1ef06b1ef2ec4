//! Token bucket of a host that holds a part of a customer's rate.
//!
//! The bucket guarantees that the tokens taken from it in any window of `w`
//! seconds are at most `rate × w + burst`, even if some of them were granted
//! to another host and spent there up to [`GRANT_HOLD`] later. A grant
//! therefore occupies its room in the bucket until it can no longer be
//! spent: `level + outstanding grants ≤ burst` holds at all times.
//!
//! Amounts are whole microtokens, so that refills lose nothing to rounding:
//! a rate in millitokens per second multiplied by a time in milliseconds is
//! an amount in microtokens.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::EpochMillis;

/// Time for which a grant occupies room in the bucket of the host that made
/// it.
///
/// The host that requested the grant abandons it well before this time has
/// passed since its request, so the clocks of the two hosts are never
/// compared.
pub const GRANT_HOLD: Duration = Duration::from_millis(1_000);

const MICROTOKENS_PER_TOKEN: i64 = 1_000_000;
const MILLITOKENS_PER_TOKEN: i64 = 1_000;

/// Tokens that were granted to another host and may still be spent there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TokenGrant {
    /// Time from which the tokens can no longer be spent.
    pub deadline: EpochMillis,
    /// Granted microtokens that haven't been settled yet.
    pub amount: i64,
}

/// A token bucket that refills at a rate up to a burst.
///
/// # Examples
///
/// ```
/// use celerylead::{EpochMillis, customer::RateBucket};
///
/// let mut bucket = RateBucket::full(10_000, 5, EpochMillis(0));
/// assert!(bucket.take(5, EpochMillis(0)));
/// assert!(!bucket.take(1, EpochMillis(0)));
/// // 10,000 millitokens per second are one token every 100 ms.
/// assert!(bucket.take(1, EpochMillis(100)));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RateBucket {
    /// Rate in millitokens per second.
    rate: i64,
    /// Burst in microtokens, the level at which the bucket is full.
    burst: i64,
    /// Microtokens that can be taken; negative while tokens are owed.
    level: i64,
    refilled_at: EpochMillis,
    grants: Vec<TokenGrant>,
}

impl RateBucket {
    /// Creates an empty bucket with a rate of `rate` millitokens per second
    /// and a burst of `burst` tokens.
    ///
    /// A part of a rate starts empty if an earlier holder may have spent its
    /// burst.
    pub fn empty(rate: u64, burst: u64, now: EpochMillis) -> RateBucket {
        RateBucket {
            rate: clamp(rate),
            burst: clamp(burst).saturating_mul(MICROTOKENS_PER_TOKEN),
            level: 0,
            refilled_at: now,
            grants: Vec::new(),
        }
    }

    /// Creates a full bucket with a rate of `rate` millitokens per second and
    /// a burst of `burst` tokens.
    pub fn full(rate: u64, burst: u64, now: EpochMillis) -> RateBucket {
        let mut bucket = RateBucket::empty(rate, burst, now);
        bucket.level = bucket.burst;
        bucket
    }

    /// Returns the whole tokens that can be taken now, and those that are
    /// granted and may still be spent, for the next holder of the part.
    pub fn balance(&mut self, now: EpochMillis) -> (u64, u64) {
        let level = self.level(now);
        let granted: i64 = self.grants.iter().map(|grant| grant.amount).sum();
        let granted = (granted / MICROTOKENS_PER_TOKEN).saturating_add(1);
        (level, u64::try_from(granted).unwrap_or(0))
    }

    /// Adds the balance of the former holder of the part. Its grants keep
    /// their room until they can no longer be spent.
    pub fn inherit(&mut self, level: u64, granted: u64, now: EpochMillis) {
        let amount = clamp(granted).saturating_mul(MICROTOKENS_PER_TOKEN);
        let deadline = now.after(GRANT_HOLD);
        self.grants.push(TokenGrant { deadline, amount });
        self.refund(level, now);
    }

    /// Changes the rate, in millitokens per second, and the burst, in tokens.
    /// A smaller burst cuts the level at once; a larger burst fills up at the
    /// rate.
    pub fn resize(&mut self, rate: u64, burst: u64, now: EpochMillis) {
        self.refill(now);
        self.rate = clamp(rate);
        self.burst = clamp(burst).saturating_mul(MICROTOKENS_PER_TOKEN);
        self.level = self.level.min(self.level_limit());
    }

    /// Takes all of `tokens` and returns `true`, or takes none.
    pub fn take(&mut self, tokens: u64, now: EpochMillis) -> bool {
        self.refill(now);
        let amount = clamp(tokens).saturating_mul(MICROTOKENS_PER_TOKEN);
        if self.level < amount {
            return false;
        }
        self.level -= amount;
        true
    }

    /// Grants up to `tokens` whole tokens to another host, which may spend
    /// them within [`GRANT_HOLD`]. Returns the number of tokens granted.
    pub fn grant(&mut self, tokens: u64, now: EpochMillis) -> u64 {
        self.refill(now);
        let available =
            u64::try_from(self.level / MICROTOKENS_PER_TOKEN).unwrap_or(0);
        let granted = available.min(tokens);
        if granted == 0 {
            return 0;
        }
        let amount = clamp(granted) * MICROTOKENS_PER_TOKEN;
        self.level -= amount;
        let deadline = now.after(GRANT_HOLD);
        self.grants.push(TokenGrant { deadline, amount });
        granted
    }

    /// Records that granted tokens were spent or won't be spent any more,
    /// which frees their room in the bucket before the grant's deadline.
    ///
    /// The grants with the earliest deadlines end first. The remaining grants
    /// therefore occupy their room for at least as long as tokens that are
    /// still outstanding may be spent.
    pub fn settle_grant(&mut self, tokens: u64, now: EpochMillis) {
        self.refill(now);
        let mut amount = clamp(tokens).saturating_mul(MICROTOKENS_PER_TOKEN);
        for grant in &mut self.grants {
            let ended = grant.amount.min(amount);
            grant.amount -= ended;
            amount -= ended;
        }
        self.grants.retain(|grant| 0 < grant.amount);
    }

    /// Refunds tokens that were taken and not used. Tokens beyond the room
    /// that outstanding grants leave in the burst are lost.
    pub fn refund(&mut self, tokens: u64, now: EpochMillis) {
        self.refill(now);
        let amount = clamp(tokens).saturating_mul(MICROTOKENS_PER_TOKEN);
        self.level = self.level.saturating_add(amount).min(self.level_limit());
    }

    /// Debits tokens that were used beyond those taken. The level may fall
    /// below zero, and later requests then wait for the refill.
    pub fn debit(&mut self, tokens: u64, now: EpochMillis) {
        self.refill(now);
        let amount = clamp(tokens).saturating_mul(MICROTOKENS_PER_TOKEN);
        self.level = self.level.saturating_sub(amount);
    }

    /// Returns the number of whole tokens that can be taken now.
    pub fn level(&mut self, now: EpochMillis) -> u64 {
        self.refill(now);
        u64::try_from(self.level / MICROTOKENS_PER_TOKEN).unwrap_or(0)
    }

    /// Returns the burst in whole tokens.
    pub fn burst(&self) -> u64 {
        u64::try_from(self.burst / MICROTOKENS_PER_TOKEN).unwrap_or(0)
    }

    /// Returns the time at which `tokens` can be taken. Returns `None` if the
    /// burst is smaller than `tokens`, or if tokens are missing and the rate
    /// is zero.
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

    /// Drops expired grants and adds the tokens gained since the last refill.
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

    /// Returns the largest level that outstanding grants allow.
    fn level_limit(&self) -> i64 {
        let granted: i64 = self.grants.iter().map(|grant| grant.amount).sum();
        self.burst - granted
    }
}

/// Largest rate or burst that can't overflow the arithmetic: a rate in
/// millitokens per second, or a burst in tokens.
const MAX_AMOUNT: i64 =
    i64::MAX / MICROTOKENS_PER_TOKEN / MILLITOKENS_PER_TOKEN;

/// Converts an amount, limited to [`MAX_AMOUNT`].
fn clamp(amount: u64) -> i64 {
    i64::try_from(amount).map_or(MAX_AMOUNT, |amount| amount.min(MAX_AMOUNT))
}
