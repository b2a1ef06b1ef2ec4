//! The settings tree after inheritance, as used by the other aggregates.

use serde::{Deserialize, Serialize};

use super::values::ResolvedValues;
use crate::customer::KeyHash;

/// Kind of the backend servers of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupKind {
    /// Model engines.
    Model,
    /// Services without models.
    Service,
}

macro_rules! resolved_settings {
    ($($(#[doc = $doc:literal])+ $name:ident {
        $($(#[doc = $field_doc:literal])+ $field:ident: $kind:ty,)*
    })+) => {$(
        $(#[doc = $doc])+
        #[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub struct $name {
            $($(#[doc = $field_doc])+ pub $field: $kind,)*
            /// Values after inheritance.
            pub values: ResolvedValues,
        }
    )+};
}

resolved_settings! {
    /// A backend server.
    RunnerSettings {
        /// Name, unique among runners.
        name: String,
        /// Group that the runner belongs to.
        group: String,
        /// Kind of the group.
        kind: GroupKind,
        /// Whether the runner refuses orders under an old fencing token.
        fencing: bool,
        /// Availability zone of the runner.
        zone: String,
        /// Address, as `IP:PORT`.
        address: String,
    }
    /// A model.
    ModelSettings {
        /// Name, unique among models.
        name: String,
        /// Group that serves the model.
        group: String,
        /// Accelerator memory that the model takes, in MB.
        size_mb: u64,
    }
    /// An adapter.
    AdapterSettings {
        /// Name, unique within its model.
        name: String,
        /// Model that the adapter extends.
        model: String,
        /// Accelerator memory that the adapter takes, in MB.
        size_mb: u64,
    }
    /// A customer.
    CustomerSettings {
        /// Name, unique among customers.
        name: String,
        /// Models that the customer may use; empty means every model.
        models: Vec<String>,
    }
    /// A key, identified by its hash.
    KeySettings {
        /// Hash of the key.
        hash: KeyHash,
        /// Name of the key, unique among keys.
        name: String,
        /// Customer that owns the key.
        customer: String,
    }
    /// A plain service, whose backend servers aren't model engines.
    ServiceSettings {
        /// Name, unique among services.
        name: String,
        /// Group that serves the service.
        group: String,
    }
    /// A set of paths of a service with their own settings.
    RouteSettings {
        /// Service that the route belongs to.
        service: String,
        /// Prefix of the paths within the service, starting with `/`.
        path: String,
        /// HTTP methods that the route matches; empty means every method.
        methods: Vec<String>,
    }
}

/// Origin of a value of a branch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ValueOrigin {
    /// Path of the branch, as `kind/name`.
    pub branch: String,
    /// Name of the value.
    pub name: String,
    /// Path of the branch that set the value, or `built-in`.
    pub origin: String,
    /// The value; booleans are 0 or 1.
    pub value: u64,
}

/// The whole settings tree after inheritance, with each list sorted by name
/// unless its field says otherwise.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SettingsTree {
    /// Default values, which all branches inherit.
    pub defaults: ResolvedValues,
    /// Names of the availability zones.
    pub zones: Vec<String>,
    /// Backend servers, by name.
    pub runners: Vec<RunnerSettings>,
    /// Models, by name.
    pub models: Vec<ModelSettings>,
    /// Adapters, by model and name.
    pub adapters: Vec<AdapterSettings>,
    /// Customers, by name.
    pub customers: Vec<CustomerSettings>,
    /// Keys, by hash.
    pub keys: Vec<KeySettings>,
    /// Services without models, by name.
    pub services: Vec<ServiceSettings>,
    /// Routes, by service, and within a service the longest path first.
    pub routes: Vec<RouteSettings>,
    /// Origin of each value of each branch.
    #[serde(skip)]
    pub origins: Vec<ValueOrigin>,
}

impl SettingsTree {
    /// Returns the model with this name.
    pub fn model(&self, name: &str) -> Option<&ModelSettings> {
        find_by_name(&self.models, name, |entry| &entry.name)
    }

    /// Returns the adapter with this model and name.
    pub fn adapter(
        &self,
        model: &str,
        name: &str,
    ) -> Option<&AdapterSettings> {
        let key = (model, name);
        let position = self
            .adapters
            .binary_search_by(|entry| {
                (entry.model.as_str(), entry.name.as_str()).cmp(&key)
            })
            .ok()?;
        Some(&self.adapters[position])
    }

    /// Returns the memory that a model and all its adapters take, in MB.
    pub fn resident_mb(&self, model: &str) -> u64 {
        let own = self.model(model).map_or(0, |entry| entry.size_mb);
        let adapters = self.adapters.iter();
        let adapters = adapters.filter(|entry| entry.model == model);
        own + adapters.map(|entry| entry.size_mb).sum::<u64>()
    }

    /// Returns the customer with this name.
    pub fn customer(&self, name: &str) -> Option<&CustomerSettings> {
        find_by_name(&self.customers, name, |entry| &entry.name)
    }

    /// Returns the runner with this name.
    pub fn runner(&self, name: &str) -> Option<&RunnerSettings> {
        find_by_name(&self.runners, name, |entry| &entry.name)
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&ServiceSettings> {
        find_by_name(&self.services, name, |entry| &entry.name)
    }

    /// Returns the key with this hash.
    ///
    /// The search compares hashes, which a caller can't choose, so its timing
    /// reveals nothing useful about the stored keys. The match is nevertheless
    /// confirmed in constant time.
    pub fn key(&self, hash: &KeyHash) -> Option<&KeySettings> {
        let position =
            self.keys.binary_search_by(|entry| entry.hash.cmp(hash)).ok()?;
        let entry = &self.keys[position];
        entry.hash.matches(hash).then_some(entry)
    }

    /// Returns the values that apply to a call of `service`: those of the
    /// matching route with the longest path, or else those of the service.
    pub fn route_values(
        &self,
        service: &ServiceSettings,
        method: &str,
        path: &str,
    ) -> ResolvedValues {
        let route = self.routes.iter().find(|route| {
            route.service == service.name
                && is_under(path, &route.path)
                && (route.methods.is_empty()
                    || route
                        .methods
                        .iter()
                        .any(|candidate| candidate == method))
        });
        route.map_or(&service.values, |route| &route.values).clone()
    }
}

fn find_by_name<'a, T>(
    entries: &'a [T],
    name: &str,
    name_of: impl Fn(&T) -> &str,
) -> Option<&'a T> {
    let position =
        entries.binary_search_by(|entry| name_of(entry).cmp(name)).ok()?;
    Some(&entries[position])
}

/// Returns whether `path` equals `prefix` or is below it.
fn is_under(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix.trim_end_matches('/')) else {
        return false;
    };
    rest.is_empty() || rest.starts_with('/')
}
