//! Messages by which hosts exchange their state through the aggregators of
//! their availability zones.
//!
//! In a large fleet a digest from every host to every other would cost each
//! host more than its callers do. A host therefore sends its digest to the
//! aggregator of its zone, which adds the digests up, exchanges the sums with
//! the aggregators of the other zones, and tells each host of its zone the
//! total of all other hosts.

use serde::{Deserialize, Serialize};

use super::digest::{RunnerLoad, SpentTotal};
use crate::placement::ModelDemand;

/// A process that adds up the digests of its zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct AggregateSource {
    /// Name of the host.
    pub host: String,
    /// Random number that identifies the host's process.
    pub incarnation: u64,
}

/// Sum of the digests of one availability zone, for the aggregators of the
/// other zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ZoneDigest {
    /// Availability zone.
    pub zone: String,
    /// The sending aggregator.
    pub source: AggregateSource,
    /// Sequence number of this digest of the source.
    pub sequence: u64,
    /// Longest time for which the registry has answered a host of the zone
    /// without a gap, in milliseconds.
    pub registry_steady_ms: u64,
    /// Hosts of the zone that the source doesn't hear, sorted.
    pub silent: Vec<String>,
    /// Calls in flight by runner, without names, sorted by runner.
    pub loads: Vec<RunnerLoad>,
    /// Consumption by customer since the start of the source, sorted by
    /// customer.
    pub spent: Vec<SpentTotal>,
}

/// What all other hosts of the fleet do, for one host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct FleetDigest {
    /// The sending aggregator.
    pub source: AggregateSource,
    /// Longest time for which the registry has answered another host without
    /// a gap, in milliseconds.
    pub registry_steady_ms: u64,
    /// Hosts that aren't heard, apart from those of silent zones, sorted.
    pub silent: Vec<String>,
    /// Availability zones of which nothing is heard, sorted.
    pub silent_zones: Vec<String>,
    /// Calls in flight by runner, without names, sorted by runner.
    pub loads: Vec<RunnerLoad>,
    /// Consumption by customer since the start of the source, sorted by
    /// customer.
    pub spent: Vec<SpentTotal>,
}

/// A part of what the lease holder has to know of a zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ZonePart {
    /// Availability zone.
    pub zone: String,
    /// Name of the sending aggregator.
    pub host: String,
    /// Number of the part; a name is always in the same one.
    pub part: u32,
    /// Runners of this part at which hosts of the zone have calls, with the
    /// models and adapters that these use.
    pub uses: Vec<RunnerLoad>,
    /// Demand for the models and adapters of this part, in tokens per second.
    pub demand: ModelDemand,
}
