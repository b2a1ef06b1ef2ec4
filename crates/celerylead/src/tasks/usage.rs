//! The tasks that write usage records to the object store.
//!
//! Records are collected in batches, each under a name that never changes. A
//! batch is written with insert-if-absent until the store confirms it, so a
//! write whose answer is lost doesn't record the batch twice. A host keeps no
//! state when it dies, so each batch is copied to another host of the zone.
//! That host writes the batch under the same name unless it learns in time
//! that the store has confirmed the batch.

use std::{collections::VecDeque, time::Duration};

use hyper::Method;
use tokio::{
    sync::{mpsc, watch},
    time::{Instant, MissedTickBehavior},
};

use super::{MAILBOX_CAPACITY, MAX_IN_FLIGHT, peer::PeerPort};
use crate::{
    metrics::HostMetrics,
    step::{StepContext as _, StepName},
    usage::{UsageBatch, UsageRecord},
    wire::{peer::PeerRequest, table::exchange},
};

/// Interval between two batches.
const BATCH_PERIOD: Duration = Duration::from_millis(100);
/// Interval between two attempts to write to the store, after a failure.
const RETRY_PERIOD: Duration = Duration::from_millis(1_000);
/// Number of collected records from which a batch is sealed before its period
/// ends; also the largest number that is received at once.
const MAX_BATCH: usize = 4_096;
/// Time after which this host writes the copy of another host's batch, unless
/// the batch was confirmed.
const COPY_WRITE_DELAY: Duration = Duration::from_secs(10);
/// Upper bound on the batches of other hosts that are kept at once.
const MAX_COPIES: usize = 65_536;

/// Message from another host about a copy.
pub(crate) enum CopyEvent {
    /// Keep a copy of a batch.
    Keep(UsageBatch),
    /// The batch of this name is in the store, so its copy isn't needed any
    /// more.
    Confirmed(String),
}

/// Handle with which the tasks of callers record usage.
#[derive(Clone)]
pub(crate) struct UsagePort {
    sender: mpsc::Sender<UsageRecord>,
}

/// Mailbox capacity for one record. It is reserved before the request is sent,
/// so that the usage of an answered request can always be recorded.
pub(crate) struct UsageSlot {
    permit: mpsc::OwnedPermit<UsageRecord>,
}

impl UsageSlot {
    /// Records the usage of a request.
    pub(crate) fn record(self, record: UsageRecord) {
        self.permit.send(record);
    }
}

impl UsagePort {
    /// Reserves mailbox capacity for a record. Returns `None` if the task has
    /// ended.
    pub(crate) async fn reserve(&self) -> Option<UsageSlot> {
        let permit = self.sender.clone().reserve_owned().await.ok()?;
        Some(UsageSlot { permit })
    }
}

/// Copy of another host's batch, which this host writes from the deadline on.
struct BatchCopy {
    batch: UsageBatch,
    deadline: Instant,
}

/// Configuration and handles with which the tasks are started.
pub(crate) struct UsageSetup {
    /// Address of the object store. Without it, nothing is recorded.
    pub(crate) store: Option<String>,
    pub(crate) host: String,
    /// Random number that identifies the process.
    pub(crate) nonce: u64,
    pub(crate) peers: PeerPort,
    /// Addresses of the other hosts of the zone.
    pub(crate) neighbours: watch::Receiver<Vec<String>>,
    pub(crate) metrics: HostMetrics,
}

/// State of the task that makes batches and copies them.
struct SealTask {
    host: String,
    nonce: u64,
    sequence: u64,
    peers: PeerPort,
    neighbours: watch::Receiver<Vec<String>>,
    store: mpsc::Sender<StoreEvent>,
}

/// Message to the task that writes to the store.
enum StoreEvent {
    /// A batch of this host, and the address of the host that keeps a copy.
    Own(UsageBatch, Option<String>),
    /// Message from another host about a copy.
    Copy(CopyEvent),
}

/// State of the task that writes to the store.
struct StoreTask {
    store: Option<String>,
    peers: PeerPort,
    metrics: HostMetrics,
    /// Batches of this host that aren't confirmed, each with the address of
    /// the host that keeps a copy.
    batches: VecDeque<(UsageBatch, Option<String>)>,
    copies: Vec<BatchCopy>,
}

/// Creates the mailbox for other hosts' batches.
pub(crate) fn copies_mailbox()
-> (mpsc::Sender<CopyEvent>, mpsc::Receiver<CopyEvent>) {
    mpsc::channel(MAILBOX_CAPACITY)
}

/// Starts the tasks. They end, after a last attempt to write the batches, when
/// the handle is dropped.
pub(crate) fn start(
    setup: UsageSetup,
    copies: mpsc::Receiver<CopyEvent>,
) -> (UsagePort, tokio::task::JoinHandle<()>) {
    let (sender, inbox) = mpsc::channel(MAX_IN_FLIGHT);
    let (store, events) = mpsc::channel(MAILBOX_CAPACITY);
    let seal_task = SealTask {
        host: setup.host,
        nonce: setup.nonce,
        sequence: 0,
        peers: setup.peers.clone(),
        neighbours: setup.neighbours,
        store,
    };
    let store_task = StoreTask {
        store: setup.store,
        peers: setup.peers,
        metrics: setup.metrics,
        batches: VecDeque::new(),
        copies: Vec::new(),
    };
    super::spawn(seal_task.run(inbox, copies));
    (UsagePort { sender }, super::spawn(store_task.run(events)))
}

