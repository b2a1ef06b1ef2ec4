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
//!
//! Hosts behind an adapter hold nothing by such a lease. They tell each
//! other a [`HostDigest`] several times a second, and one of them gives the
//! orders to runners under the [`OrdersLease`].

mod contact;
mod digest;
mod gossip;
mod lease;
mod orders;
mod rendezvous;

#[cfg(test)]
mod tests;

pub use self::{
    contact::{PeerContact, RegistryContact},
    digest::{HostDigest, HostMessage, HostRow, RunnerLoad, SpentTotal},
    gossip::{GOSSIP_TICK, GossipTick},
    lease::{HeldLease, HostLease, HostTag, LeasePhase, MAX_PAUSE},
    orders::{LeaseClaim, OrderPermit, OrdersLease, OrdersRow, RENEW_PERIOD},
    rendezvous::{best_host, rank},
};
