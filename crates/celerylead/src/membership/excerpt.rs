//! Reading of the registry by one host for its availability zone.
//!
//! Every host has to know the registry, and each read of it has a cost that
//! grows with the fleet. One host of each zone, the *reader*, therefore
//! follows the registry's feed and passes each answer on to the other hosts of
//! the zone as a [`FeedExcerpt`]. The others follow the excerpts. Nothing
//! depends on who the reader is, or on there being exactly one:
//!
//! * An excerpt states the position in the feed that it continues. A host
//!   applies it only at that position, and reads the registry itself if it
//!   has missed one.
//! * A host without a fresh excerpt reads the registry itself, soon enough for
//!   the bounds that hold for changes of the registry.
//! * An excerpt may be delayed on its way, or be received long after it
//!   arrived by a process that was paused. It is therefore as old as the
//!   store's answer that it holds, and states the store's time of that
//!   answer. Each host knows the store's clock from its own reads.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::rendezvous::best_host;
use crate::{clock::EpochMillis, store_version::StoreVersion};

/// Age of the last known answer of the registry from which a host reads the
/// registry itself. The shortest bound on how late a host may learn of a
/// change is 2,000 ms.
pub(super) const MAX_EXCERPT_AGE: Duration = Duration::from_millis(1_300);
/// Name under which the reader of a zone is chosen.
const READER_ROLE: &str = "registry-reader";
/// Size up to which excerpts are filled, in bytes of keys and values; well
/// below the largest datagram.
const MAX_EXCERPT_BYTES: usize = 8 << 10;

/// A changed row of the registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ExcerptRow {
    /// Key of the row.
    pub key: String,
    /// Version of the row's last change.
    pub version: StoreVersion,
    /// Value of the row; `None` if it was removed.
    pub value: Option<Vec<u8>>,
}

/// A continuous part of the registry's feed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct FeedExcerpt {
    /// Position in the feed that the excerpt continues, as a version.
    pub after: StoreVersion,
    /// Position after the excerpt.
    pub version: StoreVersion,
    /// Time of the store's answer by the store's clock.
    pub store_time: EpochMillis,
    /// Revision of the configuration in force at the sender.
    pub revision: u64,
    /// Whether the sender's own readings of the configuration lately showed that
    /// there is none above `revision`.
    pub is_newest: bool,
    /// The changes between the two positions, in the order of their versions.
    pub rows: Vec<ExcerptRow>,
}

/// The revision of the configuration that another host of the zone has.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub struct RevisionNews {
    /// The revision.
    pub revision: u64,
    /// Whether the other host's own readings lately showed none above it.
    pub is_newest: bool,
    /// Time up to which the other host was in contact with the store.
    pub known_at: EpochMillis,
}

impl RevisionNews {
    /// Returns the time until which the news is current, so that a newer
    /// revision would be known from the other host.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerylead::{EpochMillis, membership::RevisionNews};
    ///
    /// let known_at = EpochMillis(1_000);
    /// let news = RevisionNews { revision: 4, is_newest: true, known_at };
    /// assert_eq!(news.current_until(), EpochMillis(2_300));
    /// ```
    pub fn current_until(self) -> EpochMillis {
        self.known_at.after(MAX_EXCERPT_AGE)
    }
}

impl FeedExcerpt {
    /// Splits an excerpt into some that each fit into a datagram. Rows of one
    /// version stay together. Where they don't fit, or don't state a version
    /// beyond the position, the rest of the excerpt is left out, and the other
    /// hosts read it from the registry.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerylead::{StoreVersion, membership::FeedExcerpt};
    ///
    /// let (after, version) = (StoreVersion::new(0, 4), StoreVersion::new(0, 9));
    /// let answer = FeedExcerpt { after, version, ..Default::default() };
    /// assert_eq!(answer.clone().split(), [answer]);
    /// ```
    pub fn split(self) -> Vec<FeedExcerpt> {
        let FeedExcerpt {
            mut after,
            version,
            store_time,
            revision,
            is_newest,
            rows,
        } = self;
        let mut excerpts = Vec::new();
        let mut open: Vec<ExcerptRow> = Vec::new();
        let mut size = 0;
        for group in rows.chunk_by(|one, other| one.version == other.version) {
            let bytes: usize = group.iter().map(ExcerptRow::size).sum();
            let last = open.last().map(|row| row.version);
            if let Some(last) = last
                && MAX_EXCERPT_BYTES < size + bytes
            {
                let rows = std::mem::take(&mut open);
                let version = last;
                excerpts.push(FeedExcerpt {
                    after,
                    version,
                    store_time,
                    revision,
                    is_newest,
                    rows,
                });
                (after, size) = (last, 0);
            }
            let is_behind = group.iter().any(|row| row.version <= after);
            if MAX_EXCERPT_BYTES < bytes || is_behind {
                return excerpts;
            }
            size += bytes;
            open.extend_from_slice(group);
        }
        let rows = open;
        excerpts.push(FeedExcerpt {
            after,
            version,
            store_time,
            revision,
            is_newest,
            rows,
        });
        excerpts
    }
}

