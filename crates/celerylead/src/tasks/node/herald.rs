//! The task that owns the socket between hosts.
//!
//! It tells the other hosts what this one carries, each in its turn and more
//! often within the availability zone than across, and hands what they tell to the desk and
//! the placer. Who the others are it reads from the hosts' table; each host
//! writes its own row when it is missing there.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::{
    net::UdpSocket,
    sync::{Notify, mpsc, watch},
    time::{Instant, MissedTickBehavior},
};

use super::desk::{DeskEvent, DeskPort};
use crate::{
    clock::HostClock,
    membership::{
        HostDigest, HostMessage, HostRow, OrdersRow, PeerContact,
        RegistryContact, TELL_TURN, TellTurn,
    },
    metrics::HostMetrics,
    model::ModelName,
    placement::{ModelDemand, ResidencyList, SequenceStatus, SequenceTracker},
    port::{RowChange, RowKey, RowPut, StorePort, StoreTable},
    roster::HeldModel,
    sorted::SortedTable,
    tasks::MAILBOX,
};

/// Time between two readings of the hosts' table once it was read.
const READ_PERIOD: Duration = Duration::from_millis(10_000);
/// The same while it was never read, this host's row is missing, or a host
/// was heard that isn't in it; the least time between two readings.
const RETRY_PERIOD: Duration = Duration::from_millis(700);
/// Time between two readings for a host that is heard and has no row yet.
const STRANGER_PERIOD: Duration = Duration::from_millis(2_000);
/// Such hosts that are remembered.
const MAX_STRANGERS: usize = 64;
/// Silence after which a host's row is removed, by a host that hears others.
const GONE_AFTER: Duration = Duration::from_millis(30_000);
/// Time within which a host counts as one that is heard.
const HEARD_WITHIN: Duration = Duration::from_millis(2_000);
/// Largest datagram; digests are a few hundred bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// What the task is started with.
#[derive(Clone)]
pub(crate) struct HeraldSetup {
    pub(crate) row: HostRow,
    pub(crate) store: StorePort,
    pub(crate) clock: HostClock,
    pub(crate) metrics: HostMetrics,
    /// This host's contact with the registry.
    pub(crate) contact: watch::Receiver<RegistryContact>,
    /// What the other hosts tell of theirs.
    pub(crate) peers: watch::Sender<PeerContact>,
}

/// Message to the task.
pub(crate) enum HeraldEvent {
    /// A call found its adapter at no runner of the service.
    Want(ModelName),
    /// Tell all hosts something, this one too.
    Announce(HostMessage),
}

/// What the placer hears of the hosts.
pub(crate) enum Heard {
    /// What another host, or this one, carries.
    Digest(HostDigest),
    /// An adapter is missing.
    Want(ModelName),
    /// Another host gives the orders by this version of the lease.
    Holder(OrdersRow, u64),
    /// The host that ordered under this number has stopped.
    Released(u64),
}

/// The way to the task.
#[derive(Clone)]
pub(crate) struct HeraldPort {
    sender: mpsc::Sender<HeraldEvent>,
}

impl HeraldPort {
    /// Tells the placer that an adapter is missing. The desk tells again
    /// while calls wait for it, so a lost message costs time only.
    pub(crate) fn want(&self, name: &ModelName) {
        let event = HeraldEvent::Want(name.clone());
        if self.sender.try_send(event).is_err() {
            tracing::debug!(event = "want_dropped", name = %name);
        }
    }

    /// Tells all hosts something, this one too.
    pub(crate) async fn announce(&self, message: HostMessage) {
        let _ = self.sender.send(HeraldEvent::Announce(message)).await;
    }
}

/// Makes the port and the mailbox of the task.
pub(crate) fn mailbox() -> (HeraldPort, mpsc::Receiver<HeraldEvent>) {
    let (sender, inbox) = mpsc::channel(MAILBOX);
    (HeraldPort { sender }, inbox)
}

/// Another host.
struct KnownHost {
    zone: String,
    address: SocketAddr,
    /// Version of its row.
    version: u64,
    /// Point at which it was heard last, or first known.
    heard_at: Instant,
}

struct HeraldTask {
    setup: HeraldSetup,
    socket: UdpSocket,
    desk: DeskPort,
    placer: mpsc::Sender<Heard>,
    hosts: SortedTable<String, KnownHost>,
    /// Host that last told what runners hold: the one that orders.
    orderer: Option<String>,
    /// Which of its words were heard.
    hearing: SequenceTracker,
    /// Number of the next turn of digests.
    turn: usize,
    /// What this host is asked for, as the round began: to sum it up takes
    /// longer than all else in a digest.
    demand: ModelDemand,
    /// Hosts that were heard and aren't in the table, with the point from
    /// which it is read for them once more.
    strangers: SortedTable<String, Instant>,
    /// Has the table read before its time.
    newcomer: Arc<Notify>,
}

