//! Handling of one call, from its request head to the head of its answer.
//!
//! A call that can be refused without a runner is refused here: a malformed
//! head, no route, no customer, a body that is too large or too late. The
//! attempts at runners are in [`super::attempt`].

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{
    Request as HttpRequest, Response,
    body::{Body as _, Incoming},
    http::request,
};
use tokio::time::Instant;

use super::{NodeContext, NodePhase, attempt::CallAttempts, body::RelayBody};
use crate::{
    catalog::{BilledCustomer, CallRoute, ServiceCatalog},
    metrics::HostMetrics,
    model::ModelName,
    port::EdgeCodec,
    quarantine::PromptParts,
    relay::{CallHead, LoadBasis},
    request::{Refusal, RefusalCode, RequestId},
    tasks::{
        connection_place::ConnectionPlace,
        intake::HeaderRoom,
        request_body::{BodyIntake, RETRY_AFTER},
    },
};

/// Time that a caller is assumed to wait if its request doesn't state one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after which a caller may ask another host for a route or key that this
/// one doesn't know. Short, as other hosts mostly know it; not zero, as none knows
/// one that doesn't exist.
const UNCONFIRMED_RETRY: Duration = Duration::from_millis(200);

/// Marks an answer whose request's body wasn't read to its end.
#[derive(Clone, Copy)]
pub(super) struct UnreadBody;

/// Marks an answer that a runner gave, with the time until which its caller may
/// read it.
#[derive(Clone, Copy)]
pub(super) struct AnswerDeadline(pub(super) Instant);

/// Contents of the log line of a call.
#[derive(Clone)]
pub(crate) struct CallRecord {
    pub(super) id: RequestId,
    pub(super) route: String,
    pub(super) customer: String,
    pub(super) model: String,
    pub(super) runner: String,
    pub(super) revision: u64,
    pub(super) sends: u32,
    pub(super) status: u16,
    /// Time spent waiting for the choice of a runner, in milliseconds.
    pub(super) held_ms: u64,
    /// Load figures on which the choice of the runner was based.
    pub(super) basis: LoadBasis,
    /// Parts of the prompt that other calls may share.
    pub(super) parts: PromptParts,
    pub(super) started: Instant,
    pub(super) first_byte_at: Option<Instant>,
    /// Frames of the answer's body that were passed on.
    pub(super) frames: u32,
    pub(super) metrics: HostMetrics,
}

impl CallRecord {
    /// Writes the log line and counts the answer, at the end of the call.
    pub(crate) fn log(&self, code: &str) {
        self.metrics.count_answer(&self.customer, code);
        let millis = |at: Instant| (at - self.started).as_millis() as u64;
        let is_whole = code == "ok";
        // What calls that ended badly have in common is looked for in these.
        let parts = (!is_whole).then(|| self.parts.to_string());
        tracing::info!(
            event = "request_ended",
            request_id = self.id.as_str(),
            route = self.route,
            customer = self.customer,
            model = self.model,
            runner = self.runner,
            held_ms = self.held_ms,
            own_calls = self.basis.own,
            told_calls = self.basis.reported,
            told_age_ms = self.basis.oldest_ms,
            revision = self.revision,
            sends = self.sends,
            status = self.status,
            code,
            parts,
            frames = (!is_whole).then_some(self.frames),
            first_ms = self.first_byte_at.map(millis),
            total_ms = millis(Instant::now()),
        );
    }
}

/// Answers a request: a readiness probe or a call.
pub(crate) async fn answer<C: EdgeCodec>(
    context: &NodeContext<C>,
    place: &ConnectionPlace,
    request: HttpRequest<Incoming>,
) -> Response<RelayBody> {
    let (parts, body) = request.into_parts();
    let mut body = Some(body);
    let mut response = answer_head(context, place, &parts, &mut body).await;
    if body.is_some_and(|body| !body.is_end_stream()) {
        response.extensions_mut().insert(UnreadBody);
    }
    response
}

