//! Socket of a caller.
//!
//! A host that refuses a request before it has read the body closes the
//! connection. If it closed at once, bytes that still arrive would make the
//! kernel reset the connection, and the caller might lose the answer. So the
//! socket goes on reading for a moment and discards what comes.
//!
//! A caller may read its answer as slowly as its call may last. If its connection
//! is told to give way to others, and the caller takes nothing, it is closed.

use std::{
    future::Future as _,
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep},
};

use crate::{
    tasks::connection_place::ConnectionPlace,
    wire::silence::{LimitedStream, SHORT_SILENCE, SilenceLimit},
};

/// Longest time for which a closing socket discards what arrives.
const LINGER_TIME: Duration = Duration::from_millis(1_000);
/// Most bytes that a closing socket discards.
const LINGER_BYTES: usize = 256 << 10;
/// Bytes discarded at once.
const LINGER_PIECE_BYTES: usize = 4 << 10;
/// Time between two checks whether a stalled connection was told to give way.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// What the service of a connection tells its socket and its task.
#[derive(Debug, Default)]
pub(super) struct ConnectionFlags {
    /// A request was read on the connection.
    pub(super) served: AtomicBool,
    /// A request was answered whose body wasn't read to its end.
    pub(super) unread: AtomicBool,
    /// The caller has taken nothing of an answer for [`SHORT_SILENCE`].
    pub(super) untaken: AtomicBool,
    /// A request was read whose answer hasn't ended.
    pub(super) busy: AtomicBool,
    /// The body of the latest request was read to its end.
    pub(super) body_read: AtomicBool,
    /// Bytes wait because the caller doesn't read, or the socket is closing.
    pub(super) writing: AtomicBool,
    /// For how long the caller may leave an answer unread.
    pub(super) silence: SilenceLimit,
}

impl ConnectionFlags {
    /// Returns whether no request and no answer is on the connection.
    pub(super) fn is_between_requests(&self) -> bool {
        !self.busy.load(Ordering::Relaxed)
            && !self.writing.load(Ordering::Relaxed)
    }
}

/// Socket of a caller, which closes in bounded time.
pub(super) struct CallerSocket {
    stream: LimitedStream,
    flags: Arc<ConnectionFlags>,
    place: Arc<ConnectionPlace>,
    /// Bytes that were read before and are read again.
    put_back: Bytes,
    stall: Option<Stall>,
    closing: Option<Closing>,
}

/// A write that waits because the caller doesn't read.
struct Stall {
    since: Instant,
    next_check: Pin<Box<Sleep>>,
}

/// A socket whose writing side is shut down.
struct Closing {
    until: Pin<Box<Sleep>>,
    discarded: usize,
}

impl CallerSocket {
    pub(super) fn new(
        stream: TcpStream,
        flags: Arc<ConnectionFlags>,
        place: Arc<ConnectionPlace>,
    ) -> CallerSocket {
        let stream = LimitedStream::new(stream, flags.silence.clone());
        let put_back = Bytes::new();
        CallerSocket {
            stream,
            flags,
            place,
            put_back,
            stall: None,
            closing: None,
        }
    }

    /// Takes bytes back that were read last, to be read again first.
    pub(super) fn put_back(&mut self, bytes: Bytes) {
        self.put_back = match self.put_back.is_empty() {
            true => bytes,
            false => [bytes, self.put_back.clone()].concat().into(),
        };
    }

    /// Passes the result of a write on. A write that waits fails if the
    /// connection is to give way and the caller has taken nothing for
    /// [`SHORT_SILENCE`].
    fn check_stall(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        self.flags.writing.store(written.is_pending(), Ordering::Relaxed);
        if written.is_ready() {
            if self.stall.take().is_some()
                && self.flags.untaken.swap(false, Ordering::Relaxed)
            {
                self.place.report_resumed();
            }
            return written;
        }
        let stall = self.stall.get_or_insert_with(|| Stall {
            since: Instant::now(),
            next_check: Box::pin(tokio::time::sleep(STALL_CHECK_INTERVAL)),
        });
        while stall.next_check.as_mut().poll(context).is_ready() {
            if SHORT_SILENCE <= stall.since.elapsed() {
                self.flags.untaken.store(true, Ordering::Relaxed);
                self.place.report_stalled();
            }
            if self.place.gives_way() && SHORT_SILENCE <= stall.since.elapsed()
            {
                let reason = "the caller takes nothing";
                return Poll::Ready(Err(io::Error::new(
                    io::ErrorKind::TimedOut,
                    reason,
                )));
            }
            let next = Instant::now() + STALL_CHECK_INTERVAL;
            stall.next_check.as_mut().reset(next);
        }
        Poll::Pending
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.put_back.is_empty() {
            let length = self.put_back.len().min(buffer.remaining());
            buffer.put_slice(&self.put_back.split_to(length));
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.check_stall(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written =
            Pin::new(&mut self.stream).poll_write_vectored(context, pieces);
        self.check_stall(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        this.flags.writing.store(true, Ordering::Relaxed);
        let closing = match &mut this.closing {
            Some(closing) => closing,
            none => {
                ready!(Pin::new(&mut this.stream).poll_shutdown(context))?;
                if !this.flags.unread.load(Ordering::Relaxed) {
                    return Poll::Ready(Ok(()));
                }
                let until = Box::pin(tokio::time::sleep(LINGER_TIME));
                none.insert(Closing { until, discarded: 0 })
            }
        };
        while closing.discarded < LINGER_BYTES {
            let mut piece = [0; LINGER_PIECE_BYTES];
            let mut buffer = ReadBuf::new(&mut piece);
            let read =
                Pin::new(&mut this.stream).poll_read(context, &mut buffer);
            match read {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    closing.discarded += buffer.filled().len();
                }
                // The caller has closed or is gone.
                Poll::Ready(_) => return Poll::Ready(Ok(())),
                // Nothing is expected of a caller that has stopped.
                Poll::Pending
                    if this.place.gives_way() && this.place.is_stalled() =>
                {
                    return Poll::Ready(Ok(()));
                }
                Poll::Pending => {
                    ready!(closing.until.as_mut().poll(context));
                    return Poll::Ready(Ok(()));
                }
            }
        }
        Poll::Ready(Ok(()))
    }
}
