//! The platform's table service: its client and the keys of the rows.
//!
//! Everything that hosts and operators agree on or that must be durable is a
//! row in the table service or an object in the object store.

use serde::{Deserialize, Serialize};

pub use crate::wire::table::{
    CommitRequest, CommitResponse, ReadRequest, ReadResponse, RowCheck,
    RowWrite, TableClient, TableRow,
};

/// Key of the small row that names the newest revision of the settings.
pub const SETTINGS_HEAD: &str = "settings/head";
/// Key of the row that contains the whole settings state.
pub const SETTINGS_STATE: &str = "settings/state";
/// Key of the row that changes with each write of the parts of customers'
/// rates.
pub const SHARES_HEAD: &str = "shares-head";
/// Prefix of the rows that contain the parts of customers' rates.
pub const SHARES_PREFIX: &str = "shares/";
/// Prefix of the rows that contain the placement plans of zones.
pub const PLACEMENT_PREFIX: &str = "placement/";
/// Prefix of the rows of the audit trail.
pub const AUDIT_PREFIX: &str = "audit/";

/// Row that names the newest revision of the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SettingsHead {
    /// The newest revision.
    pub revision: u64,
    /// Identifier of the change that created the revision.
    pub change_id: String,
}

/// Returns the prefix of the lease rows of a zone's hosts.
///
/// # Examples
///
/// ```
/// assert_eq!(celerylead::platform::hosts_prefix("kgn"), "hosts/kgn/");
/// ```
pub fn hosts_prefix(zone: &str) -> String {
    format!("hosts/{zone}/")
}

/// Returns the key of a host's lease row.
///
/// # Examples
///
/// ```
/// let key = celerylead::platform::host_key("kgn", "kgn-1");
/// assert_eq!(key, "hosts/kgn/kgn-1");
/// ```
pub fn host_key(zone: &str, host: &str) -> String {
    format!("hosts/{zone}/{host}")
}

/// Returns the key of the row with the parts of a customer's rate.
///
/// # Examples
///
/// ```
/// assert_eq!(celerylead::platform::share_key("parish"), "shares/parish");
/// ```
pub fn share_key(customer: &str) -> String {
    format!("{SHARES_PREFIX}{customer}")
}

/// Returns the prefix of the ledger rows of a zone's runners.
///
/// # Examples
///
/// ```
/// assert_eq!(celerylead::platform::ledgers_prefix("kgn"), "runners/kgn/");
/// ```
pub fn ledgers_prefix(zone: &str) -> String {
    format!("runners/{zone}/")
}

/// Returns the key of a runner's ledger row.
///
/// # Examples
///
/// ```
/// let key = celerylead::platform::ledger_key("kgn", "expander-1");
/// assert_eq!(key, "runners/kgn/expander-1");
/// ```
pub fn ledger_key(zone: &str, runner: &str) -> String {
    format!("runners/{zone}/{runner}")
}

/// Returns the key of the row with a zone's placement plan.
///
/// # Examples
///
/// ```
/// assert_eq!(celerylead::platform::placement_key("kgn"), "placement/kgn");
/// ```
pub fn placement_key(zone: &str) -> String {
    format!("{PLACEMENT_PREFIX}{zone}")
}

/// Returns the key of the audit entry for a revision.
///
/// # Examples
///
/// ```
/// let key = celerylead::platform::audit_key(7);
/// assert_eq!(key, "audit/000000000007");
/// ```
pub fn audit_key(revision: u64) -> String {
    format!("{AUDIT_PREFIX}{revision:012}")
}
