//! The task that owns the socket for other hosts, and one task for each
//! connection.

use std::time::Duration;

use anyhow::Context as _;
use quinn::{Connection, Endpoint, Incoming, RecvStream, SendStream};
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::JoinSet,
    time::Instant,
};

use super::{
    MAILBOX_CAPACITY,
    member::MemberEvent,
    shares::{GrantReply, ShareEvent},
    usage::CopyEvent,
};
use crate::{
    customer::{HolderAddress, HolderPart, PartTokens, TakenTokens},
    settings::SettingsView,
    sorted::SortedTable,
    step::{StepContext as _, StepName},
    wire::peer::{
        MAX_PEER_BYTES, PEER_NAME, PeerRequest, PeerResponse, PeerSettings,
    },
};

/// Longest wait for an answer from another host.
const PEER_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which a host that didn't answer gets no requests.
const SUSPECT_TIME: Duration = Duration::from_millis(1_000);
/// Capacity of the mailbox of a connection's task, in requests to its host.
const LINK_MAILBOX_CAPACITY: usize = 1_024;

/// Message to the task, and from it to a connection's task: a request to
/// another host. `reply` is `None` if the answer doesn't matter.
struct PeerEvent {
    address: String,
    request: PeerRequest,
    reply: Option<oneshot::Sender<PeerResponse>>,
}

/// Handle to the task.
#[derive(Clone)]
pub(crate) struct PeerPort {
    sender: mpsc::Sender<PeerEvent>,
}

impl PeerPort {
    /// Sends a request to another host and returns its answer, or `None` if no
    /// answer came in time.
    pub(crate) async fn ask(
        &self,
        address: &str,
        request: &PeerRequest,
    ) -> Option<PeerResponse> {
        let (reply, answer) = oneshot::channel();
        let event = PeerEvent {
            address: address.to_owned(),
            request: request.clone(),
            reply: Some(reply),
        };
        self.sender.send(event).await.ok()?;
        tokio::time::timeout(PEER_TIMEOUT, answer).await.ok()?.ok()
    }

    /// Settles a grant with the holder of the part: `ended` tokens are spent
    /// or won't be spent any more, and `spare` tokens weren't needed. If the
    /// message is lost, all tokens stay spent, and the holder keeps their
    /// capacity reserved until the grant expires.
    pub(crate) fn settle_grant(
        &self,
        part: &HolderPart,
        customer: &str,
        ended: u64,
        spare: u64,
    ) {
        let request = PeerRequest::SettleGrant {
            customer: customer.to_owned(),
            kind: part.kind,
            ended,
            spare,
        };
        self.notify(&part.address, request);
    }

    /// Informs the host that keeps a copy of a usage batch that the batch is
    /// in the store. If the message is lost, that host writes the batch again
    /// under the same name.
    pub(crate) fn confirm_usage(&self, address: &str, name: &str) {
        let request = PeerRequest::ConfirmUsage { name: name.to_owned() };
        self.notify(address, request);
    }

    /// Sends a message that may get lost and whose answer doesn't matter.
    fn notify(&self, address: &str, request: PeerRequest) {
        let event =
            PeerEvent { address: address.to_owned(), request, reply: None };
        let _ = self.sender.try_send(event);
    }
}

/// What other holders granted for a request.
#[derive(Default)]
pub(crate) struct GrantedTokens {
    pub(crate) taken: TakenTokens,
    /// Whether a holder has handed its parts over to others.
    pub(crate) handed_over: bool,
}

/// Requests tokens from other holders in the given order, nearest first, until
/// the tokens suffice. A holder that doesn't answer grants none.
pub(crate) async fn request_grants(
    peers: &PeerPort,
    customer: &str,
    tokens: u64,
    holders: &[HolderAddress],
) -> GrantedTokens {
    let mut granted = GrantedTokens::default();
    for HolderAddress { address, .. } in holders {
        let missing = tokens.saturating_sub(granted.taken.total());
        if missing == 0 {
            break;
        }
        let customer = customer.to_owned();
        let request = PeerRequest::Grant { customer, tokens: missing };
        match peers.ask(address, &request).await {
            Some(PeerResponse::Granted(tokens)) => {
                granted.taken.insert_granted(address, tokens);
            }
            Some(PeerResponse::HandedOver) => granted.handed_over = true,
            _ => {}
        }
    }
    granted
}

