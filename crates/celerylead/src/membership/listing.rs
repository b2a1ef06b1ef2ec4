//! What hosts tell each other of the hosts that they know.
//!
//! The platform's store lists all hosts. A host that starts while the store turns
//! it away learns them from a seed, and introduces itself to them: a host that is
//! unknown to others counts as absent there, and one that knows no others takes
//! what these leave of a customer's rate for its own.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::digest::HostCapacity;
use crate::store_version::StoreVersion;

/// Silence after which a host that no row lists is taken for gone. The rows of
/// silent hosts are removed after the same time.
pub const GONE_SILENCE: Duration = Duration::from_millis(30_000);
/// Silence after which a host is taken for gone that a read of the table doesn't
/// list: its row has been removed, or it was known by hearsay only.
const UNLISTED_SILENCE: Duration = Duration::from_millis(2_000);

/// A host as another one knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HostListing {
    /// Name of the host.
    pub host: String,
    /// Availability zone.
    pub zone: String,
    /// Address for other hosts, as `IP:PORT`.
    pub address: String,
    /// What the host may use of its machine, as in its row.
    pub capacity: Option<HostCapacity>,
    /// Time since the teller heard the host, in milliseconds.
    pub silent_ms: u64,
}

impl HostListing {
    /// Returns whether the host is to be learnt: it isn't gone.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerylead::membership::HostListing;
    ///
    /// let listing = HostListing {
    ///     host: "front-1".to_owned(),
    ///     zone: "boden".to_owned(),
    ///     address: "127.0.0.1:7400".to_owned(),
    ///     capacity: None,
    ///     silent_ms: 400,
    /// };
    /// assert!(listing.is_alive());
    /// assert!(!HostListing { silent_ms: 30_000, ..listing }.is_alive());
    /// ```
    pub fn is_alive(&self) -> bool {
        Duration::from_millis(self.silent_ms) < GONE_SILENCE
    }
}

/// How a host came to know another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostOrigin {
    /// From the hosts' table, in which its row has this version.
    Listed(StoreVersion),
    /// From another host.
    Learnt,
}

impl HostOrigin {
    /// Returns whether a host stays known that the table just read doesn't list,
    /// and that was last heard `silence` ago.
    pub fn outlives_reading(self, silence: Duration) -> bool {
        self == HostOrigin::Learnt && silence < UNLISTED_SILENCE
    }

    /// Returns whether a host stays known while no table is read. Listed ones are
    /// removed with their rows.
    pub fn outlives_silence(self, silence: Duration) -> bool {
        self != HostOrigin::Learnt || silence < GONE_SILENCE
    }
}
