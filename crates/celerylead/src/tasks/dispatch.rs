//! The task that owns the routing state of the runners and the queue of the
//! requests that wait for one.

use std::time::Duration;

use tokio::{
    sync::{mpsc, oneshot, watch},
    time::Instant,
};

use super::{
    MAILBOX_CAPACITY, MAX_IN_FLIGHT,
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

/// Time after which the task wakes up if nothing is due.
const IDLE_WAIT: Duration = Duration::from_secs(60);

/// Message to the task.
pub(crate) enum DispatchEvent {
    /// Choose a runner for a request.
    Route(WaitingRequest),
    /// Report of a runner.
    Report { name: String, report: RunnerReport },
    /// A runner has stopped answering requests for its report.
    Unresponsive { name: String },
    /// List the runners that could take a request, in the order in which they
    /// would be chosen.
    Explain(RouteQuery, oneshot::Sender<Vec<RouteReason>>),
    /// Return the demand for each model.
    Demand(oneshot::Sender<ModelDemand>),
    /// Return the status of each runner in service.
    Status(oneshot::Sender<Vec<RunnerStatus>>),
}

/// A request that waits for the choice of its runner.
pub(crate) struct WaitingRequest {
    pub(crate) query: RouteQuery,
    /// Customer to whom the fair queue charges the request; empty on open
    /// routes.
    pub(crate) customer: String,
    /// Weight of the customer in the fair queue, which is its rate.
    pub(crate) weight: u64,
    pub(crate) deadline: EpochMillis,
    pub(crate) reply: oneshot::Sender<Result<RoutedRunner, Refusal>>,
}

/// The chosen runner and the handle to its task.
pub(crate) struct RoutedRunner {
    pub(crate) choice: RouteChoice,
    pub(crate) port: RunnerPort,
}

/// Status of a runner in service, as shown to operators.
#[derive(Clone, Debug, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct RunnerStatus {
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) active: u32,
    pub(crate) tokens_per_second: Option<f64>,
    pub(crate) models: Vec<String>,
}

/// How a routed request ended.
struct RouteEnd {
    choice: RouteChoice,
    result: RunResult,
}

/// Handle to the task.
#[derive(Clone)]
pub(crate) struct DispatchPort {
    pub(crate) sender: mpsc::Sender<DispatchEvent>,
    end_sender: mpsc::Sender<RouteEnd>,
}

/// Guard of a request that counts as in flight on its runner. If it is dropped
/// without a result, the request ends as [`RunResult::Neutral`].
pub(crate) struct RouteSlot {
    pub(crate) choice: RouteChoice,
    pub(crate) port: RunnerPort,
    permit: Option<mpsc::OwnedPermit<RouteEnd>>,
}

impl RouteSlot {
    /// Ends the request with its result.
    pub(crate) fn finish(mut self, result: RunResult) {
        self.send(result);
    }

    fn send(&mut self, result: RunResult) {
        let Some(permit) = self.permit.take() else { return };
        permit.send(RouteEnd { choice: self.choice.clone(), result });
    }
}

impl Drop for RouteSlot {
    fn drop(&mut self) {
        self.send(RunResult::Neutral);
    }
}

