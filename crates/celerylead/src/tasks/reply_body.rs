//! Bodies of answers to callers, either buffered or streamed.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

/// Result of polling for the next frame of an answer; `None` at its end.
pub(crate) type FramePoll = Poll<Option<Result<Frame<Bytes>, anyhow::Error>>>;

/// Source of the frames of a streamed answer.
pub(crate) trait FrameSource {
    /// Polls for the next frame.
    fn poll_next(&mut self, context: &mut Context<'_>) -> FramePoll;

    /// Returns whether no frame follows.
    fn is_ended(&self) -> bool;
}

/// Body of an answer to a caller.
pub(crate) enum ReplyBody<S> {
    /// A buffered body.
    Full(Full<Bytes>),
    /// A body that is passed on as its frames arrive.
    Stream(Box<S>),
}

impl<S: FrameSource + Unpin> Body for ReplyBody<S> {
    type Data = Bytes;
    type Error = anyhow::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> FramePoll {
        match self.get_mut() {
            ReplyBody::Full(body) => Pin::new(body)
                .poll_frame(context)
                .map_err(|never| match never {}),
            ReplyBody::Stream(stream) => stream.poll_next(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ReplyBody::Full(body) => body.is_end_stream(),
            ReplyBody::Stream(stream) => stream.is_ended(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ReplyBody::Full(body) => body.size_hint(),
            ReplyBody::Stream(_) => SizeHint::default(),
        }
    }
}
