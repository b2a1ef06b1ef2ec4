//! The task that looks after the memory of runners.
//!
//! It takes ownership of the runners to which this host is home, brings
//! them to the plan of the zone by orders, and plans for the zone where
//! that falls to this host. It does nothing while the table service can't
//! be reached: what is resident stays so.

use std::time::Duration;

use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
    time::MissedTickBehavior,
};

use super::{
    dispatch::{DispatchEvent, DispatchPort},
    member::HostIdentity,
    runner::fetch_report,
    zone::{ZoneView, engines_of, find_ledger, needs},
};
use crate::{
    clock::{EpochMillis, HostClock},
    customer::share::ZoneLeases,
    membership::{HeldLease, HostLease, best_host},
    placement::{
        OrderDraft, OwnedRunner, PlacementPlan, PlanPace, RunnerCapacity,
        next_plan,
    },
    platform::{
        CommitRequest, PLACEMENT_PREFIX, ReadRequest, TableClient, host_key,
        hosts_prefix, ledger_key, ledgers_prefix, placement_key,
    },
    runner::{
        ORDER_QUARANTINE, OrderKind, ReadReport, RunnerLedger, RunnerOrder,
        RunnerReport,
    },
    settings::{RunnerSettings, SettingsView},
    sorted::SortedTable,
    wire::order::{OrderOutcome, send_order},
};

/// Time between two turns while something is to be done.
const TURN_PERIOD: Duration = Duration::from_millis(1_000);
/// Turns of which all but one are left out while nothing is.
const IDLE_TURNS: u32 = 5;
/// Time for which a silent runner keeps its place in the plan.
const GONE_AFTER: Duration = Duration::from_secs(10);

/// What the task is started with.
pub(crate) struct OwnerSetup {
    pub(crate) identity: HostIdentity,
    pub(crate) table: TableClient,
    pub(crate) clock: HostClock,
    pub(crate) settings: watch::Receiver<SettingsView>,
    pub(crate) dispatch: DispatchPort,
}

/// State of the task.
struct OwnerTask {
    setup: OwnerSetup,
    held: HeldLease,
    /// Orders that were sent, so that one that is reserved and was not is
    /// known.
    sent: Vec<String>,
    sequence: u64,
    /// Whether the last turn changed something or waits for an order.
    busy: bool,
    /// When each runner was last in service.
    seen: SortedTable<String, EpochMillis>,
    refusals: mpsc::Sender<RefusedOrder>,
}

/// An order that a runner refused: it will never take effect.
struct RefusedOrder {
    runner: String,
    id: String,
}

/// Starts the task; it ends with the settings' channel.
pub(crate) fn start(setup: OwnerSetup) {
    let (refusals, refused) = mpsc::channel(super::MAILBOX);
    let task = OwnerTask {
        setup,
        held: HeldLease::default(),
        sent: Vec::new(),
        sequence: 0,
        busy: true,
        seen: SortedTable::default(),
        refusals,
    };
    super::spawn(task.run(refused));
}

impl OwnerTask {
    async fn run(mut self, mut refused: mpsc::Receiver<RefusedOrder>) {
        let mut period = tokio::time::interval(TURN_PERIOD);
        period.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut idle = 0;
        loop {
            period.tick().await;
            self.held.tick(self.setup.clock.now());
            let Ok(changed) = self.setup.settings.has_changed() else {
                return;
            };
            idle += 1;
            if !changed && !self.busy && idle < IDLE_TURNS {
                continue;
            }
            idle = 0;
            self.setup.settings.mark_unchanged();
            let mut refusals = Vec::new();
            while let Ok(order) = refused.try_recv() {
                refusals.push(order);
            }
            if let Err(error) = self.turn(&refusals).await {
                self.busy = true;
                tracing::debug!(
                    event = "owner_turn_failed",
                    error = format!("{error:#}"),
                );
            }
        }
    }