/// Answers a request by its head, and takes its body if that is to be read.
async fn answer_head<C: EdgeCodec>(
    context: &NodeContext<C>,
    place: &ConnectionPlace,
    parts: &request::Parts,
    body: &mut Option<Incoming>,
) -> Response<RelayBody> {
    let started = Instant::now();
    if context.codec.is_readiness_probe(parts) {
        return super::control::ready(context).map(RelayBody::Full);
    }
    let call = match context.codec.read_call(parts) {
        Ok(call) => call,
        Err(refusal) => {
            let id = context.codec.read_id(parts);
            let refused = RefusedCall { id: id.as_ref(), model: None };
            return refuse(context, refused, &refusal, started);
        }
    };
    // Held until the head, which the attempts forward, is dropped.
    let room = take_header_room(context, parts);
    let relayed = match &room {
        Ok(_) => relay(context, place, &call, parts, body, started).await,
        Err(refusal) => Err(refusal.clone()),
    };
    match relayed {
        Ok(response) => response,
        Err(refusal) => {
            let model = call.model.as_ref();
            let refused = RefusedCall { id: Some(&call.id), model };
            let mut response = refuse(context, refused, &refusal, started);
            if leaves_body_unread(refusal.code) {
                response.extensions_mut().insert(UnreadBody);
            }
            response
        }
    }
}

/// Takes room for the headers of a request, whose table has up to thirty times
/// the bytes of the head.
fn take_header_room<C>(
    context: &NodeContext<C>,
    parts: &request::Parts,
) -> Result<Option<HeaderRoom>, Refusal> {
    context.intake.take_headers(parts.headers.len()).map_err(|_| {
        let message = "there is no memory for the headers";
        let refusal = Refusal::not_run(RefusalCode::NoBodyRoom, message);
        refusal.retry_at(Some(context.clock.now().after(RETRY_AFTER)))
    })
}

/// Returns whether a refusal of this code comes before the request's body was
/// read to its end.
fn leaves_body_unread(code: RefusalCode) -> bool {
    matches!(
        code,
        RefusalCode::BodyTooLarge
            | RefusalCode::BodyTimeout
            | RefusalCode::NoBodyRoom
    )
}

/// What is known of a call that is refused.
#[derive(Clone, Copy, Default)]
struct RefusedCall<'a> {
    id: Option<&'a RequestId>,
    model: Option<&'a ModelName>,
}

/// Counts and logs a refusal, and returns the answer for the caller.
fn refuse<C: EdgeCodec>(
    context: &NodeContext<C>,
    refused: RefusedCall<'_>,
    refusal: &Refusal,
    started: Instant,
) -> Response<RelayBody> {
    note_refusal(context, refused, refusal, Some(started));
    let now = context.clock.now();
    context.codec.refusal(refusal, refused.id, now).map(RelayBody::Full)
}

/// Counts and logs a refusal.
fn note_refusal<C>(
    context: &NodeContext<C>,
    refused: RefusedCall<'_>,
    refusal: &Refusal,
    started: Option<Instant>,
) {
    context.metrics.count_answer("", refusal.code.text());
    let RefusedCall { id, model } = refused;
    let verdict = refusal.verdict.as_ref();
    let total_ms = started.map(|at| at.elapsed().as_millis() as u64);
    let now = context.clock.now();
    let evidence = context.evidence.current();
    tracing::info!(
        event = "request_refused",
        request_id = id.map(RequestId::as_str),
        model = model.map(ToString::to_string),
        code = refusal.code.text(),
        outcome = %refusal.outcome,
        reason = refusal.message,
        part = verdict.map(|row| row.part.to_string()),
        trials = verdict.map(|row| row.trials),
        terms = verdict.map(|row| row.terms),
        sent_ago_ms = verdict.map(|row| row.sent_ago_ms),
        revision = context.catalog().map(|catalog| catalog.revision),
        newest_revision = evidence.newest(),
        confirmed_ms = evidence.age_ms(now),
        total_ms,
    );
}

/// Counts and logs the answer that the HTTP library gives by itself to a head
/// that it can't parse. Other errors of a connection aren't answered.
pub(super) fn note_unparsed_head<C>(
    context: &NodeContext<C>,
    error: &hyper::Error,
) {
    if !error.is_parse() || error.is_parse_version_h2() {
        return;
    }
    let code = match error.is_parse_too_large() {
        true => RefusalCode::HeadTooLarge,
        false => RefusalCode::BadRequest,
    };
    let message = format!("the HTTP library refuses the head: {error}");
    let refusal = Refusal::not_run(code, &message);
    note_refusal(context, RefusedCall::default(), &refusal, None);
}

