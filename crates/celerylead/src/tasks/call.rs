//! Handling of completion requests, from the caller's request to its answer.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{
    HeaderMap, Method, Response, StatusCode,
    body::Incoming,
    header::{self, HeaderValue},
    http::request::Parts,
};
use tokio::time::Instant;

use super::{
    context::{CallerIdentity, HostContext},
    exchange::{self, Exchange, OutboundCall},
    request_body::BodyIntake,
    runner::RunnerEvent,
    stream::{AnswerBody, AnswerSettlement, AnswerStream},
};
use crate::{
    request::{
        Refusal, RefusalCode, Request, RequestId, RouteQuery, RunOutcome,
        RunResult,
    },
    settings::{ModelSettings, ResolvedValues, SettingsView},
    wire::{
        answer::EventScanner,
        completion::CompletionRequest,
        engine::{EngineRequest, parse_usage},
        headers,
        link::HttpLink,
    },
};

/// Longest wait for the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest answer that isn't a stream of events.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Answers a completion request.
pub(crate) async fn complete(
    context: &HostContext,
    id: &RequestId,
    parts: &Parts,
    body: Incoming,
) -> Result<Response<AnswerBody>, Refusal> {
    let view = context.view()?;
    let caller = context.authenticate(&view, &parts.headers, &parts.uri)?;
    let limit = view.tree.defaults.max_body_kb;
    let body = read_body(context, body, limit).await?;
    let completion = CompletionRequest::parse(&body).map_err(|error| {
        Refusal::not_run(RefusalCode::BadRequest, &format!("{error:#}"))
    })?;
    if completion.contains_caller_key(&caller.key) {
        return Err(Refusal::not_run(
            RefusalCode::KeyInRequest,
            "the key stands in the body",
        ));
    }
    let (model, values) = find_model(&view, &caller, &completion)?;
    let max_tokens = max_tokens(&completion, values)?;
    let tokens =
        completion.max_total_tokens(values.prompt_bytes_per_token, max_tokens);
    let customer = caller.customer.name.as_str();
    let charge = context.shares.charge(customer, tokens).await;
    let charge = charge.inspect_err(|_| {
        context.metrics.count_tokens(customer, "refused", tokens);
    })?;
    context.metrics.count_tokens(customer, "reserved", tokens);
    let usage = context.usage.reserve().await;
    let request = Request::received(id.clone(), values.idempotent).admitted();
    let outbound = OutboundCall {
        context,
        engine_request: engine_request(
            parts,
            &caller,
            &completion,
            max_tokens,
        ),
        query: RouteQuery {
            group: model.group.clone(),
            model: Some(completion.model.clone()),
            tokens,
            tried: Vec::new(),
            reruns: 0,
        },
        customer,
        weight: caller.customer.values.rate,
        values,
        key_watch: Some(&caller.key_watch),
    };
    let exchange = match exchange::run(outbound, request).await {
        Ok(exchange) => exchange,
        Err(refusal) => {
            // The charge is refunded only if the request certainly didn't run.
            // If the outcome is unknown, all tokens stay charged.
            if refusal.outcome == RunOutcome::NotRun {
                charge.settle(0);
            }
            return Err(refusal);
        }
    };
    let Exchange { request, response, link, slot, sent_at } = exchange;
    let settlement = AnswerSettlement {
        context: context.clone(),
        request,
        customer: customer.to_owned(),
        target: completion.model.to_string(),
        charge: Some(charge),
        reserved_output: max_tokens,
        usage,
        slot: Some(slot),
        sent_at,
    };
    let seconds = settlement.sent_at.elapsed().as_secs_f64();
    context.metrics.first_byte.observe(seconds);
    let idle_timeout = Duration::from_millis(values.idle_timeout_ms);
    if is_event_stream(&response) {
        let (head, upstream) = response.into_parts();
        let scanner = EventScanner::new(completion.wants_usage);
        let stream = AnswerStream::new(
            upstream,
            link,
            Some(scanner),
            settlement,
            Some(&caller.key_watch),
            idle_timeout,
        );
        return Ok(answer(
            head.status,
            &head.headers,
            AnswerBody::Stream(Box::new(stream)),
        ));
    }
    buffer_answer(settlement, response, link, idle_timeout).await
}

/// Buffers an answer that isn't a stream of events before any of it is passed
/// on, so that an incomplete answer is reported as an error.
async fn buffer_answer(
    mut settlement: AnswerSettlement,
    response: Response<Incoming>,
    link: HttpLink,
    idle_timeout: Duration,
) -> Result<Response<AnswerBody>, Refusal> {
    let (head, upstream) = response.into_parts();
    let body = Limited::new(upstream, MAX_ANSWER_BYTES).collect();
    let read = tokio::time::timeout(idle_timeout, body).await;
    let fault = match read {
        Ok(Ok(body)) => {
            let bytes = body.to_bytes();
            settle(&mut settlement, head.status, &bytes, link);
            let body = AnswerBody::Full(Full::new(bytes));
            return Ok(answer(head.status, &head.headers, body));
        }
        Ok(Err(error)) => {
            (RefusalCode::AnswerCut, format!("the answer broke off: {error}"))
        }
        Err(_) => (
            RefusalCode::RunnerTimeout,
            "the answer paused for too long".to_owned(),
        ),
    };
    let (code, message) = fault;
    settlement.settle_incomplete(None, RunResult::Failed, code.text());
    Err(settlement.request.answer_cut(code, &message))
}

