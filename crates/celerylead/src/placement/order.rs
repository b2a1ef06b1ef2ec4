//! Chooses the next order that brings a runner closer to the plan.

use crate::{
    runner::{OrderKind, RunnerLedger, RunnerReport},
    settings::SettingsTree,
};

/// A runner as seen by the host that owns it.
#[derive(Clone, Copy, Debug)]
pub struct OwnedRunner<'a> {
    /// The runner's ledger.
    pub ledger: &'a RunnerLedger,
    /// The runner's last report.
    pub report: &'a RunnerReport,
    /// The runner's memory, in MB.
    pub memory_mb: u64,
    /// Models that the plan places on the runner.
    pub target: &'a [String],
}

/// An order that is due but not yet reserved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderDraft {
    /// Kind of order.
    pub kind: OrderKind,
    /// Model name.
    pub model: String,
    /// Memory of the model with its adapters, in MB.
    pub size_mb: u64,
    /// For an unload, the runner whose replica of the model remains, if there
    /// is one. The ledger of that runner must be unchanged when the order is
    /// reserved.
    pub survivor: Option<String>,
}

impl OwnedRunner<'_> {
    /// Returns the next order, if one is due and no order is outstanding.
    ///
    /// `survivor` returns another runner on which a model is resident and
    /// stays resident. Without another runner of this kind, a model that is in
    /// the settings isn't unloaded.
    pub fn next_order(
        &self,
        tree: &SettingsTree,
        survivor: impl Fn(&str) -> Option<String>,
    ) -> Option<OrderDraft> {
        if !self.ledger.orders.is_empty() {
            return None;
        }
        let resident = &self.report.models;
        let missing = self.target.iter().find(|m| !resident.contains(m))?;
        let size_of = |model: &str| tree.resident_mb(model);
        let size_mb = size_of(missing);
        let committed = self.ledger.committed_mb(self.report, size_of);
        if committed + size_mb <= self.memory_mb {
            return Some(OrderDraft {
                kind: OrderKind::Load,
                model: missing.clone(),
                size_mb,
                survivor: None,
            });
        }
        let unwanted =
            resident.iter().filter(|model| !self.target.contains(model));
        for model in unwanted {
            let known = tree.model(model).is_some();
            let survivor = survivor(model);
            if known && survivor.is_none() {
                continue;
            }
            return Some(OrderDraft {
                kind: OrderKind::Unload,
                model: model.clone(),
                size_mb: size_of(model),
                survivor,
            });
        }
        None
    }
}
