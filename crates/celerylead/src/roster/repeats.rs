//! Rows of the registry that were written again without a change.

use bytes::Bytes;

use crate::sorted::SortedTable;

/// Tells changed rows of the registry from those that were only written again,
/// as each runner does about once a second.
///
/// # Examples
///
/// ```
/// use celerylead::roster::RepeatFilter;
///
/// let mut filter = RepeatFilter::default();
/// assert!(filter.admit("i-1", Some(b"ready")));
/// assert!(!filter.admit("i-1", Some(b"ready")));
/// // A row that was removed is new when it returns.
/// assert!(filter.admit("i-1", None));
/// assert!(filter.admit("i-1", Some(b"ready")));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RepeatFilter {
    values: SortedTable<String, Bytes>,
}

impl RepeatFilter {
    /// Records a row, or its removal (`None`), in the order of the feed. Returns
    /// whether it says anything new.
    pub fn admit(&mut self, key: &str, value: Option<&[u8]>) -> bool {
        let Some(value) = value else {
            self.values.remove(key);
            return true;
        };
        if self.values.get(key).is_some_and(|known| known == value) {
            return false;
        }
        self.values.insert(key.to_owned(), Bytes::copy_from_slice(value));
        true
    }

    /// Admits the next row of this key even if it isn't changed: it states a
    /// time that counts from when it was written.
    pub fn forget(&mut self, key: &str) {
        self.values.remove(key);
    }
}