/// Settles a buffered answer by its status, and returns its connection to the
/// runner's task.
fn settle(
    settlement: &mut AnswerSettlement,
    status: StatusCode,
    bytes: &Bytes,
    link: HttpLink,
) {
    if let Some(slot) = &settlement.slot {
        let _ = slot.port.sender.try_send(RunnerEvent::Return(link));
    }
    if status.is_success() {
        settlement.settle_complete(parse_usage(bytes));
    } else if status.is_client_error() {
        settlement.settle_rejected();
    } else {
        settlement.settle_incomplete(None, RunResult::Failed, "runner_error");
    }
}

/// Reads the body of a request, of at most `limit_kb` times 1,024 bytes,
/// within `BODY_TIMEOUT`.
pub(crate) async fn read_body(
    context: &HostContext,
    body: Incoming,
    limit_kb: u64,
) -> Result<Bytes, Refusal> {
    let limit = usize::try_from(limit_kb.saturating_mul(1_024));
    let intake = BodyIntake {
        place: None,
        port: &context.intake,
        limit: limit.unwrap_or(usize::MAX),
        idle: BODY_TIMEOUT,
        deadline: Instant::now() + BODY_TIMEOUT,
    };
    intake.read(body).await
}

/// Creates the answer to the caller from the status, headers and body of the
/// runner's answer. An answer with a server error also states that the outcome
/// is unknown.
pub(crate) fn answer(
    status: StatusCode,
    headers: &HeaderMap,
    body: AnswerBody,
) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let mut returned = headers::returned(headers);
    returned.remove(header::CONTENT_LENGTH);
    if status.is_server_error() {
        let value = HeaderValue::from_static("outcome-unknown");
        returned.insert(headers::RUN_OUTCOME, value);
    }
    *response.headers_mut() = returned;
    response
}

/// Returns the settings of the requested model, and the values that apply to
/// the model or to the requested adapter.
fn find_model<'a>(
    view: &'a SettingsView,
    caller: &CallerIdentity,
    completion: &CompletionRequest,
) -> Result<(&'a ModelSettings, &'a ResolvedValues), Refusal> {
    let name = &completion.model;
    let missing = || {
        let message = format!("there is no model {name}");
        Refusal::not_run(RefusalCode::NotFound, &message)
    };
    let model = view.tree.model(&name.model).ok_or_else(missing)?;
    let values = match &name.adapter {
        None => &model.values,
        Some(adapter) => {
            let adapter_settings = view.tree.adapter(&name.model, adapter);
            &adapter_settings.ok_or_else(missing)?.values
        }
    };
    if !may_use(&caller.customer.models, &name.model) {
        let message = format!("the customer may not use model {name}");
        return Err(Refusal::not_run(RefusalCode::ModelForbidden, &message));
    }
    Ok((model, values))
}

/// Returns whether a list of allowed models includes `model`. An empty list
/// allows all models.
pub(crate) fn may_use(models: &[String], model: &str) -> bool {
    models.is_empty() || models.iter().any(|allowed| allowed == model)
}

/// Returns the limit on output tokens: the one that the caller sets or, by
/// default, the model's.
fn max_tokens(
    completion: &CompletionRequest,
    values: &ResolvedValues,
) -> Result<u64, Refusal> {
    let limit = values.max_output_tokens;
    match completion.max_tokens {
        None => Ok(limit),
        Some(asked) if (1..=limit).contains(&asked) => Ok(asked),
        Some(asked) => {
            let message =
                format!("max_tokens is {asked}, accepted are 1 to {limit}");
            Err(Refusal::not_run(RefusalCode::BadRequest, &message))
        }
    }
}

fn engine_request(
    parts: &Parts,
    caller: &CallerIdentity,
    completion: &CompletionRequest,
    max_tokens: u64,
) -> EngineRequest {
    let mut headers = headers::forwarded(&parts.headers, Some(&caller.key));
    // The body is serialized again, as JSON without a content encoding.
    headers.remove(header::CONTENT_ENCODING);
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    EngineRequest {
        method: Method::POST,
        target: parts.uri.path().to_owned(),
        headers,
        body: Bytes::from(completion.engine_body(max_tokens)),
    }
}

fn is_event_stream(response: &Response<Incoming>) -> bool {
    let content_type = response.headers().get(header::CONTENT_TYPE);
    response.status().is_success()
        && content_type.and_then(|value| value.to_str().ok()).is_some_and(
            |content_type| content_type.starts_with("text/event-stream"),
        )
}