    async fn turn(&mut self, refusals: &[RefusedOrder]) -> anyhow::Result<()> {
        let clock = self.setup.clock.clone();
        let identity = self.setup.identity.clone();
        let read_from = clock.now();
        let ask = ReadRequest {
            keys: Vec::new(),
            prefixes: vec![
                hosts_prefix(&identity.zone),
                ledgers_prefix(&identity.zone),
                PLACEMENT_PREFIX.to_owned(),
            ],
        };
        let answer = self.setup.table.read(&ask).await?;
        let mut leases = ZoneLeases::default();
        for row in answer.rows_with_prefix(&hosts_prefix(&identity.zone)) {
            let lease: HostLease = row.decode()?;
            leases.insert(lease.tag.host.clone(), lease);
        }
        let own = leases.get(&identity.host);
        let own = own.filter(|lease| lease.nonce == identity.nonce).cloned();
        self.held.confirm(own.as_ref(), read_from, clock.now());
        if !self.held.is_live(clock.bound()) {
            return Ok(());
        }
        let Some(own) = own else { return Ok(()) };
        let dispatch = &self.setup.dispatch.sender;
        let runners = super::ask(dispatch, DispatchEvent::Status).await;
        let runners = runners.unwrap_or_default();
        let mut ledgers = Vec::new();
        for row in answer.rows_with_prefix(&ledgers_prefix(&identity.zone)) {
            ledgers.push(row.decode::<RunnerLedger>()?);
        }
        let plan = match answer.row(&placement_key(&identity.zone)) {
            Some(row) => row.decode()?,
            None => PlacementPlan::default(),
        };
        let tree = self.setup.settings.borrow().tree.clone();
        let view = ZoneView {
            answer: &answer,
            own: &own,
            tree: &tree,
            leases: &leases,
            runners: &runners,
            ledgers: &ledgers,
            plan: &plan,
        };
        // Orders of the zone that are out may make room for the next.
        self.busy = ledgers.iter().any(|ledger| !ledger.orders.is_empty());
        self.look_after_runners(&view, refusals).await?;
        self.plan_zone(&view).await
    }

    /// Writes to the table; the next turn comes soon, to see what came of
    /// it.
    async fn commit(&mut self, ask: &CommitRequest) -> anyhow::Result<bool> {
        self.busy = true;
        Ok(self.setup.table.commit(ask).await?.committed)
    }

    async fn look_after_runners(
        &mut self,
        view: &ZoneView<'_>,
        refusals: &[RefusedOrder],
    ) -> anyhow::Result<()> {
        let mut reports = JoinSet::new();
        for plan in engines_of(view.tree, &view.own.zone) {
            let ledger = find_ledger(view.ledgers, &plan.name);
            let mine = ledger.filter(|held| held.owner == view.own.tag);
            if mine.is_none() {
                self.take_over(view, plan, ledger).await?;
                continue;
            }
            let plan = plan.clone();
            let read_from = self.setup.clock.now();
            reports.spawn(async move {
                let report = fetch_report(&plan).await;
                (plan, report, read_from)
            });
        }
        while let Some(Ok((plan, report, read_from))) =
            reports.join_next().await
        {
            self.held.tick(self.setup.clock.now());
            let Some(ledger) = find_ledger(view.ledgers, &plan.name) else {
                continue;
            };
            // A runner that doesn't answer keeps its orders in the ledger.
            let Ok(report) = report else { continue };
            let read = ReadReport { report: &report, read_from };
            self.look_after(view, &plan, ledger, &read, refusals).await?;
        }
        Ok(())
    }

    /// Takes a runner over whose owner is gone, where this host is home.
    async fn take_over(
        &mut self,
        view: &ZoneView<'_>,
        plan: &RunnerSettings,
        ledger: Option<&RunnerLedger>,
    ) -> anyhow::Result<()> {
        let now = self.setup.clock.bound();
        let live = view.leases.iter().filter(|(_, lease)| lease.is_live(now));
        let live = live.map(|(host, _)| host.as_str());
        let home = best_host(live, &plan.name);
        if home != Some(view.own.tag.host.as_str()) {
            return Ok(());
        }
        let former = ledger.map(|held| &held.owner);
        if let Some(former) = former {
            let Some(lease) = view.leases.get(&former.host) else {
                return Ok(());
            };
            let same_life = lease.tag == *former;
            if same_life && !lease.has_lapsed(now) {
                return Ok(());
            }
        }
        let now = self.setup.clock.now();
        let taken =
            RunnerLedger::take_over(ledger, &plan.name, &view.own.tag, now);
        let mut ask = self.ledger_write(view, &taken);
        if let Some(former) = former {
            let key = host_key(&self.setup.identity.zone, &former.host);
            if former.host != view.own.tag.host {
                ask = ask.check(&key, view.answer.version(&key));
            }
        }
        let committed = self.commit(&ask).await?;
        tracing::info!(
            event = "runner_taken_over",
            runner = plan.name,
            fence = taken.fence,
            committed,
        );
        Ok(())
    }

