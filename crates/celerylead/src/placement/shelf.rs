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
    loads::{LoadFate, LoadSource},
    shelves::OrderEnd,
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
const CLEAR_WAIT: Duration = Duration::from_millis(100);

/// An order as it goes out, perhaps not for the first time.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderTry {
    /// The order.
    pub order: PlacementOrder,
    /// Where the weights come from, where it loads a model.
    pub source: Option<LoadSource>,
    /// Point at which it was given.
    pub given_at: EpochMillis,
    /// How often it went out, this time included.
    pub attempt: u32,
}

impl OrderTry {
    /// Tells what `end` says of the load that it orders. An earlier sending
    /// that wasn't answered may have taken effect; once the runner answers
    /// under the same number, none still can.
    pub fn fate(&self, end: OrderEnd) -> LoadFate {
        let first = self.attempt == 1;
        match end {
            OrderEnd::Answered(
                OrderVerdict::Conflict | OrderVerdict::Refused,
            )
            | OrderEnd::Unsent
                if first =>
            {
                LoadFate::Averted
            }
            OrderEnd::Answered(_) => LoadFate::Begun,
            OrderEnd::Unsent | OrderEnd::Lost => LoadFate::Open,
        }
    }
}

/// State: its report has to be read before it takes an order.
#[derive(Clone, Debug, PartialEq)]
pub struct Unread {
    /// Point from which its report may be read.
    pub(super) read_at: EpochMillis,
}

/// State: takes an order.
#[derive(Clone, Debug, PartialEq)]
pub struct Idle;

/// State: an order is on its way, or was accepted and isn't carried out.
#[derive(Clone, Debug, PartialEq)]
pub struct Ordered {
    pub(super) sent: OrderTry,
    /// Point at which it should hold; none while it isn't answered.
    pub(super) holds_at: Option<EpochMillis>,
}

/// State: an order was not answered.
#[derive(Clone, Debug, PartialEq)]
pub struct Doubtful {
    pub(super) sent: OrderTry,
    /// Point from which it is repeated.
    pub(super) repeat_at: EpochMillis,
}

/// A runner in state `S`.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerShelf<S> {
    /// What the roster says of it.
    pub facts: RunnerFacts,
    /// Models and adapters that it holds.
    pub models: Vec<HeldModel>,
    /// Models of which it keeps a copy, by its own word as of its last order
    /// for a model.
    pub(super) copies: Option<Vec<String>>,
    /// What hosts are told not to use, and since when.
    pub(super) yielding: SortedTable<ModelName, EpochMillis>,
    /// Whether what it holds is by its own word, not by the roster's.
    pub(super) read: bool,
    /// Orders that it has surely accepted.
    pub(super) known: u64,
    pub(super) state: S,
}

impl<S> RunnerShelf<S> {
    fn into_state<T>(self, state: T) -> RunnerShelf<T> {
        RunnerShelf {
            facts: self.facts,
            models: self.models,
            copies: self.copies,
            yielding: self.yielding,
            read: self.read,
            known: self.known,
            state,
        }
    }

    pub(super) fn unread(self, read_at: EpochMillis) -> RunnerShelf<Unread> {
        self.into_state(Unread { read_at })
    }

    /// Tells whether hosts are told not to use a model or adapter.
    pub fn yields(&self, name: &ModelName) -> bool {
        self.yielding.get(name).is_some()
    }

    /// Returns what it holds without what gives way.
    pub(super) fn kept(&self) -> Vec<HeldModel> {
        let mut models = self.models.clone();
        for name in self.yielding.keys() {
            drop_name(&mut models, name);
        }
        models
    }
}

impl RunnerShelf<Unread> {
    pub(super) fn new(facts: &RunnerFacts, read_at: EpochMillis) -> Self {
        RunnerShelf {
            models: facts.models.clone(),
            facts: facts.clone(),
            copies: None,
            yielding: SortedTable::default(),
            read: false,
            known: 0,
            state: Unread { read_at },
        }
    }

    /// Takes over a report that isn't older than what is known.
    pub(super) fn read(mut self, report: EngineReport) -> RunnerShelf<Idle> {
        self.models = report.models;
        self.copies = report.copies;
        for (model, adapter) in report.incoming {
            note_adapter(&mut self.models, &model, &adapter);
        }
        let models = &self.models;
        self.yielding.retain(|name, _| holds(models, name));
        self.known = report.orders;
        self.read = true;
        self.into_state(Idle)
    }
}

