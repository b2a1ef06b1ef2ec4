//! The task that knows the runners and the queue before them.

use std::time::Duration;

use tokio::{
    sync::{mpsc, oneshot, watch},
    time::Instant,
};

use super::{
    MAILBOX, MAX_IN_FLIGHT,
    runner::{self, RunnerPort},
};
use crate::{
    clock::{EpochMillis, HostClock},
    metrics::HostMetrics,
    placement::{DemandMeter, ModelDemand},
    request::{
        FairQueue, Refusal, RefusalCode, RetryBudget, RouteChoice, RouteQuery,
        RouteReason, RouteTable, RunResult,
    },
    runner::RunnerReport,
    settings::SettingsView,
    sorted::SortedTable,
};

/// Longest wait of the task when nothing is due.
const IDLE_WAIT: Duration = Duration::from_secs(60);

/// Message to the task.
pub(crate) enum DispatchEvent {
    /// Choose a runner for a request.
    Route(RouteWait),
    /// A runner reported.
    Report { name: String, report: RunnerReport },
    /// A runner doesn't report any more.
    Silent { name: String },
    /// Say where a request would go, the first choice first.
    Explain(RouteQuery, oneshot::Sender<Vec<RouteReason>>),
    /// Say what each model is asked for.
    Demand(oneshot::Sender<ModelDemand>),
    /// Say what each runner in service looks like.
    Status(oneshot::Sender<Vec<RunnerStatus>>),
}

/// A request that waits for its runner.
pub(crate) struct RouteWait {
    pub(crate) ask: RouteQuery,
    /// Who is charged in the fair queue; empty for open routes.
    pub(crate) customer: String,
    /// The customer's rate, as its weight.
    pub(crate) weight: u64,
    pub(crate) deadline: EpochMillis,
    pub(crate) reply: oneshot::Sender<Result<RoutedRunner, Refusal>>,
}

/// The runner chosen and the way to it.
pub(crate) struct RoutedRunner {
    pub(crate) choice: RouteChoice,
    pub(crate) port: RunnerPort,
}

/// A runner in service, for people.
#[derive(Clone, Debug, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct RunnerStatus {
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) active: u32,
    pub(crate) tokens_per_second: Option<f64>,
    pub(crate) models: Vec<String>,
}

/// End of a routed request.
struct RouteDone {
    choice: RouteChoice,
    result: RunResult,
}

/// The way to the task.
#[derive(Clone)]
pub(crate) struct DispatchPort {
    pub(crate) sender: mpsc::Sender<DispatchEvent>,
    done: mpsc::Sender<RouteDone>,
}

/// A booking on a runner; dropped without an end it counts as neutral.
pub(crate) struct RouteSlot {
    pub(crate) choice: RouteChoice,
    pub(crate) port: RunnerPort,
    permit: Option<mpsc::OwnedPermit<RouteDone>>,
}

impl RouteSlot {
    /// Books how the request ended.
    pub(crate) fn finish(mut self, result: RunResult) {
        self.send(result);
    }

    fn send(&mut self, result: RunResult) {
        let Some(permit) = self.permit.take() else { return };
        permit.send(RouteDone { choice: self.choice.clone(), result });
    }
}

impl Drop for RouteSlot {
    fn drop(&mut self) {
        self.send(RunResult::Neutral);
    }
}

impl DispatchPort {
    /// Waits for a runner.
    pub(crate) async fn route(
        &self,
        ask: &RouteQuery,
        customer: &str,
        weight: u64,
        deadline: EpochMillis,
    ) -> Result<RouteSlot, Refusal> {
        // The room for the end is taken first, so that an end never waits.
        let permit = self.done.clone().reserve_owned().await;
        let permit = permit.map_err(|_| stopped())?;
        let (reply, answer) = oneshot::channel();
        let wait = RouteWait {
            ask: ask.clone(),
            customer: customer.to_owned(),
            weight,
            deadline,
            reply,
        };
        let sent = self.sender.send(DispatchEvent::Route(wait)).await;
        sent.map_err(|_| stopped())?;
        let routed = answer.await.map_err(|_| stopped())??;
        Ok(RouteSlot {
            choice: routed.choice,
            port: routed.port,
            permit: Some(permit),
        })
    }
}

/// State of the task.
struct DispatchTask {
    clock: HostClock,
    table: RouteTable,
    queue: FairQueue<RouteWait>,
    demand: DemandMeter,
    budget: RetryBudget,
    ports: SortedTable<String, (String, RunnerPort)>,
    sender: mpsc::Sender<DispatchEvent>,
    /// Time between two reports of each runner.
    period: watch::Sender<Duration>,
    started: Instant,
    metrics: HostMetrics,
}

/// Starts the task.
pub(crate) fn start(
    zone: &str,
    clock: &HostClock,
    settings: watch::Receiver<SettingsView>,
    metrics: &HostMetrics,
) -> DispatchPort {
    let (sender, inbox) = mpsc::channel(MAILBOX);
    let (done, ends) = mpsc::channel(MAX_IN_FLIGHT);
    let task = DispatchTask {
        clock: clock.clone(),
        table: RouteTable::new(zone),
        queue: FairQueue::default(),
        demand: DemandMeter::default(),
        budget: RetryBudget::default(),
        ports: SortedTable::default(),
        sender: sender.clone(),
        period: watch::Sender::new(runner::report_period(0)),
        started: Instant::now(),
        metrics: metrics.clone(),
    };
    super::spawn(task.run(inbox, ends, settings));
    DispatchPort { sender, done }
}