impl SealTask {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<UsageRecord>,
        mut copies: mpsc::Receiver<CopyEvent>,
    ) {
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
                Some(copy) = copies.recv() => {
                    let _ = self.store.send(StoreEvent::Copy(copy)).await;
                    continue;
                }
                _ = period.tick() => {}
            }
            self.seal(&mut records).await;
        }
        self.seal(&mut records).await;
    }

    /// Seals the records into a batch and copies the batch to another host.
    async fn seal(&mut self, records: &mut Vec<UsageRecord>) {
        if records.is_empty() {
            return;
        }
        self.sequence += 1;
        let batch = UsageBatch {
            host: self.host.clone(),
            nonce: self.nonce,
            sequence: self.sequence,
            records: std::mem::take(records),
        };
        let copy_host = self.copy(&batch).await;
        let _ = self.store.send(StoreEvent::Own(batch, copy_host)).await;
    }

    /// Copies a batch to the first host that accepts it, and returns the
    /// address of that host.
    async fn copy(&self, batch: &UsageBatch) -> Option<String> {
        let neighbours = self.neighbours.borrow().clone();
        for address in neighbours {
            let request = PeerRequest::KeepUsage { batch: batch.clone() };
            if self.peers.ask(&address, &request).await.is_some() {
                return Some(address);
            }
        }
        None
    }
}

impl StoreTask {
    async fn run(mut self, mut events: mpsc::Receiver<StoreEvent>) {
        let mut retry_at = Instant::now();
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => break,
                },
                () = sleep_until(self.due().map(|due| due.max(retry_at))) => {
                    retry_at = Instant::now();
                    if let Err(error) = self.write_next().await {
                        retry_at += RETRY_PERIOD;
                        self.record_failure(&error);
                    }
                }
            }
            self.metrics.usage_waiting.set(self.waiting() as i64);
        }
        while !self.batches.is_empty() {
            if let Err(error) = self.write_next().await {
                self.record_failure(&error);
                tracing::error!(
                    event = "usage_left_to_neighbour",
                    records = self.waiting(),
                );
                return;
            }
        }
    }

    fn handle(&mut self, event: StoreEvent) {
        match event {
            StoreEvent::Own(..) if self.store.is_none() => {}
            StoreEvent::Own(batch, copy_host) => {
                self.batches.push_back((batch, copy_host));
            }
            StoreEvent::Copy(CopyEvent::Keep(batch)) => {
                if MAX_COPIES <= self.copies.len() {
                    tracing::error!(event = "usage_copy_refused");
                    return;
                }
                let deadline = Instant::now() + COPY_WRITE_DELAY;
                self.copies.push(BatchCopy { batch, deadline });
            }
            StoreEvent::Copy(CopyEvent::Confirmed(name)) => {
                self.copies.retain(|copy| copy.batch.object_name() != name);
            }
        }
    }

    /// Returns the time at which the next batch is to be written, if there is
    /// one.
    fn due(&self) -> Option<Instant> {
        if !self.batches.is_empty() {
            return Some(Instant::now());
        }
        self.copies.first().map(|copy| copy.deadline)
    }

    /// Writes the next batch of this host or, if there is none, the oldest
    /// copy of another host's batch. It is called when [`Self::due`] has
    /// passed, so the deadline of that copy has passed too.
    async fn write_next(&mut self) -> anyhow::Result<()> {
        let Some(store) = self.store.as_deref() else { return Ok(()) };
        if let Some((batch, copy_host)) = self.batches.front() {
            put(store, batch).await?;
            if let Some(copy_host) = copy_host {
                let name = batch.object_name();
                self.peers.confirm_usage(copy_host, &name);
            }
            self.batches.pop_front();
            return Ok(());
        }
        if let Some(copy) = self.copies.first() {
            put(store, &copy.batch).await?;
            self.copies.remove(0);
        }
        Ok(())
    }

    fn record_failure(&self, error: &anyhow::Error) {
        self.metrics.platform_errors.inc();
        tracing::warn!(event = "usage_delayed", error = format!("{error:#}"));
    }

    /// Returns the number of records of this host that wait to be written.
    fn waiting(&self) -> usize {
        self.batches.iter().map(|(batch, _)| batch.records.len()).sum()
    }
}

/// Sleeps until a point in time, or forever if there is none.
async fn sleep_until(point: Option<Instant>) {
    match point {
        Some(point) => tokio::time::sleep_until(point).await,
        None => std::future::pending().await,
    }
}

/// Writes a batch to the store if it is absent there. A batch that is present
/// counts as written.
async fn put(store: &str, batch: &UsageBatch) -> anyhow::Result<()> {
    let path = format!("/objects/{}?if_absent=true", batch.object_name());
    let body = serde_json::to_vec(batch)?;
    exchange(store, Method::PUT, &path, body)
        .await
        .at(StepName::PutObject, store)?;
    Ok(())
}
