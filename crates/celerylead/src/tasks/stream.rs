//! Bodies of answers that are passed on to callers.
//!
//! A stream of events passes from the runner's connection to the caller's
//! without a buffer between them, so a slow caller slows its runner down and
//! takes no memory. The tokens, the usage record and the runner's slot of an
//! answer are settled when the answer ends, however it ends.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Body as _, Frame, Incoming};
use tokio::time::{Instant, Sleep};

use super::{
    context::{HostContext, KeyWatch},
    dispatch::RouteSlot,
    reply_body::{FramePoll, FrameSource, ReplyBody},
    runner::RunnerEvent,
    shares::TokenCharge,
    usage::UsageSlot,
};
use crate::{
    request::{Answered, Refusal, RefusalCode, Request, RunResult},
    usage::UsageRecord,
    wire::{answer::EventScanner, engine::UsageCount, link::HttpLink, reply},
};

/// Tokens that a runner may still generate after its answer was aborted.
const CANCEL_SLACK_TOKENS: u64 = 16;

/// What is settled at the end of an answer: the tokens charged, the usage
/// record and the slot on the runner.
pub(crate) struct AnswerSettlement {
    pub(crate) context: HostContext,
    pub(crate) request: Request<Answered>,
    pub(crate) customer: String,
    /// Model and adapter, or service.
    pub(crate) target: String,
    pub(crate) charge: Option<TokenCharge>,
    /// Tokens reserved for output, as part of the tokens charged.
    pub(crate) reserved_output: u64,
    pub(crate) usage: Option<UsageSlot>,
    pub(crate) slot: Option<RouteSlot>,
    pub(crate) sent_at: Instant,
}

impl AnswerSettlement {
    /// Settles a complete answer. If the answer states no usage, all tokens
    /// charged count as used, and no usage is recorded.
    pub(crate) fn settle_complete(&mut self, usage: Option<UsageCount>) {
        let millis = self.sent_at.elapsed().as_millis();
        let millis = u64::try_from(millis).unwrap_or(u64::MAX);
        if let Some(slot) = self.slot.take() {
            slot.finish(match usage {
                Some(usage) => RunResult::Complete {
                    tokens: usage.completion_tokens,
                    millis,
                },
                None => RunResult::Neutral,
            });
        }
        if let Some(charge) = self.charge.take() {
            let used = usage.map_or(charge.reserved(), |usage| usage.total());
            let metrics = &self.context.metrics;
            metrics.count_tokens(&self.customer, "used", used);
            charge.settle(used);
        }
        if let (Some(slot), Some(usage)) = (self.usage.take(), usage) {
            slot.record(UsageRecord {
                request_id: self.request.id().to_string(),
                customer: self.customer.clone(),
                target: self.target.clone(),
                prompt_tokens: usage.prompt_tokens,
                completion_tokens: usage.completion_tokens,
                at: self.context.clock.now(),
            });
        }
        self.log("ok");
    }

    /// Settles an answer with a client error, which counts as a rejection by
    /// the runner. All tokens are refunded.
    pub(crate) fn settle_rejected(&mut self) {
        if let Some(slot) = self.slot.take() {
            slot.finish(RunResult::Neutral);
        }
        if let Some(charge) = self.charge.take() {
            charge.settle(0);
        }
        self.usage = None;
        self.log("refused_by_runner");
    }

    /// Settles an answer that ended early. If the number of output tokens is
    /// known, the tokens charged for the prompt, these output tokens and
    /// `CANCEL_SLACK_TOKENS` count as used, up to the tokens charged.
    /// Otherwise all tokens charged count as used. No usage is recorded.
    pub(crate) fn settle_incomplete(
        &mut self,
        output_tokens: Option<u64>,
        result: RunResult,
        code: &str,
    ) {
        if let Some(slot) = self.slot.take() {
            slot.finish(result);
        }
        if let Some(charge) = self.charge.take() {
            let reserved = charge.reserved();
            let prompt = reserved.saturating_sub(self.reserved_output);
            let used = output_tokens.map_or(reserved, |output_tokens| {
                reserved.min(prompt + output_tokens + CANCEL_SLACK_TOKENS)
            });
            charge.settle(used);
        }
        self.usage = None;
        self.log(code);
    }

    fn log(&self, code: &str) {
        self.context.metrics.count_answer(&self.customer, code);
        tracing::info!(
            event = "request_ended",
            request_id = self.request.id().as_str(),
            customer = self.customer,
            target_name = self.target,
            runner = self.request.runner(),
            code,
            millis = self.sent_at.elapsed().as_millis() as u64,
        );
    }

    fn is_unsettled(&self) -> bool {
        self.slot.is_some() || self.charge.is_some()
    }
}

/// Body of an answer to a caller.
pub(crate) type AnswerBody = ReplyBody<AnswerStream>;

/// A runner's answer that is passed on as its frames arrive.
pub(crate) struct AnswerStream {
    upstream: Incoming,
    link: Option<HttpLink>,
    /// Scanner of a stream of events; the answer of a plain service has none.
    scanner: Option<EventScanner>,
    settlement: AnswerSettlement,
    key_watch: Option<KeyWatch>,
    idle_timeout: Duration,
    /// Time at which the answer has paused for too long, unless a frame
    /// arrives before.
    idle_deadline: Instant,
    /// Timer that wakes up the stream at an idle deadline. It is moved to a
    /// later deadline only when it fires, which happens much more rarely than
    /// a frame arrives.
    idle_timer: Pin<Box<Sleep>>,
    ended: bool,
}

