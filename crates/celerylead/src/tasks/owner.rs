//! The task that manages the memory of runners.
//!
//! The task takes ownership of the runners for which this host is the
//! preferred owner, and sends them orders until they match the placement plan
//! of the zone. On the host that is the zone's planner, it also makes that
//! plan. While the table service can't be reached, the task does nothing, so
//! that resident models stay resident.

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
    zone::{ZoneView, engines_of, find_ledger, model_needs},
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

/// Interval between two reconciliations while there is something to do.
const RECONCILE_PERIOD: Duration = Duration::from_millis(1_000);
/// Number of periods between two reconciliations while there is nothing to do.
const IDLE_PERIODS: u32 = 5;
/// Time for which a runner that has fallen silent stays in the plan.
const SILENT_RUNNER_GRACE: Duration = Duration::from_secs(10);

/// Configuration and handles with which the task is started.
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
    own_lease: HeldLease,
    /// Ids of the orders that were sent. An order of this process that is
    /// reserved in a ledger but not listed here was never sent.
    sent_orders: Vec<String>,
    sequence: u64,
    /// Whether the last reconciliation wrote something or found an order that
    /// is unconfirmed.
    busy: bool,
    /// Time at which each runner was last in service.
    last_serving: SortedTable<String, EpochMillis>,
    refusal_sender: mpsc::Sender<RefusedOrder>,
}

/// An order that a runner refused, which will never take effect.
struct RefusedOrder {
    runner: String,
    id: String,
}

/// Starts the task, which ends when the settings channel closes.
pub(crate) fn start(setup: OwnerSetup) {
    let (refusal_sender, refusal_receiver) =
        mpsc::channel(super::MAILBOX_CAPACITY);
    let task = OwnerTask {
        setup,
        own_lease: HeldLease::default(),
        sent_orders: Vec::new(),
        sequence: 0,
        busy: true,
        last_serving: SortedTable::default(),
        refusal_sender,
    };
    super::spawn(task.run(refusal_receiver));
}

impl OwnerTask {
    async fn run(
        mut self,
        mut refusal_receiver: mpsc::Receiver<RefusedOrder>,
    ) {
        let mut period = tokio::time::interval(RECONCILE_PERIOD);
        period.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut idle_periods = 0;
        loop {
            period.tick().await;
            self.own_lease.tick(self.setup.clock.now());
            let Ok(changed) = self.setup.settings.has_changed() else {
                return;
            };
            idle_periods += 1;
            if !changed && !self.busy && idle_periods < IDLE_PERIODS {
                continue;
            }
            idle_periods = 0;
            self.setup.settings.mark_unchanged();
            let mut refusals = Vec::new();
            while let Ok(order) = refusal_receiver.try_recv() {
                refusals.push(order);
            }
            if let Err(error) = self.reconcile(&refusals).await {
                self.busy = true;
                tracing::debug!(
                    event = "owner_turn_failed",
                    error = format!("{error:#}"),
                );
            }
        }
    }

    /// Reads the leases, ledgers and plans, and acts on them if this host's
    /// lease is live.
    async fn reconcile(
        &mut self,
        refusals: &[RefusedOrder],
    ) -> anyhow::Result<()> {
        let clock = self.setup.clock.clone();
        let identity = self.setup.identity.clone();
        let read_from = clock.now();
        let request = ReadRequest {
            keys: Vec::new(),
            prefixes: vec![
                hosts_prefix(&identity.zone),
                ledgers_prefix(&identity.zone),
                PLACEMENT_PREFIX.to_owned(),
            ],
        };
        let answer = self.setup.table.read(&request).await?;
        let mut leases = ZoneLeases::default();
        for row in answer.rows_with_prefix(&hosts_prefix(&identity.zone)) {
            let lease: HostLease = row.decode()?;
            leases.insert(lease.tag.host.clone(), lease);
        }
        let own = leases.get(&identity.host);
        let own = own.filter(|lease| lease.nonce == identity.nonce).cloned();
        self.own_lease.confirm(own.as_ref(), read_from, clock.now());
        if !self.own_lease.is_live(clock.bound()) {
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
            own_lease: &own,
            tree: &tree,
            leases: &leases,
            runners: &runners,
            ledgers: &ledgers,
            plan: &plan,
        };
        // An unconfirmed order of the zone may make room for the next order.
        self.busy = ledgers.iter().any(|ledger| !ledger.orders.is_empty());
        self.reconcile_runners(&view, refusals).await?;
        self.plan_zone(&view).await
    }

