//! Fault proxy for TCP, which delays, cuts, freezes or truncates connections.

use std::time::Duration;

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

/// Fault that the proxy injects into its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProxyFault {
    /// Forwards bytes unchanged.
    #[default]
    None,
    /// Waits this long before it forwards what it has read.
    Delay(Duration),
    /// Closes every connection and accepts none.
    Cut,
    /// Keeps connections open and forwards nothing in either direction.
    Freeze,
    /// Forwards the client's bytes, but none of the server's.
    HalfOpen,
    /// Closes a connection's direction to the server once this many of the
    /// client's bytes have been forwarded.
    CutAfterSent(usize),
    /// Closes a connection's direction to the client once this many of the
    /// server's bytes have been forwarded.
    CutAfterReceived(usize),
}

/// Handle to a running TCP proxy, which ends once its last handle has been
/// dropped.
#[derive(Clone)]
pub struct FaultProxy {
    /// Address that it listens on, as `IP:PORT`.
    pub address: String,
    fault: watch::Sender<ProxyFault>,
}

/// Direction in which bytes are forwarded.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

impl FaultProxy {
    /// Starts a proxy on a free port of the loopback address, in front of the
    /// server at `target`, an `IP:PORT`.
    ///
    /// # Errors
    ///
    /// Returns an error if no address can be bound.
    pub async fn start(target: &str) -> anyhow::Result<FaultProxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        let (fault, fault_receiver) = watch::channel(ProxyFault::None);
        tokio::spawn(accept_connections(
            listener,
            target.to_owned(),
            fault_receiver,
        ));
        Ok(FaultProxy { address, fault })
    }

    /// Sets the fault from now on, for open connections too.
    pub fn set_fault(&self, fault: ProxyFault) {
        self.fault.send_replace(fault);
    }
}

/// Accepts connections. During [`ProxyFault::Cut`] the listener is closed, so
/// that new connections are refused.
async fn accept_connections(
    mut listener: TcpListener,
    target: String,
    mut fault: watch::Receiver<ProxyFault>,
) -> anyhow::Result<()> {
    let address = listener.local_addr()?;
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let (client, _) = accepted?;
                tokio::spawn(forward_connection(
                    client,
                    target.clone(),
                    fault.clone(),
                ));
            }
            () = wait_for_cut(fault.clone()) => {
                drop(listener);
                fault.wait_for(|fault| *fault != ProxyFault::Cut).await?;
                listener = TcpListener::bind(address).await?;
            }
        }
    }
}

/// Connects to the target and forwards both directions until both have ended,
/// the fault becomes [`ProxyFault::Cut`] or the proxy ends.
async fn forward_connection(
    client: TcpStream,
    target: String,
    fault: watch::Receiver<ProxyFault>,
) {
    let Ok(server) = TcpStream::connect(&target).await else { return };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let to_server = forward_bytes(
        client_read,
        server_write,
        Direction::ToServer,
        fault.clone(),
    );
    let to_client = forward_bytes(
        server_read,
        client_write,
        Direction::ToClient,
        fault.clone(),
    );
    tokio::select! {
        () = async { tokio::join!(to_server, to_client); } => {}
        () = wait_for_cut(fault) => {}
    }
}

/// Waits until the fault is [`ProxyFault::Cut`] or the proxy's last handle has
/// been dropped.
async fn wait_for_cut(mut fault: watch::Receiver<ProxyFault>) {
    let _ = fault.wait_for(|fault| *fault == ProxyFault::Cut).await;
}

/// Forwards the bytes of one direction, as the fault allows, until that
/// direction ends.
async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    mut fault: watch::Receiver<ProxyFault>,
) {
    let mut buffer = vec![0; 16 << 10];
    let mut forwarded = 0;
    loop {
        let Ok(read) = from.read(&mut buffer).await else { return };
        if read == 0 {
            return;
        }
        let blocked = move |fault: &ProxyFault| match fault {
            ProxyFault::Freeze => true,
            ProxyFault::HalfOpen => direction == Direction::ToClient,
            _ => false,
        };
        if fault.wait_for(|fault| !blocked(fault)).await.is_err() {
            return;
        }
        let current = *fault.borrow();
        if let ProxyFault::Delay(delay) = current {
            tokio::time::sleep(delay).await;
        }
        let limit = match (current, direction) {
            (ProxyFault::CutAfterSent(limit), Direction::ToServer)
            | (ProxyFault::CutAfterReceived(limit), Direction::ToClient) => {
                limit
            }
            _ => usize::MAX,
        };
        let allowed = read.min(limit.saturating_sub(forwarded));
        if to.write_all(&buffer[..allowed]).await.is_err() {
            return;
        }
        forwarded += allowed;
        if limit <= forwarded {
            return;
        }
    }
}
