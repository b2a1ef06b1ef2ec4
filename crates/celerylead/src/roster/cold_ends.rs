//! The times until which runners are cold, by the rows that state them.

use super::entry::RunnerFacts;
use crate::{
    clock::EpochMillis, sorted::SortedTable, store_version::StoreVersion,
};

/// Remembers when the latest row of each cold runner was first read.
///
/// A row states for how long its runner was still cold when the row was
/// written. Each host counts from the time at which it first read the row, so
/// that it never takes the runner for warm too early. A row that is read once
/// more, as with a snapshot of the registry, doesn't make its runner cold
/// again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ColdEnds {
    /// Version of the row, and the time until which it makes the runner cold.
    rows: SortedTable<String, (StoreVersion, EpochMillis)>,
}

impl ColdEnds {
    /// Takes in a row of this version, whose time was counted from now. If the
    /// row was read before, its first reading decides. Returns whether the
    /// runner is cold by this row.
    pub fn settle(
        &mut self,
        version: StoreVersion,
        facts: &mut RunnerFacts,
    ) -> bool {
        if facts.cold_until == EpochMillis::default() {
            self.rows.remove(&facts.id);
            return false;
        }
        let read = (version, facts.cold_until);
        let row = self.rows.entry(facts.id.clone(), || read);
        if row.0 == version {
            facts.cold_until = row.1;
        } else {
            *row = read;
        }
        true
    }

    /// Forgets a runner that is gone.
    pub fn remove(&mut self, runner: &str) {
        self.rows.remove(runner);
    }
}
