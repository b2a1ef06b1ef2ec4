//! The task of one connection of a caller.
//!
//! The HTTP library fixes its limits when it begins to read a connection. When
//! the configuration changes them, the library gives the connection back
//! between two requests, with the bytes that it has read of the next head, and
//! begins to read it anew.

use std::{
    convert::Infallible,
    future,
    pin::Pin,
    sync::{Arc, atomic::Ordering},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use hyper::{
    Request, Response,
    body::{Body, Frame, Incoming, SizeHint},
    header::{self, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;

use super::{
    CatalogWatch, NodeContext, NodePhase, acceptor,
    body::RelayBody,
    call::{self, AnswerDeadline, UnreadBody},
    caller_socket::{CallerSocket, ConnectionFlags},
};
use crate::{
    intake, metrics::HostMetrics, port::EdgeCodec,
    tasks::connection_place::ConnectionPlace, wire::link,
};

/// Multiple of the configured idle time after which an idle connection is
/// closed, as callers may learn of a longer time before the host does.
const IDLE_FACTOR: u32 = 2;

/// Limits under which the HTTP library reads a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReadLimits {
    head_bytes: usize,
    /// Longest wait for a head.
    idle: Duration,
}

impl ReadLimits {
    /// Returns the limits in force. The caller may still go by a longer idle
    /// time of before.
    fn in_force(catalog: &CatalogWatch, former_idle: Duration) -> ReadLimits {
        let catalog = catalog.borrow();
        let limits = catalog.as_ref().map(|c| c.limits).unwrap_or_default();
        let idle = Duration::from_millis(limits.idle_ms) * IDLE_FACTOR;
        ReadLimits {
            head_bytes: limits.head_bytes,
            idle: idle.max(former_idle),
        }
    }

    /// Waits until other limits are in force.
    async fn outdated(self, mut catalog: CatalogWatch) {
        while ReadLimits::in_force(&catalog, self.idle) == self {
            if catalog.changed().await.is_err() {
                return future::pending().await;
            }
        }
    }
}

/// Serves a connection until it ends. One that is told to give way ends after
/// the request in flight, or at once if it has sent none or the caller leaves
/// its answer unread.
pub(super) async fn serve<C: EdgeCodec>(
    stream: TcpStream,
    context: NodeContext<C>,
    place: ConnectionPlace,
) {
    if let Err(error) = link::set_caller_options(&stream) {
        tracing::debug!(event = "caller_closed", %error);
        return;
    }
    let flags = Arc::new(ConnectionFlags::default());
    let place = Arc::new(place);
    let mut socket =
        CallerSocket::new(stream, Arc::clone(&flags), Arc::clone(&place));
    let mut limits = ReadLimits::in_force(&context.catalog, Duration::ZERO);
    loop {
        match read(socket, limits, &context, &flags, &place).await {
            Ok(Some(returned)) => socket = returned,
            Ok(None) => return,
            Err(error) => {
                call::note_unparsed_head(&context, &error);
                tracing::debug!(event = "caller_closed", %error);
                return;
            }
        }
        limits = ReadLimits::in_force(&context.catalog, limits.idle);
    }
}

/// Answers requests until the connection ends. Returns its socket if other
/// limits are in force.
async fn read<C: EdgeCodec>(
    socket: CallerSocket,
    limits: ReadLimits,
    context: &NodeContext<C>,
    flags: &Arc<ConnectionFlags>,
    place: &ConnectionPlace,
) -> hyper::Result<Option<CallerSocket>> {
    let service = service_fn(|request| {
        // The library polls a connection that it gives back only if the
        // service's future is `Unpin`.
        Box::pin(async move {
            Ok::<_, Infallible>(answer(context, flags, place, request).await)
        })
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle)
        // The head has to fit.
        .max_buf_size(link::READ_BUFFER_BYTES.max(limits.head_bytes))
        .max_header_size(limits.head_bytes)
        .max_headers(intake::max_headers(limits.head_bytes))
        .serve_connection(TokioIo::new(socket), service);
    let mut phase = context.phase.clone();
    // What the connection has done is known before it is asked for its state.
    let outdated = tokio::select! {
        biased;
        ended = &mut connection => return ended.map(|()| None),
        () = acceptor::until_ending(&mut phase) => false,
        () = place.wait_until_giving_way() => {
            // A part of a first head would be waited for.
            if !flags.served.load(Ordering::Relaxed)
                || flags.untaken.load(Ordering::Relaxed)
            {
                return Ok(None);
            }
            false
        }
        () = between_requests(limits, &context.catalog, flags) => true,
    };
    // Before its first request, the library has read a part of a head at most.
    if !outdated || flags.served.load(Ordering::Relaxed) {
        // Ends after the request in flight, if there is one.
        Pin::new(&mut connection).graceful_shutdown();
        let ended = future::poll_fn(|context| {
            Poll::Ready(connection.poll_without_shutdown(context))
        });
        // What is left of a body must not be read as a head.
        let is_clean = outdated && flags.body_read.load(Ordering::Relaxed);
        match ended.await {
            Poll::Ready(Err(error)) => return Err(error),
            Poll::Ready(Ok(())) if is_clean => {}
            _ => return connection.await.map(|()| None),
        }
    }
    let parts = connection.into_parts();
    let mut socket = parts.io.into_inner();
    socket.put_back(parts.read_buf);
    Ok(Some(socket))
}

/// Waits until other limits are in force and the connection has no request and
/// no answer.
async fn between_requests(
    limits: ReadLimits,
    catalog: &CatalogWatch,
    flags: &ConnectionFlags,
) {
    limits.outdated(catalog.clone()).await;
    // The flags change only when this task polls the connection.
    future::poll_fn(|_| match flags.is_between_requests() {
        true => Poll::Ready(()),
        false => Poll::Pending,
    })
    .await;
}

/// Answers one request. Asks the caller to close the connection unless the
/// host is serving, or if the request's body wasn't read to its end.
async fn answer<C: EdgeCodec>(
    context: &NodeContext<C>,
    flags: &Arc<ConnectionFlags>,
    place: &ConnectionPlace,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    flags.served.store(true, Ordering::Relaxed);
    let in_answer = InAnswer::begin(flags);
    let has_no_body = request.body().is_end_stream();
    let in_flight = InFlight::begin(&context.metrics);
    let mut response = call::answer(context, place, request).await;
    drop(in_flight);
    let deadline = response.extensions().get::<AnswerDeadline>();
    if let Some(AnswerDeadline(deadline)) = deadline {
        flags.silence.extend_to(*deadline);
    }
    // A runner is sent whole bodies only.
    let body_read = has_no_body || deadline.is_some();
    flags.body_read.store(body_read, Ordering::Relaxed);
    let unread = response.extensions().get::<UnreadBody>().is_some();
    if unread {
        flags.unread.store(true, Ordering::Relaxed);
    }
    if unread || *context.phase.borrow() != NodePhase::Serving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response.map(|body| AnswerBody { body, _in_answer: in_answer })
}

/// Marks the connection as busy from the head of a request to the end of its
/// answer.
struct InAnswer(Arc<ConnectionFlags>);

impl InAnswer {
    fn begin(flags: &Arc<ConnectionFlags>) -> InAnswer {
        flags.busy.store(true, Ordering::Relaxed);
        InAnswer(Arc::clone(flags))
    }
}

impl Drop for InAnswer {
    fn drop(&mut self) {
        self.0.busy.store(false, Ordering::Relaxed);
    }
}

/// Body of an answer, which the HTTP library drops at its end.
struct AnswerBody {
    body: RelayBody,
    _in_answer: InAnswer,
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = anyhow::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, anyhow::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
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
