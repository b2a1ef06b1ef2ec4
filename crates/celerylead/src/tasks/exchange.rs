//! One request on its way to a runner, with the tries that its state allows.

use std::time::Duration;

use hyper::{Response, body::Incoming};
use tokio::time::Instant;

use super::{
    context::{HostContext, KeyWatch},
    dispatch::RouteSlot,
    runner::RunnerEvent,
};
use crate::{
    request::{
        Admitted, Answered, Refusal, RefusalCode, Request, RouteQuery,
        RunResult, Sent, backoff,
    },
    settings::ResolvedValues,
    wire::{
        engine::{self, EngineRequest},
        headers::REQUEST_ID,
        link::{HttpLink, SendFault},
    },
};

/// Longest wait for a connection to a runner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Tries of one request at most.
const MAX_TRIES: usize = 4;

/// What a request needs to be sent.
pub(crate) struct Errand<'a> {
    pub(crate) context: &'a HostContext,
    pub(crate) ask: EngineRequest,
    pub(crate) route: RouteQuery,
    /// Customer for the fair queue; empty on open routes.
    pub(crate) customer: &'a str,
    pub(crate) weight: u64,
    pub(crate) values: &'a ResolvedValues,
    /// The caller's key, which must stay in force until it is sent.
    pub(crate) key: Option<&'a KeyWatch>,
}

/// A runner's answer under way.
pub(crate) struct Exchange {
    pub(crate) request: Request<Answered>,
    pub(crate) response: Response<Incoming>,
    pub(crate) link: HttpLink,
    pub(crate) slot: RouteSlot,
    pub(crate) sent_at: Instant,
}

/// What a try came to.
enum TryEnd {
    Answered(Box<Exchange>),
    /// To be tried elsewhere; it didn't run.
    Again(Request<Admitted>),
    /// To be run elsewhere; it may have run.
    RunAgain(Request<Admitted>),
    Failed(Refusal),
}

/// Sends a request to a runner; elsewhere again as long as its state allows.
pub(crate) async fn run(
    mut errand: Errand<'_>,
    mut request: Request<Admitted>,
) -> Result<Exchange, Refusal> {
    let clock = &errand.context.clock;
    let queue = Duration::from_millis(errand.values.queue_ms);
    let deadline = clock.now().after(queue);
    for _ in 0..MAX_TRIES {
        let slot = errand
            .context
            .dispatch
            .route(&errand.route, errand.customer, errand.weight, deadline)
            .await;
        let slot = match slot {
            Ok(slot) => slot,
            Err(refusal) => return Err(request.refused(refusal)),
        };
        if errand.key.is_some_and(|key| !key.in_force()) {
            return Err(request.refused(Refusal::not_run(
                RefusalCode::InvalidKey,
                "the key was withdrawn while the request waited",
            )));
        }
        let runner = slot.choice.runner.clone();
        match try_once(&errand, slot, request).await {
            TryEnd::Answered(exchange) => return Ok(*exchange),
            TryEnd::Failed(refusal) => return Err(refusal),
            TryEnd::Again(again) => request = again,
            TryEnd::RunAgain(again) => {
                request = again;
                errand.route.reruns += 1;
                let share = rand::random();
                let wait = backoff(errand.route.reruns, share);
                tokio::time::sleep_until(Instant::now() + wait).await;
            }
        }
        errand.route.tried.push(runner);
    }
    Err(request.refused(Refusal::not_run(
        RefusalCode::NoRunner,
        "no runner could be reached",
    )))
}

async fn try_once(
    errand: &Errand<'_>,
    slot: RouteSlot,
    request: Request<Admitted>,
) -> TryEnd {
    let id = request.id().clone();
    let peer = slot.choice.address.clone();
    let credential = &errand.context.credential;
    let message = match errand.ask.request(&id, &peer, credential) {
        Ok(message) => message,
        Err(error) => {
            let message = format!("{error:#}");
            return TryEnd::Failed(request.refused(Refusal::not_run(
                RefusalCode::BadRequest,
                &message,
            )));
        }
    };
    let mut link = match connect(&slot).await {
        Ok(link) => link,
        Err(error) => {
            log_failure(&id.to_string(), &slot, &error);
            slot.finish(RunResult::Failed);
            return TryEnd::Again(request);
        }
    };
    let request = request.sent(&slot.choice.runner);
    let timeout = Duration::from_millis(errand.values.head_timeout_ms);
    let sent_at = Instant::now();
    let sent = link.send(message, sent_at + timeout).await;
    let (request, code, error) = match sent {
        Ok(response)
            if errand.route.model.is_some()
                && let Some(proof) = engine::not_executed_proof(&response) =>
        {
            // The runner is well; it just doesn't hold the model any more.
            slot.finish(RunResult::Neutral);
            return TryEnd::Again(request.rejected_by_runner(proof));
        }
        Ok(response) if is_for(&response, &id.to_string()) => {
            return TryEnd::Answered(Box::new(Exchange {
                request: request.answered(),
                response,
                link,
                slot,
                sent_at,
            }));
        }
        Ok(_) => {
            let error = anyhow::anyhow!("the answer is to another request");
            (request, RefusalCode::RunnerFailed, error)
        }
        Err(SendFault::Unsent(proof, error)) => {
            log_failure(&id.to_string(), &slot, &error);
            slot.finish(RunResult::Failed);
            return TryEnd::Again(request.returned_unsent(proof));
        }
        Err(SendFault::InDoubt(error)) => {
            (request, RefusalCode::RunnerFailed, error)
        }
        Err(SendFault::TimedOut) => {
            let error = anyhow::anyhow!("no head of an answer in time");
            (request, RefusalCode::RunnerTimeout, error)
        }
    };
    log_failure(&id.to_string(), &slot, &error);
    slot.finish(RunResult::Failed);
    run_again(request, code, &error)
}

/// Lets an idempotent request run again and fails any other.
fn run_again(
    request: Request<Sent>,
    code: RefusalCode,
    error: &anyhow::Error,
) -> TryEnd {
    match request.run_again() {
        Ok(request) => TryEnd::RunAgain(request),
        Err(request) => {
            let message = format!("{error:#}");
            TryEnd::Failed(request.failed(code, &message))
        }
    }
}

async fn connect(slot: &RouteSlot) -> anyhow::Result<HttpLink> {
    let idle = super::ask(&slot.port.sender, RunnerEvent::Checkout).await;
    if let Some(Some(link)) = idle
        && link.is_ready()
    {
        return Ok(link);
    }
    let deadline = Instant::now() + CONNECT_TIMEOUT;
    HttpLink::open(&slot.choice.address, deadline).await
}

/// Tells whether an answer is to this request, where it says so.
fn is_for(response: &Response<Incoming>, id: &str) -> bool {
    let named = response.headers().get(REQUEST_ID);
    named.is_none_or(|value| value.as_bytes() == id.as_bytes())
}

fn log_failure(id: &str, slot: &RouteSlot, error: &anyhow::Error) {
    tracing::warn!(
        event = "runner_failed",
        request_id = id,
        runner = slot.choice.runner,
        error = format!("{error:#}"),
    );
}