impl AnswerStream {
    pub(crate) fn new(
        upstream: Incoming,
        link: HttpLink,
        scanner: Option<EventScanner>,
        settlement: AnswerSettlement,
        key_watch: Option<&KeyWatch>,
        idle_timeout: Duration,
    ) -> AnswerStream {
        let idle_deadline = Instant::now() + idle_timeout;
        AnswerStream {
            upstream,
            link: Some(link),
            scanner,
            settlement,
            key_watch: key_watch.cloned(),
            idle_timeout,
            idle_deadline,
            idle_timer: Box::pin(tokio::time::sleep_until(idle_deadline)),
            ended: false,
        }
    }

    /// Returns whether the answer has paused for too long.
    fn poll_idle(&mut self, context: &mut Context<'_>) -> bool {
        while self.idle_timer.as_mut().poll(context).is_ready() {
            if self.idle_deadline <= Instant::now() {
                return true;
            }
            self.idle_timer.as_mut().reset(self.idle_deadline);
        }
        false
    }

    /// Finishes an answer that ended by its own framing. A stream of events
    /// that lacks its end marker is aborted.
    fn finish(&mut self) -> FramePoll {
        let complete =
            self.scanner.as_ref().is_none_or(|scanner| scanner.complete);
        if !complete {
            return self.abort(
                RefusalCode::AnswerCut,
                "the answer ended without its end marker",
                RunResult::Failed,
            );
        }
        self.ended = true;
        let usage = self.scanner.as_ref().and_then(|scanner| scanner.usage);
        if let (Some(link), Some(slot)) =
            (self.link.take(), &self.settlement.slot)
        {
            let _ = slot.port.sender.try_send(RunnerEvent::Return(link));
        }
        self.settlement.settle_complete(usage);
        Poll::Ready(None)
    }

    /// Aborts an incomplete answer: a stream of events by an event that
    /// reports the error, any other answer by closing the caller's connection.
    fn abort(
        &mut self,
        code: RefusalCode,
        message: &str,
        result: RunResult,
    ) -> FramePoll {
        self.ended = true;
        self.link = None;
        let output_tokens =
            self.scanner.as_ref().map(|scanner| scanner.tokens);
        self.settlement.settle_incomplete(output_tokens, result, code.text());
        let refusal = self.settlement.request.answer_cut(code, message);
        if self.scanner.is_none() {
            let error = anyhow::anyhow!("{}", refusal.message);
            return Poll::Ready(Some(Err(error)));
        }
        let event = self.error_event(&refusal);
        Poll::Ready(Some(Ok(Frame::data(event))))
    }

    fn error_event(&self, refusal: &Refusal) -> Bytes {
        let body = reply::refusal_body(refusal, self.settlement.request.id());
        Bytes::from(format!("data: {body}\n\n"))
    }
}

impl Drop for AnswerStream {
    fn drop(&mut self) {
        if !self.ended && self.settlement.is_unsettled() {
            let output_tokens =
                self.scanner.as_ref().map(|scanner| scanner.tokens);
            self.settlement.settle_incomplete(
                output_tokens,
                RunResult::Neutral,
                "caller_gone",
            );
        }
    }
}

impl FrameSource for AnswerStream {
    fn poll_next(&mut self, context: &mut Context<'_>) -> FramePoll {
        loop {
            if self.ended {
                return Poll::Ready(None);
            }
            if self.key_watch.as_mut().is_some_and(KeyWatch::newly_withdrawn) {
                let result = RunResult::Neutral;
                return self.abort(
                    RefusalCode::KeyWithdrawn,
                    "the key was withdrawn",
                    result,
                );
            }
            let frame = Pin::new(&mut self.upstream).poll_frame(context);
            let frame = match frame {
                Poll::Pending => {
                    if !self.poll_idle(context) {
                        return Poll::Pending;
                    }
                    return self.abort(
                        RefusalCode::RunnerTimeout,
                        "the answer paused for too long",
                        RunResult::Failed,
                    );
                }
                Poll::Ready(frame) => frame,
            };
            let bytes = match frame {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => bytes,
                    // Trailers aren't passed on.
                    Err(_) => continue,
                },
                Some(Err(error)) => {
                    let message = format!("the answer broke off: {error}");
                    return self.abort(
                        RefusalCode::AnswerCut,
                        &message,
                        RunResult::Failed,
                    );
                }
                None => return self.finish(),
            };
            self.idle_deadline = Instant::now() + self.idle_timeout;
            let Some(scanner) = &mut self.scanner else {
                return Poll::Ready(Some(Ok(Frame::data(bytes))));
            };
            match scanner.push(&bytes) {
                Ok(passed) if passed.is_empty() => {}
                Ok(passed) => {
                    return Poll::Ready(Some(Ok(Frame::data(passed))));
                }
                Err(error) => {
                    let message = error.to_string();
                    return self.abort(
                        RefusalCode::AnswerCut,
                        &message,
                        RunResult::Failed,
                    );
                }
            }
        }
    }

    fn is_ended(&self) -> bool {
        self.ended
    }
}