    /// Settles the orders of an own runner, or gives the next one.
    async fn look_after(
        &mut self,
        view: &ZoneView<'_>,
        plan: &RunnerSettings,
        ledger: &RunnerLedger,
        read: &ReadReport<'_>,
        refusals: &[RefusedOrder],
    ) -> anyhow::Result<()> {
        let now = self.setup.clock.now();
        let mut settled = ledger.settled(read, now);
        if plan.fencing {
            settled = settled.fenced(read);
        }
        for refused in refusals.iter().filter(|o| o.runner == plan.name) {
            settled = settled.without_order(&refused.id);
        }
        let unsent = self.unsent_order(&settled);
        if let Some(id) = unsent {
            settled = settled.without_order(&id);
        }
        if settled != *ledger {
            let ask = self.ledger_write(view, &settled);
            self.commit(&ask).await?;
            return Ok(());
        }
        if plan.fencing
            && read.report.fence < ledger.fence
            && !ledger.orders.is_empty()
        {
            // Orders of a former owner are out: none may arrive after this.
            return self.raise_fence(plan, ledger).await;
        }
        let Some(draft) = self.next_order(view, plan, ledger, read.report)
        else {
            return Ok(());
        };
        self.give(view, plan, ledger, &draft, read.report).await
    }

    async fn raise_fence(
        &mut self,
        plan: &RunnerSettings,
        ledger: &RunnerLedger,
    ) -> anyhow::Result<()> {
        let now = self.setup.clock.now();
        let order = RunnerOrder {
            id: format!("{}fence-{}", self.order_prefix(), ledger.fence),
            kind: OrderKind::Fence,
            model: String::new(),
            size_mb: 0,
            fence: ledger.fence,
            placed: now,
            held_until: now,
        };
        self.busy = true;
        if self.held.is_live(self.setup.clock.bound()) {
            send_order(plan, &order).await;
        }
        Ok(())
    }

    /// Finds an order that this process reserved and never sent: the answer
    /// to its reservation was lost.
    fn unsent_order(&self, ledger: &RunnerLedger) -> Option<String> {
        let prefix = self.order_prefix();
        let orders = ledger.orders.iter();
        let mut own = orders.filter(|order| order.id.starts_with(&prefix));
        own.find(|order| !self.sent.contains(&order.id))
            .map(|order| order.id.clone())
    }

    fn next_order(
        &self,
        view: &ZoneView<'_>,
        plan: &RunnerSettings,
        ledger: &RunnerLedger,
        report: &RunnerReport,
    ) -> Option<OrderDraft> {
        let target = view.plan.targets.get(&plan.name)?;
        let owned = OwnedRunner {
            ledger,
            report,
            memory_mb: plan.values.memory_mb,
            target,
        };
        let draft = owned
            .next_order(view.tree, |model| view.survivor(&plan.name, model))?;
        let loading = view.ledgers.iter().flat_map(|held| &held.orders);
        let loading = loading
            .filter(|order| order.kind == OrderKind::Load)
            .count() as u64;
        let limit = view.tree.defaults.loads_at_once;
        let allowed = draft.kind == OrderKind::Unload || loading < limit;
        allowed.then_some(draft)
    }

