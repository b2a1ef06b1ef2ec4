//! The tries of one call at runners.
//!
//! The request's state says what may still be done. Until a byte of it was
//! written, and after a runner's own word that it didn't run it, it may go to
//! another runner; after that only if it is idempotent.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{
    Response,
    body::{Body as _, Incoming},
    http::{request, response},
};
use tokio::time::Instant;

use super::{
    NodeContext,
    body::{RelayBody, RelayStream},
    call::CallRecord,
    desk::RelaySlot,
};
use crate::{
    catalog::{BilledCustomer, CallRoute, ServiceCatalog},
    port::{
        AnswerVerdict, EdgeCodec, ForwardTarget, HttpLink, LinkReuse,
        SendFault,
    },
    relay::{CallEnd, CallHead, CallRequirements},
    request::{Admitted, Refusal, RefusalCode, Request, RunOutcome, Sent},
};

/// Longest wait for a connection to a runner. It opens within milliseconds;
/// a lost packet would be sent again after a second, when another runner has
/// long been asked.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest plain answer that is read whole before any of it is passed on.
const MAX_WHOLE_BYTES: u64 = 256 << 10;
/// Idle time after which a connection to a runner is too old for a request
/// that can't be repeated; runners announce whole seconds.
const FRESH_IDLE: Duration = Duration::from_millis(500);
/// Time before a runner's own limit from which a connection isn't used.
const REUSE_MARGIN: Duration = Duration::from_millis(700);

/// A call that was let in, as its tries see it.
pub(super) struct Errand<'a, C> {
    pub(super) context: &'a NodeContext<C>,
    pub(super) call: &'a CallHead,
    pub(super) parts: &'a request::Parts,
    pub(super) body: Bytes,
    pub(super) route: &'a CallRoute,
    pub(super) customer: Option<&'a BilledCustomer>,
    pub(super) deadline: Instant,
    pub(super) record: CallRecord,
}

/// How a try ended.
enum TryEnd {
    /// The call may go to another runner.
    Again(Request<Admitted>),
    /// It may have run and is idempotent; the answer to give if no other
    /// runner is left.
    RunAgain(Request<Admitted>, Box<Fallback>),
    /// The answer.
    Answered(Response<RelayBody>),
    /// No answer.
    Failed(Refusal),
}

/// What a caller gets if a further run isn't possible.
enum Fallback {
    /// The runner's own failure.
    Answer(Response<RelayBody>),
    /// The failure of the exchange.
    Refusal(Refusal),
}

