//! Load balancing: the choice of the runner for a request.
//!
//! The load that a runner reports lags behind, so a host counts its own
//! requests in flight and learns the speed of each runner from its answers.
//! A request goes to the runner with the earliest expected completion. The
//! estimate is the tokens reserved on the runner, including the request's
//! own, divided by the learned speed, plus a penalty for another zone and
//! for an adapter that isn't loaded.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    clock::EpochMillis,
    model::ModelName,
    runner::{Joining, Leaving, Runner, RunnerReport, Serving},
    settings::{RunnerSettings, SettingsState, SettingsTree},
    sorted::SortedTable,
};

/// Speed assumed for a runner while no runner of its group has answered.
const DEFAULT_TOKENS_PER_SECOND: f64 = 100.0;
/// Factor by which a runner is assumed to be faster than the fastest known
/// runner of its group, until its first answer.
const UNKNOWN_SPEED_FACTOR: f64 = 2.0;
/// Seconds that a request to another availability zone adds.
const OTHER_ZONE_SECONDS: f64 = 0.004;
/// Seconds that loading an adapter adds.
const ADAPTER_LOAD_SECONDS: f64 = 0.010;
/// Number of consecutive failures after which a runner is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Time for which an ejected runner gets no requests.
const EJECTION_TIME: Duration = Duration::from_secs(2);

/// Requirements of a request, by which its runner is chosen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RouteQuery {
    /// Group of runners that serves the request.
    pub group: String,
    /// Model and adapter, if a model engine serves the request.
    pub model: Option<ModelName>,
    /// Tokens reserved for the request.
    pub tokens: u64,
    /// Runners on which the request failed already.
    pub tried: Vec<String>,
    /// Number of earlier runs of the request that may have happened.
    pub reruns: u32,
}

/// The runner chosen for a request, and the tokens reserved on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RouteChoice {
    /// Name of the runner.
    pub runner: String,
    /// Address of the runner.
    pub address: String,
    /// Tokens reserved on the runner.
    pub tokens: u64,
}

/// The values that decide whether a runner would be chosen for a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RouteReason {
    /// Name of the runner.
    pub runner: String,
    /// Availability zone of the runner.
    pub zone: String,
    /// Number of this host's requests in flight on the runner.
    pub active: u32,
    /// Learned speed, once the runner has answered.
    pub tokens_per_second: Option<f64>,
    /// Expected time until the request completes, in seconds.
    pub seconds: f64,
}

/// How a request ended on the runner chosen for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunResult {
    /// The runner gave a complete answer.
    Complete {
        /// Number of tokens generated.
        tokens: u64,
        /// Milliseconds from sending the request to the end of the answer.
        millis: u64,
    },
    /// The result counts neither as a failure nor as a speed sample: the
    /// caller disconnected, or the answer says nothing about the speed.
    Neutral,
    /// The runner failed.
    Failed,
}

/// Routing table of a host, which holds the runners by life-cycle state.
#[derive(Debug, Default)]
pub struct RouteTable {
    zone: String,
    joining: SortedTable<String, Runner<Joining>>,
    serving: SortedTable<String, Runner<Serving>>,
    leaving: SortedTable<String, Runner<Leaving>>,
}

impl RouteTable {
    /// Creates an empty table for a host in `zone`.
    pub fn new(zone: &str) -> RouteTable {
        RouteTable { zone: zone.to_owned(), ..RouteTable::default() }
    }

    /// Adopts settings: new runners join, and runners that are missing or
    /// draining leave.
    pub fn adopt(&mut self, state: &SettingsState, tree: &SettingsTree) {
        for settings in &tree.runners {
            let draining = state.is_draining(&settings.name);
            self.adopt_runner(settings, draining);
        }
        let missing = |name: &String| tree.runner(name).is_none();
        let gone: Vec<String> = self
            .joining
            .keys()
            .chain(self.serving.keys())
            .filter(|name| missing(name))
            .cloned()
            .collect();
        for name in gone {
            self.retire(&name);
        }
    }

