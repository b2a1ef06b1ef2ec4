//! Operations for operators: changes of the settings and their results, and
//! look-ups.
//!
//! A change is one transaction of the table service. It writes the new state,
//! the head row that names the revision, and the entry of the audit trail.
//! Each change has an id, so that a change whose answer was lost is recognized
//! when it is requested again and is never applied twice.

use hyper::Method;
use serde::{Deserialize, Serialize};

use crate::{
    clock::HostClock,
    customer::share::ShareRow,
    membership::HostLease,
    platform::{
        AUDIT_PREFIX, CommitRequest, ReadRequest, SETTINGS_HEAD,
        SETTINGS_STATE, SHARES_PREFIX, SettingsHead, TableClient, TableRow,
        audit_key,
    },
    settings::{AuditEntry, SettingsChange, SettingsState},
    step::{StepContext as _, StepName},
    wire::table::exchange,
};

/// Attempts of a change that conflicts with concurrent changes.
const MAX_ATTEMPTS: usize = 8;

/// Result of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum ChangeResult {
    /// The change was accepted under this revision.
    Accepted {
        /// The revision.
        revision: u64,
    },
    /// The change had been accepted before, under this revision.
    AlreadyAccepted {
        /// The revision.
        revision: u64,
    },
    /// The settings are no longer at the revision that the change is based on.
    Conflict {
        /// The revision in force.
        revision: u64,
    },
    /// The change was rejected.
    Rejected {
        /// The faults found, each with its line.
        faults: Vec<String>,
    },
}

/// Asks a host where it would route a request of a customer for a model.
/// `host` is the host's address for health and metrics.
///
/// # Errors
///
/// Returns an error if the host doesn't answer.
///
/// # Examples
///
/// ```no_run
/// # async fn run() -> anyhow::Result<()> {
/// let why = celerylead::operator::explain(
///     "127.0.0.1:8082", "parish", "outline:court",
/// );
/// println!("{}", why.await?["runners"]);
/// # Ok(())
/// # }
/// ```
pub async fn explain(
    host: &str,
    customer: &str,
    model: &str,
) -> anyhow::Result<serde_json::Value> {
    let path = format!("/explain?customer={customer}&model={model}");
    let answer = exchange(host, Method::GET, &path, Vec::new()).await?;
    serde_json::from_slice(&answer).at(StepName::Decode, host)
}

/// Client through which an operator reads and changes the settings in the
/// table service.
#[derive(Clone, Debug)]
pub struct SettingsClient {
    table: TableClient,
    operator: String,
}

impl SettingsClient {
    /// Creates a client for an operator.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerylead::{operator::SettingsClient, platform::TableClient};
    ///
    /// let table = TableClient::new("127.0.0.1:7000");
    /// let client = SettingsClient::new(&table, "ada");
    /// assert_eq!(client.operator(), "ada");
    /// ```
    pub fn new(table: &TableClient, operator: &str) -> SettingsClient {
        SettingsClient { table: table.clone(), operator: operator.to_owned() }
    }

    /// Returns the operator's name.
    pub fn operator(&self) -> &str {
        &self.operator
    }

    /// Reads the state in force.
    ///
    /// # Errors
    ///
    /// Returns an error if the table service doesn't answer.
    pub async fn state(&self) -> anyhow::Result<SettingsState> {
        Ok(self.read_state().await?.0)
    }

    /// Applies a change. With `base`, the change is applied only to that
    /// revision; without `base`, to the revision in force.
    ///
    /// # Errors
    ///
    /// After an error the outcome of the change is unknown. Calling this
    /// method again with the same `change_id` returns the outcome.
    pub async fn change(
        &self,
        change: &SettingsChange,
        change_id: &str,
        base: Option<u64>,
    ) -> anyhow::Result<ChangeResult> {
        let mut revision = 0;
        for _ in 0..MAX_ATTEMPTS {
            if let Some(revision) = self.find_change(change_id).await? {
                return Ok(ChangeResult::AlreadyAccepted { revision });
            }
            let (state, version, head) = self.read_state().await?;
            revision = state.revision;
            if base.is_some_and(|base| base != revision) {
                break;
            }
            let next = match state.with_change(change, change_id) {
                Ok(next) => next,
                Err(faults) => {
                    let faults = faults.iter().map(ToString::to_string);
                    let faults = faults.collect();
                    return Ok(ChangeResult::Rejected { faults });
                }
            };
            if self.commit(change, &next, version, head).await? {
                let revision = next.revision;
                return Ok(ChangeResult::Accepted { revision });
            }
        }
        Ok(ChangeResult::Conflict { revision })
    }

