//! What the host that orders knows of one runner.
//!
//! An order may go unanswered and be carried out seconds later. Each names
//! the number of orders that the runner must have accepted before, so of all
//! orders under one number at most one takes effect. A shelf therefore keeps
//! an unanswered order and repeats *that* order until it is answered; no
//! other goes out under its number, and what it would load stays reserved.

use std::time::Duration;

use crate::{
    clock::EpochMillis,
    model::ModelName,
    port::{EngineReport, OrderVerdict, PlacementOrder},
    roster::{HeldModel, RunnerFacts},
    runner::OrderKind,
    sorted::SortedTable,
};

/// Time after an accepted order for an adapter at which it is there; an
/// adapter takes some ten milliseconds.
const ADAPTER_SETTLE: Duration = Duration::from_millis(30);
/// Time after the end of a load, by what the model is said to take, at which
/// the runner is asked whether it is there.
const MODEL_SLACK: Duration = Duration::from_millis(50);
/// Time for which hosts are told that a model goes before its unload is
/// ordered: calls that are on their way arrive before it.
const CLEAR_WAIT: Duration = Duration::from_millis(300);
/// Wait before a report is read again, or an order is repeated; reports lag
/// by some hundred milliseconds.
const LOOK_AGAIN: Duration = Duration::from_millis(400);

/// State: nothing is known of its orders yet.
#[derive(Clone, Debug, PartialEq)]
pub struct Unread {
    /// Point from which its report may be read.
    pub read_at: EpochMillis,
}

/// State: takes an order.
#[derive(Clone, Debug, PartialEq)]
pub struct Idle {
    /// Point at which its report is to be read, where something is going.
    look_at: Option<EpochMillis>,
}

/// State: hosts are told not to use what an order will unload.
#[derive(Clone, Debug, PartialEq)]
pub struct Clearing {
    order: PlacementOrder,
    /// Point at which the order goes out.
    send_at: EpochMillis,
}

/// State: an order is on its way, or was accepted and isn't carried out.
#[derive(Clone, Debug, PartialEq)]
pub struct Ordered {
    order: PlacementOrder,
    /// Point at which it should hold; none while it isn't answered.
    holds_at: Option<EpochMillis>,
}

/// State: an order was not answered.
#[derive(Clone, Debug, PartialEq)]
pub struct Doubtful {
    order: PlacementOrder,
    /// Point from which it is repeated.
    repeat_at: EpochMillis,
}

/// A runner in state `S`.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerShelf<S> {
    /// What the roster says of it.
    pub facts: RunnerFacts,
    /// Models and adapters that it holds.
    pub models: Vec<HeldModel>,
    /// Adapters among them that go once no run uses them.
    pub going: Vec<ModelName>,
    /// Orders that it has surely accepted.
    known: u64,
    state: S,
}

impl<S> RunnerShelf<S> {
    fn into_state<T>(self, state: T) -> RunnerShelf<T> {
        RunnerShelf {
            facts: self.facts,
            models: self.models,
            going: self.going,
            known: self.known,
            state,
        }
    }

    fn unread(self, read_at: EpochMillis) -> RunnerShelf<Unread> {
        self.into_state(Unread { read_at })
    }
}

impl RunnerShelf<Unread> {
    fn new(facts: &RunnerFacts, read_at: EpochMillis) -> Self {
        RunnerShelf {
            models: facts.models.clone(),
            facts: facts.clone(),
            going: Vec::new(),
            known: 0,
            state: Unread { read_at },
        }
    }

    /// Takes over a report that isn't older than what is known.
    fn read(
        mut self,
        report: EngineReport,
        now: EpochMillis,
    ) -> RunnerShelf<Idle> {
        self.models = report.models;
        for (model, adapter) in report.incoming {
            note_adapter(&mut self.models, &model, &adapter);
        }
        let models = &self.models;
        self.going.retain(|name| holds(models, name));
        self.known = report.orders;
        let look_at = (!self.going.is_empty()).then(|| now.after(LOOK_AGAIN));
        self.into_state(Idle { look_at })
    }
}

impl RunnerShelf<Idle> {
    /// Returns the number of orders that the runner has accepted.
    pub fn orders(&self) -> u64 {
        self.known
    }

    fn order(self, order: PlacementOrder) -> RunnerShelf<Ordered> {
        self.into_state(Ordered { order, holds_at: None })
    }

    fn clear(
        self,
        order: PlacementOrder,
        send_at: EpochMillis,
    ) -> RunnerShelf<Clearing> {
        self.into_state(Clearing { order, send_at })
    }
}