    /// Records a report of a runner. The report brings a joining runner into
    /// service, unless the runner is still ejected.
    pub fn report(
        &mut self,
        name: &str,
        report: &RunnerReport,
        now: EpochMillis,
    ) {
        let mut report = report.clone();
        report.models.sort();
        if let Some(runner) = self.serving.get_mut(name) {
            runner.state.report = report;
            return;
        }
        let ready = |runner: &Runner<Joining>| runner.state.not_before <= now;
        if !self.joining.get(name).is_some_and(ready) {
            return;
        }
        if let Some(runner) = self.joining.remove(name) {
            self.serving.insert(name.to_owned(), runner.serve(&report));
        }
    }

    /// Takes a runner out of service because it didn't answer a request for
    /// its report.
    pub fn mark_unresponsive(&mut self, name: &str, now: EpochMillis) {
        if let Some(runner) = self.serving.remove(name) {
            self.joining.insert(name.to_owned(), runner.eject(now));
        }
    }

    /// Chooses the runner for a request and reserves the request's tokens
    /// there, or returns `None` if no runner can take it now.
    pub fn pick(&mut self, query: &RouteQuery) -> Option<RouteChoice> {
        let best = self
            .candidates(query)
            .min_by(|one, other| one.1.total_cmp(&other.1))
            .map(|(runner, _)| runner.settings.name.clone())?;
        let runner = self.serving.get_mut(&best)?;
        runner.active += 1;
        runner.active_tokens += query.tokens;
        Some(RouteChoice {
            runner: best,
            address: runner.settings.address.clone(),
            tokens: query.tokens,
        })
    }

    /// Lists the runners that could take a request now, in the order in which
    /// they would be chosen.
    pub fn explain(&self, query: &RouteQuery) -> Vec<RouteReason> {
        let mut reasons: Vec<RouteReason> = self
            .candidates(query)
            .map(|(runner, seconds)| RouteReason {
                runner: runner.settings.name.clone(),
                zone: runner.settings.zone.clone(),
                active: runner.active,
                tokens_per_second: runner.speed.tokens_per_second(),
                seconds,
            })
            .collect();
        reasons.sort_by(|one, other| one.seconds.total_cmp(&other.seconds));
        reasons
    }

    /// Returns whether any runner could take the request now.
    pub fn is_free(&self, query: &RouteQuery) -> bool {
        self.candidates(query).next().is_some()
    }

    /// Returns whether any runner in service could take the request at some
    /// time, regardless of free slots and of earlier attempts.
    pub fn reachable(&self, query: &RouteQuery) -> bool {
        self.serving.values().any(|runner| can_serve(runner, query))
    }

    /// Records the end of a request. Releases its tokens, learns from its
    /// result, and ejects a runner after too many consecutive failures.
    pub fn end_request(
        &mut self,
        choice: &RouteChoice,
        result: RunResult,
        now: EpochMillis,
    ) {
        let name = choice.runner.as_str();
        if let Some(runner) = self.leaving.get_mut(name) {
            runner.release(choice.tokens);
            if runner.active == 0 {
                self.leaving.remove(name);
            }
            return;
        }
        if let Some(runner) = self.joining.get_mut(name) {
            runner.release(choice.tokens);
            return;
        }
        let Some(runner) = self.serving.get_mut(name) else { return };
        runner.release(choice.tokens);
        match result {
            RunResult::Complete { tokens, millis } => {
                runner.state.failures = 0;
                runner.speed.learn(tokens, Duration::from_millis(millis));
            }
            RunResult::Neutral => {}
            RunResult::Failed => runner.state.failures += 1,
        }
        if runner.state.failures < FAILURES_TO_EJECT {
            return;
        }
        if let Some(runner) = self.serving.remove(name) {
            let runner = runner.eject(now.after(EJECTION_TIME));
            self.joining.insert(name.to_owned(), runner);
        }
    }

