//! The runners that take orders, as the host that orders knows them.
//!
//! Each runner has one [`RunnerShelf`], in the table of its state. What is
//! due at a point, and what an answer changes, is decided here; the task that
//! sends orders asks and is told.

use std::time::Duration;

use super::{
    loads::LoadSource,
    shelf::{
        Doubtful, Idle, OrderTry, Ordered, RunnerShelf, Unread, note_order,
    },
};
use crate::{
    clock::EpochMillis,
    model::ModelName,
    port::{EngineReport, OrderVerdict, PlacementOrder},
    roster::{HeldModel, RunnerFacts},
    runner::OrderKind,
    sorted::SortedTable,
};

/// Time after an accepted order for an adapter at which it is there; an
/// adapter takes up to ten milliseconds.
const ADAPTER_SETTLE: Duration = Duration::from_millis(15);
/// Time after the end of a load, by what the model is said to take, at which
/// the runner is asked whether it is there.
const MODEL_SLACK: Duration = Duration::from_millis(50);
/// Wait before a report is read again, or an order is repeated; reports lag
/// by some hundred milliseconds.
const LOOK_AGAIN: Duration = Duration::from_millis(400);

/// What is to be done at a runner.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderStep {
    /// Read its report.
    Report(RunnerFacts),
    /// Send, or repeat, an order.
    Send(RunnerFacts, OrderTry),
}

/// How the sending of an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderEnd {
    /// The runner answered.
    Answered(OrderVerdict),
    /// Not a byte of it was written.
    Unsent,
    /// It may have been received, and may be carried out late.
    Lost,
}

/// The runners that take orders, by state.
#[derive(Clone, Debug, Default)]
pub struct ShelfTable {
    unread: SortedTable<String, RunnerShelf<Unread>>,
    idle: SortedTable<String, RunnerShelf<Idle>>,
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
    /// the order under way carried out, without what gives way.
    pub fn expected(
        &self,
    ) -> impl Iterator<Item = (&RunnerFacts, Vec<HeldModel>)> {
        let unread = self.unread.values();
        let unread = unread.map(|shelf| (&shelf.facts, shelf.kept()));
        let idle = self.idle.values();
        let idle = idle.map(|shelf| (&shelf.facts, shelf.kept()));
        let under_way = self.under_way().map(|(facts, mut models, order)| {
            note_order(&mut models, order);
            (facts, models)
        });
        unread.chain(idle).chain(under_way)
    }

    /// Iterates over what hosts may use now: what is held by the runners'
    /// own word, without what gives way.
    pub fn usable(
        &self,
    ) -> impl Iterator<Item = (&RunnerFacts, Vec<HeldModel>)> {
        let unread = self.unread.values().filter(|shelf| shelf.read);
        let unread = unread.map(|shelf| (&shelf.facts, shelf.kept()));
        let idle = self.idle.values();
        let idle = idle.map(|shelf| (&shelf.facts, shelf.kept()));
        let under_way = self.under_way();
        let under_way = under_way.map(|(facts, models, _)| (facts, models));
        unread.chain(idle).chain(under_way)
    }

    /// Runners with an order under way, what they held before without what
    /// gives way, and the order.
    fn under_way(
        &self,
    ) -> impl Iterator<Item = (&RunnerFacts, Vec<HeldModel>, &PlacementOrder)>
    {
        let ordered = self.ordered.values().map(|shelf| {
            (&shelf.facts, shelf.kept(), &shelf.state.sent.order)
        });
        let doubtful = self.doubtful.values().map(|shelf| {
            (&shelf.facts, shelf.kept(), &shelf.state.sent.order)
        });
        ordered.chain(doubtful)
    }

    fn facts(&self) -> impl Iterator<Item = &RunnerFacts> {
        self.expected().map(|(facts, _)| facts)
    }

    /// Lets a model or adapter give way at an idle runner; tells whether its
    /// unload may be ordered. `used` tells whether a host has calls there.
    pub fn give_way(
        &mut self,
        runner: &str,
        name: &ModelName,
        used: bool,
        now: EpochMillis,
    ) -> bool {
        let Some(shelf) = self.idle.get_mut(runner) else { return false };
        shelf.give_way(name, now);
        shelf.is_clear(name, used, now)
    }

