//! Lease that selects the one host that sends orders to the runners.
//!
//! The lease is a row written by compare-and-set that names the lease holder
//! and its fencing token. The lease holder renews the lease while it runs and
//! measures its own term from the moment *before* the write was sent. Another
//! host takes the lease only after it has seen no renewal for the term of the
//! lease, a margin for orders that are written at the end of the term, and the
//! alternation window, within which orders from two hosts would count as
//! alternating between the hosts.
//!
//! A lease holder that stops announces that it releases the lease. Other hosts
//! then wait only for the margin and the alternation window, and the former
//! lease holder sends no order under the fencing token that it gave up. The
//! permit of an order that waits for a connection is checked again immediately
//! before the order is written, as the permit may have ended meanwhile. Each
//! host measures time by its own clock; clocks are never compared.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::EpochMillis;

/// Time between two renewals.
pub const RENEW_PERIOD: Duration = Duration::from_millis(1_000);
/// Time after the start of a renewal for which the holder may send orders.
const LEASE_TTL: Duration = Duration::from_millis(2_200);
/// Margin for an order that is written at the end of the lease term: a lost
/// packet is retransmitted after some 200 ms.
const SEND_MARGIN: Duration = Duration::from_millis(300);

/// Row of the orders lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct OrdersRow {
    /// Name of the host that holds the lease.
    pub holder: String,
    /// Random number that identifies the holder's process.
    pub incarnation: u64,
    /// Fencing token, which grows with each holder.
    pub fencing: u64,
    /// Loads from the weight store that the holder had ordered when it wrote
    /// the row and that may still begin.
    pub open_loads: u32,
}

/// A host's view of the orders lease.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OrdersLease {
    /// The row as last read.
    seen: Option<OrdersRow>,
    /// Version of the row as last read; 0 without a row.
    version: u64,
    /// Time at which this version was first seen.
    seen_at: EpochMillis,
    /// Whether the row was read and not invalidated since.
    is_current: bool,
    /// Permit that this host last held and didn't give up; it may have
    /// expired.
    permit: Option<OrderPermit>,
    /// Fencing token that this host gave up.
    given_up: u64,
    /// Fencing token that another host announced as released, and the time of
    /// the announcement.
    peer_release: Option<(u64, EpochMillis)>,
}

/// Permission to send orders under one fencing token for a limited time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrderPermit {
    /// Fencing token; 0 without a permit.
    fencing: u64,
    /// Time at which the permit expires.
    until: EpochMillis,
}

impl OrderPermit {
    /// Returns whether an order under this fencing token may be written at
    /// `now`.
    pub fn allows(self, fencing: u64, now: EpochMillis) -> bool {
        self.fencing == fencing && now < self.until
    }
}

/// A write of the lease row that takes or renews the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseClaim {
    /// The row to write.
    pub row: OrdersRow,
    /// Version that the existing row must have.
    pub expected: u64,
    /// Time at which the claim was made; the lease term starts here.
    pub claimed_at: EpochMillis,
}

impl OrdersLease {
    /// Records the row as read from the store, with its version.
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
        if let Some(permit) = &mut self.permit
            && seen != Some(permit.fencing)
        {
            permit.until = EpochMillis::default();
        }
    }

    /// Returns the claim that this host should write now, if any. Orders from
    /// two hosts within `alternation_window` count as alternating between the
    /// hosts.
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
                // Orders from one host don't count as alternating, so there is
                // no need to wait. A new token is needed after a restart of
                // the process or after the old token was given up.
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

    /// Returns the time from which another host's lease may be taken.
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

    /// Records that the holder of a fencing token announced its release.
    pub fn record_release(&mut self, fencing: u64, now: EpochMillis) {
        self.peer_release = Some((fencing, now));
    }

    /// Gives up the fencing token that this host holds and returns the token,
    /// if there is one. The row may already have another host's token, which
    /// this host must not give up.
    pub fn give_up(&mut self) -> Option<u64> {
        let permit = self.permit.take()?;
        self.given_up = permit.fencing;
        Some(permit.fencing)
    }

    /// Records that a claim was written as `version`.
    pub fn record_claim(
        &mut self,
        claim: &LeaseClaim,
        version: u64,
        now: EpochMillis,
    ) {
        self.record_read(Some(claim.row.clone()), version, now);
        let fencing = claim.row.fencing;
        if fencing == self.given_up {
            // Other hosts may already rely on no order following under this
            // token.
            return;
        }
        let until = claim.claimed_at.after(LEASE_TTL);
        self.permit = Some(OrderPermit { fencing, until });
    }

    /// Requires the row to be read again, after a claim that failed or whose
    /// outcome is unknown.
    pub fn invalidate(&mut self) {
        self.is_current = false;
    }

    /// Returns the fencing token while this host may send orders.
    pub fn fencing(&self, now: EpochMillis) -> Option<u64> {
        let permit = self.permit.filter(|permit| now < permit.until)?;
        Some(permit.fencing)
    }

    /// Returns the current permit, which may have expired.
    pub fn permit(&self) -> OrderPermit {
        self.permit.unwrap_or_default()
    }

    /// Returns the time from the announcement of a release until another host
    /// may take the lease.
    pub fn handover_delay(alternation_window: Duration) -> Duration {
        SEND_MARGIN + alternation_window
    }

    /// Returns the row as last read and its version.
    pub fn row(&self) -> Option<(&OrdersRow, u64)> {
        Some((self.seen.as_ref()?, self.version))
    }
}
