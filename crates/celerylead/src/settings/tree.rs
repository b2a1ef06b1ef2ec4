//! The tree after inheritance: what the other aggregates work with.

use serde::{Deserialize, Serialize};

use super::values::ResolvedValues;
use crate::customer::KeyHash;

/// What the backend servers of a group are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupKind {
    /// Model engines.
    Model,
    /// Plain services.
    Service,
}

macro_rules! plans {
    ($($(#[doc = $doc:literal])+ $plan:ident {
        $($(#[doc = $field_doc:literal])+ $field:ident: $kind:ty,)*
    })+) => {$(
        $(#[doc = $doc])+
        #[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub struct $plan {
            $($(#[doc = $field_doc])+ pub $field: $kind,)*
            /// Values after inheritance.
            pub values: ResolvedValues,
        }
    )+};
}

plans! {
    /// A backend server.
    RunnerPlan {
        /// Name, unique among runners.
        name: String,
        /// Group it belongs to.
        group: String,
        /// What it is.
        kind: GroupKind,
        /// Whether it refuses orders under an old fencing number.
        fencing: bool,
        /// Availability zone it stands in.
        zone: String,
        /// Address, as `IP:PORT`.
        address: String,
    }
    /// A model.
    ModelPlan {
        /// Name, unique among models.
        name: String,
        /// Group that serves it.
        group: String,
        /// Accelerator memory it takes, in MB.
        size_mb: u64,
    }
    /// An adapter.
    AdapterPlan {
        /// Name, unique within its model.
        name: String,
        /// Model it adapts.
        model: String,
        /// Accelerator memory it takes, in MB.
        size_mb: u64,
    }
    /// A customer.
    CustomerPlan {
        /// Name, unique among customers.
        name: String,
        /// Models it may use; empty means every model.
        models: Vec<String>,
    }
    /// A key, by its hash.
    KeyPlan {
        /// Hash of the key.
        hash: KeyHash,
        /// Name of the key, unique among keys.
        name: String,
        /// Customer whose key it is.
        customer: String,
    }
    /// A plain service.
    ServicePlan {
        /// Name, unique among services.
        name: String,
        /// Group that serves it.
        group: String,
    }
    /// Paths of a plain service with settings of their own.
    RoutePlan {
        /// Service the route belongs to.
        service: String,
        /// Prefix of the paths below the service, starting with `/`.
        path: String,
        /// Methods the route is for; empty means every method.
        methods: Vec<String>,
    }
}

/// Where a value of a branch came from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ValueOrigin {
    /// Branch, as `kind/name`.
    pub branch: String,
    /// Name of the value.
    pub name: String,
    /// The branch that set it, or `built-in`.
    pub origin: String,
    /// The value; booleans are 0 or 1.
    pub value: u64,
}

/// The whole tree after inheritance, each list sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SettingsTree {
    /// Values of the root.
    pub defaults: ResolvedValues,
    /// Names of the availability zones.
    pub zones: Vec<String>,
    /// Backend servers by name.
    pub runners: Vec<RunnerPlan>,
    /// Models by name.
    pub models: Vec<ModelPlan>,
    /// Adapters by model and name.
    pub adapters: Vec<AdapterPlan>,
    /// Customers by name.
    pub customers: Vec<CustomerPlan>,
    /// Keys by hash.
    pub keys: Vec<KeyPlan>,
    /// Plain services by name.
    pub services: Vec<ServicePlan>,
    /// Routes by service, the longest path first.
    pub routes: Vec<RoutePlan>,
    /// Where each value of each branch came from.
    #[serde(skip)]
    pub origins: Vec<ValueOrigin>,
}

impl SettingsTree {
    /// Returns the model of this name.
    pub fn model(&self, name: &str) -> Option<&ModelPlan> {
        find_by_name(&self.models, name, |plan| &plan.name)
    }

    /// Returns the adapter of this model and name.
    pub fn adapter(&self, model: &str, name: &str) -> Option<&AdapterPlan> {
        let key = (model, name);
        let position = self
            .adapters
            .binary_search_by(|plan| {
                (plan.model.as_str(), plan.name.as_str()).cmp(&key)
            })
            .ok()?;
        Some(&self.adapters[position])
    }

    /// Returns the memory that a model takes with its adapters, in MB.
    pub fn resident_mb(&self, model: &str) -> u64 {
        let own = self.model(model).map_or(0, |plan| plan.size_mb);
        let adapters = self.adapters.iter();
        let adapters = adapters.filter(|plan| plan.model == model);
        own + adapters.map(|plan| plan.size_mb).sum::<u64>()
    }

    /// Returns the customer of this name.
    pub fn customer(&self, name: &str) -> Option<&CustomerPlan> {
        find_by_name(&self.customers, name, |plan| &plan.name)
    }

    /// Returns the runner of this name.
    pub fn runner(&self, name: &str) -> Option<&RunnerPlan> {
        find_by_name(&self.runners, name, |plan| &plan.name)
    }

    /// Returns the service of this name.
    pub fn service(&self, name: &str) -> Option<&ServicePlan> {
        find_by_name(&self.services, name, |plan| &plan.name)
    }

    /// Returns the key of this hash.
    ///
    /// The search works on hashes, of which a caller controls nothing it
    /// could learn from; the hit is compared in constant time all the same.
    pub fn key(&self, hash: &KeyHash) -> Option<&KeyPlan> {
        let position =
            self.keys.binary_search_by(|plan| plan.hash.cmp(hash)).ok()?;
        let plan = &self.keys[position];
        plan.hash.matches(hash).then_some(plan)
    }

    /// Returns the values that hold for a call of `service`: those of the
    /// longest route that fits, or the service's own.
    pub fn route_values(
        &self,
        service: &ServicePlan,
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
    plans: &'a [T],
    name: &str,
    name_of: impl Fn(&T) -> &str,
) -> Option<&'a T> {
    let position =
        plans.binary_search_by(|plan| name_of(plan).cmp(name)).ok()?;
    Some(&plans[position])
}

/// Tells whether `path` is `prefix` or lies below it.
fn is_under(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix.trim_end_matches('/')) else {
        return false;
    };
    rest.is_empty() || rest.starts_with('/')
}
