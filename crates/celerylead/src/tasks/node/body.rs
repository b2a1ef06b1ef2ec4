//! Bodies of answers that are relayed to callers.
//!
//! A stream passes from the runner's connection to the caller's without a
//! buffer between them, so a slow caller slows its runner down and takes no
//! memory. The call counts as in flight at the runner until its answer ends,
//! however it ends. Dropping the body closes the runner's connection, which
//! cancels the run.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use hyper::{
    body::{Body as _, Frame, Incoming},
    http::response,
};
use tokio::time::{Instant, Sleep};

use super::{call::CallRecord, router_port::RelaySlot};
use crate::{
    port::{HttpLink, LinkReuse},
    relay::CallEnd,
    tasks::reply_body::{FramePoll, FrameSource, ReplyBody},
    wire::answer::EventBoundary,
};

/// Number of events of a stream after which its latest pace is reported to
/// the router, so that a runner that becomes slow is noticed before its
/// streams end.
const PACE_REPORT_EVENTS: u32 = 12;

/// Time after a call's deadline during which frames of its answer that are
/// already available are still passed on; the platform allows half a second.
const READY_FRAME_GRACE: Duration = Duration::from_millis(200);

/// Body of an answer to a caller, either buffered or streamed.
pub(crate) type RelayBody = ReplyBody<RelayStream>;

/// Body of a runner's answer that is passed on frame by frame.
pub(crate) struct RelayStream {
    upstream: Incoming,
    link: Option<(HttpLink, LinkReuse)>,
    slot: Option<RelaySlot>,
    record: CallRecord,
    /// Whether the answer may end where it is; `None` if it isn't a stream of
    /// events.
    boundary: Option<EventBoundary>,
    /// Time from which no further frames are awaited: the call's deadline.
    deadline: Pin<Box<Sleep>>,
    started: Instant,
    /// Start of the measurement of the latest events' pace.
    pace_since: Instant,
}

impl RelayStream {
    /// Returns the body of an answer whose head has been received. `link` is
    /// the runner's connection, with what the runner announced about its
    /// further use.
    pub(crate) fn new(
        head: &response::Parts,
        upstream: Incoming,
        link: (HttpLink, LinkReuse),
        slot: RelaySlot,
        record: CallRecord,
        deadline: Instant,
    ) -> RelayStream {
        RelayStream {
            upstream,
            link: Some(link),
            slot: Some(slot),
            record,
            boundary: EventBoundary::of_answer(head),
            deadline: Box::pin(tokio::time::sleep_until(deadline)),
            started: Instant::now(),
            pace_since: Instant::now(),
        }
    }

    /// Reports the pace of the latest events once there are enough of them.
    fn report_pace(&mut self) {
        if !self.record.frames.is_multiple_of(PACE_REPORT_EVENTS) {
            return;
        }
        let span = self.pace_since.elapsed() / PACE_REPORT_EVENTS;
        self.pace_since = Instant::now();
        if let Some(slot) = &self.slot {
            slot.report_pace(micros(span));
        }
    }

    /// Finishes an answer that ended by its framing or with its connection. A
    /// stream that ended inside an event is aborted.
    fn finish(&mut self) -> FramePoll {
        let boundary = self.boundary.as_ref();
        if boundary.is_some_and(|boundary| !boundary.may_end()) {
            return self.abort(CallEnd::Cut, "answer_cut", None);
        }
        let latency_us =
            micros(self.started.elapsed() / self.record.frames.max(1));
        if let Some(slot) = self.slot.take() {
            slot.finish(CallEnd::Complete { latency_us }, self.link.take());
        }
        self.record.log("ok");
        Poll::Ready(None)
    }

    /// Aborts an incomplete answer by closing the caller's connection.
    fn abort(
        &mut self,
        end: CallEnd,
        code: &str,
        error: Option<hyper::Error>,
    ) -> FramePoll {
        self.link = None;
        if let Some(slot) = self.slot.take() {
            slot.finish(end, None);
        }
        self.record.log(code);
        let error = match error {
            Some(error) => anyhow::Error::new(error),
            None => anyhow::anyhow!("the answer isn't complete: {code}"),
        };
        Poll::Ready(Some(Err(error)))
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

impl Drop for RelayStream {
    fn drop(&mut self) {
        if self.slot.is_some() {
            self.record.log("caller_gone");
        }
    }
}

impl FrameSource for RelayStream {
    fn poll_next(&mut self, context: &mut Context<'_>) -> FramePoll {
        loop {
            if self.slot.is_none() {
                return Poll::Ready(None);
            }
            let frame = Pin::new(&mut self.upstream).poll_frame(context);
            let frame = match frame {
                Poll::Ready(frame) => frame,
                Poll::Pending => {
                    if self.deadline.as_mut().poll(context).is_pending() {
                        return Poll::Pending;
                    }
                    return self.abort(CallEnd::Neutral, "deadline", None);
                }
            };
            // An endless body may have a frame ready at every poll, so the
            // deadline is also checked here.
            if self.deadline.deadline() + READY_FRAME_GRACE <= Instant::now() {
                return self.abort(CallEnd::Neutral, "deadline", None);
            }
            match frame {
                Some(Ok(frame)) => {
                    // Trailers aren't passed on.
                    let Ok(bytes) = frame.into_data() else { continue };
                    self.record.frames += 1;
                    if let Some(boundary) = &mut self.boundary {
                        boundary.push(&bytes);
                    }
                    if let Some(slot) = &mut self.slot {
                        slot.note_frame();
                    }
                    self.report_pace();
                    return Poll::Ready(Some(Ok(Frame::data(bytes))));
                }
                Some(Err(error)) => {
                    let error = Some(error);
                    return self.abort(CallEnd::Cut, "answer_cut", error);
                }
                None => return self.finish(),
            }
        }
    }

    fn is_ended(&self) -> bool {
        self.slot.is_none()
    }
}