    /// Writes to the table. The next reconciliation follows in the next
    /// period, to see the effect of the write.
    async fn commit(
        &mut self,
        request: &CommitRequest,
    ) -> anyhow::Result<bool> {
        self.busy = true;
        Ok(self.setup.table.commit(request).await?.committed)
    }

    /// Takes over or reconciles each model engine of the zone.
    async fn reconcile_runners(
        &mut self,
        view: &ZoneView<'_>,
        refusals: &[RefusedOrder],
    ) -> anyhow::Result<()> {
        let mut reports = JoinSet::new();
        for runner in engines_of(view.tree, &view.own_lease.zone) {
            let ledger = find_ledger(view.ledgers, &runner.name);
            let own_ledger =
                ledger.filter(|ledger| ledger.owner == view.own_lease.tag);
            if own_ledger.is_none() {
                self.take_over(view, runner, ledger).await?;
                continue;
            }
            let runner = runner.clone();
            let read_from = self.setup.clock.now();
            reports.spawn(async move {
                let report = fetch_report(&runner).await;
                (runner, report, read_from)
            });
        }
        while let Some(Ok((runner, report, read_from))) =
            reports.join_next().await
        {
            self.own_lease.tick(self.setup.clock.now());
            let Some(ledger) = find_ledger(view.ledgers, &runner.name) else {
                continue;
            };
            // A runner that doesn't answer keeps its orders in the ledger.
            let Ok(report) = report else { continue };
            let read = ReadReport { report: &report, read_from };
            self.reconcile_runner(view, &runner, ledger, &read, refusals)
                .await?;
        }
        Ok(())
    }

    /// Takes over a runner that has no owner or whose owner is gone, if this
    /// host is the runner's preferred owner.
    async fn take_over(
        &mut self,
        view: &ZoneView<'_>,
        runner: &RunnerSettings,
        ledger: Option<&RunnerLedger>,
    ) -> anyhow::Result<()> {
        let now = self.setup.clock.bound();
        let live = view.leases.iter().filter(|(_, lease)| lease.is_live(now));
        let live = live.map(|(host, _)| host.as_str());
        let preferred = best_host(live, &runner.name);
        if preferred != Some(view.own_lease.tag.host.as_str()) {
            return Ok(());
        }
        let former = ledger.map(|ledger| &ledger.owner);
        if let Some(former) = former {
            let Some(lease) = view.leases.get(&former.host) else {
                return Ok(());
            };
            let same_incarnation = lease.tag == *former;
            if same_incarnation && !lease.has_lapsed(now) {
                return Ok(());
            }
        }
        let now = self.setup.clock.now();
        let taken = RunnerLedger::take_over(
            ledger,
            &runner.name,
            &view.own_lease.tag,
            now,
        );
        let mut request = self.ledger_write(view, &taken);
        if let Some(former) = former {
            let key = host_key(&self.setup.identity.zone, &former.host);
            if former.host != view.own_lease.tag.host {
                request = request.check(&key, view.answer.version(&key));
            }
        }
        let committed = self.commit(&request).await?;
        tracing::info!(
            event = "runner_taken_over",
            runner = runner.name,
            fence = taken.fence,
            committed,
        );
        Ok(())
    }

