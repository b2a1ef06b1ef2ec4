//! What operators do: changes of the settings, and what came of them.
//!
//! A change is one transaction of the table service: the new state, the
//! head that names its revision and the line of the audit trail. It carries
//! an id, so that a change whose answer was lost is recognised when it is
//! asked for again, and is never made twice.

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

/// Tries of a change that others' changes overtake.
const MAX_TRIES: usize = 8;

/// What came of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum ChangeResult {
    /// It is accepted under this revision.
    Accepted {
        /// The revision.
        revision: u64,
    },
    /// It was accepted before, under this revision.
    AlreadyAccepted {
        /// The revision.
        revision: u64,
    },
    /// The settings have moved on from the revision it was made for.
    Conflict {
        /// The revision in force.
        revision: u64,
    },
    /// It can't be accepted.
    Rejected {
        /// The faults, each with its line.
        faults: Vec<String>,
    },
}

/// Asks a host, by its address for health and metrics, where a request of
/// a customer for a model would go.
///
/// # Errors
///
/// Returns an error where the host doesn't answer.
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

/// An operator at the table service.
#[derive(Clone, Debug)]
pub struct SettingsDesk {
    table: TableClient,
    operator: String,
}

impl SettingsDesk {
    /// Makes the desk of an operator.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerylead::{operator::SettingsDesk, platform::TableClient};
    ///
    /// let table = TableClient::new("127.0.0.1:7000");
    /// let desk = SettingsDesk::new(&table, "ada");
    /// assert_eq!(desk.operator(), "ada");
    /// ```
    pub fn new(table: &TableClient, operator: &str) -> SettingsDesk {
        SettingsDesk { table: table.clone(), operator: operator.to_owned() }
    }

    /// Returns the operator's name.
    pub fn operator(&self) -> &str {
        &self.operator
    }

    /// Reads the state in force.
    ///
    /// # Errors
    ///
    /// Returns an error where the table service doesn't answer.
    pub async fn state(&self) -> anyhow::Result<SettingsState> {
        Ok(self.read_state().await?.0)
    }

    /// Makes a change. With `base` it is made only to that revision; without
    /// it is made to whichever is in force.
    ///
    /// # Errors
    ///
    /// After an error the change is in doubt: asked for again with the same
    /// `change_id`, it tells what came of it.
    pub async fn change(
        &self,
        change: &SettingsChange,
        change_id: &str,
        base: Option<u64>,
    ) -> anyhow::Result<ChangeResult> {
        let mut revision = 0;
        for _ in 0..MAX_TRIES {
            if let Some(revision) = self.find_change(change_id).await? {
                return Ok(ChangeResult::AlreadyAccepted { revision });
            }
            let (state, version, head) = self.read_state().await?;
            revision = state.revision;
            if base.is_some_and(|base| base != revision) {
                break;
            }
            let next = match state.changed(change, change_id) {
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
    /// Returns an error where the table service doesn't answer.
    pub async fn audit(&self) -> anyhow::Result<Vec<AuditEntry>> {
        let ask = ReadRequest {
            keys: Vec::new(),
            prefixes: vec![AUDIT_PREFIX.to_owned()],
        };
        let answer = self.table.read(&ask).await?;
        answer.rows.iter().map(TableRow::decode).collect()
    }

    /// Reads the leases of all hosts.
    ///
    /// # Errors
    ///
    /// Returns an error where the table service doesn't answer.
    pub async fn hosts(&self) -> anyhow::Result<Vec<HostLease>> {
        let ask = ReadRequest {
            keys: Vec::new(),
            prefixes: vec!["hosts/".to_owned()],
        };
        let answer = self.table.read(&ask).await?;
        answer.rows.iter().map(TableRow::decode).collect()
    }

    /// Reads the parts of all customers' rates.
    ///
    /// # Errors
    ///
    /// Returns an error where the table service doesn't answer.
    pub async fn shares(&self) -> anyhow::Result<Vec<ShareRow>> {
        let ask = ReadRequest {
            keys: Vec::new(),
            prefixes: vec![SHARES_PREFIX.to_owned()],
        };
        let answer = self.table.read(&ask).await?;
        answer.rows.iter().map(TableRow::decode).collect()
    }

    async fn read_state(&self) -> anyhow::Result<(SettingsState, u64, u64)> {
        let ask = ReadRequest {
            keys: vec![SETTINGS_HEAD.to_owned(), SETTINGS_STATE.to_owned()],
            prefixes: Vec::new(),
        };
        let answer = self.table.read(&ask).await?;
        let state = match answer.row(SETTINGS_STATE) {
            Some(row) => row.decode()?,
            None => SettingsState::default(),
        };
        let version = answer.version(SETTINGS_STATE);
        Ok((state, version, answer.version(SETTINGS_HEAD)))
    }

    /// Looks for a change in the audit trail.
    async fn find_change(
        &self,
        change_id: &str,
    ) -> anyhow::Result<Option<u64>> {
        let trail = self.audit().await?;
        let made = trail.iter().find(|entry| entry.change_id == change_id);
        Ok(made.map(|entry| entry.revision))
    }

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
        let ask = CommitRequest::default()
            .check(SETTINGS_STATE, version)
            .check(SETTINGS_HEAD, head_version)
            .check(&audit, 0)
            .write(SETTINGS_STATE, next)
            .write(SETTINGS_HEAD, &head)
            .write(&audit, &entry);
        Ok(self.table.commit(&ask).await?.committed)
    }
}
