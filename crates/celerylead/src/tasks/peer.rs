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

use super::{MAILBOX, shares::ShareEvent, usage::UsageCopy};
use crate::{
    customer::{HolderAddress, HolderPart, PartTokens, TakenTokens},
    settings::SettingsView,
    sorted::SortedTable,
    step::{StepContext as _, StepName},
    wire::peer::{
        MAX_PEER_BYTES, PEER_NAME, PeerRequest, PeerResponse, PeerSettings,
    },
};

/// Longest wait for an answer of another host.
const PEER_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which a host that didn't answer is not asked again.
const SUSPECT_TIME: Duration = Duration::from_millis(1_000);
/// Questions under way to one host.
const MAX_ASKS: usize = 1_024;

/// A question on its way.
struct PeerEvent {
    address: String,
    ask: PeerRequest,
    reply: Option<oneshot::Sender<PeerResponse>>,
}

/// The way to the task.
#[derive(Clone)]
pub(crate) struct PeerPort {
    sender: mpsc::Sender<PeerEvent>,
}

impl PeerPort {
    /// Asks another host; `None` where no answer came in time.
    pub(crate) async fn ask(
        &self,
        address: &str,
        ask: &PeerRequest,
    ) -> Option<PeerResponse> {
        let (reply, answer) = oneshot::channel();
        let event = PeerEvent {
            address: address.to_owned(),
            ask: ask.clone(),
            reply: Some(reply),
        };
        self.sender.send(event).await.ok()?;
        tokio::time::timeout(PEER_TIMEOUT, answer).await.ok()?.ok()
    }

    /// Tells the holder of a part what came of its grant. Where the message
    /// is lost the tokens stay spent, and their room held until the grant
    /// has run out.
    pub(crate) fn grant_ended(
        &self,
        part: &HolderPart,
        customer: &str,
        ended: u64,
        spare: u64,
    ) {
        let ask = PeerRequest::GrantEnded {
            customer: customer.to_owned(),
            kind: part.kind,
            ended,
            spare,
        };
        self.tell(&part.address, ask);
    }

    /// Tells the keeper of a usage batch that the store has it. Where the
    /// message is lost the keeper writes it again under the same name.
    pub(crate) fn usage_confirmed(&self, address: &str, name: &str) {
        let ask = PeerRequest::UsageConfirmed { name: name.to_owned() };
        self.tell(address, ask);
    }

    /// Sends a message that may get lost.
    fn tell(&self, address: &str, ask: PeerRequest) {
        let event =
            PeerEvent { address: address.to_owned(), ask, reply: None };
        let _ = self.sender.try_send(event);
    }
}

/// Asks other holders for tokens, in the order given: nearest first.
pub(crate) async fn gather(
    peers: &PeerPort,
    customer: &str,
    tokens: u64,
    holders: &[HolderAddress],
) -> TakenTokens {
    let mut taken = TakenTokens::default();
    for holder in holders {
        let missing = tokens.saturating_sub(taken.total());
        if missing == 0 {
            break;
        }
        let granted = grant(peers, customer, missing, &holder.address).await;
        taken.insert_granted(&holder.address, granted);
    }
    taken
}

async fn grant(
    peers: &PeerPort,
    customer: &str,
    tokens: u64,
    address: &str,
) -> PartTokens {
    let ask = PeerRequest::Grant { customer: customer.to_owned(), tokens };
    match peers.ask(address, &ask).await {
        Some(PeerResponse::Granted(granted)) => granted,
        _ => PartTokens::default(),
    }
}

/// What the task answers other hosts from.
#[derive(Clone)]
pub(crate) struct PeerSources {
    pub(crate) shares: mpsc::Sender<ShareEvent>,
    pub(crate) settings: watch::Receiver<SettingsView>,
    pub(crate) usage: mpsc::Sender<UsageCopy>,
}

/// State of the task.
struct PeerTask {
    endpoint: Endpoint,
    sources: PeerSources,
    links: SortedTable<String, mpsc::Sender<PeerEvent>>,
    served: JoinSet<()>,
}

/// Makes the port, and the receiver with which the task is started.
pub(crate) fn mailbox() -> (PeerPort, PeerInbox) {
    let (sender, inbox) = mpsc::channel(MAILBOX);
    (PeerPort { sender }, PeerInbox { inbox })
}

/// The task's end of its mailbox.
pub(crate) struct PeerInbox {
    inbox: mpsc::Receiver<PeerEvent>,
}

/// Starts the task; it ends when its ports are dropped.
pub(crate) fn start(
    endpoint: &Endpoint,
    sources: &PeerSources,
    inbox: PeerInbox,
) {
    let task = PeerTask {
        endpoint: endpoint.clone(),
        sources: sources.clone(),
        links: SortedTable::default(),
        served: JoinSet::new(),
    };
    super::spawn(task.run(inbox.inbox));
}

