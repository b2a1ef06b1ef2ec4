//! What a host knows of the newest revision of the configuration.

use std::time::Duration;

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
///
/// let limit = std::time::Duration::from_millis(500);
/// assert!(evidence.shows_newest(7, EpochMillis(1_250), limit));
/// assert!(!evidence.shows_newest(6, EpochMillis(1_250), limit));
/// assert!(!evidence.shows_newest(7, EpochMillis(1_500), limit));
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub struct RevisionEvidence {
    newest: u64,
    /// Time at which the store was last known to have none above `newest`.
    confirmed_at: Option<EpochMillis>,
    /// Whether the configuration that was last written can't be decoded.
    has_unreadable: bool,
}

impl RevisionEvidence {
    /// Records that `revision` exists.
    pub fn hear(&mut self, revision: u64) {
        if self.newest < revision {
            self.newest = revision;
            self.confirmed_at = None;
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

    /// Records whether the configuration that was last written can be decoded.
    /// If it can't, its revision isn't known either.
    pub fn record_decoding(&mut self, is_readable: bool) {
        self.has_unreadable = !is_readable;
    }

    /// Returns whether `own` was the newest revision at some time within `limit`
    /// before `now`, and none above it is known. Only then does a route or key
    /// that it lacks not exist.
    pub fn shows_newest(
        &self,
        own: u64,
        now: EpochMillis,
        limit: Duration,
    ) -> bool {
        let is_recent = self
            .confirmed_at
            .is_some_and(|confirmed_at| now < confirmed_at.after(limit));
        is_recent && self.newest <= own && !self.has_unreadable
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
