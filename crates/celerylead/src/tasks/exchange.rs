//! Attempts to run one request on runners. The typestate of the request
//! decides whether another attempt is allowed.

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
/// Upper bound on the attempts for one request.
const MAX_ATTEMPTS: usize = 4;

/// A request to be sent to a runner, and what its attempts need.
pub(crate) struct OutboundCall<'a> {
    pub(crate) context: &'a HostContext,
    pub(crate) engine_request: EngineRequest,
    pub(crate) query: RouteQuery,
    /// Customer to whom the fair queue charges the request; empty on open
    /// routes.
    pub(crate) customer: &'a str,
    pub(crate) weight: u64,
    pub(crate) values: &'a ResolvedValues,
    /// Watch on the caller's key, which must be in force until the request is
    /// sent; `None` on open routes.
    pub(crate) key_watch: Option<&'a KeyWatch>,
}

/// A runner's answer whose head has been received, with its connection.
pub(crate) struct Exchange {
    pub(crate) request: Request<Answered>,
    pub(crate) response: Response<Incoming>,
    pub(crate) link: HttpLink,
    pub(crate) slot: RouteSlot,
    pub(crate) sent_at: Instant,
}

/// How an attempt ended.
enum AttemptOutcome {
    Answered(Box<Exchange>),
    /// The request didn't run and may go to another runner.
    Retry(Request<Admitted>),
    /// The request may have run and is idempotent, so it may run again on
    /// another runner.
    Rerun(Request<Admitted>),
    Failed(Refusal),
}

/// Sends a request to a runner, and after a failure to other runners as long
/// as the state of the request allows it.
pub(crate) async fn run(
    mut outbound: OutboundCall<'_>,
    mut request: Request<Admitted>,
) -> Result<Exchange, Refusal> {
    let clock = &outbound.context.clock;
    let queue_wait = Duration::from_millis(outbound.values.queue_ms);
    let deadline = clock.now().after(queue_wait);
    for _ in 0..MAX_ATTEMPTS {
        let slot = outbound
            .context
            .dispatch
            .route(
                &outbound.query,
                outbound.customer,
                outbound.weight,
                deadline,
            )
            .await;
        let slot = match slot {
            Ok(slot) => slot,
            Err(refusal) => return Err(request.refused(refusal)),
        };
        if outbound.key_watch.is_some_and(|watch| !watch.in_force()) {
            return Err(request.refused(Refusal::not_run(
                RefusalCode::InvalidKey,
                "the key was withdrawn while the request waited",
            )));
        }
        let runner = slot.choice.runner.clone();
        match attempt(&outbound, slot, request).await {
            AttemptOutcome::Answered(exchange) => return Ok(*exchange),
            AttemptOutcome::Failed(refusal) => return Err(refusal),
            AttemptOutcome::Retry(admitted) => request = admitted,
            AttemptOutcome::Rerun(admitted) => {
                request = admitted;
                outbound.query.reruns += 1;
                let jitter = rand::random();
                let wait = backoff(outbound.query.reruns, jitter);
                tokio::time::sleep_until(Instant::now() + wait).await;
            }
        }
        outbound.query.tried.push(runner);
    }
    Err(request.refused(Refusal::not_run(
        RefusalCode::NoRunner,
        "no runner could be reached",
    )))
}

/// Makes one attempt at the runner of `slot`.
async fn attempt(
    outbound: &OutboundCall<'_>,
    slot: RouteSlot,
    request: Request<Admitted>,
) -> AttemptOutcome {
    let id = request.id().clone();
    let peer = slot.choice.address.clone();
    let credential = &outbound.context.credential;
    let message =
        match outbound.engine_request.request(&id, &peer, credential) {
            Ok(message) => message,
            Err(error) => {
                let message = format!("{error:#}");
                return AttemptOutcome::Failed(request.refused(
                    Refusal::not_run(RefusalCode::BadRequest, &message),
                ));
            }
        };
    let mut link = match connect(&slot).await {
        Ok(link) => link,
        Err(error) => {
            log_failure(&id.to_string(), &slot, &error);
            slot.finish(RunResult::Failed);
            return AttemptOutcome::Retry(request);
        }
    };
    let request = request.sent(&slot.choice.runner);
    let timeout = Duration::from_millis(outbound.values.head_timeout_ms);
    let sent_at = Instant::now();
    let sent = link.send(message, sent_at + timeout).await;
    let (request, code, error) = match sent {
        Ok(response)
            if outbound.query.model.is_some()
                && let Some(proof) = engine::not_executed_proof(&response) =>
        {
            // The runner is healthy, but the model isn't resident on it any
            // more.
            slot.finish(RunResult::Neutral);
            return AttemptOutcome::Retry(request.rejected_by_runner(proof));
        }
        Ok(response) if answers_request(&response, &id.to_string()) => {
            return AttemptOutcome::Answered(Box::new(Exchange {
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
            return AttemptOutcome::Retry(request.returned_unsent(proof));
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

/// Lets an idempotent request run again and fails any other request.
fn run_again(
    request: Request<Sent>,
    code: RefusalCode,
    error: &anyhow::Error,
) -> AttemptOutcome {
    match request.run_again() {
        Ok(request) => AttemptOutcome::Rerun(request),
        Err(request) => {
            let message = format!("{error:#}");
            AttemptOutcome::Failed(request.failed(code, &message))
        }
    }
}

/// Returns an idle connection to the runner, or opens a new one.
async fn connect(slot: &RouteSlot) -> anyhow::Result<HttpLink> {
    let idle_link = super::ask(&slot.port.sender, RunnerEvent::Checkout).await;
    if let Some(Some(link)) = idle_link
        && link.is_ready()
    {
        return Ok(link);
    }
    let deadline = Instant::now() + CONNECT_TIMEOUT;
    HttpLink::open(&slot.choice.address, deadline).await
}

/// Returns whether an answer belongs to this request. An answer that states no
/// request id is accepted.
fn answers_request(response: &Response<Incoming>, id: &str) -> bool {
    let stated_id = response.headers().get(REQUEST_ID);
    stated_id.is_none_or(|value| value.as_bytes() == id.as_bytes())
}

fn log_failure(id: &str, slot: &RouteSlot, error: &anyhow::Error) {
    tracing::warn!(
        event = "runner_failed",
        request_id = id,
        runner = slot.choice.runner,
        error = format!("{error:#}"),
    );
}
