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
//!
//! A host that starts again takes the row of its earlier process without
//! waiting, as orders of one host don't count as alternating. If the earlier
//! process ended before it could use the lease, the host puts its claim off,
//! the longer the more often this happened in a row, so that a host that runs
//! for longer can take the lease. A deployment that starts for the first time
//! settles: the row states how much of that time was left when it was written,
//! so that the time doesn't begin anew with each process.
//!
//! The store may come back from an older copy, in a new era. The row that it
//! then holds, or lacks, doesn't show the claims that were lost with the latest
//! seconds, and the host of a lost claim may order until its term ends. Three
//! rules follow:
//!
//! * A fencing token contains the era and the version under which it was
//!   claimed, so that no token is given out twice, whichever rows were lost.
//! * A row whose token is of an earlier era than the row's version was copied.
//!   Every host waits for it as for the row of another holder, the host that it
//!   names and those that heard of a release too.
//! * The host that still has a permit goes on and claims under a new token, as
//!   no other host could have claimed the lease during its term.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    clock::EpochMillis, placement::LoadHistory, store_version::StoreVersion,
};

/// Time between two renewals.
pub const RENEW_PERIOD: Duration = Duration::from_millis(1_000);
/// Time after the start of a renewal for which the holder may send orders.
const LEASE_TTL: Duration = Duration::from_millis(2_200);
/// Margin for an order that is written at the end of the lease term: a lost
/// packet is retransmitted after some 200 ms.
const SEND_MARGIN: Duration = Duration::from_millis(300);
/// Time from the first start of a deployment in which no models are moved: the
/// runners register over some seconds, and a model that seems to be missing may
/// be at a runner that isn't listed yet.
const SETTLE_TIME: Duration = Duration::from_millis(6_000);
/// Delay of a claim for each earlier process of the host that ended before it
/// could use the lease; about the time from a start to the first order.
const UNUSED_TERM_DELAY: Duration = Duration::from_millis(2_000);

/// Bits of a fencing token below the era in which it was claimed. A token of
/// one of the first 8,192 eras is below 2^53, so that a JSON number that is read
/// as a floating-point one holds it exactly.
const TOKEN_NUMBER_BITS: u32 = 40;

/// Returns the era in which a fencing token was claimed.
fn token_era(fencing: u64) -> u64 {
    fencing >> TOKEN_NUMBER_BITS
}

/// Returns the lowest token of a claim that expects the row to have this
/// version. In an era the versions of the row grow with each write, whatever the
/// row then contains, so two claims never get the same token. In era 0 no write
/// is lost, and the token in the row is counted up instead.
fn lowest_token(expected: StoreVersion) -> u64 {
    match u64::from(expected.era()) {
        0 => 1,
        era => (era << TOKEN_NUMBER_BITS) + expected.number() + 1,
    }
}

/// Row of the orders lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct OrdersRow {
    /// Name of the host that holds the lease.
    pub holder: String,
    /// Random number that identifies the holder's process.
    pub incarnation: u64,
    /// Fencing token, which grows with each holder and with each return of the
    /// store from an older copy.
    pub fencing: u64,
    /// Loads from the weight store that the holder had ordered when it wrote
    /// the row and that may still begin.
    pub open_loads: u32,
}

/// Row of the orders lease as it is stored. The further fields aren't announced
/// to other hosts; rows of hosts of an earlier version lack them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct StoredOrdersRow {
    /// The row as the holder announces it.
    #[serde(flatten)]
    pub row: OrdersRow,
    /// Time in which the deployment still settles, in milliseconds, at the
    /// time of the write.
    pub settling_ms: u64,
    /// Processes of the holder's host in a row, the current one included, that
    /// took the lease and didn't use it so far.
    pub unused_terms: u32,
    /// Loads that count for the limit of the weight store; `None` if they
    /// aren't known.
    pub loads: Option<LoadHistory>,
}

impl From<OrdersRow> for StoredOrdersRow {
    fn from(row: OrdersRow) -> StoredOrdersRow {
        StoredOrdersRow { row, ..StoredOrdersRow::default() }
    }
}