    /// Reserves an order and, once that is written, sends it.
    async fn give(
        &mut self,
        view: &ZoneView<'_>,
        plan: &RunnerSettings,
        ledger: &RunnerLedger,
        draft: &OrderDraft,
        report: &RunnerReport,
    ) -> anyhow::Result<()> {
        self.sequence += 1;
        let now = self.setup.clock.now();
        let order = RunnerOrder {
            id: format!("{}{}", self.order_prefix(), self.sequence),
            kind: draft.kind,
            model: draft.model.clone(),
            size_mb: draft.size_mb,
            fence: ledger.fence,
            placed: now,
            held_until: now.after(ORDER_QUARANTINE),
        };
        let memory = plan.values.memory_mb;
        let size_of = |model: &str| view.tree.resident_mb(model);
        let reserved = ledger.reserve(&order, memory, report, size_of);
        let Some(reserved) = reserved else { return Ok(()) };
        let zone = &self.setup.identity.zone;
        let placement = placement_key(zone);
        let mut ask = self
            .ledger_write(view, &reserved)
            .check(&placement, view.answer.version(&placement));
        if let Some(survivor) = &draft.survivor {
            let key = ledger_key(zone, survivor);
            ask = ask.check(&key, view.answer.version(&key));
        }
        if !self.commit(&ask).await? {
            return Ok(());
        }
        self.sent.retain(|id| {
            ledger.orders.iter().any(|held| held.id == *id)
                || view
                    .ledgers
                    .iter()
                    .any(|l| l.orders.iter().any(|held| held.id == *id))
        });
        // Checked at the moment of use: the write may have taken long.
        if !self.held.is_live(self.setup.clock.bound()) {
            return Ok(());
        }
        self.sent.push(order.id.clone());
        tracing::info!(
            event = "order_sent",
            runner = plan.name,
            order = order.id,
            kind = ?order.kind,
            model = order.model,
            fence = reserved.fence,
        );
        let refusals = self.refusals.clone();
        let plan = plan.clone();
        super::spawn(async move {
            if send_order(&plan, &order).await == OrderOutcome::Refused {
                let RunnerOrder { id, .. } = order;
                let refused = RefusedOrder { runner: plan.name, id };
                let _ = refusals.send(refused).await;
            }
        });
        Ok(())
    }

    /// Starts the write of a ledger that this host owns or takes.
    fn ledger_write(
        &self,
        view: &ZoneView<'_>,
        ledger: &RunnerLedger,
    ) -> CommitRequest {
        let identity = &self.setup.identity;
        let key = ledger_key(&identity.zone, &ledger.runner);
        let own = host_key(&identity.zone, &identity.host);
        CommitRequest::default()
            .check(&key, view.answer.version(&key))
            .check(&own, view.answer.version(&own))
            .write(&key, ledger)
    }

    fn order_prefix(&self) -> String {
        let identity = &self.setup.identity;
        format!("{}-{:016x}-", identity.host, identity.nonce)
    }

    /// Plans for the zone, where that falls to this host.
    async fn plan_zone(&mut self, view: &ZoneView<'_>) -> anyhow::Result<()> {
        let clock = &self.setup.clock;
        let bound = clock.bound();
        let live =
            view.leases.iter().filter(|(_, lease)| lease.is_live(bound));
        let live = live.map(|(host, _)| host.as_str());
        if best_host(live, "planner") != Some(view.own.tag.host.as_str()) {
            return Ok(());
        }
        let now = clock.now();
        let rooms = self.rooms(view, now);
        let needs = needs(view)?;
        let loads = usize::try_from(view.tree.defaults.loads_at_once)?;
        let plan =
            next_plan(view.plan, &rooms, &needs, PlanPace::of_changes(loads));
        if plan == *view.plan {
            return Ok(());
        }
        let zone = &self.setup.identity.zone;
        let key = placement_key(zone);
        let own = host_key(zone, &self.setup.identity.host);
        let ask = CommitRequest::default()
            .check(&key, view.answer.version(&key))
            .check(&own, view.answer.version(&own))
            .write(&key, &plan);
        let committed = self.commit(&ask).await?;
        tracing::info!(event = "placement_planned", committed);
        Ok(())
    }

    /// The runners to plan for: those in service, and for a while those
    /// that have just fallen silent.
    fn rooms(
        &mut self,
        view: &ZoneView<'_>,
        now: EpochMillis,
    ) -> Vec<RunnerCapacity> {
        let state = self.setup.settings.borrow().state.clone();
        let mut rooms = Vec::new();
        for plan in engines_of(view.tree, &self.setup.identity.zone) {
            if state.is_draining(&plan.name) {
                continue;
            }
            let status = view.status(&plan.name);
            let seen = self.seen.entry(plan.name.clone(), || now);
            if status.is_some() {
                *seen = now;
            }
            if seen.after(GONE_AFTER) < now {
                continue;
            }
            let resident =
                status.map(|held| held.models.clone()).unwrap_or_default();
            rooms.push(RunnerCapacity {
                name: plan.name.clone(),
                group: plan.group.clone(),
                memory_mb: plan.values.memory_mb,
                resident,
            });
        }
        rooms
    }
}
