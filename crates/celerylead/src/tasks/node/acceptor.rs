//! The task that owns the callers' listener, and one task for each
//! connection.

use std::{convert::Infallible, time::Duration};

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
    sync::watch,
    task::JoinSet,
};

use super::{NodeContext, NodePhase, body::RelayBody, call};
use crate::{metrics::HostMetrics, port::EdgeCodec, wire::link};

/// Multiple of the configured idle time after which an idle connection is
/// closed. Callers may follow a changed setting at once, while an open
/// connection keeps the setting with which it was opened.
const IDLE_FACTOR: u32 = 2;

/// Accepts connections until the host reaches [`NodePhase::Ending`], then
/// waits until every request in flight has its answer.
pub(crate) async fn run<C: EdgeCodec>(
    listener: TcpListener,
    context: NodeContext<C>,
) {
    let mut phase = context.phase.clone();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            stream = link::accept(&listener) => {
                connections.spawn(serve(stream, context.clone()));
            }
            Some(_) = connections.join_next() => {}
            () = until_ending(&mut phase) => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Waits until the host reaches [`NodePhase::Ending`].
async fn until_ending(phase: &mut watch::Receiver<NodePhase>) {
    let _ = phase.wait_for(|phase| *phase == NodePhase::Ending).await;
}

async fn serve<C: EdgeCodec>(stream: TcpStream, context: NodeContext<C>) {
    if let Err(error) = link::set_socket_options(&stream) {
        tracing::debug!(event = "caller_closed", %error);
        return;
    }
    let limits =
        context.catalog().map(|catalog| catalog.limits).unwrap_or_default();
    let idle = Duration::from_millis(limits.idle_ms) * IDLE_FACTOR;
    let mut phase = context.phase.clone();
    let service = service_fn(|request| {
        let context = &context;
        async move { Ok::<_, Infallible>(answer(context, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        // The head has to fit.
        .max_buf_size(link::READ_BUFFER_BYTES.max(limits.head_bytes))
        .max_header_size(limits.head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = until_ending(&mut phase) => {
            // Ends after the request in flight, if there is one.
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        tracing::debug!(event = "caller_closed", %error);
    }
}

/// Answers one request. Unless the host is serving, asks the caller to close
/// the connection.
async fn answer<C: EdgeCodec>(
    context: &NodeContext<C>,
    request: Request<Incoming>,
) -> Response<RelayBody> {
    let in_flight = InFlight::begin(&context.metrics);
    let mut response = call::answer(context, request).await;
    drop(in_flight);
    if *context.phase.borrow() != NodePhase::Serving {
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
