//! The task that gives each call its runner.
//!
//! It owns what the decision needs: the relay table, the customers' rates,
//! the budget of further runs and the idle connections to runners. A call
//! that finds its model nowhere, or every runner full, waits here for a
//! short time; what changes the table wakes it.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::{mpsc, oneshot},
    time::Instant,
};

use super::{CatalogWatch, RosterWatch, herald::HeraldPort, links::IdleLinks};
use crate::{
    catalog::ServiceCatalog,
    clock::{EpochMillis, HostClock},
    customer::{FleetBucket, HostHearing},
    membership::{HostDigest, SpentTotal},
    metrics::HostMetrics,
    model::ModelName,
    placement::{DemandMeter, ModelDemand},
    port::HttpLink,
    relay::{
        CallEnd, LoadBasis, PickFault, RelayAsk, RelayChoice, RelayTable,
    },
    request::{Refusal, RefusalCode, SendWindow},
    sorted::SortedTable,
    tasks::{MAILBOX, MAX_IN_FLIGHT},
};

/// Longest wait for a model or a free runner.
const LONGEST_HOLD: Duration = Duration::from_millis(1_500);
/// Part of the time left that a call may wait here.
const HOLD_SHARE: f64 = 0.2;
/// Time after which a caller that found every runner full may come back.
const RETRY_WAIT: Duration = Duration::from_millis(150);
/// Part of the platform's allowance of further runs that the hosts use.
const BUDGET_SHARE: f64 = 0.8;
/// Time from a digest that shows a free place to a look at the calls that
/// wait; hundreds of digests come in a second.
const LOOK_PAUSE: Duration = Duration::from_millis(20);
/// Wake-up of the task when nothing is due.
const IDLE_WAIT: Duration = Duration::from_secs(60);
/// Time in which past demand for a model counts for half; demand moves
/// within seconds.
const DEMAND_HALF_LIFE: Duration = Duration::from_millis(3_000);
/// Models and adapters whose demand a host tells the others.
const MOST_DEMANDS: usize = 48;
/// Time between two messages that an adapter is missing; one may be lost.
const WANT_PERIOD: Duration = Duration::from_millis(150);

/// The platform's allowance of further runs, of each service over all
/// hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RetryAllowance {
    /// Further runs for each call.
    pub(crate) share: f64,
    /// Further runs beyond that in the window.
    pub(crate) slack: f64,
    /// Span in which both are counted.
    pub(crate) window: Duration,
}

/// Message to the task.
pub(crate) enum DeskEvent {
    /// Give a call its runner.
    Route(RouteWait),
    /// The head of an answer came from a runner.
    Heard(String),
    /// A stream that a runner works on has this pace, in microseconds.
    Paced { runner: String, model: String, pace_us: u64 },
    /// What another host told.
    Told { digest: Box<HostDigest>, at: EpochMillis },
    /// A host exists.
    Expect(String),
    /// A host is gone for good.
    Forget(String),
    /// What some runners hold, from the host that orders, and whether what it
    /// told of the others before still holds.
    Held { held: Vec<(String, Vec<ModelName>)>, others_hold: bool },
    /// Fill in the digest of this host, without the demand.
    Digest(oneshot::Sender<HostDigest>),
    /// Tell what this host is asked for.
    Demand(oneshot::Sender<ModelDemand>),
}

/// A call that waits for its runner.
pub(crate) struct RouteWait {
    ask: RelayAsk,
    /// Whether a refusal gives the charge back.
    refundable: Option<(String, u64)>,
    until: EpochMillis,
    reply: oneshot::Sender<Result<RoutedCall, Refusal>>,
}

/// The runner chosen, with an idle connection to it if there is one.
struct RoutedCall {
    choice: RelayChoice,
    link: Option<HttpLink>,
}

/// End of a routed call.
struct RelayDone {
    choice: RelayChoice,
    heard: bool,
    end: CallEnd,
    link: Option<(HttpLink, Instant)>,
}

/// The way to the task.
#[derive(Clone)]
pub(crate) struct DeskPort {
    pub(crate) sender: mpsc::Sender<DeskEvent>,
    done: mpsc::Sender<RelayDone>,
}

/// A booking at a runner; dropped without an end it counts as neutral.
pub(crate) struct RelaySlot {
    pub(crate) choice: RelayChoice,
    pub(crate) link: Option<HttpLink>,
    sender: mpsc::Sender<DeskEvent>,
    heard: bool,
    permit: Option<mpsc::OwnedPermit<RelayDone>>,
}

impl RelaySlot {
    /// Notes that the head of the answer came. Where the desk is too busy
    /// to hear it, the end of the call tells.
    pub(crate) fn heard(&mut self) {
        let event = DeskEvent::Heard(self.choice.runner.clone());
        self.heard = self.sender.try_send(event).is_ok();
    }

