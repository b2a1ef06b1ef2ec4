//! Attempts to run one call at runners.
//!
//! The typestate of the request decides what may still be done with the
//! request. It may go to another runner as long as no byte of it has been
//! written, or if the runner itself states that it rejected the request
//! without running it. In any other case the request may be sent again only if
//! it is idempotent.

use std::{io, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{
    Response,
    body::{Body as _, Incoming},
    http::{request, response},
};
use tokio::time::{Instant, error::Elapsed};

use super::{
    NodeContext,
    body::{RelayBody, RelayStream},
    call::CallRecord,
    router_port::RelaySlot,
};
use crate::{
    catalog::{BilledCustomer, CallRoute, ServiceCatalog},
    clock::EpochMillis,
    customer::{CallCharge, ChargeState},
    port::{
        AnswerVerdict, EdgeCodec, ForwardTarget, HttpLink, LinkReuse,
        SendFault,
    },
    relay::{CallEnd, CallHead, CallProfile, CallRequirements},
    request::{Admitted, Refusal, RefusalCode, Request, RunOutcome, Sent},
    tasks::intake::{BodyRoom, Kept},
    wire::{answer::is_framed, link::EndlessInformational},
};

/// Longest wait for a connection to a runner. A connection opens within
/// milliseconds; a lost packet is retransmitted only after a second, by which
/// time another runner has long been tried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest non-streamed answer that is buffered before it is passed on.
const MAX_BUFFERED_BYTES: u64 = 256 << 10;
/// Longest time for which the rest of an answer that isn't passed on is read.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// An admitted call and what its attempts need.
pub(super) struct CallAttempts<'a, C> {
    pub(super) context: &'a NodeContext<C>,
    pub(super) call: &'a CallHead,
    pub(super) parts: &'a request::Parts,
    pub(super) body: Bytes,
    pub(super) route: &'a CallRoute,
    pub(super) customer: Option<&'a BilledCustomer>,
    pub(super) deadline: Instant,
    pub(super) record: CallRecord,
}

/// How an attempt ended.
enum AttemptOutcome {
    /// The call didn't run and may go to another runner.
    Retry(Request<Admitted>),
    /// The call may have run and is idempotent, so it may run again. The
    /// fallback is the answer to give if no other runner is left.
    Rerun(Request<Admitted>, Box<Fallback>),
    /// The answer for the caller.
    Answered(Response<RelayBody>),
    /// The call failed without an answer.
    Failed(Refusal),
}

/// Answer for the caller if the call can't run again.
enum Fallback {
    /// The runner's answer, which reports a failure.
    Answer(Response<RelayBody>),
    /// A refusal, because the runner didn't answer or its answer is unusable.
    Refusal(Refusal),
}

