//! The task that gives orders to the runners, on the host that may.
//!
//! Every host runs it; one holds the lease on orders. The holder is heard by
//! the others, as it tells them what runners hold; only when it falls silent
//! do they read the lease's row. Orders and reports are sent by futures of
//! their own, which tell the task how they ended and look at the right to
//! order, as it then stands, before they write.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::{mpsc, watch},
    time::{Instant, MissedTickBehavior},
};

use super::{
    CatalogWatch, NodePhase, RosterWatch,
    herald::{Heard, HeraldPort},
    lease::{LeaseCall, LeaseKeeper},
    orders::{self, LeaseEnd},
};
use crate::{
    catalog::{EngineTraits, ServiceCatalog},
    clock::{EpochMillis, HostClock},
    membership::{HostMessage, HostRow},
    model::ModelName,
    placement::{
        AdapterAction, AdapterPlanner, FleetPlan, LoadLimiter, LoadSource,
        ModelDemand, OrderAttempt, OrderStep, ResidencyBroadcast, RunnerTable,
        SendOutcome, UseTable,
    },
    port::{EdgeCodec, EngineReport, PlacementOrder, StorePort},
    roster::RunnerFacts,
    runner::OrderKind,
    sorted::SortedTable,
};

/// Messages that wait before senders drop theirs.
pub(crate) const MAILBOX: usize = 256;
/// Time between two turns of the task.
const TURN: Duration = Duration::from_millis(50);
/// Rest after a turn, in times that it took, up to the time between two:
/// many orders end at once in a large fleet, and the lease, callers and
/// answers of the host need the processor too.
const TURN_REST: u32 = 4;
/// Turns between two changes of the plan.
const PLAN_TURNS: u32 = 8;
/// Time for which a new process moves no models: at a start the runners
/// enter the registry over some seconds, and what seems to be nowhere may
/// be at one that isn't listed yet.
const SETTLE: Duration = Duration::from_millis(6_000);
/// Age from which a host's digest says nothing of demand.
const DEMAND_AGE: Duration = Duration::from_millis(2_000);

/// What the task is started with.
pub(crate) struct PlacerSetup<C> {
    pub(crate) row: HostRow,
    pub(crate) codec: C,
    pub(crate) store: StorePort,
    pub(crate) clock: HostClock,
    pub(crate) catalog: CatalogWatch,
    pub(crate) roster: RosterWatch,
    pub(crate) herald: HeraldPort,
    pub(crate) phase: watch::Receiver<NodePhase>,
    /// Span in which orders of two hosts count as taking turns.
    pub(crate) turns: Duration,
    /// Span in which the platform counts loads from the weight store.
    pub(crate) load_window: Duration,
}

/// How something that was sent ended.
enum Ended {
    Order(OrderAttempt, SendOutcome),
    Report(String, Option<EngineReport>),
    Lease(LeaseEnd),
}

struct PlacerTask<C> {
    setup: PlacerSetup<C>,
    lease: LeaseKeeper,
    /// Whether this host held the lease at its last turn.
    holding: bool,
    /// Point at which the process started.
    started: Instant,
    shelves: RunnerTable,
    plan: FleetPlan,
    book: AdapterPlanner,
    uses: UseTable,
    loads: LoadLimiter,
    demand: SortedTable<String, (EpochMillis, ModelDemand)>,
    telling: ResidencyBroadcast,
    turn: u32,
    /// Whether a turn is due, after the rest.
    wanted: bool,
    rest_until: Instant,
    /// Roster that the shelves were last brought in line with.
    adopted: Option<Arc<Vec<RunnerFacts>>>,
    ended: mpsc::Sender<Ended>,
}

/// Starts the task.
pub(crate) fn start<C: EdgeCodec>(
    setup: PlacerSetup<C>,
    inbox: mpsc::Receiver<Heard>,
) {
    let (ended, ends) = mpsc::channel(MAILBOX);
    let now = Instant::now();
    let task = PlacerTask {
        lease: LeaseKeeper::new(setup.row.clone(), setup.turns),
        holding: false,
        started: now,
        shelves: RunnerTable::default(),
        plan: FleetPlan::default(),
        book: AdapterPlanner::default(),
        uses: UseTable::default(),
        loads: LoadLimiter::new(setup.load_window, setup.clock.now()),
        demand: SortedTable::default(),
        telling: ResidencyBroadcast::default(),
        turn: 0,
        wanted: false,
        rest_until: now,
        adopted: None,
        ended,
        setup,
    };
    crate::tasks::spawn(task.run(inbox, ends));
}

