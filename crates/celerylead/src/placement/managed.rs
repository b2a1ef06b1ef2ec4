//! The lease holder's record of one runner.
//!
//! A model or adapter is drained before it is unloaded: hosts are told not to
//! use it. A runner that has to wait for calls before it can unload accepts no
//! other order in the meantime, so the unload is sent only once no host has a
//! call there.
//!
//! An order may go unanswered and still be carried out seconds later. Each
//! order states the number of orders that the runner must have accepted
//! before, so at most one of all orders with the same number takes effect. The
//! record therefore keeps an unanswered order, and the *same* order is sent
//! again until the runner answers. No other order is sent under that number,
//! and the memory or adapter slot that the order would take stays reserved.

use std::time::Duration;

use super::{
    loads::{LoadOutcome, LoadSource},
    table::SendOutcome,
};
use crate::{
    clock::EpochMillis,
    model::ModelName,
    port::{EngineReport, OrderVerdict, PlacementOrder},
    roster::{HeldModel, RunnerFacts},
    runner::OrderKind,
    sorted::SortedTable,
};

/// Minimum time that a model or adapter drains. Within this time, calls that
/// are on their way arrive, and hosts with calls there report them.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(100);

/// One attempt to send an order, either the first or a retry.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderAttempt {
    /// The order.
    pub order: PlacementOrder,
    /// Where the weights come from, if the order loads a model.
    pub source: Option<LoadSource>,
    /// Time at which the order was first sent.
    pub first_sent_at: EpochMillis,
    /// Number of this attempt, starting at 1.
    pub attempt: u32,
}

impl OrderAttempt {
    /// Returns what `outcome` implies for the load that is ordered. An earlier
    /// unanswered attempt may have taken effect. Once the runner answers an
    /// order with the same number, no earlier attempt can take effect any
    /// more.
    pub fn load_outcome(&self, outcome: SendOutcome) -> LoadOutcome {
        let first_attempt = self.attempt == 1;
        match outcome {
            SendOutcome::Answered(
                OrderVerdict::Conflict | OrderVerdict::Refused,
            )
            | SendOutcome::Unsent
                if first_attempt =>
            {
                LoadOutcome::NotStarted
            }
            SendOutcome::Answered(_) => LoadOutcome::Started,
            SendOutcome::Unsent | SendOutcome::Lost => LoadOutcome::Open,
        }
    }
}

/// State: the runner's report has to be read before it takes an order.
#[derive(Clone, Debug, PartialEq)]
pub struct NeedsReport {
    /// Earliest time at which to read the report.
    pub(super) read_at: EpochMillis,
}

/// State: the runner takes an order.
#[derive(Clone, Debug, PartialEq)]
pub struct Idle;

/// State: an order was sent, or was accepted and isn't carried out yet.
#[derive(Clone, Debug, PartialEq)]
pub struct Pending {
    pub(super) sent: OrderAttempt,
    /// Time at which the order should have taken effect, or `None` while the
    /// order isn't answered.
    pub(super) effective_at: Option<EpochMillis>,
}

/// State: an order wasn't answered.
#[derive(Clone, Debug, PartialEq)]
pub struct Unanswered {
    pub(super) sent: OrderAttempt,
    /// Time at which the order is sent again.
    pub(super) retry_at: EpochMillis,
}

/// A runner in state `S`.
#[derive(Clone, Debug, PartialEq)]
pub struct ManagedRunner<S> {
    /// The runner's roster entry.
    pub facts: RunnerFacts,
    /// Models and adapters that the runner holds.
    pub models: Vec<HeldModel>,
    /// Models of which the runner keeps a local copy, according to its own
    /// report and as of its last order for a model. `None` if the report
    /// doesn't list them.
    pub(super) local_copies: Option<Vec<String>>,
    /// Models and adapters that hosts are told not to use, with the time since
    /// when.
    pub(super) draining: SortedTable<ModelName, EpochMillis>,
    /// Whether `models` comes from the runner's own report rather than from
    /// the roster.
    pub(super) confirmed: bool,
    /// Number of orders that the runner has certainly accepted.
    pub(super) accepted_orders: u64,
    pub(super) state: S,
}

impl<S> ManagedRunner<S> {
    fn into_state<T>(self, state: T) -> ManagedRunner<T> {
        ManagedRunner {
            facts: self.facts,
            models: self.models,
            local_copies: self.local_copies,
            draining: self.draining,
            confirmed: self.confirmed,
            accepted_orders: self.accepted_orders,
            state,
        }
    }

    pub(super) fn await_report(
        self,
        read_at: EpochMillis,
    ) -> ManagedRunner<NeedsReport> {
        self.into_state(NeedsReport { read_at })
    }

    /// Returns whether hosts are told not to use a model or adapter.
    pub fn is_draining(&self, name: &ModelName) -> bool {
        self.draining.get(name).is_some()
    }

    /// Returns the models and adapters that the runner holds, without those
    /// that are draining.
    pub(super) fn active_models(&self) -> Vec<HeldModel> {
        let mut models = self.models.clone();
        for name in self.draining.keys() {
            remove_name(&mut models, name);
        }
        models
    }
}

impl ManagedRunner<NeedsReport> {
    pub(super) fn new(facts: &RunnerFacts, read_at: EpochMillis) -> Self {
        ManagedRunner {
            models: facts.models.clone(),
            facts: facts.clone(),
            local_copies: None,
            draining: SortedTable::default(),
            confirmed: false,
            accepted_orders: 0,
            state: NeedsReport { read_at },
        }
    }

