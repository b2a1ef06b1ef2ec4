//! Start and shutdown of a host that serves a platform through an adapter.

use std::time::Duration;

use tokio::{
    net::{TcpListener, UdpSocket},
    sync::{mpsc, watch},
    task::JoinHandle,
    time::Instant,
};
use tracing::Instrument as _;

use super::{
    NodeContext, NodePhase, acceptor, control, evacuations, gossip,
    gossip::GossipSetup,
    gossip_port,
    placer::{self, PlacerSetup},
    registry::{self, ZoneFeed},
    router,
    router::RouterSetup,
    router_port,
    watcher::{self, WatcherSetup, WatcherViews},
};
use crate::{
    clock::HostClock,
    intake::IntakeLimits,
    membership::{HostCapacity, HostRow, PeerContact},
    metrics::HostMetrics,
    placement::BroadcastFanout,
    port::{EdgeCodec, StorePort},
    relay::ColdBounds,
    request::{CallScheduling, RetryAllowance},
    step::{StepContext as _, StepName},
    tasks::{intake, machine},
    wire::link,
};

/// Time for which a leaving host still accepts connections: the load balancer
/// probes once a second and takes a host out after the second failed probe.
const LEAVE_GRACE: Duration = Duration::from_millis(2_600);
/// Time reserved at the end of the platform's grace period for the exit of the
/// process.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Options with which a host is started.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeOptions {
    /// Name of the host.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Address for callers, as `IP:PORT`.
    pub front: String,
    /// Address for the load balancer's readiness probes, as `IP:PORT`.
    pub ready: String,
    /// Address for metrics and snapshots, as `IP:PORT`; optional.
    pub control: Option<String>,
    /// Address for other hosts (UDP), as `IP:PORT`.
    pub peers: String,
    /// Control addresses of other hosts.
    pub seeds: Vec<String>,
    /// What the host may use of its machine; `None` if that isn't known, and
    /// then the host is never an aggregator.
    pub capacity: Option<HostCapacity>,
    /// Memory that the process may use, in bytes; if absent, that of its
    /// control group or its machine.
    pub memory_bytes: Option<u64>,
    /// Descriptors that the process may open; if absent, its own limit.
    pub max_descriptors: Option<u64>,
    /// Number of hosts from which they exchange their state through one
    /// aggregator a zone.
    pub aggregation_from: usize,
    /// Time from SIGTERM until the platform kills the process.
    pub grace: Duration,
    /// Time after a fault of the store or the network from which the platform
    /// expects this host to keep its bounds again.
    pub recovery_time: Duration,
    /// Window within which the platform counts orders of two hosts as
    /// alternating.
    pub order_alternation_window: Duration,
    /// Window over which the platform counts loads from the weight store.
    pub load_window: Duration,
    /// Retries allowed to a service per call, over all hosts.
    pub retry_share: f64,
    /// Retries allowed to a service beyond `retry_share`, in each window.
    pub retry_slack: f64,
    /// Window over which the platform counts calls and retries.
    pub retry_window: Duration,
    /// How calls are given to runners and wait for them.
    pub scheduling: CallScheduling,
    /// Factor on what a cold runner tolerates, up to which the platform lets
    /// all hosts send.
    pub cold_overshoot: f64,
    /// Calls per second to a cold runner that are allowed beyond that.
    pub cold_slack: f64,
    /// Time after the operator's write from which nothing may be sent to the
    /// runners of an evacuated zone.
    pub evacuation_time: Duration,
}

/// A host whose sockets are open and whose tasks are running.
pub struct RunningNode {
    phase: watch::Sender<NodePhase>,
    acceptor: JoinHandle<()>,
    grace: Duration,
    span: tracing::Span,
}

/// Opens the sockets of a host and starts its tasks.
///
/// # Errors
///
/// Returns an error if an address can't be bound.
pub async fn start<C: EdgeCodec>(
    options: &NodeOptions,
    codec: C,
    store: StorePort,
) -> anyhow::Result<RunningNode> {
    let span = tracing::info_span!(
        "host",
        host = options.host.as_str(),
        zone = options.zone.as_str(),
    );
    start_tasks(options, codec, store, span.clone()).instrument(span).await
}

