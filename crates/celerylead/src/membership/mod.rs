//! Hosts: who is there, and until when each may hold something.
//!
//! A host has one lease, a row of the table service that it renews. All
//! that a host holds for the fleet (parts of rates, runners) it holds by
//! that lease, so the number of writes grows with hosts alone.
//!
//! The row holds two deadlines. What must move quickly ends with
//! [`HostLease::deadline`]; the standing part of a rate, with which a zone
//! goes on when it is cut off from the platform, ends with
//! [`HostLease::standing_deadline`].

mod lease;
mod rendezvous;

#[cfg(test)]
mod tests;

pub use self::{
    lease::{HeldLease, HostLease, HostTag, LeasePhase, MAX_PAUSE},
    rendezvous::{best_host, rank},
};