    /// Lets models stay that give way at idle runners and are wanted again.
    pub fn keep(&mut self, wanted: impl Fn(&str, &str) -> bool) {
        for (runner, shelf) in self.idle.iter_mut() {
            shelf.yielding.retain(|name, _| {
                name.adapter.is_some() || !wanted(runner, &name.model)
            });
        }
    }

    /// Books an order to an idle runner; returns what is to be sent.
    /// `source` is where the weights of a model come from.
    pub fn order(
        &mut self,
        order: &PlacementOrder,
        source: Option<LoadSource>,
        now: EpochMillis,
    ) -> Option<OrderStep> {
        let shelf = self.idle.remove(&order.runner)?;
        let shelf = shelf.order(order.clone(), source, now);
        let sent = shelf.state.sent.clone();
        let step = OrderStep::Send(shelf.facts.clone(), sent);
        self.ordered.insert(order.runner.clone(), shelf);
        Some(step)
    }

    /// Returns the next point at which something is due, if it is known.
    pub fn next_due(&self) -> Option<EpochMillis> {
        let unread = self.unread.values().map(|shelf| shelf.state.read_at);
        let ordered = self.ordered.values();
        let ordered = ordered.filter_map(|shelf| shelf.state.holds_at);
        let doubtful = self.doubtful.values();
        let doubtful = doubtful.map(|shelf| shelf.state.repeat_at);
        unread.chain(ordered).chain(doubtful).min()
    }

    /// Returns what is due: reports to read and orders to repeat. Each is
    /// returned once, until its end is told.
    pub fn due(&mut self, now: EpochMillis) -> Vec<OrderStep> {
        let mut steps = Vec::new();
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
            let sent = shelf.state.sent.clone();
            steps.push(OrderStep::Send(shelf.facts.clone(), sent));
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
                .is_some_and(|shelf| shelf.state.sent.order.adapter.is_some());
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
                self.idle.insert(id.to_owned(), shelf.read(report));
            }
            _ => {
                let shelf = shelf.unread(now.after(LOOK_AGAIN));
                self.unread.insert(id.to_owned(), shelf);
            }
        }
    }

    /// Takes the end of a sending into account. `takes` is the time that the
    /// model is said to take.
    pub fn answered(
        &mut self,
        order: &PlacementOrder,
        end: OrderEnd,
        takes: Duration,
        now: EpochMillis,
    ) {
        let id = order.runner.as_str();
        let under_way = self
            .ordered
            .get(id)
            .is_some_and(|shelf| shelf.state.sent.order == *order);
        if !under_way {
            return;
        }
        let Some(mut shelf) = self.ordered.remove(id) else { return };
        let id = id.to_owned();
        let verdict = match end {
            OrderEnd::Answered(verdict) => verdict,
            // No order was given: what the runner holds is looked at anew.
            OrderEnd::Unsent if shelf.state.sent.attempt == 1 => {
                let shelf = shelf.unread(now.after(LOOK_AGAIN));
                self.unread.insert(id, shelf);
                return;
            }
            OrderEnd::Unsent | OrderEnd::Lost => {
                let shelf = shelf.doubt(now.after(LOOK_AGAIN));
                self.doubtful.insert(id, shelf);
                return;
            }
        };
        match verdict {
            OrderVerdict::Accepted
                if order.kind == OrderKind::Unload
                    && order.adapter.is_some() =>
            {
                // Calls use it: the runner is busy until they have ended.
                let shelf = shelf.waits(now.after(LOOK_AGAIN));
                self.unread.insert(id, shelf);
            }
            OrderVerdict::Accepted => {
                shelf.known = order.expected + 1;
                let wait = match order.adapter {
                    Some(_) => ADAPTER_SETTLE,
                    None => takes + MODEL_SLACK,
                };
                shelf.state.holds_at = Some(now.after(wait));
                self.ordered.insert(id, shelf);
            }
            OrderVerdict::Holds => {
                // Whether it counted isn't said, so the number is read.
                let unload = order.kind == OrderKind::Unload;
                let shelf = shelf.done(unload);
                if unload {
                    self.idle.insert(id, shelf);
                } else {
                    self.unread.insert(id, shelf.unread(now));
                }
            }
            OrderVerdict::Conflict | OrderVerdict::Refused => {
                let shelf = shelf.unread(now.after(LOOK_AGAIN));
                self.unread.insert(id, shelf);
            }
        }
    }
}
