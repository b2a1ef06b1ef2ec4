//! The runners that a host may pass calls on to.

use serde::{Deserialize, Serialize};

use super::{
    backend::{CallEnd, PeerLoad, RelayBackend},
    call::RelayAsk,
};
use crate::{
    catalog::ServiceCatalog, clock::EpochMillis, membership::RunnerLoad,
    model::ModelName, roster::RunnerFacts, sorted::SortedTable,
};

/// Pace assumed where no runner has answered yet, in microseconds.
const UNKNOWN_PACE_US: f64 = 20_000.0;
/// How many times as long a full runner takes as an idle one.
const FULL_FACTOR: f64 = 3.0;
/// How many times as long a runner is expected to take for each tenth of
/// its calls that fail beyond the mean of its service.
const FAILURE_FACTOR: f64 = 2.0;
/// What the way into another availability zone adds, in parts of the pace.
const OTHER_ZONE_FACTOR: f64 = 0.15;
/// Calls beyond its slots that a model engine may be given, as a part of
/// the slots: they wait in its queue.
const ENGINE_QUEUE_SHARE: f64 = 0.25;
/// The same for plain services, whose queues are short.
const PLAIN_QUEUE_SHARE: f64 = 1.0;

/// The runner chosen for a call, with what is booked there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RelayChoice {
    /// Identity of the runner.
    pub runner: String,
    /// Its address, as `IP:PORT`.
    pub address: String,
    /// Model and adapter; none for a plain call.
    pub name: Option<ModelName>,
    /// Tokens booked.
    pub tokens: u64,
    /// What was known of the runner's load.
    pub basis: LoadBasis,
}

/// The load by which a runner was judged.
///
/// What other hosts told is older than what this host knows of itself, and
/// wrong by what began and ended since.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub struct LoadBasis {
    /// Calls of this host in flight.
    pub own: u32,
    /// Calls that other hosts told of.
    pub told: u32,
    /// Age of the oldest figure among those, in milliseconds.
    pub oldest_ms: u64,
}

/// The load of the runners that could run a call, as one host sees it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub struct RunnerCrowd {
    /// Runners that take calls and hold what it needs.
    pub runners: u32,
    /// Calls that they run at a time.
    pub slots: u32,
    /// Tokens of the calls there.
    pub tokens: u64,
    /// Calls there.
    pub basis: LoadBasis,
}

impl RelayChoice {
    /// Returns the name of the model, empty for a plain call.
    pub fn model(&self) -> &str {
        self.name.as_ref().map_or("", |name| &name.model)
    }
}

/// Why no runner was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PickFault {
    /// The service has no runner.
    NoRunner,
    /// No runner holds the model.
    NoModel,
    /// A runner holds the model, none the adapter.
    NoAdapter,
    /// Every runner that could take it is full.
    Full,
    /// Every runner that could take it was tried already.
    AllTried,
}

impl PickFault {
    /// Returns the fault as it stands in log lines.
    pub fn text(self) -> &'static str {
        match self {
            PickFault::NoRunner => "no_runner",
            PickFault::NoModel => "no_model",
            PickFault::NoAdapter => "no_adapter",
            PickFault::Full => "full",
            PickFault::AllTried => "all_tried",
        }
    }
}

/// A runner, for people and for the digest to other hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RunnerView {
    /// Identity.
    pub id: String,
    /// Calls of this host in flight.
    pub calls: u32,
    /// Tokens of these calls.
    pub tokens: u64,
    /// Adapters that they use, and models among those that give way.
    pub names: Vec<ModelName>,
    /// Share of calls that failed lately.
    pub failing: f64,
}

/// The runners as one host sees them.
#[derive(Debug, Default)]
pub struct RelayTable {
    zone: String,
    backends: SortedTable<String, RelayBackend>,
    /// Runners that each host's last digest named.
    named: SortedTable<String, Vec<String>>,
}

impl RelayTable {
    /// Makes an empty table for a host in `zone`.
    pub fn new(zone: &str) -> RelayTable {
        RelayTable { zone: zone.to_owned(), ..RelayTable::default() }
    }