/// Starts the task.
pub(crate) fn start(
    setup: HeraldSetup,
    socket: UdpSocket,
    desk: DeskPort,
    inbox: mpsc::Receiver<HeraldEvent>,
    placer: mpsc::Sender<Heard>,
) {
    let (rows, read) = mpsc::channel(1);
    let newcomer = Arc::new(Notify::new());
    let keeping = keep_row(setup.clone(), rows, newcomer.clone());
    crate::tasks::spawn(keeping);
    let task = HeraldTask {
        setup,
        socket,
        desk,
        placer,
        hosts: SortedTable::default(),
        orderer: None,
        hearing: SequenceTracker::default(),
        turn: 0,
        demand: ModelDemand::default(),
        strangers: SortedTable::default(),
        newcomer,
    };
    crate::tasks::spawn(task.run(inbox, read));
}

impl HeraldTask {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<HeraldEvent>,
        mut rows: mpsc::Receiver<Vec<(HostRow, u64)>>,
    ) {
        let mut period = tokio::time::interval(TELL_TURN);
        period.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            tokio::select! {
                event = inbox.recv() => match event {
                    Some(event) => self.handle(event).await,
                    None => return,
                },
                Some(rows) = rows.recv() => self.adopt(rows).await,
                received = self.socket.recv_from(&mut buffer) => {
                    match received {
                        Ok((length, _)) => self.hear(&buffer[..length]).await,
                        Err(error) => {
                            tracing::debug!(event = "receive_failed", %error);
                        }
                    }
                }
                _ = period.tick() => self.tell().await,
            }
        }
    }

    async fn handle(&mut self, event: HeraldEvent) {
        match event {
            HeraldEvent::Want(name) => {
                let own = self.setup.row.host.as_str();
                let known = self
                    .orderer
                    .as_deref()
                    .filter(|orderer| *orderer != own)
                    .and_then(|orderer| self.hosts.get(orderer));
                if let Some(host) = known {
                    let address = host.address;
                    let want = HostMessage::Want(name);
                    self.send(&want, &[address]).await;
                } else {
                    let _ = self.placer.try_send(Heard::Want(name));
                }
            }
            HeraldEvent::Announce(message) => {
                let all: Vec<SocketAddr> =
                    self.hosts.values().map(|host| host.address).collect();
                self.send(&message, &all).await;
                if let HostMessage::Held { lease, round, held, .. } = message {
                    let number = (lease.fencing, round);
                    self.orderer = Some(lease.holder);
                    if let Some(digest) = self.take_held(number, held).await {
                        let _ = self.placer.try_send(Heard::Digest(digest));
                    }
                }
            }
        }
    }

    /// Takes over what runners hold. Where this host has calls on what isn't
    /// listed, it returns a digest for the host that orders, which waits for
    /// such calls before it unloads.
    async fn take_held(
        &mut self,
        (fencing, round): (u64, u64),
        held: ResidencyList,
    ) -> Option<HostDigest> {
        let others_hold = match self.hearing.observe(fencing, round) {
            SequenceStatus::Stale => return None,
            SequenceStatus::Next => true,
            SequenceStatus::Gap => {
                tracing::info!(event = "held_missed", fencing, round);
                false
            }
        };
        let held: Vec<(String, Vec<ModelName>)> = held
            .into_iter()
            .map(|(runner, models)| (runner, names(&models)))
            .collect();
        let listed: SortedTable<String, Vec<ModelName>> =
            held.iter().cloned().collect();
        let event = DeskEvent::Held { held, others_hold };
        let _ = self.desk.sender.send(event).await;
        let digest = self.digest().await?;
        let unlisted = digest.loads.iter().any(|load| {
            let listed = listed.get(&load.runner);
            listed.is_some_and(|listed| {
                load.names.iter().any(|name| !listed.contains(name))
            })
        });
        unlisted.then_some(digest)
    }

    /// Returns what this host carries.
    async fn digest(&self) -> Option<HostDigest> {
        let asked =
            crate::tasks::ask(&self.desk.sender, DeskEvent::Digest).await;
        let digest = asked?;
        let row = &self.setup.row;
        let (host, incarnation) = (row.host.clone(), row.incarnation);
        let contact = *self.setup.contact.borrow();
        let registry_steady_ms = contact.steady_ms(self.setup.clock.now());
        Some(HostDigest { host, incarnation, registry_steady_ms, ..digest })
    }

    /// Tells the hosts whose turn it is what this one carries.
    async fn tell(&mut self) {
        let turn = TellTurn::new(self.turn, self.hosts.len());
        self.turn = self.turn.wrapping_add(1);
        let (mut told, mut told_demand) = (Vec::new(), Vec::new());
        for (place, (name, host)) in self.hosts.iter().enumerate() {
            if !turn.tells(place, host.zone == self.setup.row.zone) {
                continue;
            }
            if turn.tells_demand(place) || self.orderer.as_ref() == Some(name)
            {
                told_demand.push(host.address);
            } else {
                told.push(host.address);
            }
        }
        if turn.begins_round() {
            let asked =
                crate::tasks::ask(&self.desk.sender, DeskEvent::Demand).await;
            self.demand = asked.unwrap_or_default();
        } else if told.is_empty() && told_demand.is_empty() {
            return;
        }
        let Some(digest) = self.digest().await else { return };
        let demand = Some(self.demand.clone());
        let full = HostDigest { demand, ..digest.clone() };
        if turn.begins_round() {
            let _ = self.placer.try_send(Heard::Digest(full.clone()));
        }
        self.send(&HostMessage::Digest(digest), &told).await;
        self.send(&HostMessage::Digest(full), &told_demand).await;
    }

    async fn send(&self, message: &HostMessage, listeners: &[SocketAddr]) {
        if listeners.is_empty() {
            return;
        }
        let bytes = match postcard::to_stdvec(message) {
            Ok(bytes) => bytes,
            Err(error) => {
                tracing::error!(event = "message_unwritable", %error);
                return;
            }
        };
        let sent = bytes.len() as u64 * listeners.len() as u64;
        self.setup.metrics.peer_bytes.inc_by(sent);
        for address in listeners {
            if let Err(error) = self.socket.send_to(&bytes, address).await {
                tracing::debug!(event = "send_failed", %address, %error);
            }
        }
    }

    async fn hear(&mut self, bytes: &[u8]) {
        let message = match postcard::from_bytes(bytes) {
            Ok(message) => message,
            Err(error) => {
                let bytes = bytes.len();
                tracing::info!(event = "message_unreadable", bytes, %error);
                return;
            }
        };
        match message {
            HostMessage::Digest(digest) => {
                match self.hosts.get_mut(&digest.host) {
                    Some(host) => host.heard_at = Instant::now(),
                    None => self.note_stranger(&digest.host),
                }
                let _ = self.placer.try_send(Heard::Digest(digest.clone()));
                let at = self.setup.clock.now();
                let steady_ms = digest.registry_steady_ms;
                self.setup.peers.send_modify(|peers| {
                    peers.told(steady_ms, at);
                });
                let digest = Box::new(digest);
                let event = DeskEvent::Told { digest, at };
                let _ = self.desk.sender.send(event).await;
            }
            HostMessage::Held { lease, version, round, held } => {
                let number = (lease.fencing, round);
                let known = self.hosts.get(&lease.holder);
                let address = known.map(|host| host.address);
                self.orderer = Some(lease.holder.clone());
                let _ = self.placer.try_send(Heard::Holder(lease, version));
                let digest = self.take_held(number, held).await;
                if let (Some(digest), Some(address)) = (digest, address) {
                    let message = HostMessage::Digest(digest);
                    self.send(&message, &[address]).await;
                }
            }
            HostMessage::Released { fencing } => {
                let _ = self.placer.try_send(Heard::Released(fencing));
            }
            HostMessage::Want(name) => {
                let _ = self.placer.try_send(Heard::Want(name));
            }
        }
    }

    /// Has the table read for a host that isn't known: a new host hears
    /// nobody until the others have its address.
    fn note_stranger(&mut self, host: &str) {
        let now = Instant::now();
        let known = self.strangers.get(host).copied();
        let is_new = known.is_none();
        if known.is_some_and(|again| now < again)
            || (is_new && MAX_STRANGERS <= self.strangers.len())
        {
            return;
        }
        tracing::info!(event = "stranger_heard", peer = host);
        let again = now + STRANGER_PERIOD;
        self.strangers.insert(host.to_owned(), again);
        self.newcomer.notify_one();
    }

    async fn adopt(&mut self, rows: Vec<(HostRow, u64)>) {
        for (row, _) in &rows {
            self.strangers.remove(&row.host);
        }
        let mut hosts = SortedTable::default();
        for (row, version) in rows {
            if row.host == self.setup.row.host {
                continue;
            }
            let Ok(address) = row.address.parse() else {
                tracing::warn!(event = "host_unreadable", peer = row.host);
                continue;
            };
            if self.hosts.get(&row.host).is_none() {
                tracing::info!(
                    event = "host_known",
                    peer = row.host,
                    peer_zone = row.zone,
                    peer_address = row.address,
                );
                let event = DeskEvent::Expect(row.host.clone());
                let _ = self.desk.sender.send(event).await;
            }
            let known = self.hosts.get(&row.host);
            let heard_at =
                known.map_or_else(Instant::now, |host| host.heard_at);
            let zone = row.zone;
            let host = KnownHost { zone, address, version, heard_at };
            hosts.insert(row.host, host);
        }
        for host in self.hosts.keys() {
            if hosts.get(host).is_none() {
                tracing::info!(event = "host_gone", peer = host.as_str());
                let event = DeskEvent::Forget(host.clone());
                let _ = self.desk.sender.send(event).await;
            }
        }
        self.hosts = hosts;
        self.log_hearing();
        self.remove_gone();
    }

    /// Writes how many hosts are heard, at each reading of their table.
    fn log_hearing(&self) {
        let silent =
            |host: &&KnownHost| HEARD_WITHIN <= host.heard_at.elapsed();
        let mut heard_zones: SortedTable<String, (u32, u32)> =
            SortedTable::default();
        for host in self.hosts.values() {
            let zone = heard_zones.entry(host.zone.clone(), || (0, 0));
            zone.0 += 1;
            zone.1 += u32::from(silent(&host));
        }
        for (peer_zone, (known, silent)) in heard_zones.iter() {
            tracing::info!(event = "hosts_heard", peer_zone, known, silent);
        }
    }

    /// Removes the rows of hosts that were silent for long. A host that
    /// lives writes its row again; one that hears nobody removes none, as it
    /// is more likely the one that is cut off.
    fn remove_gone(&self) {
        let silent = |host: &KnownHost| host.heard_at.elapsed();
        let hears = |host: &KnownHost| silent(host) < HEARD_WITHIN;
        if !self.hosts.values().any(hears) {
            return;
        }
        for (name, host) in self.hosts.iter() {
            if silent(host) < GONE_AFTER {
                continue;
            }
            tracing::info!(event = "host_removed", peer = name.as_str());
            let put = RowPut {
                row: RowKey { table: StoreTable::Hosts, key: name.clone() },
                expected: host.version,
                value: None,
            };
            let store = self.setup.store.clone();
            crate::tasks::spawn(async move {
                if let Err(fault) = store.write(put).await {
                    tracing::info!(
                        event = "store_failed",
                        source = "hosts",
                        error = %fault,
                    );
                }
            });
        }
    }
}

