//! Schedule on which the orders lease is claimed, renewed and given up.
//!
//! The rules of the lease are in [`OrdersLease`]. This module decides when
//! they are applied: it keeps one store call in flight at a time, pauses
//! between two calls, and publishes the order permit, which is checked before
//! an order is written.

use std::time::Duration;

use tokio::{sync::watch, time::Instant};

use super::orders::LeaseOutcome;
use crate::{
    clock::EpochMillis,
    membership::{
        HostRow, LeaseClaim, OrderPermit, OrdersLease, OrdersRow,
        RENEW_PERIOD, StoredOrdersRow,
    },
    placement::LoadHistory,
    store_version::StoreVersion,
};

/// Silence of the lease holder after which another host reads the lease's row.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Upper bound of the random delay, in milliseconds, that spreads the store
/// calls of hosts that start together or learn at the same time that the lease
/// is free.
const JITTER_MS: u64 = 400;
/// Longest further delay of a host with a small part of a processor core, as the
/// holder has to keep up with all runners.
const WEAK_DELAY: Duration = Duration::from_millis(800);
/// Part of a core from which a host isn't delayed, in thousandths.
const FULL_CORE_PERMILLE: u32 = 250;
/// Time between two reads of the lease's row.
const READ_PERIOD: Duration = Duration::from_millis(1_000);

/// A store call that is due.
pub(super) enum LeaseCall {
    /// Read the row.
    Read,
    /// Write a claim.
    Write(LeaseClaim),
}

/// State and schedule of the orders lease at one host.
pub(super) struct LeaseKeeper {
    lease: OrdersLease,
    permit: watch::Sender<OrderPermit>,
    /// Whether a store call is in flight.
    call_pending: bool,
    /// Earliest time of the next store call.
    next_call_at: Instant,
    /// Time at which the last successful claim was made.
    renewed_at: EpochMillis,
    /// Row of the previous holder, which may be an earlier process of this
    /// host, until [`take_previous_holder`](Self::take_previous_holder)
    /// returns it.
    previous_holder: Option<StoredOrdersRow>,
    /// This host's row in the hosts' table.
    row: HostRow,
    /// Window within which the platform counts orders of two hosts as
    /// alternating.
    alternation_window: Duration,
}

impl LeaseKeeper {
    pub(super) fn new(
        row: HostRow,
        alternation_window: Duration,
        now: EpochMillis,
    ) -> LeaseKeeper {
        LeaseKeeper {
            lease: OrdersLease::new(now),
            permit: watch::channel(OrderPermit::default()).0,
            call_pending: false,
            next_call_at: Instant::now() + claim_delay(&row),
            renewed_at: EpochMillis::default(),
            previous_holder: None,
            row,
            alternation_window,
        }
    }

    /// Returns the earliest time of the next store call.
    pub(super) fn next_call_at(&self) -> Instant {
        self.next_call_at
    }

    /// Returns a receiver that follows the order permit.
    pub(super) fn permit(&self) -> watch::Receiver<OrderPermit> {
        self.permit.subscribe()
    }

    /// Returns the fencing token while this host may send orders.
    pub(super) fn fencing(&self, now: EpochMillis) -> Option<u64> {
        self.lease.fencing(now)
    }

    /// Returns whether the deployment has settled, so that models may be moved.
    pub(super) fn is_settled(&self, now: EpochMillis) -> bool {
        self.lease.is_settled(now)
    }

    /// Returns the time in which the deployment still settles, and the processes
    /// of this host in a row that didn't use the lease so far.
    pub(super) fn start_up(&self, now: EpochMillis) -> (Duration, u32) {
        let unused = self.lease.stored().map(|stored| stored.unused_terms);
        (now.until(self.lease.settled_at()), unused.unwrap_or(0))
    }

    /// Records that this host moves models under the lease. The first time, the
    /// row is written again soon, so that it states the use.
    pub(super) fn record_use(&mut self) {
        if self.lease.record_use() {
            self.renew_soon();
        }
    }

    /// Brings the next store call forward, as the row has to state something
    /// new.
    pub(super) fn renew_soon(&mut self) {
        self.next_call_at = Instant::now();
    }

    /// Returns the time since the start of the last successful claim.
    pub(super) fn renewal_age(&self, now: EpochMillis) -> Duration {
        self.renewed_at.until(now)
    }

    /// Returns the lease's row as last read, with its version.
    pub(super) fn row(&self) -> Option<(&OrdersRow, StoreVersion)> {
        self.lease.row()
    }

    /// Records a message of another host that holds the lease, with the row
    /// and version of the lease.
    pub(super) fn holder_announced(
        &mut self,
        row: &OrdersRow,
        version: StoreVersion,
        now: EpochMillis,
    ) {
        if !self.lease.record_announcement(row, version, now) {
            return;
        }
        self.publish_permit();
        self.next_call_at = Instant::now() + HOLDER_TIMEOUT;
    }

