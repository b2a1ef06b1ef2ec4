//! Versions of the platform's store.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Bits of a version below its era.
const NUMBER_BITS: u32 = 48;

/// A version of the platform's store or of one of its rows: the era of the store
/// and the number that the store issued in it.
///
/// A store that comes back from an older copy issues numbers again that stood
/// for other changes before, and enters a new era. Versions are ordered by era
/// first, so a version of an earlier era is always older. Only numbers are sent
/// to the store.
///
/// In era 0, that of a store that never came back from a copy, a version is
/// encoded as its number.
///
/// # Examples
///
/// ```
/// use celerylead::StoreVersion;
///
/// let before = StoreVersion::new(0, 120);
/// let after = StoreVersion::new(1, 95);
/// assert!(before < after);
/// assert_eq!((after.era(), after.number()), (1, 95));
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct StoreVersion(u64);

impl StoreVersion {
    /// The largest number that a version can hold.
    pub const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;

    /// Returns the version of this number in this era. Numbers above
    /// [`MAX_NUMBER`](Self::MAX_NUMBER) are limited to it.
    pub const fn new(era: u16, number: u64) -> StoreVersion {
        let number = if number < StoreVersion::MAX_NUMBER {
            number
        } else {
            StoreVersion::MAX_NUMBER
        };
        StoreVersion((era as u64) << NUMBER_BITS | number)
    }

    /// Returns the era in which the store issued the number.
    pub const fn era(self) -> u16 {
        (self.0 >> NUMBER_BITS) as u16
    }

    /// Returns the number that the store issued; 0 stands for a row that doesn't
    /// exist.
    pub const fn number(self) -> u64 {
        self.0 & StoreVersion::MAX_NUMBER
    }
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.era(), self.number())
    }
}
