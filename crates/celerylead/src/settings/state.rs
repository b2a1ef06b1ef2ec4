//! What is in force: one state under one revision.

use serde::{Deserialize, Serialize};

use super::{
    check::{SettingsFault, parse},
    tree::{KeyPlan, SettingsTree},
};
use crate::{clock::EpochMillis, customer::KeyHash};

/// A key that was given by command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct KeyGrant {
    /// Hash of the key.
    pub hash: KeyHash,
    /// Name of the key.
    pub name: String,
    /// Customer whose key it is.
    pub customer: String,
}

/// All that operators have decided, under one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct SettingsState {
    /// Grows by one with each change; 0 before the first.
    pub revision: u64,
    /// Identity of the change that made this revision.
    pub change_id: String,
    /// Text of the settings file in force.
    pub file: String,
    /// Keys given by command, by hash.
    pub given: Vec<KeyGrant>,
    /// Keys withdrawn, by hash. They stay withdrawn for good.
    pub withdrawn: Vec<KeyHash>,
    /// Hosts and runners that are to take no new work, by name.
    pub draining: Vec<String>,
}

/// A change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum SettingsChange {
    /// Puts another settings file in force.
    Apply {
        /// Text of the file.
        file: String,
    },
    /// Lets a customer use a new key.
    GiveKey {
        /// The key to add.
        key: KeyGrant,
    },
    /// Stops a key for good.
    WithdrawKey {
        /// Hash of the key.
        hash: KeyHash,
    },
    /// Takes new work away from a host or runner.
    Drain {
        /// Name of the host or runner.
        name: String,
    },
    /// Ends a drain.
    Resume {
        /// Name of the host or runner.
        name: String,
    },
}

/// A line of the audit trail, written with its change or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct AuditEntry {
    /// Revision that the change made.
    pub revision: u64,
    /// Identity of the change.
    pub change_id: String,
    /// Who asked for it.
    pub operator: String,
    /// When it was written, by the operator's clock.
    pub at: EpochMillis,
    /// What was changed, without any key in clear.
    pub summary: String,
}

impl SettingsState {
    /// Returns the state that `change` makes of this one.
    ///
    /// # Errors
    ///
    /// Returns the faults of a file that can't be accepted, or of a key
    /// that can't be given.
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

    /// Returns the tree in force, with the keys given and without the keys
    /// withdrawn.
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
                // The file in force no longer has this customer.
                continue;
            };
            let plan = KeyPlan {
                hash: key.hash,
                name: key.name.clone(),
                customer: key.customer.clone(),
                values: customer.values.clone(),
            };
            upsert(&mut tree.keys, plan, |known| known.hash);
        }
        tree.keys
            .retain(|key| self.withdrawn.binary_search(&key.hash).is_err());
        Ok(tree)
    }

    /// Tells whether `name` is to take no new work.
    pub fn is_draining(&self, name: &str) -> bool {
        self.draining.iter().any(|known| known == name)
    }

    fn check_grant(&self, key: &KeyGrant) -> Result<(), Vec<SettingsFault>> {
        let tree = self.tree()?;
        let message = if tree.customer(&key.customer).is_none() {
            format!("there is no customer {:?}", key.customer)
        } else if tree.keys.iter().any(|known| known.name == key.name) {
            format!("key {:?} stands twice", key.name)
        } else if self.withdrawn.binary_search(&key.hash).is_ok() {
            "this key was withdrawn and can't be given again".to_owned()
        } else {
            return Ok(());
        };
        Err(vec![SettingsFault { line: 0, message }])
    }
}

impl SettingsChange {
    /// Says in one line what the change does, for the audit trail.
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

/// Puts `item` into a list sorted by `key`, in place of its equal.
fn upsert<T, K: Ord>(list: &mut Vec<T>, item: T, key: impl Fn(&T) -> K) {
    match list.binary_search_by_key(&key(&item), &key) {
        Ok(index) => list[index] = item,
        Err(index) => list.insert(index, item),
    }
}
