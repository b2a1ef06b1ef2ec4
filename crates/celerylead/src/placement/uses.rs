//! Which models and adapters calls use on each runner, as reported by the
//! hosts.

use std::time::Duration;

use crate::{
    clock::EpochMillis, membership::RunnerLoad, model::ModelName,
    sorted::SortedTable,
};

/// Age at which the report of a host or an aggregator expires: several times
/// the longest time between two reports.
const REPORT_MAX_AGE: Duration = Duration::from_millis(1_500);
/// Age at which a host's answer to a drain expires where its calls are reported
/// by an aggregator: the aggregator's next report includes them.
const ANSWER_MAX_AGE: Duration = Duration::from_millis(600);

/// Models and adapters that calls use, by host or part of a zone, and by runner.
///
/// # Examples
///
/// ```
/// use celerylead::{
///     EpochMillis, membership::RunnerLoad, placement::UseTable,
/// };
///
/// let mut uses = UseTable::default();
/// let load = RunnerLoad {
///     runner: "r-1".to_owned(),
///     calls: 1,
///     tokens: 700,
///     names: vec!["outline:court".parse().unwrap()],
/// };
/// uses.update("front-1", &[load], EpochMillis(0));
/// let name = "outline:court".parse().unwrap();
/// assert!(uses.is_in_use("r-1", &name, EpochMillis(1_000)));
/// assert!(!uses.is_in_use("r-1", &name, EpochMillis(2_000)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct UseTable {
    hosts: SortedTable<String, HostUse>,
}

/// Last report of one source.
#[derive(Clone, Debug)]
struct HostUse {
    expires_at: EpochMillis,
    /// Models and adapters in use, by runner.
    runners: SortedTable<String, Vec<ModelName>>,
}

impl UseTable {
    /// Replaces the report of a host or a part of a zone about its calls.
    pub fn update(
        &mut self,
        source: &str,
        loads: &[RunnerLoad],
        now: EpochMillis,
    ) {
        self.insert(source, loads, now.after(REPORT_MAX_AGE), now);
    }

    /// Records the answer of a host to a drain, beside the reports of the
    /// aggregator of its zone.
    pub fn record_answer(
        &mut self,
        host: &str,
        loads: &[RunnerLoad],
        now: EpochMillis,
    ) {
        self.insert(host, loads, now.after(ANSWER_MAX_AGE), now);
    }

    fn insert(
        &mut self,
        source: &str,
        loads: &[RunnerLoad],
        expires_at: EpochMillis,
        now: EpochMillis,
    ) {
        let loads = loads.iter().filter(|load| !load.names.is_empty());
        let runners =
            loads.map(|load| (load.runner.clone(), load.names.clone()));
        let host_use = HostUse { expires_at, runners: runners.collect() };
        self.hosts.retain(|_, host_use| now < host_use.expires_at);
        self.hosts.insert(source.to_owned(), host_use);
    }

    /// Returns whether a call uses a model or adapter at a runner. A model
    /// counts as in use with any adapter or none; an adapter counts only if a
    /// call uses this one.
    pub fn is_in_use(
        &self,
        runner: &str,
        name: &ModelName,
        now: EpochMillis,
    ) -> bool {
        let matches_name = |used: &ModelName| {
            used.model == name.model
                && (name.adapter.is_none() || used.adapter == name.adapter)
        };
        self.hosts
            .values()
            .filter(|host_use| now < host_use.expires_at)
            .filter_map(|host_use| host_use.runners.get(runner))
            .any(|names| names.iter().any(matches_name))
    }
}
