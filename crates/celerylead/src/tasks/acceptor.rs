//! The task that owns the callers' listener, and one task for each caller's
//! connection.

use std::{convert::Infallible, sync::Arc, time::Duration};

use http_body_util::Full;
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming,
    header::HeaderValue, server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::json;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
};
use tokio_rustls::TlsAcceptor;

use super::{
    call, context::HostContext, host::HostPhase, service, stream::AnswerBody,
};
use crate::{
    request::{Refusal, RefusalCode, RequestId},
    wire::{headers::REQUEST_ID, link, reply},
};

/// Longest wait for the head of a request, also between two requests on a
/// connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest wait for a TLS handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest head of a request.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Accepts callers until the host stops listening, then waits until every
/// request in flight is answered.
pub(crate) async fn run(
    listener: TcpListener,
    tls: Option<Arc<rustls::ServerConfig>>,
    context: HostContext,
    mut phase: watch::Receiver<HostPhase>,
) {
    let acceptor = tls.map(TlsAcceptor::from);
    let mut callers = JoinSet::new();
    loop {
        tokio::select! {
            stream = link::accept(&listener) => {
                let caller = CallerTask {
                    context: context.clone(),
                    phase: phase.clone(),
                };
                let acceptor = acceptor.clone();
                callers.spawn(caller.start(stream, acceptor));
            }
            Some(_) = callers.join_next() => {}
            () = wait_for_ending(&mut phase) => break,
        }
    }
    drop(listener);
    while callers.join_next().await.is_some() {}
}

/// Waits until the host accepts no more callers.
async fn wait_for_ending(phase: &mut watch::Receiver<HostPhase>) {
    let _ = phase.wait_for(|phase| *phase == HostPhase::Ending).await;
}

/// State of the task of one caller's connection.
struct CallerTask {
    context: HostContext,
    phase: watch::Receiver<HostPhase>,
}

impl CallerTask {
    async fn start(self, stream: TcpStream, acceptor: Option<TlsAcceptor>) {
        let _ = stream.set_nodelay(true);
        let Some(acceptor) = acceptor else {
            return self.serve(stream).await;
        };
        let handshake =
            tokio::time::timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream));
        match handshake.await {
            Ok(Ok(stream)) => self.serve(stream).await,
            Ok(Err(error)) => {
                tracing::debug!(event = "handshake_failed", %error);
            }
            Err(_) => tracing::debug!(event = "handshake_timeout"),
        }
    }

    async fn serve<S>(self, stream: S)
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let CallerTask { context, mut phase } = self;
        let phase_now = phase.clone();
        let service = service_fn(|request| {
            let context = context.clone();
            let ending = *phase_now.borrow() == HostPhase::Ending;
            async move {
                let response = if ending {
                    refuse_late(&context)
                } else {
                    handle(&context, request).await
                };
                Ok::<_, Infallible>(response)
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .max_header_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            () = wait_for_ending(&mut phase) => {
                // Closes the connection after the request in flight, if there
                // is one.
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = ended {
            tracing::debug!(event = "caller_closed", %error);
        }
    }
}

/// Refuses a request that came on an open connection after the host had ended
/// to accept callers: a call that began now could outlast the process.
fn refuse_late(context: &HostContext) -> Response<AnswerBody> {
    let message = "the host is shutting down";
    let refusal = Refusal::not_run(RefusalCode::NotReady, message);
    let refusal = refusal.retry_at(Some(context.clock.now()));
    refuse(context, &context.next_id(), &refusal)
}

/// Answers one request.
async fn handle(
    context: &HostContext,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let id = context.next_id();
    context.metrics.in_flight.inc();
    let answered = route(context, &id, request).await;
    context.metrics.in_flight.dec();
    let mut response = match answered {
        Ok(response) => response,
        Err(refusal) => refuse(context, &id, &refusal),
    };
    if let Ok(value) = HeaderValue::from_str(id.as_str()) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    response
}

/// Passes a request to the handler of its path.
async fn route(
    context: &HostContext,
    id: &RequestId,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Refusal> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path();
    match (&parts.method, path) {
        (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
            call::complete(context, id, &parts, body).await
        }
        (&Method::GET, "/v1/models") => list_models(context, &parts),
        (&Method::GET, "/healthz") => {
            let status = json!({"status": "alive"}).to_string();
            Ok(reply::json_reply(StatusCode::OK, status).map(AnswerBody::Full))
        }
        _ if path.starts_with(service::SERVICES_PATH) => {
            service::call(context, id, &parts, body).await
        }
        _ => Err(Refusal::not_run(
            RefusalCode::NotFound,
            "there is no such path, or not with this method",
        )),
    }
}

/// Lists the models that the caller may use.
fn list_models(
    context: &HostContext,
    parts: &hyper::http::request::Parts,
) -> Result<Response<AnswerBody>, Refusal> {
    let view = context.view()?;
    let caller = context.authenticate(&view, &parts.headers, &parts.uri)?;
    let allowed = &caller.customer.models;
    let models = view.tree.models.iter().map(|settings| settings.name.clone());
    let adapters = view.tree.adapters.iter();
    let adapters = adapters
        .map(|settings| format!("{}:{}", settings.model, settings.name));
    let listed: Vec<_> = models
        .chain(adapters)
        .filter(|name| {
            let model = name.split(':').next().unwrap_or(name);
            call::may_use(allowed, model)
        })
        .map(|name| {
            json!({"id": name, "object": "model", "owned_by": "celerylead"})
        })
        .collect();
    let body = json!({"object": "list", "data": listed}).to_string();
    let response = reply::json_reply(StatusCode::OK, body);
    Ok(response.map(AnswerBody::Full))
}

/// Builds the answer to a refused request, and logs and counts the refusal.
fn refuse(
    context: &HostContext,
    id: &RequestId,
    refusal: &Refusal,
) -> Response<AnswerBody> {
    context.metrics.count_answer("", refusal.code.text());
    tracing::info!(
        event = "request_refused",
        request_id = id.as_str(),
        code = refusal.code.text(),
        outcome = %refusal.outcome,
        reason = refusal.message,
    );
    let now = context.clock.now();
    let response: Response<Full<_>> = reply::refusal(refusal, id, now);
    response.map(AnswerBody::Full)
}
