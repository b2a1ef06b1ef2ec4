//! Customers: their keys and their rates.
//!
//! This aggregate knows who a caller is ([`KeyHash`]), and how many tokens a
//! customer may still spend at one holder of its rate ([`RateBucket`]). How
//! a rate is divided among holders is [`share`]; where hosts tell each other
//! what they spend instead, [`FleetBucket`] keeps it.

mod bucket;
mod fleet;
mod key;
mod limiter;
pub mod share;

#[cfg(test)]
mod tests;

pub use self::{
    bucket::{GRANT_HOLD, RateBucket, TokenGrant},
    fleet::{FleetBucket, HostLiveness},
    key::{CallerKey, KeyHash},
    limiter::{
        HolderAddress, HolderPart, PartTokens, ShareLimiter, TakenTokens,
        TokenSource,
    },
};
