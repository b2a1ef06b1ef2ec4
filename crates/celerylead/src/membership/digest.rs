//! Gossip messages that hosts exchange several times a second.
//!
//! Each digest replaces the previous one of the same host, so a lost digest
//! only makes the receiver's data older. Totals count from the start of the
//! sending process, which the incarnation identifies.

use serde::{Deserialize, Serialize};

use super::{
    excerpt::FeedExcerpt,
    listing::HostListing,
    orders::OrdersRow,
    zone_digest::{FleetDigest, ZoneDigest, ZonePart},
};
use crate::{
    catalog::EvacuationList,
    model::ModelName,
    placement::{ModelDemand, ResidencyList},
    quarantine::{EvidenceReport, GroupRow, KeptVerdict},
    request::RetryClaim,
    roster::RunnerStart,
    store_version::StoreVersion,
};

/// Calls of one host that are in flight at a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RunnerLoad {
    /// Identity of the runner.
    pub runner: String,
    /// Number of calls in flight.
    pub calls: u32,
    /// Total tokens of these calls.
    pub tokens: u64,
    /// Adapters that these calls use, and those of their models that the lease
    /// holder no longer lists at the runner, as they drain before their
    /// unload.
    pub names: Vec<ModelName>,
}

/// Consumption of a customer's rate by one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SpentTotal {
    /// Name of the customer.
    pub customer: String,
    /// Units consumed since the start of the host's process.
    pub total: i64,
    /// Units that may still be consumed; `None` while the host doesn't know.
    pub level: Option<i64>,
}

/// State that a host periodically sends to the other hosts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HostDigest {
    /// Name of the host.
    pub host: String,
    /// Random number that identifies the host's process.
    pub incarnation: u64,
    /// Time for which the registry has answered the host without a gap, in
    /// milliseconds; 0 during a gap.
    pub registry_steady_ms: u64,
    /// Runners at which the host has calls in flight.
    pub loads: Vec<RunnerLoad>,
    /// Consumption by customer.
    pub spent: Vec<SpentTotal>,
    /// Demand at the host by model, in tokens per second; `None` if an earlier
    /// digest reported it recently.
    pub demand: Option<ModelDemand>,
}

/// Message from one host to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostMessage {
    /// Load and consumption at the sender.
    Digest(HostDigest),
    /// Models and adapters that some runners hold, sent by the lease holder.
    Residency {
        /// Row of the orders lease of the sender.
        lease: OrdersRow,
        /// Version of the lease's row.
        version: StoreVersion,
        /// Sequence number of this message under the lease's fencing token.
        sequence: u64,
        /// Usable models and adapters by the identity of the runner.
        residency: ResidencyList,
    },
    /// The lease holder with this fencing token has given up the orders lease.
    Released {
        /// Fencing token of the lease.
        fencing: u64,
    },
    /// A call needs an adapter that no runner holds.
    AdapterMissing(ModelName),
    /// These runners told the sender that they are leaving. Hosts of a version
    /// without this message ignore it.
    Departing(Vec<RunnerStart>),
    /// Changes of the registry, sent by the host that reads it for its zone.
    /// Hosts of a version without this message read the registry themselves.
    Registry(FeedExcerpt),
    /// Evidence and verdicts on parts of prompts that crash runners. Hosts of a
    /// version without this message ignore it.
    Evidence(EvidenceReport),
    /// Digest of a host for an aggregator of its zone.
    Member(HostDigest),
    /// Sums of a zone, for the aggregators of other zones.
    Zone(ZoneDigest),
    /// What all other hosts do, from the aggregator of the receiver's zone.
    Fleet(FleetDigest),
    /// Demand and uses of a zone, for the lease holder.
    Part(ZonePart),
    /// Answer of a host to the lease holder: its calls still use what the
    /// holder no longer lists. The aggregator of its zone reports them later.
    StillUsed(HostDigest),
    /// A message that the aggregator passes on to each host of its zone.
    Forward(Box<HostMessage>),
    /// These starts of runners refused the sender a connection, and may have
    /// ended. Hosts of a version without this message ignore it.
    Unreachable(Vec<RunnerStart>),
    /// Evacuated zones that the sender knows. Hosts of a version without this
    /// message ignore it.
    Evacuations(EvacuationList),
    /// Verdicts on parts that crashes can't be told apart by. Hosts of a version
    /// without this message ignore it.
    SuspectGroups(Vec<GroupRow>),
    /// The sender, which the store has turned away since its start. Hosts of a
    /// version without this message go by the hosts' table.
    Introduction(HostListing),
}

/// Row of a host, with the address at which other hosts reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HostRow {
    /// Name of the host.
    pub host: String,
    /// Availability zone.
    pub zone: String,
    /// Address for other hosts, as `IP:PORT`.
    pub address: String,
    /// Random number that identifies the host's process.
    pub incarnation: u64,
    /// What the host may use of its machine; `None` for a host of a version
    /// that sends its digest to every other host itself.
    #[serde(default)]
    pub capacity: Option<HostCapacity>,
    /// Claims of retries by this process and by the host's earlier ones, with
    /// times of the store's clock.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub retry_claims: Vec<RetryClaim>,
    /// Verdicts on parts of prompts that crash runners, with times of the store's
    /// clock.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub verdicts: Vec<KeptVerdict>,
}

/// What a host may use of its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HostCapacity {
    /// Share of a processor core, in thousandths.
    pub core_permille: u32,
    /// Bandwidth of the machine's link, in kbit/s.
    pub link_kbps: u32,
}
