//! Which models in demand no runner holds, and for how long.
//!
//! A model may be missing because its demand isn't known yet, because no place
//! was planned for it, because its load wasn't ordered or because the load
//! takes long. The record keeps the time of each step, so that the delay can be
//! told from the log of the lease holder alone.

use serde::{Deserialize, Serialize};

use super::demand::ModelDemand;
use crate::{clock::EpochMillis, sorted::SortedTable};

/// A model in demand that no runner holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct MissingModel {
    /// Time from which it has been missing while it was in demand.
    pub since: EpochMillis,
    /// Time of the first order of a load since then.
    pub ordered_at: Option<EpochMillis>,
    /// Demand as last known, in tokens per second.
    pub demand: u64,
}

/// What has changed for a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReachChange {
    /// It is in demand and no runner holds it.
    Missing,
    /// A runner holds it now.
    Held,
    /// It isn't in demand any more.
    Unwanted,
}

/// The models in demand that no runner holds.
///
/// # Examples
///
/// ```
/// use celerylead::{
///     EpochMillis,
///     placement::{ModelDemand, ReachChange, ReachLog},
/// };
///
/// let demand: ModelDemand = [("outline".to_owned(), 90)].into_iter().collect();
/// let mut log = ReachLog::default();
/// let changes = log.update(&demand, |_| false, EpochMillis(1_000));
/// assert_eq!(changes[0].1, ReachChange::Missing);
/// let changes = log.update(&demand, |_| true, EpochMillis(4_000));
/// assert_eq!(changes[0].1, ReachChange::Held);
/// assert_eq!(changes[0].2.since, EpochMillis(1_000));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReachLog {
    missing: SortedTable<String, MissingModel>,
}

impl ReachLog {
    /// Updates the record to the current demand, in which pairs of model and
    /// adapter are ignored. Returns the models that have changed, with their
    /// record.
    pub fn update(
        &mut self,
        demand: &ModelDemand,
        is_held: impl Fn(&str) -> bool,
        now: EpochMillis,
    ) -> Vec<(String, ReachChange, MissingModel)> {
        let mut changes = Vec::new();
        self.missing.retain(|name, missing| {
            let change = match demand.get(name) {
                _ if is_held(name) => ReachChange::Held,
                None => ReachChange::Unwanted,
                Some(rate) => {
                    missing.demand = *rate;
                    return true;
                }
            };
            changes.push((name.clone(), change, *missing));
            false
        });
        for (name, rate) in demand.iter() {
            let is_adapter = name.contains(':');
            if is_adapter || self.missing.get(name).is_some() || is_held(name)
            {
                continue;
            }
            let missing =
                MissingModel { since: now, ordered_at: None, demand: *rate };
            self.missing.insert(name.clone(), missing);
            changes.push((name.clone(), ReachChange::Missing, missing));
        }
        changes
    }

    /// Records that a load of a model was ordered.
    pub fn record_order(&mut self, model: &str, now: EpochMillis) {
        if let Some(missing) = self.missing.get_mut(model) {
            missing.ordered_at.get_or_insert(now);
        }
    }

    /// Iterates over the missing models, sorted by name.
    pub fn missing(&self) -> impl Iterator<Item = (&str, &MissingModel)> {
        self.missing.iter().map(|(name, missing)| (name.as_str(), missing))
    }
}
