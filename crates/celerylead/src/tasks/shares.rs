//! The task that holds this host's parts of the customers' rates.
//!
//! A charge is served from the parts held here and, for what is missing,
//! from the other holders. What a request didn't use is given back to where
//! it came from.

use std::time::Duration;

use tokio::{
    sync::{mpsc, oneshot},
    time::MissedTickBehavior,
};

use super::{
    MAILBOX_CAPACITY, MAX_IN_FLIGHT,
    peer::{PeerPort, request_grants},
};
use crate::{
    clock::{EpochMillis, HostClock},
    customer::{
        HolderAddress, PartTokens, ShareLimiter, TakenTokens,
        share::{PartKind, ShareRow},
    },
    membership::HostLease,
    request::{Refusal, RefusalCode},
    settings::SettingsView,
};

/// Time between two notes that the process runs.
const TICK_PERIOD: Duration = Duration::from_millis(500);

/// Message to the task.
pub(crate) enum ShareEvent {
    /// Take tokens for a request of this host.
    Charge {
        customer: String,
        tokens: u64,
        reply: oneshot::Sender<ChargeReply>,
    },
    /// Take up to this many tokens for another host.
    Grant { customer: String, tokens: u64, reply: oneshot::Sender<PartTokens> },
    /// Hear what came of a grant to another host.
    GrantEnded { customer: String, kind: PartKind, ended: u64, spare: u64 },
    /// Note that the holders had too little for a request.
    Exhausted { customer: String, missing: u64 },
    /// Use these settings from the answer on.
    Adopt { view: SettingsView, reply: oneshot::Sender<()> },
    /// What the platform's table says of leases and parts.
    Confirm(ShareView),
    /// Use nothing any more, from the answer on.
    GiveUp(oneshot::Sender<()>),
}

/// Leases and parts as read from the table at one point.
pub(crate) struct ShareView {
    /// This host's own lease, if the row is its own.
    pub(crate) lease: Option<HostLease>,
    /// Point at which the reading began.
    pub(crate) read_from: EpochMillis,
    pub(crate) rows: Vec<ShareRow>,
}

/// What a charge found here.
pub(crate) struct ChargeReply {
    /// Tokens taken from parts held here.
    pub(crate) taken: TakenTokens,
    /// Where to ask for the rest, nearest first.
    pub(crate) holders: Vec<HolderAddress>,
    /// A refusal that needs no asking.
    pub(crate) refusal: Option<Refusal>,
}

/// End of a charge: what to give back and what was used beyond it.
struct ChargeEnd {
    customer: String,
    taken: TakenTokens,
    used: u64,
    /// Whether the request was refused, so that its grants end only now.
    unspent: bool,
}

/// The way to the task.
#[derive(Clone)]
pub(crate) struct SharePort {
    pub(crate) sender: mpsc::Sender<ShareEvent>,
    ends: mpsc::Sender<ChargeEnd>,
    peers: PeerPort,
    clock: HostClock,
}

/// Tokens taken for a request; dropped without an end, all count as used.
pub(crate) struct TokenCharge {
    end: Option<(mpsc::OwnedPermit<ChargeEnd>, ChargeEnd)>,
}

impl TokenCharge {
    /// Returns the tokens taken.
    pub(crate) fn reserved(&self) -> u64 {
        self.end.as_ref().map_or(0, |(_, end)| end.taken.total())
    }

    /// Settles the charge: `used` tokens stay spent.
    pub(crate) fn settle(mut self, used: u64) {
        let Some((permit, mut end)) = self.end.take() else { return };
        end.used = used;
        permit.send(end);
    }
}

impl SharePort {
    /// Takes `tokens` of a customer's rate, here or from other holders.
    pub(crate) async fn charge(
        &self,
        customer: &str,
        tokens: u64,
    ) -> Result<TokenCharge, Refusal> {
        let permit = self.ends.clone().reserve_owned().await;
        let permit = permit.map_err(|_| shutting_down())?;
        let started_at = self.clock.now();
        let reply = super::ask(&self.sender, |reply| ShareEvent::Charge {
            customer: customer.to_owned(),
            tokens,
            reply,
        });
        let reply = reply.await.ok_or_else(shutting_down)?;
        if let Some(refusal) = reply.refusal {
            return Err(refusal);
        }
        let mut taken = reply.taken;
        let missing = tokens.saturating_sub(taken.total());
        if 0 < missing {
            let granted =
                request_grants(&self.peers, customer, missing, &reply.holders)
                    .await;
            taken.add(&granted);
        }
        let mut end = ChargeEnd {
            customer: customer.to_owned(),
            taken,
            used: 0,
            unspent: false,
        };
        let missing = tokens.saturating_sub(end.taken.total());
        // A grant may be spent only while its holder keeps room for it.
        let late = self.clock.now() > started_at.after(MAX_CHARGE_TIME);
        if missing == 0 && !late {
            for (part, tokens) in end.taken.granted() {
                self.peers.grant_ended(part, customer, tokens, 0);
            }
            return Ok(TokenCharge { end: Some((permit, end)) });
        }
        end.unspent = true;
        permit.send(end);
        let exhausted =
            ShareEvent::Exhausted { customer: customer.to_owned(), missing };
        let _ = self.sender.send(exhausted).await;
        Err(Refusal::not_run(
            RefusalCode::RateLimited,
            "the customer is over its rate",
        )
        .retry_at(Some(started_at.after(RETRY_WAIT))))
    }
}

