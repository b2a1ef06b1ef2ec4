//! The task that owns the UDP socket between hosts.
//!
//! The task sends digests of this host's load to the other hosts. The sends
//! are spread over time, and hosts of the same availability zone get digests
//! more often than hosts of other zones. In a large fleet they go through the
//! aggregators of the zones instead. Received messages are passed on to
//! the router and the placer. The other hosts are those in the hosts' table;
//! each host writes its own row there when the row is missing.

use std::{net::SocketAddr, sync::Arc};

use tokio::{
    net::UdpSocket,
    sync::{Notify, mpsc, watch},
    time::{Instant, MissedTickBehavior},
};

use super::{
    aggregation::AggregationDesk,
    evacuations::{EvacuationEvent, EvacuationPort, EvacuationWatch},
    gossip_port::{GossipEvent, PlacerEvent},
    host_rows::{self, HostsReading},
    router_port::{RouterEvent, RouterPort, RouterReport},
    seed_hosts,
};
use crate::{
    catalog::EvacuationList,
    clock::HostClock,
    membership::{
        FeedExcerpt, GOSSIP_TICK, GossipTick, HostCapacity, HostDigest,
        HostListing, HostMessage, HostOrigin, HostRow, PeerContact,
        RegistryContact,
    },
    metrics::HostMetrics,
    model::ModelName,
    placement::{
        BroadcastFanout, ModelDemand, ResidencyList, SequenceStatus,
        SequenceTracker,
    },
    port::StorePort,
    quarantine::{EvidenceReport, KeptVerdict},
    request::RetryClaim,
    roster::HeldModel,
    sorted::SortedTable,
};

/// Largest datagram that is received; digests are a few hundred bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// Configuration and handles with which the task is started.
#[derive(Clone)]
pub(crate) struct GossipSetup {
    pub(crate) row: HostRow,
    pub(crate) store: StorePort,
    /// Control addresses of other hosts.
    pub(crate) seeds: Vec<String>,
    pub(crate) clock: HostClock,
    pub(crate) metrics: HostMetrics,
    /// This host's contact with the registry.
    pub(crate) contact: watch::Receiver<RegistryContact>,
    /// Contact of the other hosts with the registry, as they report it.
    pub(crate) peer_contact: watch::Sender<PeerContact>,
    /// Whether this host reads the registry for its zone.
    pub(crate) is_reader: watch::Sender<bool>,
    /// Receives what another host of the zone read from the registry.
    pub(crate) excerpts: mpsc::Sender<FeedExcerpt>,
    /// Number of hosts from which digests go through aggregators.
    pub(crate) aggregation_from: usize,
    /// How broadcasts of this host reach the others.
    pub(crate) fanout: watch::Sender<BroadcastFanout>,
    /// Whether this host may take the orders lease.
    pub(crate) may_order: watch::Sender<bool>,
    /// Claims of retries that this host's row is to hold.
    pub(crate) claims: watch::Receiver<Vec<RetryClaim>>,
    /// Verdicts that this host's row is to keep.
    pub(crate) verdicts: watch::Receiver<Vec<KeptVerdict>>,
    /// Evacuated zones that this host knows.
    pub(crate) evacuations: EvacuationWatch,
    /// Takes in what other hosts know of evacuated zones.
    pub(crate) evacuation_port: EvacuationPort,
}

/// Another host, as listed in the hosts' table or by another host.
#[derive(Clone)]
pub(super) struct KnownHost {
    pub(super) zone: String,
    pub(super) address: SocketAddr,
    pub(super) capacity: Option<HostCapacity>,
    pub(super) origin: HostOrigin,
    /// Time at which the host's last digest arrived, or at which the host was
    /// first listed.
    pub(super) last_digest_at: Instant,
}

