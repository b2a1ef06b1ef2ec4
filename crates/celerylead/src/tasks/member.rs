//! The task that polls the platform's table service and keeps the host's lease
//! there.
//!
//! The task polls the table about once a second. Each poll reads the head of
//! the settings. About every other poll is a full poll, which also reads the
//! leases and the head of the share rows. After a full poll, the task renews
//! the host's lease if that is due, and otherwise writes the claims of parts
//! of customers' rates that this host should make. The settings and the share
//! rows are large, so each is read only after its head has changed. While the
//! table service doesn't answer, the task reads newer settings from other
//! hosts.

mod release;

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::Instant,
};

use super::{
    MAILBOX_CAPACITY,
    dispatch::{DispatchEvent, DispatchPort},
    peer::PeerPort,
    shares::{ShareEvent, ShareView},
};
use crate::{
    clock::{EpochMillis, HostClock},
    customer::share::{
        ShareClaim, ShareClaimant, ShareRow, ShareTarget, ZoneLeases,
    },
    membership::{HostLease, HostTag, LeasePhase},
    metrics::HostMetrics,
    platform::{
        CommitRequest, ReadRequest, ReadResponse, SETTINGS_HEAD,
        SETTINGS_STATE, SHARES_HEAD, SHARES_PREFIX, SettingsHead, TableClient,
        TableRow, host_key, hosts_prefix, share_key,
    },
    settings::{SettingsState, SettingsView},
    wire::peer::{PeerRequest, PeerResponse},
};

/// Interval between two polls of the table.
const POLL_PERIOD: Duration = Duration::from_millis(1_000);
/// Interval between two polls that also read the leases and the shares.
const FULL_POLL_PERIOD: Duration = Duration::from_millis(1_800);
/// Delay of the poll that follows a write by this host, adopted settings or a
/// failure to act on an answer.
const POLL_AFTER_WRITE: Duration = Duration::from_millis(100);
/// Interval between two renewals of the lease.
const RENEW_PERIOD: Duration = Duration::from_millis(2_000);
/// Upper bound on the claims that are written after one poll.
const MAX_CLAIMS: usize = 64;

/// Identity of a host and its process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct HostIdentity {
    pub(crate) host: String,
    pub(crate) zone: String,
    pub(crate) peer_address: String,
    /// Random number that identifies the process.
    pub(crate) nonce: u64,
}

/// Message to the task.
pub(crate) enum MemberEvent {
    /// Give up the lease and everything that depends on it.
    Release(oneshot::Sender<()>),
    /// Read the leases and the shares now, as another host has handed parts
    /// over to this one.
    PollNow,
}

/// Configuration and handles with which the task is started.
pub(crate) struct MemberSetup {
    pub(crate) identity: HostIdentity,
    pub(crate) table: TableClient,
    pub(crate) clock: HostClock,
    pub(crate) lease_ttl: Duration,
    /// Addresses of hosts that are asked for settings besides the hosts of the
    /// zone.
    pub(crate) seeds: Vec<String>,
    pub(crate) shares: mpsc::Sender<ShareEvent>,
    pub(crate) peers: PeerPort,
    pub(crate) dispatch: DispatchPort,
    pub(crate) settings: watch::Sender<SettingsView>,
    /// Addresses of the other live hosts of the zone.
    pub(crate) neighbours: watch::Sender<Vec<String>>,
    pub(crate) metrics: HostMetrics,
}

/// State of the task.
struct MemberTask {
    setup: MemberSetup,
    /// Lease row of this host as last read, if it belongs to this process.
    own_lease: Option<HostLease>,
    /// Time of the last renewal of the lease. It is set back by `RENEW_PERIOD`
    /// if a renewal is due at once.
    renewed_at: Instant,
    /// Whether the host holds nothing any more, as it is leaving or as another
    /// process has registered under its name.
    retired: bool,
    leases: ZoneLeases,
    /// The share rows as last read, with their head.
    share_rows: ReadResponse,
    /// Time from which a poll also reads the leases and the shares.
    full_poll_at: Instant,
    /// Counter by which other hosts are asked for settings in turn.
    peer_round: usize,
}

/// Starts the task; it ends when its senders are dropped.
pub(crate) fn start(setup: MemberSetup, inbox: mpsc::Receiver<MemberEvent>) {
    let task = MemberTask {
        setup,
        own_lease: None,
        renewed_at: Instant::now(),
        retired: false,
        leases: ZoneLeases::default(),
        share_rows: ReadResponse::default(),
        full_poll_at: Instant::now(),
        peer_round: 0,
    };
    super::spawn(task.run(inbox));
}

/// Creates the mailbox of the task. The peer task needs the sending end before
/// this task is started.
pub(crate) fn mailbox()
-> (mpsc::Sender<MemberEvent>, mpsc::Receiver<MemberEvent>) {
    mpsc::channel(MAILBOX_CAPACITY)
}