    /// Iterates over the runners in service.
    pub fn serving(&self) -> impl Iterator<Item = &Runner<Serving>> {
        self.serving.values()
    }

    /// Adopts the settings of one runner. A draining runner is retired. A new
    /// runner, one at a new address or one that was leaving joins.
    fn adopt_runner(&mut self, settings: &RunnerSettings, draining: bool) {
        let name = settings.name.as_str();
        if draining {
            self.retire(name);
            return;
        }
        if let Some(runner) = self.leaving.remove(name) {
            self.joining.insert(name.to_owned(), runner.rejoin());
        }
        if let Some(runner) = self.serving.get_mut(name) {
            if runner.settings.address == settings.address {
                runner.settings = settings.clone();
                return;
            }
            // The name now belongs to another server, which has to report
            // before it serves.
            self.serving.remove(name);
        }
        let runner = || Runner::joining(settings);
        self.joining.entry(name.to_owned(), runner).settings =
            settings.clone();
    }

    /// Takes a runner out of the routing table. A runner with requests in
    /// flight is kept as leaving until they have ended.
    fn retire(&mut self, name: &str) {
        self.joining.remove(name);
        let Some(runner) = self.serving.remove(name) else { return };
        if 0 < runner.active {
            self.leaving.insert(name.to_owned(), runner.leave());
        }
    }

    /// Iterates over the untried runners with a free slot that can serve the
    /// request, each with the request's expected duration in seconds.
    fn candidates<'a>(
        &'a self,
        query: &'a RouteQuery,
    ) -> impl Iterator<Item = (&'a Runner<Serving>, f64)> {
        let assumed_speed = self.assumed_speed(&query.group);
        self.serving
            .values()
            .filter(|runner| can_serve(runner, query))
            .filter(|runner| !query.tried.contains(&runner.settings.name))
            .filter(|runner| {
                u64::from(runner.active) < runner.settings.values.slots
            })
            .map(move |runner| {
                (runner, self.expected_seconds(runner, query, assumed_speed))
            })
    }

    fn expected_seconds(
        &self,
        runner: &Runner<Serving>,
        query: &RouteQuery,
        assumed_speed: f64,
    ) -> f64 {
        let speed = runner.speed.tokens_per_second().unwrap_or(assumed_speed);
        let tokens = (runner.active_tokens + query.tokens) as f64;
        let mut expected_seconds = tokens / speed.max(1.0);
        if runner.settings.zone != self.zone {
            expected_seconds += OTHER_ZONE_SECONDS;
        }
        let adapter =
            query.model.as_ref().filter(|name| name.adapter.is_some());
        if adapter.is_some_and(|name| !runner.holds(&name.to_string())) {
            expected_seconds += ADAPTER_LOAD_SECONDS;
        }
        expected_seconds
    }

    /// Returns the speed in tokens per second that is assumed for the runners
    /// of a group without an answer so far. It is higher than the best known
    /// speed, so that each of these runners is tried soon.
    fn assumed_speed(&self, group: &str) -> f64 {
        let runners = self.serving.values();
        let known = runners.filter(|runner| runner.settings.group == group);
        let best = known
            .filter_map(|runner| runner.speed.tokens_per_second())
            .max_by(f64::total_cmp);
        best.map_or(DEFAULT_TOKENS_PER_SECOND, |speed| {
            speed * UNKNOWN_SPEED_FACTOR
        })
    }
}

/// Returns whether a runner can serve a request, apart from its free slots. An
/// engine with the resident model loads a missing adapter by itself.
fn can_serve(runner: &Runner<Serving>, query: &RouteQuery) -> bool {
    let model = query.model.as_ref();
    runner.settings.group == query.group
        && model.is_none_or(|name| runner.holds(&name.model))
}