    /// Settles the orders of a runner that this host owns, or places the next
    /// order there.
    async fn reconcile_runner(
        &mut self,
        view: &ZoneView<'_>,
        runner: &RunnerSettings,
        ledger: &RunnerLedger,
        read: &ReadReport<'_>,
        refusals: &[RefusedOrder],
    ) -> anyhow::Result<()> {
        let now = self.setup.clock.now();
        let mut settled = ledger.settled(read, now);
        if runner.fencing {
            settled = settled.fenced(read);
        }
        for refused in
            refusals.iter().filter(|order| order.runner == runner.name)
        {
            settled = settled.without_order(&refused.id);
        }
        let unsent = self.unsent_order(&settled);
        if let Some(id) = unsent {
            settled = settled.without_order(&id);
        }
        if settled != *ledger {
            let request = self.ledger_write(view, &settled);
            self.commit(&request).await?;
            return Ok(());
        }
        if runner.fencing
            && read.report.fence < ledger.fence
            && !ledger.orders.is_empty()
        {
            // Orders of a former owner may still be on their way. The runner
            // accepts none of them after the fence order.
            return self.raise_fence(runner, ledger).await;
        }
        let Some(draft) = self.next_order(view, runner, ledger, read.report)
        else {
            return Ok(());
        };
        self.place_order(view, runner, ledger, &draft, read.report).await
    }

    /// Sends the order that raises the runner's fencing token to the ledger's.
    async fn raise_fence(
        &mut self,
        runner: &RunnerSettings,
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
        if self.own_lease.is_live(self.setup.clock.bound()) {
            send_order(runner, &order).await;
        }
        Ok(())
    }

    /// Finds an order that this process reserved and never sent, as the answer
    /// to the write of its reservation was lost.
    fn unsent_order(&self, ledger: &RunnerLedger) -> Option<String> {
        let prefix = self.order_prefix();
        let orders = ledger.orders.iter();
        let mut own = orders.filter(|order| order.id.starts_with(&prefix));
        own.find(|order| !self.sent_orders.contains(&order.id))
            .map(|order| order.id.clone())
    }

    /// Returns the next order of a runner. Loads are limited to
    /// `loads_at_once` in the zone; beyond that limit, a load isn't returned.
    fn next_order(
        &self,
        view: &ZoneView<'_>,
        runner: &RunnerSettings,
        ledger: &RunnerLedger,
        report: &RunnerReport,
    ) -> Option<OrderDraft> {
        let target = view.plan.targets.get(&runner.name)?;
        let owned = OwnedRunner {
            ledger,
            report,
            memory_mb: runner.values.memory_mb,
            target,
        };
        let draft = owned.next_order(view.tree, |model| {
            view.survivor(&runner.name, model)
        })?;
        let loading = view.ledgers.iter().flat_map(|other| &other.orders);
        let loading = loading
            .filter(|order| order.kind == OrderKind::Load)
            .count() as u64;
        let limit = view.tree.defaults.loads_at_once;
        let allowed = draft.kind == OrderKind::Unload || loading < limit;
        allowed.then_some(draft)
    }

    /// Reserves an order in the ledger and, once the reservation is written,
    /// sends the order.
    async fn place_order(
        &mut self,
        view: &ZoneView<'_>,
        runner: &RunnerSettings,
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
        let memory = runner.values.memory_mb;
        let size_of = |model: &str| view.tree.resident_mb(model);
        let reserved = ledger.reserve(&order, memory, report, size_of);
        let Some(reserved) = reserved else { return Ok(()) };
        let zone = &self.setup.identity.zone;
        let placement = placement_key(zone);
        let mut request = self
            .ledger_write(view, &reserved)
            .check(&placement, view.answer.version(&placement));
        if let Some(survivor) = &draft.survivor {
            let key = ledger_key(zone, survivor);
            request = request.check(&key, view.answer.version(&key));
        }
        if !self.commit(&request).await? {
            return Ok(());
        }
        self.sent_orders.retain(|id| {
            ledger.orders.iter().any(|known| known.id == *id)
                || view.ledgers.iter().any(|other| {
                    other.orders.iter().any(|known| known.id == *id)
                })
        });
        // The lease is checked right before the order is sent, as the write
        // may have taken long.
        if !self.own_lease.is_live(self.setup.clock.bound()) {
            return Ok(());
        }
        self.sent_orders.push(order.id.clone());
        tracing::info!(
            event = "order_sent",
            runner = runner.name,
            order = order.id,
            kind = ?order.kind,
            model = order.model,
            fence = reserved.fence,
        );
        let refusal_sender = self.refusal_sender.clone();
        let runner = runner.clone();
        super::spawn(async move {
            if send_order(&runner, &order).await == OrderOutcome::Refused {
                let RunnerOrder { id, .. } = order;
                let refused = RefusedOrder { runner: runner.name, id };
                let _ = refusal_sender.send(refused).await;
            }
        });
        Ok(())
    }

