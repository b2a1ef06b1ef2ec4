//! Fault proxy for UDP, which carries the messages between hosts.

use std::{net::SocketAddr, sync::Arc};

use tokio::{net::UdpSocket, sync::watch};

/// Handle to a running UDP proxy.
#[derive(Clone)]
pub struct DatagramProxy {
    /// Address that it listens on, as `IP:PORT`.
    pub address: String,
    cut: watch::Sender<bool>,
}

impl DatagramProxy {
    /// Starts a proxy on a free port of the loopback address, in front of the
    /// socket at `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if no address can be bound or `target` isn't a socket
    /// address.
    pub fn start(target: &str) -> anyhow::Result<DatagramProxy> {
        let socket = std::net::UdpSocket::bind("127.0.0.1:0")?;
        socket.set_nonblocking(true)?;
        let socket = UdpSocket::from_std(socket)?;
        let address = socket.local_addr()?.to_string();
        let (cut, cut_receiver) = watch::channel(false);
        tokio::spawn(forward_datagrams(
            Arc::new(socket),
            target.parse()?,
            cut_receiver,
        ));
        Ok(DatagramProxy { address, cut })
    }

    /// Sets whether the proxy drops every datagram, in both directions, or
    /// forwards them.
    pub fn set_cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

/// Forwards datagrams to the target, each client's from a separate socket, so
/// that replies can be matched to their client.
async fn forward_datagrams(
    socket: Arc<UdpSocket>,
    target: SocketAddr,
    cut: watch::Receiver<bool>,
) {
    let mut clients: Vec<(SocketAddr, Arc<UdpSocket>)> = Vec::new();
    let mut buffer = vec![0; 64 << 10];
    while let Ok((length, client)) = socket.recv_from(&mut buffer).await {
        if *cut.borrow() {
            continue;
        }
        let known = clients.iter().find(|(address, _)| *address == client);
        let server_socket = match known {
            Some((_, server_socket)) => server_socket.clone(),
            None => {
                let Ok(server_socket) = UdpSocket::bind("127.0.0.1:0").await
                else {
                    continue;
                };
                let server_socket = Arc::new(server_socket);
                clients.push((client, server_socket.clone()));
                let client_socket = socket.clone();
                tokio::spawn(forward_replies(
                    server_socket.clone(),
                    client_socket,
                    client,
                    cut.clone(),
                ));
                server_socket
            }
        };
        let _ = server_socket.send_to(&buffer[..length], target).await;
    }
}

/// Forwards the target's replies to one client.
async fn forward_replies(
    server_socket: Arc<UdpSocket>,
    client_socket: Arc<UdpSocket>,
    client: SocketAddr,
    cut: watch::Receiver<bool>,
) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok((length, _)) = server_socket.recv_from(&mut buffer).await {
        if !*cut.borrow() {
            let _ = client_socket.send_to(&buffer[..length], client).await;
        }
    }
}