impl<C: EdgeCodec> PlacerTask<C> {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<Heard>,
        mut ends: mpsc::Receiver<Ended>,
    ) {
        let mut period = tokio::time::interval(TURN);
        period.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            // Hosts that don't hold the lease have nothing to do each turn.
            let ask_at = self.lease.ask_at();
            let idle = !self.holding && Instant::now() < ask_at;
            let (wanted, rest) = (self.wanted, self.rest_until);
            tokio::select! {
                heard = inbox.recv() => match heard {
                    Some(heard) => self.wanted |= self.hear(&heard),
                    None => return,
                },
                Some(ended) = ends.recv() => {
                    self.end(ended);
                    self.wanted = true;
                }
                () = tokio::time::sleep_until(ask_at), if idle && !wanted => {
                    self.wanted = true;
                }
                () = self.until_due(), if self.holding && !wanted => {
                    self.wanted = true;
                }
                _ = period.tick(), if !idle && !wanted => self.wanted = true,
                () = tokio::time::sleep_until(rest), if wanted => {
                    self.wanted = false;
                    let began = Instant::now();
                    self.turn().await;
                    let rest = (began.elapsed() * TURN_REST).min(TURN);
                    self.rest_until = Instant::now() + rest;
                }
            }
        }
    }

    /// Waits until something is due at a runner.
    async fn until_due(&self) {
        let Some(due) = self.shelves.next_due() else {
            return std::future::pending().await;
        };
        tokio::time::sleep(self.setup.clock.now().until(due)).await;
    }

    /// Takes something heard into account; tells whether a turn is due for
    /// it before its time.
    fn hear(&mut self, heard: &Heard) -> bool {
        let now = self.setup.clock.now();
        match heard {
            Heard::Digest(digest) => {
                self.uses.update(&digest.host, &digest.loads, now);
                if let Some(demand) = digest.demand.clone() {
                    self.demand.insert(digest.host.clone(), (now, demand));
                }
                false
            }
            Heard::Want(name) => {
                self.book.record_miss(name, now);
                self.holding
            }
            Heard::Holder(row, version) => {
                self.lease.holder_heard(row, *version, now);
                false
            }
            Heard::Released(fencing) => {
                tracing::info!(event = "orders_released", fencing);
                self.lease.released(*fencing, now);
                false
            }
        }
    }

    async fn turn(&mut self) {
        self.keep_lease();
        let now = self.setup.clock.now();
        let leaving = *self.setup.phase.borrow() != NodePhase::Serving;
        let held = self.lease.fencing(now).filter(|_| !leaving);
        let Some(fencing) = held else {
            if std::mem::take(&mut self.holding) {
                self.give_up().await;
            }
            return;
        };
        if !self.holding {
            self.holding = true;
            self.telling.restart();
            self.shelves.reset(now);
            self.adopted = None;
            let inherited = self.inherit_loads(now);
            tracing::info!(
                event = "orders_held",
                fencing,
                inherited_loads = inherited,
                open_loads = self.loads.open_count(),
            );
        }
        let roster = self.setup.roster.borrow().clone();
        let catalog = self.setup.catalog.borrow().clone();
        let (Some(roster), Some(catalog)) = (roster, catalog) else { return };
        self.adopt(&roster, &catalog, now);
        for step in self.shelves.due(now) {
            if let OrderStep::Send(_, sent) = &step {
                let order = &sent.order;
                self.loads.record_retry(&order.runner, order.expected, now);
            }
            self.send(step);
        }
        self.turn = self.turn.wrapping_add(1);
        self.order(&catalog, fencing, now);
        self.tell(now).await;
    }

    /// Brings the shelves in line with a roster, unless they are.
    fn adopt(
        &mut self,
        roster: &Arc<Vec<RunnerFacts>>,
        catalog: &ServiceCatalog,
        now: EpochMillis,
    ) {
        let held = self.adopted.as_ref();
        if held.is_some_and(|held| Arc::ptr_eq(held, roster)) {
            return;
        }
        let engines = roster.iter().filter(|facts| {
            let service = catalog.service(&facts.service);
            service.is_some_and(|service| service.engine.is_some())
        });
        let engines: Vec<&RunnerFacts> = engines.collect();
        self.shelves.adopt(&engines, now);
        self.adopted = Some(Arc::clone(roster));
    }

    /// Takes over the loads that the host before this one left open; returns
    /// how many, if another host gave orders since.
    fn inherit_loads(&mut self, now: EpochMillis) -> Option<u32> {
        let former = self.lease.take_former()?;
        // Another host's last order lies a turn back at least; an earlier
        // process of this host may have ordered until its end.
        let last_order = if former.holder == self.setup.row.host {
            now
        } else {
            now.before(self.setup.turns)
        };
        self.loads.inherit(former.open_loads, last_order, now);
        Some(former.open_loads)
    }

    /// Stops ordering and tells the others, who needn't wait for the lease
    /// to lapse then.
    async fn give_up(&mut self) {
        let Some(fencing) = self.lease.give_up() else { return };
        let now = self.setup.clock.now();
        let leaving = *self.setup.phase.borrow() != NodePhase::Serving;
        tracing::info!(
            event = "orders_lost",
            fencing,
            leaving,
            renewal_ms = self.lease.renewal_age(now).as_millis() as u64,
        );
        let message = HostMessage::Released { fencing };
        self.setup.herald.announce(message).await;
    }

    /// Renews the lease, or looks whether it is free.
    fn keep_lease(&mut self) {
        let leaving = *self.setup.phase.borrow() != NodePhase::Serving;
        if leaving {
            return;
        }
        let now = self.setup.clock.now();
        let open_loads = self.loads.open_count() as u32;
        let call = self.lease.next_call(open_loads, now);
        let Some(call) = call else { return };
        let store = self.setup.store.clone();
        let ended = self.ended.clone();
        crate::tasks::spawn(async move {
            let end = match call {
                LeaseCall::Write(claim) => {
                    orders::write_claim(&store, claim).await
                }
                LeaseCall::Read => orders::read_lease(&store).await,
            };
            let _ = ended.send(Ended::Lease(end)).await;
        });
    }

    fn end(&mut self, ended: Ended) {
        let now = self.setup.clock.now();
        match ended {
            Ended::Order(sent, end) => {
                orders::log_end(&sent, end, now);
                let order = &sent.order;
                let fate = sent.load_outcome(end);
                self.loads.record_outcome(
                    &order.runner,
                    order.expected,
                    fate,
                    now,
                );
                let takes = self.model_time(order);
                self.shelves.handle_outcome(order, end, takes, now);
            }
            Ended::Report(runner, report) => {
                if let Some(report) = &report {
                    self.loads.record_report(&runner, report.orders, now);
                }
                self.shelves.handle_report(&runner, report, now);
            }
            Ended::Lease(end) => {
                if self.lease.ended(end, now) {
                    // Told soon, so that the others know the version.
                    self.telling.send_soon();
                }
            }
        }
    }

    fn model_time(&self, order: &PlacementOrder) -> Duration {
        let catalog = self.setup.catalog.borrow();
        let models = catalog.iter().flat_map(|catalog| catalog.services());
        let engines = models.filter_map(|service| service.engine.as_ref());
        let model = engines.filter_map(|engine| engine.model(&order.model));
        let Some(model) = model.last() else { return Duration::ZERO };
        let copied = self.setup.roster.borrow().iter().any(|roster| {
            roster.iter().any(|facts| {
                facts.id == order.runner && facts.copies.contains(&order.model)
            })
        });
        let millis = match order.kind {
            OrderKind::Load if copied => model.warm_ms,
            OrderKind::Load => model.load_ms,
            // It waits for the runs that use the model.
            OrderKind::Unload | OrderKind::Fence => 0,
        };
        Duration::from_millis(millis)
    }

    /// Gives the orders that are due, each to a runner that takes one.
    fn order(
        &mut self,
        catalog: &ServiceCatalog,
        fencing: u64,
        now: EpochMillis,
    ) {
        let demand = self.total_demand(now);
        for service in catalog.services() {
            let Some(engine) = &service.engine else { continue };
            let settled = self.started + SETTLE <= Instant::now();
            if settled && self.turn.is_multiple_of(PLAN_TURNS) {
                self.order_models(service, engine, &demand, fencing, now);
            }
            self.order_adapters(engine, &demand, fencing, now);
        }
    }

    fn order_models(
        &mut self,
        service: &crate::catalog::ServiceTraits,
        engine: &EngineTraits,
        demand: &ModelDemand,
        fencing: u64,
        now: EpochMillis,
    ) {
        let plan = self.plan.advance(service, &self.shelves, demand);
        let Some(plan) = plan else { return };
        self.shelves.cancel_drains(|runner, model| plan.wants(runner, model));
        for step in plan.next_steps(&self.shelves) {
            if step.source == Some(LoadSource::Store)
                && !self.loads.allows(engine.loads_per_second, now)
            {
                continue;
            }
            let name = ModelName { model: step.model, adapter: None };
            let order = (step.kind, step.source);
            self.give(&step.runner, order, &name, fencing, now);
        }
    }

    fn order_adapters(
        &mut self,
        engine: &EngineTraits,
        demand: &ModelDemand,
        fencing: u64,
        now: EpochMillis,
    ) {
        while let Some(step) =
            self.book.next_step(&self.shelves, engine, demand, &self.uses, now)
        {
            let kind = match step.kind {
                AdapterAction::Load => {
                    self.book.record_load(&step.name, now);
                    OrderKind::Load
                }
                AdapterAction::Unload => OrderKind::Unload,
                AdapterAction::Drain => {
                    self.shelves.drain(&step.runner, &step.name, true, now);
                    continue;
                }
            };
            let order = (kind, None);
            if !self.give(&step.runner, order, &step.name, fencing, now) {
                return;
            }
        }
    }

    /// Gives an order, unless what it unloads is in use; tells whether it
    /// went out.
    fn give(
        &mut self,
        runner: &str,
        (kind, source): (OrderKind, Option<LoadSource>),
        name: &ModelName,
        fencing: u64,
        now: EpochMillis,
    ) -> bool {
        if kind == OrderKind::Unload {
            let used = self.uses.is_in_use(runner, name, now);
            let clear = self.shelves.drain(runner, name, used, now);
            if !clear || !self.telling.is_announced(runner) {
                return false;
            }
        }
        let shelf = self.shelves.idle().find(|shelf| shelf.facts.id == runner);
        let Some(shelf) = shelf else { return false };
        let order = PlacementOrder {
            runner: runner.to_owned(),
            kind,
            model: name.model.clone(),
            adapter: name.adapter.clone(),
            expected: shelf.accepted_orders(),
            holder: self.setup.row.host.clone(),
            fencing,
        };
        let step = self.shelves.start_order(&order, source, now);
        let ordered = step.is_some();
        if ordered && source == Some(LoadSource::Store) {
            self.loads.record_order(runner, order.expected, now);
        }
        step.into_iter().for_each(|step| self.send(step));
        ordered
    }

    /// Demand over all hosts that were heard lately.
    fn total_demand(&mut self, now: EpochMillis) -> ModelDemand {
        let mut total = ModelDemand::default();
        self.demand.retain(|_, (told_at, _)| now <= told_at.after(DEMAND_AGE));
        for (_, demand) in self.demand.values() {
            for (model, rate) in demand.iter() {
                *total.entry(model.clone(), || 0) += rate;
            }
        }
        total
    }

    /// Sends what a step asks for. The right to order is looked at once
    /// more just before the order is written.
    fn send(&self, step: OrderStep) {
        let codec = self.setup.codec.clone();
        let ended = self.ended.clone();
        let clock = self.setup.clock.clone();
        let right = self.lease.right();
        crate::tasks::spawn(async move {
            let end = match step {
                OrderStep::Report(facts) => {
                    let report = orders::fetch_report(&codec, &facts).await;
                    let report = report.inspect_err(|error| {
                        tracing::info!(
                            event = "report_failed",
                            runner = facts.id,
                            error = format!("{error:#}"),
                        );
                    });
                    Ended::Report(facts.id, report.ok())
                }
                OrderStep::Send(facts, sent) => {
                    orders::log_send(&sent, &facts);
                    let order = &sent.order;
                    let fencing = order.fencing;
                    let may = || right.borrow().allows(fencing, clock.now());
                    let answer =
                        orders::send_order(&codec, &facts, order, may).await;
                    let end = answer.unwrap_or_else(|(end, error)| {
                        tracing::info!(
                            event = "order_failed",
                            runner = facts.id,
                            ?end,
                            error = format!("{error:#}"),
                        );
                        end
                    });
                    Ended::Order(sent, end)
                }
            };
            let _ = ended.send(end).await;
        });
    }

    /// Tells the hosts what runners hold; they hear by it that the holder
    /// lives.
    async fn tell(&mut self, now: EpochMillis) {
        let usable = self.shelves.usable();
        let held = usable.map(|(facts, held)| (facts.id.clone(), held));
        self.telling.update(held.collect());
        let Some((lease, version)) = self.lease.row() else { return };
        let lease = lease.clone();
        // Hosts whose digests were heard lately, this one too.
        let listeners = self.demand.len();
        let Some((round, held)) = self.telling.poll(listeners, now) else {
            return;
        };
        let message = HostMessage::Held { lease, version, round, held };
        self.setup.herald.announce(message).await;
    }
}
