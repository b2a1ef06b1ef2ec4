//! The runners that take orders, as the host that orders knows them.
//!
//! Each runner has one [`ManagedRunner`], in the table of its state. What is
//! due at a point, and what an answer changes, is decided here; the task that
//! sends orders asks and is told.

use std::time::Duration;

use super::{
    loads::LoadSource,
    managed::{
        Idle, ManagedRunner, NeedsReport, OrderAttempt, Pending, Unanswered,
        apply_order,
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
const ADAPTER_READY_DELAY: Duration = Duration::from_millis(15);
/// Time after the end of a load, by what the model is said to take, at which
/// the runner is asked whether it is there.
const MODEL_READY_MARGIN: Duration = Duration::from_millis(50);
/// Wait before a report is read again, or an order is repeated; reports lag
/// by some hundred milliseconds.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// What is to be done at a runner.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderStep {
    /// Read its report.
    Report(RunnerFacts),
    /// Send, or repeat, an order.
    Send(RunnerFacts, OrderAttempt),
}

/// How the sending of an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The runner answered.
    Answered(OrderVerdict),
    /// Not a byte of it was written.
    Unsent,
    /// It may have been received, and may be carried out late.
    Lost,
}

/// The runners that take orders, by state.
#[derive(Clone, Debug, Default)]
pub struct RunnerTable {
    needs_report: SortedTable<String, ManagedRunner<NeedsReport>>,
    idle: SortedTable<String, ManagedRunner<Idle>>,
    pending: SortedTable<String, ManagedRunner<Pending>>,
    unanswered: SortedTable<String, ManagedRunner<Unanswered>>,
}

impl RunnerTable {
    /// Takes over the roster. A runner that is gone, leaves, or started
    /// again is forgotten; a new one has to be read first.
    pub fn adopt(&mut self, facts: &[&RunnerFacts], now: EpochMillis) {
        let listed = |held: &RunnerFacts| {
            facts
                .iter()
                .any(|facts| facts.is_same_start(held) && !facts.leaving)
        };
        self.needs_report.retain(|_, managed| listed(&managed.facts));
        self.idle.retain(|_, managed| listed(&managed.facts));
        self.pending.retain(|_, managed| listed(&managed.facts));
        self.unanswered.retain(|_, managed| listed(&managed.facts));
        for facts in facts.iter().filter(|facts| !facts.leaving) {
            self.upsert(facts, now);
        }
    }

    fn upsert(&mut self, facts: &RunnerFacts, now: EpochMillis) {
        let id = facts.id.as_str();
        if let Some(managed) = self.needs_report.get_mut(id) {
            managed.facts = facts.clone();
        } else if let Some(managed) = self.idle.get_mut(id) {
            managed.facts = facts.clone();
        } else if let Some(managed) = self.unanswered.get_mut(id) {
            managed.facts = facts.clone();
        } else if let Some(managed) = self.pending.get_mut(id) {
            managed.facts = facts.clone();
        } else {
            let managed = ManagedRunner::new(facts, now);
            self.needs_report.insert(facts.id.clone(), managed);
        }
    }

    /// Forgets what orders are under way: another host may have ordered.
    pub fn reset(&mut self, now: EpochMillis) {
        let facts: Vec<RunnerFacts> = self.facts().cloned().collect();
        *self = RunnerTable::default();
        self.adopt(&facts.iter().collect::<Vec<_>>(), now);
    }

    /// Iterates over the runners that take an order now.
    pub fn idle(&self) -> impl Iterator<Item = &ManagedRunner<Idle>> {
        self.idle.values()
    }

    /// Iterates over all runners as they will stand: facts, and models with
    /// the order under way carried out, without what gives way.
    pub fn projected(
        &self,
    ) -> impl Iterator<Item = (&RunnerFacts, Vec<HeldModel>)> {
        let needs_report = self.needs_report.values();
        let needs_report = needs_report
            .map(|managed| (&managed.facts, managed.active_models()));
        let idle = self.idle.values();
        let idle =
            idle.map(|managed| (&managed.facts, managed.active_models()));
        let with_open_order =
            self.with_open_order().map(|(facts, mut models, order)| {
                apply_order(&mut models, order);
                (facts, models)
            });
        needs_report.chain(idle).chain(with_open_order)
    }