    /// Reads the audit trail, oldest first.
    ///
    /// # Errors
    ///
    /// Returns an error if the table service doesn't answer.
    pub async fn audit(&self) -> anyhow::Result<Vec<AuditEntry>> {
        let request = ReadRequest {
            keys: Vec::new(),
            prefixes: vec![AUDIT_PREFIX.to_owned()],
        };
        let answer = self.table.read(&request).await?;
        answer.rows.iter().map(TableRow::decode).collect()
    }

    /// Reads the leases of all hosts.
    ///
    /// # Errors
    ///
    /// Returns an error if the table service doesn't answer.
    pub async fn hosts(&self) -> anyhow::Result<Vec<HostLease>> {
        let request = ReadRequest {
            keys: Vec::new(),
            prefixes: vec!["hosts/".to_owned()],
        };
        let answer = self.table.read(&request).await?;
        answer.rows.iter().map(TableRow::decode).collect()
    }

    /// Reads the parts of all customers' rates.
    ///
    /// # Errors
    ///
    /// Returns an error if the table service doesn't answer.
    pub async fn shares(&self) -> anyhow::Result<Vec<ShareRow>> {
        let request = ReadRequest {
            keys: Vec::new(),
            prefixes: vec![SHARES_PREFIX.to_owned()],
        };
        let answer = self.table.read(&request).await?;
        answer.rows.iter().map(TableRow::decode).collect()
    }

    /// Reads the settings state, the version of its row and the version of the
    /// head row.
    async fn read_state(&self) -> anyhow::Result<(SettingsState, u64, u64)> {
        let request = ReadRequest {
            keys: vec![SETTINGS_HEAD.to_owned(), SETTINGS_STATE.to_owned()],
            prefixes: Vec::new(),
        };
        let answer = self.table.read(&request).await?;
        let state = match answer.row(SETTINGS_STATE) {
            Some(row) => row.decode()?,
            None => SettingsState::default(),
        };
        let version = answer.version(SETTINGS_STATE);
        Ok((state, version, answer.version(SETTINGS_HEAD)))
    }

    /// Returns the revision of a change if the audit trail contains it.
    async fn find_change(
        &self,
        change_id: &str,
    ) -> anyhow::Result<Option<u64>> {
        let trail = self.audit().await?;
        let found = trail.iter().find(|entry| entry.change_id == change_id);
        Ok(found.map(|entry| entry.revision))
    }

    /// Writes a settings state, its head and an audit entry. Returns `false`,
    /// with nothing written, if one of the rows was changed since it was read.
    async fn commit(
        &self,
        change: &SettingsChange,
        next: &SettingsState,
        version: u64,
        head_version: u64,
    ) -> anyhow::Result<bool> {
        let head = SettingsHead {
            revision: next.revision,
            change_id: next.change_id.clone(),
        };
        let entry = AuditEntry {
            revision: next.revision,
            change_id: next.change_id.clone(),
            operator: self.operator.clone(),
            at: HostClock::default().now(),
            summary: change.summary(),
        };
        let audit = audit_key(next.revision);
        let request = CommitRequest::default()
            .check(SETTINGS_STATE, version)
            .check(SETTINGS_HEAD, head_version)
            .check(&audit, 0)
            .write(SETTINGS_STATE, next)
            .write(SETTINGS_HEAD, &head)
            .write(&audit, &entry);
        Ok(self.table.commit(&request).await?.committed)
    }
}
