//! Roster entries, with their life cycle as a typestate.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::{EpochMillis, MAX_CLOCK_SKEW};

/// Longest time for which a runner is taken for cold by the word of another
/// host, whose clock may be far ahead.
const MAX_COLD_LEFT: Duration = Duration::from_secs(60);

/// A model that a runner holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HeldModel {
    /// Name of the model.
    pub name: String,
    /// Names of the model's adapters that the runner holds.
    pub adapters: Vec<String>,
}

/// What a runner publishes about itself in the registry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RunnerFacts {
    /// Id of the runner.
    pub id: String,
    /// Service that the runner belongs to.
    pub service: String,
    /// Address, as `IP:PORT`.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Number of requests that the runner runs concurrently.
    pub slots: u32,
    /// Whether the runner is leaving and takes no new work.
    pub leaving: bool,
    /// Start time, if the runner publishes it: a runner may restart under
    /// the same id.
    pub born: Option<u64>,
    /// Models that the runner holds.
    pub models: Vec<HeldModel>,
    /// Models of which the runner keeps a local copy outside the accelerator.
    pub copies: Vec<String>,
    /// Number of orders that the runner has accepted since its start.
    pub orders: u64,
    /// Time until which the runner is cold, by the clock of the host that
    /// read the entry; the epoch if it isn't cold.
    #[serde(default)]
    pub cold_until: EpochMillis,
}

/// One start of a runner; a runner may start again under the same id.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub struct RunnerStart {
    /// Id of the runner.
    pub id: String,
    /// Start time, if the runner publishes it.
    pub born: Option<u64>,
}

impl RunnerFacts {
    /// Returns the model of this name, if the runner holds it.
    pub fn model(&self, name: &str) -> Option<&HeldModel> {
        self.models.iter().find(|model| model.name == name)
    }

    /// Adjusts the time until which the runner is cold, which another host
    /// stated by its own clock, to the clock of this host, which reads `now`.
    pub fn adjust_cold_end(&mut self, now: EpochMillis) {
        if self.cold_until == EpochMillis::default() {
            return;
        }
        let latest = self.cold_until.after(2 * MAX_CLOCK_SKEW);
        self.cold_until = latest.min(now.after(MAX_COLD_LEFT));
    }

    /// Returns whether both describe the same start of the same runner.
    pub fn is_same_start(&self, other: &RunnerFacts) -> bool {
        self.id == other.id && self.born == other.born
    }
}

/// State: the registry lists the entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Listed(());

/// State: the entry was missing just after an outage of the registry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lapsed {
    /// Time at which the entry is dropped unless it is listed again.
    pub gone_at: EpochMillis,
}

/// A roster entry in state `S`.
#[derive(Clone, Debug, PartialEq)]
pub struct RosterEntry<S> {
    /// What the runner publishes.
    pub facts: RunnerFacts,
    /// State of the entry.
    pub state: S,
}

impl RosterEntry<Listed> {
    /// Creates the entry of a runner that the registry lists.
    pub fn listed(facts: RunnerFacts) -> RosterEntry<Listed> {
        RosterEntry { facts, state: Listed(()) }
    }

    /// Keeps the entry in use until `gone_at` although the registry doesn't
    /// list it.
    pub fn lapse(self, gone_at: EpochMillis) -> RosterEntry<Lapsed> {
        RosterEntry { facts: self.facts, state: Lapsed { gone_at } }
    }
}
