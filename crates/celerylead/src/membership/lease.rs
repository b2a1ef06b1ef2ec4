//! The lease of a host.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    clock::{ClockBound, EpochMillis},
    placement::ModelDemand,
};

/// A host in one of its lives: an incarnation ends with its process.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub struct HostTag {
    /// Name of the host.
    pub host: String,
    /// Number of the incarnation, from 1.
    pub incarnation: u64,
}

/// What a host does at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeasePhase {
    /// Takes requests and holds what falls to it.
    Serving,
    /// Ends its requests; what it held is free.
    Released,
}

/// Row of a host in the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HostLease {
    /// Whose lease it is.
    pub tag: HostTag,
    /// Random number of the process, by which it knows its own row.
    pub nonce: u64,
    /// Availability zone of the host.
    pub zone: String,
    /// Address at which other hosts reach it.
    pub peer_address: String,
    /// Point up to which it holds what moves quickly.
    pub deadline: EpochMillis,
    /// Point up to which it holds the standing parts of rates.
    pub standing_deadline: EpochMillis,
    /// Revision of the settings that it has in force.
    pub revision: u64,
    /// What it does.
    pub phase: LeasePhase,
    /// Tokens a second that it was asked for, by model.
    pub demand: ModelDemand,
}

impl HostLease {
    /// Tells whether the host may act on this lease at `now`.
    pub fn is_live(&self, now: ClockBound) -> bool {
        self.phase == LeasePhase::Serving
            && now.definitely_before(self.deadline)
    }

    /// Tells whether another may take what moves quickly.
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
    /// // Around the deadline neither the holder nor a successor may act.
    /// let now = ClockBound::around(EpochMillis(10_000));
    /// assert!(!lease.is_live(now) && !lease.has_lapsed(now));
    /// ```
    pub fn has_lapsed(&self, now: ClockBound) -> bool {
        self.phase == LeasePhase::Released
            || now.definitely_after(self.deadline)
    }

    /// Tells whether another may take the standing parts.
    pub fn has_standing_lapsed(&self, now: ClockBound) -> bool {
        self.phase == LeasePhase::Released
            || now.definitely_after(self.standing_deadline)
    }
}

/// Longest pause of a process after which it still trusts its standing
/// parts.
pub const MAX_PAUSE: Duration = Duration::from_millis(3_000);

/// The host's own lease, as far as it knows that it holds it.
///
/// Only what was read back from the table counts as held. A process that was
/// stopped for longer than [`MAX_PAUSE`] trusts nothing of it until it has
/// read its row again: another may have been told that it is gone.
#[derive(Clone, Debug, Default)]
pub struct HeldLease {
    lease: Option<HostLease>,
    /// Point at which the process was last seen to run.
    last_tick: EpochMillis,
    /// Point at which it woke from a long pause since the last reading.
    resumed_at: Option<EpochMillis>,
}

impl HeldLease {
    /// Notes that the process runs; called often.
    pub fn tick(&mut self, now: EpochMillis) {
        let first = self.last_tick == EpochMillis::default();
        if !first && self.last_tick.after(MAX_PAUSE) < now {
            self.resumed_at = Some(now);
        }
        self.last_tick = self.last_tick.max(now);
    }

    /// Takes over the row as read back from the table by a reading that
    /// began at `read_from`; `None` where the row is another's.
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

    /// Returns the lease last confirmed.
    pub fn lease(&self) -> Option<&HostLease> {
        self.lease.as_ref()
    }

    /// Tells whether what moves quickly may be used at `now`.
    pub fn is_live(&self, now: ClockBound) -> bool {
        self.lease.as_ref().is_some_and(|lease| lease.is_live(now))
            && self.is_unpaused(now)
    }

    /// Tells whether standing parts may be used at `now`.
    pub fn is_standing_live(&self, now: ClockBound) -> bool {
        let held = self.lease.as_ref().is_some_and(|lease| {
            lease.phase == LeasePhase::Serving
                && now.definitely_before(lease.standing_deadline)
        });
        held && self.is_unpaused(now)
    }

    /// Tells whether the process ran without a long pause up to `now`; a
    /// pause just before this very call counts.
    fn is_unpaused(&self, now: ClockBound) -> bool {
        self.resumed_at.is_none()
            && now.latest <= self.last_tick.after(MAX_PAUSE)
    }
}
