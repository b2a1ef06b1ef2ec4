//! The task of one runner, which keeps its idle connections and reads its
//! reports.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{Request, header};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::Instant,
};

use super::{MAILBOX_CAPACITY, dispatch::DispatchEvent};
use crate::{
    runner::RunnerReport,
    settings::{GroupKind, RunnerSettings},
    step::{StepContext as _, StepName},
    wire::link::{HttpLink, SendFault},
};

/// Interval between two reports of a runner. With many runners, the interval
/// is longer, to stay within `MAX_REPORTS_PER_SECOND`.
const REPORT_PERIOD: Duration = Duration::from_millis(500);
/// Upper bound on the reports that a host reads per second, from all its
/// runners.
const MAX_REPORTS_PER_SECOND: u64 = 50;
/// Longest wait for a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Number of consecutive missed reports after which a runner is out of
/// service.
const MAX_MISSED_REPORTS: u32 = 3;
/// Time for which an idle connection may be used again. Servers close idle
/// connections later than this, so a request is rarely sent over a connection
/// that is being closed.
const IDLE_LIMIT: Duration = Duration::from_secs(2);
/// Upper bound on the idle connections kept to one runner.
const MAX_IDLE_LINKS: usize = 256;
/// Largest report.
const MAX_REPORT_BYTES: usize = 4 << 20;

/// Message to a runner's task.
pub(crate) enum RunnerEvent {
    /// Hand out an idle connection, if there is one.
    Checkout(oneshot::Sender<Option<HttpLink>>),
    /// Keep a connection whose answer has ended.
    Return(HttpLink),
}

/// Handle to a runner's task.
#[derive(Clone)]
pub(crate) struct RunnerPort {
    pub(crate) sender: mpsc::Sender<RunnerEvent>,
}

/// State of the task.
struct RunnerTask {
    settings: RunnerSettings,
    idle: Vec<(Instant, HttpLink)>,
    missed_reports: u32,
    period: watch::Receiver<Duration>,
    /// Start of the host. Reports are read at multiples of `REPORT_PERIOD`
    /// after it.
    started: Instant,
    dispatch: mpsc::Sender<DispatchEvent>,
}

/// Returns the interval between two reports of each runner, for this number of
/// runners.
pub(crate) fn report_period(runners: usize) -> Duration {
    let millis = runners as u64 * 1_000 / MAX_REPORTS_PER_SECOND;
    REPORT_PERIOD.max(Duration::from_millis(millis))
}

/// Starts the task of a runner, which ends when its handle is dropped.
pub(crate) fn start(
    settings: &RunnerSettings,
    dispatch: &mpsc::Sender<DispatchEvent>,
    period: &watch::Receiver<Duration>,
    started: Instant,
) -> RunnerPort {
    let (sender, inbox) = mpsc::channel(MAILBOX_CAPACITY);
    let task = RunnerTask {
        settings: settings.clone(),
        idle: Vec::new(),
        missed_reports: 0,
        period: period.clone(),
        started,
        dispatch: dispatch.clone(),
    };
    super::spawn(task.run(inbox));
    RunnerPort { sender }
}

impl RunnerTask {
    async fn run(mut self, mut inbox: mpsc::Receiver<RunnerEvent>) {
        let mut due = Instant::now();
        let (fetched, mut reports) = mpsc::channel(1);
        let mut fetching = false;
        loop {
            tokio::select! {
                event = inbox.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                () = tokio::time::sleep_until(due), if !fetching => {
                    fetching = true;
                    due = self.next_report_at();
                    let settings = self.settings.clone();
                    let fetched = fetched.clone();
                    super::spawn(async move {
                        let report = fetch_report(&settings).await;
                        let _ = fetched.send(report).await;
                    });
                }
                Some(report) = reports.recv() => {
                    fetching = false;
                    self.handle_report(report).await;
                }
            }
        }
    }

    /// Returns the time of the next report. The reports of many runners are
    /// spread over the period, but their times are rounded to multiples of
    /// `REPORT_PERIOD`, as waking up costs a host more than reading several
    /// reports at once.
    fn next_report_at(&self) -> Instant {
        let jitter = rand::random_range(0.8..1.2);
        let wait = self.period.borrow().mul_f64(jitter);
        let due = self.started.elapsed() + wait + REPORT_PERIOD / 2;
        let steps = due.as_millis() / REPORT_PERIOD.as_millis();
        let steps = u32::try_from(steps).unwrap_or(u32::MAX);
        self.started + REPORT_PERIOD * steps
    }

    fn handle(&mut self, event: RunnerEvent) {
        let now = Instant::now();
        self.idle.retain(|(until, link)| now < *until && link.is_ready());
        match event {
            RunnerEvent::Checkout(reply) => {
                let link = self.idle.pop().map(|(_, link)| link);
                let _ = reply.send(link);
            }
            RunnerEvent::Return(link) => {
                if self.idle.len() < MAX_IDLE_LINKS {
                    self.idle.push((now + IDLE_LIMIT, link));
                }
            }
        }
    }

    async fn handle_report(&mut self, report: anyhow::Result<RunnerReport>) {
        let name = self.settings.name.clone();
        let event = match report {
            Ok(report) => {
                self.missed_reports = 0;
                DispatchEvent::Report { name, report }
            }
            Err(error) => {
                self.missed_reports += 1;
                if self.missed_reports != MAX_MISSED_REPORTS {
                    return;
                }
                tracing::warn!(
                    event = "runner_silent",
                    runner = name,
                    error = format!("{error:#}"),
                );
                DispatchEvent::Unresponsive { name }
            }
        };
        let _ = self.dispatch.send(event).await;
    }
}

/// Reads a runner's report.
pub(crate) async fn fetch_report(
    settings: &RunnerSettings,
) -> anyhow::Result<RunnerReport> {
    let path = match settings.kind {
        GroupKind::Model => "/v1/report",
        GroupKind::Service => "/health",
    };
    let peer = settings.address.as_str();
    let deadline = Instant::now() + REPORT_TIMEOUT;
    let request = Request::get(path)
        .header(header::HOST, peer)
        .body(Full::new(Bytes::new()))?;
    let mut link = HttpLink::open(peer, deadline).await?;
    let sent = link.send(request, deadline).await;
    let response =
        sent.map_err(SendFault::into_error).at(StepName::AwaitHead, peer)?;
    if !response.status().is_success() {
        anyhow::bail!("report of {peer} has status {}", response.status());
    }
    if settings.kind == GroupKind::Service {
        return Ok(RunnerReport::default());
    }
    let body = Limited::new(response.into_body(), MAX_REPORT_BYTES);
    let bytes = tokio::time::timeout_at(deadline, body.collect())
        .await
        .at(StepName::ReadBody, peer)?
        .map_err(|error| anyhow::anyhow!("{error}"))?
        .to_bytes();
    serde_json::from_slice(&bytes).at(StepName::Decode, peer)
}