    /// Iterates over what hosts may use now: what is held by the runners'
    /// own word, without what gives way.
    pub fn usable(
        &self,
    ) -> impl Iterator<Item = (&RunnerFacts, Vec<HeldModel>)> {
        let needs_report =
            self.needs_report.values().filter(|managed| managed.confirmed);
        let needs_report = needs_report
            .map(|managed| (&managed.facts, managed.active_models()));
        let idle = self.idle.values();
        let idle =
            idle.map(|managed| (&managed.facts, managed.active_models()));
        let with_open_order = self.with_open_order();
        let with_open_order =
            with_open_order.map(|(facts, models, _)| (facts, models));
        needs_report.chain(idle).chain(with_open_order)
    }

    /// Runners with an order under way, what they held before without what
    /// gives way, and the order.
    fn with_open_order(
        &self,
    ) -> impl Iterator<Item = (&RunnerFacts, Vec<HeldModel>, &PlacementOrder)>
    {
        let pending = self.pending.values().map(|managed| {
            (
                &managed.facts,
                managed.active_models(),
                &managed.state.sent.order,
            )
        });
        let unanswered = self.unanswered.values().map(|managed| {
            (
                &managed.facts,
                managed.active_models(),
                &managed.state.sent.order,
            )
        });
        pending.chain(unanswered)
    }

    fn facts(&self) -> impl Iterator<Item = &RunnerFacts> {
        self.projected().map(|(facts, _)| facts)
    }

    /// Lets a model or adapter give way at an idle runner; tells whether its
    /// unload may be ordered. `used` tells whether a host has calls there.
    pub fn drain(
        &mut self,
        runner: &str,
        name: &ModelName,
        used: bool,
        now: EpochMillis,
    ) -> bool {
        let Some(managed) = self.idle.get_mut(runner) else { return false };
        managed.drain(name, now);
        managed.is_drained(name, used, now)
    }

    /// Lets models stay that give way at idle runners and are wanted again.
    pub fn cancel_drains(&mut self, wanted: impl Fn(&str, &str) -> bool) {
        for (runner, managed) in self.idle.iter_mut() {
            managed.draining.retain(|name, _| {
                name.adapter.is_some() || !wanted(runner, &name.model)
            });
        }
    }

    /// Books an order to an idle runner; returns what is to be sent.
    /// `source` is where the weights of a model come from.
    pub fn start_order(
        &mut self,
        order: &PlacementOrder,
        source: Option<LoadSource>,
        now: EpochMillis,
    ) -> Option<OrderStep> {
        let managed = self.idle.remove(&order.runner)?;
        let managed = managed.start_order(order.clone(), source, now);
        let sent = managed.state.sent.clone();
        let step = OrderStep::Send(managed.facts.clone(), sent);
        self.pending.insert(order.runner.clone(), managed);
        Some(step)
    }

    /// Returns the next point at which something is due, if it is known.
    pub fn next_due(&self) -> Option<EpochMillis> {
        let needs_report =
            self.needs_report.values().map(|managed| managed.state.read_at);
        let pending = self.pending.values();
        let pending = pending.filter_map(|managed| managed.state.effective_at);
        let unanswered = self.unanswered.values();
        let unanswered = unanswered.map(|managed| managed.state.retry_at);
        needs_report.chain(pending).chain(unanswered).min()
    }

