//! What a host knows of the newest revision of the configuration.

use serde::{Deserialize, Serialize};

use crate::clock::EpochMillis;

/// The newest revision of which a host has heard, from the store or from another
/// host, and up to when no newer one was known.
///
/// # Examples
///
/// ```
/// use celerylead::{EpochMillis, catalog::RevisionEvidence};
///
/// let mut evidence = RevisionEvidence::default();
/// evidence.confirm(7, EpochMillis(1_000));
/// assert_eq!(evidence.newest(), 7);
/// assert_eq!(evidence.age_ms(EpochMillis(1_250)), Some(250));
/// // Another host that is behind confirms nothing.
/// evidence.confirm(6, EpochMillis(1_200));
/// assert_eq!(evidence.age_ms(EpochMillis(1_250)), Some(250));
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub struct RevisionEvidence {
    newest: u64,
    /// Time at which the store was last known to have none above `newest`.
    confirmed_at: Option<EpochMillis>,
}

impl RevisionEvidence {
    /// Records that `revision` exists.
    pub fn hear(&mut self, revision: u64) {
        if self.newest < revision {
            *self = RevisionEvidence { newest: revision, confirmed_at: None };
        }
    }

    /// Records that `revision` was the newest one at the time `at`; the epoch
    /// stands for an unknown time. An older revision than a known one says
    /// nothing.
    pub fn confirm(&mut self, revision: u64, at: EpochMillis) {
        self.hear(revision);
        if self.newest == revision && EpochMillis::default() < at {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Returns the newest revision of which the host has heard.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Returns the time since the newest revision was last confirmed, in
    /// milliseconds; `None` if it never was.
    pub fn age_ms(&self, now: EpochMillis) -> Option<u64> {
        let at = self.confirmed_at?;
        Some(at.until(now).as_millis() as u64)
    }
}
