//! Which availability zones the operator has evacuated.

use serde::{Deserialize, Serialize};

use crate::{sorted::SortedTable, store_version::StoreVersion};

/// Most zones that are kept; a platform has a few. Marks beyond that are
/// mistakes of the writer.
const MAX_ZONES: usize = 64;
/// Longest name of a zone that is kept, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// The newest word on one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ZoneMark {
    /// Version of the row's last change in the store.
    pub version: StoreVersion,
    /// Whether the row exists, and so the zone is evacuated.
    pub is_evacuated: bool,
}

/// The zones whose runners are to get nothing more, by the newest change of the
/// row of each. A withdrawn evacuation is kept as a mark, so that an older
/// word of another host doesn't revive it.
///
/// # Examples
///
/// ```
/// use celerylead::{StoreVersion, catalog::EvacuationList};
///
/// let mut list = EvacuationList::default();
/// assert!(list.apply("kgn", StoreVersion::new(0, 7), true));
/// assert!(list.is_evacuated("kgn"));
/// assert!(list.apply("kgn", StoreVersion::new(0, 9), false));
/// // What another host still believes is older.
/// assert!(!list.apply("kgn", StoreVersion::new(0, 7), true));
/// assert!(!list.is_evacuated("kgn"));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EvacuationList {
    marks: SortedTable<String, ZoneMark>,
}

impl EvacuationList {
    /// Applies a change of a zone's row. Returns whether it is newer than what
    /// was known.
    pub fn apply(
        &mut self,
        zone: &str,
        version: StoreVersion,
        is_evacuated: bool,
    ) -> bool {
        let known = self.marks.get(zone);
        if known.is_some_and(|mark| version <= mark.version)
            || MAX_NAME_BYTES < zone.len()
        {
            return false;
        }
        let mark = ZoneMark { version, is_evacuated };
        self.marks.insert(zone.to_owned(), mark);
        self.trim();
        true
    }

    /// Applies a reading of the whole table at `version`, in which the zones
    /// of `present` have a row of this version. Zones that it lacks aren't
    /// evacuated. Returns whether anything is new.
    pub fn replace(
        &mut self,
        present: &[(&str, StoreVersion)],
        version: StoreVersion,
    ) -> bool {
        let absent: Vec<String> = self
            .evacuated()
            .filter(|zone| present.iter().all(|(name, _)| name != zone))
            .map(str::to_owned)
            .collect();
        let mut changed = false;
        for zone in absent {
            changed |= self.apply(&zone, version, false);
        }
        for (zone, version) in present {
            changed |= self.apply(zone, *version, true);
        }
        changed
    }

    /// Applies what another host knows. Returns whether anything is new.
    pub fn merge(&mut self, other: &EvacuationList) -> bool {
        let mut changed = false;
        for (zone, mark) in other.marks.iter() {
            changed |= self.apply(zone, mark.version, mark.is_evacuated);
        }
        changed
    }

    /// Returns whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.marks.get(zone).is_some_and(|mark| mark.is_evacuated)
    }

    /// Iterates over the evacuated zones, in the order of their names.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        let marks = self.marks.iter().filter(|(_, mark)| mark.is_evacuated);
        marks.map(|(zone, _)| zone.as_str())
    }

    /// Returns whether no zone was ever evacuated, as far as is known.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    /// Drops the oldest marks beyond [`MAX_ZONES`], withdrawn ones first.
    fn trim(&mut self) {
        while MAX_ZONES < self.marks.len() {
            let oldest = self
                .marks
                .iter()
                .min_by_key(|(_, mark)| (mark.is_evacuated, mark.version))
                .map(|(zone, _)| zone.clone());
            let Some(oldest) = oldest else { return };
            self.marks.remove(&oldest);
        }
    }
}
