//! Messages to the gossip task, and from it to the placer, and the handle with
//! which other tasks send them.

use tokio::sync::{mpsc, oneshot};

use crate::{
    membership::{
        FeedExcerpt, HostDigest, HostListing, HostMessage, OrdersRow, ZonePart,
    },
    model::ModelName,
    quarantine::EvidenceReport,
    roster::RunnerStart,
    store_version::StoreVersion,
    tasks::MAILBOX_CAPACITY,
};

/// Message to the gossip task.
pub(crate) enum GossipEvent {
    /// Request an adapter that no runner of the service holds.
    RequestAdapter(ModelName),
    /// Send evidence on parts of prompts to the other hosts at once.
    Evidence(EvidenceReport),
    /// Deliver a message to all hosts, this one included.
    Broadcast(HostMessage),
    /// Send parts of the registry's feed to the other hosts of the zone.
    Excerpts(Vec<FeedExcerpt>),
    /// Request for the hosts that this one knows; `None` before it knows a list.
    ReadHosts(oneshot::Sender<Option<Vec<HostListing>>>),
}

/// Message to the placer about the hosts.
pub(crate) enum PlacerEvent {
    /// Digest of another host or of this one.
    Digest(HostDigest),
    /// Answer of a host to a drain, whose digests go through an aggregator.
    StillUsed(HostDigest),
    /// Demand and uses of a zone.
    Part(ZonePart),
    /// An adapter is missing and a call waits for it.
    AdapterRequested(ModelName),
    /// Another host holds the orders lease; the lease's row and its version.
    LeaseHolder(OrdersRow, StoreVersion),
    /// The holder with this fencing token has released the orders lease.
    LeaseReleased(u64),
}

/// Handle with which other tasks send messages to the gossip task.
#[derive(Clone)]
pub(crate) struct GossipPort {
    sender: mpsc::Sender<GossipEvent>,
}

impl GossipPort {
    /// Requests a missing adapter from the placer of the lease holder. The
    /// router repeats the request while calls wait for the adapter, so a lost
    /// message costs only time.
    pub(crate) fn request_adapter(&self, name: &ModelName) {
        let event = GossipEvent::RequestAdapter(name.clone());
        if self.sender.try_send(event).is_err() {
            tracing::debug!(event = "want_dropped", name = %name);
        }
    }

    /// Sends parts of the registry's feed to the other hosts of the zone. A
    /// host that misses one reads the registry itself.
    pub(crate) fn send_excerpts(&self, excerpts: Vec<FeedExcerpt>) {
        if self.sender.try_send(GossipEvent::Excerpts(excerpts)).is_err() {
            tracing::debug!(event = "excerpt_dropped");
        }
    }

    /// Sends evidence on parts of prompts to the other hosts. It is repeated
    /// with the digests, so a lost message costs only time.
    pub(crate) fn send_evidence(&self, report: EvidenceReport) {
        if self.sender.try_send(GossipEvent::Evidence(report)).is_err() {
            tracing::debug!(event = "evidence_dropped");
        }
    }

    /// Tells the other hosts that a runner refused a connection. The registry
    /// lists its next start, so a lost message costs only time.
    pub(crate) fn report_unreachable(&self, start: RunnerStart) {
        let message = HostMessage::Unreachable(vec![start]);
        if self.sender.try_send(GossipEvent::Broadcast(message)).is_err() {
            tracing::debug!(event = "unreachable_dropped");
        }
    }

    /// Returns the hosts that this one knows, itself included; `None` before it
    /// knows a list.
    pub(crate) async fn hosts(&self) -> Option<Vec<HostListing>> {
        crate::tasks::ask(&self.sender, GossipEvent::ReadHosts).await?
    }

    /// Sends a message to all hosts, this one included.
    pub(crate) async fn broadcast(&self, message: HostMessage) {
        let _ = self.sender.send(GossipEvent::Broadcast(message)).await;
    }
}

/// Creates the handle and the mailbox of the task.
pub(crate) fn mailbox() -> (GossipPort, mpsc::Receiver<GossipEvent>) {
    let (sender, inbox) = mpsc::channel(MAILBOX_CAPACITY);
    (GossipPort { sender }, inbox)
}