    /// Records that the holder with this fencing token has released the lease;
    /// returns whether this is new.
    /// A random delay makes the hosts read the row at different times, so that
    /// one of them succeeds with its first claim.
    pub(super) fn holder_released(
        &mut self,
        fencing: u64,
        now: EpochMillis,
    ) -> bool {
        let row = self.lease.row().map(|(row, _)| row.fencing);
        // A host that was paused announces the release of its token long after
        // another host took the lease, which has to be renewed in time.
        if row.is_some_and(|newer| fencing < newer)
            || !self.lease.record_release(fencing, now)
        {
            return false;
        }
        let handover = OrdersLease::handover_delay(self.alternation_window);
        self.next_call_at = Instant::now() + handover + claim_delay(&self.row);
        true
    }

    /// Puts off the next store call of a host that doesn't take the lease.
    pub(super) fn defer(&mut self) {
        if self.next_call_at <= Instant::now() {
            self.next_call_at = Instant::now() + READ_PERIOD;
        }
    }

    /// Gives up the lease; returns the fencing token that was held, if any.
    pub(super) fn relinquish(&mut self) -> Option<u64> {
        let fencing = self.lease.give_up();
        self.publish_permit();
        fencing
    }

    /// Returns the row of the previous holder, which may be an earlier process
    /// of this host, once after each takeover.
    pub(super) fn take_previous_holder(&mut self) -> Option<StoredOrdersRow> {
        self.previous_holder.take()
    }

    /// Returns the store call that is due, if any: a claim or renewal, or a
    /// read that shows whether the lease is free. A claim states the number of
    /// open loads and those that count in the window.
    pub(super) fn next_call(
        &mut self,
        open_loads: u32,
        loads: LoadHistory,
        now: EpochMillis,
    ) -> Option<LeaseCall> {
        if self.call_pending || Instant::now() < self.next_call_at {
            return None;
        }
        self.call_pending = true;
        self.next_call_at = Instant::now() + READ_PERIOD;
        let claim = self.claim(now).map(|mut claim| {
            claim.row.row.open_loads = open_loads;
            claim.row.loads = Some(loads);
            claim
        });
        Some(claim.map_or(LeaseCall::Read, LeaseCall::Write))
    }

    /// Applies the outcome of a store call; returns whether the lease was
    /// written, in which case the other hosts should learn its new version at
    /// once.
    pub(super) fn call_ended(
        &mut self,
        outcome: LeaseOutcome,
        now: EpochMillis,
    ) -> bool {
        self.call_pending = false;
        let mut renewed = false;
        match outcome {
            LeaseOutcome::Read(row, version) => {
                self.lease.record_read(row, version, now);
                if self.claim(now).is_some() {
                    self.next_call_at = Instant::now();
                }
            }
            LeaseOutcome::Claimed(claim, version) => {
                self.next_call_at = Instant::now() + RENEW_PERIOD;
                match version {
                    Some(version) => {
                        self.renewed_at = claim.claimed_at;
                        let own = (&self.row.host, self.row.incarnation);
                        let previous = self.lease.stored();
                        let previous = previous.filter(|stored| {
                            let row = &stored.row;
                            (&row.holder, row.incarnation) != own
                        });
                        if let Some(previous) = previous {
                            self.previous_holder = Some(previous.clone());
                        }
                        self.lease.record_claim(&claim, version, now);
                        renewed = true;
                        if self.lease.fencing(now).is_none() {
                            // The claim gives no permit: the store answered
                            // too late, or the lease was given up.
                            self.next_call_at = Instant::now();
                        }
                    }
                    None => {
                        // The row was written since it was read or announced.
                        self.lease.invalidate();
                        self.next_call_at = Instant::now();
                    }
                }
            }
            LeaseOutcome::StoreFailed => self.lease.invalidate(),
        }
        self.publish_permit();
        renewed
    }

    fn claim(&self, now: EpochMillis) -> Option<LeaseClaim> {
        let (host, incarnation) = (&self.row.host, self.row.incarnation);
        self.lease.claim(host, incarnation, self.alternation_window, now)
    }

    /// Sends the current permit to the tasks that watch it.
    fn publish_permit(&self) {
        self.permit.send_replace(self.lease.permit());
    }
}

/// Returns a random delay, which is longer for a host with less of a processor
/// core.
fn claim_delay(row: &HostRow) -> Duration {
    let jitter = Duration::from_millis(rand::random_range(0..JITTER_MS));
    let core = row.capacity.map(|capacity| capacity.core_permille);
    let core = core.unwrap_or(FULL_CORE_PERMILLE).min(FULL_CORE_PERMILLE);
    let lacking = 1.0 - f64::from(core) / f64::from(FULL_CORE_PERMILLE);
    jitter + WEAK_DELAY.mul_f64(lacking)
}
