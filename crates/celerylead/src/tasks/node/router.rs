//! The task that chooses a runner for each call.
//!
//! It owns the state that the choice needs: the relay table, the token buckets
//! of the customers, the retry budgets of the services and the idle
//! connections to runners. A call whose model no runner holds, or for which
//! every runner is full, waits here for a short time and is tried again when
//! the table changes.

use std::{sync::Arc, time::Duration};

use tokio::{sync::watch, time::Instant};

use super::{
    CatalogWatch, RosterWatch,
    capacity_report::CapacityReport,
    evacuations::EvacuationWatch,
    gossip_port::GossipPort,
    links::IdleLinks,
    quarantine::QuarantineDesk,
    retries::{RetryDecision, RetryKeeper},
    router_port::{
        CompletedCall, QueuedCall, RouterEvent, RouterInbox, RouterReport,
    },
};
use crate::{
    catalog::ServiceCatalog,
    clock::{EpochMillis, HostClock},
    customer::{
        CallCharge, ChargeDenial, ChargeState, FleetBuckets, HostLiveness,
        Owed,
    },
    metrics::HostMetrics,
    model::ModelName,
    placement::DemandMeter,
    quarantine::KeptVerdict,
    relay::{CallEnd, CallRequirements, ColdBounds, ModelPaces, RelayTable},
    request::{
        CallScheduling, Refusal, RefusalCode, RetryAllowance, RetryClaim,
        admission::Admission,
    },
    sorted::SortedTable,
};

/// Time after which the task wakes up if nothing is due.
const IDLE_WAKE_INTERVAL: Duration = Duration::from_secs(60);
/// Half-life of past demand for a model; demand shifts within seconds.
const DEMAND_HALF_LIFE: Duration = Duration::from_millis(3_000);
/// Most models and adapters whose demand a host reports to the others.
const MAX_DEMAND_ENTRIES: usize = 48;
/// Configuration and handles with which the task is started.
pub(crate) struct RouterSetup {
    pub(crate) host: String,
    pub(crate) zone: String,
    pub(crate) clock: HostClock,
    pub(crate) catalog: CatalogWatch,
    pub(crate) roster: RosterWatch,
    pub(crate) evacuations: EvacuationWatch,
    pub(crate) gossip: GossipPort,
    pub(crate) allowance: RetryAllowance,
    pub(crate) scheduling: CallScheduling,
    pub(crate) cold_bounds: ColdBounds,
    /// Receives the claims of retries that are to be written.
    pub(crate) claims: watch::Sender<Vec<RetryClaim>>,
    /// Receives the verdicts that are to be kept for hosts that start.
    pub(crate) verdicts: watch::Sender<Vec<KeptVerdict>>,
    pub(crate) metrics: HostMetrics,
}

pub(super) struct RouterTask {
    pub(super) setup: RouterSetup,
    pub(super) catalog: Arc<ServiceCatalog>,
    pub(super) table: RelayTable,
    /// Time from which the shares of cold runners are determined again; `None`
    /// if no service has cold runners.
    pub(super) cold_refresh_at: Option<EpochMillis>,
    pub(super) buckets: FleetBuckets,
    pub(super) host_liveness: HostLiveness,
    pub(super) retries: RetryKeeper,
    demand: DemandMeter,
    capacity: CapacityReport,
    paces: ModelPaces,
    pub(super) quarantine: QuarantineDesk,
    pub(super) links: IdleLinks,
    /// Whether the models of a service are scarce.
    has_scarce_models: bool,
    /// The calls that wait for a runner.
    pub(super) admission: Admission<QueuedCall>,
    /// Time at which the waiting calls are tried again, after a digest that
    /// showed freed capacity or at the end of a runner's pause.
    pub(super) retry_waiting_at: Option<EpochMillis>,
    /// Missing adapters that were requested, with the time of the request.
    pub(super) requested_adapters: SortedTable<ModelName, EpochMillis>,
}