impl MemberTask {
    async fn run(mut self, mut inbox: mpsc::Receiver<MemberEvent>) {
        let mut next_poll_at = Instant::now();
        loop {
            tokio::select! {
                event = inbox.recv() => {
                    match event {
                        Some(MemberEvent::Release(reply)) => {
                            self.release().await;
                            let _ = reply.send(());
                        }
                        Some(MemberEvent::PollNow) => {}
                        None => return,
                    }
                    // The polls go on after the release, as the host answers
                    // callers until the load balancer notices, and needs the
                    // settings and the holders of parts for that.
                    self.full_poll_at = Instant::now();
                    next_poll_at = Instant::now();
                }
                () = tokio::time::sleep_until(next_poll_at) => {
                    let poll_soon = self.poll_table().await;
                    let wait =
                        if poll_soon { POLL_AFTER_WRITE } else { POLL_PERIOD };
                    // The jitter spreads out the polls of hosts that started
                    // together.
                    let jitter = rand::random_range(0.8..1.2);
                    next_poll_at = Instant::now() + wait.mul_f64(jitter);
                }
            }
        }
    }

    /// Polls the table once and acts on the answer. Returns whether the next
    /// poll should follow soon, as this one wrote to the table, adopted
    /// settings or failed after the first read.
    async fn poll_table(&mut self) -> bool {
        let read_from = self.setup.clock.now();
        let full_poll = self.full_poll_at <= Instant::now();
        match self.setup.table.read(&self.read_request(full_poll)).await {
            Ok(answer) => {
                let poll_soon =
                    self.handle_answer(answer, read_from, full_poll).await;
                self.update_lease_metric();
                let poll_soon = poll_soon.unwrap_or_else(|error| {
                    self.record_failure(&error);
                    true
                });
                if full_poll || poll_soon {
                    let wait = if poll_soon {
                        Duration::ZERO
                    } else {
                        FULL_POLL_PERIOD
                    };
                    self.full_poll_at = Instant::now() + wait;
                }
                poll_soon
            }
            Err(error) => {
                self.record_failure(&error);
                self.fetch_settings_from_peer().await;
                self.update_lease_metric();
                false
            }
        }
    }

    /// Returns what a poll reads: always the head of the settings, and in a
    /// full poll also the leases and the head of the shares.
    fn read_request(&self, full_poll: bool) -> ReadRequest {
        let mut request = ReadRequest {
            keys: vec![SETTINGS_HEAD.to_owned()],
            prefixes: Vec::new(),
        };
        if full_poll {
            request.keys.push(SHARES_HEAD.to_owned());
            request.prefixes.push(hosts_prefix(&self.setup.identity.zone));
        }
        request
    }

    async fn handle_answer(
        &mut self,
        mut answer: ReadResponse,
        mut read_from: EpochMillis,
        full_poll: bool,
    ) -> anyhow::Result<bool> {
        let adopted = self.adopt_settings(&answer, read_from).await?;
        if !full_poll {
            // After adopted settings, a full poll follows at once and reports
            // their revision.
            return Ok(adopted);
        }
        if answer.version(SHARES_HEAD) != self.share_rows.version(SHARES_HEAD)
        {
            // Some share row has changed, so all of them are read together
            // with the leases, as of one point in time. Otherwise the rows
            // that were last read are still those of this point in time.
            let mut request = self.read_request(true);
            request.prefixes.push(SHARES_PREFIX.to_owned());
            read_from = self.setup.clock.now();
            answer = self.setup.table.read(&request).await?;
            self.share_rows = answer.clone();
        }
        self.adopt_leases(&answer)?;
        let rows = decode_share_rows(&self.share_rows)?;
        let view = ShareView {
            lease: self.own_lease.clone(),
            read_from,
            rows: rows.clone(),
        };
        let _ = self.setup.shares.send(ShareEvent::Confirm(view)).await;
        if self.retired {
            return Ok(false);
        }
        if self.own_lease.is_none() || self.renewal_is_due() {
            return self.renew(&answer).await;
        }
        self.claim(&answer, &rows).await
    }

    /// Adopts newer settings, or confirms that the adopted settings are
    /// current. Returns whether the table had newer settings.
    async fn adopt_settings(
        &mut self,
        answer: &ReadResponse,
        read_from: EpochMillis,
    ) -> anyhow::Result<bool> {
        let adopted_revision = self.setup.settings.borrow().state.revision;
        let head: SettingsHead = match answer.row(SETTINGS_HEAD) {
            Some(row) => row.decode()?,
            None => SettingsHead::default(),
        };
        if adopted_revision < head.revision {
            let request = ReadRequest {
                keys: vec![SETTINGS_STATE.to_owned()],
                prefixes: Vec::new(),
            };
            let answer = self.setup.table.read(&request).await?;
            if let Some(row) = answer.row(SETTINGS_STATE) {
                let state: SettingsState = row.decode()?;
                self.adopt(&state, read_from).await;
            }
            return Ok(true);
        }
        if adopted_revision == head.revision {
            // A head that is older than the adopted revision comes from a
            // stale read and doesn't confirm the revision.
            self.confirm(read_from);
        }
        Ok(false)
    }

