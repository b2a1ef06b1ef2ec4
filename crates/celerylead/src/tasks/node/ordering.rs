//! The part of the placer that decides which orders go out.

use std::time::Duration;

use tokio::time::Instant;

use super::{
    placement_log::{self, PlanTurn},
    placer::PlacerTask,
};
use crate::{
    catalog::{EngineSpec, ServiceCatalog, ServiceSpec},
    clock::EpochMillis,
    model::ModelName,
    placement::{AdapterAction, LoadSource, ModelDemand},
    port::{EdgeCodec, PlacementOrder},
    runner::OrderKind,
};

/// Ticks between two updates of the plan.
const TICKS_PER_PLAN: u32 = 8;
/// Age from which the demand in a host's digest is ignored.
const MAX_DEMAND_AGE: Duration = Duration::from_millis(2_000);

impl<C: EdgeCodec> PlacerTask<C> {
    /// Issues the orders that are due, each to a runner without an order in
    /// progress. Models are moved only if `may_move` is set.
    pub(super) fn issue_orders(
        &mut self,
        catalog: &ServiceCatalog,
        fencing: u64,
        may_move: bool,
        now: EpochMillis,
    ) {
        let demand = self.total_demand(now);
        for service in catalog.services() {
            let Some(engine) = &service.engine else { continue };
            if may_move && self.tick_count.is_multiple_of(TICKS_PER_PLAN) {
                self.order_models(service, engine, &demand, fencing, now);
            }
            self.order_adapters(engine, &demand, fencing, now);
        }
    }

    fn order_models(
        &mut self,
        service: &ServiceSpec,
        engine: &EngineSpec,
        demand: &ModelDemand,
        fencing: u64,
        now: EpochMillis,
    ) {
        let began = Instant::now();
        let plan = self.plan.advance(service, &self.runners, demand);
        let Some(plan) = plan else { return };
        self.runners.cancel_drains(|runner, model| plan.wants(runner, model));
        let steps = plan.next_steps(&self.runners);
        let mut turn = PlanTurn { steps: steps.len(), ..PlanTurn::default() };
        for step in steps {
            if step.source == Some(LoadSource::Store)
                && !self.loads.allows(engine.loads_per_second, now)
            {
                turn.held_back += 1;
                continue;
            }
            let name = ModelName { model: step.model, adapter: None };
            let order = (step.kind, step.source);
            if self.issue_order(&step.runner, order, &name, fencing, now) {
                turn.ordered += 1;
                if step.kind == OrderKind::Load {
                    self.reach.record_order(&name.model, now);
                }
            }
        }
        self.log_turn(service, turn, began, demand, now);
    }

    /// Logs a turn of the plan, and which models in demand have become missing
    /// or are held again.
    fn log_turn(
        &mut self,
        service: &ServiceSpec,
        mut turn: PlanTurn,
        began: Instant,
        demand: &ModelDemand,
        now: EpochMillis,
    ) {
        let mut held: Vec<String> = self
            .runners
            .usable()
            .filter(|(facts, _)| facts.service == service.name)
            .flat_map(|(_, models)| models)
            .map(|model| model.name)
            .collect();
        held.sort_unstable();
        held.dedup();
        turn.held_models = held.len();
        let is_held = |model: &str| {
            held.binary_search_by(|name| name.as_str().cmp(model)).is_ok()
        };
        for change in self.reach.update(demand, is_held, now) {
            placement_log::log_reach(&change, now);
        }
        turn.missing_models = self.reach.missing().count();
        turn.hosts = self.demand.len();
        let ages = self.demand.values().map(|(at, _)| at.until(now));
        turn.oldest_demand = ages.max().unwrap_or_default();
        turn.open_loads = self.loads.open_count();
        turn.unannounced = self.broadcast.unannounced();
        placement_log::log_turn(&turn, self.runners.state_counts(), began);
    }

    fn order_adapters(
        &mut self,
        engine: &EngineSpec,
        demand: &ModelDemand,
        fencing: u64,
        now: EpochMillis,
    ) {
        loop {
            let steps = self.adapter_planner.next_steps(
                &self.runners,
                engine,
                demand,
                &self.uses,
                now,
            );
            if steps.is_empty() {
                return;
            }
            for step in steps {
                let kind = match step.kind {
                    AdapterAction::Load => {
                        self.adapter_planner.record_load(&step.name, now);
                        OrderKind::Load
                    }
                    AdapterAction::Unload => OrderKind::Unload,
                    AdapterAction::Drain => {
                        self.runners.drain(
                            &step.runner,
                            &step.name,
                            true,
                            now,
                        );
                        continue;
                    }
                };
                let (runner, name) = (&step.runner, &step.name);
                let order = (kind, None);
                if !self.issue_order(runner, order, name, fencing, now) {
                    return;
                }
            }
        }
    }

    /// Issues an order if the runner is idle; returns whether the order was
    /// issued. Before an unload, the model or adapter is drained: the unload
    /// is issued only once no call uses the model or adapter and a broadcast
    /// has told the other hosts not to use it.
    fn issue_order(
        &mut self,
        runner: &str,
        (kind, source): (OrderKind, Option<LoadSource>),
        name: &ModelName,
        fencing: u64,
        now: EpochMillis,
    ) -> bool {
        if kind == OrderKind::Unload {
            let used = self.uses.is_in_use(runner, name, now);
            let drained = self.runners.drain(runner, name, used, now);
            if !drained || !self.broadcast.is_announced(runner) {
                return false;
            }
        }
        let managed =
            self.runners.idle().find(|managed| managed.facts.id == runner);
        let Some(managed) = managed else { return false };
        let order = PlacementOrder {
            runner: runner.to_owned(),
            kind,
            model: name.model.clone(),
            adapter: name.adapter.clone(),
            expected: managed.accepted_orders(),
            holder: self.setup.row.host.clone(),
            fencing,
        };
        let step = self.runners.start_order(&order, source, now);
        let ordered = step.is_some();
        if ordered && source == Some(LoadSource::Store) {
            self.loads.record_order(runner, order.expected, now);
        }
        step.into_iter().for_each(|step| self.send(step));
        ordered
    }

    /// Returns the total demand of the hosts whose digests are recent.
    fn total_demand(&mut self, now: EpochMillis) -> ModelDemand {
        let mut total = ModelDemand::default();
        self.demand.retain(|_, (received_at, _)| {
            now <= received_at.after(MAX_DEMAND_AGE)
        });
        for (_, demand) in self.demand.values() {
            for (model, rate) in demand.iter() {
                *total.entry(model.clone(), || 0) += rate;
            }
        }
        total
    }
}
