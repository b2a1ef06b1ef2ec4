//! One HTTP/1.1 connection to a server, without any retry of its own.
//!
//! A pooled client may send a request again when a reused connection turns
//! out to be closed. Whether that is allowed is for the request's state to
//! say, so connections are used directly, one request at a time.

use std::{io, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, time::Instant};

use crate::{
    request::UnsentProof,
    step::{StepContext as _, StepName},
};

/// Silence after which the kernel asks whether the peer is there.
const KEEPALIVE_IDLE: Duration = Duration::from_millis(1_000);
/// Time between two such questions; whole seconds, the kernel's unit.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Questions without an answer after which a connection is dead.
const KEEPALIVE_PROBES: u32 = 2;
/// Time for which written bytes may stay without an answer of the kernel at
/// the other end.
const USER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Sets the options that every connection needs: no delay of small writes,
/// and an end to connections that went silent without a reset.
pub(crate) fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// An open connection to a server.
#[derive(Debug)]
pub struct HttpLink {
    sender: http1::SendRequest<Full<Bytes>>,
    peer: String,
}

/// Why no head of an answer came.
#[derive(Debug)]
pub enum SendFault {
    /// Not a byte was written.
    Unsent(UnsentProof, anyhow::Error),
    /// Bytes may have been written.
    InDoubt(anyhow::Error),
    /// Bytes may have been written, and no head came in time.
    TimedOut,
}

impl SendFault {
    /// Returns the error, where it doesn't matter whether bytes were
    /// written.
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
    /// Returns an error where the connection doesn't open in time.
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
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .at(StepName::Connect, peer)?;
        // The connection's task owns the socket and ends with the sender.
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(event = "link_closed", %error);
            }
        });
        Ok(HttpLink { sender, peer: peer.to_owned() })
    }

    /// Tells whether the connection can take a request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns whether bytes of the request may have been written.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, SendFault> {
        let peer = self.peer.as_str();
        let ready = tokio::time::timeout_at(deadline, self.sender.ready());
        let ready = ready
            .await
            .at(StepName::Send, peer)
            .and_then(|ready| ready.at(StepName::Send, peer));
        if let Err(error) = ready {
            return Err(SendFault::Unsent(UnsentProof(()), error));
        }
        let answer = self.sender.try_send_request(request);
        match tokio::time::timeout_at(deadline, answer).await {
            Err(_) => Err(SendFault::TimedOut),
            Ok(Ok(response)) => Ok(response),
            Ok(Err(mut fault)) => {
                // The client hands the request back only where it was never
                // taken up by the connection.
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
