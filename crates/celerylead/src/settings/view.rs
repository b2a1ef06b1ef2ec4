//! The settings in force as one host holds them.

use std::sync::Arc;

use super::{
    state::SettingsState,
    tree::{KeyPlan, SettingsTree},
};
use crate::{clock::EpochMillis, customer::KeyHash};

/// The settings that a host has adopted, shared by its tasks.
#[derive(Clone, Debug, Default)]
pub struct SettingsView {
    /// The state adopted.
    pub state: Arc<SettingsState>,
    /// Its tree.
    pub tree: Arc<SettingsTree>,
    /// Point at which the platform last said that this is the newest.
    pub confirmed: EpochMillis,
}

impl SettingsView {
    /// Returns the view that adopts `state`, or `None` where it isn't newer
    /// or can't be understood. Settings never go back.
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

    /// Returns the key of this hash, if it is known and trusted at `now`.
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

/// What a host knows of a key.
#[derive(Debug)]
pub enum KeyCheck<'a> {
    /// It is in force.
    Known(&'a KeyPlan),
    /// It was never given, or was withdrawn.
    Unknown,
    /// It was in force when the host last heard, which is too long ago.
    Stale,
}