/// Handles to the tasks and settings from which requests of other hosts are
/// answered.
#[derive(Clone)]
pub(crate) struct PeerSources {
    pub(crate) shares: mpsc::Sender<ShareEvent>,
    pub(crate) settings: watch::Receiver<SettingsView>,
    pub(crate) usage: mpsc::Sender<CopyEvent>,
    pub(crate) member: mpsc::Sender<MemberEvent>,
}

/// State of the task.
struct PeerTask {
    endpoint: Endpoint,
    sources: PeerSources,
    links: SortedTable<String, mpsc::Sender<PeerEvent>>,
    connections: JoinSet<()>,
}

/// Creates the handle to the task, and the receiver with which the task is
/// started.
pub(crate) fn mailbox() -> (PeerPort, PeerInbox) {
    let (sender, inbox) = mpsc::channel(MAILBOX_CAPACITY);
    (PeerPort { sender }, PeerInbox { inbox })
}

/// Receiving end of the task's mailbox.
pub(crate) struct PeerInbox {
    inbox: mpsc::Receiver<PeerEvent>,
}

/// Starts the task, which ends when its handles are dropped.
pub(crate) fn start(
    endpoint: &Endpoint,
    sources: &PeerSources,
    inbox: PeerInbox,
) {
    let task = PeerTask {
        endpoint: endpoint.clone(),
        sources: sources.clone(),
        links: SortedTable::default(),
        connections: JoinSet::new(),
    };
    super::spawn(task.run(inbox.inbox));
}

impl PeerTask {
    async fn run(mut self, mut inbox: mpsc::Receiver<PeerEvent>) {
        loop {
            tokio::select! {
                event = inbox.recv() => match event {
                    Some(event) => self.forward(event),
                    None => break,
                },
                Some(incoming) = self.endpoint.accept() => {
                    let sources = self.sources.clone();
                    self.connections.spawn(serve(incoming, sources));
                }
                Some(_) = self.connections.join_next() => {}
            }
        }
        self.endpoint.close(0_u32.into(), b"shutdown");
        self.endpoint.wait_idle().await;
    }

    /// Forwards a request to the task that owns the connection to the host.
    fn forward(&mut self, event: PeerEvent) {
        let endpoint = &self.endpoint;
        let address = event.address.clone();
        let link = self
            .links
            .entry(address.clone(), || start_link(endpoint, &address));
        if link.is_closed() {
            *link = start_link(endpoint, &address);
        }
        // A full mailbox means that the host doesn't answer. The request is
        // dropped, so its sender gets no answer.
        let _ = link.try_send(event);
    }
}

/// State of the task of one outgoing connection.
struct LinkTask {
    endpoint: Endpoint,
    address: String,
    connection: Option<Connection>,
    suspect_until: Instant,
}

/// Starts the task that owns the connection to the host at `address`.
fn start_link(endpoint: &Endpoint, address: &str) -> mpsc::Sender<PeerEvent> {
    let (sender, inbox) = mpsc::channel(LINK_MAILBOX_CAPACITY);
    let task = LinkTask {
        endpoint: endpoint.clone(),
        address: address.to_owned(),
        connection: None,
        suspect_until: Instant::now(),
    };
    super::spawn(task.run(inbox));
    sender
}

impl LinkTask {
    async fn run(mut self, mut inbox: mpsc::Receiver<PeerEvent>) {
        let mut requests = JoinSet::new();
        loop {
            tokio::select! {
                event = inbox.recv() => match event {
                    Some(event) => self.request(event, &mut requests).await,
                    None => return,
                },
                Some(ended) = requests.join_next() => self.handle_end(ended),
            }
        }
    }

    /// Starts a request, or drops it while the host is suspect.
    async fn request(
        &mut self,
        event: PeerEvent,
        requests: &mut JoinSet<anyhow::Result<()>>,
    ) {
        if Instant::now() < self.suspect_until {
            return;
        }
        let connection = match self.connect().await {
            Ok(connection) => connection,
            Err(error) => {
                self.suspect(&error);
                return;
            }
        };
        requests.spawn(async move {
            let answer = tokio::time::timeout(
                PEER_TIMEOUT,
                exchange(&connection, &event.request, &event.address),
            )
            .await
            .at(StepName::AwaitHead, &event.address)??;
            if let Some(reply) = event.reply {
                let _ = reply.send(answer);
            }
            Ok(())
        });
    }

    fn handle_end(
        &mut self,
        ended: Result<anyhow::Result<()>, tokio::task::JoinError>,
    ) {
        if let Ok(Err(error)) = ended {
            self.suspect(&error);
        }
    }