impl RunnerShelf<Clearing> {
    fn cleared(self) -> RunnerShelf<Ordered> {
        let order = self.state.order.clone();
        self.into_state(Ordered { order, holds_at: None })
    }
}

impl RunnerShelf<Ordered> {
    fn doubt(self, repeat_at: EpochMillis) -> RunnerShelf<Doubtful> {
        let order = self.state.order.clone();
        self.into_state(Doubtful { order, repeat_at })
    }

    /// Takes what was ordered for done. `accepted` tells whether the order
    /// counted.
    fn done(mut self, accepted: bool) -> RunnerShelf<Idle> {
        let order = self.state.order.clone();
        note_order(&mut self.models, &order);
        self.counted(accepted)
    }

    /// Takes an unload for accepted that waits for the runs of its adapter.
    fn waits(mut self, now: EpochMillis) -> RunnerShelf<Idle> {
        let order = &self.state.order;
        self.going.push(ModelName {
            model: order.model.clone(),
            adapter: order.adapter.clone(),
        });
        let mut shelf = self.counted(true);
        shelf.state.look_at = Some(now.after(LOOK_AGAIN));
        shelf
    }

    fn counted(mut self, accepted: bool) -> RunnerShelf<Idle> {
        self.known = self.state.order.expected + u64::from(accepted);
        // Something may still be going: its turn comes with the next look.
        let look_at = (!self.going.is_empty()).then(EpochMillis::default);
        self.into_state(Idle { look_at })
    }
}

impl RunnerShelf<Doubtful> {
    fn repeat(self) -> RunnerShelf<Ordered> {
        let order = self.state.order.clone();
        self.into_state(Ordered { order, holds_at: None })
    }
}

fn note_adapter(models: &mut [HeldModel], model: &str, adapter: &str) {
    let held = models.iter_mut().find(|held| held.name == model);
    let Some(held) = held else { return };
    if !held.adapters.iter().any(|name| name == adapter) {
        held.adapters.push(adapter.to_owned());
    }
}

fn drop_adapter(models: &mut [HeldModel], name: &ModelName) {
    for held in models.iter_mut().filter(|held| held.name == name.model) {
        held.adapters.retain(|held| Some(held) != name.adapter.as_ref());
    }
}

/// Tells whether an adapter is among what is held.
pub(super) fn holds(models: &[HeldModel], name: &ModelName) -> bool {
    let Some(adapter) = &name.adapter else { return true };
    models
        .iter()
        .any(|held| held.name == name.model && held.adapters.contains(adapter))
}

fn note_order(models: &mut Vec<HeldModel>, order: &PlacementOrder) {
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
        (OrderKind::Unload, Some(_)) => {
            let name = ModelName {
                model: order.model.clone(),
                adapter: order.adapter.clone(),
            };
            drop_adapter(models, &name);
        }
        (OrderKind::Unload, None) => {
            models.retain(|held| held.name != order.model);
        }
        (OrderKind::Fence, _) => {}
    }
}

/// What is to be done at a runner.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderStep {
    /// Read its report.
    Report(RunnerFacts),
    /// Send, or repeat, an order.
    Send(RunnerFacts, PlacementOrder),
}

/// The runners that take orders, by state.
#[derive(Clone, Debug, Default)]
pub struct ShelfTable {
    unread: SortedTable<String, RunnerShelf<Unread>>,
    idle: SortedTable<String, RunnerShelf<Idle>>,
    clearing: SortedTable<String, RunnerShelf<Clearing>>,
    ordered: SortedTable<String, RunnerShelf<Ordered>>,
    doubtful: SortedTable<String, RunnerShelf<Doubtful>>,
}

impl ShelfTable {
    /// Takes over the roster. A runner that is gone, leaves, or started
    /// again is forgotten; a new one has to be read first.
    pub fn adopt(&mut self, facts: &[&RunnerFacts], now: EpochMillis) {
        let listed = |held: &RunnerFacts| {
            facts
                .iter()
                .any(|facts| facts.is_same_start(held) && !facts.leaving)
        };
        self.unread.retain(|_, shelf| listed(&shelf.facts));
        self.idle.retain(|_, shelf| listed(&shelf.facts));
        self.clearing.retain(|_, shelf| listed(&shelf.facts));
        self.ordered.retain(|_, shelf| listed(&shelf.facts));
        self.doubtful.retain(|_, shelf| listed(&shelf.facts));
        for facts in facts.iter().filter(|facts| !facts.leaving) {
            self.note(facts, now);
        }
    }