/// A host's view of the orders lease.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OrdersLease {
    /// The row as last read or announced.
    seen: Option<StoredOrdersRow>,
    /// Version of the row as last read; its number is 0 without a row.
    version: StoreVersion,
    /// Time at which this version was first seen.
    seen_at: EpochMillis,
    /// Whether the row was read and not invalidated since.
    is_current: bool,
    /// Whether this process has used the lease.
    is_used: bool,
    /// Time until which the deployment settles.
    settled_at: EpochMillis,
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
    pub row: StoredOrdersRow,
    /// Version that the existing row must have.
    pub expected: StoreVersion,
    /// Time at which the claim was made; the lease term starts here.
    pub claimed_at: EpochMillis,
}

impl OrdersLease {
    /// Returns the view of a process that starts at `now`. Until it has read
    /// the row, it takes the deployment for one that starts.
    pub fn new(now: EpochMillis) -> OrdersLease {
        let settled_at = now.after(SETTLE_TIME);
        OrdersLease { settled_at, ..OrdersLease::default() }
    }

    /// Records the row as read from the store, with its version. What was read
    /// in an earlier era than the known row is ignored.
    pub fn record_read(
        &mut self,
        stored: Option<StoredOrdersRow>,
        version: StoreVersion,
        now: EpochMillis,
    ) {
        if self.is_outdated(version) {
            return;
        }
        if let Some(stored) = &stored {
            let left = Duration::from_millis(stored.settling_ms);
            self.settled_at = self.settled_at.min(now.after(left));
        }
        self.record_row(stored, version, now);
    }

    /// Records the row as its holder announced it, with its version. Returns
    /// whether the announcement counts: the holder may not know yet that the
    /// store is in a later era.
    pub fn record_announcement(
        &mut self,
        row: &OrdersRow,
        version: StoreVersion,
        now: EpochMillis,
    ) -> bool {
        if self.is_outdated(version) {
            return false;
        }
        if !self.is_current || version != self.version {
            self.record_row(Some(row.clone().into()), version, now);
        }
        true
    }

    /// Returns whether a version of the row is of an earlier era than the known
    /// one.
    fn is_outdated(&self, version: StoreVersion) -> bool {
        version.era() < self.version.era()
    }

    fn record_row(
        &mut self,
        row: Option<StoredOrdersRow>,
        version: StoreVersion,
        now: EpochMillis,
    ) {
        if !self.is_current || version != self.version {
            self.seen_at = now;
        }
        self.is_current = true;
        self.seen = row;
        self.version = version;
        let fencing = self.seen.as_ref().map(|seen| seen.row.fencing);
        let is_copied = self.is_copied();
        if let Some(permit) = &mut self.permit
            && fencing != Some(permit.fencing)
            && !is_copied
        {
            permit.until = EpochMillis::default();
        }
    }

    /// Returns whether the row, or its absence, comes from the copy from which
    /// the store came back, so that later claims may be missing.
    fn is_copied(&self) -> bool {
        let fencing = self.seen.as_ref().map_or(0, |seen| seen.row.fencing);
        token_era(fencing) != u64::from(self.version.era())
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
        let seen = self.seen.as_ref().map(|seen| &seen.row);
        let is_host = seen.is_some_and(|row| row.holder == host);
        let is_own = seen.is_some_and(|row| row.incarnation == incarnation);
        let is_earlier = is_host && !is_own;
        let fencing = match seen {
            // A new token is needed after the old one was given up.
            Some(row)
                if is_host
                    && is_own
                    && !self.is_copied()
                    && row.fencing != self.given_up =>
            {
                row.fencing
            }
            _ => {
                let claim_at = self.claim_at(host, is_own, alternation_window);
                if now < claim_at && !self.spans_return(now) {
                    return None;
                }
                let former = seen.map_or(0, |row| row.fencing);
                former.saturating_add(1).max(lowest_token(self.version))
            }
        };
        let unused_terms = match self.seen.as_ref() {
            _ if self.is_used => 0,
            Some(seen) if is_host && is_own => seen.unused_terms,
            Some(seen) if is_earlier => seen.unused_terms.saturating_add(1),
            _ => 1,
        };
        let settling = now.until(self.settled_at);
        let holder = host.to_owned();
        let row = StoredOrdersRow {
            row: OrdersRow { holder, incarnation, fencing, open_loads: 0 },
            settling_ms: settling.as_millis() as u64,
            unused_terms,
            loads: None,
        };
        Some(LeaseClaim { row, expected: self.version, claimed_at: now })
    }

