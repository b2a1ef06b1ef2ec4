//! The task that sends placement orders to the runners.
//!
//! Every host runs this task, but only the holder of the orders lease sends
//! orders. The lease holder broadcasts what runners hold. The broadcasts show
//! the other hosts that the lease holder is alive, and they read the lease's
//! row only when the broadcasts stop. Orders and report requests are sent by
//! futures of their own, which report their outcome to the task. The order
//! permit is checked just before an order is written.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::{mpsc, watch},
    time::{Instant, MissedTickBehavior},
};

use super::{
    CatalogWatch, NodePhase, RosterWatch,
    evacuations::EvacuationWatch,
    gossip_port::{GossipPort, PlacerEvent},
    lease::{LeaseCall, LeaseKeeper},
    orders::{self, LeaseOutcome},
};
use crate::{
    catalog::{EvacuationList, ServiceCatalog},
    clock::{EpochMillis, HostClock},
    membership::{HostMessage, HostRow, RENEW_PERIOD},
    placement::{
        AdapterPlanner, BroadcastFanout, FleetPlan, LoadLimiter, ModelDemand,
        OrderAttempt, OrderStep, ReachLog, ResidencyBroadcast, RunnerTable,
        SendOutcome, UseTable,
    },
    port::{EdgeCodec, EngineReport, PlacementOrder, StorePort},
    roster::RunnerFacts,
    runner::OrderKind,
    sorted::SortedTable,
};

/// Capacity of the mailbox; when it is full, senders drop their messages.
pub(crate) const MAILBOX: usize = 256;
/// Time between two regular ticks of the task.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Pause after a tick, as a multiple of the tick's duration, up to
/// [`TICK_PERIOD`]: in a large fleet many orders end at once, and the host's
/// lease, callers and answers need the processor too.
const TICK_PAUSE_FACTOR: u32 = 4;
/// Pauses before each announcement that the lease is released. A host that
/// misses a single datagram, or isn't known yet at the first one, would wait for
/// the lease's term, two seconds longer.
const RELEASE_PAUSES: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(300),
    Duration::from_millis(600),
];
/// Time after taking the lease in which the holder moves no models: it knows no
/// demand before the other hosts know of it.
const DEMAND_SETTLE_TIME: Duration = Duration::from_millis(1_000);

/// Configuration and handles with which the task is started.
pub(crate) struct PlacerSetup<C> {
    pub(crate) row: HostRow,
    pub(crate) codec: C,
    pub(crate) store: StorePort,
    pub(crate) clock: HostClock,
    pub(crate) catalog: CatalogWatch,
    pub(crate) roster: RosterWatch,
    pub(crate) evacuations: EvacuationWatch,
    pub(crate) gossip: GossipPort,
    pub(crate) phase: watch::Receiver<NodePhase>,
    /// Window within which the platform counts orders of two hosts as
    /// alternating.
    pub(crate) alternation_window: Duration,
    /// Window over which the platform counts loads from the weight store.
    pub(crate) load_window: Duration,
    /// How broadcasts reach the other hosts.
    pub(crate) fanout: watch::Receiver<BroadcastFanout>,
    /// Whether this host may take the lease: in a large fleet only hosts that
    /// may be aggregators do.
    pub(crate) may_order: watch::Receiver<bool>,
}

/// How an order, a report request or a store call ended.
enum RequestOutcome {
    Order(OrderAttempt, SendOutcome),
    Report(String, Option<EngineReport>),
    Lease(LeaseOutcome),
}

