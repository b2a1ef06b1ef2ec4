//! The roster and its changes.

use std::time::Duration;

use super::entry::{Lapsed, Listed, RosterEntry, RunnerFacts};
use crate::{clock::EpochMillis, sorted::SortedTable};

/// Time after an outage of the registry within which every live runner is
/// listed again, as the platform guarantees.
const LAPSE_GRACE: Duration = Duration::from_millis(2_000);

/// A change that the registry publishes.
#[derive(Clone, Debug, PartialEq)]
pub enum RosterChange {
    /// An entry is new or has changed.
    Listed(RunnerFacts),
    /// The entry of this id is missing, or can no longer be parsed.
    Withdrawn(String),
}

/// The runners that a host may use.
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
    /// Time until which a missing entry may have lapsed during an outage of
    /// the registry, while its runner is still alive.
    lapse_grace_until: EpochMillis,
}

impl RunnerRoster {
    /// Records that the registry is available again after an outage.
    pub fn registry_returned(&mut self, now: EpochMillis) {
        self.lapse_grace_until = now.after(LAPSE_GRACE);
    }

    /// Records that the registry had no outage and only this host was cut
    /// off. Drops the lapsed entries, and returns whether there were any.
    pub fn registry_was_steady(&mut self) -> bool {
        self.lapse_grace_until = EpochMillis::default();
        let had_lapsed = !self.lapsed.is_empty();
        self.lapsed = SortedTable::default();
        had_lapsed
    }

    /// Applies one change.
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

    /// Applies a full snapshot of the registry.
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

    /// Applies a full snapshot of a registry that came back from an older copy.
    /// What the copy states may be outdated until the runner writes its entry
    /// again:
    ///
    /// * A runner that it lacks may be alive, and is kept for a while.
    /// * A runner that isn't known may have left, and isn't listed.
    /// * A runner that is known to leave stays leaving.
    ///
    /// Returns the ids of the latter two, whose next entry counts even if it is
    /// the same as the copied one.
    pub fn restore(
        &mut self,
        facts: Vec<RunnerFacts>,
        now: EpochMillis,
    ) -> Vec<String> {
        self.registry_returned(now);
        let mut outdated = Vec::new();
        let mut listed = Vec::new();
        for mut facts in facts {
            let id = facts.id.as_str();
            let known = self.facts().find(|known| known.id == id);
            let is_leaving = known.is_some_and(|known| {
                known.leaving && !facts.leaving && known.is_same_start(&facts)
            });
            if known.is_none() || is_leaving {
                outdated.push(id.to_owned());
            }
            if known.is_some() {
                facts.leaving |= is_leaving;
                listed.push(facts);
            }
        }
        self.replace(listed, now);
        outdated
    }

    /// Drops the lapsed entries whose time is over, and returns whether there
    /// were any.
    pub fn expire(&mut self, now: EpochMillis) -> bool {
        let before = self.lapsed.len();
        self.lapsed.retain(|_, entry| now < entry.state.gone_at);
        self.lapsed.len() < before
    }

    /// Returns the time at which the next lapsed entry is dropped.
    pub fn next_expiry(&self) -> Option<EpochMillis> {
        self.lapsed.values().map(|entry| entry.state.gone_at).min()
    }

    /// Iterates over the facts of all runners in use, listed or lapsed.
    pub fn facts(&self) -> impl Iterator<Item = &RunnerFacts> {
        let listed = self.listed.values().map(|entry| &entry.facts);
        listed.chain(self.lapsed.values().map(|entry| &entry.facts))
    }

    /// Removes a runner from the listed ones. During the grace after an outage
    /// of the registry, a runner that isn't leaving is kept as lapsed.
    fn withdraw(&mut self, id: &str, now: EpochMillis) {
        let Some(entry) = self.listed.remove(id) else { return };
        if now < self.lapse_grace_until && !entry.facts.leaving {
            let entry = entry.lapse(self.lapse_grace_until);
            self.lapsed.insert(id.to_owned(), entry);
        }
    }
}