    fn note(&mut self, facts: &RunnerFacts, now: EpochMillis) {
        let id = facts.id.as_str();
        if let Some(shelf) = self.unread.get_mut(id) {
            shelf.facts = facts.clone();
        } else if let Some(shelf) = self.idle.get_mut(id) {
            shelf.facts = facts.clone();
        } else if let Some(shelf) = self.clearing.get_mut(id) {
            shelf.facts = facts.clone();
        } else if let Some(shelf) = self.doubtful.get_mut(id) {
            shelf.facts = facts.clone();
        } else if let Some(shelf) = self.ordered.get_mut(id) {
            shelf.facts = facts.clone();
        } else {
            let shelf = RunnerShelf::new(facts, now);
            self.unread.insert(facts.id.clone(), shelf);
        }
    }

    /// Forgets what orders are under way: another host may have ordered.
    pub fn distrust(&mut self, now: EpochMillis) {
        let facts: Vec<RunnerFacts> = self.facts().cloned().collect();
        *self = ShelfTable::default();
        self.adopt(&facts.iter().collect::<Vec<_>>(), now);
    }

    /// Iterates over the runners that take an order now.
    pub fn idle(&self) -> impl Iterator<Item = &RunnerShelf<Idle>> {
        self.idle.values()
    }

    /// Iterates over all runners as they will stand: facts, and models with
    /// the order under way carried out.
    pub fn expected(
        &self,
    ) -> impl Iterator<Item = (&RunnerFacts, Vec<HeldModel>)> {
        let unread = self.unread.values();
        let unread = unread.map(|shelf| (&shelf.facts, shelf.models.clone()));
        let idle = self.idle.values();
        let idle = idle.map(|shelf| (&shelf.facts, shelf.models.clone()));
        let under_way = self.under_way().map(|(facts, models, order)| {
            let mut models = models.to_vec();
            note_order(&mut models, order);
            (facts, models)
        });
        unread.chain(idle).chain(under_way)
    }

    /// Iterates over what hosts may use now: what is held, without what is
    /// being unloaded.
    pub fn usable(
        &self,
    ) -> impl Iterator<Item = (&RunnerFacts, Vec<HeldModel>)> {
        let idle = self.idle.values().map(|shelf| {
            let mut models = shelf.models.clone();
            for name in &shelf.going {
                drop_adapter(&mut models, name);
            }
            (&shelf.facts, models)
        });
        let under_way = self.under_way().map(|(facts, models, order)| {
            let mut models = models.to_vec();
            if order.kind == OrderKind::Unload {
                note_order(&mut models, order);
            }
            (facts, models)
        });
        idle.chain(under_way)
    }

    /// Runners with an order under way, what they held before, and the
    /// order.
    fn under_way(
        &self,
    ) -> impl Iterator<Item = (&RunnerFacts, &[HeldModel], &PlacementOrder)>
    {
        let clearing = self.clearing.values().map(|shelf| {
            (&shelf.facts, shelf.models.as_slice(), &shelf.state.order)
        });
        let ordered = self.ordered.values().map(|shelf| {
            (&shelf.facts, shelf.models.as_slice(), &shelf.state.order)
        });
        let doubtful = self.doubtful.values().map(|shelf| {
            (&shelf.facts, shelf.models.as_slice(), &shelf.state.order)
        });
        clearing.chain(ordered).chain(doubtful)
    }

    fn facts(&self) -> impl Iterator<Item = &RunnerFacts> {
        self.expected().map(|(facts, _)| facts)
    }

    /// Books an order to an idle runner; returns what is to be sent at once.
    pub fn order(
        &mut self,
        order: &PlacementOrder,
        now: EpochMillis,
    ) -> Option<OrderStep> {
        let shelf = self.idle.remove(&order.runner)?;
        let id = order.runner.clone();
        if order.kind == OrderKind::Unload && order.adapter.is_none() {
            let shelf = shelf.clear(order.clone(), now.after(CLEAR_WAIT));
            self.clearing.insert(id, shelf);
            return None;
        }
        let step = OrderStep::Send(shelf.facts.clone(), order.clone());
        self.ordered.insert(id, shelf.order(order.clone()));
        Some(step)
    }

