//! State that the tasks of callers share, and the authentication of callers.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use hyper::{HeaderMap, Uri, header::HeaderValue};
use tokio::sync::watch;

use super::{
    dispatch::DispatchPort, intake::IntakePort, member::HostIdentity,
    shares::SharePort, usage::UsagePort,
};
use crate::{
    clock::HostClock,
    customer::{CallerKey, KeyHash},
    metrics::HostMetrics,
    request::{Refusal, RefusalCode, RequestId},
    settings::{CustomerSettings, KeyCheck, SettingsView},
    wire::headers::{self, PresentedKey},
};

/// Handles to the host's tasks and other state, for the task of each caller.
#[derive(Clone)]
pub(crate) struct HostContext {
    pub(crate) identity: HostIdentity,
    pub(crate) clock: HostClock,
    pub(crate) settings: watch::Receiver<SettingsView>,
    pub(crate) dispatch: DispatchPort,
    pub(crate) shares: SharePort,
    pub(crate) usage: UsagePort,
    pub(crate) metrics: HostMetrics,
    /// Credential that the host sends to backend servers.
    pub(crate) credential: HeaderValue,
    pub(crate) sequence: Arc<AtomicU64>,
    pub(crate) intake: IntakePort,
}

/// An authenticated caller.
pub(crate) struct CallerIdentity {
    pub(crate) key: CallerKey,
    pub(crate) customer: CustomerSettings,
    pub(crate) key_watch: KeyWatch,
}

/// Watch on a caller's key, which may be withdrawn at any time.
#[derive(Clone)]
pub(crate) struct KeyWatch {
    hash: KeyHash,
    settings: watch::Receiver<SettingsView>,
    clock: HostClock,
}

impl KeyWatch {
    /// Returns whether the key is in force now.
    pub(crate) fn in_force(&self) -> bool {
        let view = self.settings.borrow();
        let check = view.key(&self.hash, self.clock.now());
        matches!(check, KeyCheck::Known(_))
    }

    /// Returns whether the settings have changed since the last call of this
    /// method and the key isn't in force any more. The check is cheap while
    /// the settings are unchanged.
    pub(crate) fn newly_withdrawn(&mut self) -> bool {
        if !self.settings.has_changed().unwrap_or(false) {
            return false;
        }
        self.settings.mark_unchanged();
        !self.in_force()
    }
}

impl HostContext {
    /// Creates the id of the next request.
    pub(crate) fn next_id(&self) -> RequestId {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        RequestId::new(&self.identity.host, self.identity.nonce, sequence)
    }

    /// Returns the settings in force, or a refusal if the host has none yet.
    pub(crate) fn view(&self) -> Result<SettingsView, Refusal> {
        let view = self.settings.borrow().clone();
        if view.state.revision == 0 {
            return Err(Refusal::not_run(
                RefusalCode::NotReady,
                "the host has no settings yet",
            ));
        }
        Ok(view)
    }

    /// Authenticates the caller by the key in its headers. Refuses a request
    /// that contains the key in its path or query.
    pub(crate) fn authenticate(
        &self,
        view: &SettingsView,
        headers: &HeaderMap,
        uri: &Uri,
    ) -> Result<CallerIdentity, Refusal> {
        let invalid_key = |message: &str| {
            Err(Refusal::not_run(RefusalCode::InvalidKey, message))
        };
        let key = match headers::presented_key(headers) {
            PresentedKey::Bearer(key) => key,
            PresentedKey::None => return invalid_key("no key was shown"),
            PresentedKey::Malformed => {
                return invalid_key(
                    "accepted is one header authorization: Bearer KEY",
                );
            }
        };
        let hash = key.hash();
        let key_settings = match view.key(&hash, self.clock.now()) {
            KeyCheck::Known(key_settings) => key_settings,
            KeyCheck::Unknown => {
                return invalid_key("the key is not known or was withdrawn");
            }
            KeyCheck::Stale => {
                return Err(Refusal::not_run(
                    RefusalCode::NotReady,
                    "the host hasn't heard of key changes for too long",
                ));
            }
        };
        let Some(customer) = view.tree.customer(&key_settings.customer) else {
            return invalid_key("the key's customer is not known");
        };
        refuse_key_in_target(uri, &key)?;
        let key_watch = KeyWatch {
            hash,
            settings: self.settings.clone(),
            clock: self.clock.clone(),
        };
        Ok(CallerIdentity { key, customer: customer.clone(), key_watch })
    }
}

/// Refuses a request whose path or query contains the key. Otherwise the key
/// would reach a backend server and the logs on the way to it.
fn refuse_key_in_target(uri: &Uri, key: &CallerKey) -> Result<(), Refusal> {
    if headers::contains_caller_key(uri.to_string().as_bytes(), key) {
        return Err(Refusal::not_run(
            RefusalCode::KeyInRequest,
            "the key stands in the path or query",
        ));
    }
    Ok(())
}