    /// Books the end, and the connection where it may be used again until
    /// the point beside it.
    pub(crate) fn finish(
        mut self,
        end: CallEnd,
        link: Option<(HttpLink, Instant)>,
    ) {
        self.send(end, link);
    }

    /// Tells the pace of a stream under way; a lost telling is made up for
    /// by the next.
    pub(crate) fn paced(&self, pace_us: u64) {
        let _ = self.sender.try_send(DeskEvent::Paced {
            runner: self.choice.runner.clone(),
            model: self.choice.model().to_owned(),
            pace_us,
        });
    }

    fn send(&mut self, end: CallEnd, link: Option<(HttpLink, Instant)>) {
        let Some(permit) = self.permit.take() else { return };
        let (choice, heard) = (self.choice.clone(), self.heard);
        permit.send(RelayDone { choice, heard, end, link });
    }
}

impl Drop for RelaySlot {
    fn drop(&mut self) {
        self.send(CallEnd::Neutral, None);
    }
}

impl DeskPort {
    /// Waits for a runner. `refundable` is what a refusal gives back: the
    /// charge of a call that surely didn't run.
    pub(crate) async fn route(
        &self,
        ask: &RelayAsk,
        refundable: Option<(String, u64)>,
        now: EpochMillis,
    ) -> Result<RelaySlot, Refusal> {
        // The room for the end is taken first, so that an end never waits.
        let permit = self.done.clone().reserve_owned().await;
        let permit = permit.map_err(|_| stopped())?;
        let left = now.until(ask.deadline).mul_f64(HOLD_SHARE);
        let wait = |reply| {
            DeskEvent::Route(RouteWait {
                ask: ask.clone(),
                refundable,
                until: now.after(left.min(LONGEST_HOLD)),
                reply,
            })
        };
        let routed = crate::tasks::ask(&self.sender, wait).await;
        let RoutedCall { choice, link } = routed.ok_or_else(stopped)??;
        let sender = self.sender.clone();
        let permit = Some(permit);
        Ok(RelaySlot { choice, link, sender, heard: false, permit })
    }
}

/// What the task is started with.
pub(crate) struct DeskSetup {
    pub(crate) zone: String,
    pub(crate) clock: HostClock,
    pub(crate) catalog: CatalogWatch,
    pub(crate) roster: RosterWatch,
    pub(crate) herald: HeraldPort,
    pub(crate) allowance: RetryAllowance,
    pub(crate) metrics: HostMetrics,
}

/// State of the task.
struct DeskTask {
    setup: DeskSetup,
    catalog: Arc<ServiceCatalog>,
    table: RelayTable,
    rates: SortedTable<String, FleetBucket>,
    hearing: HostHearing,
    budgets: SortedTable<String, SendWindow>,
    demand: DemandMeter,
    links: IdleLinks,
    waiting: Vec<RouteWait>,
    /// Point at which those are looked at, after a digest that told of a
    /// free place.
    look_at: Option<EpochMillis>,
    /// Adapters that were said to be missing, and when.
    wanted: SortedTable<ModelName, EpochMillis>,
}

/// Makes the port and the mailboxes of the task.
pub(crate) fn mailbox() -> (DeskPort, DeskInbox) {
    let (sender, events) = mpsc::channel(MAILBOX);
    let (done, ends) = mpsc::channel(MAX_IN_FLIGHT);
    (DeskPort { sender, done }, DeskInbox { events, ends })
}

/// The mailboxes of the task.
pub(crate) struct DeskInbox {
    events: mpsc::Receiver<DeskEvent>,
    ends: mpsc::Receiver<RelayDone>,
}

/// Starts the task.
pub(crate) fn start(setup: DeskSetup, inbox: DeskInbox) {
    let task = DeskTask {
        catalog: Arc::default(),
        table: RelayTable::new(&setup.zone),
        rates: SortedTable::default(),
        hearing: HostHearing::default(),
        budgets: SortedTable::default(),
        demand: DemandMeter::new(DEMAND_HALF_LIFE),
        links: IdleLinks::default(),
        waiting: Vec::new(),
        look_at: None,
        wanted: SortedTable::default(),
        setup,
    };
    crate::tasks::spawn(task.run(inbox));
}

impl DeskTask {
    async fn run(mut self, mut inbox: DeskInbox) {
        let mut catalog = self.setup.catalog.clone();
        let mut roster = self.setup.roster.clone();
        loop {
            let wake = self.wake();
            tokio::select! {
                event = inbox.events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                Some(done) = inbox.ends.recv() => self.done(done),
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
                () = tokio::time::sleep_until(wake) => self.pump(),
            }
        }
    }

