//! The task that brings usage records to the object store.
//!
//! Records wait here in batches, each under a name that never changes. A
//! batch is written with insert-if-absent until the store confirms it, so an
//! answer lost after the write doesn't record it twice. Hosts keep nothing
//! when they die, so each batch is copied to another host of the zone, which
//! writes it under the same name if it doesn't hear in time that it was
//! confirmed.

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
    wire::{peer::PeerAsk, table::exchange},
};

/// Time between two batches.
const BATCH_PERIOD: Duration = Duration::from_millis(100);
/// Time between two tries of the store after a failure.
const RETRY_PERIOD: Duration = Duration::from_millis(1_000);
/// Records of one batch.
const MAX_BATCH: usize = 4_096;
/// Time after which another host's batch is written here.
const COPY_WRITE_DELAY: Duration = Duration::from_secs(10);
/// Batches of other hosts that are kept at once.
const MAX_COPIES: usize = 65_536;

/// What another host asks of the task.
pub(crate) enum UsageCopy {
    /// Keep a copy of a batch.
    Keep(UsageBatch),
    /// The batch of this name is in the store.
    Confirmed(String),
}

/// The way to the task for callers' requests.
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

/// A batch of another host, written here from its deadline on.
struct BatchCopy {
    batch: UsageBatch,
    deadline: Instant,
}

/// What the task is started with.
pub(crate) struct UsageSetup {
    /// Address of the object store; without one nothing is recorded.
    pub(crate) store: Option<String>,
    pub(crate) host: String,
    /// Random number of the process.
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
    /// A batch of this host, and the host that keeps a copy.
    Own(UsageBatch, Option<String>),
    /// What another host asks.
    Copy(UsageCopy),
}

/// State of the task that writes to the store.
struct StoreTask {
    store: Option<String>,
    peers: PeerPort,
    metrics: HostMetrics,
    /// Own batches that are not confirmed, each with the host that keeps a
    /// copy.
    batches: VecDeque<(UsageBatch, Option<String>)>,
    copies: Vec<BatchCopy>,
}

/// Makes the mailbox for other hosts' batches.
pub(crate) fn copies_mailbox()
-> (mpsc::Sender<UsageCopy>, mpsc::Receiver<UsageCopy>) {
    mpsc::channel(MAILBOX_CAPACITY)
}

/// Starts the tasks; they end, after a last try, when the port is dropped.
pub(crate) fn start(
    setup: UsageSetup,
    copies: mpsc::Receiver<UsageCopy>,
) -> (UsagePort, tokio::task::JoinHandle<()>) {
    let (sender, inbox) = mpsc::channel(MAX_IN_FLIGHT);
    let (store, events) = mpsc::channel(MAILBOX_CAPACITY);
    let seal = SealTask {
        host: setup.host,
        nonce: setup.nonce,
        sequence: 0,
        peers: setup.peers.clone(),
        neighbours: setup.neighbours,
        store,
    };
    let write = StoreTask {
        store: setup.store,
        peers: setup.peers,
        metrics: setup.metrics,
        batches: VecDeque::new(),
        copies: Vec::new(),
    };
    super::spawn(seal.run(inbox, copies));
    (UsagePort { sender }, super::spawn(write.run(events)))
}

impl SealTask {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<UsageRecord>,
        mut copies: mpsc::Receiver<UsageCopy>,
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

    /// Makes a batch of the records and copies it to another host.
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

    /// Copies a batch to the first host that takes it.
    async fn copy(&self, batch: &UsageBatch) -> Option<String> {
        let neighbours = self.neighbours.borrow().clone();
        for address in neighbours {
            let request = PeerAsk::KeepUsage { batch: batch.clone() };
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
            StoreEvent::Copy(UsageCopy::Keep(batch)) => {
                if MAX_COPIES <= self.copies.len() {
                    tracing::error!(event = "usage_copy_refused");
                    return;
                }
                let deadline = Instant::now() + COPY_WRITE_DELAY;
                self.copies.push(BatchCopy { batch, deadline });
            }
            StoreEvent::Copy(UsageCopy::Confirmed(name)) => {
                self.copies.retain(|copy| copy.batch.object_name() != name);
            }
        }
    }

    /// Point at which the next batch is to be written, if there is one.
    fn due(&self) -> Option<Instant> {
        if !self.batches.is_empty() {
            return Some(Instant::now());
        }
        self.copies.first().map(|copy| copy.deadline)
    }

    /// Writes an own batch, or one of another host whose time has come.
    async fn write_next(&mut self) -> anyhow::Result<()> {
        let Some(store) = self.store.as_deref() else { return Ok(()) };
        if let Some((batch, copy_host)) = self.batches.front() {
            put(store, batch).await?;
            if let Some(copy_host) = copy_host {
                let name = batch.object_name();
                self.peers.usage_confirmed(copy_host, &name);
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

    fn waiting(&self) -> usize {
        self.batches.iter().map(|(batch, _)| batch.records.len()).sum()
    }
}

/// Sleeps until a point, or for ever.
async fn sleep_until(point: Option<Instant>) {
    match point {
        Some(point) => tokio::time::sleep_until(point).await,
        None => std::future::pending().await,
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
