//! How long hosts have had the registry without a gap.
//!
//! An entry that is missing after an outage may only have lapsed. A host that
//! was cut off by itself can't tell this from its own calls, but the others
//! can: they tell how long the registry has answered them. Spans are told,
//! not points, so no clocks are compared.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::EpochMillis;

/// Time without an answer after which the registry counts as having been
/// away: entries lapse after several seconds of silence.
const MAX_ANSWER_GAP: Duration = Duration::from_millis(1_500);
/// Age from which what another host told isn't believed.
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
    /// Point since which there was no gap.
    since: EpochMillis,
    /// Last answer, if there was one.
    answered_at: Option<EpochMillis>,
}

impl RegistryContact {
    /// Notes that a call that began at `began` was answered; returns the
    /// last answer before it where the registry was away in between.
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

    /// Returns for how long there was no gap, in milliseconds; 0 where there
    /// is one now.
    pub fn steady_ms(self, now: EpochMillis) -> u64 {
        match self.answered_at {
            Some(last) if now <= last.after(MAX_ANSWER_GAP) => {
                self.since.until(now).as_millis() as u64
            }
            _ => 0,
        }
    }
}

/// The longest contact that another host told lately.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub struct PeerContact {
    since: EpochMillis,
    reported_at: EpochMillis,
}

impl PeerContact {
    /// Takes into account what a host told.
    pub fn record_report(&mut self, steady_ms: u64, now: EpochMillis) {
        let since = EpochMillis(now.0.saturating_sub(steady_ms));
        let stale = self.reported_at.after(MAX_REPORT_AGE) <= now;
        if 0 < steady_ms && (stale || since <= self.since) {
            *self = PeerContact { since, reported_at: now };
        }
    }

    /// Tells whether a host has had the registry since `from`.
    pub fn covers(self, from: EpochMillis, now: EpochMillis) -> bool {
        now < self.reported_at.after(MAX_REPORT_AGE) && self.since <= from
    }
}
