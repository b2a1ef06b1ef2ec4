//! The lease holder's records of all runners that take orders.
//!
//! Each runner has one [`ManagedRunner`], stored in the map of its state. This
//! module decides what is due at a given time and what an answer changes. The
//! task that sends orders queries the table and reports back.

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

/// Time from the acceptance of an adapter order until it has taken effect; an
/// adapter takes up to 10 ms.
const ADAPTER_READY_DELAY: Duration = Duration::from_millis(15);
/// Margin after the configured load time of a model, after which the runner is
/// asked whether the load has finished.
const MODEL_READY_MARGIN: Duration = Duration::from_millis(50);
/// Delay before a report is read again or an order is retried. Reports lag by
/// a few hundred milliseconds.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Action that is due at a runner.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderStep {
    /// Read the runner's report.
    Report(RunnerFacts),
    /// Send an order, for the first time or again.
    Send(RunnerFacts, OrderAttempt),
}

/// Outcome of sending an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The runner answered.
    Answered(OrderVerdict),
    /// No byte of the order was written.
    Unsent,
    /// The runner may have received the order, and may carry it out late.
    Lost,
}

/// Number of runners in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateCounts {
    /// Runners whose report is awaited.
    pub needs_report: usize,
    /// Runners that take an order.
    pub idle: usize,
    /// Runners with an order in progress.
    pub pending: usize,
    /// Runners with an unanswered order.
    pub unanswered: usize,
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
    /// Adopts the runners of the roster. A runner that is gone, is leaving or
    /// was restarted is dropped, and the report of a new runner has to be read
    /// first.
    pub fn adopt(&mut self, facts: &[&RunnerFacts], now: EpochMillis) {
        let listed = |known: &RunnerFacts| {
            facts
                .iter()
                .any(|facts| facts.is_same_start(known) && !facts.leaving)
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

    /// Discards the state of all orders, as another host may have sent orders
    /// in the meantime. The report of every runner has to be read again.
    pub fn reset(&mut self, now: EpochMillis) {
        let facts: Vec<RunnerFacts> = self.facts().cloned().collect();
        *self = RunnerTable::default();
        self.adopt(&facts.iter().collect::<Vec<_>>(), now);
    }

    /// Returns the number of runners in each state.
    pub fn state_counts(&self) -> StateCounts {
        StateCounts {
            needs_report: self.needs_report.len(),
            idle: self.idle.len(),
            pending: self.pending.len(),
            unanswered: self.unanswered.len(),
        }
    }

    /// Returns whether an order was sent whose answer may still come.
    pub fn awaits_answers(&self) -> bool {
        let mut pending = self.pending.values();
        pending.any(|managed| managed.state.effective_at.is_none())
    }

    /// Returns whether an order may still arrive at its runner, as it went
    /// unanswered.
    pub fn has_unanswered(&self) -> bool {
        !self.unanswered.is_empty()
    }

    /// Returns the runners that take an order now.
    pub fn idle(&self) -> impl Iterator<Item = &ManagedRunner<Idle>> {
        self.idle.values()
    }

    /// Returns all runners in their projected state: their facts, and their
    /// models after the order in progress, without what is draining.
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

    /// Returns what hosts may use now: models and adapters that the runners
    /// themselves reported, without what is draining.
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

    /// Returns the runners with an order in progress, what they held before
    /// the order without what is draining, and the order.
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

    /// Drains a model or adapter on an idle runner, and returns whether its
    /// unload may be ordered. `used` is whether any host has calls there.
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

    /// Cancels the drain of models on idle runners that are wanted again.
    pub fn cancel_drains(&mut self, wanted: impl Fn(&str, &str) -> bool) {
        for (runner, managed) in self.idle.iter_mut() {
            managed.draining.retain(|name, _| {
                name.adapter.is_some() || !wanted(runner, &name.model)
            });
        }
    }

    /// Assigns an order to an idle runner and returns the step that sends it.
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

    /// Returns the next time at which something is due, if there is one.
    pub fn next_due(&self) -> Option<EpochMillis> {
        let needs_report =
            self.needs_report.values().map(|managed| managed.state.read_at);
        let pending = self.pending.values();
        let pending = pending.filter_map(|managed| managed.state.effective_at);
        let unanswered = self.unanswered.values();
        let unanswered = unanswered.map(|managed| managed.state.retry_at);
        needs_report.chain(pending).chain(unanswered).min()
    }

    /// Returns the steps that are due: reports to read, and orders to retry under
    /// the fencing token that is held now. Each step is returned once, until its
    /// outcome is passed back.
    pub fn due(&mut self, fencing: u64, now: EpochMillis) -> Vec<OrderStep> {
        let mut steps = Vec::new();
        for (_, managed) in self.needs_report.iter_mut() {
            if managed.state.read_at <= now {
                // Suspended until the report, or its failure, is passed back.
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
            let managed = managed.retry(fencing);
            let sent = managed.state.sent.clone();
            steps.push(OrderStep::Send(managed.facts.clone(), sent));
            self.pending.insert(id, managed);
        }
        self.complete_due(now);
        steps
    }

    /// Completes accepted orders that should have taken effect.
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
                // The model should be loaded or unloaded by now, which a
                // report confirms.
                self.needs_report.insert(id, managed.await_report(now));
            }
        }
    }

    fn complete_adapter(&mut self, id: &str) {
        if let Some(managed) = self.pending.remove(id) {
            self.idle.insert(id.to_owned(), managed.complete(true));
        }
    }

    /// Handles a report, or the failure to get one (`None`).
    pub fn handle_report(
        &mut self,
        id: &str,
        report: Option<EngineReport>,
        now: EpochMillis,
    ) {
        let Some(managed) = self.needs_report.remove(id) else { return };
        match report {
            // Reports lag: one that lacks an accepted order is older than the
            // order.
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

    /// Handles the outcome of sending an order. `load_time` is the time that
    /// the configuration states for the model.
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
            // The runner received no order, so its report is read again.
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
                // Calls use the adapter; the runner is busy until they end.
                let managed = managed.await_unload(now.after(RETRY_DELAY));
                self.needs_report.insert(id, managed);
            }
            OrderVerdict::Accepted => {
                managed.accepted_orders = order.expected.saturating_add(1);
                let wait = match order.adapter {
                    Some(_) => ADAPTER_READY_DELAY,
                    None => load_time + MODEL_READY_MARGIN,
                };
                managed.state.effective_at = Some(now.after(wait));
                self.pending.insert(id, managed);
            }
            OrderVerdict::Holds => {
                // The answer doesn't say whether the order was counted. An
                // unload is taken as counted; after a load the count is read
                // from a report.
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