impl<C: EdgeCodec> Errand<'_, C> {
    /// Tries until there is an answer to give.
    pub(super) async fn run(
        mut self,
        catalog: &ServiceCatalog,
    ) -> Result<Response<RelayBody>, Refusal> {
        let id = self.call.id.clone();
        let idempotent = self.route.kind.is_idempotent();
        let mut request = Request::received(id, idempotent).admitted();
        let mut ask = self.ask(catalog)?;
        let mut refundable = ask.charge.clone();
        let mut fallback = None;
        let mut reruns = 0;
        loop {
            let now = self.context.clock.now();
            let desk = &self.context.desk;
            let refund = refundable.clone();
            let asked = Instant::now();
            let routed = desk.route(&ask, refund, now).await;
            self.record.held_ms += asked.elapsed().as_millis() as u64;
            let slot = match routed {
                Ok(slot) => slot,
                Err(refusal) => return last_word(fallback, request, refusal),
            };
            self.record.basis = slot.choice.basis;
            ask.charge = None;
            ask.tried.push(slot.choice.runner.clone());
            let end = self.try_once(slot, request).await;
            ask.sent = 0 < self.record.sends;
            match end {
                TryEnd::Answered(response) => return Ok(response),
                TryEnd::Failed(refusal) => return Err(refusal),
                TryEnd::Again(again) => request = again,
                TryEnd::RunAgain(again, given) => {
                    request = again;
                    refundable = None;
                    reruns += 1;
                    if self.route.max_attempts <= reruns {
                        let refusal = Refusal::not_run(
                            RefusalCode::RunnerFailed,
                            "no further run is allowed",
                        );
                        return last_word(Some(*given), request, refusal);
                    }
                    fallback = Some(*given);
                }
            }
        }
    }

    /// What the call needs of a runner.
    fn ask(
        &self,
        catalog: &ServiceCatalog,
    ) -> Result<CallRequirements, Refusal> {
        let service = self.route.target(rand::random()).ok_or_else(|| {
            Refusal::not_run(RefusalCode::NoRunner, "the route has no service")
        })?;
        let engine = catalog
            .service(service)
            .is_some_and(|service| service.engine.is_some());
        let charge = self.customer.and_then(|customer| {
            let rate = customer.rate?;
            let cost = rate.cost(self.call.total_tokens());
            Some((customer.name.clone(), cost))
        });
        let now = self.context.clock.now();
        let left = self.deadline - Instant::now();
        Ok(CallRequirements {
            id: self.call.id.clone(),
            service: service.to_owned(),
            model: self.call.model.clone().filter(|_| engine),
            tokens: self.call.total_tokens().unwrap_or(0),
            charge,
            tried: Vec::new(),
            sent: false,
            deadline: now.after(left),
        })
    }

    async fn try_once(
        &mut self,
        mut slot: RelaySlot,
        request: Request<Admitted>,
    ) -> TryEnd {
        let opened = match slot.link.take() {
            Some(link) => Ok(link),
            None => self.connect(&slot).await,
        };
        let mut link = match opened {
            Ok(link) => link,
            Err(error) => {
                self.note_failure(&slot, "connect", &error);
                slot.finish(CallEnd::Unreachable, None);
                return TryEnd::Again(request);
            }
        };
        let left = self.deadline.saturating_duration_since(Instant::now());
        let target = ForwardTarget {
            runner: &slot.choice.runner,
            customer: self.customer.map(|customer| customer.name.as_str()),
            left,
            priority: self
                .customer
                .and_then(|customer| customer.priority)
                .unwrap_or(self.route.priority),
        };
        let forwarded =
            self.context.codec.forward(self.parts, &self.body, &target);
        let message = match forwarded {
            Ok(message) => message,
            Err(error) => {
                let message = format!("{error:#}");
                return TryEnd::Failed(request.refused(Refusal::not_run(
                    RefusalCode::BadRequest,
                    &message,
                )));
            }
        };
        self.record.sends += 1;
        self.record.runner = slot.choice.runner.clone();
        let request = request.sent(&slot.choice.runner);
        let sent_at = Instant::now();
        match link.send(message, self.deadline).await {
            Ok(response) => {
                slot.heard();
                self.record.first = Some(Instant::now());
                let seconds = self.record.started.elapsed().as_secs_f64();
                self.context.metrics.first_byte.observe(seconds);
                self.judge(request, slot, link, response, sent_at).await
            }
            Err(SendFault::Unsent(proof, error)) => {
                self.note_failure(&slot, "send", &error);
                slot.finish(CallEnd::Broken, None);
                TryEnd::Again(request.taken_back(proof))
            }
            Err(SendFault::InDoubt(error)) => {
                self.note_failure(&slot, "await_head", &error);
                slot.finish(CallEnd::Broken, None);
                run_again(request, RefusalCode::RunnerFailed, &error)
            }
            Err(SendFault::TimedOut) => {
                let error = anyhow::anyhow!("no answer in time");
                self.note_failure(&slot, "await_head", &error);
                slot.finish(CallEnd::Broken, None);
                TryEnd::Failed(
                    request.failed(RefusalCode::RunnerTimeout, "no answer"),
                )
            }
        }
    }

    async fn connect(&self, slot: &RelaySlot) -> anyhow::Result<HttpLink> {
        let limit = Instant::now() + CONNECT_TIMEOUT;
        HttpLink::open(&slot.choice.address, limit.min(self.deadline)).await
    }

    async fn judge(
        &mut self,
        request: Request<Sent>,
        slot: RelaySlot,
        link: HttpLink,
        response: Response<Incoming>,
        sent_at: Instant,
    ) -> TryEnd {
        let (head, upstream) = response.into_parts();
        let codec = &self.context.codec;
        let verdict = codec.judge(request.id(), &head);
        self.record.status = head.status.as_u16();
        let link = (link, self.reuse_until(&head));
        match verdict {
            AnswerVerdict::TurnedAway(proof) => {
                let error = anyhow::anyhow!("status {}", head.status);
                self.note_failure(&slot, "turned_away", &error);
                let link = drained(upstream, link).await;
                slot.finish(CallEnd::Rejected, link);
                TryEnd::Again(request.turned_away(proof))
            }
            AnswerVerdict::Unusable(reason) => {
                let error = anyhow::anyhow!(reason);
                self.note_failure(&slot, "judge", &error);
                slot.finish(CallEnd::Broken, None);
                run_again(request, RefusalCode::RunnerFailed, &error)
            }
            AnswerVerdict::Success if self.route.kind.is_stream() => {
                self.stream(&head, upstream, slot, link)
            }
            AnswerVerdict::Success => {
                self.whole(request, &head, upstream, slot, link, sent_at).await
            }
            AnswerVerdict::Failure => {
                self.failure(request, &head, upstream, slot, link).await
            }
        }
    }

    /// Point until which a connection may be used again.
    fn reuse_until(&self, head: &response::Parts) -> Instant {
        let now = Instant::now();
        match self.context.codec.reuse(head) {
            LinkReuse::Never => now,
            LinkReuse::Within(span) => {
                now + span.saturating_sub(REUSE_MARGIN).min(FRESH_IDLE)
            }
        }
    }

    fn stream(
        &self,
        head: &response::Parts,
        upstream: Incoming,
        slot: RelaySlot,
        link: (HttpLink, Instant),
    ) -> TryEnd {
        let record = self.record.clone();
        let body =
            RelayStream::new(upstream, link, slot, record, self.deadline);
        let head = self.context.codec.answer_head(head);
        let body = RelayBody::Stream(Box::new(body));
        TryEnd::Answered(Response::from_parts(head, body))
    }

    /// Reads a plain answer whole before any of it is passed on, so that a
    /// broken one can be told as such, or asked for again.
    async fn whole(
        &mut self,
        request: Request<Sent>,
        head: &response::Parts,
        upstream: Incoming,
        slot: RelaySlot,
        link: (HttpLink, Instant),
        sent_at: Instant,
    ) -> TryEnd {
        let size = upstream.size_hint().upper();
        if size.is_none_or(|size| MAX_WHOLE_BYTES < size) {
            return self.stream(head, upstream, slot, link);
        }
        match self.collect(upstream).await {
            Ok(bytes) => {
                let latency_us = sent_at.elapsed().as_micros() as u64;
                slot.finish(CallEnd::Complete { latency_us }, Some(link));
                self.record.log("ok");
                TryEnd::Answered(self.full(head, bytes))
            }
            Err(error) => {
                self.note_failure(&slot, "read_body", &error);
                slot.finish(CallEnd::Broken, None);
                run_again(request, RefusalCode::AnswerCut, &error)
            }
        }
    }

    /// Passes a runner's failure on, unless another run may do better.
    async fn failure(
        &mut self,
        request: Request<Sent>,
        head: &response::Parts,
        upstream: Incoming,
        slot: RelaySlot,
        link: (HttpLink, Instant),
    ) -> TryEnd {
        let bytes = match self.collect(upstream).await {
            Ok(bytes) => bytes,
            Err(error) => {
                self.note_failure(&slot, "read_body", &error);
                slot.finish(CallEnd::Broken, None);
                return run_again(request, RefusalCode::AnswerCut, &error);
            }
        };
        let server_fault = head.status.is_server_error();
        let end =
            if server_fault { CallEnd::Failed } else { CallEnd::Neutral };
        slot.finish(end, Some(link));
        let answer = self.full(head, bytes);
        if !server_fault {
            self.record.log("runner_refused");
            return TryEnd::Answered(answer);
        }
        match request.run_again() {
            Ok(request) => {
                let fallback = Fallback::Answer(answer);
                TryEnd::RunAgain(request, Box::new(fallback))
            }
            Err(_) => {
                self.record.log("runner_failed");
                TryEnd::Answered(answer)
            }
        }
    }

    async fn collect(&self, upstream: Incoming) -> anyhow::Result<Bytes> {
        let limit = usize::try_from(MAX_WHOLE_BYTES).unwrap_or(usize::MAX);
        let body = Limited::new(upstream, limit).collect();
        let body = tokio::time::timeout_at(self.deadline, body).await?;
        let body = body.map_err(|error| anyhow::anyhow!("{error}"))?;
        Ok(body.to_bytes())
    }

    fn full(
        &self,
        head: &response::Parts,
        bytes: Bytes,
    ) -> Response<RelayBody> {
        let head = self.context.codec.answer_head(head);
        Response::from_parts(head, RelayBody::Full(Full::new(bytes)))
    }

    fn note_failure(
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
            error = format!("{error:#}"),
        );
    }
}

