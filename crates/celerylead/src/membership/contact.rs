//! Tracks how long hosts have been in uninterrupted contact with the registry.
//!
//! A registry entry that is missing after an outage may merely have expired
//! because its runner couldn't renew it. A host that alone lost its connection
//! can't recognize this from its own calls. Other hosts can: each reports how
//! long the registry has answered it without a gap. Hosts exchange durations
//! rather than points in time, so their clocks are never compared.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::EpochMillis;

/// Longest time between answers that doesn't count as a registry outage.
/// Registry entries expire after several seconds without renewal.
const MAX_ANSWER_GAP: Duration = Duration::from_millis(1_500);
/// Age from which the report of another host is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// This host's contact with the registry.
///
/// # Examples
///
/// ```
/// use celerylead::{EpochMillis, membership::RegistryContact};
///
/// let mut contact = RegistryContact::default();
/// contact.record_answer(EpochMillis(1_000), EpochMillis(1_010));
/// contact.record_answer(EpochMillis(2_000), EpochMillis(2_010));
/// assert_eq!(contact.steady_ms(EpochMillis(2_500)), 1_500);
/// assert_eq!(contact.steady_ms(EpochMillis(9_000)), 0);
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub struct RegistryContact {
    /// Start of the current period of uninterrupted contact.
    since: EpochMillis,
    /// Time of the last answer, if there was one.
    answered_at: Option<EpochMillis>,
}

impl RegistryContact {
    /// Records that a call that began at `began` was answered. Returns the
    /// time of the previous answer if the registry was unavailable between
    /// the two.
    pub fn record_answer(
        &mut self,
        began: EpochMillis,
        now: EpochMillis,
    ) -> Option<EpochMillis> {
        let last = self.answered_at.replace(now);
        if last.is_some_and(|last| began <= last.after(MAX_ANSWER_GAP)) {
            return None;
        }
        self.since = began;
        last
    }

    /// Returns the duration of the current uninterrupted contact in
    /// milliseconds, or 0 during a gap.
    pub fn steady_ms(self, now: EpochMillis) -> u64 {
        match self.answered_at {
            Some(last) if now <= last.after(MAX_ANSWER_GAP) => {
                self.since.until(now).as_millis() as u64
            }
            _ => 0,
        }
    }
}

/// The longest uninterrupted contact that another host reported recently.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub struct PeerContact {
    since: EpochMillis,
    reported_at: EpochMillis,
}

impl PeerContact {
    /// Records a report of another host.
    pub fn record_report(&mut self, steady_ms: u64, now: EpochMillis) {
        let since = EpochMillis(now.0.saturating_sub(steady_ms));
        let stale = self.reported_at.after(MAX_REPORT_AGE) <= now;
        if 0 < steady_ms && (stale || since <= self.since) {
            *self = PeerContact { since, reported_at: now };
        }
    }

    /// Returns whether another host has been in uninterrupted contact with the
    /// registry since `from`.
    pub fn covers(self, from: EpochMillis, now: EpochMillis) -> bool {
        now < self.reported_at.after(MAX_REPORT_AGE) && self.since <= from
    }
}