    /// Sends the host no requests for `SUSPECT_TIME`, and opens a new
    /// connection after that.
    fn suspect(&mut self, error: &anyhow::Error) {
        let now = Instant::now();
        if self.suspect_until <= now {
            tracing::warn!(
                event = "peer_suspect",
                peer = self.address,
                error = format!("{error:#}"),
            );
        }
        self.suspect_until = now + SUSPECT_TIME;
        self.connection = None;
    }

    /// Returns the open connection, or opens a new one.
    async fn connect(&mut self) -> anyhow::Result<Connection> {
        if let Some(connection) = &self.connection
            && connection.close_reason().is_none()
        {
            return Ok(connection.clone());
        }
        let address = self.address.parse().context("not IP:PORT")?;
        let connecting = self.endpoint.connect(address, PEER_NAME)?;
        let connection = tokio::time::timeout(PEER_TIMEOUT, connecting)
            .await
            .at(StepName::Connect, &self.address)?
            .at(StepName::Connect, &self.address)?;
        self.connection = Some(connection.clone());
        Ok(connection)
    }
}

/// Sends a request on a stream of the connection and reads the response.
async fn exchange(
    connection: &Connection,
    request: &PeerRequest,
    peer: &str,
) -> anyhow::Result<PeerResponse> {
    let (mut send, mut receive) =
        connection.open_bi().await.at(StepName::Send, peer)?;
    write(&mut send, &postcard::to_stdvec(request)?)
        .await
        .at(StepName::Send, peer)?;
    let bytes = receive
        .read_to_end(MAX_PEER_BYTES)
        .await
        .at(StepName::ReadBody, peer)?;
    postcard::from_bytes(&bytes).at(StepName::Decode, peer)
}

/// Writes the bytes and ends the sending side of the stream.
async fn write(send: &mut SendStream, bytes: &[u8]) -> anyhow::Result<()> {
    send.write_all(bytes).await?;
    send.finish()?;
    Ok(())
}

/// Serves the requests on one incoming connection.
async fn serve(incoming: Incoming, sources: PeerSources) {
    let peer = incoming.remote_address().to_string();
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(error) => {
            tracing::warn!(event = "peer_refused", peer, %error);
            return;
        }
    };
    let mut requests = JoinSet::new();
    loop {
        tokio::select! {
            streams = connection.accept_bi() => {
                let Ok((send, receive)) = streams else { return };
                requests.spawn(answer_request(send, receive, sources.clone()));
            }
            Some(_) = requests.join_next() => {}
        }
    }
}

/// Reads a request from a stream and answers it; drops a malformed request.
async fn answer_request(
    mut send: SendStream,
    mut receive: RecvStream,
    sources: PeerSources,
) {
    let Ok(bytes) = receive.read_to_end(MAX_PEER_BYTES).await else { return };
    let Ok(request) = postcard::from_bytes::<PeerRequest>(&bytes) else {
        return;
    };
    let answer = match request {
        PeerRequest::Grant { customer, tokens } => {
            let granted = super::ask(&sources.shares, |reply| {
                ShareEvent::Grant { customer, tokens, reply }
            });
            match granted
                .await
                .unwrap_or(GrantReply::Granted(PartTokens::default()))
            {
                GrantReply::Granted(tokens) => PeerResponse::Granted(tokens),
                GrantReply::HandedOver => PeerResponse::HandedOver,
            }
        }
        PeerRequest::PartsHandedOver { balances } => {
            let _ = sources.shares.send(ShareEvent::Inherit(balances)).await;
            let _ = sources.member.send(MemberEvent::PollNow).await;
            PeerResponse::Done
        }
        PeerRequest::SettleGrant { customer, kind, ended, spare } => {
            let event =
                ShareEvent::SettleGrant { customer, kind, ended, spare };
            let _ = sources.shares.send(event).await;
            PeerResponse::Done
        }
        PeerRequest::KeepUsage { batch } => {
            let _ = sources.usage.send(CopyEvent::Keep(batch)).await;
            PeerResponse::Done
        }
        PeerRequest::ConfirmUsage { name } => {
            let _ = sources.usage.send(CopyEvent::Confirmed(name)).await;
            PeerResponse::Done
        }
        PeerRequest::Settings { above } => {
            let view = sources.settings.borrow().clone();
            let newer = above < view.state.revision;
            PeerResponse::Settings(PeerSettings {
                revision: view.state.revision,
                state: newer.then(|| (*view.state).clone()),
                confirmed: view.confirmed,
            })
        }
    };
    let Ok(bytes) = postcard::to_stdvec(&answer) else { return };
    let _ = write(&mut send, &bytes).await;
}
