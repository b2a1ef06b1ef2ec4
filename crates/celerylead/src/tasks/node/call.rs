//! Handling of one call, from its request head to the head of its answer.
//!
//! A call that can be refused without a runner is refused here: a malformed
//! head, no route, no customer, a body that is too large or too late. The
//! attempts at runners are in [`super::attempt`].

use std::{sync::Arc, time::Duration};

use hyper::{Request as HttpRequest, Response, body::Incoming, http::request};
use tokio::time::Instant;

use super::{NodeContext, NodePhase, attempt::CallAttempts, body::RelayBody};
use crate::{
    catalog::{BilledCustomer, CallRoute, ServiceCatalog},
    metrics::HostMetrics,
    port::EdgeCodec,
    quarantine::PromptParts,
    relay::{CallHead, LoadBasis},
    request::{Refusal, RefusalCode, RequestId},
    tasks::{connection_place::ConnectionPlace, request_body::BodyIntake},
};

/// Time that a caller is assumed to wait if its request doesn't state one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

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
    let started = Instant::now();
    let (parts, body) = request.into_parts();
    if context.codec.is_readiness_probe(&parts) {
        return super::control::ready(context).map(RelayBody::Full);
    }
    let call = match context.codec.read_call(&parts) {
        Ok(call) => call,
        Err(refusal) => return refuse(context, None, &refusal, started),
    };
    match relay(context, place, &call, &parts, body, started).await {
        Ok(response) => response,
        Err(refusal) => {
            let mut response = refuse(context, Some(&call), &refusal, started);
            if leaves_body_unread(refusal.code) {
                response.extensions_mut().insert(UnreadBody);
            }
            response
        }
    }
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

/// Counts and logs a refusal, and returns the answer for the caller.
fn refuse<C: EdgeCodec>(
    context: &NodeContext<C>,
    call: Option<&CallHead>,
    refusal: &Refusal,
    started: Instant,
) -> Response<RelayBody> {
    context.metrics.count_answer("", refusal.code.text());
    let id = call.map(|call| &call.id);
    let model = call.and_then(|call| call.model.as_ref());
    tracing::info!(
        event = "request_refused",
        request_id = id.map(RequestId::as_str),
        model = model.map(ToString::to_string),
        code = refusal.code.text(),
        outcome = %refusal.outcome,
        reason = refusal.message,
        revision = context.catalog().map(|catalog| catalog.revision),
        total_ms = started.elapsed().as_millis() as u64,
    );
    let now = context.clock.now();
    context.codec.refusal(refusal, id, now).map(RelayBody::Full)
}

/// Finds the route and the customer of a call, reads its body and relays it to
/// a runner.
async fn relay<C: EdgeCodec>(
    context: &NodeContext<C>,
    place: &ConnectionPlace,
    call: &CallHead,
    parts: &request::Parts,
    body: Incoming,
    started: Instant,
) -> Result<Response<RelayBody>, Refusal> {
    let catalog = context.catalog().ok_or_else(|| {
        Refusal::not_run(RefusalCode::NotReady, "no configuration is known")
    })?;
    let route = find_route(&catalog, call, parts)?;
    let customer = find_customer(&catalog, route, call)?;
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
    let body = intake.read(body).await?;
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
