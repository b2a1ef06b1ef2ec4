//! Parsing and checking of a settings file as a whole.

use std::fmt;

use serde::{Deserialize, Serialize};
use toml::Spanned;

use super::{
    file::SettingsFile,
    tree::{
        AdapterPlan, CustomerPlan, GroupKind, KeyPlan, ModelPlan, RoutePlan,
        RunnerPlan, ServicePlan, SettingsTree, ValueOrigin,
    },
    values::{ResolvedValues, SettingValues, VALUE_RULES},
};

/// One thing that is wrong in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SettingsFault {
    /// Line of the file, from 1.
    pub line: usize,
    /// What is wrong, with the value and what is accepted.
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
/// Returns every fault found, in the order of their lines. Nothing of a
/// file with a fault is used.
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
                line: line_at(text, start),
                message,
            }]);
        }
    };
    let mut checker = TreeChecker {
        text,
        faults: Vec::new(),
        tree: SettingsTree::default(),
        root: ResolvedValues::default(),
    };
    checker.build(&file);
    if checker.faults.is_empty() {
        return Ok(checker.tree);
    }
    checker.faults.sort_by_key(|fault| fault.line);
    Err(checker.faults)
}

/// Builds a tree from a file and notes the faults on the way.
struct TreeChecker<'a> {
    text: &'a str,
    faults: Vec<SettingsFault>,
    tree: SettingsTree,
    root: ResolvedValues,
}

/// A branch and the values it sets, root first in a chain.
type BranchValues<'a> = (String, &'a SettingValues);

