//! The task that owns the sockets for readiness, metrics and snapshots.
//!
//! Snapshots contain what another host needs to serve while the store is
//! unavailable: the catalog, which contains keys only as hashes, the evacuated
//! zones, the roster and the hosts.

use std::{
    convert::Infallible,
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming,
    server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::de::DeserializeOwned;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::oneshot,
    task::JoinSet,
    time::Instant,
};

use super::{NodeContext, NodePhase, RosterWatch, router_port::RouterEvent};
use crate::{
    catalog::{EvacuationList, ServiceCatalog},
    intake::ConnectionQueue,
    membership::HostListing,
    port::{EdgeCodec, HttpLink, SendFault},
    quarantine::PartId,
    roster::RunnerFacts,
    step::{StepContext as _, StepName},
    wire::link,
};

const METRICS_PATH: &str = "/metrics";
/// Path of the catalog's snapshot, which other hosts read.
const CATALOG_PATH: &str = "/snapshot/catalog";
/// Path of the snapshot of the evacuated zones, which other hosts read.
const EVACUATIONS_PATH: &str = "/snapshot/evacuations";
/// Path of the roster's snapshot, which other hosts read.
const ROSTER_PATH: &str = "/snapshot/roster";
/// Path of the list of hosts, which hosts read that start without the store.
const HOSTS_PATH: &str = "/snapshot/hosts";
/// Path of the verdicts on parts of prompts. `DELETE` on the path followed by a
/// slash and a part ends the part's verdict.
const VERDICTS_PATH: &str = "/quarantine";
/// Longest wait for a snapshot from another host.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Largest snapshot that is accepted from another host.
const MAX_SNAPSHOT_BYTES: usize = 16 << 20;
/// Longest time for which a connection may be idle or wait for the rest of a
/// request head.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Most connections of one listener. Probes, scrapes and snapshots are short,
/// and the two listeners stay below the descriptors that aren't for callers.
const MAX_CONNECTIONS: usize = 48;
/// Most bytes that a connection buffers of a head, or of what follows it.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// Time after which a further connection must give way, if those before are
/// still busy.
const GIVE_WAY_INTERVAL: Duration = Duration::from_millis(50);
/// Time from its start within which the first request of a connection is
/// awaited, even if the connection must give way. When many hosts fetch a
/// snapshot at once, the oldest one may have just connected.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(200);
/// Time for which a connection that must give way may go on with an answer: as
/// long as other hosts wait for one.
const LAST_ANSWER_TIME: Duration = SNAPSHOT_TIMEOUT;

/// Accepts the connections of one listener and answers their requests.
pub(crate) async fn run<C: EdgeCodec>(
    listener: TcpListener,
    context: NodeContext<C>,
    roster: RosterWatch,
) {
    let mut connections = JoinSet::new();
    let mut queue = ConnectionQueue::new();
    let mut next_give_way = Instant::now();
    loop {
        let is_over = MAX_CONNECTIONS < connections.len();
        tokio::select! {
            stream = link::accept(&listener), if !is_over => {
                let (handle, give_way) = oneshot::channel();
                let id = queue.add(handle);
                let task =
                    serve(stream, context.clone(), roster.clone(), give_way);
                connections.spawn(async move {
                    task.await;
                    id
                });
            }
            Some(ended) = connections.join_next() => {
                if let Ok(id) = ended {
                    queue.remove(id);
                }
            }
            () = tokio::time::sleep_until(next_give_way), if is_over => {}
        }
        next_give_way = Instant::now() + GIVE_WAY_INTERVAL;
        let handle = queue.give_way(connections.len(), MAX_CONNECTIONS);
        if let Some(handle) = handle {
            let _: Result<(), ()> = handle.send(());
            context.metrics.count_close("control_gave_way");
        }
    }
}

