//! Fault proxy for TCP: delay, cut, freeze, cut after some bytes.

use std::time::Duration;

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

/// What the proxy does to its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProxyFault {
    /// Passes bytes on.
    #[default]
    None,
    /// Passes bytes on after a delay.
    Delay(Duration),
    /// Closes every connection and accepts none.
    Cut,
    /// Keeps connections open and passes nothing on.
    Freeze,
    /// Passes nothing on from the server; the client's bytes go through.
    HalfOpen,
    /// Closes a connection once the client has sent so many bytes.
    CutAfterSent(usize),
    /// Closes a connection once the server has sent so many bytes.
    CutAfterReceived(usize),
}

/// Handle of a running proxy.
#[derive(Clone)]
pub struct FaultProxy {
    /// Address it listens at.
    pub address: String,
    fault: watch::Sender<ProxyFault>,
}

/// Which way a pump moves bytes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

impl FaultProxy {
    /// Starts a proxy before the server at `target`.
    ///
    /// # Errors
    ///
    /// Returns an error where no address can be bound.
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

    /// Sets what the proxy does from now on, to open connections too.
    pub fn set_fault(&self, fault: ProxyFault) {
        self.fault.send_replace(fault);
    }
}

/// Accepts connections; while the proxy cuts, its address is closed.
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

/// Waits until the proxy cuts its connections.
async fn wait_for_cut(mut fault: watch::Receiver<ProxyFault>) {
    let _ = fault.wait_for(|fault| *fault == ProxyFault::Cut).await;
}

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
