//! An HTTP/1.1 client connection that never sends a request again by itself.
//!
//! A pooling client may send a request again if a reused connection turns out
//! to be closed. Whether a request may be sent again depends on its state, so
//! this module uses connections directly, one request at a time.

use std::{fmt, io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::{Body as _, Incoming},
    client::conn::http1,
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    time::Instant,
};

use crate::{
    port::LinkUse,
    request::UnsentProof,
    step::{StepContext as _, StepName},
    wire::silence::{LimitedStream, SHORT_SILENCE, SilenceLimit},
};

/// Idle time after which the kernel sends the first keep-alive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_millis(1_000);
/// Interval between keep-alive probes; whole seconds, the kernel's unit.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Number of unanswered probes after which the connection is dead.
const KEEPALIVE_PROBES: u32 = 2;

/// Pause after a failure to accept a connection. Most likely the process is
/// out of file descriptors, and the next attempt would fail at once too.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Connections that the kernel keeps for a listener until they are accepted.
const BACKLOG: u32 = 1_024;
/// Receive buffer of a connection that isn't accepted yet, in bytes. The kernel
/// would else take 128 KB for each of a crowd that has to wait.
const WAITING_BUFFER_BYTES: u32 = 8 << 10;
/// Receive buffer of a caller's connection, in bytes. The kernel takes as much
/// again for its own records.
const CALLER_BUFFER_BYTES: usize = 64 << 10;

/// Opens a listener for callers.
pub(crate) fn listen(address: &str) -> anyhow::Result<TcpListener> {
    let address = address.parse::<SocketAddr>()?;
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(WAITING_BUFFER_BYTES)?;
    socket.bind(address)?;
    Ok(socket.listen(BACKLOG)?)
}

/// Accepts the next connection. After a failure, logs it, pauses and tries
/// again. Nothing is lost if the future is dropped.
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Sets the options that every connection needs: small writes aren't delayed,
/// and a connection whose peer goes silent without a reset is closed.
pub(crate) fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(SHORT_SILENCE))
}

/// Most bytes that the kernel takes for a caller beyond what it can send. It
/// would else take megabytes for each caller that doesn't read, on the account
/// of the process.
const MAX_UNSENT_BYTES: u32 = 16 << 10;

/// Sets the options of a caller's connection. What the caller doesn't read
/// stays in the process, which bounds it.
pub(crate) fn set_caller_options(stream: &TcpStream) -> io::Result<()> {
    set_socket_options(stream)?;
    let socket = SockRef::from(stream);
    socket.set_recv_buffer_size(CALLER_BUFFER_BYTES)?;
    socket.set_tcp_notsent_lowat(MAX_UNSENT_BYTES)
}

/// Most bytes that a connection buffers: the head of an answer, or what of its
/// body the caller hasn't taken. Hundreds of connections may be full at once.
pub(crate) const READ_BUFFER_BYTES: usize = 32 << 10;

/// Most informational heads (status 1xx) before the head of a response. A
/// server has no use for more than one or two; one that sends them without end
/// would occupy its caller up to the deadline.
const MAX_INFORMATIONAL_HEADS: u32 = 8;

/// Largest body of a request that fits into the window of any server, with its
/// head. A server may read the rest of a larger one late.
const SMALL_BODY_BYTES: u64 = 16 << 10;

/// A server sent too many informational heads instead of a response.
#[derive(Debug)]
pub(crate) struct EndlessInformational;

impl fmt::Display for EndlessInformational {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "more than {MAX_INFORMATIONAL_HEADS} informational heads"
        )
    }
}

impl std::error::Error for EndlessInformational {}

/// An open connection to a server.
#[derive(Debug)]
pub struct HttpLink {
    sender: http1::SendRequest<Full<Bytes>>,
    /// Number of informational heads since the latest request.
    informational: watch::Sender<u32>,
    silence: SilenceLimit,
    peer: String,
    /// Number of requests sent on the connection.
    requests: u32,
}

/// Why no response head was received.
#[derive(Debug)]
pub enum SendFault {
    /// No byte was written.
    Unsent(UnsentProof, anyhow::Error),
    /// Bytes may have been written.
    InDoubt(anyhow::Error),
    /// Bytes may have been written, and no response head came in time.
    TimedOut,
}

impl SendFault {
    /// Returns the error, for callers to which it makes no difference whether
    /// bytes were written.
    pub fn into_error(self) -> anyhow::Error {
        match self {
            SendFault::Unsent(_, error) | SendFault::InDoubt(error) => error,
            SendFault::TimedOut => anyhow::anyhow!("no answer in time"),
        }
    }
}

impl HttpLink {
    /// Connects to `peer` before `deadline`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection doesn't open in time.
    pub async fn open(
        peer: &str,
        deadline: Instant,
    ) -> anyhow::Result<HttpLink> {
        let stream =
            tokio::time::timeout_at(deadline, TcpStream::connect(peer))
                .await
                .at(StepName::Connect, peer)?
                .at(StepName::Connect, peer)?;
        set_socket_options(&stream).at(StepName::Connect, peer)?;
        let silence = SilenceLimit::default();
        let stream = LimitedStream::new(stream, silence.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .at(StepName::Connect, peer)?;
        // The task that drives the connection owns the socket. It ends when
        // the sender is dropped.
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(event = "link_closed", %error);
            }
        });
        Ok(HttpLink {
            sender,
            informational: watch::Sender::new(0),
            silence,
            peer: peer.to_owned(),
            requests: 0,
        })
    }

    /// Returns whether the connection can take a request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the latest request is the first one on the connection.
    pub fn last_use(&self) -> LinkUse {
        if self.requests <= 1 { LinkUse::First } else { LinkUse::Again }
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Returns an error that states whether bytes of the request may have
    /// been written.
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, SendFault> {
        self.informational.send_replace(0);
        let counter = self.informational.clone();
        hyper::ext::on_informational(&mut request, move |_| {
            counter.send_modify(|heads| *heads += 1);
        });
        let mut heads = self.informational.subscribe();
        let endless = heads.wait_for(|heads| MAX_INFORMATIONAL_HEADS < *heads);
        let peer = self.peer.as_str();
        let ready = tokio::time::timeout_at(deadline, self.sender.ready());
        let ready = ready
            .await
            .at(StepName::Send, peer)
            .and_then(|ready| ready.at(StepName::Send, peer));
        if let Err(error) = ready {
            return Err(SendFault::Unsent(UnsentProof(()), error));
        }
        self.requests = self.requests.saturating_add(1);
        match request.body().size_hint().exact() {
            Some(bytes) if bytes <= SMALL_BODY_BYTES => {
                self.silence.set_short();
            }
            _ => self.silence.extend_to(deadline),
        }
        let answer = self.sender.try_send_request(request);
        let answer = tokio::select! {
            biased;
            answer = tokio::time::timeout_at(deadline, answer) => answer,
            Ok(_) = endless => {
                let error = anyhow::Error::new(EndlessInformational);
                return Err(SendFault::InDoubt(error));
            }
        };
        match answer {
            Err(_) => Err(SendFault::TimedOut),
            Ok(Ok(response)) => Ok(response),
            Ok(Err(mut fault)) => {
                // The client returns the request only if the connection never
                // started to write it.
                let unsent = fault.take_message().is_some();
                let error = anyhow::Error::new(fault.into_error());
                let error = error.context(format!(
                    "step={} peer={peer}",
                    StepName::AwaitHead,
                ));
                Err(if unsent {
                    SendFault::Unsent(UnsentProof(()), error)
                } else {
                    SendFault::InDoubt(error)
                })
            }
        }
    }
}
