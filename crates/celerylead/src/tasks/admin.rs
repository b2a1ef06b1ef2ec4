//! The task that owns the listener for health, status and metrics.

use std::convert::Infallible;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::json;
use tokio::{net::TcpListener, sync::watch, task::JoinSet};

use super::{
    call, context::HostContext, dispatch::DispatchEvent, host::HostPhase,
};
use crate::{
    model::ModelName,
    request::RouteQuery,
    wire::{link, reply},
};

/// Serves connections until the host aborts the task at the end of its
/// shutdown.
pub(crate) async fn run(
    listener: TcpListener,
    context: HostContext,
    phase: watch::Receiver<HostPhase>,
) {
    let mut callers = JoinSet::new();
    loop {
        tokio::select! {
            stream = link::accept(&listener) => {
                let context = context.clone();
                let phase = phase.clone();
                callers.spawn(async move {
                    let service = service_fn(|request| {
                        let context = context.clone();
                        let phase = phase.clone();
                        async move {
                            Ok::<_, Infallible>(
                                handle(&context, &phase, request).await,
                            )
                        }
                    });
                    let served = http1::Builder::new()
                        .timer(TokioTimer::new())
                        .serve_connection(TokioIo::new(stream), service);
                    let _ = served.await;
                });
            }
            Some(_) = callers.join_next() => {}
        }
    }
}

async fn handle(
    context: &HostContext,
    phase: &watch::Receiver<HostPhase>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    match request.uri().path() {
        "/metrics" => {
            let body = Full::new(Bytes::from(context.metrics.text()));
            Response::new(body)
        }
        "/readyz" => ready(context, *phase.borrow()),
        "/status" => status(context).await,
        "/explain" => {
            let query = request.uri().query().unwrap_or("").to_owned();
            explain(context, &query).await
        }
        "/healthz" => {
            let body = json!({"status": "alive"}).to_string();
            reply::json_reply(StatusCode::OK, body)
        }
        _ => reply::json_reply(StatusCode::NOT_FOUND, "{}".to_owned()),
    }
}

/// Returns whether the platform's load balancer should send callers to this
/// host, as a status code with a JSON body.
fn ready(context: &HostContext, phase: HostPhase) -> Response<Full<Bytes>> {
    let view = context.settings.borrow().clone();
    let draining = view.state.is_draining(&context.identity.host);
    let (status, label) = if phase != HostPhase::Serving || draining {
        (StatusCode::SERVICE_UNAVAILABLE, "leaving")
    } else if view.state.revision == 0 {
        (StatusCode::SERVICE_UNAVAILABLE, "no-settings")
    } else {
        (StatusCode::OK, "ready")
    };
    let body = json!({
        "status": label,
        "revision": view.state.revision,
    });
    reply::json_reply(status, body.to_string())
}

/// Explains how a request of a customer for a model would be routed now:
/// whether the host knows both and allows the request, the customer's rate,
/// and the runners that could take the request, with the values by which one
/// of them is chosen.
async fn explain(context: &HostContext, query: &str) -> Response<Full<Bytes>> {
    let value = |name: &str| {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.into_iter().find(|(key, _)| *key == name);
        found.map(|(_, value)| value.to_owned()).unwrap_or_default()
    };
    let (customer, name) = (value("customer"), value("model"));
    let view = context.settings.borrow().clone();
    let settings = view.tree.customer(&customer);
    let Ok(name) = name.parse::<ModelName>() else {
        return reply::json_reply(StatusCode::BAD_REQUEST, "{}".to_owned());
    };
    let model = view.tree.model(&name.model);
    let allowed =
        settings.map(|settings| call::may_use(&settings.models, &name.model));
    let route_query = RouteQuery {
        group: model.map(|model| model.group.clone()).unwrap_or_default(),
        model: Some(name),
        tokens: 1,
        tried: Vec::new(),
        reruns: 0,
    };
    let dispatch = &context.dispatch.sender;
    let runners = super::ask(dispatch, |reply| {
        DispatchEvent::Explain(route_query, reply)
    });
    let body = json!({
        "customer_known": settings.is_some(),
        "model_known": model.is_some(),
        "customer_may_use_model": allowed.unwrap_or(false),
        "rate": settings.map(|settings| settings.values.rate),
        "burst": settings.map(|settings| settings.values.burst),
        "runners": runners.await,
    });
    reply::json_reply(StatusCode::OK, body.to_string())
}

async fn status(context: &HostContext) -> Response<Full<Bytes>> {
    let runners =
        super::ask(&context.dispatch.sender, DispatchEvent::Status).await;
    let body = json!({
        "host": context.identity.host,
        "zone": context.identity.zone,
        "revision": context.settings.borrow().state.revision,
        "runners": runners,
    });
    reply::json_reply(StatusCode::OK, body.to_string())
}
