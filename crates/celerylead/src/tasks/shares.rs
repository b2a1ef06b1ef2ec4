//! The task that holds this host's parts of the customers' rates.
//!
//! A charge takes tokens from the parts that this host holds and, if these
//! don't suffice, from other holders. Tokens that a request didn't use are
//! refunded to the parts that they came from.

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
        HolderAddress, PartBalance, PartTokens, ShareLimiter, TakenTokens,
        share::{PartKind, ShareRow},
    },
    membership::HostLease,
    request::{Refusal, RefusalCode},
    settings::SettingsView,
};

/// Interval at which the limiter records that the process is running.
const TICK_PERIOD: Duration = Duration::from_millis(500);

/// Message to the task.
pub(crate) enum ShareEvent {
    /// Take tokens for a request of this host.
    Charge {
        customer: String,
        tokens: u64,
        reply: oneshot::Sender<ChargeReply>,
    },
    /// Grant up to this many tokens to another host.
    Grant { customer: String, tokens: u64, reply: oneshot::Sender<GrantReply> },
    /// Settle a grant to another host, as reported by that host.
    SettleGrant { customer: String, kind: PartKind, ended: u64, spare: u64 },
    /// Record that a request was refused because all holders together lacked
    /// `missing` tokens.
    Exhausted { customer: String, missing: u64 },
    /// Adopt these settings. They are in force once the reply is sent.
    Adopt { view: SettingsView, reply: oneshot::Sender<()> },
    /// Leases and parts as read from the platform's table.
    Confirm(ShareView),
    /// Stop using all parts. No part is used once the reply with their
    /// balances is sent.
    GiveUp(oneshot::Sender<Vec<PartBalance>>),
    /// Take over the balances of parts that another host has handed over.
    Inherit(Vec<PartBalance>),
}

/// Leases and parts as read from the table at one point in time.
pub(crate) struct ShareView {
    /// Lease of this host, if the lease row belongs to this process.
    pub(crate) lease: Option<HostLease>,
    /// Time at which the read began.
    pub(crate) read_from: EpochMillis,
    pub(crate) rows: Vec<ShareRow>,
}

/// Answer to another host that requests tokens.
pub(crate) enum GrantReply {
    /// The tokens granted.
    Granted(PartTokens),
    /// This host is leaving and has given up its parts.
    HandedOver,
}

/// Result of a charge against the parts that this host holds.
pub(crate) struct ChargeReply {
    /// Tokens taken from the parts that this host holds.
    pub(crate) taken: TakenTokens,
    /// Holders from which to request the missing tokens, nearest first.
    pub(crate) holders: Vec<HolderAddress>,
    /// Whether this host is leaving and has given up its parts.
    pub(crate) handed_over: bool,
    /// Refusal that is certain without a request to other holders.
    pub(crate) refusal: Option<Refusal>,
}

/// How a charge ended. The task refunds or debits the difference between the
/// tokens taken and the tokens used.
struct ChargeEnd {
    customer: String,
    taken: TakenTokens,
    used: u64,
    /// Whether the request was refused, for lack of tokens or because the
    /// charge took too long. Its grants are then unspent and are settled with
    /// this message. The grants of an admitted request are settled as soon as
    /// the request is charged.
    unspent: bool,
}

/// Handle to the task.
#[derive(Clone)]
pub(crate) struct SharePort {
    pub(crate) sender: mpsc::Sender<ShareEvent>,
    end_sender: mpsc::Sender<ChargeEnd>,
    peers: PeerPort,
    clock: HostClock,
}

/// Tokens taken for a request. If the charge is dropped without being settled,
/// all of them count as used.
pub(crate) struct TokenCharge {
    end: Option<(mpsc::OwnedPermit<ChargeEnd>, ChargeEnd)>,
}

impl TokenCharge {
    /// Returns the number of tokens taken.
    pub(crate) fn reserved(&self) -> u64 {
        self.end.as_ref().map_or(0, |(_, end)| end.taken.total())
    }

