//! What the host that orders knows of one runner.
//!
//! A model or adapter that is to be unloaded first gives way: hosts are told
//! not to use it. A runner that has to wait for calls before it can unload
//! takes no other order meanwhile, so the unload goes out only once no host
//! has a call there.
//!
//! An order may go unanswered and be carried out seconds later. Each names
//! the number of orders that the runner must have accepted before, so of all
//! orders under one number at most one takes effect. A shelf therefore keeps
//! an unanswered order and repeats *that* order until it is answered; no
//! other goes out under its number, and what it would load stays reserved.

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

/// Time for which a model or adapter gives way at least: calls that are on
/// their way arrive, and hosts that have calls there tell.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(100);

/// An order as it goes out, perhaps not for the first time.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderAttempt {
    /// The order.
    pub order: PlacementOrder,
    /// Where the weights come from, where it loads a model.
    pub source: Option<LoadSource>,
    /// Point at which it was given.
    pub given_at: EpochMillis,
    /// How often it went out, this time included.
    pub attempt: u32,
}

impl OrderAttempt {
    /// Tells what `end` says of the load that it orders. An earlier sending
    /// that wasn't answered may have taken effect; once the runner answers
    /// under the same number, none still can.
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

/// State: its report has to be read before it takes an order.
#[derive(Clone, Debug, PartialEq)]
pub struct NeedsReport {
    /// Point from which its report may be read.
    pub(super) read_at: EpochMillis,
}

/// State: takes an order.
#[derive(Clone, Debug, PartialEq)]
pub struct Idle;

/// State: an order is on its way, or was accepted and isn't carried out.
#[derive(Clone, Debug, PartialEq)]
pub struct Pending {
    pub(super) sent: OrderAttempt,
    /// Point at which it should hold; none while it isn't answered.
    pub(super) effective_at: Option<EpochMillis>,
}

/// State: an order was not answered.
#[derive(Clone, Debug, PartialEq)]
pub struct Unanswered {
    pub(super) sent: OrderAttempt,
    /// Point from which it is repeated.
    pub(super) retry_at: EpochMillis,
}

/// A runner in state `S`.
#[derive(Clone, Debug, PartialEq)]
pub struct ManagedRunner<S> {
    /// What the roster says of it.
    pub facts: RunnerFacts,
    /// Models and adapters that it holds.
    pub models: Vec<HeldModel>,
    /// Models of which it keeps a copy, by its own word as of its last order
    /// for a model.
    pub(super) local_copies: Option<Vec<String>>,
    /// What hosts are told not to use, and since when.
    pub(super) draining: SortedTable<ModelName, EpochMillis>,
    /// Whether what it holds is by its own word, not by the roster's.
    pub(super) confirmed: bool,
    /// Orders that it has surely accepted.
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

    /// Tells whether hosts are told not to use a model or adapter.
    pub fn is_draining(&self, name: &ModelName) -> bool {
        self.draining.get(name).is_some()
    }

    /// Returns what it holds without what gives way.
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

    /// Takes over a report that isn't older than what is known.
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

    /// Returns where the weights of a model come from. A load may push out
    /// other copies, and a runner that started again may have none: the
    /// registry's entry counts only while it knows every order.
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

    /// Lets a model or adapter give way.
    pub(super) fn drain(&mut self, name: &ModelName, now: EpochMillis) {
        self.draining.entry(name.clone(), || now);
    }

    /// Tells whether what gives way may be unloaded; `used` tells whether a
    /// host has calls there.
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
        let sent = OrderAttempt { order, source, given_at: now, attempt: 1 };
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

    /// Takes what was ordered for done. `accepted` tells whether the order
    /// counted.
    pub(super) fn complete(mut self, accepted: bool) -> ManagedRunner<Idle> {
        let order = &self.state.sent.order;
        self.accepted_orders = order.expected + u64::from(accepted);
        apply_order(&mut self.models, order);
        let models = &self.models;
        self.draining.retain(|name, _| holds(models, name));
        self.into_state(Idle)
    }

    /// Takes an unload for accepted that waits for calls: the runner takes
    /// no order until its report says otherwise.
    pub(super) fn await_unload(
        mut self,
        read_at: EpochMillis,
    ) -> ManagedRunner<NeedsReport> {
        self.accepted_orders = self.state.sent.order.expected + 1;
        self.await_report(read_at)
    }
}

impl ManagedRunner<Unanswered> {
    pub(super) fn retry(self) -> ManagedRunner<Pending> {
        let mut sent = self.state.sent.clone();
        sent.attempt += 1;
        self.into_state(Pending { sent, effective_at: None })
    }
}

/// Returns what an order is about.
fn ordered_name(order: &PlacementOrder) -> ModelName {
    let (model, adapter) = (order.model.clone(), order.adapter.clone());
    ModelName { model, adapter }
}

fn add_adapter(models: &mut [HeldModel], model: &str, adapter: &str) {
    let held = models.iter_mut().find(|held| held.name == model);
    let Some(held) = held else { return };
    if !held.adapters.iter().any(|name| name == adapter) {
        held.adapters.push(adapter.to_owned());
    }
}

fn remove_name(models: &mut Vec<HeldModel>, name: &ModelName) {
    if name.adapter.is_none() {
        models.retain(|held| held.name != name.model);
        return;
    }
    for held in models.iter_mut().filter(|held| held.name == name.model) {
        held.adapters.retain(|held| Some(held) != name.adapter.as_ref());
    }
}

/// Tells whether a model, or an adapter, is among what is held.
pub(super) fn holds(models: &[HeldModel], name: &ModelName) -> bool {
    let held = models.iter().find(|held| held.name == name.model);
    held.is_some_and(|held| {
        let adapter = name.adapter.as_ref();
        adapter.is_none_or(|adapter| held.adapters.contains(adapter))
    })
}

/// Carries an order out in a list of what is held.
pub(super) fn apply_order(
    models: &mut Vec<HeldModel>,
    order: &PlacementOrder,
) {
    match (order.kind, &order.adapter) {
        (OrderKind::Load, Some(adapter)) => {
            add_adapter(models, &order.model, adapter);
        }
        (OrderKind::Load, None) => {
            if !models.iter().any(|held| held.name == order.model) {
                let name = order.model.clone();
                models.push(HeldModel { name, adapters: Vec::new() });
            }
        }
        (OrderKind::Unload, _) => remove_name(models, &ordered_name(order)),
        (OrderKind::Fence, _) => {}
    }
}
