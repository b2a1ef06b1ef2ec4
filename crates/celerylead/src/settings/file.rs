//! Syntax of the settings file, before any validation across branches.

use serde::Deserialize;
use toml::Spanned;

use super::{tree::GroupKind, values::SettingValues};
use crate::customer::KeyHash;

/// A whole settings file.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct SettingsFile {
    pub(crate) defaults: SettingValues,
    pub(crate) region: Vec<RegionEntry>,
    pub(crate) zone: Vec<ZoneEntry>,
    pub(crate) group: Vec<GroupEntry>,
    pub(crate) runner: Vec<RunnerEntry>,
    pub(crate) model: Vec<ModelEntry>,
    pub(crate) adapter: Vec<AdapterEntry>,
    pub(crate) customer: Vec<CustomerEntry>,
    pub(crate) key: Vec<KeyEntry>,
    pub(crate) service: Vec<ServiceEntry>,
    pub(crate) route: Vec<RouteEntry>,
}

macro_rules! file_entries {
    ($($(#[doc = $doc:literal])+ $entry:ident {
        $($field:ident: $kind:ty,)*
    })+) => {$(
        $(#[doc = $doc])+
        #[derive(Debug, Deserialize)]
        #[serde(deny_unknown_fields)]
        pub(crate) struct $entry {
            $(pub(crate) $field: $kind,)*
            #[serde(default)]
            pub(crate) set: SettingValues,
        }
    )+};
}

file_entries! {
    /// A region: a set of zones that are near each other.
    RegionEntry { name: Spanned<String>, }
    /// An availability zone.
    ZoneEntry { name: Spanned<String>, region: Spanned<String>, }
    /// A group of interchangeable backend servers.
    GroupEntry {
        name: Spanned<String>,
        kind: GroupKind,
        fencing: Option<bool>,
    }
    /// A backend server.
    RunnerEntry {
        name: Spanned<String>,
        group: Spanned<String>,
        zone: Spanned<String>,
        address: Spanned<String>,
    }
    /// A model that a group serves.
    ModelEntry {
        name: Spanned<String>,
        group: Spanned<String>,
        size_mb: Spanned<u64>,
    }
    /// An adapter of a model.
    AdapterEntry {
        name: Spanned<String>,
        model: Spanned<String>,
        size_mb: Spanned<u64>,
    }
    /// A customer.
    CustomerEntry {
        name: Spanned<String>,
        models: Option<Vec<Spanned<String>>>,
    }
    /// A key of a customer, identified by its hash.
    KeyEntry {
        name: Spanned<String>,
        customer: Spanned<String>,
        sha256: Spanned<KeyHash>,
    }
    /// A plain service that a group serves.
    ServiceEntry { name: Spanned<String>, group: Spanned<String>, }
    /// Settings for some paths of a plain service.
    RouteEntry {
        service: Spanned<String>,
        path: Spanned<String>,
        methods: Option<Vec<String>>,
    }
}
