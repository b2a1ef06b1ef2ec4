//! One host's view of the settings in force.

use std::sync::Arc;

use super::{
    state::SettingsState,
    tree::{KeySettings, SettingsTree},
};
use crate::{clock::EpochMillis, customer::KeyHash};

/// The settings that a host has adopted, shared by its tasks.
#[derive(Clone, Debug, Default)]
pub struct SettingsView {
    /// The adopted state.
    pub state: Arc<SettingsState>,
    /// Tree of the adopted state.
    pub tree: Arc<SettingsTree>,
    /// Time at which the platform last confirmed the revision as the newest.
    pub confirmed: EpochMillis,
}

impl SettingsView {
    /// Returns a view of `state`, or `None` if `state` isn't newer than the
    /// adopted one or is invalid. The revision never goes back.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerylead::{
    ///     EpochMillis,
    ///     settings::{SettingsState, SettingsView},
    /// };
    ///
    /// let view = SettingsView::default();
    /// let state = SettingsState { revision: 2, ..Default::default() };
    /// let view = view.adopt(&state, EpochMillis(5)).unwrap();
    /// let older = SettingsState { revision: 1, ..Default::default() };
    /// assert!(view.adopt(&older, EpochMillis(6)).is_none());
    /// ```
    pub fn adopt(
        &self,
        state: &SettingsState,
        confirmed: EpochMillis,
    ) -> Option<SettingsView> {
        if state.revision <= self.state.revision {
            return None;
        }
        let tree = state.tree().ok()?;
        Some(SettingsView {
            state: Arc::new(state.clone()),
            tree: Arc::new(tree),
            confirmed: confirmed.max(self.confirmed),
        })
    }

    /// Looks up the key with this hash and checks that it is trusted at `now`.
    pub fn key(&self, hash: &KeyHash, now: EpochMillis) -> KeyCheck<'_> {
        let Some(key) = self.tree.key(hash) else {
            return KeyCheck::Unknown;
        };
        let trust_ms = self.tree.defaults.key_trust_s.saturating_mul(1_000);
        let trusted_until = self.confirmed.0.saturating_add(trust_ms);
        if trusted_until < now.0 {
            return KeyCheck::Stale;
        }
        KeyCheck::Known(key)
    }
}

/// Result of looking up a key.
#[derive(Debug)]
pub enum KeyCheck<'a> {
    /// The key is in force.
    Known(&'a KeySettings),
    /// The key was never issued, or was withdrawn.
    Unknown,
    /// The key was in force at the last confirmation, which is too long ago.
    Stale,
}