/// Starts the task.
pub(crate) fn start(setup: RouterSetup, inbox: RouterInbox) {
    let task = RouterTask {
        catalog: Arc::default(),
        table: RelayTable::with_cold_bounds(
            &setup.host,
            &setup.zone,
            setup.cold_bounds,
        ),
        cold_refresh_at: None,
        buckets: FleetBuckets::default(),
        host_liveness: HostLiveness::default(),
        retries: RetryKeeper::new(
            setup.allowance,
            setup.claims.clone(),
            setup.metrics.clone(),
            setup.clock.now(),
        ),
        demand: DemandMeter::new(DEMAND_HALF_LIFE),
        paces: ModelPaces::default(),
        has_scarce_models: false,
        capacity: CapacityReport::default(),
        quarantine: QuarantineDesk::new(
            &setup.host,
            setup.verdicts.clone(),
            setup.metrics.clone(),
            setup.clock.now(),
        ),
        links: IdleLinks::default(),
        admission: Admission::default(),
        retry_waiting_at: None,
        requested_adapters: SortedTable::default(),
        setup,
    };
    crate::tasks::spawn(task.run(inbox));
}

impl RouterTask {
    async fn run(mut self, mut inbox: RouterInbox) {
        let mut catalog = self.setup.catalog.clone();
        let mut roster = self.setup.roster.clone();
        let mut evacuations = self.setup.evacuations.clone();
        loop {
            let mut wake = self.next_wake();
            if wake <= Instant::now() {
                // Under constant events the timer below never gets its turn.
                self.wake();
                wake = self.next_wake();
            }
            tokio::select! {
                // What the end of a call tells counts before that call asks
                // for another runner.
                biased;
                Some(call) = inbox.completions.recv() => self.complete(call),
                event = inbox.events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                Ok(()) = evacuations.changed() => {
                    self.adopt_evacuations(&mut evacuations);
                }
                Ok(()) = catalog.changed() => {
                    let newest = catalog.borrow_and_update().clone();
                    if let Some(newest) = newest {
                        self.adopt_catalog(newest);
                    }
                }
                Ok(()) = roster.changed() => {
                    let newest = roster.borrow_and_update().clone();
                    self.adopt_roster(&newest.unwrap_or_default());
                }
                () = tokio::time::sleep_until(wake) => self.wake(),
            }
        }
    }

    fn next_wake(&self) -> Instant {
        let now = self.setup.clock.now();
        let due = [
            self.retry_waiting_at,
            self.admission.next_review_at(),
            self.quarantine.news_at(),
            self.retries.next_overdue_at(),
        ];
        let next = due.into_iter().flatten().min();
        Instant::now() + next.map_or(IDLE_WAKE_INTERVAL, |at| now.until(at))
    }

    /// Does what is due at this time.
    fn wake(&mut self) {
        let now = self.setup.clock.now();
        let hosts = self.host_liveness.count();
        if let Some(report) = self.quarantine.news(hosts, now) {
            self.setup.gossip.send_evidence(report);
        }
        for call in self.retries.take_overdue(now) {
            self.refuse(call, "no retry could be claimed in time", now);
        }
        self.retry_waiting();
        self.review_waiting(now);
    }