    /// Takes over the roster. A runner that isn't in it gets no more calls;
    /// one that started again begins with nothing known of it.
    pub fn adopt<'a>(&mut self, facts: impl Iterator<Item = &'a RunnerFacts>) {
        let mut former = std::mem::take(&mut self.backends);
        for facts in facts {
            let known = former.remove(&facts.id);
            let backend = match known {
                Some(mut backend) if backend.facts.is_same_start(facts) => {
                    backend.facts = facts.clone();
                    backend
                }
                _ => RelayBackend::new(facts.clone()),
            };
            self.backends.insert(facts.id.clone(), backend);
        }
    }

    /// Notes what a runner holds by the word of the host that orders. It is
    /// newer than the roster, and goes before it while it is fresh.
    pub fn told_held(
        &mut self,
        runner: &str,
        names: &[ModelName],
        now: EpochMillis,
    ) {
        if let Some(backend) = self.backends.get_mut(runner) {
            backend.told_held = names.to_vec();
            backend.told_held.sort();
            backend.told_held_at = Some(now);
        }
    }

    /// Notes that what the host that orders told before still holds.
    pub fn told_again(&mut self, now: EpochMillis) {
        for (_, backend) in self.backends.iter_mut() {
            backend.told_again(now);
        }
    }

    /// Notes that some word of the host that orders was missed: what runners
    /// hold is the roster's to say, until it is told anew.
    pub fn missed_told(&mut self) {
        for (_, backend) in self.backends.iter_mut() {
            backend.told_held_at = None;
        }
    }

    /// Takes over what another host has in flight, in order of the runners.
    /// It has nothing at a runner that it doesn't name. Tells whether it has
    /// less at some runner than before.
    pub fn told(
        &mut self,
        host: &str,
        loads: &[RunnerLoad],
        at: EpochMillis,
    ) -> bool {
        let named = loads.iter().map(|load| load.runner.clone()).collect();
        let former = self.named.insert(host.to_owned(), named);
        let mut fell = false;
        // Hundreds of digests come in a second, each naming few runners.
        for id in former.unwrap_or_default() {
            let found = loads.binary_search_by(|load| load.runner.cmp(&id));
            if found.is_err()
                && let Some(backend) = self.backends.get_mut(&id)
            {
                backend.peers.remove(host);
                fell = true;
            }
        }
        for load in loads {
            let RunnerLoad { calls, tokens, .. } = *load;
            if let Some(backend) = self.backends.get_mut(&load.runner) {
                let load = PeerLoad { calls, tokens, told_at: at };
                let former = backend.peers.insert(host.to_owned(), load);
                fell |= former.is_some_and(|former| calls < former.calls);
            }
        }
        fell
    }

    /// Returns what this host has in flight, for the others.
    pub fn loads(&self) -> Vec<RunnerLoad> {
        let busy = self.backends.iter();
        busy.filter(|(_, backend)| 0 < backend.calls)
            .map(|(id, backend)| RunnerLoad {
                runner: id.clone(),
                calls: backend.calls,
                tokens: backend.tokens,
                names: backend.names_in_use(),
            })
            .collect()
    }

    /// Chooses the runner for a call and books it there.
    ///
    /// # Errors
    ///
    /// Returns why none could be chosen.
    pub fn pick(
        &mut self,
        ask: &RelayAsk,
        catalog: &ServiceCatalog,
        now: EpochMillis,
    ) -> Result<RelayChoice, PickFault> {
        let best = self.best(ask, catalog, now)?;
        let Some(backend) = self.backends.get_mut(&best) else {
            return Err(PickFault::NoRunner);
        };
        let basis = backend.basis(now);
        backend.begin(ask, now);
        Ok(RelayChoice {
            runner: best,
            address: backend.facts.address.clone(),
            name: ask.model.clone(),
            tokens: ask.tokens,
            basis,
        })
    }

    /// Returns the load of the runners that hold what a call needs.
    pub fn crowd(&self, ask: &RelayAsk, now: EpochMillis) -> RunnerCrowd {
        let mut crowd = RunnerCrowd::default();
        for backend in self.backends.values() {
            if !serves(backend, ask) || !holds(backend, ask, now) {
                continue;
            }
            let basis = backend.basis(now);
            crowd.runners += 1;
            crowd.slots += backend.facts.slots;
            crowd.tokens += backend.tokens(now);
            crowd.basis.own += basis.own;
            crowd.basis.told += basis.told;
            crowd.basis.oldest_ms = crowd.basis.oldest_ms.max(basis.oldest_ms);
        }
        crowd
    }

    /// Notes that the head of an answer came from a runner.
    pub fn heard(&mut self, runner: &str, now: EpochMillis) {
        if let Some(backend) = self.backends.get_mut(runner) {
            backend.heard(now);
        }
    }

    /// Takes the pace of a stream under way into account.
    pub fn paced(&mut self, runner: &str, model: &str, pace_us: u64) {
        if let Some(backend) = self.backends.get_mut(runner) {
            backend.learn_pace(model, pace_us);
        }
    }

    /// Books the end of a call; `heard` tells whether the head of its answer
    /// was noted.
    pub fn done(
        &mut self,
        choice: &RelayChoice,
        heard: bool,
        end: CallEnd,
        now: EpochMillis,
    ) {
        if let Some(backend) = self.backends.get_mut(&choice.runner) {
            backend.end(choice, heard, end, now);
        }
    }

    /// Tells whether a runner is in the table and takes new calls.
    pub fn takes_calls(&self, runner: &str) -> bool {
        let backend = self.backends.get(runner);
        backend.is_some_and(|backend| !backend.facts.leaving)
    }

    /// Iterates over the runners.
    pub fn views(&self) -> impl Iterator<Item = RunnerView> {
        self.backends.iter().map(|(id, backend)| RunnerView {
            id: id.clone(),
            calls: backend.calls,
            tokens: backend.tokens,
            names: backend.names_in_use(),
            failing: backend.failing,
        })
    }

    fn best(
        &self,
        ask: &RelayAsk,
        catalog: &ServiceCatalog,
        now: EpochMillis,
    ) -> Result<String, PickFault> {
        let mut fault = PickFault::NoRunner;
        let mut open: Vec<&RelayBackend> = Vec::new();
        for backend in self.backends.values() {
            let Err(found) = is_candidate(backend, ask, catalog, now) else {
                open.push(backend);
                continue;
            };
            fault = nearer(fault, found);
        }
        let in_use = |backend: &&RelayBackend| !backend.is_set_aside(now);
        if open.iter().any(in_use) {
            open.retain(in_use);
        }
        let model = ask.model.as_ref().map_or("", |name| &name.model);
        let paces = open.iter().filter_map(|backend| backend.pace(model));
        // A runner that hasn't answered yet is taken for the fastest, so
        // that each gets tried.
        let unknown = paces.reduce(f64::min).unwrap_or(UNKNOWN_PACE_US);
        let failing = open.iter().map(|backend| backend.failing).sum::<f64>()
            / open.len().max(1) as f64;
        open.iter()
            .map(|backend| {
                let pace = backend.pace(model).unwrap_or(unknown);
                (backend, self.cost(backend, pace, failing, now))
            })
            .min_by(|one, other| one.1.total_cmp(&other.1))
            .map(|(backend, _)| backend.facts.id.clone())
            .ok_or(fault)
    }

    /// Expected time of a call, in microseconds of its pace.
    fn cost(
        &self,
        backend: &RelayBackend,
        pace: f64,
        mean_failing: f64,
        now: EpochMillis,
    ) -> f64 {
        let slots = f64::from(backend.facts.slots.max(1));
        let load = f64::from(backend.load(now)) / slots;
        let excess = (backend.failing - mean_failing).max(0.0) * 10.0;
        let away = if backend.facts.zone == self.zone {
            0.0
        } else {
            OTHER_ZONE_FACTOR
        };
        pace * (1.0 + (FULL_FACTOR - 1.0) * load + away)
            * (1.0 + (FAILURE_FACTOR - 1.0) * excess * 2.0)
    }
}