    /// Settles the charge: `used` tokens stay spent, and the other tokens are
    /// refunded. If more were used than taken, the difference is debited.
    pub(crate) fn settle(mut self, used: u64) {
        let Some((permit, mut end)) = self.end.take() else { return };
        end.used = used;
        permit.send(end);
    }
}

impl SharePort {
    /// Adds up to `missing` tokens to `taken`, from the parts of this host and
    /// then from other holders. Returns whether parts are being handed over
    /// from one host to another, so that more may be had in a moment.
    async fn gather(
        &self,
        customer: &str,
        missing: u64,
        taken: &mut TakenTokens,
    ) -> Result<bool, Refusal> {
        let reply = super::ask(&self.sender, |reply| ShareEvent::Charge {
            customer: customer.to_owned(),
            tokens: missing,
            reply,
        });
        let reply = reply.await.ok_or_else(shutting_down)?;
        if let Some(refusal) = reply.refusal {
            return Err(refusal);
        }
        taken.add(&reply.taken);
        let missing = missing.saturating_sub(reply.taken.total());
        if missing == 0 {
            return Ok(false);
        }
        let granted =
            request_grants(&self.peers, customer, missing, &reply.holders)
                .await;
        taken.add(&granted.taken);
        Ok(reply.handed_over || granted.handed_over)
    }

    /// Takes `tokens` from a customer's rate: first from the parts that this
    /// host holds, then from other holders.
    pub(crate) async fn charge(
        &self,
        customer: &str,
        tokens: u64,
    ) -> Result<TokenCharge, Refusal> {
        for _ in 0..MAX_CHARGE_ATTEMPTS {
            let permit = self.end_sender.clone().reserve_owned().await;
            let permit = permit.map_err(|_| shutting_down())?;
            let started_at = self.clock.now();
            let (taken, refusal) = self.gather_all(customer, tokens).await;
            let mut end = ChargeEnd {
                customer: customer.to_owned(),
                taken,
                used: 0,
                unspent: false,
            };
            let missing = tokens.saturating_sub(end.taken.total());
            // A grant may be spent only while its holder keeps capacity
            // reserved for it.
            let is_late = started_at.after(MAX_CHARGE_TIME) < self.clock.now();
            if missing == 0 && !is_late {
                for (part, tokens) in end.taken.granted() {
                    self.peers.settle_grant(part, customer, tokens, 0);
                }
                return Ok(TokenCharge { end: Some((permit, end)) });
            }
            end.unspent = true;
            permit.send(end);
            if let Some(refusal) = refusal {
                return Err(refusal);
            }
            if 0 < missing {
                let customer = customer.to_owned();
                let exhausted = ShareEvent::Exhausted { customer, missing };
                let _ = self.sender.send(exhausted).await;
                return Err(self.over_rate("the customer is over its rate"));
            }
        }
        Err(self.over_rate("the holders of the rate answer too late"))
    }

    /// Gathers up to `tokens`, again while parts are being handed over from one
    /// host to another. Returns what was taken and, if tokens are missing, the
    /// refusal for a reason other than the rate.
    async fn gather_all(
        &self,
        customer: &str,
        tokens: u64,
    ) -> (TakenTokens, Option<Refusal>) {
        let mut taken = TakenTokens::default();
        let until = self.clock.now().after(MAX_HANDOVER_TIME);
        loop {
            let missing = tokens.saturating_sub(taken.total());
            let handed_over =
                match self.gather(customer, missing, &mut taken).await {
                    Ok(handed_over) => handed_over,
                    Err(refusal) => return (taken, Some(refusal)),
                };
            let is_short = taken.total() < tokens;
            if !is_short || !handed_over || until < self.clock.now() {
                return (taken, None);
            }
            tokio::time::sleep(HANDOVER_PAUSE).await;
        }
    }

