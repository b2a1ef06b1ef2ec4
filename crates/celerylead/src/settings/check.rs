//! Parsing and validation of a whole settings file.

use std::fmt;

use serde::{Deserialize, Serialize};
use toml::Spanned;

use super::{
    file::SettingsFile,
    tree::{
        AdapterSettings, CustomerSettings, GroupKind, KeySettings,
        ModelSettings, RouteSettings, RunnerSettings, ServiceSettings,
        SettingsTree, ValueOrigin,
    },
    values::{ResolvedValues, SettingValues, VALUE_RULES},
};

/// An error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SettingsFault {
    /// Line of the file, starting at 1; 0 for an error outside the file.
    pub line: usize,
    /// Description of the error, with the value found and the values accepted.
    pub message: String,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "line {}: {}", self.line, self.message)
    }
}

/// Parses a settings file and resolves its inheritance.
///
/// # Errors
///
/// Returns all faults found, ordered by line. A file with any fault is
/// rejected as a whole.
///
/// # Examples
///
/// ```
/// let faults = celerylead::settings::parse("[defaults]\nslots = 0\n");
/// assert_eq!(
///     faults.unwrap_err()[0].to_string(),
///     "line 2: slots is 0, accepted are 1 to 10000 requests",
/// );
/// ```
pub fn parse(text: &str) -> Result<SettingsTree, Vec<SettingsFault>> {
    let file: SettingsFile = match toml::from_str(text) {
        Ok(file) => file,
        Err(error) => {
            let start = error.span().map_or(0, |span| span.start);
            let message = error.message().replace('\n', ", ");
            return Err(vec![SettingsFault {
                line: line_number(text, start),
                message,
            }]);
        }
    };
    let mut builder = TreeBuilder {
        text,
        faults: Vec::new(),
        tree: SettingsTree::default(),
        root: ResolvedValues::default(),
    };
    builder.build(&file);
    if builder.faults.is_empty() {
        return Ok(builder.tree);
    }
    builder.faults.sort_by_key(|fault| fault.line);
    Err(builder.faults)
}

/// Builds a tree from a file and collects the faults found on the way.
struct TreeBuilder<'a> {
    text: &'a str,
    faults: Vec<SettingsFault>,
    tree: SettingsTree,
    root: ResolvedValues,
}

/// The path of a branch and the values that the branch sets. A chain lists the
/// branches from the root to a leaf.
type BranchValues<'a> = (String, &'a SettingValues);