impl<C: EdgeCodec> CallAttempts<'_, C> {
    /// Makes attempts until one of them decides the answer.
    pub(super) async fn run(
        mut self,
        catalog: &ServiceCatalog,
    ) -> Result<Response<RelayBody>, Refusal> {
        let id = self.call.id.clone();
        let idempotent = self.route.kind.is_idempotent();
        let mut request = Request::received(id, idempotent).admitted();
        let mut requirements = self.call_requirements(catalog)?;
        let mut charge = self.charge();
        let mut fallback = None;
        let mut reruns = 0;
        loop {
            let now = self.context.clock.now();
            let router = &self.context.router;
            let asked_at = Instant::now();
            let routed = router.route(&requirements, charge, now).await;
            self.record.held_ms += asked_at.elapsed().as_millis() as u64;
            let mut slot = match routed {
                Ok(slot) => slot,
                Err(refusal) => return conclude(fallback, request, refusal),
            };
            self.record.basis = slot.choice.basis;
            charge = std::mem::take(&mut slot.charge);
            requirements.tried.push(slot.choice.runner.clone());
            let outcome = self.attempt(slot, request).await;
            requirements.sent = 0 < self.record.sends;
            match outcome {
                AttemptOutcome::Answered(response) => return Ok(response),
                AttemptOutcome::Failed(refusal) => return Err(refusal),
                AttemptOutcome::Retry(retry) => request = retry,
                AttemptOutcome::Rerun(rerun, latest) => {
                    request = rerun;
                    charge = ChargeState::Settled;
                    reruns += 1;
                    if self.route.max_attempts <= reruns {
                        let refusal = Refusal::not_run(
                            RefusalCode::RunnerFailed,
                            "no further run is allowed",
                        );
                        return conclude(Some(*latest), request, refusal);
                    }
                    fallback = Some(*latest);
                }
            }
        }
    }

    /// Returns what the call requires of a runner.
    fn call_requirements(
        &self,
        catalog: &ServiceCatalog,
    ) -> Result<CallRequirements, Refusal> {
        let service = self.route.target(rand::random()).ok_or_else(|| {
            Refusal::not_run(RefusalCode::NoRunner, "the route has no service")
        })?;
        let engine = catalog
            .service(service)
            .is_some_and(|service| service.engine.is_some());
        let now = self.context.clock.now();
        let left = self.deadline - Instant::now();
        Ok(CallRequirements {
            id: self.call.id.clone(),
            service: service.to_owned(),
            model: self.call.model.clone().filter(|_| engine),
            tokens: self.call.total_tokens().unwrap_or(0),
            tried: Vec::new(),
            sent: false,
            deadline: now.after(left),
            parts: self.record.parts.clone(),
            profile: self.call_profile(now),
        })
    }

    /// Returns the charge for the call, if its customer has a rate.
    fn charge(&self) -> ChargeState {
        let Some(customer) = self.customer else {
            return ChargeState::Settled;
        };
        let Some(rate) = customer.rate else { return ChargeState::Settled };
        let cost = rate.cost(self.call.total_tokens());
        ChargeState::Owed(CallCharge::owed(&customer.name, cost))
    }

    /// Returns how large and how urgent the call is.
    fn call_profile(&self, now: EpochMillis) -> CallProfile {
        let (prompt_tokens, output_tokens) =
            self.call.tokens.unwrap_or_default();
        let began = now.before(self.record.started.elapsed());
        let objective = Duration::from_millis(self.route.objective_ms);
        CallProfile {
            prompt_tokens,
            output_tokens,
            body_bytes: self.body.len() as u64,
            target: (!objective.is_zero()).then(|| began.after(objective)),
            gap_ms: self.route.gap_ms,
            priority: self.priority(),
            customer: self.record.customer.clone(),
            idempotent: self.route.kind.is_idempotent(),
        }
    }

    /// Returns the customer's priority, or else that of the route.
    fn priority(&self) -> u8 {
        let own = self.customer.and_then(|customer| customer.priority);
        own.unwrap_or(self.route.priority)
    }

    async fn attempt(
        &mut self,
        mut slot: RelaySlot,
        request: Request<Admitted>,
    ) -> AttemptOutcome {
        let opened = match slot.link.take() {
            Some(link) => Ok(link),
            None => self.connect(&slot).await.map(|link| (link, true)),
        };
        let (mut link, is_certain) = match opened {
            Ok(link) => link,
            Err(error) => {
                self.log_failure(&slot, "connect", &error);
                if is_refused(&error) {
                    slot.note_refused();
                }
                slot.finish(CallEnd::Unreachable, None);
                return AttemptOutcome::Retry(request);
            }
        };
        let now = self.context.clock.now();
        if slot.choice.send_by.is_some_and(|limit| limit <= now) {
            // Written now, the call would count in another second than the
            // one in which the runner could take it.
            slot.finish(CallEnd::Neutral, None);
            return AttemptOutcome::Retry(request);
        }
        let left = self.deadline.saturating_duration_since(Instant::now());
        let target = ForwardTarget {
            runner: &slot.choice.runner,
            customer: self.customer.map(|customer| customer.name.as_str()),
            time_left: left,
            priority: self.priority(),
        };
        let forwarded =
            self.context.codec.forward(self.parts, &self.body, &target);
        let message = match forwarded {
            Ok(message) => message,
            Err(error) => {
                let message = format!("{error:#}");
                return AttemptOutcome::Failed(request.refused(
                    Refusal::not_run(RefusalCode::BadRequest, &message),
                ));
            }
        };
        self.record.sends += 1;
        self.record.runner = slot.choice.runner.clone();
        let request = request.sent(&slot.choice.runner);
        slot.note_send();
        let sent_at = Instant::now();
        match link.send(message, self.deadline).await {
            Ok(response) => {
                let (head, upstream) = response.into_parts();
                let now = self.context.clock.now();
                let codec = &self.context.codec;
                let notice = codec.read_notice(request.id(), &head, now);
                slot.head_received(notice).await;
                self.record.first_byte_at = Some(Instant::now());
                let seconds = self.record.started.elapsed().as_secs_f64();
                self.context.metrics.first_byte.observe(seconds);
                let answer = (head, upstream);
                self.handle_answer(request, slot, link, answer, sent_at).await
            }
            Err(SendFault::Unsent(proof, error)) => {
                self.log_failure(&slot, "send", &error);
                slot.finish(CallEnd::Broken, None);
                AttemptOutcome::Retry(request.returned_unsent(proof))
            }
            Err(SendFault::InDoubt(error)) => {
                self.log_failure(&slot, "await_head", &error);
                // A connection that the runner may have been closing says
                // nothing about the runner.
                let end =
                    if is_certain { end_by(&error) } else { CallEnd::Neutral };
                slot.finish(end, None);
                run_again(request, RefusalCode::RunnerFailed, &error)
            }
            Err(SendFault::TimedOut) => {
                let error = anyhow::anyhow!("no answer in time");
                self.log_failure(&slot, "await_head", &error);
                slot.finish(CallEnd::Broken, None);
                AttemptOutcome::Failed(
                    request.failed(RefusalCode::RunnerTimeout, "no answer"),
                )
            }
        }
    }

    async fn connect(&self, slot: &RelaySlot) -> anyhow::Result<HttpLink> {
        let limit = Instant::now() + CONNECT_TIMEOUT;
        HttpLink::open(&slot.choice.address, limit.min(self.deadline)).await
    }

    async fn handle_answer(
        &mut self,
        request: Request<Sent>,
        slot: RelaySlot,
        link: HttpLink,
        (head, upstream): (response::Parts, Incoming),
        sent_at: Instant,
    ) -> AttemptOutcome {
        let codec = &self.context.codec;
        let verdict =
            codec.classify_answer(request.id(), &head, link.last_use());
        self.record.status = head.status.as_u16();
        let link = (link, codec.reuse(&head));
        match verdict {
            AnswerVerdict::Rejected(proof) => {
                let error = anyhow::anyhow!("status {}", head.status);
                self.log_failure(&slot, "turned_away", &error);
                let link = drain_body(upstream, link).await;
                slot.finish(CallEnd::Rejected, link);
                AttemptOutcome::Retry(request.rejected_by_runner(proof))
            }
            AnswerVerdict::Unusable(reason) => {
                let error =
                    anyhow::anyhow!("{reason}, status {}", head.status);
                self.log_failure(&slot, "judge", &error);
                slot.finish(CallEnd::Broken, None);
                run_again(request, RefusalCode::RunnerFailed, &error)
            }
            AnswerVerdict::UnsignedClientError => {
                let status = head.status;
                let error = anyhow::anyhow!(
                    "the client error bears no signature, status {status}"
                );
                self.log_failure(&slot, "judge", &error);
                slot.finish(CallEnd::Neutral, None);
                run_again(request, RefusalCode::RunnerFailed, &error)
            }
            AnswerVerdict::Success if self.route.kind.is_stream() => {
                self.stream_answer(&head, upstream, slot, link)
            }
            AnswerVerdict::Success => {
                self.buffer_answer(
                    request, &head, upstream, slot, link, sent_at,
                )
                .await
            }
            AnswerVerdict::Failure => {
                self.handle_failure(request, &head, upstream, slot, link).await
            }
        }
    }

    fn stream_answer(
        &self,
        head: &response::Parts,
        upstream: Incoming,
        mut slot: RelaySlot,
        link: (HttpLink, LinkReuse),
    ) -> AttemptOutcome {
        if !is_framed(head) {
            slot.note_unframed();
        }
        let record = self.record.clone();
        let deadline = self.deadline;
        let body =
            RelayStream::new(head, upstream, link, slot, record, deadline);
        let head = self.context.codec.answer_head(head);
        let body = RelayBody::Stream(Box::new(body));
        AttemptOutcome::Answered(Response::from_parts(head, body))
    }

    /// Buffers a non-streamed answer before any of it is passed on, so that a
    /// truncated answer can be reported as an error, or requested again. An
    /// answer that is too large to buffer is streamed.
    async fn buffer_answer(
        &mut self,
        request: Request<Sent>,
        head: &response::Parts,
        upstream: Incoming,
        mut slot: RelaySlot,
        link: (HttpLink, LinkReuse),
        sent_at: Instant,
    ) -> AttemptOutcome {
        let Some(room) = self.answer_room(&upstream).await else {
            return self.stream_answer(head, upstream, slot, link);
        };
        match self.collect(upstream).await {
            Ok(bytes) => {
                let bytes = room.hold(bytes.into());
                slot.note_frame();
                let latency_us = sent_at.elapsed().as_micros() as u64;
                slot.finish(CallEnd::Complete { latency_us }, Some(link));
                self.record.log("ok");
                AttemptOutcome::Answered(self.full_response(head, bytes))
            }
            Err(error) => {
                self.log_failure(&slot, "read_body", &error);
                slot.finish(end_by(&error), None);
                run_again(request, RefusalCode::AnswerCut, &error)
            }
        }
    }

    /// Passes a runner's failure on, unless the call may run again after a
    /// server error.
    async fn handle_failure(
        &mut self,
        request: Request<Sent>,
        head: &response::Parts,
        upstream: Incoming,
        slot: RelaySlot,
        link: (HttpLink, LinkReuse),
    ) -> AttemptOutcome {
        let Some(room) = self.failure_room(&upstream).await else {
            let error = anyhow::anyhow!("there is no memory for the answer");
            self.log_failure(&slot, "read_body", &error);
            slot.finish(CallEnd::Neutral, None);
            return run_again(request, RefusalCode::AnswerCut, &error);
        };
        let bytes = match self.collect(upstream).await {
            Ok(bytes) => room.hold(bytes.into()),
            Err(error) => {
                self.log_failure(&slot, "read_body", &error);
                slot.finish(end_by(&error), None);
                return run_again(request, RefusalCode::AnswerCut, &error);
            }
        };
        let server_fault = head.status.is_server_error();
        let end =
            if server_fault { CallEnd::Failed } else { CallEnd::Neutral };
        slot.finish(end, Some(link));
        let answer = self.full_response(head, bytes);
        if !server_fault {
            self.record.log("runner_refused");
            return AttemptOutcome::Answered(answer);
        }
        match request.run_again() {
            Ok(request) => {
                let fallback = Fallback::Answer(answer);
                AttemptOutcome::Rerun(request, Box::new(fallback))
            }
            Err(_) => {
                self.record.log("runner_failed");
                AttemptOutcome::Answered(answer)
            }
        }
    }

    /// Takes room for an answer that is to be buffered. Returns `None` if the
    /// answer is too large, or if there is no room for it.
    async fn answer_room(
        &self,
        upstream: &Incoming,
    ) -> Option<BodyRoom<Kept>> {
        let size = upstream.size_hint().upper()?;
        if MAX_BUFFERED_BYTES < size {
            return None;
        }
        let size = usize::try_from(size).ok()?;
        self.context.intake.take_whole(size).await.ok()
    }

    /// Takes room for a failure, which is buffered in any case.
    async fn failure_room(
        &self,
        upstream: &Incoming,
    ) -> Option<BodyRoom<Kept>> {
        let size = upstream.size_hint().upper().unwrap_or(MAX_BUFFERED_BYTES);
        let size = usize::try_from(size.min(MAX_BUFFERED_BYTES)).ok()?;
        self.context.intake.take_whole(size).await.ok()
    }

    async fn collect(&self, upstream: Incoming) -> anyhow::Result<Bytes> {
        let limit = usize::try_from(MAX_BUFFERED_BYTES).unwrap_or(usize::MAX);
        let body = Limited::new(upstream, limit).collect();
        let body = tokio::time::timeout_at(self.deadline, body).await?;
        let body = body.map_err(|error| anyhow::anyhow!("{error}"))?;
        Ok(body.to_bytes())
    }

    fn full_response(
        &self,
        head: &response::Parts,
        bytes: Bytes,
    ) -> Response<RelayBody> {
        let head = self.context.codec.answer_head(head);
        Response::from_parts(head, RelayBody::Full(Full::new(bytes)))
    }

    fn log_failure(
        &self,
        slot: &RelaySlot,
        step: &str,
        error: &anyhow::Error,
    ) {
        tracing::info!(
            event = "runner_failed",
            request_id = self.call.id.as_str(),
            runner = slot.choice.runner,
            step,
            sends = self.record.sends,
            parts = %self.record.parts,
            error = format!("{error:#}"),
        );
    }
}

