//! Socket of a caller.
//!
//! A host that refuses a request before it has read the body closes the
//! connection. If it closed at once, bytes that still arrive would make the
//! kernel reset the connection, and the caller might lose the answer. So the
//! socket goes on reading for a moment and discards what comes.

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

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::Sleep,
};

/// Longest time for which a closing socket discards what arrives.
const LINGER_TIME: Duration = Duration::from_millis(1_000);
/// Most bytes that a closing socket discards.
const LINGER_BYTES: usize = 256 << 10;
/// Bytes discarded at once.
const LINGER_PIECE_BYTES: usize = 4 << 10;

/// What the service of a connection tells its socket and its task.
#[derive(Debug, Default)]
pub(super) struct ConnectionFlags {
    /// A request was read on the connection.
    pub(super) served: AtomicBool,
    /// A request was answered whose body wasn't read to its end.
    pub(super) unread: AtomicBool,
}

/// Socket of a caller, which closes in bounded time.
pub(super) struct CallerSocket {
    stream: TcpStream,
    flags: Arc<ConnectionFlags>,
    closing: Option<Closing>,
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
    ) -> CallerSocket {
        CallerSocket { stream, flags, closing: None }
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
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
        let this = &mut *self;
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
                Poll::Pending => {
                    ready!(closing.until.as_mut().poll(context));
                    return Poll::Ready(Ok(()));
                }
            }
        }
        Poll::Ready(Ok(()))
    }
}
