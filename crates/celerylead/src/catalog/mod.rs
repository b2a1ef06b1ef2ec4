//! The operator's configuration, as one immutable value.
//!
//! A catalog holds the routes, services, customers and limits of one
//! revision. A host swaps the whole value, so that every call sees a single
//! revision from its first look-up to its answer. The platform adapter
//! obtains the catalog; routing depends only on the look-ups defined here.
//!
//! * A route is found by host name and path: among the routes of the host
//!   name, the one with the longest matching path prefix.
//! * A zone that the operator evacuates is a row of its own, with a version of
//!   its own ([`EvacuationList`]).
//! * A customer is found by the hash of the API key that a caller presents.
//!   Keys aren't kept in plain text.

mod customer;
mod evacuation;
mod evidence;
mod route;
mod service;
#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

pub use self::{
    customer::{BilledCustomer, RateUnit, TokenRate},
    evacuation::{EvacuationList, ZoneMark},
    evidence::RevisionEvidence,
    route::{CallRoute, RouteKind, SplitTarget},
    service::{ColdSpec, EngineModel, EngineSpec, ServiceSpec},
};
use crate::{
    customer::{CallerKey, KeyHash},
    sorted::SortedTable,
};

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CallLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time that a caller may take to send a head, in milliseconds.
    pub head_ms: u64,
    /// Maximum idle time of a connection, in milliseconds.
    pub idle_ms: u64,
}

impl Default for CallLimits {
    fn default() -> Self {
        CallLimits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

/// One revision of the configuration.
///
/// # Examples
///
/// ```
/// use celerylead::catalog::ServiceCatalog;
///
/// let catalog = ServiceCatalog::default();
/// assert!(catalog.route("example.org", "/a/").is_none());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ServiceCatalog {
    /// Number of the revision; only a higher one replaces this catalog.
    pub revision: u64,
    /// Limits on what callers may send.
    pub limits: CallLimits,
    routes: SortedTable<String, Vec<CallRoute>>,
    services: SortedTable<String, ServiceSpec>,
    customers: Vec<BilledCustomer>,
    keys: SortedTable<KeyHash, usize>,
}

impl ServiceCatalog {
    /// Creates a catalog from its parts.
    pub fn new(
        revision: u64,
        limits: CallLimits,
        routes: Vec<CallRoute>,
        services: Vec<ServiceSpec>,
        customers: Vec<(BilledCustomer, Vec<CallerKey>)>,
    ) -> ServiceCatalog {
        let mut catalog =
            ServiceCatalog { revision, limits, ..ServiceCatalog::default() };
        for route in routes {
            let name = route.host.to_ascii_lowercase();
            catalog.routes.entry(name, Vec::new).push(route);
        }
        for (_, routes) in catalog.routes.iter_mut() {
            routes.sort_by(|one, other| one.prefix.cmp(&other.prefix));
        }
        catalog.services = services
            .into_iter()
            .map(|service| (service.name.clone(), service))
            .collect();
        let mut keys = Vec::new();
        for (customer, caller_keys) in customers {
            let index = catalog.customers.len();
            keys.extend(caller_keys.iter().map(|key| (key.hash(), index)));
            catalog.customers.push(customer);
        }
        catalog.keys = keys.into_iter().collect();
        catalog
    }

    /// Returns the route of a call: among the routes of the host name, the
    /// one whose prefix of `path` is the longest.
    pub fn route(&self, host: &str, path: &str) -> Option<&CallRoute> {
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        // Prefixes end with a slash, so each candidate is the path up to and
        // including one of its slashes.
        path.rmatch_indices('/').find_map(|(end, _)| {
            let prefix = &path[..=end];
            let index = routes
                .binary_search_by(|route| route.prefix.as_str().cmp(prefix));
            index.ok().map(|index| &routes[index])
        })
    }

    /// Returns the service of this name.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Iterates over the services in the order of their names.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.services.values()
    }

    /// Returns the customer to whom an API key belongs.
    pub fn customer(&self, key: &CallerKey) -> Option<&BilledCustomer> {
        let index = self.keys.get(&key.hash())?;
        self.customers.get(*index)
    }

    /// Iterates over the customers.
    pub fn customers(&self) -> impl Iterator<Item = &BilledCustomer> {
        self.customers.iter()
    }

    /// Returns whether calls need an API key: they do if there are any
    /// customers.
    pub fn requires_key(&self) -> bool {
        !self.customers.is_empty()
    }
}
