//! A host: the start and the shutdown of its sockets and tasks.

use std::{
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use anyhow::Context as _;
use serde::{Deserialize, Serialize};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    task::JoinHandle,
    time::Instant,
};
use tracing::Instrument as _;

use super::{
    acceptor, admin,
    context::HostContext,
    dispatch, intake, machine,
    member::{self, HostIdentity, MemberEvent, MemberSetup},
    owner::{self, OwnerSetup},
    peer::{self, PeerSources},
    shares,
    usage::{self, UsageSetup},
};
use crate::{
    clock::HostClock,
    intake::IntakeLimits,
    metrics::HostMetrics,
    platform::TableClient,
    settings::SettingsView,
    wire::{
        headers,
        peer::{PeerIdentity, certificates, crypto_provider, private_key},
    },
};

/// Options with which a host is started.
#[derive(Clone)]
pub struct HostOptions {
    /// Name of the host, unique in the fleet.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Address on which the host listens for callers, as `IP:PORT`.
    pub listen: String,
    /// Address on which the host listens for other hosts, as `IP:PORT`.
    pub peer_listen: String,
    /// Address at which other hosts reach this host, if it differs from
    /// `peer_listen`.
    pub peer_address: Option<String>,
    /// Address on which the host serves health, status and metrics, as
    /// `IP:PORT`.
    pub admin_listen: String,
    /// Address of the table service.
    pub table: String,
    /// Address of the object store for usage records. Without it, usage isn't
    /// recorded.
    pub objects: Option<String>,
    /// Addresses of other hosts from which the host reads settings if it
    /// starts while the table service can't be reached.
    pub seeds: Vec<String>,
    /// Credential that the host sends to backend servers.
    pub credential: String,
    /// Certificate, key and authority for the connections between hosts.
    pub identity: PeerIdentity,
    /// Certificate chain and private key for the connections of callers, in
    /// PEM. Without them, callers connect without TLS.
    pub caller_tls: Option<(String, String)>,
    /// Time for which a lease is valid without renewal.
    pub lease_ttl: Duration,
    /// Time for which a leaving host still accepts new callers.
    pub drain_grace: Duration,
    /// Longest time, after `drain_grace`, for which a leaving host waits for
    /// its unfinished answers.
    pub drain_limit: Duration,
}

/// Phase in the life cycle of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum HostPhase {
    /// Accepts callers.
    Serving,
    /// Reports itself as not ready and still accepts callers.
    Leaving,
    /// Accepts no callers and finishes the requests in flight.
    Ending,
}

/// A host whose sockets are open and whose tasks run.
pub struct RunningHost {
    /// Address on which the host listens for callers.
    pub listen: String,
    /// Address on which the host listens for other hosts.
    pub peer_listen: String,
    /// Address on which the host serves health, status and metrics.
    pub admin_listen: String,
    options: HostOptions,
    phase: watch::Sender<HostPhase>,
    member: mpsc::Sender<MemberEvent>,
    acceptor: JoinHandle<()>,
    admin: JoinHandle<()>,
    usage: JoinHandle<()>,
    span: tracing::Span,
}

/// Opens the sockets of a host and starts its tasks.
///
/// # Errors
///
/// Returns an error if an address can't be bound or a certificate can't
/// be read.
///
/// # Examples
///
/// ```no_run
/// # async fn run(options: celerylead::host::HostOptions)
/// # -> anyhow::Result<()> {
/// let host = celerylead::host::start(&options).await?;
/// println!("listening at {}", host.listen);
/// host.shut_down().await;
/// # Ok(())
/// # }
/// ```
pub async fn start(options: &HostOptions) -> anyhow::Result<RunningHost> {
    let span = tracing::info_span!(
        "host",
        host = options.host.as_str(),
        zone = options.zone.as_str(),
    );
    start_tasks(options, span.clone()).instrument(span).await
}

async fn start_tasks(
    options: &HostOptions,
    span: tracing::Span,
) -> anyhow::Result<RunningHost> {
    let tls = caller_tls(options)?;
    let listener = bind(&options.listen).await?;
    let admin_listener = bind(&options.admin_listen).await?;
    let endpoint = options.identity.endpoint(&options.peer_listen)?;
    let peer_listen = endpoint.local_addr()?.to_string();
    let started = start_state(options, &endpoint, &peer_listen)?;
    let (phase, phase_watch) = watch::channel(HostPhase::Serving);
    let listen = listener.local_addr()?.to_string();
    let admin_listen = admin_listener.local_addr()?.to_string();
    let context = started.context;
    let admin =
        admin::run(admin_listener, context.clone(), phase_watch.clone());
    let acceptor = acceptor::run(listener, tls, context, phase_watch);
    tracing::info!(event = "host_started", listen, peer_listen, admin_listen,);
    Ok(RunningHost {
        listen,
        peer_listen,
        admin_listen,
        options: options.clone(),
        phase,
        member: started.member,
        acceptor: super::spawn(acceptor),
        admin: super::spawn(admin),
        usage: started.usage,
        span,
    })
}

