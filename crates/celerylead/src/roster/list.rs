//! The roster and what changes it.

use std::time::Duration;

use super::entry::{Lapsed, Listed, RosterEntry, RunnerFacts};
use crate::{clock::EpochMillis, sorted::SortedTable};

/// Time after the registry's return within which a live runner is listed
/// again; the platform's own promise.
const LAPSE_GRACE: Duration = Duration::from_millis(2_000);

/// What the registry says.
#[derive(Clone, Debug, PartialEq)]
pub enum RosterChange {
    /// An entry as it now stands.
    Listed(RunnerFacts),
    /// An entry is missing, or can't be understood any more.
    Withdrawn(String),
}

/// The runners that may be used.
///
/// # Examples
///
/// ```
/// use celerylead::roster::RunnerRoster;
///
/// let roster = RunnerRoster::default();
/// assert_eq!(roster.facts().count(), 0);
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunnerRoster {
    listed: SortedTable<String, RosterEntry<Listed>>,
    lapsed: SortedTable<String, RosterEntry<Lapsed>>,
    /// Point until which a missing entry may only have lapsed.
    lapse_grace_until: EpochMillis,
}

impl RunnerRoster {
    /// Notes that the registry is back after it was away.
    pub fn registry_returned(&mut self, now: EpochMillis) {
        self.lapse_grace_until = now.after(LAPSE_GRACE);
    }

    /// Notes that the registry wasn't away after all, only this host was: a
    /// missing entry is gone. Tells whether one was held as lapsed.
    pub fn registry_was_steady(&mut self) -> bool {
        self.lapse_grace_until = EpochMillis::default();
        let held = !self.lapsed.is_empty();
        self.lapsed = SortedTable::default();
        held
    }

    /// Takes one change into account.
    pub fn change(&mut self, change: RosterChange, now: EpochMillis) {
        match change {
            RosterChange::Listed(facts) => {
                self.lapsed.remove(&facts.id);
                let id = facts.id.clone();
                self.listed.insert(id, RosterEntry::listed(facts));
            }
            RosterChange::Withdrawn(id) => self.withdraw(&id, now),
        }
    }

    /// Takes a whole reading of the registry into account.
    pub fn replace(&mut self, facts: Vec<RunnerFacts>, now: EpochMillis) {
        let missing: Vec<String> = self
            .listed
            .keys()
            .filter(|id| !facts.iter().any(|facts| facts.id == **id))
            .cloned()
            .collect();
        for id in missing {
            self.withdraw(&id, now);
        }
        for facts in facts {
            self.change(RosterChange::Listed(facts), now);
        }
    }

    /// Drops entries that were missing for too long; tells whether any was.
    pub fn expire(&mut self, now: EpochMillis) -> bool {
        let before = self.lapsed.len();
        self.lapsed.retain(|_, entry| now < entry.state.gone_at);
        self.lapsed.len() < before
    }

    /// Returns the next point at which an entry is gone.
    pub fn next_expiry(&self) -> Option<EpochMillis> {
        self.lapsed.values().map(|entry| entry.state.gone_at).min()
    }

    /// Iterates over what the runners in use say.
    pub fn facts(&self) -> impl Iterator<Item = &RunnerFacts> {
        let listed = self.listed.values().map(|entry| &entry.facts);
        listed.chain(self.lapsed.values().map(|entry| &entry.facts))
    }

    fn withdraw(&mut self, id: &str, now: EpochMillis) {
        let Some(entry) = self.listed.remove(id) else { return };
        if now < self.lapse_grace_until && !entry.facts.leaving {
            let entry = entry.lapse(self.lapse_grace_until);
            self.lapsed.insert(id.to_owned(), entry);
        }
    }
}
