//! Choice of the runner for a request.
//!
//! The load that a runner reports lags, so a host counts its own requests
//! in flight and learns each runner's speed from its answers. The choice is
//! the runner with the earliest expected end: reserved tokens ahead of the
//! request over learned speed, plus what another zone and a missing adapter
//! cost.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    clock::EpochMillis,
    model::ModelName,
    runner::{Joining, Leaving, Runner, RunnerReport, Serving},
    settings::{RunnerSettings, SettingsState, SettingsTree},
    sorted::SortedTable,
};

/// Tokens a second assumed before any runner of a group has answered.
const UNKNOWN_SPEED: f64 = 100.0;
/// How much faster than the best known a runner is taken to be before its
/// first answer.
const UNKNOWN_OPTIMISM: f64 = 2.0;
/// Seconds that the way into another availability zone adds.
const OTHER_ZONE_COST: f64 = 0.004;
/// Seconds that loading an adapter adds.
const ADAPTER_LOAD_COST: f64 = 0.010;
/// Failures in a row after which a runner is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Time for which an ejected runner gets no work.
const EJECTION: Duration = Duration::from_secs(2);

/// What a request needs of a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RouteAsk {
    /// Group that serves it.
    pub group: String,
    /// Model and adapter, for a model engine.
    pub model: Option<ModelName>,
    /// Tokens reserved for it.
    pub tokens: u64,
    /// Runners that failed this request already.
    pub tried: Vec<String>,
    /// Runs of it that may have happened already.
    pub reruns: u32,
}

/// The runner chosen, with the tokens booked on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RouteChoice {
    /// Name of the runner.
    pub runner: String,
    /// Its address.
    pub address: String,
    /// Tokens booked.
    pub tokens: u64,
}

/// Why a runner would be chosen, or not.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RouteReason {
    /// Name of the runner.
    pub runner: String,
    /// Its availability zone.
    pub zone: String,
    /// Requests of this host that it works on.
    pub active: u32,
    /// Learned speed, once it has answered.
    pub tokens_per_second: Option<f64>,
    /// Expected seconds until the request's end.
    pub seconds: f64,
}

/// How a request that was routed ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunResult {
    /// The runner gave a whole answer of this many tokens in this time.
    Whole {
        /// Tokens generated.
        tokens: u64,
        /// Milliseconds from sending to the end.
        millis: u64,
    },
    /// The caller went away, or the answer says nothing of speed.
    Neutral,
    /// The runner failed.
    Failed,
}

/// The runners as this host sees them.
#[derive(Debug, Default)]
pub struct RouteTable {
    zone: String,
    joining: SortedTable<String, Runner<Joining>>,
    serving: SortedTable<String, Runner<Serving>>,
    leaving: SortedTable<String, Runner<Leaving>>,
}

impl RouteTable {
    /// Makes an empty table for a host in `zone`.
    pub fn new(zone: &str) -> RouteTable {
        RouteTable { zone: zone.to_owned(), ..RouteTable::default() }
    }