/// Longest time from the start of a charge to its use; well below
/// [`crate::customer::GRANT_HOLD`].
const MAX_CHARGE_TIME: Duration = Duration::from_millis(500);
/// Wait proposed to a caller that is over its rate.
const RETRY_WAIT: Duration = Duration::from_millis(1_000);

/// State of the task.
struct ShareTask {
    clock: HostClock,
    limiter: ShareLimiter,
    peers: PeerPort,
}

/// Starts the task.
pub(crate) fn start(
    zone: &str,
    clock: &HostClock,
    peers: &PeerPort,
    inbox: mpsc::Receiver<ShareEvent>,
    sender: mpsc::Sender<ShareEvent>,
) -> SharePort {
    let (ends, settled) = mpsc::channel(MAX_IN_FLIGHT);
    let task = ShareTask {
        clock: clock.clone(),
        limiter: ShareLimiter::new(zone),
        peers: peers.clone(),
    };
    super::spawn(task.run(inbox, settled));
    SharePort { sender, ends, peers: peers.clone(), clock: clock.clone() }
}

/// Makes the task's mailbox, which the peers' task needs before the task.
pub(crate) fn mailbox()
-> (mpsc::Sender<ShareEvent>, mpsc::Receiver<ShareEvent>) {
    mpsc::channel(MAILBOX_CAPACITY)
}

impl ShareTask {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<ShareEvent>,
        mut settled: mpsc::Receiver<ChargeEnd>,
    ) {
        let mut period = tokio::time::interval(TICK_PERIOD);
        period.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = inbox.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                Some(end) = settled.recv() => self.settle(&end),
                _ = period.tick() => self.limiter.tick(self.clock.now()),
            }
        }
    }

    fn handle(&mut self, event: ShareEvent) {
        let now = self.clock.bound();
        match event {
            ShareEvent::Charge { customer, tokens, reply } => {
                let charge_reply = self.charge(&customer, tokens);
                if let Err(undelivered) = reply.send(charge_reply) {
                    let taken = &undelivered.taken;
                    self.limiter.refund(&customer, taken, 0, now);
                }
            }
            ShareEvent::Grant { customer, tokens, reply } => {
                let granted = self.limiter.grant(&customer, tokens, now);
                // An unheard grant keeps its room until it has run out.
                let _ = reply.send(granted);
            }
            ShareEvent::GrantEnded { customer, kind, ended, spare } => {
                self.limiter.grant_ended(&customer, kind, ended, spare, now);
            }
            ShareEvent::Exhausted { customer, missing } => {
                self.limiter.note_exhausted(&customer, missing, now);
            }
            ShareEvent::Adopt { view, reply } => {
                self.limiter.adopt(&view.tree, now);
                let _ = reply.send(());
            }
            ShareEvent::Confirm(view) => {
                let lease = view.lease.as_ref();
                self.limiter.confirm(lease, view.read_from, &view.rows, now);
            }
            ShareEvent::GiveUp(reply) => {
                self.limiter.give_up();
                let _ = reply.send(());
            }
        }
    }

    fn charge(&mut self, customer: &str, tokens: u64) -> ChargeReply {
        let now = self.clock.bound();
        match self.limiter.take(customer, tokens, now) {
            Ok(taken) => ChargeReply {
                taken,
                holders: self.limiter.holders(customer),
                refusal: None,
            },
            Err(refusal) => ChargeReply {
                taken: TakenTokens::default(),
                holders: Vec::new(),
                refusal: Some(refusal),
            },
        }
    }

    fn settle(&mut self, end: &ChargeEnd) {
        let now = self.clock.bound();
        let refunds =
            self.limiter.refund(&end.customer, &end.taken, end.used, now);
        for (part, spare) in refunds {
            let ended = if end.unspent { spare } else { 0 };
            self.peers.grant_ended(&part, &end.customer, ended, spare);
        }
    }
}

fn shutting_down() -> Refusal {
    Refusal::not_run(RefusalCode::NotReady, "the host is shutting down")
}