impl ExcerptRow {
    fn size(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Vec::len)
    }
}

/// What a host does with an excerpt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExcerptVerdict {
    /// The excerpt reaches the host's position or continues it: apply the
    /// rows beyond it.
    Apply,
    /// The host is past the excerpt.
    Stale,
    /// The host has missed an excerpt before this one and has to read the
    /// registry itself.
    Missed,
}

/// Position of a host in the registry's feed, by excerpts and by own reads.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedFollower {
    /// Smallest time from an answer by the store's clock to its receipt by
    /// this host's clock, in milliseconds. It holds the distance of the clocks
    /// and the time on the way.
    store_lag_ms: Option<i64>,
    /// Time from which the host reads the registry itself.
    read_due: EpochMillis,
}

impl FeedFollower {
    /// Records that this host received an answer of the store itself.
    pub fn record_read(&mut self, store_time: EpochMillis, now: EpochMillis) {
        let lag = signed(now) - signed(store_time);
        let lag = self.store_lag_ms.map_or(lag, |known| known.min(lag));
        self.store_lag_ms = Some(lag);
        self.read_due = now.after(MAX_EXCERPT_AGE);
    }

    /// Decides on an excerpt at the position `after`. The rows of an old
    /// excerpt are applied too, but don't put off the host's own read.
    pub fn admit(
        &mut self,
        after: StoreVersion,
        excerpt: &FeedExcerpt,
    ) -> ExcerptVerdict {
        if after < excerpt.after {
            return ExcerptVerdict::Missed;
        }
        if excerpt.version < after {
            return ExcerptVerdict::Stale;
        }
        let due = self.answered_at(excerpt).after(MAX_EXCERPT_AGE);
        self.read_due = self.read_due.max(due);
        ExcerptVerdict::Apply
    }

    /// Returns the time of the store's answer behind an excerpt, by this
    /// host's clock; the epoch while the store's clock isn't known.
    pub fn answered_at(&self, excerpt: &FeedExcerpt) -> EpochMillis {
        let Some(lag) = self.store_lag_ms else {
            return EpochMillis::default();
        };
        let at = signed(excerpt.store_time).saturating_add(lag);
        EpochMillis(u64::try_from(at).unwrap_or(0))
    }

    /// Returns what an excerpt says of the sender's configuration.
    pub fn news(&self, excerpt: &FeedExcerpt) -> RevisionNews {
        let known_at = self.answered_at(excerpt);
        let FeedExcerpt { revision, is_newest, .. } = *excerpt;
        RevisionNews { revision, is_newest, known_at }
    }

    /// Returns the time from which the host reads the registry itself.
    pub fn read_due(&self) -> EpochMillis {
        self.read_due
    }
}

/// Returns whether `own` reads the registry for its zone, of which
/// `neighbours` are the other live hosts.
///
/// # Examples
///
/// ```
/// use celerylead::membership::is_zone_reader;
///
/// assert!(is_zone_reader("kgn-1", []));
/// let first = is_zone_reader("kgn-1", ["kgn-2"]);
/// assert_ne!(first, is_zone_reader("kgn-2", ["kgn-1"]));
/// ```
pub fn is_zone_reader<'a>(
    own: &'a str,
    neighbours: impl IntoIterator<Item = &'a str>,
) -> bool {
    let hosts = neighbours.into_iter().chain([own]);
    best_host(hosts, READER_ROLE) == Some(own)
}

fn signed(time: EpochMillis) -> i64 {
    i64::try_from(time.0).unwrap_or(i64::MAX)
}
