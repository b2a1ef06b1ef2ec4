//! Customers: API keys and rate limits.
//!
//! This aggregate identifies a caller by the hash of its key ([`KeyHash`])
//! and limits the tokens that each customer spends. Two schemes spread a
//! customer's rate over several hosts:
//!
//! * The rate is divided into shares ([`share`]), and the host that holds a
//!   share enforces it with a token bucket ([`RateBucket`]).
//! * Each host keeps a bucket of the whole rate, and the hosts report their
//!   spending to each other ([`FleetBucket`], [`FleetBuckets`]).

mod bucket;
mod buckets;
mod charge;
mod fleet;
mod key;
mod limiter;
pub mod share;

#[cfg(test)]
mod tests;

pub use self::{
    bucket::{GRANT_HOLD, RateBucket, TokenGrant},
    buckets::{ChargeDenial, FleetBuckets},
    charge::{CallCharge, ChargeState, Owed, Taken},
    fleet::{FleetBucket, HostLiveness},
    key::{CallerKey, KeyHash},
    limiter::{
        HolderAddress, HolderPart, PartBalance, PartTokens, ShareLimiter,
        TakenTokens, TokenSource,
    },
};
