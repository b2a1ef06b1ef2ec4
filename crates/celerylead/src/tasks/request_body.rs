//! Reading of the bodies of callers' requests.

use std::{io, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::{Body, Incoming};
use tokio::time::Instant;

use super::{
    connection_place::ConnectionPlace,
    intake::{BodyRoom, IntakePort, Receiving},
};
use crate::{
    intake::{self, BodyProgress},
    request::{Refusal, RefusalCode},
};

/// Time after which a caller may try again whose request found no room: bodies
/// that hold the room without going on give way after one second.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Bounds of a body and what its reading needs.
#[derive(Clone, Copy)]
pub(crate) struct BodyIntake<'a> {
    pub(crate) port: &'a IntakePort,
    /// Place of the connection, if the host bounds their number.
    pub(crate) place: Option<&'a ConnectionPlace>,
    /// Most bytes of the body.
    pub(crate) limit: usize,
    /// Longest pause between two pieces that the configuration allows.
    pub(crate) idle: Duration,
    /// Time by which the body must be complete.
    pub(crate) deadline: Instant,
}

impl BodyIntake<'_> {
    /// Reads a body into one buffer. Room for it is taken before it is read,
    /// and returned when the last reference to the bytes is dropped.
    pub(crate) async fn read(
        &self,
        mut body: Incoming,
    ) -> Result<Bytes, Refusal> {
        let announced = body.size_hint().exact();
        let announced = announced
            .map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
        if announced == Some(0) {
            return Ok(Bytes::new());
        }
        if announced.is_some_and(|bytes| self.limit < bytes) {
            return Err(self.too_large());
        }
        let mut room = self.port.begin();
        let mut progress = BodyProgress::begin(self.idle, self.port.now());
        let mut buffer = Vec::new();
        loop {
            if room.held() == buffer.len() {
                self.take_piece(&mut room, &mut buffer, announced).await?;
            }
            let frame = tokio::select! {
                biased;
                frame = body.frame() => frame,
                () = room.told_to_give_way() => return Err(self.gave_way()),
                () = self.late(&progress) => return Err(self.too_late()),
                () = self.yield_place(&progress) => {
                    return Err(self.gave_place());
                }
            };
            if let Some(place) = self.place {
                place.report_resumed();
            }
            let bytes = match frame {
                None => break,
                Some(Err(error)) => return Err(self.unreadable(error)),
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            if self.limit - buffer.len() < bytes.len() {
                return Err(self.too_large());
            }
            progress.received(bytes.len(), self.idle, self.port.now());
            while room.held() - buffer.len() < bytes.len() {
                self.take_piece(&mut room, &mut buffer, announced).await?;
            }
            buffer.extend_from_slice(&bytes);
        }
        let room = room.complete().await.map_err(|_| self.no_room())?;
        Ok(room.hold(buffer))
    }

    /// Takes room for the next piece and extends the buffer by it.
    async fn take_piece(
        &self,
        room: &mut BodyRoom<Receiving>,
        buffer: &mut Vec<u8>,
        announced: Option<usize>,
    ) -> Result<(), Refusal> {
        let piece = intake::next_piece(room.held(), self.limit, announced);
        if piece == 0 {
            return Ok(());
        }
        room.take(piece).await.map_err(|_| self.no_room())?;
        buffer.reserve_exact(room.held() - buffer.len());
        Ok(())
    }

    /// Waits until the next byte is late.
    async fn late(&self, progress: &BodyProgress) {
        let left = self.port.now().until(progress.deadline());
        let due = self.deadline.min(Instant::now() + left);
        tokio::time::sleep_until(due).await;
    }

    /// Refuses a body that ended before its end, or whose chunks the HTTP
    /// library refuses. A server may limit their extensions (RFC 9112, section
    /// 7.1.1).
    fn unreadable(&self, error: hyper::Error) -> Refusal {
        let error = anyhow::Error::new(error);
        let kind = error
            .chain()
            .find_map(|cause| cause.downcast_ref::<io::Error>())
            .map(io::Error::kind);
        let (cause, what) = match kind {
            Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput) => {
                ("malformed", "the body is malformed")
            }
            _ => ("broken_off", "the body broke off"),
        };
        let message = format!("{what}: {error:#}");
        self.end(cause, RefusalCode::BadRequest, &message)
    }

    /// Waits until the connection must give way to others because the body
    /// doesn't go on.
    async fn yield_place(&self, progress: &BodyProgress) {
        let Some(place) = self.place else {
            return std::future::pending().await;
        };
        let left = self.port.now().until(progress.yields_at());
        tokio::time::sleep(left).await;
        place.yield_stalled().await;
    }

    fn too_large(&self) -> Refusal {
        let message = format!("the body is larger than {} bytes", self.limit);
        self.end("too_large", RefusalCode::BodyTooLarge, &message)
    }

    fn no_room(&self) -> Refusal {
        let message = "there is no memory for the body";
        let refusal = self.end("no_room", RefusalCode::NoBodyRoom, message);
        refusal.retry_at(Some(self.port.now().after(RETRY_AFTER)))
    }

    fn gave_way(&self) -> Refusal {
        let message = "the body was slow and others needed its memory";
        self.end("gave_way", RefusalCode::BodyTimeout, message)
    }

    fn gave_place(&self) -> Refusal {
        let message = "the body was slow and others needed its connection";
        self.end("gave_place", RefusalCode::BodyTimeout, message)
    }

    fn too_late(&self) -> Refusal {
        let message = "the body didn't come in time";
        self.end("late", RefusalCode::BodyTimeout, message)
    }

    /// Counts a body that isn't read to its end and returns its refusal: the
    /// request hasn't been sent to any runner.
    fn end(
        &self,
        cause: &'static str,
        code: RefusalCode,
        message: &str,
    ) -> Refusal {
        self.port.count_end(cause);
        Refusal::not_run(code, message)
    }
}