    /// Returns what is due: reports to read and orders to repeat. Each is
    /// returned once, until its end is told.
    pub fn due(&mut self, now: EpochMillis) -> Vec<OrderStep> {
        let mut steps = Vec::new();
        let look: Vec<String> = self
            .idle
            .iter()
            .filter(|(_, shelf)| {
                shelf.state.look_at.is_some_and(|at| at <= now)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in look {
            if let Some(shelf) = self.idle.remove(&id) {
                self.unread.insert(id, shelf.unread(now));
            }
        }
        for (_, shelf) in self.unread.iter_mut() {
            if shelf.state.read_at <= now {
                // Put off until its answer, or its loss, is told.
                shelf.state.read_at = EpochMillis(u64::MAX);
                steps.push(OrderStep::Report(shelf.facts.clone()));
            }
        }
        let repeat: Vec<String> = self
            .doubtful
            .iter()
            .filter(|(_, shelf)| shelf.state.repeat_at <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in repeat {
            let Some(shelf) = self.doubtful.remove(&id) else { continue };
            let shelf = shelf.repeat();
            let order = shelf.state.order.clone();
            steps.push(OrderStep::Send(shelf.facts.clone(), order));
            self.ordered.insert(id, shelf);
        }
        let cleared: Vec<String> = self
            .clearing
            .iter()
            .filter(|(_, shelf)| shelf.state.send_at <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in cleared {
            let Some(shelf) = self.clearing.remove(&id) else { continue };
            let shelf = shelf.cleared();
            let order = shelf.state.order.clone();
            steps.push(OrderStep::Send(shelf.facts.clone(), order));
            self.ordered.insert(id, shelf);
        }
        self.settle_due(now);
        steps
    }

    /// Brings accepted orders to their end once they should hold.
    fn settle_due(&mut self, now: EpochMillis) {
        let due: Vec<String> = self
            .ordered
            .iter()
            .filter(|(_, shelf)| {
                shelf.state.holds_at.is_some_and(|at| at <= now)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            let adapter = self
                .ordered
                .get(&id)
                .is_some_and(|shelf| shelf.state.order.adapter.is_some());
            if adapter {
                self.settle(&id);
            } else if let Some(shelf) = self.ordered.remove(&id) {
                // A model that should be there, or gone: look what is.
                self.unread.insert(id, shelf.unread(now));
            }
        }
    }

    fn settle(&mut self, id: &str) {
        if let Some(shelf) = self.ordered.remove(id) {
            self.idle.insert(id.to_owned(), shelf.done(true));
        }
    }

    /// Takes a report, or its loss, into account.
    pub fn reported(
        &mut self,
        id: &str,
        report: Option<EngineReport>,
        now: EpochMillis,
    ) {
        let Some(shelf) = self.unread.remove(id) else { return };
        match report {
            // Reports lag: one that lacks an order is older than it.
            Some(report) if !report.busy && shelf.known <= report.orders => {
                self.idle.insert(id.to_owned(), shelf.read(report, now));
            }
            _ => {
                let shelf = shelf.unread(now.after(LOOK_AGAIN));
                self.unread.insert(id.to_owned(), shelf);
            }
        }
    }

    /// Takes the answer to an order, or its loss, into account. `takes` is
    /// the time that the model is said to take.
    pub fn answered(
        &mut self,
        order: &PlacementOrder,
        verdict: Option<OrderVerdict>,
        takes: Duration,
        now: EpochMillis,
    ) {
        let id = order.runner.as_str();
        let under_way = self
            .ordered
            .get(id)
            .is_some_and(|shelf| shelf.state.order == *order);
        if !under_way {
            return;
        }
        let Some(mut shelf) = self.ordered.remove(id) else { return };
        let id = id.to_owned();
        match verdict {
            Some(OrderVerdict::Accepted)
                if order.kind == OrderKind::Unload
                    && order.adapter.is_some() =>
            {
                // It is still in use: its place counts until a report says
                // that it is gone.
                self.idle.insert(id, shelf.waits(now));
            }
            Some(OrderVerdict::Accepted) => {
                shelf.known = order.expected + 1;
                let wait = match order.adapter {
                    Some(_) => ADAPTER_SETTLE,
                    None => takes + MODEL_SLACK,
                };
                shelf.state.holds_at = Some(now.after(wait));
                self.ordered.insert(id, shelf);
            }
            Some(OrderVerdict::Holds) => {
                // Whether it counted isn't said, so the number is read.
                let unload = order.kind == OrderKind::Unload;
                let shelf = shelf.done(unload);
                if unload {
                    self.idle.insert(id, shelf);
                } else {
                    self.unread.insert(id, shelf.unread(now));
                }
            }
            Some(OrderVerdict::Conflict | OrderVerdict::Refused) => {
                let shelf = shelf.unread(now.after(LOOK_AGAIN));
                self.unread.insert(id, shelf);
            }
            None => {
                let shelf = shelf.doubt(now.after(LOOK_AGAIN));
                self.doubtful.insert(id, shelf);
            }
        }
    }
}