    async fn adopt(&mut self, state: &SettingsState, confirmed: EpochMillis) {
        let view = self.setup.settings.borrow().adopt(state, confirmed);
        let Some(view) = view else { return };
        // The share task adopts the revision before any other task sees it. If
        // the revision makes a part of this host smaller, the host thus stops
        // using the difference before a claim releases the difference.
        super::ask(&self.setup.shares, |reply| ShareEvent::Adopt {
            view: view.clone(),
            reply,
        })
        .await;
        tracing::info!(
            event = "settings_adopted",
            revision = view.state.revision,
            change_id = view.state.change_id,
        );
        self.setup.metrics.revision.set(view.state.revision as i64);
        self.setup.settings.send_replace(view);
        self.renewed_at = Instant::now() - RENEW_PERIOD;
    }

    /// Records that the platform confirmed the revision in force as the newest
    /// at `confirmed`.
    fn confirm(&self, confirmed: EpochMillis) {
        self.setup.settings.send_if_modified(|view| {
            view.confirmed = view.confirmed.max(confirmed);
            // No task is woken up, as none waits for a mere confirmation.
            false
        });
    }

    /// Adopts the leases of the zone and publishes the addresses of the other
    /// live hosts. The host retires if its own lease row now belongs to
    /// another process.
    fn adopt_leases(&mut self, answer: &ReadResponse) -> anyhow::Result<()> {
        let identity = &self.setup.identity;
        let leases = self.decode_leases(answer)?;
        let row = leases.get(&identity.host);
        let own_row =
            row.filter(|lease| lease.nonce == identity.nonce).cloned();
        if self.own_lease.is_some() && own_row.is_none() {
            self.retired = true;
            tracing::error!(event = "host_superseded");
        }
        self.own_lease = own_row.filter(|_| !self.retired);
        let now = self.setup.clock.bound();
        let live = leases
            .values()
            .filter(|lease| lease.tag.host != identity.host)
            .filter(|lease| lease.is_live(now))
            .map(|lease| lease.peer_address.clone())
            .collect();
        self.setup.neighbours.send_replace(live);
        self.leases = leases;
        Ok(())
    }

    fn decode_leases(
        &self,
        answer: &ReadResponse,
    ) -> anyhow::Result<ZoneLeases> {
        let mut leases = ZoneLeases::default();
        let prefix = hosts_prefix(&self.setup.identity.zone);
        for row in answer.rows_with_prefix(&prefix) {
            let lease: HostLease = row.decode()?;
            leases.insert(lease.tag.host.clone(), lease);
        }
        Ok(leases)
    }

    fn renewal_is_due(&self) -> bool {
        RENEW_PERIOD <= self.renewed_at.elapsed()
    }

    /// Writes the lease row of this host. The next poll shows whether the
    /// write took effect.
    async fn renew(&mut self, answer: &ReadResponse) -> anyhow::Result<bool> {
        let identity = &self.setup.identity;
        let now = self.setup.clock.bound();
        let incarnation =
            match (&self.own_lease, self.leases.get(&identity.host)) {
                (Some(own), _) => own.tag.incarnation,
                (None, None) => 1,
                (None, Some(former)) if former.has_lapsed(now) => {
                    former.tag.incarnation + 1
                }
                // Another process may still run under this host's name, so
                // its lease has to lapse first.
                (None, Some(_)) => return Ok(false),
            };
        let view = self.setup.settings.borrow().clone();
        let hold = Duration::from_secs(view.tree.defaults.standing_hold_s);
        let dispatch = &self.setup.dispatch.sender;
        let demand = super::ask(dispatch, DispatchEvent::Demand).await;
        let deadline = now.earliest.after(self.setup.lease_ttl);
        let lease = HostLease {
            tag: HostTag { host: identity.host.clone(), incarnation },
            nonce: identity.nonce,
            zone: identity.zone.clone(),
            peer_address: identity.peer_address.clone(),
            deadline,
            standing_deadline: deadline.after(hold),
            revision: view.state.revision,
            phase: LeasePhase::Serving,
            demand: demand.unwrap_or_default(),
        };
        let key = host_key(&identity.zone, &identity.host);
        let version = answer.version(&key);
        let request =
            CommitRequest::default().check(&key, version).write(&key, &lease);
        let first = self.own_lease.is_none();
        let answer = self.setup.table.commit(&request).await?;
        if answer.committed {
            self.renewed_at = Instant::now();
            if first {
                tracing::info!(event = "host_registered", incarnation);
            }
        }
        Ok(true)
    }