impl RunnerShelf<Idle> {
    /// Returns the number of orders that the runner has accepted.
    pub fn orders(&self) -> u64 {
        self.known
    }

    /// Returns where the weights of a model come from. A load may push out
    /// other copies, and a runner that started again may have none: the
    /// registry's entry counts only while it knows every order.
    pub fn source(&self, model: &str) -> LoadSource {
        let entry = &self.facts;
        let copies = match &self.copies {
            Some(copies) => copies.as_slice(),
            None if entry.orders == self.known => entry.copies.as_slice(),
            None => &[],
        };
        if copies.iter().any(|copy| copy == model) {
            LoadSource::Copy
        } else {
            LoadSource::Store
        }
    }

    /// Lets a model or adapter give way.
    pub(super) fn give_way(&mut self, name: &ModelName, now: EpochMillis) {
        self.yielding.entry(name.clone(), || now);
    }

    /// Tells whether what gives way may be unloaded; `used` tells whether a
    /// host has calls there.
    pub fn is_clear(
        &self,
        name: &ModelName,
        used: bool,
        now: EpochMillis,
    ) -> bool {
        let since = self.yielding.get(name);
        !used && since.is_some_and(|since| since.after(CLEAR_WAIT) <= now)
    }

    pub(super) fn order(
        mut self,
        order: PlacementOrder,
        source: Option<LoadSource>,
        now: EpochMillis,
    ) -> RunnerShelf<Ordered> {
        if order.kind == OrderKind::Unload {
            self.give_way(&ordered_name(&order), now);
        }
        let sent = OrderTry { order, source, given_at: now, attempt: 1 };
        self.into_state(Ordered { sent, holds_at: None })
    }
}

impl RunnerShelf<Ordered> {
    pub(super) fn doubt(
        self,
        repeat_at: EpochMillis,
    ) -> RunnerShelf<Doubtful> {
        let sent = self.state.sent.clone();
        self.into_state(Doubtful { sent, repeat_at })
    }

    /// Takes what was ordered for done. `accepted` tells whether the order
    /// counted.
    pub(super) fn done(mut self, accepted: bool) -> RunnerShelf<Idle> {
        let order = &self.state.sent.order;
        self.known = order.expected + u64::from(accepted);
        note_order(&mut self.models, order);
        let models = &self.models;
        self.yielding.retain(|name, _| holds(models, name));
        self.into_state(Idle)
    }

    /// Takes an unload for accepted that waits for calls: the runner takes
    /// no order until its report says otherwise.
    pub(super) fn waits(
        mut self,
        read_at: EpochMillis,
    ) -> RunnerShelf<Unread> {
        self.known = self.state.sent.order.expected + 1;
        self.unread(read_at)
    }
}

impl RunnerShelf<Doubtful> {
    pub(super) fn repeat(self) -> RunnerShelf<Ordered> {
        let mut sent = self.state.sent.clone();
        sent.attempt += 1;
        self.into_state(Ordered { sent, holds_at: None })
    }
}

/// Returns what an order is about.
fn ordered_name(order: &PlacementOrder) -> ModelName {
    let (model, adapter) = (order.model.clone(), order.adapter.clone());
    ModelName { model, adapter }
}

fn note_adapter(models: &mut [HeldModel], model: &str, adapter: &str) {
    let held = models.iter_mut().find(|held| held.name == model);
    let Some(held) = held else { return };
    if !held.adapters.iter().any(|name| name == adapter) {
        held.adapters.push(adapter.to_owned());
    }
}

fn drop_name(models: &mut Vec<HeldModel>, name: &ModelName) {
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
pub(super) fn note_order(models: &mut Vec<HeldModel>, order: &PlacementOrder) {
    match (order.kind, &order.adapter) {
        (OrderKind::Load, Some(adapter)) => {
            note_adapter(models, &order.model, adapter);
        }
        (OrderKind::Load, None) => {
            if !models.iter().any(|held| held.name == order.model) {
                let name = order.model.clone();
                models.push(HeldModel { name, adapters: Vec::new() });
            }
        }
        (OrderKind::Unload, _) => drop_name(models, &ordered_name(order)),
        (OrderKind::Fence, _) => {}
    }
}