    fn handle(&mut self, event: RouterEvent) {
        let now = self.setup.clock.now();
        self.refresh_cold(now);
        match event {
            RouterEvent::Route(call) => self.admit(*call, now),
            RouterEvent::AnswerHead { start, notice, sent_at } => {
                self.table.note_head(&start, now);
                if let Some(service) = self.table.service_of(&start.id) {
                    let span = sent_at.elapsed();
                    self.admission.note_head(service, span);
                }
                self.quarantine.note_answer(&start, sent_at, now);
                self.note_runner(&start, notice, now);
            }
            RouterEvent::FirstEvent { start, sent } => {
                self.table.note_first_event(&start, sent, now);
            }
            RouterEvent::StreamPace { runner, model, pace_us } => {
                self.table.record_latency(&runner, &model, pace_us);
                self.paces.record(&model, pace_us);
                self.table.note_pace(&runner, &model, pace_us, now);
            }
            RouterEvent::SoundAnswer(parts) => {
                self.quarantine.note_sound(&parts, now);
            }
            RouterEvent::Evidence { report, at } => {
                let crashes = report.crashes.iter();
                self.suspect_restarts(crashes.map(|crash| &crash.start), now);
                self.quarantine.merge(&report, at);
            }
            RouterEvent::ReadVerdicts(reply) => {
                let _ = reply.send(self.quarantine.verdicts(now));
            }
            RouterEvent::LiftVerdict(part, reply) => {
                let _ = reply.send(self.quarantine.lift(part, now));
            }
            RouterEvent::Digest { digest, at } => self.merge(&digest, at),
            RouterEvent::FleetDigest { digest, absent, at } => {
                self.merge_fleet(&digest, &absent, at);
            }
            RouterEvent::Departing(starts) => {
                self.note_departures(&starts, now);
            }
            RouterEvent::Unreachable(starts) => {
                self.suspect_restarts(starts.iter(), now);
            }
            RouterEvent::HostAdded { host, zone } => {
                self.host_liveness.add_host(&host);
                self.table.add_host(&host, &zone);
            }
            RouterEvent::HostRemoved(host) => {
                self.host_liveness.remove_host(&host);
                self.table.remove_host(&host);
            }
            RouterEvent::HostsListed { kept } => {
                self.retries.set_hosts(self.host_liveness.count());
                self.table.note_hosts_listed(now);
                if let Some(kept) = kept {
                    self.retries.open(&kept.claims, now);
                    self.quarantine.adopt(&kept.verdicts, now);
                }
            }
            RouterEvent::ClaimsWritten(is_written) => {
                for call in self.retries.conclude_claim(is_written, now) {
                    self.admit(call, now);
                }
            }
            RouterEvent::RunnerModels { runner_models, others_unchanged } => {
                if others_unchanged {
                    self.table.refresh_announced_models(now);
                } else {
                    self.table.invalidate_announced_models();
                }
                for (runner, names) in runner_models {
                    self.table.set_announced_models(&runner, &names, now);
                }
                self.retry_waiting();
            }
            RouterEvent::ReadReport(reply) => {
                self.capacity.publish(&self.table, &self.setup.metrics, now);
                let digest = self.digest();
                let departures = self.table.departures(now);
                let hosts = self.host_liveness.count();
                let evidence = self.quarantine.report(hosts, now);
                let report = RouterReport { digest, departures, evidence };
                let _ = reply.send(report);
            }
            RouterEvent::ReadDemand(reply) => {
                let demand = self.demand.highest(MAX_DEMAND_ENTRIES, now);
                let _ = reply.send(demand);
            }
        }
    }

    fn adopt_catalog(&mut self, catalog: Arc<ServiceCatalog>) {
        let now = self.setup.clock.now();
        let rates = catalog.customers().filter_map(|customer| {
            Some((customer.name.as_str(), customer.rate?))
        });
        self.buckets.set_rates(rates, now);
        self.set_cold_services(&catalog);
        self.catalog = catalog;
        self.update_scarcity();
        self.retry_waiting();
    }

    pub(super) fn adopt_roster(
        &mut self,
        roster: &[crate::roster::RunnerFacts],
    ) {
        self.table.set_roster(roster.iter());
        self.update_scarcity();
        self.close_unused_links();
        self.retry_waiting();
    }

    /// Finds out whether the models of a service are scarce.
    fn update_scarcity(&mut self) {
        let table = &self.table;
        self.has_scarce_models = self.catalog.services().any(|service| {
            let runners = table.runners_of(&service.name);
            let engine = service.engine.as_ref();
            engine.is_some_and(|engine| engine.is_scarce(runners))
        });
    }

    /// Admits a call and looks for a runner. The call is refused if its
    /// deadline has passed, if a part of its prompt may crash runners, if an
    /// earlier attempt was sent and the retry budget is spent, or if the call
    /// isn't charged yet and its customer is over the rate.
    fn admit(&mut self, mut call: QueuedCall, now: EpochMillis) {
        let scheduling = self.setup.scheduling;
        if !scheduling.predicts_lateness(self.has_scarce_models) {
            call.requirements.profile.target = None;
        }
        if call.requirements.deadline <= now {
            self.refuse(call, "no runner took the call in time", now);
            return;
        }
        if let Err(refusal) =
            self.quarantine.check(&call, &self.host_liveness, now)
        {
            self.send_refusal(call, refusal);
            return;
        }
        if call.requirements.tried.is_empty() {
            self.retries.record_request(&call.requirements.service, now);
        } else if call.requirements.sent {
            match self.retries.decide(&call.requirements, now) {
                RetryDecision::Granted(grant) => call.retry = Some(grant),
                RetryDecision::Claiming => {
                    self.retries.park(call, now);
                    return;
                }
                RetryDecision::Denied(reason) => {
                    self.refuse(call, reason, now);
                    return;
                }
            }
        }
        if let ChargeState::Owed(charge) = std::mem::take(&mut call.charge) {
            match self.take_charge(charge, now) {
                Ok(state) => call.charge = state,
                Err(refusal) => {
                    let _ = call.reply.send(Err(refusal));
                    return;
                }
            }
        }
        if call.requirements.tried.is_empty() {
            self.note_demand(&call.requirements, now);
        }
        self.dispatch(call, now);
    }