    fn over_rate(&self, message: &str) -> Refusal {
        let retry_at = self.clock.now().after(RETRY_WAIT);
        Refusal::not_run(RefusalCode::RateLimited, message)
            .retry_at(Some(retry_at))
    }
}

/// Attempts of a charge whose tokens came too late to be spent, which says
/// nothing about the customer's rate.
const MAX_CHARGE_ATTEMPTS: u32 = 3;
/// Pause before tokens are requested again from the next holders of parts that
/// are being handed over.
const HANDOVER_PAUSE: Duration = Duration::from_millis(25);
/// Time from the start of a charge after which no further request for tokens
/// begins; the last one has to end within [`MAX_CHARGE_TIME`].
const MAX_HANDOVER_TIME: Duration = Duration::from_millis(300);
/// Longest time from the start of a charge to the use of its grants; well
/// below [`crate::customer::GRANT_HOLD`].
const MAX_CHARGE_TIME: Duration = Duration::from_millis(500);
/// Time after which a caller whose customer is over its rate may retry.
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
    let (end_sender, ends) = mpsc::channel(MAX_IN_FLIGHT);
    let task = ShareTask {
        clock: clock.clone(),
        limiter: ShareLimiter::new(zone),
        peers: peers.clone(),
    };
    super::spawn(task.run(inbox, ends));
    SharePort {
        sender,
        end_sender,
        peers: peers.clone(),
        clock: clock.clone(),
    }
}

/// Creates the mailbox of the task. The peer task needs the sending end before
/// this task is started.
pub(crate) fn mailbox()
-> (mpsc::Sender<ShareEvent>, mpsc::Receiver<ShareEvent>) {
    mpsc::channel(MAILBOX_CAPACITY)
}

impl ShareTask {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<ShareEvent>,
        mut ends: mpsc::Receiver<ChargeEnd>,
    ) {
        let mut period = tokio::time::interval(TICK_PERIOD);
        period.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = inbox.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                Some(end) = ends.recv() => self.settle(&end),
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
                let granted = if self.limiter.has_given_up() {
                    GrantReply::HandedOver
                } else {
                    let tokens = self.limiter.grant(&customer, tokens, now);
                    GrantReply::Granted(tokens)
                };
                // If the reply can't be delivered, the grant keeps its
                // capacity reserved until it expires.
                let _ = reply.send(granted);
            }
            ShareEvent::SettleGrant { customer, kind, ended, spare } => {
                self.limiter.settle_grant(&customer, kind, ended, spare, now);
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
                let _ = reply.send(self.limiter.give_up(now));
            }
            ShareEvent::Inherit(balances) => {
                self.limiter.inherit(&balances, now);
            }
        }
    }

    /// Takes tokens from this host's parts, and names the other holders from
    /// which the missing tokens can be requested.
    fn charge(&mut self, customer: &str, tokens: u64) -> ChargeReply {
        let now = self.clock.bound();
        match self.limiter.take(customer, tokens, now) {
            Ok(taken) => ChargeReply {
                taken,
                holders: self.limiter.holders(customer),
                handed_over: self.limiter.has_given_up(),
                refusal: None,
            },
            Err(refusal) => ChargeReply {
                taken: TakenTokens::default(),
                holders: Vec::new(),
                handed_over: false,
                refusal: Some(refusal),
            },
        }
    }

    /// Refunds the tokens that a request didn't use to this host's parts and
    /// to the hosts that granted them.
    fn settle(&mut self, end: &ChargeEnd) {
        let now = self.clock.bound();
        let refunds =
            self.limiter.refund(&end.customer, &end.taken, end.used, now);
        for (part, spare) in refunds {
            let ended = if end.unspent { spare } else { 0 };
            self.peers.settle_grant(&part, &end.customer, ended, spare);
        }
    }
}

fn shutting_down() -> Refusal {
    Refusal::not_run(RefusalCode::NotReady, "the host is shutting down")
}
