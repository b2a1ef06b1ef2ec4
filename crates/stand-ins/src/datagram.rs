//! Fault proxy for UDP, for what hosts say to each other.

use std::{net::SocketAddr, sync::Arc};

use tokio::{net::UdpSocket, sync::watch};

/// Handle of a running proxy.
#[derive(Clone)]
pub struct DatagramProxy {
    /// Address it listens at.
    pub address: String,
    cut: watch::Sender<bool>,
}

impl DatagramProxy {
    /// Starts a proxy before the socket at `target`.
    ///
    /// # Errors
    ///
    /// Returns an error where no address can be bound.
    pub fn start(target: &str) -> anyhow::Result<DatagramProxy> {
        let socket = std::net::UdpSocket::bind("127.0.0.1:0")?;
        socket.set_nonblocking(true)?;
        let socket = UdpSocket::from_std(socket)?;
        let address = socket.local_addr()?.to_string();
        let (cut, seen) = watch::channel(false);
        tokio::spawn(run(Arc::new(socket), target.parse()?, seen));
        Ok(DatagramProxy { address, cut })
    }

    /// Drops every datagram from now on, or passes them on again.
    pub fn set_cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

/// Passes datagrams on, from each client by a socket of its own.
async fn run(
    socket: Arc<UdpSocket>,
    target: SocketAddr,
    cut: watch::Receiver<bool>,
) {
    let mut clients: Vec<(SocketAddr, Arc<UdpSocket>)> = Vec::new();
    let mut buffer = vec![0; 64 << 10];
    while let Ok((read, client)) = socket.recv_from(&mut buffer).await {
        if *cut.borrow() {
            continue;
        }
        let known = clients.iter().find(|(held, _)| *held == client);
        let server = match known {
            Some((_, server)) => server.clone(),
            None => {
                let Ok(server) = UdpSocket::bind("127.0.0.1:0").await else {
                    continue;
                };
                let server = Arc::new(server);
                clients.push((client, server.clone()));
                let back = socket.clone();
                tokio::spawn(answer(
                    server.clone(),
                    back,
                    client,
                    cut.clone(),
                ));
                server
            }
        };
        let _ = server.send_to(&buffer[..read], target).await;
    }
}

async fn answer(
    server: Arc<UdpSocket>,
    back: Arc<UdpSocket>,
    client: SocketAddr,
    cut: watch::Receiver<bool>,
) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok((read, _)) = server.recv_from(&mut buffer).await {
        if !*cut.borrow() {
            let _ = back.send_to(&buffer[..read], client).await;
        }
    }
}
