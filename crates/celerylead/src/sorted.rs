//! A map stored as a sorted vector.
//!
//! Domain state has tens to thousands of entries that are read far more often
//! than they change. A sorted vector is compact, iterates in a stable order
//! (so that decisions and golden files are reproducible), and a lookup is a
//! binary search within one allocation.

use std::borrow::Borrow;

use serde::{Deserialize, Serialize};

/// A map of key and value pairs, sorted by key, with unique keys.
///
/// # Examples
///
/// ```
/// use celerylead::SortedTable;
///
/// let mut table = SortedTable::default();
/// table.insert("pitea".to_owned(), 2);
/// table.insert("boden".to_owned(), 1);
/// assert_eq!(table.get("pitea"), Some(&2));
/// assert_eq!(table.keys().collect::<Vec<_>>(), ["boden", "pitea"]);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SortedTable<K, V> {
    rows: Vec<(K, V)>,
}

impl<K, V> Default for SortedTable<K, V> {
    fn default() -> Self {
        SortedTable { rows: Vec::new() }
    }
}

impl<K: Ord, V> SortedTable<K, V> {
    /// Returns the value stored under `key`.
    pub fn get<Q>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
        Q: Ord + ?Sized,
    {
        let position = self.position(key).ok()?;
        Some(&self.rows[position].1)
    }

    /// Returns a mutable reference to the value stored under `key`.
    pub fn get_mut<Q>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: Borrow<Q>,
        Q: Ord + ?Sized,
    {
        let position = self.position(key).ok()?;
        Some(&mut self.rows[position].1)
    }

    /// Stores `value` under `key` and returns the previous value, if any.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.position(&key) {
            Ok(position) => {
                Some(std::mem::replace(&mut self.rows[position].1, value))
            }
            Err(position) => {
                self.rows.insert(position, (key, value));
                None
            }
        }
    }

    /// Returns a mutable reference to the value stored under `key`, inserting
    /// the result of `make` if there is none.
    pub fn entry(&mut self, key: K, make: impl FnOnce() -> V) -> &mut V {
        let position = match self.position(&key) {
            Ok(position) => position,
            Err(position) => {
                self.rows.insert(position, (key, make()));
                position
            }
        };
        &mut self.rows[position].1
    }

    /// Removes `key` and returns its value, if any.
    pub fn remove<Q>(&mut self, key: &Q) -> Option<V>
    where
        K: Borrow<Q>,
        Q: Ord + ?Sized,
    {
        let position = self.position(key).ok()?;
        Some(self.rows.remove(position).1)
    }

    /// Keeps only the rows for which `keep` returns true.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.rows.retain_mut(|(key, value)| keep(key, value));
    }

    /// Returns an iterator over the rows, sorted by key.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> + Clone {
        self.rows.iter().map(|(key, value)| (key, value))
    }

    /// Returns an iterator over the rows, sorted by key, with mutable values.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.rows.iter_mut().map(|(key, value)| (&*key, value))
    }

    /// Returns an iterator over the keys, sorted.
    pub fn keys(&self) -> impl Iterator<Item = &K> + Clone {
        self.rows.iter().map(|(key, _)| key)
    }

    /// Returns an iterator over the values, sorted by key.
    pub fn values(&self) -> impl Iterator<Item = &V> + Clone {
        self.rows.iter().map(|(_, value)| value)
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the table has no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the index of a key, or the index at which to insert it.
    fn position<Q>(&self, key: &Q) -> Result<usize, usize>
    where
        K: Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.rows.binary_search_by(|(row_key, _)| row_key.borrow().cmp(key))
    }
}

impl<K: Ord, V> FromIterator<(K, V)> for SortedTable<K, V> {
    fn from_iter<I: IntoIterator<Item = (K, V)>>(rows: I) -> Self {
        let mut table = SortedTable::default();
        for (key, value) in rows {
            table.insert(key, value);
        }
        table
    }
}
