//! When the lease on orders is asked for, renewed and given up.
//!
//! The rules of the lease are [`OrdersLease`]'s. This is its place in time:
//! one call of the store at a time, a pause between two, and the right to
//! order as orders under way see it.

use std::time::Duration;

use tokio::{sync::watch, time::Instant};

use super::orders::LeaseEnd;
use crate::{
    clock::EpochMillis,
    membership::{
        HostRow, LeaseClaim, OrderPermit, OrdersLease, OrdersRow, RENEW_PERIOD,
    },
};

/// Silence of the holder after which the lease's row is read.
const HOLDER_SILENCE: Duration = Duration::from_millis(2_500);
/// Hosts that hear of a free lease, or start together, look at it within this
/// time, in milliseconds.
const JITTER_MS: u64 = 400;
/// Time between two readings of the row.
const READ_PERIOD: Duration = Duration::from_millis(1_000);

/// A call of the store that is due.
pub(super) enum LeaseCall {
    /// Read the row.
    Read,
    /// Write a claim.
    Write(LeaseClaim),
}

/// The lease as a host keeps it.
pub(super) struct LeaseKeeper {
    lease: OrdersLease,
    right: watch::Sender<OrderPermit>,
    /// Whether a call of the store is under way.
    asking: bool,
    /// Point from which the store may be asked again.
    ask_at: Instant,
    /// Point at which the last claim that succeeded was made.
    renewed_at: EpochMillis,
    /// Row of the host, or process, that ordered before this one took over.
    former: Option<OrdersRow>,
    /// Who this host is.
    row: HostRow,
    /// Span in which orders of two hosts count as taking turns.
    turns: Duration,
}

impl LeaseKeeper {
    pub(super) fn new(row: HostRow, turns: Duration) -> LeaseKeeper {
        LeaseKeeper {
            lease: OrdersLease::default(),
            right: watch::channel(OrderPermit::default()).0,
            asking: false,
            ask_at: Instant::now() + jitter(),
            renewed_at: EpochMillis::default(),
            former: None,
            row,
            turns,
        }
    }

    /// Point from which the store may be asked again.
    pub(super) fn ask_at(&self) -> Instant {
        self.ask_at
    }

    /// Returns the right to order, as it changes.
    pub(super) fn right(&self) -> watch::Receiver<OrderPermit> {
        self.right.subscribe()
    }

    /// Returns the fencing number while this host may order.
    pub(super) fn fencing(&self, now: EpochMillis) -> Option<u64> {
        self.lease.fencing(now)
    }

    /// Returns the time since the last renewal that succeeded began.
    pub(super) fn renewal_age(&self, now: EpochMillis) -> Duration {
        self.renewed_at.until(now)
    }

    /// Returns the row as last read, with its version.
    pub(super) fn row(&self) -> Option<(&OrdersRow, u64)> {
        self.lease.row()
    }

    /// Notes that another host gives the orders.
    pub(super) fn holder_heard(
        &mut self,
        row: &OrdersRow,
        version: u64,
        now: EpochMillis,
    ) {
        self.lease.record_read(Some(row.clone()), version, now);
        self.show();
        self.ask_at = Instant::now() + HOLDER_SILENCE;
    }

    /// Notes that the host that ordered under a number stops. The hosts look
    /// at different points, so that one succeeds at its first claim.
    pub(super) fn released(&mut self, fencing: u64, now: EpochMillis) {
        self.lease.record_release(fencing, now);
        let handover = OrdersLease::handover_delay(self.turns);
        self.ask_at = Instant::now() + handover + jitter();
    }

    /// Stops ordering; returns the number that was held.
    pub(super) fn give_up(&mut self) -> Option<u64> {
        let fencing = self.lease.give_up();
        self.show();
        fencing
    }

    /// Returns the row of the host, or process, that ordered before this one
    /// took over, once after each taking over.
    pub(super) fn take_former(&mut self) -> Option<OrdersRow> {
        self.former.take()
    }

    /// Returns the call that is due, if one is: a renewal, or a look whether
    /// the lease is free. A claim says how many loads are open.
    pub(super) fn next_call(
        &mut self,
        open_loads: u32,
        now: EpochMillis,
    ) -> Option<LeaseCall> {
        if self.asking || Instant::now() < self.ask_at {
            return None;
        }
        self.asking = true;
        self.ask_at = Instant::now() + READ_PERIOD;
        let claim = self.claim(now).map(|mut claim| {
            claim.row.open_loads = open_loads;
            claim
        });
        Some(claim.map_or(LeaseCall::Read, LeaseCall::Write))
    }

    /// Takes the end of a call into account; tells whether the others should
    /// hear the lease's new version at once.
    pub(super) fn ended(&mut self, end: LeaseEnd, now: EpochMillis) -> bool {
        self.asking = false;
        let mut renewed = false;
        match end {
            LeaseEnd::Read(row, version) => {
                self.lease.record_read(row, version, now);
                if self.claim(now).is_some() {
                    self.ask_at = Instant::now();
                }
            }
            LeaseEnd::Claimed(claim, version) => {
                self.ask_at = Instant::now() + RENEW_PERIOD;
                match version {
                    Some(version) => {
                        self.renewed_at = claim.claimed_at;
                        let own = (&self.row.host, self.row.incarnation);
                        let former = self.lease.row().map(|(row, _)| row);
                        let former = former.filter(|row| {
                            (&row.holder, row.incarnation) != own
                        });
                        if let Some(former) = former {
                            self.former = Some(former.clone());
                        }
                        self.lease.record_claim(&claim, version, now);
                        renewed = true;
                        if self.lease.fencing(now).is_none() {
                            // It gave no right: too late, or given up.
                            self.ask_at = Instant::now();
                        }
                    }
                    None => self.lease.invalidate(),
                }
            }
            LeaseEnd::StoreFailed => self.lease.invalidate(),
        }
        self.show();
        renewed
    }

    fn claim(&self, now: EpochMillis) -> Option<LeaseClaim> {
        let (host, process) = (&self.row.host, self.row.incarnation);
        self.lease.claim(host, process, self.turns, now)
    }

    fn show(&self) {
        self.right.send_replace(self.lease.permit());
    }
}

fn jitter() -> Duration {
    Duration::from_millis(rand::random_range(0..JITTER_MS))
}
