//! Settings: declarations, inheritance, validation and revisions.
//!
//! Operators keep a TOML file under version control. [`parse`] turns the file
//! into a [`SettingsTree`] or returns every fault with its line; a file is
//! never accepted in part. Branches inherit values from their parent and
//! override only those that differ, in a table named `set`.
//!
//! The settings in force are a [`SettingsState`]: the text of the file, the
//! keys issued and withdrawn by command, and the draining hosts and runners,
//! under one revision number that only grows. A withdrawn key stays withdrawn
//! whatever a later file contains.

mod check;
mod file;
mod state;
mod tree;
mod values;
mod view;

#[cfg(test)]
mod tests;

pub use self::{
    check::{SettingsFault, parse},
    state::{AuditEntry, KeyGrant, SettingsChange, SettingsState},
    tree::{
        AdapterSettings, CustomerSettings, GroupKind, KeySettings,
        ModelSettings, RouteSettings, RunnerSettings, ServiceSettings,
        SettingsTree, ValueOrigin,
    },
    values::{ResolvedValues, SettingValues, VALUE_RULES, ValueRule},
    view::{KeyCheck, SettingsView},
};