pub(super) struct PlacerTask<C> {
    pub(super) setup: PlacerSetup<C>,
    lease: LeaseKeeper,
    /// Fencing token under which this host held the orders lease at its last
    /// tick, if it held it.
    held_fencing: Option<u64>,
    /// Time from which the demand of the other hosts is known.
    demand_known_at: EpochMillis,
    pub(super) runners: RunnerTable,
    pub(super) plan: FleetPlan,
    pub(super) adapter_planner: AdapterPlanner,
    pub(super) uses: UseTable,
    pub(super) loads: LoadLimiter,
    /// Total number of loads that the last claim reserves.
    claimed_loads: u64,
    pub(super) demand: SortedTable<String, (EpochMillis, ModelDemand)>,
    pub(super) broadcast: ResidencyBroadcast,
    pub(super) reach: ReachLog,
    pub(super) tick_count: u32,
    /// Whether a tick is due once the pause is over.
    tick_due: bool,
    paused_until: Instant,
    /// Roster with which the runner table was last updated.
    adopted: Option<(Arc<Vec<RunnerFacts>>, Arc<EvacuationList>)>,
    outcome_sender: mpsc::Sender<RequestOutcome>,
}

/// Starts the task.
pub(crate) fn start<C: EdgeCodec>(
    setup: PlacerSetup<C>,
    inbox: mpsc::Receiver<PlacerEvent>,
) {
    let (outcome_sender, outcomes) = mpsc::channel(MAILBOX);
    let now = Instant::now();
    let task = PlacerTask {
        lease: LeaseKeeper::new(
            setup.row.clone(),
            setup.alternation_window,
            setup.clock.now(),
        ),
        held_fencing: None,
        demand_known_at: EpochMillis::default(),
        runners: RunnerTable::default(),
        plan: FleetPlan::default(),
        adapter_planner: AdapterPlanner::default(),
        uses: UseTable::default(),
        loads: LoadLimiter::new(setup.load_window, setup.clock.now()),
        claimed_loads: 0,
        demand: SortedTable::default(),
        broadcast: ResidencyBroadcast::default(),
        reach: ReachLog::default(),
        tick_count: 0,
        tick_due: false,
        paused_until: now,
        adopted: None,
        outcome_sender,
        setup,
    };
    crate::tasks::spawn(task.run(inbox, outcomes));
}