/// Reads the short body of an answer that isn't passed on, so that its
/// connection can be used again.
async fn drained(
    upstream: Incoming,
    link: (HttpLink, Instant),
) -> Option<(HttpLink, Instant)> {
    let short = upstream.size_hint().upper();
    if short.is_none_or(|bytes| MAX_WHOLE_BYTES < bytes) {
        return None;
    }
    let limit = Instant::now() + FRESH_IDLE;
    let read = tokio::time::timeout_at(limit, upstream.collect()).await;
    matches!(read, Ok(Ok(_))).then_some(link)
}

/// Lets an idempotent request run again and fails any other.
fn run_again(
    request: Request<Sent>,
    code: RefusalCode,
    error: &anyhow::Error,
) -> TryEnd {
    let message = format!("{error:#}");
    let refusal = Refusal {
        code,
        outcome: RunOutcome::OutcomeUnknown,
        message: message.clone(),
        retry_at: None,
    };
    match request.run_again() {
        Ok(request) => {
            let fallback = Fallback::Refusal(refusal);
            TryEnd::RunAgain(request, Box::new(fallback))
        }
        Err(request) => TryEnd::Failed(request.failed(code, &message)),
    }
}

/// What a caller gets where no further runner is to be had: what an earlier
/// one gave, or the refusal.
fn last_word(
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
