//! The task that knows which zones are evacuated.
//!
//! The feed of the configuration, the seeds and the other hosts tell it what
//! they know, and the newest version of each zone's row counts. The router and
//! the placer follow the list that it publishes.

use std::sync::Arc;

use tokio::sync::{mpsc, oneshot, watch};

use crate::{
    catalog::EvacuationList, metrics::HostMetrics,
    store_version::StoreVersion, tasks::MAILBOX_CAPACITY,
};

/// The newest list of evacuated zones.
pub(crate) type EvacuationWatch = watch::Receiver<Arc<EvacuationList>>;

/// Message to the task.
pub(crate) enum EvacuationEvent {
    /// A row of the feed has changed: zone, version, and whether the row
    /// exists.
    Row { zone: String, version: StoreVersion, is_evacuated: bool },
    /// The whole table was read at this version. Holds the zones with a row,
    /// and its version.
    Table { zones: Vec<(String, StoreVersion)>, version: StoreVersion },
    /// Another host told what it knows.
    Told(EvacuationList),
    /// Replies once all earlier messages are applied.
    Applied(oneshot::Sender<()>),
}

/// Handle with which other tasks send messages to the task.
#[derive(Clone)]
pub(crate) struct EvacuationPort {
    sender: mpsc::Sender<EvacuationEvent>,
}

impl EvacuationPort {
    pub(crate) async fn send(&self, event: EvacuationEvent) {
        let _ = self.sender.send(event).await;
    }

    /// Waits until all messages that were sent before are applied.
    pub(crate) async fn applied(&self) {
        crate::tasks::ask(&self.sender, EvacuationEvent::Applied).await;
    }
}

/// Starts the task, and returns its handle and the list that it publishes.
pub(crate) fn start(
    metrics: HostMetrics,
) -> (EvacuationPort, EvacuationWatch) {
    let (sender, inbox) = mpsc::channel(MAILBOX_CAPACITY);
    let (list, receiver) = watch::channel(Arc::default());
    let task = EvacuationTask { list, metrics };
    crate::tasks::spawn(task.run(inbox));
    (EvacuationPort { sender }, receiver)
}

struct EvacuationTask {
    list: watch::Sender<Arc<EvacuationList>>,
    metrics: HostMetrics,
}

impl EvacuationTask {
    async fn run(self, mut inbox: mpsc::Receiver<EvacuationEvent>) {
        while let Some(event) = inbox.recv().await {
            self.handle(event);
        }
    }

    fn handle(&self, event: EvacuationEvent) {
        let former = self.list.borrow().clone();
        let mut list = EvacuationList::clone(&former);
        let (source, changed) = match event {
            EvacuationEvent::Row { zone, version, is_evacuated } => {
                ("store", list.apply(&zone, version, is_evacuated))
            }
            EvacuationEvent::Table { zones, version } => {
                let zones =
                    zones.iter().map(|(zone, at)| (zone.as_str(), *at));
                let zones: Vec<(&str, StoreVersion)> = zones.collect();
                ("store", list.replace(&zones, version))
            }
            EvacuationEvent::Told(told) => ("host", list.merge(&told)),
            EvacuationEvent::Applied(reply) => {
                let _ = reply.send(());
                return;
            }
        };
        if !changed {
            return;
        }
        for zone in list.evacuated() {
            if !former.is_evacuated(zone) {
                tracing::info!(
                    event = "zone_evacuated",
                    runner_zone = zone,
                    source
                );
            }
        }
        for zone in former.evacuated() {
            if !list.is_evacuated(zone) {
                tracing::info!(
                    event = "zone_readmitted",
                    runner_zone = zone,
                    source
                );
            }
        }
        self.metrics.evacuated_zones.set(list.evacuated().count() as i64);
        self.list.send_replace(Arc::new(list));
    }
}
