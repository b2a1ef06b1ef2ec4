//! A zone's runners, as the owner of some of them sees them in one turn.

use super::dispatch::RunnerStatus;
use crate::{
    customer::share::ZoneLeases,
    membership::HostLease,
    placement::{ModelNeed, PlacementPlan},
    platform::{PLACEMENT_PREFIX, ReadResponse, placement_key},
    runner::RunnerLedger,
    settings::{GroupKind, RunnerSettings, SettingsTree},
};

/// All that one turn works with.
pub(crate) struct ZoneView<'a> {
    pub(crate) answer: &'a ReadResponse,
    pub(crate) own: &'a HostLease,
    pub(crate) tree: &'a SettingsTree,
    pub(crate) leases: &'a ZoneLeases,
    pub(crate) runners: &'a [RunnerStatus],
    pub(crate) ledgers: &'a [RunnerLedger],
    pub(crate) plan: &'a PlacementPlan,
}

impl ZoneView<'_> {
    /// What a runner in service looks like.
    pub(crate) fn status(&self, runner: &str) -> Option<&RunnerStatus> {
        self.runners.iter().find(|held| held.name == runner)
    }

    /// Finds another runner of the zone on which a model is resident,
    /// planned, and not being unloaded.
    pub(crate) fn survivor(
        &self,
        runner: &str,
        model: &str,
    ) -> Option<String> {
        let planned = self.plan.targets.iter().find(|(other, models)| {
            let resident = self
                .status(other)
                .is_some_and(|held| held.models.iter().any(|m| m == model));
            let leaving =
                find_ledger(self.ledgers, other).is_none_or(|held| {
                    held.orders.iter().any(|order| order.model == model)
                });
            let wanted = models.iter().any(|held| held == model);
            other.as_str() != runner && wanted && resident && !leaving
        });
        planned.map(|(other, _)| other.clone())
    }
}

/// The models of the settings, with the demand that the zone's hosts report.
pub(crate) fn needs(view: &ZoneView<'_>) -> anyhow::Result<Vec<ModelNeed>> {
    let own = placement_key(&view.own.zone);
    let mut elsewhere: Vec<String> = Vec::new();
    for row in view.answer.rows_with_prefix(PLACEMENT_PREFIX) {
        if row.key == own {
            continue;
        }
        let plan: PlacementPlan = row.decode()?;
        elsewhere.extend(plan.targets.values().flatten().cloned());
    }
    let models = view.tree.models.iter();
    Ok(models
        .map(|model| {
            let leases = view.leases.values();
            let demand =
                leases.filter_map(|lease| lease.demand.get(&model.name)).sum();
            ModelNeed {
                name: model.name.clone(),
                group: model.group.clone(),
                size_mb: view.tree.resident_mb(&model.name),
                demand,
                elsewhere: elsewhere.contains(&model.name),
            }
        })
        .collect())
}

/// The model engines of a zone.
pub(crate) fn engines_of<'a>(
    tree: &'a SettingsTree,
    zone: &'a str,
) -> impl Iterator<Item = &'a RunnerSettings> {
    tree.runners
        .iter()
        .filter(move |plan| plan.kind == GroupKind::Model && plan.zone == zone)
}

/// Finds a runner's ledger among those sorted by runner.
pub(crate) fn find_ledger<'a>(
    ledgers: &'a [RunnerLedger],
    runner: &str,
) -> Option<&'a RunnerLedger> {
    let place =
        ledgers.binary_search_by(|held| held.runner.as_str().cmp(runner));
    Some(&ledgers[place.ok()?])
}
