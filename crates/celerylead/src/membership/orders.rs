//! Which host gives orders to the runners.
//!
//! One lease, a row under compare-and-set, names the holder and its fencing
//! number. The holder renews it while it runs and counts its own right from
//! the moment *before* the write was sent. Another host takes the lease only
//! after it has seen no renewal for the lease's span, a margin for slow
//! answers, and the span in which orders of two hosts would count as taking
//! turns. A holder that stops says so, and then only the margin and that last
//! span are left to wait for; it doesn't order again under the number it gave
//! up. An order that waits for its connection asks for the right once more
//! just before it is written, as the right may have ended meanwhile. No clocks
//! are compared: each host counts by its own.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::EpochMillis;

/// Time between two renewals.
pub const RENEW_PERIOD: Duration = Duration::from_millis(1_000);
/// Time after the start of a renewal for which its holder may order.
const LEASE_TTL: Duration = Duration::from_millis(2_200);
/// Margin for an order that was written at the end of the right to order:
/// a lost packet is sent again after some 200 ms.
const SEND_MARGIN: Duration = Duration::from_millis(300);

/// Row of the lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct OrdersRow {
    /// Name of the host that holds it.
    pub holder: String,
    /// Random number of its process.
    pub incarnation: u64,
    /// Number that grows with each holder.
    pub fencing: u64,
    /// Loads from the weight store that it had ordered when it wrote the row
    /// and that may still begin.
    pub open_loads: u32,
}

/// What a host knows of the lease.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OrdersLease {
    /// The row as last read, with its version; 0 without a row.
    seen: Option<OrdersRow>,
    version: u64,
    /// Point at which this version was first seen.
    seen_at: EpochMillis,
    is_current: bool,
    /// What this host last held and didn't give up; it may have ended.
    held: Option<OrderPermit>,
    /// Number that this host gave up.
    given_up: u64,
    /// Point at which the holder of this number said that it stops.
    peer_release: Option<(u64, EpochMillis)>,
}

/// The right to order under one number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrderPermit {
    /// Fencing number; 0 without a right.
    fencing: u64,
    /// Point until which it holds.
    until: EpochMillis,
}

impl OrderPermit {
    /// Tells whether an order under this number may be written now.
    pub fn allows(self, fencing: u64, now: EpochMillis) -> bool {
        self.fencing == fencing && now < self.until
    }
}

/// What a host should write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseClaim {
    /// The row.
    pub row: OrdersRow,
    /// Version that the row must have.
    pub expected: u64,
    /// Point at which the claim was made.
    pub claimed_at: EpochMillis,
}

impl OrdersLease {
    /// Takes a reading of the row into account.
    pub fn record_read(
        &mut self,
        row: Option<OrdersRow>,
        version: u64,
        now: EpochMillis,
    ) {
        if !self.is_current || version != self.version {
            self.seen_at = now;
        }
        self.is_current = true;
        self.seen = row;
        self.version = version;
        let seen = self.seen.as_ref().map(|row| row.fencing);
        if let Some(held) = &mut self.held
            && seen != Some(held.fencing)
        {
            held.until = EpochMillis::default();
        }
    }

    /// Returns what this host should write now, if anything. `turns` is the
    /// span in which orders of two hosts count as taking turns.
    pub fn claim(
        &self,
        host: &str,
        incarnation: u64,
        alternation_window: Duration,
        now: EpochMillis,
    ) -> Option<LeaseClaim> {
        if !self.is_current {
            return None;
        }
        let fencing = match &self.seen {
            Some(row) if row.holder == host => {
                // Orders of one host don't take turns, but the number tells
                // its processes apart, and what was given up.
                let own = row.incarnation == incarnation;
                let kept = own && row.fencing != self.given_up;
                if kept { row.fencing } else { row.fencing + 1 }
            }
            Some(row) if now < self.takeover_at(row, alternation_window) => {
                return None;
            }
            Some(row) => row.fencing + 1,
            None => 1,
        };
        let holder = host.to_owned();
        let row = OrdersRow { holder, incarnation, fencing, open_loads: 0 };
        Some(LeaseClaim { row, expected: self.version, claimed_at: now })
    }

    /// Point from which another host's lease may be taken.
    fn takeover_at(
        &self,
        row: &OrdersRow,
        alternation_window: Duration,
    ) -> EpochMillis {
        match self.peer_release {
            Some((fencing, at)) if fencing == row.fencing => {
                at.after(OrdersLease::handover_delay(alternation_window))
            }
            _ => self
                .seen_at
                .after(LEASE_TTL + SEND_MARGIN + alternation_window),
        }
    }

    /// Notes that the holder of a number said that it stops.
    pub fn record_release(&mut self, fencing: u64, now: EpochMillis) {
        self.peer_release = Some((fencing, now));
    }

    /// Stops ordering under the number held; returns it, where one was. The
    /// row may bear another host's number by now, which isn't this host's to
    /// give up.
    pub fn give_up(&mut self) -> Option<u64> {
        let held = self.held.take()?;
        self.given_up = held.fencing;
        Some(held.fencing)
    }

    /// Notes that a claim was written as `version`.
    pub fn record_claim(
        &mut self,
        claim: &LeaseClaim,
        version: u64,
        now: EpochMillis,
    ) {
        self.record_read(Some(claim.row.clone()), version, now);
        let fencing = claim.row.fencing;
        if fencing == self.given_up {
            // The others may count on it already that no order follows.
            return;
        }
        let until = claim.claimed_at.after(LEASE_TTL);
        self.held = Some(OrderPermit { fencing, until });
    }

    /// Notes that a claim failed or is in doubt: the row has to be read.
    pub fn invalidate(&mut self) {
        self.is_current = false;
    }

    /// Returns the fencing number while this host may order.
    pub fn fencing(&self, now: EpochMillis) -> Option<u64> {
        let held = self.held.filter(|held| now < held.until)?;
        Some(held.fencing)
    }

    /// Returns the right to order as it stands.
    pub fn permit(&self) -> OrderPermit {
        self.held.unwrap_or_default()
    }

    /// Returns the time from a holder's word that it stops until its lease
    /// may be taken.
    pub fn handover_delay(alternation_window: Duration) -> Duration {
        SEND_MARGIN + alternation_window
    }

    /// Returns the row as last read, with its version.
    pub fn row(&self) -> Option<(&OrdersRow, u64)> {
        Some((self.seen.as_ref()?, self.version))
    }
}