/// Reads the body of an answer that isn't passed on, if it is short, so that
/// its connection can be used again.
async fn drain_body(
    upstream: Incoming,
    link: (HttpLink, LinkReuse),
) -> Option<(HttpLink, LinkReuse)> {
    let short = upstream.size_hint().upper();
    if short.is_none_or(|bytes| MAX_BUFFERED_BYTES < bytes) {
        return None;
    }
    let limit = Instant::now() + DRAIN_TIMEOUT;
    let read = tokio::time::timeout_at(limit, upstream.collect()).await;
    matches!(read, Ok(Ok(_))).then_some(link)
}

/// Returns whether a connection was refused, as by an address at which nothing
/// listens.
fn is_refused(error: &anyhow::Error) -> bool {
    let error = error.downcast_ref::<io::Error>();
    error.is_some_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
}

/// Returns how a call ended that failed with this error: whether its runner may
/// have ended, or was late or sent what is no answer.
fn end_by(error: &anyhow::Error) -> CallEnd {
    let is_malformed = error
        .downcast_ref::<hyper::Error>()
        .is_some_and(hyper::Error::is_parse);
    let is_endless = error.is::<EndlessInformational>();
    if is_malformed || is_endless || error.is::<Elapsed>() {
        CallEnd::Broken
    } else {
        CallEnd::Cut
    }
}

/// Lets an idempotent request run again and fails any other request.
fn run_again(
    request: Request<Sent>,
    code: RefusalCode,
    error: &anyhow::Error,
) -> AttemptOutcome {
    let message = format!("{error:#}");
    let refusal = Refusal {
        code,
        outcome: RunOutcome::OutcomeUnknown,
        message: message.clone(),
        retry_at: None,
        verdict: None,
    };
    match request.run_again() {
        Ok(request) => {
            let fallback = Fallback::Refusal(refusal);
            AttemptOutcome::Rerun(request, Box::new(fallback))
        }
        Err(request) => AttemptOutcome::Failed(request.failed(code, &message)),
    }
}

/// Returns the answer for the caller when no further attempt is possible: the
/// fallback of an earlier attempt, or else the refusal.
fn conclude(
    fallback: Option<Fallback>,
    request: Request<Admitted>,
    refusal: Refusal,
) -> Result<Response<RelayBody>, Refusal> {
    match fallback {
        Some(Fallback::Answer(response)) => Ok(response),
        Some(Fallback::Refusal(refusal)) => Err(refusal),
        None => Err(request.refused(refusal)),
    }
}