impl DispatchPort {
    /// Waits for a runner, at most until `deadline`.
    pub(crate) async fn route(
        &self,
        query: &RouteQuery,
        customer: &str,
        weight: u64,
        deadline: EpochMillis,
    ) -> Result<RouteSlot, Refusal> {
        // Mailbox capacity for the request's result is reserved first, so that
        // reporting the result never waits.
        let permit = self.end_sender.clone().reserve_owned().await;
        let permit = permit.map_err(|_| shutting_down())?;
        let (reply, answer) = oneshot::channel();
        let waiting = WaitingRequest {
            query: query.clone(),
            customer: customer.to_owned(),
            weight,
            deadline,
            reply,
        };
        let sent = self.sender.send(DispatchEvent::Route(waiting)).await;
        sent.map_err(|_| shutting_down())?;
        let routed = answer.await.map_err(|_| shutting_down())??;
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
    queue: FairQueue<WaitingRequest>,
    demand: DemandMeter,
    budget: RetryBudget,
    ports: SortedTable<String, (String, RunnerPort)>,
    sender: mpsc::Sender<DispatchEvent>,
    /// Interval between two reports of each runner.
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
    let (sender, inbox) = mpsc::channel(MAILBOX_CAPACITY);
    let (end_sender, ends) = mpsc::channel(MAX_IN_FLIGHT);
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
    DispatchPort { sender, end_sender }
}

impl DispatchTask {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<DispatchEvent>,
        mut ends: mpsc::Receiver<RouteEnd>,
        mut settings: watch::Receiver<SettingsView>,
    ) {
        self.adopt(&settings.borrow_and_update().clone());
        loop {
            let wake_at = self.wake_at();
            tokio::select! {
                event = inbox.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                Some(end) = ends.recv() => {
                    let now = self.clock.now();
                    self.table.end_request(&end.choice, end.result, now);
                }
                changed = settings.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let view = settings.borrow_and_update().clone();
                    self.adopt(&view);
                }
                () = tokio::time::sleep_until(wake_at) => {}
            }
            self.dispatch_waiting();
        }
    }

    /// Returns the time at which the next waiting request is to be refused, or
    /// the end of `IDLE_WAIT` if no request waits.
    fn wake_at(&self) -> Instant {
        let now = self.clock.now();
        let left = self.queue.next_deadline().map(|at| now.until(at));
        Instant::now() + left.unwrap_or(IDLE_WAIT)
    }

    fn handle(&mut self, event: DispatchEvent) {
        match event {
            DispatchEvent::Route(waiting) => {
                if waiting.query.reruns == 0 {
                    self.budget.earn();
                } else if !self.budget.spend() {
                    let _ = waiting.reply.send(Err(Refusal::not_run(
                        RefusalCode::NoRunner,
                        "too many requests are being run again",
                    )));
                    return;
                }
                if let Some(name) = &waiting.query.model {
                    let now = self.clock.now();
                    self.demand.record(&name.model, waiting.query.tokens, now);
                }
                let customer = waiting.customer.clone();
                let deadline = waiting.deadline;
                self.queue.push(&customer, waiting, deadline);
            }
            DispatchEvent::Report { name, report } => {
                self.table.report(&name, &report, self.clock.now());
            }
            DispatchEvent::Unresponsive { name } => {
                self.table.mark_unresponsive(&name, self.clock.now());
            }
            DispatchEvent::Explain(query, reply) => {
                let _ = reply.send(self.table.explain(&query));
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
            let settings = view.tree.runner(name);
            settings.is_some_and(|settings| settings.address == *address)
        });
        for settings in &view.tree.runners {
            if self.ports.get(settings.name.as_str()).is_none() {
                let period = self.period.subscribe();
                let port = runner::start(
                    settings,
                    &self.sender,
                    &period,
                    self.started,
                );
                let entry = (settings.address.clone(), port);
                self.ports.insert(settings.name.clone(), entry);
            }
        }
    }

    /// Assigns waiting requests to free runners, and refuses the requests
    /// whose deadline has passed.
    fn dispatch_waiting(&mut self) {
        while let Some(waiting) = self.next_ready() {
            let Some(choice) = self.table.pick(&waiting.query) else { break };
            self.queue.charge(
                &waiting.customer,
                waiting.query.tokens,
                waiting.weight,
            );
            let Some((_, port)) = self.ports.get(choice.runner.as_str())
            else {
                continue;
            };
            let routed = RoutedRunner { choice, port: port.clone() };
            if let Err(Ok(routed)) = waiting.reply.send(Ok(routed)) {
                // The caller disconnected while its request was waiting.
                let now = self.clock.now();
                self.table.end_request(
                    &routed.choice,
                    RunResult::Neutral,
                    now,
                );
            }
        }
        for waiting in self.queue.expire(self.clock.now()) {
            let message = if self.table.reachable(&waiting.query) {
                "no runner came free in time"
            } else {
                "no runner in service has what the request needs"
            };
            let refusal = Refusal::not_run(RefusalCode::NoRunner, message);
            let _ = waiting.reply.send(Err(refusal));
        }
        self.metrics.waiting.set(self.queue.len() as i64);
    }

    fn next_ready(&mut self) -> Option<WaitingRequest> {
        let table = &self.table;
        self.queue.pop(|waiting| table.is_free(&waiting.query))
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

fn shutting_down() -> Refusal {
    Refusal::not_run(RefusalCode::NotReady, "the host is shutting down")
}