    fn wake(&self) -> Instant {
        let now = self.setup.clock.now();
        let ends = self.waiting.iter().map(|wait| wait.until);
        let next = ends.chain(self.look_at).min();
        Instant::now() + next.map_or(IDLE_WAIT, |at| now.until(at))
    }

    fn handle(&mut self, event: DeskEvent) {
        let now = self.setup.clock.now();
        match event {
            DeskEvent::Route(wait) => self.admit(wait, now),
            DeskEvent::Heard(runner) => self.table.heard(&runner, now),
            DeskEvent::Paced { runner, model, pace_us } => {
                self.table.paced(&runner, &model, pace_us);
            }
            DeskEvent::Told { digest, at } => self.told(&digest, at),
            DeskEvent::Expect(host) => self.hearing.expect(&host),
            DeskEvent::Forget(host) => self.hearing.forget(&host),
            DeskEvent::Held { held, others_hold } => {
                if others_hold {
                    self.table.told_again(now);
                } else {
                    self.table.missed_told();
                }
                for (runner, names) in held {
                    self.table.told_held(&runner, &names, now);
                }
                self.pump();
            }
            DeskEvent::Digest(reply) => {
                let _ = reply.send(self.digest());
            }
            DeskEvent::Demand(reply) => {
                let demand = self.demand.highest(MOST_DEMANDS, now);
                let _ = reply.send(demand);
            }
        }
    }

    fn adopt_catalog(&mut self, catalog: Arc<ServiceCatalog>) {
        let now = self.setup.clock.now();
        let mut former = std::mem::take(&mut self.rates);
        for customer in catalog.customers() {
            let Some(rate) = customer.rate else { continue };
            let bucket = match former.remove(&customer.name) {
                Some(mut bucket) => {
                    bucket.resize(rate);
                    bucket
                }
                None => FleetBucket::empty(rate, now),
            };
            self.rates.insert(customer.name.clone(), bucket);
        }
        self.catalog = catalog;
        self.pump();
    }

    fn adopt_roster(&mut self, roster: &[crate::roster::RunnerFacts]) {
        self.table.adopt(roster.iter());
        let table = &self.table;
        self.links.retain(|runner| table.takes_calls(runner));
        self.pump();
    }

    /// Charges a call, unless it was charged before, and looks for its
    /// runner.
    fn admit(&mut self, mut wait: RouteWait, now: EpochMillis) {
        if wait.ask.deadline <= now {
            let code = RefusalCode::NoRunner;
            self.refuse(wait, code, "no runner took the call in time", now);
            return;
        }
        let RetryAllowance { share, slack, window } = self.setup.allowance;
        let share = share * BUDGET_SHARE;
        let slack = slack * BUDGET_SHARE / self.hearing.count() as f64;
        let budget = self
            .budgets
            .entry(wait.ask.service.clone(), || SendWindow::new(window));
        if wait.ask.tried.is_empty() {
            budget.note_request(now);
        } else if wait.ask.sent && !budget.spend(share, slack, now) {
            let code = RefusalCode::NoRunner;
            self.refuse(
                wait,
                code,
                "the budget of further sends is spent",
                now,
            );
            return;
        }
        if let Some((customer, cost)) = wait.ask.charge.take() {
            if let Some(bucket) = self.rates.get_mut(&customer)
                && let Err(at) = bucket.take(cost, &self.hearing, now)
            {
                let message = format!(
                    "customer {customer} is over its rate: cost {cost}, \
                     level {}, {} a second, {} of {} hosts silent",
                    bucket.level(),
                    bucket.per_second(),
                    self.hearing.silent(now).count(),
                    self.hearing.count(),
                );
                let code = RefusalCode::RateLimited;
                let refusal = Refusal::not_run(code, &message);
                let _ = wait.reply.send(Err(refusal.retry_at(Some(at))));
                return;
            }
            wait.refundable = Some((customer, cost));
        }
        if wait.ask.tried.is_empty() {
            self.note_demand(&wait.ask, now);
        }
        self.place(wait, now);
    }

    /// Counts what a call that is within its customer's rate asks for.
    fn note_demand(&mut self, ask: &RelayAsk, now: EpochMillis) {
        let Some(name) = &ask.model else { return };
        self.demand.record(&name.model, ask.tokens, now);
        if name.adapter.is_some() {
            self.demand.record(&name.to_string(), ask.tokens, now);
        }
    }