    /// Charges a call to its customer.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a call that its customer's rate doesn't allow.
    fn take_charge(
        &mut self,
        charge: CallCharge<Owed>,
        now: EpochMillis,
    ) -> Result<ChargeState, Refusal> {
        let customer = charge.customer().to_owned();
        let cost = charge.cost();
        let denial = match self.buckets.take(charge, &self.host_liveness, now)
        {
            Ok(taken) => {
                return Ok(
                    taken.map_or(ChargeState::Settled, ChargeState::Taken)
                );
            }
            Err(denial) => denial,
        };
        match denial {
            ChargeDenial::TooLarge(limit) => {
                let message = format!(
                    "the call costs {cost}, accepted are up to {limit}"
                );
                let code = RefusalCode::BurstTooSmall;
                Err(Refusal::not_run(code, &message))
            }
            ChargeDenial::OverRate(at) => {
                let bucket = self.buckets.get(&customer);
                let (level, per_second) = bucket.map_or((0, 0), |bucket| {
                    (bucket.level(), bucket.per_second())
                });
                let message = format!(
                    "customer {customer} is over its rate: cost {cost}, \
                     level {level}, {per_second} a second, {} of {} hosts \
                     silent",
                    self.host_liveness.silent(now).count(),
                    self.host_liveness.count(),
                );
                let code = RefusalCode::RateLimited;
                Err(Refusal::not_run(code, &message).retry_at(Some(at)))
            }
        }
    }

    /// Returns whether the configuration or a runner has a model or adapter, of
    /// which callers may state any name.
    pub(super) fn knows_model(
        &self,
        service: &str,
        name: &ModelName,
        now: EpochMillis,
    ) -> bool {
        let service = self.catalog.service(service);
        let engine = service.and_then(|service| service.engine.as_ref());
        engine.is_some_and(|engine| engine.lists(name))
            || self.table.holds(name, now)
    }

    /// Counts the demand of a call that was admitted within its customer's
    /// rate.
    fn note_demand(
        &mut self,
        requirements: &CallRequirements,
        now: EpochMillis,
    ) {
        let Some(name) = &requirements.model else { return };
        if !self.knows_model(&requirements.service, name, now) {
            return;
        }
        let work = if self.has_scarce_models {
            self.paces.weigh(&name.model, requirements.tokens)
        } else {
            requirements.tokens
        };
        self.demand.record(&name.model, work, now);
        if name.adapter.is_some() {
            self.demand.record(&name.to_string(), work, now);
        }
    }

    /// Records the end of a call, and tries the waiting calls again.
    fn complete(&mut self, completed: CompletedCall) {
        let now = self.setup.clock.now();
        self.quarantine.note_end(&completed, now);
        if let CallEnd::Complete { latency_us } = completed.end
            && completed.choice.name.is_some()
        {
            self.paces.record(completed.choice.model(), latency_us);
        }
        self.note_unreachable(&completed, now);
        self.table.end_call(
            &completed.choice,
            completed.head_reported,
            completed.end,
            now,
        );
        if let Some((link, term)) = completed.link
            && self.table.takes_calls(&completed.choice.runner)
        {
            self.links.keep(&completed.choice.runner, link, term);
        }
        let runner = &completed.choice.runner;
        if let Some(sent_at) = completed.trace.sent_at
            && let Some(service) = self.table.service_of(runner)
        {
            self.admission.note_held(service, sent_at.elapsed());
        }
        self.offer_place(&completed.choice.runner, now);
    }
}