impl PeerTask {
    async fn run(mut self, mut inbox: mpsc::Receiver<PeerEvent>) {
        loop {
            tokio::select! {
                event = inbox.recv() => match event {
                    Some(event) => self.pass_on(event),
                    None => break,
                },
                Some(incoming) = self.endpoint.accept() => {
                    let sources = self.sources.clone();
                    self.served.spawn(serve(incoming, sources));
                }
                Some(_) = self.served.join_next() => {}
            }
        }
        self.endpoint.close(0_u32.into(), b"shutdown");
        self.endpoint.wait_idle().await;
    }

    /// Hands a question to the task of its connection.
    fn pass_on(&mut self, event: PeerEvent) {
        let endpoint = &self.endpoint;
        let address = event.address.clone();
        let link = self
            .links
            .entry(address.clone(), || start_link(endpoint, &address));
        if link.is_closed() {
            *link = start_link(endpoint, &address);
        }
        // A full mailbox means a host that doesn't answer; so does a drop.
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

fn start_link(endpoint: &Endpoint, address: &str) -> mpsc::Sender<PeerEvent> {
    let (sender, inbox) = mpsc::channel(MAX_ASKS);
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
        let mut asks = JoinSet::new();
        loop {
            tokio::select! {
                event = inbox.recv() => match event {
                    Some(event) => self.start_ask(event, &mut asks).await,
                    None => return,
                },
                Some(ended) = asks.join_next() => self.ended(ended),
            }
        }
    }

    async fn start_ask(
        &mut self,
        event: PeerEvent,
        asks: &mut JoinSet<anyhow::Result<()>>,
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
        asks.spawn(async move {
            let answer = tokio::time::timeout(
                PEER_TIMEOUT,
                exchange(&connection, &event.ask, &event.address),
            )
            .await
            .at(StepName::AwaitHead, &event.address)??;
            if let Some(reply) = event.reply {
                let _ = reply.send(answer);
            }
            Ok(())
        });
    }

    fn ended(
        &mut self,
        ended: Result<anyhow::Result<()>, tokio::task::JoinError>,
    ) {
        if let Ok(Err(error)) = ended {
            self.suspect(&error);
        }
    }

    /// Asks the host nothing for a while and connects anew after it.
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

async fn exchange(
    connection: &Connection,
    ask: &PeerRequest,
    peer: &str,
) -> anyhow::Result<PeerResponse> {
    let (mut send, mut receive) =
        connection.open_bi().await.at(StepName::Send, peer)?;
    write(&mut send, &postcard::to_stdvec(ask)?)
        .await
        .at(StepName::Send, peer)?;
    let bytes = receive
        .read_to_end(MAX_PEER_BYTES)
        .await
        .at(StepName::ReadBody, peer)?;
    postcard::from_bytes(&bytes).at(StepName::Decode, peer)
}

async fn write(send: &mut SendStream, bytes: &[u8]) -> anyhow::Result<()> {
    send.write_all(bytes).await?;
    send.finish()?;
    Ok(())
}

/// Serves the questions of one incoming connection.
async fn serve(incoming: Incoming, sources: PeerSources) {
    let peer = incoming.remote_address().to_string();
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(error) => {
            tracing::warn!(event = "peer_refused", peer, %error);
            return;
        }
    };
    let mut asks = JoinSet::new();
    loop {
        tokio::select! {
            streams = connection.accept_bi() => {
                let Ok((send, receive)) = streams else { return };
                asks.spawn(answer(send, receive, sources.clone()));
            }
            Some(_) = asks.join_next() => {}
        }
    }
}

async fn answer(
    mut send: SendStream,
    mut receive: RecvStream,
    sources: PeerSources,
) {
    let Ok(bytes) = receive.read_to_end(MAX_PEER_BYTES).await else { return };
    let Ok(ask) = postcard::from_bytes::<PeerRequest>(&bytes) else { return };
    let answer = match ask {
        PeerRequest::Grant { customer, tokens } => {
            let granted = super::ask(&sources.shares, |reply| {
                ShareEvent::Grant { customer, tokens, reply }
            });
            PeerResponse::Granted(granted.await.unwrap_or_default())
        }
        PeerRequest::GrantEnded { customer, kind, ended, spare } => {
            let event =
                ShareEvent::GrantEnded { customer, kind, ended, spare };
            let _ = sources.shares.send(event).await;
            PeerResponse::Done
        }
        PeerRequest::KeepUsage { batch } => {
            let _ = sources.usage.send(UsageCopy::Keep(batch)).await;
            PeerResponse::Done
        }
        PeerRequest::UsageConfirmed { name } => {
            let _ = sources.usage.send(UsageCopy::Confirmed(name)).await;
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
