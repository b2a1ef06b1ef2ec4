//! Leases of hosts.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    clock::{ClockBound, EpochMillis},
    placement::ModelDemand,
};

/// One incarnation of a host. An incarnation ends when the process ends.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub struct HostTag {
    /// Name of the host.
    pub host: String,
    /// Number of the incarnation, starting at 1.
    pub incarnation: u64,
}

/// Phase of a host lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeasePhase {
    /// The host takes requests, and holds the parts of customers' rates and
    /// the runners assigned to it.
    Serving,
    /// The host finishes its requests; other hosts may take what it held.
    Released,
}

/// Lease row of a host in the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HostLease {
    /// Host and incarnation that own the lease.
    pub tag: HostTag,
    /// Random number by which the process recognizes its own row.
    pub nonce: u64,
    /// Availability zone of the host.
    pub zone: String,
    /// Address at which other hosts reach the host.
    pub peer_address: String,
    /// Time until which the host holds short-term resources, such as runners
    /// and the elastic parts of rates.
    pub deadline: EpochMillis,
    /// Time until which the host holds the standing parts of rates.
    pub standing_deadline: EpochMillis,
    /// Revision of the settings in force on the host.
    pub revision: u64,
    /// Phase of the lease.
    pub phase: LeasePhase,
    /// Demand at the host by model, in tokens per second.
    pub demand: ModelDemand,
}

impl HostLease {
    /// Returns whether the host may act on this lease at `now`.
    pub fn is_live(&self, now: ClockBound) -> bool {
        self.phase == LeasePhase::Serving
            && now.definitely_before(self.deadline)
    }

    /// Returns whether another host may take the short-term resources.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerylead::{
    ///     ClockBound, EpochMillis,
    ///     membership::{HostLease, HostTag, LeasePhase},
    /// };
    ///
    /// let lease = HostLease {
    ///     tag: HostTag { host: "kgn-1".to_owned(), incarnation: 1 },
    ///     nonce: 7,
    ///     zone: "kgn".to_owned(),
    ///     peer_address: "127.0.0.1:7100".to_owned(),
    ///     deadline: EpochMillis(10_000),
    ///     standing_deadline: EpochMillis(70_000),
    ///     revision: 1,
    ///     phase: LeasePhase::Serving,
    ///     demand: Default::default(),
    /// };
    /// // Near the deadline neither the holder nor a successor may act.
    /// let now = ClockBound::around(EpochMillis(10_000));
    /// assert!(!lease.is_live(now) && !lease.has_lapsed(now));
    /// ```
    pub fn has_lapsed(&self, now: ClockBound) -> bool {
        self.phase == LeasePhase::Released
            || now.definitely_after(self.deadline)
    }

    /// Returns whether another host may take the standing parts of rates that
    /// the host of this lease holds.
    pub fn has_standing_lapsed(&self, now: ClockBound) -> bool {
        self.phase == LeasePhase::Released
            || now.definitely_after(self.standing_deadline)
    }
}

/// Longest pause of the process after which it still trusts its own lease.
pub const MAX_PAUSE: Duration = Duration::from_millis(3_000);

/// The host's own lease, as confirmed by the table service.
///
/// Only a lease that was read back from the table counts as held. A process
/// that was paused for longer than [`MAX_PAUSE`] doesn't use its lease until
/// it has read its row again, as another host may have learned meanwhile
/// that this host is gone.
#[derive(Clone, Debug, Default)]
pub struct HeldLease {
    lease: Option<HostLease>,
    /// Time at which the process was last known to run.
    last_tick: EpochMillis,
    /// Time at which the process resumed from a long pause, until the row is
    /// read again.
    resumed_at: Option<EpochMillis>,
}

impl HeldLease {
    /// Records that the process is running. Must be called more often than
    /// once per [`MAX_PAUSE`].
    pub fn tick(&mut self, now: EpochMillis) {
        let first = self.last_tick == EpochMillis::default();
        if !first && self.last_tick.after(MAX_PAUSE) < now {
            self.resumed_at = Some(now);
        }
        self.last_tick = self.last_tick.max(now);
    }

    /// Adopts the row as read back from the table by a read that began at
    /// `read_from`; `None` if the row belongs to another process.
    pub fn confirm(
        &mut self,
        lease: Option<&HostLease>,
        read_from: EpochMillis,
        now: EpochMillis,
    ) {
        self.tick(now);
        if self.resumed_at.is_some_and(|resumed_at| resumed_at <= read_from) {
            self.resumed_at = None;
        }
        self.lease = lease.cloned();
    }

    /// Gives up the lease.
    pub fn give_up(&mut self) {
        self.lease = None;
    }

    /// Returns the lease as last confirmed.
    pub fn lease(&self) -> Option<&HostLease> {
        self.lease.as_ref()
    }

    /// Returns whether the short-term resources may be used at `now`.
    pub fn is_live(&self, now: ClockBound) -> bool {
        self.lease.as_ref().is_some_and(|lease| lease.is_live(now))
            && self.is_unpaused(now)
    }

    /// Returns whether the host may use its standing parts of rates at `now`.
    pub fn is_standing_live(&self, now: ClockBound) -> bool {
        let valid = self.lease.as_ref().is_some_and(|lease| {
            lease.phase == LeasePhase::Serving
                && now.definitely_before(lease.standing_deadline)
        });
        valid && self.is_unpaused(now)
    }

    /// Returns whether the process ran without a long pause up to `now`,
    /// including a pause immediately before this call.
    fn is_unpaused(&self, now: ClockBound) -> bool {
        self.resumed_at.is_none()
            && now.latest <= self.last_tick.after(MAX_PAUSE)
    }
}