pub(super) struct GossipTask {
    pub(super) setup: GossipSetup,
    socket: UdpSocket,
    pub(super) router: RouterPort,
    pub(super) placer: mpsc::Sender<PlacerEvent>,
    pub(super) hosts: SortedTable<String, KnownHost>,
    /// Whether the hosts are known from a list, of the table or of a seed.
    pub(super) has_list: bool,
    /// Whether the table has been read.
    pub(super) has_read: watch::Sender<bool>,
    pub(super) aggregation: AggregationDesk,
    /// Host that last reported what runners hold: the holder of the orders
    /// lease.
    pub(super) lease_holder: Option<String>,
    /// Sequence number of the last report of what runners hold.
    residency_sequence: SequenceTracker,
    /// Number of the next tick of the gossip schedule.
    tick_number: usize,
    /// Demand of this host's calls at the start of the round. The demand is
    /// computed once a round, as that takes longer than the rest of a digest.
    pub(super) demand: ModelDemand,
    /// Hosts that sent a digest and aren't in the table, with the time from
    /// which the table may be read for them again.
    pub(super) unknown_hosts: SortedTable<String, Instant>,
    /// Triggers a read of the table before its time.
    pub(super) early_read: Arc<Notify>,
}

/// Starts the task.
pub(crate) fn start(
    setup: GossipSetup,
    socket: UdpSocket,
    router: RouterPort,
    inbox: mpsc::Receiver<GossipEvent>,
    placer: mpsc::Sender<PlacerEvent>,
) {
    let (row_sender, row_receiver) = mpsc::channel(1);
    let (listing_sender, listing_receiver) = mpsc::channel(1);
    let (has_read, read_receiver) = watch::channel(false);
    let seeds = setup.seeds.clone();
    crate::tasks::spawn(seed_hosts::learn_hosts(
        seeds,
        listing_sender,
        read_receiver,
    ));
    let early_read = Arc::new(Notify::new());
    let row_maintenance = host_rows::maintain_row(
        setup.clone(),
        row_sender,
        early_read.clone(),
        router.clone(),
    );
    crate::tasks::spawn(row_maintenance);
    let now = setup.clock.now();
    let min_hosts = setup.aggregation_from;
    let aggregation = AggregationDesk::new(&setup.row, min_hosts, now);
    let task = GossipTask {
        aggregation,
        setup,
        socket,
        router,
        placer,
        hosts: SortedTable::default(),
        has_list: false,
        has_read,
        lease_holder: None,
        residency_sequence: SequenceTracker::default(),
        tick_number: 0,
        demand: ModelDemand::default(),
        unknown_hosts: SortedTable::default(),
        early_read,
    };
    crate::tasks::spawn(task.run(inbox, row_receiver, listing_receiver));
}