/// Tells whether a runner takes calls of a service.
fn serves(backend: &RelayBackend, ask: &RelayAsk) -> bool {
    backend.facts.service == ask.service && !backend.facts.leaving
}

/// Tells whether a runner holds what a call needs.
fn holds(backend: &RelayBackend, ask: &RelayAsk, now: EpochMillis) -> bool {
    ask.model.as_ref().is_none_or(|name| backend.holds(name, now))
}

/// Tells whether a runner may get a call, or what speaks against it.
fn is_candidate(
    backend: &RelayBackend,
    ask: &RelayAsk,
    catalog: &ServiceCatalog,
    now: EpochMillis,
) -> Result<(), PickFault> {
    if !serves(backend, ask) {
        return Err(PickFault::NoRunner);
    }
    if let Some(name) = &ask.model
        && !holds(backend, ask, now)
    {
        let plain = ModelName { adapter: None, ..name.clone() };
        return Err(if backend.holds(&plain, now) {
            PickFault::NoAdapter
        } else {
            PickFault::NoModel
        });
    }
    if ask.tried.contains(&backend.facts.id) {
        return Err(PickFault::AllTried);
    }
    let service = catalog.service(&ask.service);
    let engine = service.and_then(|service| service.engine.as_ref());
    let share = match engine {
        Some(_) => ENGINE_QUEUE_SHARE,
        None => PLAIN_QUEUE_SHARE,
    };
    let load = backend.load(now);
    let room = f64::from(backend.facts.slots) * (1.0 + share);
    let linked = service.is_some_and(|service| service.max_links <= load);
    if linked || room <= f64::from(load) {
        return Err(PickFault::Full);
    }
    if let Some(engine) = engine
        && engine.token_capacity < backend.tokens(now) + ask.tokens
    {
        return Err(PickFault::Full);
    }
    Ok(())
}

/// Returns the fault that came closest to a choice.
fn nearer(one: PickFault, other: PickFault) -> PickFault {
    let rank = |fault| match fault {
        PickFault::NoRunner => 0,
        PickFault::NoModel => 1,
        PickFault::NoAdapter => 2,
        PickFault::AllTried => 3,
        PickFault::Full => 4,
    };
    if rank(one) < rank(other) { other } else { one }
}
