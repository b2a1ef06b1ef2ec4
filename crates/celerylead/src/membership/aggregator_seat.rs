//! The sums of a zone at a host that may be its aggregator.

use super::{
    aggregator::{Gathering, Publishing, ZoneAggregator},
    digest::HostDigest,
    zone_digest::{AggregateSource, ZoneDigest},
};
use crate::clock::EpochMillis;

/// The sums of a zone, in their state.
#[derive(Clone, Debug, PartialEq)]
pub enum AggregatorSeat {
    /// The host gathers digests to be able to take over.
    Gathering(ZoneAggregator<Gathering>),
    /// The host is the aggregator of its zone.
    Publishing(ZoneAggregator<Publishing>),
}

/// A change of the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeatChange {
    /// The host has become the aggregator.
    Taken,
    /// The host leaves the zone to a better ranked aggregator.
    GivenUp,
}

impl AggregatorSeat {
    /// Creates the seat of a host that knows nothing of its zone.
    pub fn new(
        zone: &str,
        source: AggregateSource,
        now: EpochMillis,
    ) -> AggregatorSeat {
        let sums = ZoneAggregator::new(zone, source, now);
        AggregatorSeat::Gathering(sums)
    }

    /// Takes the seat if this host `leads` and knows enough of its zone, of
    /// which `listed` hosts are known, or gives it up if it doesn't lead.
    pub fn update(
        self,
        leads: bool,
        listed: usize,
        now: EpochMillis,
    ) -> (AggregatorSeat, Option<SeatChange>) {
        match self {
            AggregatorSeat::Gathering(sums)
                if leads && sums.knows_zone(listed, now) =>
            {
                let seat = AggregatorSeat::Publishing(sums.publish());
                (seat, Some(SeatChange::Taken))
            }
            AggregatorSeat::Publishing(sums) if !leads => {
                let seat = AggregatorSeat::Gathering(sums.stand_by(now));
                (seat, Some(SeatChange::GivenUp))
            }
            seat => (seat, None),
        }
    }

    /// Records the digest of a host of the zone, this one included.
    pub fn record_member(&mut self, digest: HostDigest, now: EpochMillis) {
        match self {
            AggregatorSeat::Gathering(sums) => sums.record_member(digest, now),
            AggregatorSeat::Publishing(sums) => {
                sums.record_member(digest, now);
            }
        }
    }

    /// Records the digest of another zone.
    pub fn record_zone(&mut self, digest: ZoneDigest, now: EpochMillis) {
        match self {
            AggregatorSeat::Gathering(sums) => sums.record_zone(digest, now),
            AggregatorSeat::Publishing(sums) => sums.record_zone(digest, now),
        };
    }

    /// Forgets the hosts that aren't listed any more.
    pub fn retain_members(&mut self, is_listed: impl Fn(&str) -> bool) {
        match self {
            AggregatorSeat::Gathering(sums) => sums.retain_members(is_listed),
            AggregatorSeat::Publishing(sums) => sums.retain_members(is_listed),
        }
    }

    /// Returns the sums if this host is the aggregator.
    pub fn publishing(&mut self) -> Option<&mut ZoneAggregator<Publishing>> {
        match self {
            AggregatorSeat::Gathering(_) => None,
            AggregatorSeat::Publishing(sums) => Some(sums),
        }
    }
}
