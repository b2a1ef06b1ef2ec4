//! The task that owns the callers' listener, and one task for each
//! connection.

use std::{
    convert::Infallible,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use hyper::{
    Request, Response,
    body::Incoming,
    header::{self, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, watch},
    task::JoinSet,
    time::Instant,
};

use super::{
    NodeContext, NodePhase,
    body::RelayBody,
    call::{self, AnswerDeadline, UnreadBody},
    caller_socket::{CallerSocket, ConnectionFlags},
};
use crate::{
    intake::ConnectionQueue,
    metrics::HostMetrics,
    port::EdgeCodec,
    tasks::{MAILBOX_CAPACITY, connection_place::ConnectionPlace},
    wire::link,
};

/// Multiple of the configured idle time after which an idle connection is
/// closed. Callers may follow a changed setting at once, while an open
/// connection keeps the setting with which it was opened.
const IDLE_FACTOR: u32 = 2;
/// Time after which a further connection is told to give way, if those told
/// before are still busy.
const GIVE_WAY_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest time between two log lines about connections that gave way.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Accepts connections until the host reaches [`NodePhase::Ending`], then
/// waits until every request in flight has its answer.
pub(crate) async fn run<C: EdgeCodec>(
    listener: TcpListener,
    context: NodeContext<C>,
) {
    let mut phase = context.phase.clone();
    let mut connections = JoinSet::new();
    let mut queue = ConnectionQueue::new();
    let (events, mut event_inbox) = mpsc::channel(MAILBOX_CAPACITY);
    let mut report = GiveWayReport::default();
    let mut next_give_way = Instant::now();
    loop {
        let bound = context.connection_bound();
        // One more than the bound is accepted, since only then it is known
        // that a connection has to give way.
        let is_over = bound < connections.len();
        tokio::select! {
            stream = link::accept(&listener), if !is_over => {
                let (handle, gives_way) = watch::channel(false);
                let id = queue.add(handle);
                let place =
                    ConnectionPlace::new(id, events.clone(), gives_way);
                let task = serve(stream, context.clone(), place);
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
            Some(event) = event_inbox.recv() => {
                queue.note(event);
                continue;
            }
            () = tokio::time::sleep_until(next_give_way), if is_over => {}
            () = until_ending(&mut phase) => break,
        }
        let open = connections.len();
        context.metrics.open_connections.set(gauge_value(open));
        next_give_way = Instant::now() + GIVE_WAY_INTERVAL;
        if let Some(handle) = queue.give_way(open, bound) {
            handle.send_replace(true);
            context.metrics.count_close("gave_way");
            report.note(open, bound);
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

/// Log of connections that gave way, with one line at a time.
#[derive(Default)]
struct GiveWayReport {
    connections: u64,
    logged_at: Option<Instant>,
}

impl GiveWayReport {
    fn note(&mut self, open: usize, bound: usize) {
        self.connections += 1;
        let now = Instant::now();
        if self.logged_at.is_some_and(|at| now < at + LOG_INTERVAL) {
            return;
        }
        let connections = std::mem::take(&mut self.connections);
        tracing::warn!(
            event = "connections_gave_way",
            connections,
            open,
            bound
        );
        self.logged_at = Some(now);
    }
}

/// Waits until the host reaches [`NodePhase::Ending`].
async fn until_ending(phase: &mut watch::Receiver<NodePhase>) {
    let _ = phase.wait_for(|phase| *phase == NodePhase::Ending).await;
}

/// Serves a connection until it ends. One that is told to give way ends after
/// the request in flight, or at once if it has sent none or the caller leaves
/// its answer unread.
async fn serve<C: EdgeCodec>(
    stream: TcpStream,
    context: NodeContext<C>,
    place: ConnectionPlace,
) {
    if let Err(error) = link::set_caller_options(&stream) {
        tracing::debug!(event = "caller_closed", %error);
        return;
    }
    let limits =
        context.catalog().map(|catalog| catalog.limits).unwrap_or_default();
    let idle = Duration::from_millis(limits.idle_ms) * IDLE_FACTOR;
    let mut phase = context.phase.clone();
    let flags = Arc::new(ConnectionFlags::default());
    let place = Arc::new(place);
    let service = service_fn(|request| {
        let (context, flags, place) = (&context, &flags, &place);
        async move {
            flags.served.store(true, Ordering::Relaxed);
            Ok::<_, Infallible>(answer(context, flags, place, request).await)
        }
    });
    let socket =
        CallerSocket::new(stream, Arc::clone(&flags), Arc::clone(&place));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        // The head has to fit.
        .max_buf_size(link::READ_BUFFER_BYTES.max(limits.head_bytes))
        .max_header_size(limits.head_bytes)
        .serve_connection(TokioIo::new(socket), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = until_ending(&mut phase) => {
            // Ends after the request in flight, if there is one.
            connection.as_mut().graceful_shutdown();
            connection.await
        }
        () = place.wait_until_giving_way() => {
            // A part of a first head would be waited for.
            if !flags.served.load(Ordering::Relaxed)
                || flags.untaken.load(Ordering::Relaxed)
            {
                return;
            }
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        tracing::debug!(event = "caller_closed", %error);
    }
}

/// Answers one request. Asks the caller to close the connection unless the
/// host is serving, or if the request's body wasn't read to its end.
async fn answer<C: EdgeCodec>(
    context: &NodeContext<C>,
    flags: &ConnectionFlags,
    place: &ConnectionPlace,
    request: Request<Incoming>,
) -> Response<RelayBody> {
    let in_flight = InFlight::begin(&context.metrics);
    let mut response = call::answer(context, place, request).await;
    drop(in_flight);
    if let Some(AnswerDeadline(deadline)) = response.extensions().get() {
        flags.silence.extend_to(*deadline);
    }
    let unread = response.extensions().get::<UnreadBody>().is_some();
    if unread {
        flags.unread.store(true, Ordering::Relaxed);
    }
    if unread || *context.phase.borrow() != NodePhase::Serving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Counts a request as in flight until its answer begins or its caller
/// disconnects.
struct InFlight<'a>(&'a HostMetrics);

impl InFlight<'_> {
    fn begin(metrics: &HostMetrics) -> InFlight<'_> {
        metrics.in_flight.inc();
        InFlight(metrics)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.dec();
    }
}