    /// Returns what is due: reports to read and orders to repeat. Each is
    /// returned once, until its end is told.
    pub fn due(&mut self, now: EpochMillis) -> Vec<OrderStep> {
        let mut steps = Vec::new();
        for (_, managed) in self.needs_report.iter_mut() {
            if managed.state.read_at <= now {
                // Put off until its answer, or its loss, is told.
                managed.state.read_at = EpochMillis(u64::MAX);
                steps.push(OrderStep::Report(managed.facts.clone()));
            }
        }
        let retries: Vec<String> = self
            .unanswered
            .iter()
            .filter(|(_, managed)| managed.state.retry_at <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in retries {
            let Some(managed) = self.unanswered.remove(&id) else { continue };
            let managed = managed.retry();
            let sent = managed.state.sent.clone();
            steps.push(OrderStep::Send(managed.facts.clone(), sent));
            self.pending.insert(id, managed);
        }
        self.complete_due(now);
        steps
    }

    /// Brings accepted orders to their end once they should hold.
    fn complete_due(&mut self, now: EpochMillis) {
        let due: Vec<String> = self
            .pending
            .iter()
            .filter(|(_, managed)| {
                managed.state.effective_at.is_some_and(|at| at <= now)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            let adapter = self.pending.get(&id).is_some_and(|managed| {
                managed.state.sent.order.adapter.is_some()
            });
            if adapter {
                self.complete_adapter(&id);
            } else if let Some(managed) = self.pending.remove(&id) {
                // A model that should be there, or gone: look what is.
                self.needs_report.insert(id, managed.await_report(now));
            }
        }
    }

    fn complete_adapter(&mut self, id: &str) {
        if let Some(managed) = self.pending.remove(id) {
            self.idle.insert(id.to_owned(), managed.complete(true));
        }
    }

    /// Takes a report, or its loss, into account.
    pub fn handle_report(
        &mut self,
        id: &str,
        report: Option<EngineReport>,
        now: EpochMillis,
    ) {
        let Some(managed) = self.needs_report.remove(id) else { return };
        match report {
            // Reports lag: one that lacks an order is older than it.
            Some(report)
                if !report.busy
                    && managed.accepted_orders <= report.orders =>
            {
                self.idle.insert(id.to_owned(), managed.apply_report(report));
            }
            _ => {
                let managed = managed.await_report(now.after(RETRY_DELAY));
                self.needs_report.insert(id.to_owned(), managed);
            }
        }
    }

    /// Takes the end of a sending into account. `takes` is the time that the
    /// model is said to take.
    pub fn handle_outcome(
        &mut self,
        order: &PlacementOrder,
        outcome: SendOutcome,
        load_time: Duration,
        now: EpochMillis,
    ) {
        let id = order.runner.as_str();
        let is_current = self
            .pending
            .get(id)
            .is_some_and(|managed| managed.state.sent.order == *order);
        if !is_current {
            return;
        }
        let Some(mut managed) = self.pending.remove(id) else { return };
        let id = id.to_owned();
        let verdict = match outcome {
            SendOutcome::Answered(verdict) => verdict,
            // No order was given: what the runner holds is looked at anew.
            SendOutcome::Unsent if managed.state.sent.attempt == 1 => {
                let managed = managed.await_report(now.after(RETRY_DELAY));
                self.needs_report.insert(id, managed);
                return;
            }
            SendOutcome::Unsent | SendOutcome::Lost => {
                let managed = managed.mark_unanswered(now.after(RETRY_DELAY));
                self.unanswered.insert(id, managed);
                return;
            }
        };
        match verdict {
            OrderVerdict::Accepted
                if order.kind == OrderKind::Unload
                    && order.adapter.is_some() =>
            {
                // Calls use it: the runner is busy until they have ended.
                let managed = managed.await_unload(now.after(RETRY_DELAY));
                self.needs_report.insert(id, managed);
            }
            OrderVerdict::Accepted => {
                managed.accepted_orders = order.expected + 1;
                let wait = match order.adapter {
                    Some(_) => ADAPTER_READY_DELAY,
                    None => load_time + MODEL_READY_MARGIN,
                };
                managed.state.effective_at = Some(now.after(wait));
                self.pending.insert(id, managed);
            }
            OrderVerdict::Holds => {
                // Whether it counted isn't said, so the number is read.
                let unload = order.kind == OrderKind::Unload;
                let managed = managed.complete(unload);
                if unload {
                    self.idle.insert(id, managed);
                } else {
                    self.needs_report.insert(id, managed.await_report(now));
                }
            }
            OrderVerdict::Conflict | OrderVerdict::Refused => {
                let managed = managed.await_report(now.after(RETRY_DELAY));
                self.needs_report.insert(id, managed);
            }
        }
    }
}