    /// Writes the claims of parts that this host should make.
    async fn claim(
        &mut self,
        answer: &ReadResponse,
        rows: &[ShareRow],
    ) -> anyhow::Result<bool> {
        let Some(own) = self.own_lease.clone() else { return Ok(false) };
        let tree = self.setup.settings.borrow().tree.clone();
        let target = ShareTarget {
            zones: tree.zones.clone(),
            standing_percent: tree.defaults.standing_percent,
        };
        let claimant = ShareClaimant {
            tag: &own.tag,
            zone: &self.setup.identity.zone,
            address: &self.setup.identity.peer_address,
        };
        let mut claims = Vec::new();
        for customer in &tree.customers {
            let found =
                rows.binary_search_by(|row| row.customer.cmp(&customer.name));
            let (exists, row) = match found {
                Ok(index) => (true, rows[index].clone()),
                Err(_) => (false, ShareRow::initial(&customer.name, &target)),
            };
            let now = self.setup.clock.bound();
            if !own.is_live(now) || MAX_CLAIMS <= claims.len() {
                break;
            }
            let claim = row.claim(&claimant, &target, &self.leases, now);
            claims.extend(claim.or_else(|| first_row_claim(exists, row)));
        }
        if claims.is_empty() {
            return Ok(false);
        }
        self.write_claims(&claims, answer).await?;
        Ok(true)
    }

    /// Writes claims in one transaction. Every write of share rows raises the
    /// version of their head, by which hosts notice that they have to read the
    /// rows again.
    async fn write_claims(
        &self,
        claims: &[ShareClaim],
        answer: &ReadResponse,
    ) -> anyhow::Result<()> {
        let identity = &self.setup.identity;
        let own_key = host_key(&identity.zone, &identity.host);
        let head = self.share_rows.version(SHARES_HEAD);
        let mut request = CommitRequest::default()
            .check(SHARES_HEAD, head)
            .write(SHARES_HEAD, &head)
            .check(&own_key, answer.version(&own_key));
        for claim in claims {
            let key = share_key(&claim.row.customer);
            request = request
                .check(&key, self.share_rows.version(&key))
                .write(&key, &claim.row);
            for host in &claim.depends_on {
                let lease = host_key(&identity.zone, host);
                request = request.check(&lease, answer.version(&lease));
            }
        }
        let committed = self.setup.table.commit(&request).await?.committed;
        tracing::info!(
            event = "share_claimed",
            customers = claims.len(),
            committed,
        );
        Ok(())
    }

    /// Reads newer settings from another host while the table service doesn't
    /// answer. Each call sends the request to the next of the known addresses.
    async fn fetch_settings_from_peer(&mut self) {
        let own_address = self.setup.identity.peer_address.as_str();
        let mut addresses: Vec<String> = self
            .leases
            .values()
            .map(|lease| lease.peer_address.clone())
            .chain(self.setup.seeds.iter().cloned())
            .filter(|address| address != own_address)
            .collect();
        addresses.sort();
        addresses.dedup();
        if addresses.is_empty() {
            return;
        }
        self.peer_round += 1;
        let address = &addresses[self.peer_round % addresses.len()];
        let above = self.setup.settings.borrow().state.revision;
        let request = PeerRequest::Settings { above };
        let answer = self.setup.peers.ask(address, &request).await;
        let Some(PeerResponse::Settings(settings)) = answer else { return };
        if let Some(state) = settings.state {
            self.adopt(&state, settings.confirmed).await;
        } else if settings.revision == above {
            self.confirm(settings.confirmed);
        }
    }

    fn update_lease_metric(&self) {
        let now = self.setup.clock.bound();
        let live = self.own_lease.as_ref().is_some_and(|own| own.is_live(now));
        self.setup.metrics.lease_live.set(i64::from(live));
    }

    fn record_failure(&self, error: &anyhow::Error) {
        self.setup.metrics.platform_errors.inc();
        tracing::warn!(
            event = "platform_failed",
            error = format!("{error:#}"),
        );
    }
}

/// Returns the claim that writes a customer's first row, if no row exists. The
/// claim is due even if this host is the preferred holder of none of the
/// customer's parts.
fn first_row_claim(exists: bool, row: ShareRow) -> Option<ShareClaim> {
    (!exists).then(|| ShareClaim { row, depends_on: Vec::new() })
}

fn decode_share_rows(answer: &ReadResponse) -> anyhow::Result<Vec<ShareRow>> {
    let rows = answer.rows_with_prefix(SHARES_PREFIX);
    rows.map(TableRow::decode).collect()
}