impl GossipTask {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<GossipEvent>,
        mut row_receiver: mpsc::Receiver<HostsReading>,
        mut listing_receiver: mpsc::Receiver<Vec<HostListing>>,
    ) {
        let mut interval = tokio::time::interval(GOSSIP_TICK);
        let mut has_phase = false;
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let burst_at = self.aggregation.next_burst_at();
            let (burst_due, burst_at) =
                (burst_at.is_some(), burst_at.unwrap_or_else(Instant::now));
            tokio::select! {
                () = tokio::time::sleep_until(burst_at), if burst_due => {
                    self.send_burst().await;
                }
                event = inbox.recv() => match event {
                    Some(event) => self.handle(event).await,
                    None => return,
                },
                Some(reading) = row_receiver.recv() => {
                    self.adopt(reading).await;
                },
                Some(listings) = listing_receiver.recv() => {
                    self.has_list = true;
                    self.learn(listings).await;
                }
                received = self.socket.recv_from(&mut buffer) => {
                    match received {
                        Ok((len, _)) => self.receive(&buffer[..len]).await,
                        Err(error) => {
                            tracing::debug!(event = "receive_failed", %error);
                        }
                    }
                }
                _ = interval.tick() => {
                    if !has_phase && self.aggregates() {
                        // Hosts that start together don't send to their
                        // aggregator at the same moments.
                        has_phase = true;
                        self.tick_number = rand::random_range(0..1_000);
                        let phase = GOSSIP_TICK.mul_f64(rand::random());
                        interval.reset_after(phase);
                    }
                    self.send_digests().await;
                }
            }
        }
    }

    async fn handle(&mut self, event: GossipEvent) {
        match event {
            GossipEvent::RequestAdapter(name) => {
                let own = self.setup.row.host.as_str();
                let remote_holder = self
                    .lease_holder
                    .as_deref()
                    .filter(|lease_holder| *lease_holder != own)
                    .and_then(|lease_holder| self.hosts.get(lease_holder));
                if let Some(host) = remote_holder {
                    let address = host.address;
                    let request = HostMessage::AdapterMissing(name);
                    self.send(&request, &[address]).await;
                } else {
                    let _ = self
                        .placer
                        .try_send(PlacerEvent::AdapterRequested(name));
                }
            }
            GossipEvent::Excerpts(excerpts) => {
                for excerpt in excerpts {
                    self.forward(&HostMessage::Registry(excerpt));
                }
            }
            GossipEvent::Evidence(report) => {
                let addresses = self.addresses();
                for message in evidence_messages(report) {
                    self.send(&message, &addresses).await;
                }
            }
            GossipEvent::ReadHosts(reply) => {
                let _ = reply.send(self.listings());
            }
            GossipEvent::Broadcast(message) => {
                self.send_to_all(&message).await;
                if let HostMessage::Residency {
                    lease,
                    sequence,
                    residency,
                    ..
                } = message
                {
                    let fenced_sequence = (lease.fencing, sequence);
                    self.lease_holder = Some(lease.holder);
                    if let Some(digest) =
                        self.apply_residency(fenced_sequence, residency).await
                    {
                        let event = if self.aggregates() {
                            PlacerEvent::StillUsed(digest)
                        } else {
                            PlacerEvent::Digest(digest)
                        };
                        let _ = self.placer.try_send(event);
                    }
                }
            }
        }
    }

    /// Returns the addresses of all other hosts.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        self.hosts.values().map(|host| host.address).collect()
    }

    /// Applies a report of what runners hold. If this host has calls on a
    /// model or adapter that the report doesn't list, returns a digest for the
    /// lease holder, which waits for these calls to end before it orders an
    /// unload.
    async fn apply_residency(
        &mut self,
        (fencing, sequence): (u64, u64),
        residency: ResidencyList,
    ) -> Option<HostDigest> {
        let others_unchanged =
            match self.residency_sequence.observe(fencing, sequence) {
                SequenceStatus::Stale => return None,
                SequenceStatus::Next => true,
                SequenceStatus::Gap => {
                    tracing::info!(
                        event = "held_missed",
                        fencing,
                        round = sequence
                    );
                    false
                }
            };
        let runner_models: Vec<(String, Vec<ModelName>)> = residency
            .into_iter()
            .map(|(runner, models)| (runner, model_names(&models)))
            .collect();
        let listed: SortedTable<String, Vec<ModelName>> =
            runner_models.iter().cloned().collect();
        let event =
            RouterEvent::RunnerModels { runner_models, others_unchanged };
        let _ = self.router.sender.send(event).await;
        let RouterReport { digest, .. } = self.report().await?;
        let unlisted = digest.loads.iter().any(|load| {
            let listed = listed.get(&load.runner);
            listed.is_some_and(|listed| {
                load.names.iter().any(|name| !listed.contains(name))
            })
        });
        unlisted.then_some(digest)
    }

    /// Returns what the other hosts are to know, with the digest of this host
    /// without the demand.
    pub(super) async fn report(&self) -> Option<RouterReport> {
        let event = RouterEvent::ReadReport;
        let report = crate::tasks::ask(&self.router.sender, event).await?;
        let RouterReport { digest, departures, evidence } = report;
        let row = &self.setup.row;
        let (host, incarnation) = (row.host.clone(), row.incarnation);
        let contact = *self.setup.contact.borrow();
        let registry_steady_ms = contact.steady_ms(self.setup.clock.now());
        let digest =
            HostDigest { host, incarnation, registry_steady_ms, ..digest };
        Some(RouterReport { digest, departures, evidence })
    }

    /// Sends the digest of this host to the hosts that the current tick
    /// includes.
    async fn send_digests(&mut self) {
        let tick = GossipTick::new(self.tick_number, self.hosts.len());
        self.tick_number = self.tick_number.wrapping_add(1);
        if tick.begins_round() {
            self.choose_reader();
            self.introduce().await;
            self.forget_silent_learnt().await;
            self.repeat_evacuations().await;
            self.update_placer();
            let event = RouterEvent::ReadDemand;
            let reply = crate::tasks::ask(&self.router.sender, event).await;
            self.demand = reply.unwrap_or_default();
        }
        if self.aggregates() {
            self.exchange_sums(tick).await;
            return;
        }
        let (mut digest_recipients, mut demand_recipients) =
            (Vec::new(), Vec::new());
        for (index, (name, host)) in self.hosts.iter().enumerate() {
            if !tick.includes(index, host.zone == self.setup.row.zone) {
                continue;
            }
            if tick.includes_demand(index)
                || self.lease_holder.as_ref() == Some(name)
            {
                demand_recipients.push(host.address);
            } else {
                digest_recipients.push(host.address);
            }
        }
        let no_recipient =
            digest_recipients.is_empty() && demand_recipients.is_empty();
        if no_recipient && !tick.begins_round() {
            return;
        }
        let Some(report) = self.report().await else { return };
        let RouterReport { digest, departures, evidence } = report;
        let demand = Some(self.demand.clone());
        let with_demand = HostDigest { demand, ..digest.clone() };
        if tick.begins_round() {
            let _ =
                self.placer.try_send(PlacerEvent::Digest(with_demand.clone()));
        }
        if !departures.is_empty() {
            let message = HostMessage::Departing(departures);
            self.send(&message, &digest_recipients).await;
            self.send(&message, &demand_recipients).await;
        }
        for message in evidence_messages(evidence) {
            self.send(&message, &digest_recipients).await;
            self.send(&message, &demand_recipients).await;
        }
        self.send(&HostMessage::Digest(digest), &digest_recipients).await;
        self.send(&HostMessage::Digest(with_demand), &demand_recipients).await;
    }

    /// Tells the other hosts which zones are evacuated, at random, so that
    /// about one host in each round does so in a fleet of any size: a host may
    /// have lost its poll of the store, or be cut off from it.
    async fn repeat_evacuations(&mut self) {
        let list = self.setup.evacuations.borrow().clone();
        let is_due = || rand::random_range(0..=self.hosts.len()) == 0;
        if !list.is_empty() && is_due() {
            let list = EvacuationList::clone(&list);
            self.send_to_all(&HostMessage::Evacuations(list)).await;
        }
    }

    pub(super) async fn send(
        &self,
        message: &HostMessage,
        recipients: &[SocketAddr],
    ) {
        if recipients.is_empty() {
            return;
        }
        match postcard::to_stdvec(message) {
            Ok(bytes) => self.send_bytes(&bytes, recipients).await,
            Err(error) => {
                tracing::error!(event = "message_unwritable", %error);
            }
        }
    }

    pub(super) async fn send_bytes(
        &self,
        bytes: &[u8],
        recipients: &[SocketAddr],
    ) {
        let sent = bytes.len() as u64 * recipients.len() as u64;
        self.setup.metrics.peer_bytes.inc_by(sent);
        for address in recipients {
            if let Err(error) = self.socket.send_to(bytes, address).await {
                tracing::debug!(event = "send_failed", %address, %error);
            }
        }
    }

    async fn receive(&mut self, bytes: &[u8]) {
        match postcard::from_bytes(bytes) {
            Ok(HostMessage::Forward(message)) => {
                self.forward(&message);
                self.apply(*message).await;
            }
            Ok(message) => self.apply(message).await,
            Err(error) => {
                let bytes = bytes.len();
                tracing::info!(event = "message_unreadable", bytes, %error);
            }
        }
    }

    async fn merge_evidence(&self, report: EvidenceReport) {
        let at = self.setup.clock.now();
        let report = Box::new(report);
        let event = RouterEvent::Evidence { report, at };
        let _ = self.router.sender.send(event).await;
    }

    /// Applies a message of another host. One that should have been forwarded
    /// isn't expected within another one, and is ignored.
    async fn apply(&mut self, message: HostMessage) {
        match message {
            HostMessage::Digest(digest) => {
                match self.hosts.get_mut(&digest.host) {
                    Some(host) => host.last_digest_at = Instant::now(),
                    None => self.note_unknown_host(&digest.host),
                }
                let _ =
                    self.placer.try_send(PlacerEvent::Digest(digest.clone()));
                let at = self.setup.clock.now();
                let steady_ms = digest.registry_steady_ms;
                self.setup.peer_contact.send_modify(|peer_contact| {
                    peer_contact.record_report(steady_ms, at);
                });
                let digest = Box::new(digest);
                let event = RouterEvent::Digest { digest, at };
                let _ = self.router.sender.send(event).await;
            }
            // An aggregator passes this host's own messages on to it too.
            HostMessage::Residency { lease, .. }
                if lease.holder == self.setup.row.host => {}
            HostMessage::Residency { lease, version, sequence, residency } => {
                let fenced_sequence = (lease.fencing, sequence);
                let known = self.hosts.get(&lease.holder);
                let address = known.map(|host| host.address);
                self.lease_holder = Some(lease.holder.clone());
                let _ = self
                    .placer
                    .try_send(PlacerEvent::LeaseHolder(lease, version));
                let digest =
                    self.apply_residency(fenced_sequence, residency).await;
                if let (Some(digest), Some(address)) = (digest, address) {
                    let message = if self.aggregates() {
                        HostMessage::StillUsed(digest)
                    } else {
                        HostMessage::Digest(digest)
                    };
                    self.send(&message, &[address]).await;
                }
            }
            HostMessage::Released { fencing } => {
                let _ =
                    self.placer.try_send(PlacerEvent::LeaseReleased(fencing));
            }
            HostMessage::AdapterMissing(name) => {
                let _ =
                    self.placer.try_send(PlacerEvent::AdapterRequested(name));
            }
            HostMessage::Registry(excerpt) => {
                if self.setup.excerpts.try_send(excerpt).is_err() {
                    tracing::debug!(event = "excerpt_dropped");
                }
            }
            HostMessage::Evidence(report) => self.merge_evidence(report).await,
            HostMessage::SuspectGroups(groups) => {
                let report =
                    EvidenceReport { groups, ..EvidenceReport::default() };
                self.merge_evidence(report).await;
            }
            HostMessage::Introduction(listing) => {
                self.learn(vec![listing]).await;
            }
            HostMessage::Evacuations(list) => {
                let event = EvacuationEvent::Told(list);
                self.setup.evacuation_port.send(event).await;
            }
            HostMessage::Unreachable(starts) => {
                let event = RouterEvent::Unreachable(starts);
                let _ = self.router.sender.send(event).await;
            }
            HostMessage::Departing(starts) => {
                let event = RouterEvent::Departing(starts);
                let _ = self.router.sender.send(event).await;
            }
            HostMessage::StillUsed(digest) => {
                let _ = self.placer.try_send(PlacerEvent::StillUsed(digest));
            }
            HostMessage::Fleet(digest) => self.follow(digest).await,
            HostMessage::Member(_)
            | HostMessage::Zone(_)
            | HostMessage::Part(_) => self.receive_digest(message),
            HostMessage::Forward(_) => {}
        }
    }
}

/// Returns the messages with what the other hosts should be told.
pub(super) fn evidence_messages(
    mut report: EvidenceReport,
) -> impl Iterator<Item = HostMessage> {
    let groups = std::mem::take(&mut report.groups);
    let evidence =
        (!report.is_empty()).then_some(HostMessage::Evidence(report));
    let groups =
        (!groups.is_empty()).then_some(HostMessage::SuspectGroups(groups));
    evidence.into_iter().chain(groups)
}

/// Returns the names of models and of their adapters.
fn model_names(models: &[HeldModel]) -> Vec<ModelName> {
    let mut names = Vec::new();
    for model in models {
        let name = |adapter| ModelName { model: model.name.clone(), adapter };
        names.push(name(None));
        let adapters = model.adapters.iter();
        names.extend(adapters.map(|adapter| name(Some(adapter.clone()))));
    }
    names
}