impl TreeChecker<'_> {
    fn build(&mut self, file: &SettingsFile) {
        self.ranges(&file.defaults);
        self.root.overlay(&file.defaults, |_| ());
        self.tree.defaults = self.root.clone();
        self.places(file);
        self.runners(file);
        self.models(file);
        self.customers(file);
        self.services(file);
        self.capacity(file);
    }

    fn places(&mut self, file: &SettingsFile) {
        self.names("region", file.region.iter().map(|entry| &entry.name));
        self.names("zone", file.zone.iter().map(|entry| &entry.name));
        self.names("group", file.group.iter().map(|entry| &entry.name));
        for entry in &file.region {
            self.ranges(&entry.set);
        }
        for entry in &file.group {
            self.ranges(&entry.set);
        }
        for entry in &file.zone {
            self.ranges(&entry.set);
            if !file.region.iter().any(|held| same(&held.name, &entry.region))
            {
                self.dangling("region", &entry.region);
            }
            self.tree.zones.push(entry.name.get_ref().clone());
        }
        self.tree.zones.sort();
    }

    fn runners(&mut self, file: &SettingsFile) {
        self.names("runner", file.runner.iter().map(|entry| &entry.name));
        for entry in &file.runner {
            self.ranges(&entry.set);
            self.address(&entry.address);
            let zone =
                file.zone.iter().find(|held| same(&held.name, &entry.zone));
            let group =
                file.group.iter().find(|held| same(&held.name, &entry.group));
            if zone.is_none() {
                self.dangling("zone", &entry.zone);
            }
            if group.is_none() {
                self.dangling("group", &entry.group);
            }
            let (Some(zone), Some(group)) = (zone, group) else { continue };
            let mut chain = vec![("defaults".to_owned(), &file.defaults)];
            let region =
                file.region.iter().find(|held| same(&held.name, &zone.region));
            if let Some(region) = region {
                chain.push((branch("region", &region.name), &region.set));
            }
            chain.push((branch("zone", &zone.name), &zone.set));
            chain.push((branch("group", &group.name), &group.set));
            chain.push((branch("runner", &entry.name), &entry.set));
            let values = self.resolve(&chain);
            self.tree.runners.push(RunnerPlan {
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

    fn models(&mut self, file: &SettingsFile) {
        self.names("model", file.model.iter().map(|entry| &entry.name));
        for entry in &file.model {
            self.ranges(&entry.set);
            let Some(chain) = self.group_chain(
                file,
                &entry.group,
                GroupKind::Model,
                (branch("model", &entry.name), &entry.set),
            ) else {
                continue;
            };
            let values = self.resolve(&chain);
            self.tree.models.push(ModelPlan {
                name: entry.name.get_ref().clone(),
                group: entry.group.get_ref().clone(),
                size_mb: *entry.size_mb.get_ref(),
                values,
            });
        }
        self.tree.models.sort_by(|one, other| one.name.cmp(&other.name));
        self.adapters(file);
    }

    fn adapters(&mut self, file: &SettingsFile) {
        for entry in &file.adapter {
            self.ranges(&entry.set);
            let model = file
                .model
                .iter()
                .find(|held| same(&held.name, &entry.model))
                .map(|model| (model, &model.group));
            let Some((model, group)) = model else {
                self.dangling("model", &entry.model);
                continue;
            };
            if self.tree.adapters.iter().any(|held| {
                held.name == *entry.name.get_ref()
                    && held.model == *entry.model.get_ref()
            }) {
                self.twice("adapter", &entry.name);
                continue;
            }
            let Some(mut chain) = self.group_chain(
                file,
                group,
                GroupKind::Model,
                (branch("model", &model.name), &model.set),
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
            self.tree.adapters.push(AdapterPlan {
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

    fn customers(&mut self, file: &SettingsFile) {
        self.names("customer", file.customer.iter().map(|entry| &entry.name));
        self.names("key", file.key.iter().map(|entry| &entry.name));
        for entry in &file.customer {
            self.ranges(&entry.set);
            for model in entry.models.iter().flatten() {
                if !file.model.iter().any(|held| same(&held.name, model)) {
                    self.dangling("model", model);
                }
            }
            let values = self.resolve(&[
                ("defaults".to_owned(), &file.defaults),
                (branch("customer", &entry.name), &entry.set),
            ]);
            self.limits(&entry.name, &values);
            let models = entry.models.iter().flatten();
            self.tree.customers.push(CustomerPlan {
                name: entry.name.get_ref().clone(),
                models: models.map(|name| name.get_ref().clone()).collect(),
                values,
            });
        }
        self.tree.customers.sort_by(|one, other| one.name.cmp(&other.name));
        self.keys(file);
    }

    fn keys(&mut self, file: &SettingsFile) {
        for entry in &file.key {
            self.ranges(&entry.set);
            let customer = file
                .customer
                .iter()
                .find(|held| same(&held.name, &entry.customer));
            let Some(customer) = customer else {
                self.dangling("customer", &entry.customer);
                continue;
            };
            let hash = *entry.sha256.get_ref();
            if self.tree.keys.iter().any(|held| held.hash == hash) {
                self.fault(
                    entry.sha256.span().start,
                    "this key hash stands twice".to_owned(),
                );
            }
            let values = self.resolve(&[
                ("defaults".to_owned(), &file.defaults),
                (branch("customer", &customer.name), &customer.set),
                (branch("key", &entry.name), &entry.set),
            ]);
            self.tree.keys.push(KeyPlan {
                hash,
                name: entry.name.get_ref().clone(),
                customer: entry.customer.get_ref().clone(),
                values,
            });
        }
        self.tree.keys.sort_by_key(|key| key.hash);
    }

    fn services(&mut self, file: &SettingsFile) {
        self.names("service", file.service.iter().map(|entry| &entry.name));
        for entry in &file.service {
            self.ranges(&entry.set);
            let Some(chain) = self.group_chain(
                file,
                &entry.group,
                GroupKind::Service,
                (branch("service", &entry.name), &entry.set),
            ) else {
                continue;
            };
            let values = self.resolve(&chain);
            self.tree.services.push(ServicePlan {
                name: entry.name.get_ref().clone(),
                group: entry.group.get_ref().clone(),
                values,
            });
        }
        self.tree.services.sort_by(|one, other| one.name.cmp(&other.name));
        self.routes(file);
    }

    fn routes(&mut self, file: &SettingsFile) {
        for entry in &file.route {
            self.ranges(&entry.set);
            let service = file
                .service
                .iter()
                .find(|held| same(&held.name, &entry.service));
            let Some(service) = service else {
                self.dangling("service", &entry.service);
                continue;
            };
            if !entry.path.get_ref().starts_with('/') {
                self.fault(
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
                (branch("service", &service.name), &service.set),
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
            self.tree.routes.push(RoutePlan {
                service: entry.service.get_ref().clone(),
                path: entry.path.get_ref().clone(),
                methods: entry.methods.clone().unwrap_or_default(),
                values,
            });
        }
        // The longest path first, so that the first that fits is meant.
        self.tree.routes.sort_by(|one, other| {
            let order = one.service.cmp(&other.service);
            order.then(other.path.len().cmp(&one.path.len()))
        });
    }

    /// Checks that the models of each group fit its runners, each at least
    /// once, by first fit of the largest first.
    fn capacity(&mut self, file: &SettingsFile) {
        for group in &file.group {
            let name = group.name.get_ref();
            let mut room: Vec<u64> = self
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
            let largest = room.iter().copied().max().unwrap_or(0);
            for (size, model) in models {
                if let Some(free) = room.iter_mut().find(|free| size <= **free)
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
                self.fault(model.span().start, message);
            }
        }
    }

    fn group_chain<'f>(
        &mut self,
        file: &'f SettingsFile,
        group: &Spanned<String>,
        kind: GroupKind,
        leaf: BranchValues<'f>,
    ) -> Option<Vec<BranchValues<'f>>> {
        let held = file.group.iter().find(|held| same(&held.name, group));
        let Some(held) = held else {
            self.dangling("group", group);
            return None;
        };
        if held.kind != kind {
            let message = format!(
                "group {:?} is of another kind, accepted is one of kind \
                 {kind:?}",
                group.get_ref(),
            );
            self.fault(group.span().start, message);
            return None;
        }
        let root = ("defaults".to_owned(), &file.defaults);
        Some(vec![root, (branch("group", &held.name), &held.set), leaf])
    }

    fn resolve(&mut self, chain: &[BranchValues<'_>]) -> ResolvedValues {
        let mut values = ResolvedValues::default();
        let mut origins = vec!["built-in"; VALUE_RULES.len()];
        for (name, set) in chain {
            values.overlay(set, |value| {
                let rule = VALUE_RULES.iter().position(|r| r.name == value);
                if let Some(place) = rule {
                    origins[place] = name;
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

    fn limits(&mut self, name: &Spanned<String>, values: &ResolvedValues) {
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
                self.fault(name.span().start, message);
            }
        }
    }

    fn ranges(&mut self, values: &SettingValues) {
        for (rule, value, start) in values.stated() {
            if (rule.low..=rule.high).contains(&value) {
                continue;
            }
            let message = format!(
                "{} is {value}, accepted are {} to {} {}",
                rule.name, rule.low, rule.high, rule.unit,
            );
            self.fault(start, message);
        }
    }

    fn names<'n>(
        &mut self,
        kind: &str,
        names: impl Iterator<Item = &'n Spanned<String>>,
    ) {
        let mut seen: Vec<&str> = Vec::new();
        for name in names {
            let text = name.get_ref().as_str();
            if seen.contains(&text) {
                self.twice(kind, name);
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
                self.fault(name.span().start, message);
            }
        }
    }

    fn address(&mut self, address: &Spanned<String>) {
        let text = address.get_ref();
        if text.parse::<std::net::SocketAddr>().is_err() {
            let message = format!("address is {text:?}, accepted is IP:PORT");
            self.fault(address.span().start, message);
        }
    }

    fn dangling(&mut self, kind: &str, name: &Spanned<String>) {
        let message = format!("there is no {kind} {:?}", name.get_ref());
        self.fault(name.span().start, message);
    }

    fn twice(&mut self, kind: &str, name: &Spanned<String>) {
        let message = format!("{kind} {:?} stands twice", name.get_ref());
        self.fault(name.span().start, message);
    }

    fn fault(&mut self, start: usize, message: String) {
        let line = line_at(self.text, start);
        self.faults.push(SettingsFault { line, message });
    }
}

fn branch(kind: &str, name: &Spanned<String>) -> String {
    format!("{kind}/{}", name.get_ref())
}

fn same(one: &Spanned<String>, other: &Spanned<String>) -> bool {
    one.get_ref() == other.get_ref()
}

fn line_at(text: &str, start: usize) -> usize {
    let before = text.get(..start).unwrap_or(text);
    before.matches('\n').count() + 1
}
