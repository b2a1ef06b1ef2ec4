//! The tree of settings: declarations, inheritance, checks and revisions.
//!
//! Operators keep a TOML file under version control. [`parse`] turns it into
//! a [`SettingsTree`] or into a list of every fault with its line; nothing
//! is accepted in part. Branches inherit from their parent and override
//! only what they must, in a table named `set`.
//!
//! What is in force is a [`SettingsState`]: the file's text, the keys given
//! and withdrawn by command, and the draining hosts and runners, under one
//! revision number that only grows. A withdrawn key stays withdrawn whatever
//! a later file says.

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
        AdapterPlan, CustomerPlan, GroupKind, KeyPlan, ModelPlan, RoutePlan,
        RunnerPlan, ServicePlan, SettingsTree, ValueOrigin,
    },
    values::{ResolvedValues, SettingValues, VALUE_RULES, ValueRule},
    view::{KeyCheck, SettingsView},
};