    /// Returns a request that writes a ledger that this host owns or takes
    /// over. The write requires that the ledger and this host's lease row are
    /// unchanged.
    fn ledger_write(
        &self,
        view: &ZoneView<'_>,
        ledger: &RunnerLedger,
    ) -> CommitRequest {
        let identity = &self.setup.identity;
        let key = ledger_key(&identity.zone, &ledger.runner);
        let own_key = host_key(&identity.zone, &identity.host);
        CommitRequest::default()
            .check(&key, view.answer.version(&key))
            .check(&own_key, view.answer.version(&own_key))
            .write(&key, ledger)
    }

    /// Returns the prefix of the order identifiers of this process.
    fn order_prefix(&self) -> String {
        let identity = &self.setup.identity;
        format!("{}-{:016x}-", identity.host, identity.nonce)
    }

    /// Makes the placement plan of the zone, if this host is the zone's
    /// planner.
    async fn plan_zone(&mut self, view: &ZoneView<'_>) -> anyhow::Result<()> {
        let clock = &self.setup.clock;
        let bound = clock.bound();
        let live =
            view.leases.iter().filter(|(_, lease)| lease.is_live(bound));
        let live = live.map(|(host, _)| host.as_str());
        if best_host(live, "planner") != Some(view.own_lease.tag.host.as_str())
        {
            return Ok(());
        }
        let now = clock.now();
        let capacities = self.capacities(view, now);
        let model_needs = model_needs(view)?;
        let loads = usize::try_from(view.tree.defaults.loads_at_once)?;
        let plan = next_plan(
            view.plan,
            &capacities,
            &model_needs,
            PlanPace::of_changes(loads),
        );
        if plan == *view.plan {
            return Ok(());
        }
        let zone = &self.setup.identity.zone;
        let key = placement_key(zone);
        let own_key = host_key(zone, &self.setup.identity.host);
        let request = CommitRequest::default()
            .check(&key, view.answer.version(&key))
            .check(&own_key, view.answer.version(&own_key))
            .write(&key, &plan);
        let committed = self.commit(&request).await?;
        tracing::info!(event = "placement_planned", committed);
        Ok(())
    }

    /// Returns the runners to plan for: those in service, and those that were
    /// in service or first seen in the settings within the last
    /// `SILENT_RUNNER_GRACE`. Draining runners are left out.
    fn capacities(
        &mut self,
        view: &ZoneView<'_>,
        now: EpochMillis,
    ) -> Vec<RunnerCapacity> {
        let state = self.setup.settings.borrow().state.clone();
        let mut capacities = Vec::new();
        for runner in engines_of(view.tree, &self.setup.identity.zone) {
            if state.is_draining(&runner.name) {
                continue;
            }
            let status = view.status(&runner.name);
            let last_seen =
                self.last_serving.entry(runner.name.clone(), || now);
            if status.is_some() {
                *last_seen = now;
            }
            if last_seen.after(SILENT_RUNNER_GRACE) < now {
                continue;
            }
            let resident =
                status.map(|status| status.models.clone()).unwrap_or_default();
            capacities.push(RunnerCapacity {
                name: runner.name.clone(),
                group: runner.group.clone(),
                memory_mb: runner.values.memory_mb,
                resident,
            });
        }
        capacities
    }
}