    /// Sends a call to its runner, or keeps it waiting for one.
    fn place(&mut self, wait: RouteWait, now: EpochMillis) {
        if wait.reply.is_closed() {
            return;
        }
        match self.table.pick(&wait.ask, &self.catalog, now) {
            Ok(choice) => self.send(wait, choice, now),
            Err(fault) => self.keep(wait, fault, now),
        }
    }

    fn send(
        &mut self,
        wait: RouteWait,
        choice: RelayChoice,
        now: EpochMillis,
    ) {
        let link = self.links.take(&choice.runner);
        let routed = RoutedCall { choice, link };
        if let Err(Ok(unheard)) = wait.reply.send(Ok(routed)) {
            // The caller went away while its call waited.
            let choice = &unheard.choice;
            self.table.done(choice, false, CallEnd::Neutral, now);
        }
    }

    fn keep(&mut self, wait: RouteWait, fault: PickFault, now: EpochMillis) {
        if fault == PickFault::NoAdapter
            && let Some(name) = &wait.ask.model
        {
            self.want(name, now);
        }
        if fault == PickFault::AllTried || wait.until <= now {
            let code = RefusalCode::NoRunner;
            let reason = self.reason(&wait.ask, fault, now);
            self.refuse(wait, code, &reason, now);
            return;
        }
        self.waiting.push(wait);
        self.setup.metrics.waiting.set(self.waiting.len() as i64);
    }

    /// Returns why no runner was chosen, with the load that decided it.
    fn reason(
        &self,
        ask: &RelayAsk,
        fault: PickFault,
        now: EpochMillis,
    ) -> String {
        let text = fault.text();
        if fault != PickFault::Full {
            return text.to_owned();
        }
        let crowd = self.table.crowd(ask, now);
        let LoadBasis { own, told, oldest_ms } = crowd.basis;
        format!(
            "{text}: {} runners with {} slots, {} tokens, {own} calls of \
             this host, {told} told by others up to {oldest_ms} ms ago",
            crowd.runners, crowd.slots, crowd.tokens,
        )
    }

    /// Tells the host that orders that an adapter is missing, though not for
    /// each call that waits for it.
    fn want(&mut self, name: &ModelName, now: EpochMillis) {
        let again = |at: &EpochMillis| now < at.after(WANT_PERIOD);
        if self.wanted.get(name).is_some_and(again) {
            return;
        }
        self.wanted.retain(|_, at| again(at));
        self.wanted.insert(name.clone(), now);
        self.setup.herald.want(name);
    }

    fn refuse(
        &mut self,
        wait: RouteWait,
        code: RefusalCode,
        reason: &str,
        now: EpochMillis,
    ) {
        if let Some((customer, cost)) = &wait.refundable
            && let Some(bucket) = self.rates.get_mut(customer)
        {
            bucket.give_back(*cost);
        }
        let refusal = Refusal::not_run(code, reason);
        let again = now.after(RETRY_WAIT);
        let _ = wait.reply.send(Err(refusal.retry_at(Some(again))));
    }

    /// Looks again at the calls that wait, the oldest first.
    fn pump(&mut self) {
        self.look_at = None;
        if self.waiting.is_empty() {
            return;
        }
        let now = self.setup.clock.now();
        for wait in std::mem::take(&mut self.waiting) {
            self.place(wait, now);
        }
        self.setup.metrics.waiting.set(self.waiting.len() as i64);
    }

    fn done(&mut self, done: RelayDone) {
        let now = self.setup.clock.now();
        self.table.done(&done.choice, done.heard, done.end, now);
        if let Some((link, until)) = done.link
            && self.table.takes_calls(&done.choice.runner)
        {
            self.links.keep(&done.choice.runner, link, until);
        }
        self.pump();
    }

    fn told(&mut self, digest: &HostDigest, at: EpochMillis) {
        self.hearing.heard(&digest.host, at);
        let fell = self.table.told(&digest.host, &digest.loads, at);
        if fell && !self.waiting.is_empty() {
            self.look_at.get_or_insert(at.after(LOOK_PAUSE));
        }
        for spent in &digest.spent {
            if let Some(bucket) = self.rates.get_mut(&spent.customer) {
                let SpentTotal { total, level, .. } = *spent;
                let incarnation = digest.incarnation;
                bucket.told(&digest.host, incarnation, total, level);
            }
        }
    }

    fn digest(&self) -> HostDigest {
        HostDigest {
            loads: self.table.loads(),
            spent: self
                .rates
                .iter()
                .map(|(customer, bucket)| SpentTotal {
                    customer: customer.clone(),
                    total: bucket.spent(),
                    level: bucket.known_level(),
                })
                .collect(),
            ..HostDigest::default()
        }
    }
}

fn stopped() -> Refusal {
    Refusal::not_run(RefusalCode::NotReady, "the host is shutting down")
}
