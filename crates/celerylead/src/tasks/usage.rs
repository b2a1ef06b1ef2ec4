//! The task that brings usage records to the object store.
//!
//! Records wait here in batches, each under a name that never changes. A
//! batch is written with insert-if-absent until the store confirms it, so an
//! answer lost after the write doesn't record it twice.

use std::{collections::VecDeque, time::Duration};

use hyper::Method;
use tokio::{sync::mpsc, time::MissedTickBehavior};

use super::MAX_IN_FLIGHT;
use crate::{
    metrics::HostMetrics,
    step::{StepContext as _, StepName},
    usage::{UsageBatch, UsageRecord},
    wire::table::exchange,
};

/// Time between two batches.
const BATCH_PERIOD: Duration = Duration::from_millis(1_000);
/// Records of one batch.
const MAX_BATCH: usize = 4_096;

/// The way to the task.
#[derive(Clone)]
pub(crate) struct UsagePort {
    sender: mpsc::Sender<UsageRecord>,
}

/// Room for one record; it is taken before the request is sent, so that an
/// answered request always finds its room.
pub(crate) struct UsageSlot {
    permit: mpsc::OwnedPermit<UsageRecord>,
}

impl UsageSlot {
    /// Records a usage.
    pub(crate) fn record(self, record: UsageRecord) {
        self.permit.send(record);
    }
}

impl UsagePort {
    /// Takes room for a record; `None` where the task has ended.
    pub(crate) async fn reserve(&self) -> Option<UsageSlot> {
        let permit = self.sender.clone().reserve_owned().await.ok()?;
        Some(UsageSlot { permit })
    }
}

/// State of the task.
struct UsageTask {
    store: Option<String>,
    host: String,
    nonce: u64,
    sequence: u64,
    batches: VecDeque<UsageBatch>,
    metrics: HostMetrics,
}

/// Starts the task; it ends, after a last try, when its ports are dropped.
pub(crate) fn start(
    store: Option<&str>,
    host: &str,
    nonce: u64,
    metrics: &HostMetrics,
) -> (UsagePort, tokio::task::JoinHandle<()>) {
    let (sender, inbox) = mpsc::channel(MAX_IN_FLIGHT);
    let task = UsageTask {
        store: store.map(str::to_owned),
        host: host.to_owned(),
        nonce,
        sequence: 0,
        batches: VecDeque::new(),
        metrics: metrics.clone(),
    };
    (UsagePort { sender }, super::spawn(task.run(inbox)))
}

impl UsageTask {
    async fn run(mut self, mut inbox: mpsc::Receiver<UsageRecord>) {
        let mut period = tokio::time::interval(BATCH_PERIOD);
        period.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut records = Vec::new();
        loop {
            tokio::select! {
                received = inbox.recv_many(&mut records, MAX_BATCH) => {
                    if received == 0 {
                        break;
                    }
                    if records.len() < MAX_BATCH {
                        continue;
                    }
                }
                _ = period.tick() => {}
            }
            self.seal(&mut records);
            self.flush().await;
        }
        self.seal(&mut records);
        self.flush().await;
        let left: usize =
            self.batches.iter().map(|batch| batch.records.len()).sum();
        if 0 < left {
            tracing::error!(event = "usage_lost", records = left);
        }
    }

    fn seal(&mut self, records: &mut Vec<UsageRecord>) {
        if records.is_empty() {
            return;
        }
        self.sequence += 1;
        self.batches.push_back(UsageBatch {
            host: self.host.clone(),
            nonce: self.nonce,
            sequence: self.sequence,
            records: std::mem::take(records),
        });
    }

    async fn flush(&mut self) {
        let Some(store) = self.store.clone() else {
            self.batches.clear();
            return;
        };
        while let Some(batch) = self.batches.front() {
            match put(&store, batch).await {
                Ok(()) => {
                    self.batches.pop_front();
                }
                Err(error) => {
                    self.metrics.platform_errors.inc();
                    tracing::warn!(
                        event = "usage_delayed",
                        error = format!("{error:#}"),
                    );
                    break;
                }
            }
        }
        let left: usize =
            self.batches.iter().map(|batch| batch.records.len()).sum();
        self.metrics.usage_waiting.set(left as i64);
    }
}

/// Writes a batch unless it is there; both count as written.
async fn put(store: &str, batch: &UsageBatch) -> anyhow::Result<()> {
    let path = format!("/objects/{}?if_absent=true", batch.object_name());
    let body = serde_json::to_vec(batch)?;
    exchange(store, Method::PUT, &path, body)
        .await
        .at(StepName::PutObject, store)?;
    Ok(())
}