/// Finds the route and the customer of a call, reads its body and relays it to
/// a runner.
async fn relay<C: EdgeCodec>(
    context: &NodeContext<C>,
    place: &ConnectionPlace,
    call: &CallHead,
    parts: &request::Parts,
    body: &mut Option<Incoming>,
    started: Instant,
) -> Result<Response<RelayBody>, Refusal> {
    let catalog = context.catalog().ok_or_else(|| {
        Refusal::not_run(RefusalCode::NotReady, "no configuration is known")
    })?;
    let confirm = |denial| confirm_denial(context, &catalog, denial);
    let route = find_route(&catalog, call, parts).map_err(confirm)?;
    let customer = find_customer(&catalog, route, call).map_err(confirm)?;
    let caller_timeout =
        call.max_wait_ms.map_or(DEFAULT_TIMEOUT, Duration::from_millis);
    let timeout = caller_timeout.min(Duration::from_millis(route.timeout_ms));
    let deadline = started + timeout;
    let intake = BodyIntake {
        port: &context.intake,
        place: Some(place),
        limit: catalog.limits.body_bytes,
        idle: Duration::from_millis(catalog.limits.idle_ms),
        deadline,
    };
    let body = match body.take() {
        Some(body) => intake.read(body).await?,
        None => Bytes::new(),
    };
    // Callers keep sending on connections that are open, and a call that began
    // now could outlast the process.
    if *context.phase.borrow() == NodePhase::Ending {
        let message = "the host is shutting down";
        let refusal = Refusal::not_run(RefusalCode::NotReady, message);
        return Err(refusal.retry_at(Some(context.clock.now())));
    }
    let record = CallRecord {
        id: call.id.clone(),
        route: route.name.clone(),
        customer: customer.map_or_else(String::new, |c| c.name.clone()),
        model: call
            .model
            .as_ref()
            .map_or_else(String::new, ToString::to_string),
        runner: String::new(),
        held_ms: 0,
        basis: LoadBasis::default(),
        parts: call.shared_parts(),
        revision: catalog.revision,
        sends: 0,
        status: 0,
        started,
        first_byte_at: None,
        frames: 0,
        metrics: context.metrics.clone(),
    };
    let attempts = CallAttempts {
        context,
        call,
        parts,
        body,
        route,
        customer,
        deadline,
        record,
    };
    let mut response = attempts.run(&catalog).await?;
    response.extensions_mut().insert(AnswerDeadline(deadline));
    Ok(response)
}

/// Returns the denial of a route or key that the catalog lacks, or a refusal that
/// lets the caller ask another host if the catalog may not be the newest.
fn confirm_denial<C>(
    context: &NodeContext<C>,
    catalog: &ServiceCatalog,
    denial: Refusal,
) -> Refusal {
    let now = context.clock.now();
    if context.evidence.shows_newest(catalog.revision, now) {
        return denial;
    }
    let code = RefusalCode::SettingsUnconfirmed;
    Refusal::not_run(code, &denial.message)
        .retry_at(Some(now.after(UNCONFIRMED_RETRY)))
}

fn find_route<'a>(
    catalog: &'a Arc<ServiceCatalog>,
    call: &CallHead,
    parts: &request::Parts,
) -> Result<&'a CallRoute, Refusal> {
    let path = parts.uri.path();
    catalog.route(&call.host, path).ok_or_else(|| {
        Refusal::not_run(RefusalCode::NotFound, "no route has this path")
    })
}

fn find_customer<'a>(
    catalog: &'a Arc<ServiceCatalog>,
    route: &CallRoute,
    call: &CallHead,
) -> Result<Option<&'a BilledCustomer>, Refusal> {
    if route.public || !catalog.requires_key() {
        return Ok(None);
    }
    let known = call.key.as_ref().and_then(|key| catalog.customer(key));
    known.map(Some).ok_or_else(|| {
        Refusal::not_run(RefusalCode::InvalidKey, "the key isn't known")
    })
}
