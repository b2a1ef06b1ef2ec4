//! An entry of the roster, with its life cycle as types.

use serde::{Deserialize, Serialize};

use crate::clock::EpochMillis;

/// A model that a runner holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HeldModel {
    /// Name.
    pub name: String,
    /// Names of its adapters there.
    pub adapters: Vec<String>,
}

/// What a runner says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RunnerFacts {
    /// Identity of this start of the runner.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Address, as `IP:PORT`.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Point of its start, where it says so: a runner may start again under
    /// its old identity.
    pub born: Option<u64>,
    /// Models that it holds.
    pub models: Vec<HeldModel>,
    /// Models of which it keeps a copy outside the accelerator.
    pub copies: Vec<String>,
    /// Orders that it has accepted since its start.
    pub orders: u64,
}

impl RunnerFacts {
    /// Returns the model of this name, where the runner holds it.
    pub fn model(&self, name: &str) -> Option<&HeldModel> {
        self.models.iter().find(|held| held.name == name)
    }

    /// Tells whether this is the same start of the same runner.
    pub fn is_same_start(&self, other: &RunnerFacts) -> bool {
        self.id == other.id && self.born == other.born
    }
}

/// State: the registry lists it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Listed(());

/// State: it was missing just after the registry was away.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lapsed {
    /// Point from which it is gone unless it is listed again.
    pub gone_at: EpochMillis,
}

/// An entry in state `S`.
#[derive(Clone, Debug, PartialEq)]
pub struct RosterEntry<S> {
    /// What the runner says.
    pub facts: RunnerFacts,
    /// State of the entry.
    pub state: S,
}

impl RosterEntry<Listed> {
    /// Makes the entry of a runner that the registry lists.
    pub fn listed(facts: RunnerFacts) -> RosterEntry<Listed> {
        RosterEntry { facts, state: Listed(()) }
    }

    /// Keeps the entry in use until `gone_at` though it is missing.
    pub fn lapse(self, gone_at: EpochMillis) -> RosterEntry<Lapsed> {
        RosterEntry { facts: self.facts, state: Lapsed { gone_at } }
    }
}
