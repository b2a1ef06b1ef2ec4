//! Bodies of answers on their way to the caller.
//!
//! A stream passes from the runner's connection to the caller's without a
//! buffer between them, so a slow caller slows its runner and holds no
//! memory. The booking at the runner ends when the answer ends, however it
//! ends; dropped, it closes the runner's connection, which ends the run.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use hyper::body::{Body as _, Frame, Incoming};
use tokio::time::{Instant, Sleep};

use super::{call::CallRecord, desk::RelaySlot};
use crate::{
    port::HttpLink,
    relay::CallEnd,
    tasks::reply_body::{FramePoll, FrameSource, ReplyBody},
};

/// Events of a stream after which its pace so far is told to the desk: a
/// runner that turned slow shows before its streams end.
const PACE_EVENTS: u32 = 12;

/// Time after a call's deadline in which parts of its answer that are there
/// already still go on; the platform allows half a second.
const READY_GRACE: Duration = Duration::from_millis(200);

/// Body of an answer to a caller.
pub(crate) type RelayBody = ReplyBody<RelayStream>;

/// A runner's answer that is passed on as it comes.
pub(crate) struct RelayStream {
    upstream: Incoming,
    link: Option<(HttpLink, Instant)>,
    slot: Option<RelaySlot>,
    record: CallRecord,
    /// Point at which the caller is told that its time is up.
    deadline: Pin<Box<Sleep>>,
    started: Instant,
    /// Point from which the latest events are counted.
    paced_at: Instant,
    frames: u32,
}

impl RelayStream {
    /// Makes the body of an answer whose head has come. `link` is kept with
    /// the point until which it may be used again.
    pub(crate) fn new(
        upstream: Incoming,
        link: (HttpLink, Instant),
        slot: RelaySlot,
        record: CallRecord,
        deadline: Instant,
    ) -> RelayStream {
        RelayStream {
            upstream,
            link: Some(link),
            slot: Some(slot),
            record,
            deadline: Box::pin(tokio::time::sleep_until(deadline)),
            started: Instant::now(),
            paced_at: Instant::now(),
            frames: 0,
        }
    }

    /// Tells the pace of the latest events, each time there are enough.
    fn tell_pace(&mut self) {
        if !self.frames.is_multiple_of(PACE_EVENTS) {
            return;
        }
        let span = self.paced_at.elapsed() / PACE_EVENTS;
        self.paced_at = Instant::now();
        if let Some(slot) = &self.slot {
            slot.paced(micros(span));
        }
    }

    /// The runner's answer ended by its own framing.
    fn end(&mut self) -> FramePoll {
        let latency_us = micros(self.started.elapsed() / self.frames.max(1));
        if let Some(slot) = self.slot.take() {
            slot.finish(CallEnd::Complete { latency_us }, self.link.take());
        }
        self.record.log("ok");
        Poll::Ready(None)
    }

    /// Ends an answer that isn't whole by cutting the caller's connection.
    fn cut(
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
            None => anyhow::anyhow!("the answer's time is up"),
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
                    return self.cut(CallEnd::Neutral, "deadline", None);
                }
            };
            // A body without end may have a frame at each look.
            if self.deadline.deadline() + READY_GRACE <= Instant::now() {
                return self.cut(CallEnd::Neutral, "deadline", None);
            }
            match frame {
                Some(Ok(frame)) => {
                    // Trailers don't go on.
                    let Ok(bytes) = frame.into_data() else { continue };
                    self.frames += 1;
                    self.tell_pace();
                    return Poll::Ready(Some(Ok(Frame::data(bytes))));
                }
                Some(Err(error)) => {
                    let error = Some(error);
                    return self.cut(CallEnd::Broken, "answer_cut", error);
                }
                None => return self.end(),
            }
        }
    }

    fn is_ended(&self) -> bool {
        self.slot.is_none()
    }
}
