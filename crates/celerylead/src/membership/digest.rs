//! What hosts tell each other several times a second.
//!
//! A digest replaces the one before it from the same host, so a lost one
//! costs freshness only. Totals are counted from the start of the process
//! that tells them, which its incarnation names.

use serde::{Deserialize, Serialize};

use super::orders::OrdersRow;
use crate::{
    model::ModelName,
    placement::{ModelDemand, ResidencyList},
};

/// Calls of a host in flight at a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RunnerLoad {
    /// Identity of the runner.
    pub runner: String,
    /// Calls in flight.
    pub calls: u32,
    /// Tokens of these calls.
    pub tokens: u64,
    /// Adapters that they use, and models among those that give way.
    pub names: Vec<ModelName>,
}

/// What a host has spent of a customer's rate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SpentTotal {
    /// Name of the customer.
    pub customer: String,
    /// Units since the start of the host's process.
    pub total: i64,
    /// What may still be spent, as far as the host knows.
    pub level: Option<i64>,
}

/// What a host tells the others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HostDigest {
    /// Name of the host.
    pub host: String,
    /// Random number of its process.
    pub incarnation: u64,
    /// Time for which the registry has answered it without a gap, in
    /// milliseconds; 0 where there is one.
    pub registry_steady_ms: u64,
    /// Runners at which it has calls.
    pub loads: Vec<RunnerLoad>,
    /// Its spending by customer.
    pub spent: Vec<SpentTotal>,
    /// What it is asked for, in tokens a second by model; none where it was
    /// told lately.
    pub demand: Option<ModelDemand>,
}

/// Message from one host to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostMessage {
    /// What the sender carries.
    Digest(HostDigest),
    /// What some runners hold, from the host that orders.
    Held {
        /// The lease by which it does.
        lease: OrdersRow,
        /// Version of the lease's row.
        version: u64,
        /// Number of the telling among those under the lease's number.
        round: u64,
        /// Models and adapters that may be used, by the runner's identity.
        held: ResidencyList,
    },
    /// The host that ordered under this number has stopped.
    Released {
        /// The number.
        fencing: u64,
    },
    /// A call found its adapter at no runner.
    Want(ModelName),
}

/// Row of a host: where the others reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HostRow {
    /// Name of the host.
    pub host: String,
    /// Availability zone.
    pub zone: String,
    /// Address for other hosts, as `IP:PORT`.
    pub address: String,
    /// Random number of its process.
    pub incarnation: u64,
}