    /// Returns the time from which this host may claim the lease under a new
    /// token. `is_own` is whether the row was written by this process.
    fn claim_at(
        &self,
        host: &str,
        is_own: bool,
        alternation_window: Duration,
    ) -> EpochMillis {
        let lapsed_at =
            self.seen_at.after(LEASE_TTL + SEND_MARGIN + alternation_window);
        if self.is_copied() {
            return lapsed_at;
        }
        let Some(StoredOrdersRow { row, .. }) = &self.seen else {
            return EpochMillis::default();
        };
        let takeover_at = match self.peer_release {
            Some((fencing, at)) if fencing == row.fencing => {
                at.after(OrdersLease::handover_delay(alternation_window))
            }
            _ => lapsed_at,
        };
        // Orders from one host don't count as alternating.
        match row.holder == host {
            true if is_own => EpochMillis::default(),
            true => takeover_at.min(self.reclaim_at()),
            false => takeover_at,
        }
    }

    /// Returns whether this host's permit is still valid after the store came
    /// back from a copy that may lack its claim.
    fn spans_return(&self, now: EpochMillis) -> bool {
        self.is_copied() && self.fencing(now).is_some()
    }

    /// Returns the time from which the row of an earlier process of this host
    /// may be taken.
    fn reclaim_at(&self) -> EpochMillis {
        let unused_terms =
            self.seen.as_ref().map_or(0, |seen| seen.unused_terms);
        self.seen_at.after(UNUSED_TERM_DELAY * unused_terms)
    }

    /// Records that the holder of a fencing token announced its release, and
    /// returns whether this is new. The announcement is repeated, but no order
    /// follows the first one.
    pub fn record_release(&mut self, fencing: u64, now: EpochMillis) -> bool {
        let is_known = self.peer_release.is_some_and(|(f, _)| f == fencing);
        if !is_known {
            self.peer_release = Some((fencing, now));
        }
        !is_known
    }

    /// Gives up the fencing token that this host holds and returns the token,
    /// if there is one. The row may already have another host's token, which
    /// this host must not give up.
    pub fn give_up(&mut self) -> Option<u64> {
        let permit = self.permit.take()?;
        self.given_up = permit.fencing;
        Some(permit.fencing)
    }

    /// Records that a claim was written as `version`. A claim that the store
    /// carried out in another era than expected gives no permit, nor does one
    /// whose era has ended meanwhile.
    pub fn record_claim(
        &mut self,
        claim: &LeaseClaim,
        version: StoreVersion,
        now: EpochMillis,
    ) {
        self.record_read(Some(claim.row.clone()), version, now);
        let era = claim.expected.era();
        if version.era() != era || self.version.era() != era {
            return;
        }
        let fencing = claim.row.row.fencing;
        if fencing == self.given_up {
            // Other hosts may already rely on no order following under this
            // token.
            return;
        }
        let until = claim.claimed_at.after(LEASE_TTL);
        self.permit = Some(OrderPermit { fencing, until });
    }

    /// Records that this process uses the lease; returns whether this is its
    /// first use.
    pub fn record_use(&mut self) -> bool {
        !std::mem::replace(&mut self.is_used, true)
    }

    /// Returns whether the deployment has settled, so that models may be moved.
    pub fn is_settled(&self, now: EpochMillis) -> bool {
        self.settled_at <= now
    }

    /// Returns the time from which models may be moved.
    pub fn settled_at(&self) -> EpochMillis {
        self.settled_at
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

    /// Returns the row as last read, with what isn't announced.
    pub fn stored(&self) -> Option<&StoredOrdersRow> {
        self.seen.as_ref()
    }

    /// Returns the row as last read and its version.
    pub fn row(&self) -> Option<(&OrdersRow, StoreVersion)> {
        Some((&self.seen.as_ref()?.row, self.version))
    }
}