async fn start_tasks<C: EdgeCodec>(
    options: &NodeOptions,
    codec: C,
    store: StorePort,
    span: tracing::Span,
) -> anyhow::Result<RunningNode> {
    let front = listen(&options.front)?;
    let ready = listen(&options.ready)?;
    let gossip_socket = UdpSocket::bind(&options.peers)
        .await
        .at(StepName::Listen, &options.peers)?;
    let clock = HostClock::default();
    let metrics = HostMetrics::default();
    let (contact_sender, contact_receiver) =
        watch::channel(PeerContact::default());
    let (is_reader, reader_receiver) = watch::channel(true);
    let (excerpt_sender, excerpts) = mpsc::channel(registry::MAX_EXCERPTS);
    let (gossip_port, gossip_inbox) = gossip_port::mailbox();
    let zone_feed = ZoneFeed {
        is_reader: reader_receiver,
        excerpts,
        gossip: gossip_port.clone(),
    };
    let (evacuation_port, evacuations) = evacuations::start(metrics.clone());
    let WatcherViews { catalog, evidence, roster, contact } = watcher::start(
        &WatcherSetup {
            codec: codec.clone(),
            store: store.clone(),
            clock: clock.clone(),
            metrics: metrics.clone(),
            seeds: options.seeds.clone(),
            peer_contact: contact_receiver,
            recovery_time: options.recovery_time,
            evacuation_time: options.evacuation_time,
            evacuations: evacuation_port.clone(),
        },
        zone_feed,
    );
    let (phase, phase_receiver) = watch::channel(NodePhase::Serving);
    let (claims, claims_receiver) = watch::channel(Vec::new());
    let (verdicts, verdicts_receiver) = watch::channel(Vec::new());
    let (router_port, router_inbox) = router_port::mailbox();
    let setup = RouterSetup {
        host: options.host.clone(),
        zone: options.zone.clone(),
        clock: clock.clone(),
        catalog: catalog.clone(),
        roster: roster.clone(),
        evacuations: evacuations.clone(),
        gossip: gossip_port.clone(),
        allowance: RetryAllowance {
            share: options.retry_share,
            slack: options.retry_slack,
            window: options.retry_window,
        },
        scheduling: options.scheduling,
        cold_bounds: ColdBounds {
            overshoot: options.cold_overshoot,
            slack: options.cold_slack,
            contact: options.recovery_time,
        },
        claims,
        verdicts,
        metrics: metrics.clone(),
    };
    router::start(setup, router_inbox);
    let row = HostRow {
        host: options.host.clone(),
        zone: options.zone.clone(),
        address: options.peers.clone(),
        incarnation: rand::random(),
        capacity: options.capacity,
        retry_claims: Vec::new(),
        verdicts: Vec::new(),
    };
    let (fanout, fanout_receiver) = watch::channel(BroadcastFanout::direct(1));
    let (may_order, may_order_receiver) = watch::channel(true);
    let (placer_sender, placer_inbox) = mpsc::channel(placer::MAILBOX);
    let setup = PlacerSetup {
        row: row.clone(),
        codec: codec.clone(),
        store: store.clone(),
        clock: clock.clone(),
        catalog: catalog.clone(),
        roster: roster.clone(),
        evacuations: evacuations.clone(),
        gossip: gossip_port.clone(),
        phase: phase_receiver.clone(),
        alternation_window: options.order_alternation_window,
        load_window: options.load_window,
        fanout: fanout_receiver,
        may_order: may_order_receiver,
    };
    placer::start(setup, placer_inbox);
    let setup = GossipSetup {
        row,
        store,
        seeds: options.seeds.clone(),
        clock: clock.clone(),
        metrics: metrics.clone(),
        contact,
        peer_contact: contact_sender,
        is_reader,
        excerpts: excerpt_sender,
        aggregation_from: options.aggregation_from,
        fanout,
        may_order,
        claims: claims_receiver,
        verdicts: verdicts_receiver,
        evacuations: evacuations.clone(),
        evacuation_port,
    };
    gossip::start(
        setup,
        gossip_socket,
        router_port.clone(),
        gossip_inbox,
        placer_sender,
    );
    let limits = IntakeLimits::of(
        options.memory_bytes.unwrap_or_else(machine::memory_bytes),
        options.max_descriptors.unwrap_or_else(machine::descriptors),
    );
    let intake = intake::start(limits, clock.clone(), metrics.clone());
    let context = NodeContext {
        codec,
        clock,
        catalog,
        evidence,
        evacuations,
        router: router_port,
        gossip: gossip_port,
        metrics,
        phase: phase_receiver,
        intake,
    };
    let listeners =
        [Some(ready), listen_optional(options.control.as_deref())?];
    for listener in listeners.into_iter().flatten() {
        let roster = roster.clone();
        crate::tasks::spawn(control::run(listener, context.clone(), roster));
    }
    let acceptor = crate::tasks::spawn(acceptor::run(front, context));
    tracing::info!(
        event = "host_started",
        front = options.front,
        peers = options.peers,
    );
    Ok(RunningNode { phase, acceptor, grace: options.grace, span })
}

fn listen(address: &str) -> anyhow::Result<TcpListener> {
    link::listen(address).at(StepName::Listen, address)
}

fn listen_optional(
    address: Option<&str>,
) -> anyhow::Result<Option<TcpListener>> {
    address.map(listen).transpose()
}

impl RunningNode {
    /// Shuts the host down. The host reports itself as not ready, accepts
    /// callers until the load balancer has noticed, and stops once every call
    /// in flight is answered or the grace period is over.
    pub async fn shut_down(self) {
        let span = self.span.clone();
        self.leave().instrument(span).await;
    }

    async fn leave(self) {
        let began = Instant::now();
        tracing::info!(event = "host_leaving");
        self.phase.send_replace(NodePhase::Leaving);
        tokio::time::sleep_until(began + LEAVE_GRACE).await;
        self.phase.send_replace(NodePhase::Ending);
        let deadline = began + self.grace.saturating_sub(EXIT_MARGIN);
        if tokio::time::timeout_at(deadline, self.acceptor).await.is_err() {
            tracing::warn!(event = "drain_limit_reached");
        }
        tracing::info!(event = "host_stopped");
    }
}
