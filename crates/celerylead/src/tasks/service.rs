//! Calls of plain services, with any method and body, below `/services/NAME`.

use std::time::Duration;

use hyper::{Response, body::Incoming, http::request::Parts};
use percent_encoding::percent_decode_str;

use super::{
    call::{answer, read_body},
    context::HostContext,
    exchange::{self, OutboundCall},
    stream::{AnswerBody, AnswerSettlement, AnswerStream},
};
use crate::{
    request::{Refusal, RefusalCode, Request, RequestId, RouteQuery},
    wire::{engine::EngineRequest, headers},
};

/// Path prefix of the plain services.
pub(crate) const SERVICES_PATH: &str = "/services/";

/// Answers a call of a plain service.
pub(crate) async fn call(
    context: &HostContext,
    id: &RequestId,
    parts: &Parts,
    body: Incoming,
) -> Result<Response<AnswerBody>, Refusal> {
    let view = context.view()?;
    refuse_dot_segments(parts.uri.path())?;
    let (name, path) = split_path(parts.uri.path());
    // Only a route of an existing service can be open. For any other name, the
    // caller has to authenticate first.
    let service = view.tree.service(name);
    let values = service.map(|service| {
        view.tree.route_values(service, parts.method.as_str(), path)
    });
    let open = values.as_ref().is_some_and(|values| values.open);
    let caller = if open {
        None
    } else {
        Some(context.authenticate(&view, &parts.headers, &parts.uri)?)
    };
    let (Some(service), Some(values)) = (service, values) else {
        let message = format!("there is no service {name:?}");
        return Err(Refusal::not_run(RefusalCode::NotFound, &message));
    };
    let key = caller.as_ref().map(|caller| &caller.key);
    let body = read_body(context, body, values.max_body_kb).await?;
    if key.is_some_and(|key| headers::contains_caller_key(&body, key)) {
        return Err(Refusal::not_run(
            RefusalCode::KeyInRequest,
            "the key stands in the body",
        ));
    }
    let query = parts.uri.query();
    let target = match query {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    };
    let customer = caller.as_ref().map_or("", |c| c.customer.name.as_str());
    let request = Request::received(id.clone(), values.idempotent).admitted();
    let outbound = OutboundCall {
        context,
        engine_request: EngineRequest {
            method: parts.method.clone(),
            target,
            headers: headers::forwarded(&parts.headers, key),
            body,
        },
        query: RouteQuery {
            group: service.group.clone(),
            model: None,
            tokens: 1,
            tried: Vec::new(),
            reruns: 0,
        },
        customer,
        weight: caller.as_ref().map_or(1, |c| c.customer.values.rate),
        values: &values,
        key_watch: caller.as_ref().map(|caller| &caller.key_watch),
    };
    let exchange = exchange::run(outbound, request).await?;
    let settlement = AnswerSettlement {
        context: context.clone(),
        request: exchange.request,
        customer: customer.to_owned(),
        target: format!("services/{name}"),
        charge: None,
        reserved_output: 0,
        usage: None,
        slot: Some(exchange.slot),
        sent_at: exchange.sent_at,
    };
    let (head, upstream) = exchange.response.into_parts();
    let stream = AnswerStream::new(
        upstream,
        exchange.link,
        None,
        settlement,
        None,
        Duration::from_millis(values.idle_timeout_ms),
    );
    let body = AnswerBody::Stream(Box::new(stream));
    Ok(answer(head.status, &head.headers, body))
}

/// Refuses a path with a segment `.` or `..`, also in percent-encoding. A
/// backend server could resolve it to a path that isn't open, or that belongs
/// to another service.
fn refuse_dot_segments(path: &str) -> Result<(), Refusal> {
    let decoded: Vec<u8> = percent_decode_str(path).collect();
    let mut segments = decoded.split(|byte| b"/\\".contains(byte));
    if segments.any(|segment| segment == b"." || segment == b"..") {
        return Err(Refusal::not_run(
            RefusalCode::BadRequest,
            "the path has a segment . or ..",
        ));
    }
    Ok(())
}

/// Splits a path into the service's name and the path below it.
fn split_path(path: &str) -> (&str, &str) {
    let rest = path.strip_prefix(SERVICES_PATH).unwrap_or("");
    match rest.find('/') {
        Some(index) => (&rest[..index], &rest[index..]),
        None => (rest, "/"),
    }
}
