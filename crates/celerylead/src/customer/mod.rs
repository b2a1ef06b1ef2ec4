//! Customers: their keys and their rates.
//!
//! This aggregate knows who a caller is ([`KeyHash`]), and how many tokens a
//! customer may still spend at one holder of its rate ([`RateBucket`]). How
//! a rate is divided among holders is [`share`]; where hosts tell each other
//! what they spend instead, [`FleetBucket`] keeps it.

mod book;
mod bucket;
mod fleet;
mod key;
pub mod share;

#[cfg(test)]
mod tests;

pub use self::{
    book::{
        HolderAddress, HolderPart, PartTokens, ShareBook, TakenTokens,
        TokenSource,
    },
    bucket::{GRANT_HOLD, RateBucket, TokenGrant},
    fleet::{FleetBucket, HostHearing},
    key::{CallerKey, KeyHash},
};