impl DispatchTask {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<DispatchEvent>,
        mut ends: mpsc::Receiver<RouteDone>,
        mut settings: watch::Receiver<SettingsView>,
    ) {
        self.adopt(&settings.borrow_and_update().clone());
        loop {
            let wake = self.wake();
            tokio::select! {
                event = inbox.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                Some(done) = ends.recv() => {
                    let now = self.clock.now();
                    self.table.end_request(&done.choice, done.result, now);
                }
                changed = settings.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let view = settings.borrow_and_update().clone();
                    self.adopt(&view);
                }
                () = tokio::time::sleep_until(wake) => {}
            }
            self.pump();
        }
    }

    /// Point at which the next waiting request is to be refused.
    fn wake(&self) -> Instant {
        let now = self.clock.now();
        let left = self.queue.next_deadline().map(|at| now.until(at));
        Instant::now() + left.unwrap_or(IDLE_WAIT)
    }

    fn handle(&mut self, event: DispatchEvent) {
        match event {
            DispatchEvent::Route(wait) => {
                if wait.ask.reruns == 0 {
                    self.budget.earn();
                } else if !self.budget.spend() {
                    let _ = wait.reply.send(Err(Refusal::not_run(
                        RefusalCode::NoRunner,
                        "too many requests are being run again",
                    )));
                    return;
                }
                if let Some(name) = &wait.ask.model {
                    let now = self.clock.now();
                    self.demand.record(&name.model, wait.ask.tokens, now);
                }
                let customer = wait.customer.clone();
                let deadline = wait.deadline;
                self.queue.push(&customer, wait, deadline);
            }
            DispatchEvent::Report { name, report } => {
                self.table.report(&name, &report, self.clock.now());
            }
            DispatchEvent::Silent { name } => {
                self.table.mark_unresponsive(&name, self.clock.now());
            }
            DispatchEvent::Explain(ask, reply) => {
                let _ = reply.send(self.table.explain(&ask));
            }
            DispatchEvent::Demand(reply) => {
                let _ = reply.send(self.demand.rates(self.clock.now()));
            }
            DispatchEvent::Status(reply) => {
                let _ = reply.send(self.status());
            }
        }
    }

    fn adopt(&mut self, view: &SettingsView) {
        self.table.adopt(&view.state, &view.tree);
        let period = runner::report_period(view.tree.runners.len());
        self.period.send_replace(period);
        self.ports.retain(|name, (address, _)| {
            let plan = view.tree.runner(name);
            plan.is_some_and(|plan| plan.address == *address)
        });
        for plan in &view.tree.runners {
            if self.ports.get(plan.name.as_str()).is_none() {
                let period = self.period.subscribe();
                let port =
                    runner::start(plan, &self.sender, &period, self.started);
                let row = (plan.address.clone(), port);
                self.ports.insert(plan.name.clone(), row);
            }
        }
    }

    /// Sends waiting requests to free runners and refuses those whose time
    /// is up.
    fn pump(&mut self) {
        while let Some(wait) = self.next_ready() {
            let Some(choice) = self.table.pick(&wait.ask) else { break };
            self.queue.charge(&wait.customer, wait.ask.tokens, wait.weight);
            let Some((_, port)) = self.ports.get(choice.runner.as_str())
            else {
                continue;
            };
            let routed = RoutedRunner { choice, port: port.clone() };
            if let Err(Ok(routed)) = wait.reply.send(Ok(routed)) {
                // The caller went away while its request waited.
                let now = self.clock.now();
                self.table.end_request(
                    &routed.choice,
                    RunResult::Neutral,
                    now,
                );
            }
        }
        for wait in self.queue.expire(self.clock.now()) {
            let message = if self.table.reachable(&wait.ask) {
                "no runner came free in time"
            } else {
                "no runner in service has what the request needs"
            };
            let refusal = Refusal::not_run(RefusalCode::NoRunner, message);
            let _ = wait.reply.send(Err(refusal));
        }
        self.metrics.waiting.set(self.queue.len() as i64);
    }

    fn next_ready(&mut self) -> Option<RouteWait> {
        let table = &self.table;
        self.queue.pop(|wait| table.is_free(&wait.ask))
    }

    fn status(&self) -> Vec<RunnerStatus> {
        let runners = self.table.serving();
        runners
            .map(|runner| RunnerStatus {
                name: runner.settings.name.clone(),
                zone: runner.settings.zone.clone(),
                active: runner.active,
                tokens_per_second: runner.speed.tokens_per_second(),
                models: runner.state.report.models.clone(),
            })
            .collect()
    }
}

fn stopped() -> Refusal {
    Refusal::not_run(RefusalCode::NotReady, "the host is shutting down")
}