/// Handles to the tasks that have no socket for callers.
struct StartedState {
    context: HostContext,
    member: mpsc::Sender<MemberEvent>,
    usage: JoinHandle<()>,
}

/// Starts the tasks that own the host's state.
fn start_state(
    options: &HostOptions,
    endpoint: &quinn::Endpoint,
    peer_listen: &str,
) -> anyhow::Result<StartedState> {
    let credential = headers::bearer(&options.credential)?;
    let identity = HostIdentity {
        host: options.host.clone(),
        zone: options.zone.clone(),
        peer_address: options
            .peer_address
            .clone()
            .unwrap_or_else(|| peer_listen.to_owned()),
        nonce: rand::random(),
    };
    let clock = HostClock::default();
    let metrics = HostMetrics::default();
    let table = TableClient::new(&options.table);
    let (settings, settings_watch) = watch::channel(SettingsView::default());
    let (neighbours, neighbours_watch) = watch::channel(Vec::new());
    let (peers, peer_inbox) = peer::mailbox();
    let (share_sender, share_inbox) = shares::mailbox();
    let (copy_sender, copies) = usage::copies_mailbox();
    let (member, member_inbox) = member::mailbox();
    let sources = PeerSources {
        shares: share_sender.clone(),
        settings: settings_watch.clone(),
        usage: copy_sender,
        member: member.clone(),
    };
    peer::start(endpoint, &sources, peer_inbox);
    let shares = shares::start(
        &options.zone,
        &clock,
        &peers,
        share_inbox,
        share_sender.clone(),
    );
    let dispatch = dispatch::start(
        &options.zone,
        &clock,
        settings_watch.clone(),
        &metrics,
    );
    owner::start(OwnerSetup {
        identity: identity.clone(),
        table: table.clone(),
        clock: clock.clone(),
        settings: settings_watch.clone(),
        dispatch: dispatch.clone(),
    });
    let usage_setup = UsageSetup {
        store: options.objects.clone(),
        host: options.host.clone(),
        nonce: identity.nonce,
        peers: peers.clone(),
        neighbours: neighbours_watch,
        metrics: metrics.clone(),
    };
    let (usage, usage_task) = usage::start(usage_setup, copies);
    let setup = MemberSetup {
        identity: identity.clone(),
        table,
        clock: clock.clone(),
        lease_ttl: options.lease_ttl,
        seeds: options.seeds.clone(),
        shares: share_sender,
        peers,
        dispatch: dispatch.clone(),
        settings,
        neighbours,
        metrics: metrics.clone(),
    };
    member::start(setup, member_inbox);
    let limits =
        IntakeLimits::of(machine::memory_bytes(), machine::descriptors());
    let intake = intake::start(limits, clock.clone(), metrics.clone());
    let context = HostContext {
        dispatch,
        identity,
        clock,
        settings: settings_watch,
        shares,
        usage,
        metrics,
        credential,
        sequence: Arc::new(AtomicU64::new(1)),
        intake,
    };
    Ok(StartedState { context, member, usage: usage_task })
}

impl RunningHost {
    /// Leaves the fleet, and returns once every request in flight has its
    /// answer or the drain limit has passed.
    ///
    /// The host first gives up its lease and its parts of customers' rates. It
    /// goes on accepting callers for the drain grace, in which the platform's
    /// load balancer notices that it leaves, and then accepts none.
    pub async fn shut_down(self) {
        let span = self.span.clone();
        self.leave().instrument(span).await;
    }

    async fn leave(self) {
        tracing::info!(event = "host_leaving");
        self.phase.send_replace(HostPhase::Leaving);
        let grace_end = Instant::now() + self.options.drain_grace;
        super::ask(&self.member, MemberEvent::Release).await;
        tokio::time::sleep_until(grace_end).await;
        self.phase.send_replace(HostPhase::Ending);
        let deadline = Instant::now() + self.options.drain_limit;
        if tokio::time::timeout_at(deadline, self.acceptor).await.is_err() {
            tracing::error!(event = "drain_limit_reached");
        }
        // Once the acceptor has ended, the admin task holds the last handle to
        // the usage task. That task ends when the handle is dropped.
        self.admin.abort();
        let _ = self.admin.await;
        let _ = tokio::time::timeout_at(deadline, self.usage).await;
        tracing::info!(event = "host_stopped");
    }
}

async fn bind(address: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("step=listen peer={address}"))
}

fn caller_tls(
    options: &HostOptions,
) -> anyhow::Result<Option<Arc<rustls::ServerConfig>>> {
    let Some((chain, key)) = &options.caller_tls else { return Ok(None) };
    let config =
        rustls::ServerConfig::builder_with_provider(crypto_provider())
            .with_safe_default_protocol_versions()?
            .with_no_client_auth()
            .with_single_cert(certificates(chain)?, private_key(key)?)?;
    Ok(Some(Arc::new(config)))
}
