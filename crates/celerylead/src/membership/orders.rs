//! Which host gives orders to the runners.
//!
//! One lease, a row under compare-and-set, names the holder and its fencing
//! number. The holder renews it while it runs and counts its own right from
//! the moment *before* the write was sent. Another host takes the lease only
//! after it has seen no renewal for the lease's span, a margin for slow
//! answers, and the span in which orders of two hosts would count as taking
//! turns. No clocks are compared: each host counts by its own.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::EpochMillis;

/// Time between two renewals.
pub const RENEW_PERIOD: Duration = Duration::from_millis(1_000);
/// Time after the start of a renewal for which its holder may order.
const HOLD: Duration = Duration::from_millis(2_500);
/// Margin for an order that was written at the end of the hold.
const SEND_MARGIN: Duration = Duration::from_millis(500);

/// Row of the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct OrdersRow {
    /// Name of the host that holds it.
    pub holder: String,
    /// Random number of its process.
    pub incarnation: u64,
    /// Number that grows with each holder.
    pub fencing: u64,
}

/// What a host knows of the lease.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OrdersLease {
    /// The row as last read, with its version; 0 without a row.
    seen: Option<OrdersRow>,
    version: u64,
    /// Point at which this version was first seen.
    seen_at: EpochMillis,
    /// Point until which this host may order.
    held_until: EpochMillis,
    read: bool,
}

/// What a host should write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseClaim {
    /// The row.
    pub row: OrdersRow,
    /// Version that the row must have.
    pub expected: u64,
    /// Point at which the claim was made.
    pub since: EpochMillis,
}

impl OrdersLease {
    /// Takes a reading of the row into account.
    pub fn read(
        &mut self,
        row: Option<OrdersRow>,
        version: u64,
        now: EpochMillis,
    ) {
        if !self.read || version != self.version {
            self.seen_at = now;
        }
        self.read = true;
        self.seen = row;
        self.version = version;
    }

    /// Returns what this host should write now, if anything. `turns` is the
    /// span in which orders of two hosts count as taking turns.
    pub fn claim(
        &self,
        host: &str,
        incarnation: u64,
        turns: Duration,
        now: EpochMillis,
    ) -> Option<LeaseClaim> {
        if !self.read {
            return None;
        }
        let own = |row: &&OrdersRow| {
            row.holder == host && row.incarnation == incarnation
        };
        let held = self.seen.as_ref();
        let fencing = match held {
            Some(row) if own(&row) => row.fencing,
            // A former process of this host: orders of one host don't take
            // turns, but the number tells the processes apart.
            Some(row) if row.holder == host => row.fencing + 1,
            Some(row) => {
                let free = self.seen_at.after(HOLD + SEND_MARGIN + turns);
                if now < free {
                    return None;
                }
                row.fencing + 1
            }
            None => 1,
        };
        let row = OrdersRow { holder: host.to_owned(), incarnation, fencing };
        Some(LeaseClaim { row, expected: self.version, since: now })
    }

    /// Notes that a claim was written as `version`.
    pub fn claimed(
        &mut self,
        claim: &LeaseClaim,
        version: u64,
        now: EpochMillis,
    ) {
        self.read(Some(claim.row.clone()), version, now);
        self.held_until = claim.since.after(HOLD);
    }

    /// Notes that a claim failed or is in doubt: the row has to be read.
    pub fn in_doubt(&mut self) {
        self.read = false;
    }

    /// Returns the fencing number while this host may order.
    pub fn fencing(&self, now: EpochMillis) -> Option<u64> {
        let row = self.seen.as_ref()?;
        (now < self.held_until).then_some(row.fencing)
    }

    /// Returns the name of the holder as last read.
    pub fn holder(&self) -> Option<&str> {
        self.seen.as_ref().map(|row| row.holder.as_str())
    }
}
