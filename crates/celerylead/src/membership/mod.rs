//! Membership of hosts: leases, gossip and the choice of responsible hosts.
//!
//! Each host renews one lease, a row of the table service. Everything that a
//! host holds on behalf of the fleet (parts of rates, runners) depends on
//! that one lease, so the number of writes grows only with the number of
//! hosts.
//!
//! The row has two deadlines. Resources that must move quickly to another host
//! are held until [`HostLease::deadline`]. The standing part of a rate, on
//! which a zone continues to serve when it is cut off from the platform, is
//! held until [`HostLease::standing_deadline`].
//!
//! Hosts behind a platform adapter don't use this lease. They send each other
//! a [`HostDigest`] several times a second. One of them holds the
//! [`OrdersLease`] and sends the orders to the runners. One of each zone reads
//! the registry for the others and passes it on as [`FeedExcerpt`]s. In a large
//! fleet, digests go through a [`ZoneAggregator`] in each zone.

mod aggregator;
mod aggregator_choice;
mod aggregator_seat;
mod contact;
mod digest;
mod excerpt;
mod gossip;
mod lease;
mod listing;
mod orders;
mod rendezvous;
mod zone_digest;

#[cfg(test)]
mod tests;

pub use self::{
    aggregator::{FleetTotal, Gathering, Publishing, ZoneAggregator},
    aggregator_choice::{AggregatorCandidate, AggregatorChoice},
    aggregator_seat::{AggregatorSeat, SeatChange},
    contact::{PeerContact, RegistryContact},
    digest::{
        HostCapacity, HostDigest, HostMessage, HostRow, RunnerLoad, SpentTotal,
    },
    excerpt::{
        ExcerptRow, ExcerptVerdict, FeedExcerpt, FeedFollower, RevisionNews,
        is_zone_reader,
    },
    gossip::{GOSSIP_TICK, GossipTick},
    lease::{HeldLease, HostLease, HostTag, LeasePhase, MAX_PAUSE},
    listing::{GONE_SILENCE, HostListing, HostOrigin},
    orders::{
        LeaseClaim, OrderPermit, OrdersLease, OrdersRow, RENEW_PERIOD,
        StoredOrdersRow,
    },
    rendezvous::{best_host, rendezvous_weight},
    zone_digest::{AggregateSource, FleetDigest, ZoneDigest, ZonePart},
};