impl TreeBuilder<'_> {
    fn build(&mut self, file: &SettingsFile) {
        self.check_ranges(&file.defaults);
        self.root.overlay(&file.defaults, |_| ());
        self.tree.defaults = self.root.clone();
        self.check_topology(file);
        self.add_runners(file);
        self.add_models(file);
        self.add_customers(file);
        self.add_services(file);
        self.check_capacity(file);
    }

    fn check_topology(&mut self, file: &SettingsFile) {
        self.check_names(
            "region",
            file.region.iter().map(|entry| &entry.name),
        );
        self.check_names("zone", file.zone.iter().map(|entry| &entry.name));
        self.check_names("group", file.group.iter().map(|entry| &entry.name));
        for entry in &file.region {
            self.check_ranges(&entry.set);
        }
        for entry in &file.group {
            self.check_ranges(&entry.set);
        }
        for entry in &file.zone {
            self.check_ranges(&entry.set);
            if !file
                .region
                .iter()
                .any(|candidate| same_name(&candidate.name, &entry.region))
            {
                self.report_unknown_name("region", &entry.region);
            }
            self.tree.zones.push(entry.name.get_ref().clone());
        }
        self.tree.zones.sort();
    }

    fn add_runners(&mut self, file: &SettingsFile) {
        self.check_names(
            "runner",
            file.runner.iter().map(|entry| &entry.name),
        );
        for entry in &file.runner {
            self.check_ranges(&entry.set);
            self.check_address(&entry.address);
            let zone = file
                .zone
                .iter()
                .find(|candidate| same_name(&candidate.name, &entry.zone));
            let group = file
                .group
                .iter()
                .find(|candidate| same_name(&candidate.name, &entry.group));
            if zone.is_none() {
                self.report_unknown_name("zone", &entry.zone);
            }
            if group.is_none() {
                self.report_unknown_name("group", &entry.group);
            }
            let (Some(zone), Some(group)) = (zone, group) else { continue };
            let mut chain = vec![("defaults".to_owned(), &file.defaults)];
            let region = file
                .region
                .iter()
                .find(|candidate| same_name(&candidate.name, &zone.region));
            if let Some(region) = region {
                chain.push((branch_path("region", &region.name), &region.set));
            }
            chain.push((branch_path("zone", &zone.name), &zone.set));
            chain.push((branch_path("group", &group.name), &group.set));
            chain.push((branch_path("runner", &entry.name), &entry.set));
            let values = self.resolve(&chain);
            self.tree.runners.push(RunnerSettings {
                name: entry.name.get_ref().clone(),
                group: group.name.get_ref().clone(),
                kind: group.kind,
                fencing: group.fencing.unwrap_or(false),
                zone: zone.name.get_ref().clone(),
                address: entry.address.get_ref().clone(),
                values,
            });
        }
        self.tree.runners.sort_by(|one, other| one.name.cmp(&other.name));
    }

    fn add_models(&mut self, file: &SettingsFile) {
        self.check_names("model", file.model.iter().map(|entry| &entry.name));
        for entry in &file.model {
            self.check_ranges(&entry.set);
            let Some(chain) = self.group_chain(
                file,
                &entry.group,
                GroupKind::Model,
                (branch_path("model", &entry.name), &entry.set),
            ) else {
                continue;
            };
            let values = self.resolve(&chain);
            self.tree.models.push(ModelSettings {
                name: entry.name.get_ref().clone(),
                group: entry.group.get_ref().clone(),
                size_mb: *entry.size_mb.get_ref(),
                values,
            });
        }
        self.tree.models.sort_by(|one, other| one.name.cmp(&other.name));
        self.add_adapters(file);
    }

    fn add_adapters(&mut self, file: &SettingsFile) {
        for entry in &file.adapter {
            self.check_ranges(&entry.set);
            let model = file
                .model
                .iter()
                .find(|candidate| same_name(&candidate.name, &entry.model))
                .map(|model| (model, &model.group));
            let Some((model, group)) = model else {
                self.report_unknown_name("model", &entry.model);
                continue;
            };
            if self.tree.adapters.iter().any(|candidate| {
                candidate.name == *entry.name.get_ref()
                    && candidate.model == *entry.model.get_ref()
            }) {
                self.report_duplicate_name("adapter", &entry.name);
                continue;
            }
            let Some(mut chain) = self.group_chain(
                file,
                group,
                GroupKind::Model,
                (branch_path("model", &model.name), &model.set),
            ) else {
                continue;
            };
            let name = format!(
                "adapter/{}:{}",
                entry.model.get_ref(),
                entry.name.get_ref(),
            );
            chain.push((name, &entry.set));
            let values = self.resolve(&chain);
            self.tree.adapters.push(AdapterSettings {
                name: entry.name.get_ref().clone(),
                model: entry.model.get_ref().clone(),
                size_mb: *entry.size_mb.get_ref(),
                values,
            });
        }
        self.tree.adapters.sort_by(|one, other| {
            (&one.model, &one.name).cmp(&(&other.model, &other.name))
        });
    }

    fn add_customers(&mut self, file: &SettingsFile) {
        self.check_names(
            "customer",
            file.customer.iter().map(|entry| &entry.name),
        );
        self.check_names("key", file.key.iter().map(|entry| &entry.name));
        for entry in &file.customer {
            self.check_ranges(&entry.set);
            for model in entry.models.iter().flatten() {
                if !file
                    .model
                    .iter()
                    .any(|candidate| same_name(&candidate.name, model))
                {
                    self.report_unknown_name("model", model);
                }
            }
            let values = self.resolve(&[
                ("defaults".to_owned(), &file.defaults),
                (branch_path("customer", &entry.name), &entry.set),
            ]);
            self.check_limits(&entry.name, &values);
            let models = entry.models.iter().flatten();
            self.tree.customers.push(CustomerSettings {
                name: entry.name.get_ref().clone(),
                models: models.map(|name| name.get_ref().clone()).collect(),
                values,
            });
        }
        self.tree.customers.sort_by(|one, other| one.name.cmp(&other.name));
        self.add_keys(file);
    }

    fn add_keys(&mut self, file: &SettingsFile) {
        for entry in &file.key {
            self.check_ranges(&entry.set);
            let customer = file
                .customer
                .iter()
                .find(|candidate| same_name(&candidate.name, &entry.customer));
            let Some(customer) = customer else {
                self.report_unknown_name("customer", &entry.customer);
                continue;
            };
            let hash = *entry.sha256.get_ref();
            if self.tree.keys.iter().any(|candidate| candidate.hash == hash) {
                self.add_fault(
                    entry.sha256.span().start,
                    "this key hash is defined twice".to_owned(),
                );
            }
            let values = self.resolve(&[
                ("defaults".to_owned(), &file.defaults),
                (branch_path("customer", &customer.name), &customer.set),
                (branch_path("key", &entry.name), &entry.set),
            ]);
            self.tree.keys.push(KeySettings {
                hash,
                name: entry.name.get_ref().clone(),
                customer: entry.customer.get_ref().clone(),
                values,
            });
        }
        self.tree.keys.sort_by_key(|key| key.hash);
    }

    fn add_services(&mut self, file: &SettingsFile) {
        self.check_names(
            "service",
            file.service.iter().map(|entry| &entry.name),
        );
        for entry in &file.service {
            self.check_ranges(&entry.set);
            let Some(chain) = self.group_chain(
                file,
                &entry.group,
                GroupKind::Service,
                (branch_path("service", &entry.name), &entry.set),
            ) else {
                continue;
            };
            let values = self.resolve(&chain);
            self.tree.services.push(ServiceSettings {
                name: entry.name.get_ref().clone(),
                group: entry.group.get_ref().clone(),
                values,
            });
        }
        self.tree.services.sort_by(|one, other| one.name.cmp(&other.name));
        self.add_routes(file);
    }

    fn add_routes(&mut self, file: &SettingsFile) {
        for entry in &file.route {
            self.check_ranges(&entry.set);
            let service = file
                .service
                .iter()
                .find(|candidate| same_name(&candidate.name, &entry.service));
            let Some(service) = service else {
                self.report_unknown_name("service", &entry.service);
                continue;
            };
            if !entry.path.get_ref().starts_with('/') {
                self.add_fault(
                    entry.path.span().start,
                    format!(
                        "path is {:?}, accepted is a path that starts with /",
                        entry.path.get_ref(),
                    ),
                );
            }
            let Some(mut chain) = self.group_chain(
                file,
                &service.group,
                GroupKind::Service,
                (branch_path("service", &service.name), &service.set),
            ) else {
                continue;
            };
            let name = format!(
                "route/{}{}",
                entry.service.get_ref(),
                entry.path.get_ref(),
            );
            chain.push((name, &entry.set));
            let values = self.resolve(&chain);
            self.tree.routes.push(RouteSettings {
                service: entry.service.get_ref().clone(),
                path: entry.path.get_ref().clone(),
                methods: entry.methods.clone().unwrap_or_default(),
                values,
            });
        }
        // Sorts longer paths first, so that the first route that matches is
        // the most specific one.
        self.tree.routes.sort_by(|one, other| {
            let order = one.service.cmp(&other.service);
            order.then(other.path.len().cmp(&one.path.len()))
        });
    }

    /// Checks that the runners of each group can hold all models of the group
    /// at the same time, each on at least one runner, by first-fit decreasing
    /// packing.
    fn check_capacity(&mut self, file: &SettingsFile) {
        for group in &file.group {
            let name = group.name.get_ref();
            let mut free_mb: Vec<u64> = self
                .tree
                .runners
                .iter()
                .filter(|runner| runner.group == *name)
                .map(|runner| runner.values.memory_mb)
                .collect();
            let mut models: Vec<(u64, &Spanned<String>)> = file
                .model
                .iter()
                .filter(|model| model.group.get_ref() == name)
                .map(|model| {
                    (self.tree.resident_mb(model.name.get_ref()), &model.name)
                })
                .collect();
            models.sort_by_key(|(size, _)| std::cmp::Reverse(*size));
            let largest = free_mb.iter().copied().max().unwrap_or(0);
            for (size, model) in models {
                if let Some(free) =
                    free_mb.iter_mut().find(|free| size <= **free)
                {
                    *free -= size;
                    continue;
                }
                let message = format!(
                    "model {:?} takes {size} MB with its adapters and fits \
                     no runner of group {name:?} beside the models before \
                     it; the largest runner has {largest} MB",
                    model.get_ref(),
                );
                self.add_fault(model.span().start, message);
            }
        }
    }

    /// Returns the chain of a leaf that inherits from a group of this kind.
    /// Records a fault and returns `None` if there is no such group.
    fn group_chain<'f>(
        &mut self,
        file: &'f SettingsFile,
        group: &Spanned<String>,
        kind: GroupKind,
        leaf: BranchValues<'f>,
    ) -> Option<Vec<BranchValues<'f>>> {
        let found = file
            .group
            .iter()
            .find(|candidate| same_name(&candidate.name, group));
        let Some(found) = found else {
            self.report_unknown_name("group", group);
            return None;
        };
        if found.kind != kind {
            let message = format!(
                "group {:?} has another kind, accepted is a group of kind \
                 {kind:?}",
                group.get_ref(),
            );
            self.add_fault(group.span().start, message);
            return None;
        }
        let root = ("defaults".to_owned(), &file.defaults);
        Some(vec![root, (branch_path("group", &found.name), &found.set), leaf])
    }

    /// Returns the values at the end of a chain and records the origin of
    /// each.
    fn resolve(&mut self, chain: &[BranchValues<'_>]) -> ResolvedValues {
        let mut values = ResolvedValues::default();
        let mut origins = vec!["built-in"; VALUE_RULES.len()];
        for (name, set) in chain {
            values.overlay(set, |value| {
                let rule = VALUE_RULES.iter().position(|r| r.name == value);
                if let Some(position) = rule {
                    origins[position] = name;
                }
            });
        }
        let Some((leaf, _)) = chain.last() else { return values };
        for ((name, value), origin) in values.entries().iter().zip(origins) {
            self.tree.origins.push(ValueOrigin {
                branch: leaf.clone(),
                name: (*name).to_owned(),
                origin: origin.to_owned(),
                value: *value,
            });
        }
        values
    }

    fn check_limits(
        &mut self,
        name: &Spanned<String>,
        values: &ResolvedValues,
    ) {
        let pairs = [
            ("rate", values.rate, self.root.rate_limit, "tokens/s"),
            ("burst", values.burst, self.root.burst_limit, "tokens"),
        ];
        for (what, value, limit, unit) in pairs {
            if limit < value {
                let message = format!(
                    "{what} of customer {:?} is {value}, accepted are 0 to \
                     {limit} {unit} by {what}_limit of the defaults",
                    name.get_ref(),
                );
                self.add_fault(name.span().start, message);
            }
        }
    }

    fn check_ranges(&mut self, values: &SettingValues) {
        for (rule, value, start) in values.explicit_values() {
            if (rule.low..=rule.high).contains(&value) {
                continue;
            }
            let message = format!(
                "{} is {value}, accepted are {} to {} {}",
                rule.name, rule.low, rule.high, rule.unit,
            );
            self.add_fault(start, message);
        }
    }

    fn check_names<'n>(
        &mut self,
        kind: &str,
        names: impl Iterator<Item = &'n Spanned<String>>,
    ) {
        let mut seen: Vec<&str> = Vec::new();
        for name in names {
            let text = name.get_ref().as_str();
            if seen.contains(&text) {
                self.report_duplicate_name(kind, name);
            }
            seen.push(text);
            let clean = text.bytes().all(|byte| {
                byte.is_ascii_alphanumeric() || b"-_.".contains(&byte)
            });
            if text.is_empty() || 64 < text.len() || !clean {
                let message = format!(
                    "{kind} name is {text:?}, accepted are 1 to 64 letters, \
                     digits, '-', '_' and '.'",
                );
                self.add_fault(name.span().start, message);
            }
        }
    }

    fn check_address(&mut self, address: &Spanned<String>) {
        let text = address.get_ref();
        if text.parse::<std::net::SocketAddr>().is_err() {
            let message = format!("address is {text:?}, accepted is IP:PORT");
            self.add_fault(address.span().start, message);
        }
    }

    fn report_unknown_name(&mut self, kind: &str, name: &Spanned<String>) {
        let message = format!("there is no {kind} {:?}", name.get_ref());
        self.add_fault(name.span().start, message);
    }

    fn report_duplicate_name(&mut self, kind: &str, name: &Spanned<String>) {
        let message = format!("{kind} {:?} is defined twice", name.get_ref());
        self.add_fault(name.span().start, message);
    }

    fn add_fault(&mut self, start: usize, message: String) {
        let line = line_number(self.text, start);
        self.faults.push(SettingsFault { line, message });
    }
}

fn branch_path(kind: &str, name: &Spanned<String>) -> String {
    format!("{kind}/{}", name.get_ref())
}

fn same_name(one: &Spanned<String>, other: &Spanned<String>) -> bool {
    one.get_ref() == other.get_ref()
}

fn line_number(text: &str, start: usize) -> usize {
    let before = text.get(..start).unwrap_or(text);
    before.matches('\n').count() + 1
}