/// Serves a connection until it ends. One that must give way ends at once if
/// it has sent no request within [`FIRST_REQUEST_TIME`], else after
/// [`LAST_ANSWER_TIME`].
async fn serve<C: EdgeCodec>(
    stream: TcpStream,
    context: NodeContext<C>,
    roster: RosterWatch,
    give_way: oneshot::Receiver<()>,
) {
    if link::set_caller_options(&stream).is_err() {
        return;
    }
    let first_request_due = Instant::now() + FIRST_REQUEST_TIME;
    let served = AtomicBool::new(false);
    let service = service_fn(|request| {
        let (context, roster, served) = (&context, &roster, &served);
        async move {
            served.store(true, Ordering::Relaxed);
            let answered = answer(context, roster, &request).await;
            Ok::<_, Infallible>(answered)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(READ_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        Ok(()) = give_way => {
            if !served.load(Ordering::Relaxed) {
                let first =
                    tokio::time::timeout_at(first_request_due, &mut connection);
                if first.await.is_ok() || !served.load(Ordering::Relaxed) {
                    return;
                }
            }
            connection.as_mut().graceful_shutdown();
            let ended = tokio::time::timeout(LAST_ANSWER_TIME, connection);
            match ended.await {
                Ok(ended) => ended,
                Err(_) => return,
            }
        }
    };
    if let Err(error) = ended {
        tracing::debug!(event = "control_closed", %error);
    }
}

async fn answer<C: EdgeCodec>(
    context: &NodeContext<C>,
    roster: &RosterWatch,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    let path = request.uri().path();
    if let Some(part) = path.strip_prefix(VERDICTS_PATH) {
        return answer_quarantine(context, request.method(), part).await;
    }
    match path {
        METRICS_PATH => text(StatusCode::OK, context.metrics.text()),
        CATALOG_PATH => snapshot(context.catalog().as_deref()),
        EVACUATIONS_PATH => {
            let evacuations = context.evacuations.borrow().clone();
            snapshot(Some(&*evacuations))
        }
        ROSTER_PATH => {
            let facts = roster.borrow().clone();
            snapshot(facts.as_deref())
        }
        HOSTS_PATH => snapshot(context.gossip.hosts().await.as_deref()),
        _ => ready(context),
    }
}

/// Lists the verdicts on parts of prompts, or ends one.
async fn answer_quarantine<C>(
    context: &NodeContext<C>,
    method: &Method,
    part: &str,
) -> Response<Full<Bytes>> {
    let router = &context.router.sender;
    let part = part.strip_prefix('/').unwrap_or(part);
    if *method != Method::DELETE || part.is_empty() {
        let verdicts =
            crate::tasks::ask(router, RouterEvent::ReadVerdicts).await;
        return snapshot(verdicts.as_deref());
    }
    let Ok(part) = part.parse::<PartId>() else {
        let reason = format!("{part} isn't a hexadecimal number");
        return text(StatusCode::BAD_REQUEST, reason);
    };
    let lift = |reply| RouterEvent::LiftVerdict(part, reply);
    match crate::tasks::ask(router, lift).await {
        Some(true) => text(StatusCode::OK, "lifted".to_owned()),
        _ => text(StatusCode::NOT_FOUND, "no such verdict".to_owned()),
    }
}

/// Returns the answer to a readiness probe. The host is ready if it accepts
/// callers and knows a catalog.
pub(crate) fn ready<C: EdgeCodec>(
    context: &NodeContext<C>,
) -> Response<Full<Bytes>> {
    let serving = *context.phase.borrow() == NodePhase::Serving;
    if !serving {
        return text(StatusCode::SERVICE_UNAVAILABLE, "leaving".to_owned());
    }
    if context.catalog.borrow().is_none() {
        let reason = "no-configuration".to_owned();
        return text(StatusCode::SERVICE_UNAVAILABLE, reason);
    }
    text(StatusCode::OK, "ready".to_owned())
}

fn text(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

/// Returns a value as JSON, or status 404 if there is none.
fn snapshot<T: serde::Serialize + ?Sized>(
    value: Option<&T>,
) -> Response<Full<Bytes>> {
    let Some(value) = value else {
        return text(StatusCode::NOT_FOUND, String::new());
    };
    match serde_json::to_string(value) {
        Ok(body) => text(StatusCode::OK, body),
        Err(error) => {
            tracing::error!(event = "snapshot_failed", %error);
            text(StatusCode::INTERNAL_SERVER_ERROR, String::new())
        }
    }
}

/// Fetches the catalog of another host; `None` if that host has none.
pub(crate) async fn fetch_catalog(
    address: &str,
) -> anyhow::Result<Option<ServiceCatalog>> {
    fetch(address, CATALOG_PATH).await
}

/// Fetches the evacuated zones that another host knows.
pub(crate) async fn fetch_evacuations(
    address: &str,
) -> anyhow::Result<Option<EvacuationList>> {
    fetch(address, EVACUATIONS_PATH).await
}

/// Fetches the hosts that another one knows; `None` if it knows no list.
pub(crate) async fn fetch_hosts(
    address: &str,
) -> anyhow::Result<Option<Vec<HostListing>>> {
    fetch(address, HOSTS_PATH).await
}

/// Fetches the roster of another host; empty if that host has none.
pub(crate) async fn fetch_roster(
    address: &str,
) -> anyhow::Result<Vec<RunnerFacts>> {
    let facts = fetch(address, ROSTER_PATH).await?;
    Ok(facts.unwrap_or_default())
}

/// Fetches a snapshot; `None` if the other host answers with an error status,
/// as it does while it has no value to send.
async fn fetch<T: DeserializeOwned>(
    address: &str,
    path: &str,
) -> anyhow::Result<Option<T>> {
    let deadline = Instant::now() + SNAPSHOT_TIMEOUT;
    let request = Request::get(path)
        .header(hyper::header::HOST, address)
        .body(Full::new(Bytes::new()))?;
    let mut link = HttpLink::open(address, deadline).await?;
    let sent = link.send(request, deadline).await;
    let response = sent
        .map_err(SendFault::into_error)
        .at(StepName::AwaitHead, address)?;
    if !response.status().is_success() {
        return Ok(None);
    }
    let body = Limited::new(response.into_body(), MAX_SNAPSHOT_BYTES);
    let bytes = tokio::time::timeout_at(deadline, body.collect())
        .await
        .at(StepName::ReadBody, address)?
        .map_err(|error| anyhow::anyhow!("{error}"))?
        .to_bytes();
    serde_json::from_slice(&bytes).at(StepName::Decode, address)
}
