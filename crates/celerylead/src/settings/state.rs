//! The settings state: everything in force under one revision.

use serde::{Deserialize, Serialize};

use super::{
    check::{SettingsFault, parse},
    tree::{KeySettings, SettingsTree},
};
use crate::{clock::EpochMillis, customer::KeyHash};

/// A key that an operator issued by command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct KeyGrant {
    /// Hash of the key.
    pub hash: KeyHash,
    /// Name of the key.
    pub name: String,
    /// Customer that owns the key.
    pub customer: String,
}

/// Everything that operators have configured, under one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct SettingsState {
    /// Revision number, which grows by one with each change; 0 before the
    /// first change.
    pub revision: u64,
    /// Identifier of the change that created this revision.
    pub change_id: String,
    /// Text of the settings file in force.
    pub file: String,
    /// Keys issued by command, sorted by hash.
    pub given: Vec<KeyGrant>,
    /// Hashes of withdrawn keys, sorted. A withdrawn key can't be reinstated.
    pub withdrawn: Vec<KeyHash>,
    /// Names of hosts and runners that must take no new work, sorted.
    pub draining: Vec<String>,
}

/// A change that an operator requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum SettingsChange {
    /// Puts a new settings file in force.
    Apply {
        /// Text of the file.
        file: String,
    },
    /// Issues a new key to a customer.
    GiveKey {
        /// The key to add.
        key: KeyGrant,
    },
    /// Withdraws a key permanently.
    WithdrawKey {
        /// Hash of the key.
        hash: KeyHash,
    },
    /// Drains a host or runner, which then takes no new work.
    Drain {
        /// Name of the host or runner.
        name: String,
    },
    /// Ends the drain of a host or runner.
    Resume {
        /// Name of the host or runner.
        name: String,
    },
}

/// An entry of the audit trail, written atomically with its change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct AuditEntry {
    /// Revision that the change created.
    pub revision: u64,
    /// Identifier of the change.
    pub change_id: String,
    /// Operator who requested the change.
    pub operator: String,
    /// Time of the write by the operator's clock.
    pub at: EpochMillis,
    /// Summary of the change, without any key in clear text.
    pub summary: String,
}

impl SettingsState {
    /// Returns the state that results from applying `change` to this one.
    ///
    /// # Errors
    ///
    /// Returns the faults of a file that can't be accepted or of a key that
    /// can't be issued.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerylead::settings::{SettingsChange, SettingsState};
    ///
    /// let state = SettingsState::default();
    /// let change = SettingsChange::Drain { name: "host-1".to_owned() };
    /// let next = state.with_change(&change, "c-1").unwrap();
    /// assert_eq!((next.revision, next.draining.len()), (1, 1));
    /// ```
    pub fn with_change(
        &self,
        change: &SettingsChange,
        change_id: &str,
    ) -> Result<SettingsState, Vec<SettingsFault>> {
        let mut next = self.clone();
        next.revision += 1;
        next.change_id = change_id.to_owned();
        match change {
            SettingsChange::Apply { file } => next.file.clone_from(file),
            SettingsChange::GiveKey { key } => {
                next.check_grant(key)?;
                upsert(&mut next.given, key.clone(), |known| known.hash);
            }
            SettingsChange::WithdrawKey { hash } => {
                next.given.retain(|known| known.hash != *hash);
                upsert(&mut next.withdrawn, *hash, |known| *known);
            }
            SettingsChange::Drain { name } => {
                upsert(&mut next.draining, name.clone(), Clone::clone);
            }
            SettingsChange::Resume { name } => {
                next.draining.retain(|known| known != name);
            }
        }
        next.tree()?;
        Ok(next)
    }

    /// Returns the tree in force, including issued keys and excluding
    /// withdrawn keys.
    ///
    /// # Errors
    ///
    /// Returns the faults of the file.
    ///
    /// # Examples
    ///
    /// ```
    /// let state = celerylead::settings::SettingsState::default();
    /// assert!(state.tree().unwrap().keys.is_empty());
    /// ```
    pub fn tree(&self) -> Result<SettingsTree, Vec<SettingsFault>> {
        let mut tree = parse(&self.file)?;
        for key in &self.given {
            let Some(customer) = tree.customer(&key.customer) else {
                // The file in force no longer defines this customer.
                continue;
            };
            let entry = KeySettings {
                hash: key.hash,
                name: key.name.clone(),
                customer: key.customer.clone(),
                values: customer.values.clone(),
            };
            upsert(&mut tree.keys, entry, |known| known.hash);
        }
        tree.keys
            .retain(|key| self.withdrawn.binary_search(&key.hash).is_err());
        Ok(tree)
    }

    /// Returns whether the host or runner `name` must take no new work.
    pub fn is_draining(&self, name: &str) -> bool {
        self.draining.iter().any(|known| known == name)
    }

    fn check_grant(&self, key: &KeyGrant) -> Result<(), Vec<SettingsFault>> {
        let tree = self.tree()?;
        let message = if tree.customer(&key.customer).is_none() {
            format!("there is no customer {:?}", key.customer)
        } else if tree.keys.iter().any(|known| known.name == key.name) {
            format!("key {:?} is defined twice", key.name)
        } else if self.withdrawn.binary_search(&key.hash).is_ok() {
            "this key was withdrawn and can't be given again".to_owned()
        } else {
            return Ok(());
        };
        Err(vec![SettingsFault { line: 0, message }])
    }
}

impl SettingsChange {
    /// Returns a summary of the change in one line, for the audit trail.
    pub fn summary(&self) -> String {
        match self {
            SettingsChange::Apply { file } => {
                format!("apply file of {} lines", file.lines().count())
            }
            SettingsChange::GiveKey { key } => format!(
                "give key {} ({}) to customer {}",
                key.name,
                key.hash.short(),
                key.customer,
            ),
            SettingsChange::WithdrawKey { hash } => {
                format!("withdraw key {}", hash.short())
            }
            SettingsChange::Drain { name } => format!("drain {name}"),
            SettingsChange::Resume { name } => format!("resume {name}"),
        }
    }
}

/// Inserts `item` into a list sorted by `key`, replacing an item with an equal
/// key.
fn upsert<T, K: Ord>(list: &mut Vec<T>, item: T, key: impl Fn(&T) -> K) {
    match list.binary_search_by_key(&key(&item), &key) {
        Ok(index) => list[index] = item,
        Err(index) => list.insert(index, item),
    }
}