    /// Applies a report that isn't older than the current record.
    pub(super) fn apply_report(
        mut self,
        report: EngineReport,
    ) -> ManagedRunner<Idle> {
        self.models = report.models;
        self.local_copies = report.copies;
        for (model, adapter) in report.incoming {
            add_adapter(&mut self.models, &model, &adapter);
        }
        let models = &self.models;
        self.draining.retain(|name, _| holds(models, name));
        self.accepted_orders = report.orders;
        self.confirmed = true;
        self.into_state(Idle)
    }
}

impl ManagedRunner<Idle> {
    /// Returns the number of orders that the runner has accepted.
    pub fn accepted_orders(&self) -> u64 {
        self.accepted_orders
    }

    /// Returns where the weights of a model come from. A load may evict other
    /// local copies, and a restarted runner may have none, so the registry
    /// entry counts only if it includes every accepted order.
    pub fn source(&self, model: &str) -> LoadSource {
        let entry = &self.facts;
        let local_copies = match &self.local_copies {
            Some(local_copies) => local_copies.as_slice(),
            None if entry.orders == self.accepted_orders => {
                entry.copies.as_slice()
            }
            None => &[],
        };
        if local_copies.iter().any(|copy| copy == model) {
            LoadSource::Copy
        } else {
            LoadSource::Store
        }
    }

    /// Starts to drain a model or adapter.
    pub(super) fn drain(&mut self, name: &ModelName, now: EpochMillis) {
        self.draining.entry(name.clone(), || now);
    }

    /// Returns whether a draining model or adapter may be unloaded. `used` is
    /// whether any host has calls there.
    pub fn is_drained(
        &self,
        name: &ModelName,
        used: bool,
        now: EpochMillis,
    ) -> bool {
        let since = self.draining.get(name);
        !used && since.is_some_and(|since| since.after(MIN_DRAIN_TIME) <= now)
    }

    pub(super) fn start_order(
        mut self,
        order: PlacementOrder,
        source: Option<LoadSource>,
        now: EpochMillis,
    ) -> ManagedRunner<Pending> {
        if order.kind == OrderKind::Unload {
            self.drain(&ordered_name(&order), now);
        }
        let sent =
            OrderAttempt { order, source, first_sent_at: now, attempt: 1 };
        self.into_state(Pending { sent, effective_at: None })
    }
}

impl ManagedRunner<Pending> {
    pub(super) fn mark_unanswered(
        self,
        retry_at: EpochMillis,
    ) -> ManagedRunner<Unanswered> {
        let sent = self.state.sent.clone();
        self.into_state(Unanswered { sent, retry_at })
    }

    /// Marks the order as carried out. `accepted` is whether the runner
    /// counted the order.
    pub(super) fn complete(mut self, accepted: bool) -> ManagedRunner<Idle> {
        let order = &self.state.sent.order;
        self.accepted_orders = order.expected + u64::from(accepted);
        apply_order(&mut self.models, order);
        let models = &self.models;
        self.draining.retain(|name, _| holds(models, name));
        self.into_state(Idle)
    }

    /// Marks an unload as accepted that waits for calls to end. The runner
    /// takes no order until its report shows that it isn't busy.
    pub(super) fn await_unload(
        mut self,
        read_at: EpochMillis,
    ) -> ManagedRunner<NeedsReport> {
        self.accepted_orders =
            self.state.sent.order.expected.saturating_add(1);
        self.await_report(read_at)
    }
}

impl ManagedRunner<Unanswered> {
    /// Sends the order again, under the fencing token that is held now: the
    /// runner tells orders apart by the number that they expect.
    pub(super) fn retry(self, fencing: u64) -> ManagedRunner<Pending> {
        let mut sent = self.state.sent.clone();
        sent.order.fencing = fencing;
        sent.attempt += 1;
        self.into_state(Pending { sent, effective_at: None })
    }
}

/// Returns the model or adapter that an order refers to.
fn ordered_name(order: &PlacementOrder) -> ModelName {
    let (model, adapter) = (order.model.clone(), order.adapter.clone());
    ModelName { model, adapter }
}

fn add_adapter(models: &mut [HeldModel], model: &str, adapter: &str) {
    let held_model =
        models.iter_mut().find(|held_model| held_model.name == model);
    let Some(held_model) = held_model else { return };
    if !held_model.adapters.iter().any(|name| name == adapter) {
        held_model.adapters.push(adapter.to_owned());
    }
}

/// Removes an adapter, or a model with all its adapters.
fn remove_name(models: &mut Vec<HeldModel>, name: &ModelName) {
    if name.adapter.is_none() {
        models.retain(|model| model.name != name.model);
        return;
    }
    for model in models.iter_mut().filter(|model| model.name == name.model) {
        model
            .adapters
            .retain(|adapter| Some(adapter) != name.adapter.as_ref());
    }
}

/// Returns whether `models` contains a model, or an adapter of it.
pub(super) fn holds(models: &[HeldModel], name: &ModelName) -> bool {
    let model = models.iter().find(|model| model.name == name.model);
    model.is_some_and(|model| {
        let adapter = name.adapter.as_ref();
        adapter.is_none_or(|adapter| model.adapters.contains(adapter))
    })
}

/// Applies an order to a list of held models.
pub(super) fn apply_order(
    models: &mut Vec<HeldModel>,
    order: &PlacementOrder,
) {
    match (order.kind, &order.adapter) {
        (OrderKind::Load, Some(adapter)) => {
            add_adapter(models, &order.model, adapter);
        }
        (OrderKind::Load, None) => {
            if !models.iter().any(|model| model.name == order.model) {
                let name = order.model.clone();
                models.push(HeldModel { name, adapters: Vec::new() });
            }
        }
        (OrderKind::Unload, _) => remove_name(models, &ordered_name(order)),
        (OrderKind::Fence, _) => {}
    }
}