    /// Takes over settings: new runners join, missing and draining ones
    /// leave.
    pub fn adopt(&mut self, state: &SettingsState, tree: &SettingsTree) {
        for plan in &tree.runners {
            let draining = state.is_draining(&plan.name);
            self.adopt_runner(plan, draining);
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

    /// Takes a report into account; it brings a joining runner into
    /// service.
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

    /// Takes a runner out of service that doesn't answer for its report.
    pub fn silent(&mut self, name: &str, now: EpochMillis) {
        if let Some(runner) = self.serving.remove(name) {
            self.joining.insert(name.to_owned(), runner.eject(now));
        }
    }

    /// Chooses the runner for a request and books it there.
    pub fn pick(&mut self, ask: &RouteAsk) -> Option<RouteChoice> {
        let best = self
            .candidates(ask)
            .min_by(|one, other| one.1.total_cmp(&other.1))
            .map(|(runner, _)| runner.plan.name.clone())?;
        let runner = self.serving.get_mut(&best)?;
        runner.active += 1;
        runner.active_tokens += ask.tokens;
        Some(RouteChoice {
            runner: best,
            address: runner.plan.address.clone(),
            tokens: ask.tokens,
        })
    }

    /// Lists the runners that could take a request now, the one that would
    /// be chosen first.
    pub fn explain(&self, ask: &RouteAsk) -> Vec<RouteReason> {
        let mut reasons: Vec<RouteReason> = self
            .candidates(ask)
            .map(|(runner, seconds)| RouteReason {
                runner: runner.plan.name.clone(),
                zone: runner.plan.zone.clone(),
                active: runner.active,
                tokens_per_second: runner.speed.tokens_per_second(),
                seconds,
            })
            .collect();
        reasons.sort_by(|one, other| one.seconds.total_cmp(&other.seconds));
        reasons
    }

    /// Tells whether a runner could take the request now.
    pub fn is_free(&self, ask: &RouteAsk) -> bool {
        self.candidates(ask).next().is_some()
    }

    /// Tells whether any runner in service could ever take the request.
    pub fn reachable(&self, ask: &RouteAsk) -> bool {
        self.serving.values().any(|runner| fits(runner, ask))
    }

    /// Books the end of a request.
    pub fn done(
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
            RunResult::Whole { tokens, millis } => {
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
            let runner = runner.eject(now.after(EJECTION));
            self.joining.insert(name.to_owned(), runner);
        }
    }

    /// Iterates over the runners in service.
    pub fn serving(&self) -> impl Iterator<Item = &Runner<Serving>> {
        self.serving.values()
    }

    fn adopt_runner(&mut self, plan: &RunnerSettings, draining: bool) {
        let name = plan.name.as_str();
        if draining {
            self.retire(name);
            return;
        }
        if let Some(runner) = self.leaving.remove(name) {
            self.joining.insert(name.to_owned(), runner.rejoin());
        }
        if let Some(runner) = self.serving.get_mut(name) {
            if runner.plan.address == plan.address {
                runner.plan = plan.clone();
                return;
            }
            // Another machine under the old name has to report first.
            self.serving.remove(name);
        }
        let runner = || Runner::planned(plan);
        self.joining.entry(name.to_owned(), runner).plan = plan.clone();
    }

    fn retire(&mut self, name: &str) {
        self.joining.remove(name);
        let Some(runner) = self.serving.remove(name) else { return };
        if 0 < runner.active {
            self.leaving.insert(name.to_owned(), runner.leave());
        }
    }

    fn candidates<'a>(
        &'a self,
        ask: &'a RouteAsk,
    ) -> impl Iterator<Item = (&'a Runner<Serving>, f64)> {
        let unknown = self.unknown_speed(&ask.group);
        self.serving
            .values()
            .filter(|runner| fits(runner, ask))
            .filter(|runner| !ask.tried.contains(&runner.plan.name))
            .filter(|runner| {
                u64::from(runner.active) < runner.plan.values.slots
            })
            .map(move |runner| (runner, self.cost(runner, ask, unknown)))
    }

    fn cost(
        &self,
        runner: &Runner<Serving>,
        ask: &RouteAsk,
        unknown: f64,
    ) -> f64 {
        let speed = runner.speed.tokens_per_second().unwrap_or(unknown);
        let tokens = (runner.active_tokens + ask.tokens) as f64;
        let mut cost = tokens / speed.max(1.0);
        if runner.plan.zone != self.zone {
            cost += OTHER_ZONE_COST;
        }
        let adapter = ask.model.as_ref().filter(|name| name.adapter.is_some());
        if adapter.is_some_and(|name| !runner.holds(&name.to_string())) {
            cost += ADAPTER_LOAD_COST;
        }
        cost
    }

    /// Speed assumed of the runners of a group that haven't answered yet:
    /// better than the best known, so that each is tried soon.
    fn unknown_speed(&self, group: &str) -> f64 {
        let runners = self.serving.values();
        let known = runners.filter(|runner| runner.plan.group == group);
        let best = known
            .filter_map(|runner| runner.speed.tokens_per_second())
            .max_by(f64::total_cmp);
        best.map_or(UNKNOWN_SPEED, |speed| speed * UNKNOWN_OPTIMISM)
    }
}

/// Tells whether a runner can serve a request at all. An engine loads a
/// missing adapter by itself when the model is resident.
fn fits(runner: &Runner<Serving>, ask: &RouteAsk) -> bool {
    let model = ask.model.as_ref();
    runner.plan.group == ask.group
        && model.is_none_or(|name| runner.holds(&name.model))
}
