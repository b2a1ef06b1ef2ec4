//! One call: from the caller's head to the head of its answer.
//!
//! What can be refused without a runner is refused here: a head that can't be
//! understood, no route, no customer, a body out of bounds. The tries at
//! runners are [`super::attempt`]'s.

use std::{sync::Arc, time::Duration};

use hyper::{Request as HttpRequest, Response, body::Incoming, http::request};
use tokio::time::Instant;

use super::{NodeContext, attempt::Errand, body::RelayBody};
use crate::{
    catalog::{BilledCustomer, CallRoute, ServiceCatalog},
    metrics::HostMetrics,
    port::EdgeCodec,
    relay::{CallHead, LoadBasis},
    request::{Refusal, RefusalCode, RequestId},
    tasks::intake,
};

/// Time a caller is taken to wait where it doesn't say.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(60);

/// What the log line of a call says.
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
    /// Time spent waiting for a runner, in milliseconds.
    pub(super) held_ms: u64,
    /// Load by which the runner was chosen.
    pub(super) basis: LoadBasis,
    pub(super) started: Instant,
    pub(super) first: Option<Instant>,
    pub(super) metrics: HostMetrics,
}

impl CallRecord {
    /// Writes the line, at the end of the call.
    pub(crate) fn log(&self, code: &str) {
        self.metrics.count_answer(&self.customer, code);
        let millis = |at: Instant| (at - self.started).as_millis() as u64;
        tracing::info!(
            event = "request_ended",
            request_id = self.id.as_str(),
            route = self.route,
            customer = self.customer,
            model = self.model,
            runner = self.runner,
            held_ms = self.held_ms,
            own_calls = self.basis.own,
            told_calls = self.basis.told,
            told_age_ms = self.basis.oldest_ms,
            revision = self.revision,
            sends = self.sends,
            status = self.status,
            code,
            first_ms = self.first.map(millis),
            total_ms = millis(Instant::now()),
        );
    }
}

/// Answers a call.
pub(crate) async fn answer<C: EdgeCodec>(
    context: &NodeContext<C>,
    request: HttpRequest<Incoming>,
) -> Response<RelayBody> {
    let started = Instant::now();
    let (parts, body) = request.into_parts();
    if context.codec.is_ready_probe(&parts) {
        return super::control::ready(context).map(RelayBody::Full);
    }
    let call = match context.codec.read_call(&parts) {
        Ok(call) => call,
        Err(refusal) => return refuse(context, None, &refusal, started),
    };
    match relay(context, &call, &parts, body, started).await {
        Ok(response) => response,
        Err(refusal) => refuse(context, Some(&call), &refusal, started),
    }
}

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

async fn relay<C: EdgeCodec>(
    context: &NodeContext<C>,
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
    let patience =
        call.max_wait_ms.map_or(DEFAULT_PATIENCE, Duration::from_millis);
    let span = patience.min(Duration::from_millis(route.timeout_ms));
    let deadline = started + span;
    let body =
        intake::read_body(body, catalog.limits.body_bytes, deadline).await?;
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
        revision: catalog.revision,
        sends: 0,
        status: 0,
        started,
        first: None,
        metrics: context.metrics.clone(),
    };
    let errand = Errand {
        context,
        call,
        parts,
        body,
        route,
        customer,
        deadline,
        record,
    };
    errand.run(&catalog).await
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