impl<C: EdgeCodec> PlacerTask<C> {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<PlacerEvent>,
        mut outcomes: mpsc::Receiver<RequestOutcome>,
    ) {
        let mut interval = tokio::time::interval(TICK_PERIOD);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            // A host without the lease needs no regular ticks.
            let next_call_at = self.lease.next_call_at();
            let holds_lease = self.held_fencing.is_some();
            let idle = !holds_lease && Instant::now() < next_call_at;
            let (due, paused_until) = (self.tick_due, self.paused_until);
            tokio::select! {
                event = inbox.recv() => match event {
                    Some(event) => self.tick_due |= self.handle(&event),
                    None => return,
                },
                Some(ended) = outcomes.recv() => {
                    self.handle_outcome(ended);
                    self.tick_due = true;
                }
                () = tokio::time::sleep_until(next_call_at),
                    if idle && !due =>
                {
                    self.tick_due = true;
                }
                () = self.until_due(), if holds_lease && !due => {
                    self.tick_due = true;
                }
                _ = interval.tick(), if !idle && !due => self.tick_due = true,
                () = tokio::time::sleep_until(paused_until), if due => {
                    self.tick_due = false;
                    let began = Instant::now();
                    self.tick().await;
                    let pause =
                        (began.elapsed() * TICK_PAUSE_FACTOR).min(TICK_PERIOD);
                    self.paused_until = Instant::now() + pause;
                }
            }
        }
    }

    /// Waits until a step is due at a runner.
    async fn until_due(&self) {
        let Some(due) = self.runners.next_due() else {
            return std::future::pending().await;
        };
        tokio::time::sleep(self.setup.clock.now().until(due)).await;
    }

    /// Applies a message; returns whether it requires a tick before the
    /// regular one.
    fn handle(&mut self, event: &PlacerEvent) -> bool {
        let now = self.setup.clock.now();
        match event {
            PlacerEvent::Digest(digest) => {
                self.uses.update(&digest.host, &digest.loads, now);
                if let Some(demand) = digest.demand.clone() {
                    self.demand.insert(digest.host.clone(), (now, demand));
                }
                false
            }
            PlacerEvent::StillUsed(digest) => {
                self.uses.record_answer(&digest.host, &digest.loads, now);
                false
            }
            PlacerEvent::Part(part) => {
                let source = format!("{}/{}", part.zone, part.part);
                self.uses.update(&source, &part.uses, now);
                self.demand.insert(source, (now, part.demand.clone()));
                false
            }
            PlacerEvent::AdapterRequested(name) => {
                self.adapter_planner.record_miss(name, now);
                self.held_fencing.is_some()
            }
            PlacerEvent::LeaseHolder(row, version) => {
                self.lease.holder_announced(row, *version, now);
                false
            }
            PlacerEvent::LeaseReleased(fencing) => {
                if self.lease.holder_released(*fencing, now) {
                    tracing::info!(event = "orders_released", fencing);
                }
                false
            }
        }
    }

    /// Maintains the lease. While this host holds it, also issues the orders
    /// that are due and broadcasts what the runners hold.
    async fn tick(&mut self) {
        self.maintain_lease();
        let now = self.setup.clock.now();
        let leaving = *self.setup.phase.borrow() != NodePhase::Serving;
        let fencing = self.lease.fencing(now).filter(|_| !leaving);
        let Some(fencing) = fencing else {
            if self.held_fencing.is_some() && !self.runners.awaits_answers() {
                self.held_fencing = None;
                self.release_lease();
            }
            return;
        };
        let former = self.held_fencing.replace(fencing);
        if former.is_none() {
            self.demand_known_at = now.after(DEMAND_SETTLE_TIME);
            self.broadcast.restart();
            self.runners.reset(now);
            self.adopted = None;
            let inherited = self.inherit_loads(now);
            if inherited.is_some() {
                // A holder that takes over from this one has to count them too.
                self.lease.renew_soon();
            }
            let (settling, unused_terms) = self.lease.start_up(now);
            tracing::info!(
                event = "orders_held",
                fencing,
                settling_ms = settling.as_millis() as u64,
                unused_terms,
                inherited_loads = inherited,
                open_loads = self.loads.open_count(),
            );
        } else if former != Some(fencing) {
            tracing::info!(event = "orders_renewed", fencing, former);
        }
        let roster = self.setup.roster.borrow().clone();
        let catalog = self.setup.catalog.borrow().clone();
        let (Some(roster), Some(catalog)) = (roster, catalog) else { return };
        self.adopt(&roster, &catalog, now);
        for step in self.runners.due(fencing, now) {
            if let OrderStep::Send(_, sent) = &step {
                let order = &sent.order;
                self.loads.record_retry(&order.runner, order.expected, now);
            }
            self.send(step);
        }
        self.tick_count = self.tick_count.wrapping_add(1);
        let may_move =
            self.lease.is_settled(now) && self.demand_known_at <= now;
        if may_move {
            self.lease.record_use();
        }
        self.issue_orders(&catalog, fencing, may_move, now);
        if former.is_some_and(|former| former != fencing) {
            // The other hosts forget what they heard under the former token.
            self.broadcast.restart();
        }
        self.broadcast_residency(now).await;
    }

    /// Updates the runner table to a roster without the evacuated zones, unless
    /// it was updated to the same before.
    fn adopt(
        &mut self,
        roster: &Arc<Vec<RunnerFacts>>,
        catalog: &ServiceCatalog,
        now: EpochMillis,
    ) {
        let evacuations = self.setup.evacuations.borrow().clone();
        let former = self.adopted.as_ref();
        if former.is_some_and(|(former, former_evacuations)| {
            Arc::ptr_eq(former, roster)
                && Arc::ptr_eq(former_evacuations, &evacuations)
        }) {
            return;
        }
        // What only an evacuated zone holds counts as missing.
        let engines = roster.iter().filter(|facts| {
            let service = catalog.service(&facts.service);
            service.is_some_and(|service| service.engine.is_some())
                && !evacuations.is_evacuated(&facts.zone)
        });
        let engines: Vec<&RunnerFacts> = engines.collect();
        self.runners.adopt(&engines, now);
        self.adopted = Some((Arc::clone(roster), evacuations));
    }

    /// Takes over the open loads of the previous lease holder and returns
    /// their number; `None` if there was no holder before, or none but this
    /// process.
    fn inherit_loads(&mut self, now: EpochMillis) -> Option<u32> {
        let previous = self.lease.take_previous_holder()?;
        // The last order of another host is at least the alternation window
        // old; an earlier process of this host may have sent orders until it
        // ended.
        let last_order = if previous.row.holder == self.setup.row.host {
            now
        } else {
            now.before(self.setup.alternation_window)
        };
        let (open, history) = (previous.row.open_loads, previous.loads);
        self.loads.inherit(open, history.as_ref(), last_order, now);
        Some(open)
    }

    /// Gives up the lease, and announces this to the other hosts, which then
    /// don't have to wait until the lease expires. An order that went unanswered
    /// may still reach its runner, so that the lease isn't announced as free.
    fn release_lease(&mut self) {
        let Some(fencing) = self.lease.relinquish() else { return };
        let now = self.setup.clock.now();
        let leaving = *self.setup.phase.borrow() != NodePhase::Serving;
        tracing::info!(
            event = "orders_lost",
            fencing,
            leaving,
            renewal_ms = self.lease.renewal_age(now).as_millis() as u64,
            announced = !self.runners.has_unanswered(),
        );
        if self.runners.has_unanswered() {
            return;
        }
        let gossip = self.setup.gossip.clone();
        crate::tasks::spawn(async move {
            for pause in RELEASE_PAUSES {
                tokio::time::sleep(pause).await;
                gossip.broadcast(HostMessage::Released { fencing }).await;
            }
        });
    }

    /// Starts the store call that is due, if any: a claim or renewal of the
    /// lease, or a read that shows whether the lease is free. A leaving host
    /// starts no store call.
    fn maintain_lease(&mut self) {
        let leaving = *self.setup.phase.borrow() != NodePhase::Serving;
        if leaving {
            return;
        }
        let now = self.setup.clock.now();
        let holds_lease = self.held_fencing.is_some();
        if !holds_lease && !*self.setup.may_order.borrow() {
            self.lease.defer();
            return;
        }
        let knows_runners = self.setup.roster.borrow().is_some()
            && self.setup.catalog.borrow().is_some();
        if !holds_lease && !knows_runners {
            // Without them the lease would be of no use here.
            return;
        }
        let open_loads = self.loads.open_count() as u32;
        let per_second = self.load_rate();
        let (loads, reserved_until) =
            self.loads.history(per_second, RENEW_PERIOD, now);
        let call = self.lease.next_call(open_loads, loads, now);
        let Some(call) = call else { return };
        self.claimed_loads = reserved_until;
        let store = self.setup.store.clone();
        let outcome_sender = self.outcome_sender.clone();
        crate::tasks::spawn(async move {
            let end = match call {
                LeaseCall::Write(claim) => {
                    orders::write_claim(&store, claim).await
                }
                LeaseCall::Read => orders::read_lease(&store).await,
            };
            let _ = outcome_sender.send(RequestOutcome::Lease(end)).await;
        });
    }

    fn handle_outcome(&mut self, ended: RequestOutcome) {
        let now = self.setup.clock.now();
        match ended {
            RequestOutcome::Order(sent, end) => {
                orders::log_order_ended(&sent, end, now);
                let order = &sent.order;
                let load_outcome = sent.load_outcome(end);
                self.loads.record_outcome(
                    &order.runner,
                    order.expected,
                    load_outcome,
                    now,
                );
                let expected_time = self.expected_order_time(order);
                self.runners.handle_outcome(order, end, expected_time, now);
            }
            RequestOutcome::Report(runner, report) => {
                if let Some(report) = &report {
                    self.loads.record_report(&runner, report.orders, now);
                }
                self.runners.handle_report(&runner, report, now);
            }
            RequestOutcome::Lease(end) => {
                if self.lease.call_ended(end, now) {
                    self.loads.record_reservation(self.claimed_loads);
                    // The other hosts need the new version of the lease's row.
                    self.broadcast.send_soon();
                }
            }
        }
    }

    /// Returns the highest configured number of loads per second.
    fn load_rate(&self) -> f64 {
        let catalog = self.setup.catalog.borrow();
        let services = catalog.iter().flat_map(|catalog| catalog.services());
        let engines = services.filter_map(|service| service.engine.as_ref());
        engines.map(|engine| engine.loads_per_second).fold(0.0, f64::max)
    }

    /// Returns the configured load time of the ordered model, and zero for an
    /// order that loads nothing.
    fn expected_order_time(&self, order: &PlacementOrder) -> Duration {
        let catalog = self.setup.catalog.borrow();
        let services = catalog.iter().flat_map(|catalog| catalog.services());
        let engines = services.filter_map(|service| service.engine.as_ref());
        let model = engines.filter_map(|engine| engine.model(&order.model));
        let Some(model) = model.last() else { return Duration::ZERO };
        let has_local_copy = self.setup.roster.borrow().iter().any(|roster| {
            roster.iter().any(|facts| {
                facts.id == order.runner && facts.copies.contains(&order.model)
            })
        });
        let millis = match order.kind {
            OrderKind::Load if has_local_copy => model.warm_ms,
            OrderKind::Load => model.load_ms,
            // An unload waits for the calls that use the model; no duration is
            // configured for that.
            OrderKind::Unload | OrderKind::Fence => 0,
        };
        Duration::from_millis(millis)
    }

    /// Sends the order or report request of a step. The order permit is
    /// checked once more just before the order is written.
    pub(super) fn send(&self, step: OrderStep) {
        let codec = self.setup.codec.clone();
        let outcome_sender = self.outcome_sender.clone();
        let clock = self.setup.clock.clone();
        let permit = self.lease.permit();
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
                    RequestOutcome::Report(facts.id, report.ok())
                }
                OrderStep::Send(facts, sent) => {
                    orders::log_order_sent(&sent, &facts);
                    let order = &sent.order;
                    let fencing = order.fencing;
                    let may_send =
                        || permit.borrow().allows(fencing, clock.now());
                    let answer =
                        orders::send_order(&codec, &facts, order, may_send)
                            .await;
                    let end = answer.unwrap_or_else(|(end, error)| {
                        tracing::info!(
                            event = "order_failed",
                            runner = facts.id,
                            ?end,
                            error = format!("{error:#}"),
                        );
                        end
                    });
                    RequestOutcome::Order(sent, end)
                }
            };
            let _ = outcome_sender.send(end).await;
        });
    }

    /// Broadcasts what runners hold. The other hosts also learn from this
    /// message that the lease holder is alive.
    async fn broadcast_residency(&mut self, now: EpochMillis) {
        let usable = self.runners.usable();
        let residency =
            usable.map(|(facts, models)| (facts.id.clone(), models));
        self.broadcast.update(residency.collect());
        let Some((lease, version)) = self.lease.row() else { return };
        let lease = lease.clone();
        let fanout = *self.setup.fanout.borrow();
        let Some((sequence, residency)) = self.broadcast.poll(fanout, now)
        else {
            return;
        };
        let message =
            HostMessage::Residency { lease, version, sequence, residency };
        self.setup.gossip.broadcast(message).await;
    }
}