/// Reads the hosts' table at a slow pace, and writes this host's row where
/// it is missing or of another process.
async fn keep_row(
    setup: HeraldSetup,
    rows: mpsc::Sender<Vec<(HostRow, u64)>>,
    newcomer: Arc<Notify>,
) {
    loop {
        let due = match read_rows(&setup, &rows).await {
            Ok(true) => READ_PERIOD,
            Ok(false) => RETRY_PERIOD,
            Err(error) => {
                tracing::info!(event = "store_failed", source = "hosts", %error);
                RETRY_PERIOD
            }
        };
        let jitter = rand::random_range(0.8..1.2);
        let read_at = Instant::now();
        tokio::select! {
            () = tokio::time::sleep_until(read_at + due.mul_f64(jitter)) => {}
            () = newcomer.notified() => {
                let soonest = read_at + RETRY_PERIOD.mul_f64(jitter);
                tokio::time::sleep_until(soonest).await;
            }
        }
        if rows.is_closed() {
            return;
        }
    }
}

/// Tells whether this host's row was in place.
async fn read_rows(
    setup: &HeraldSetup,
    rows: &mpsc::Sender<Vec<(HostRow, u64)>>,
) -> anyhow::Result<bool> {
    let read = setup.store.read(StoreTable::Hosts).await;
    let reading = read.map_err(|fault| anyhow::anyhow!("{fault}"))?;
    let mut known = Vec::new();
    let mut version = 0;
    for row in &reading.rows {
        let RowChange::Written(row) = row else { continue };
        match serde_json::from_slice::<HostRow>(&row.value) {
            Ok(host) => {
                if host.host == setup.row.host {
                    version = row.version;
                }
                known.push((host, row.version));
            }
            Err(error) => {
                tracing::warn!(event = "host_unreadable", row = row.key, %error);
            }
        }
    }
    let in_place = known.iter().any(|(host, _)| *host == setup.row);
    let _ = rows.send(known).await;
    if !in_place {
        let key = setup.row.host.clone();
        let value = serde_json::to_vec(&setup.row)?;
        let put = RowPut {
            row: RowKey { table: StoreTable::Hosts, key },
            expected: version,
            value: Some(Bytes::from(value)),
        };
        let written = setup.store.write(put).await;
        written.map_err(|fault| anyhow::anyhow!("{fault}"))?;
    }
    Ok(in_place)
}

/// Names of models, and of the adapters they have.
fn names(models: &[HeldModel]) -> Vec<ModelName> {
    let mut names = Vec::new();
    for held in models {
        let name = |adapter| ModelName { model: held.name.clone(), adapter };
        names.push(name(None));
        let adapters = held.adapters.iter();
        names.extend(adapters.map(|adapter| name(Some(adapter.clone()))));
    }
    names
}
