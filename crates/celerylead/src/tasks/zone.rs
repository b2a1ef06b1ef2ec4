//! A zone's runners, as an owner of some of them sees them in one
//! reconciliation.

use super::dispatch::RunnerStatus;
use crate::{
    customer::share::ZoneLeases,
    membership::HostLease,
    placement::{ModelNeed, PlacementPlan},
    platform::{PLACEMENT_PREFIX, ReadResponse, placement_key},
    runner::RunnerLedger,
    settings::{GroupKind, RunnerSettings, SettingsTree},
};

/// Everything that one reconciliation is based on.
pub(crate) struct ZoneView<'a> {
    pub(crate) answer: &'a ReadResponse,
    pub(crate) own_lease: &'a HostLease,
    pub(crate) tree: &'a SettingsTree,
    pub(crate) leases: &'a ZoneLeases,
    pub(crate) runners: &'a [RunnerStatus],
    pub(crate) ledgers: &'a [RunnerLedger],
    pub(crate) plan: &'a PlacementPlan,
}

impl ZoneView<'_> {
    /// Returns the status of a runner, if it is in service.
    pub(crate) fn status(&self, runner: &str) -> Option<&RunnerStatus> {
        self.runners.iter().find(|status| status.name == runner)
    }

    /// Finds another runner of the zone on which a model is planned and
    /// resident. The runner must have a ledger without an order for the model,
    /// as an outstanding order could unload the model.
    pub(crate) fn survivor(
        &self,
        runner: &str,
        model: &str,
    ) -> Option<String> {
        let planned = self.plan.targets.iter().find(|(other, models)| {
            let resident = self.status(other).is_some_and(|status| {
                status.models.iter().any(|m| m == model)
            });
            let may_unload =
                find_ledger(self.ledgers, other).is_none_or(|ledger| {
                    ledger.orders.iter().any(|order| order.model == model)
                });
            let wanted = models.iter().any(|planned| planned == model);
            other.as_str() != runner && wanted && resident && !may_unload
        });
        planned.map(|(other, _)| other.clone())
    }
}

/// Returns the models of the settings, with the demand that the zone's hosts
/// report and whether the plan of another zone includes the model.
pub(crate) fn model_needs(
    view: &ZoneView<'_>,
) -> anyhow::Result<Vec<ModelNeed>> {
    let own_key = placement_key(&view.own_lease.zone);
    let mut elsewhere: Vec<String> = Vec::new();
    for row in view.answer.rows_with_prefix(PLACEMENT_PREFIX) {
        if row.key == own_key {
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

/// Iterates over the model engines of a zone.
pub(crate) fn engines_of<'a>(
    tree: &'a SettingsTree,
    zone: &'a str,
) -> impl Iterator<Item = &'a RunnerSettings> {
    tree.runners.iter().filter(move |runner| {
        runner.kind == GroupKind::Model && runner.zone == zone
    })
}

/// Finds the ledger of a runner in `ledgers`, which are sorted by runner.
pub(crate) fn find_ledger<'a>(
    ledgers: &'a [RunnerLedger],
    runner: &str,
) -> Option<&'a RunnerLedger> {
    let index =
        ledgers.binary_search_by(|ledger| ledger.runner.as_str().cmp(runner));
    Some(&ledgers[index.ok()?])
}
