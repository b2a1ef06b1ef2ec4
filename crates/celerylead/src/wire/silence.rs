//! Limit on the silence of a peer while bytes for it wait.
//!
//! `TCP_USER_TIMEOUT` ends a connection whose peer has vanished. The kernel also
//! applies it to a peer that answers every probe but has too small a window for
//! the next segment, such as one that reads slowly, or later. The limit is
//! therefore short only for messages that fit into any window; for others it is
//! as long as the call may last.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::Instant,
};

/// Limit for messages that fit into the window of any peer.
pub(crate) const SHORT_SILENCE: Duration = Duration::from_millis(3_000);
/// Time beyond the deadline of a call for which the last bytes of a message are
/// still delivered.
const DELIVERY_MARGIN: Duration = Duration::from_millis(1_000);

/// The limit of one connection, set by the task that uses the connection and
/// applied by the one that owns its socket.
#[derive(Clone, Debug)]
pub(crate) struct SilenceLimit(Arc<AtomicU32>);

impl Default for SilenceLimit {
    fn default() -> SilenceLimit {
        SilenceLimit(Arc::new(AtomicU32::new(millis(SHORT_SILENCE))))
    }
}

impl SilenceLimit {
    /// Applies to the next bytes of a message that fits into any window.
    pub(crate) fn set_short(&self) {
        self.0.store(millis(SHORT_SILENCE), Ordering::Relaxed);
    }

    /// Applies to the next bytes of a message that the peer may read until this
    /// time.
    pub(crate) fn extend_to(&self, deadline: Instant) {
        let left = deadline.saturating_duration_since(Instant::now());
        // Whole seconds, so that most calls of a connection need no new option.
        let limit = Duration::from_secs(left.as_secs() + 1) + DELIVERY_MARGIN;
        self.0.store(millis(SHORT_SILENCE.max(limit)), Ordering::Relaxed);
    }
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

/// A connection whose kernel option follows a [`SilenceLimit`].
#[derive(Debug)]
pub(crate) struct LimitedStream {
    stream: TcpStream,
    limit: SilenceLimit,
    /// The limit that the kernel has, in milliseconds.
    applied_ms: u32,
}

impl LimitedStream {
    /// Wraps a stream that has [`SHORT_SILENCE`] as its kernel option.
    pub(crate) fn new(
        stream: TcpStream,
        limit: SilenceLimit,
    ) -> LimitedStream {
        let applied_ms = millis(SHORT_SILENCE);
        LimitedStream { stream, limit, applied_ms }
    }

    fn apply_limit(&mut self) {
        let limit_ms = self.limit.0.load(Ordering::Relaxed);
        if limit_ms == self.applied_ms {
            return;
        }
        self.applied_ms = limit_ms;
        let limit = Duration::from_millis(u64::from(limit_ms));
        let socket = SockRef::from(&self.stream);
        if let Err(error) = socket.set_tcp_user_timeout(Some(limit)) {
            // The socket keeps its former limit.
            tracing::debug!(event = "silence_limit_failed", %error);
        }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.apply_limit();
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.apply_limit();
        Pin::new(&mut self.stream).poll_write_vectored(context, pieces)
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
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
