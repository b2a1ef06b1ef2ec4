//! The runners that a host may pass calls on to.

use serde::{Deserialize, Serialize};

use super::{
    backend::{CallEnd, PeerLoad, RelayBackend},
    call::CallRequirements,
};
use crate::{
    catalog::ServiceCatalog, clock::EpochMillis, membership::RunnerLoad,
    model::ModelName, roster::RunnerFacts, sorted::SortedTable,
};

/// Pace assumed where no runner has answered yet, in microseconds.
const DEFAULT_LATENCY_US: f64 = 20_000.0;
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
pub struct CandidateLoad {
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
    pub failure_rate: f64,
}

/// The runners as one host sees them.
#[derive(Debug, Default)]
pub struct RelayTable {
    zone: String,
    backends: SortedTable<String, RelayBackend>,
    /// Runners that each host's last digest named.
    reported_runners: SortedTable<String, Vec<String>>,
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
    pub fn set_announced_models(
        &mut self,
        runner: &str,
        names: &[ModelName],
        now: EpochMillis,
    ) {
        if let Some(backend) = self.backends.get_mut(runner) {
            backend.announced_models = names.to_vec();
            backend.announced_models.sort();
            backend.announced_at = Some(now);
        }
    }

    /// Notes that what the host that orders told before still holds.
    pub fn refresh_announced_models(&mut self, now: EpochMillis) {
        for (_, backend) in self.backends.iter_mut() {
            backend.refresh_announced_models(now);
        }
    }

    /// Notes that some word of the host that orders was missed: what runners
    /// hold is the roster's to say, until it is told anew.
    pub fn invalidate_announced_models(&mut self) {
        for (_, backend) in self.backends.iter_mut() {
            backend.announced_at = None;
        }
    }

    /// Takes over what another host has in flight, in order of the runners.
    /// It has nothing at a runner that it doesn't name. Tells whether it has
    /// less at some runner than before.
    pub fn update_peer_loads(
        &mut self,
        host: &str,
        loads: &[RunnerLoad],
        at: EpochMillis,
    ) -> bool {
        let runners = loads.iter().map(|load| load.runner.clone()).collect();
        let former = self.reported_runners.insert(host.to_owned(), runners);
        let mut decreased = false;
        // Hundreds of digests come in a second, each naming few runners.
        for id in former.unwrap_or_default() {
            let found = loads.binary_search_by(|load| load.runner.cmp(&id));
            if found.is_err()
                && let Some(backend) = self.backends.get_mut(&id)
            {
                backend.peers.remove(host);
                decreased = true;
            }
        }
        for load in loads {
            let RunnerLoad { calls, tokens, .. } = *load;
            if let Some(backend) = self.backends.get_mut(&load.runner) {
                let load = PeerLoad { calls, tokens, reported_at: at };
                let former = backend.peers.insert(host.to_owned(), load);
                decreased |= former.is_some_and(|former| calls < former.calls);
            }
        }
        decreased
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
        call: &CallRequirements,
        catalog: &ServiceCatalog,
        now: EpochMillis,
    ) -> Result<RelayChoice, PickFault> {
        let best = self.best(call, catalog, now)?;
        let Some(backend) = self.backends.get_mut(&best) else {
            return Err(PickFault::NoRunner);
        };
        let basis = backend.basis(now);
        backend.begin(call, now);
        Ok(RelayChoice {
            runner: best,
            address: backend.facts.address.clone(),
            name: call.model.clone(),
            tokens: call.tokens,
            basis,
        })
    }

    /// Returns the load of the runners that hold what a call needs.
    pub fn candidate_load(
        &self,
        call: &CallRequirements,
        now: EpochMillis,
    ) -> CandidateLoad {
        let mut total = CandidateLoad::default();
        for backend in self.backends.values() {
            if !serves(backend, call) || !holds(backend, call, now) {
                continue;
            }
            let basis = backend.basis(now);
            total.runners += 1;
            total.slots += backend.facts.slots;
            total.tokens += backend.tokens(now);
            total.basis.own += basis.own;
            total.basis.told += basis.told;
            total.basis.oldest_ms = total.basis.oldest_ms.max(basis.oldest_ms);
        }
        total
    }

    /// Notes that the head of an answer came from a runner.
    pub fn note_head(&mut self, runner: &str, now: EpochMillis) {
        if let Some(backend) = self.backends.get_mut(runner) {
            backend.note_head(now);
        }
    }

    /// Takes the pace of a stream under way into account.
    pub fn record_latency(
        &mut self,
        runner: &str,
        model: &str,
        latency_us: u64,
    ) {
        if let Some(backend) = self.backends.get_mut(runner) {
            backend.update_latency(model, latency_us);
        }
    }

    /// Books the end of a call; `head_received` tells whether the head of its answer
    /// was noted.
    pub fn done(
        &mut self,
        choice: &RelayChoice,
        head_received: bool,
        end: CallEnd,
        now: EpochMillis,
    ) {
        if let Some(backend) = self.backends.get_mut(&choice.runner) {
            backend.end(choice, head_received, end, now);
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
            failure_rate: backend.failure_rate,
        })
    }

    fn best(
        &self,
        call: &CallRequirements,
        catalog: &ServiceCatalog,
        now: EpochMillis,
    ) -> Result<String, PickFault> {
        let mut fault = PickFault::NoRunner;
        let mut candidates: Vec<&RelayBackend> = Vec::new();
        for backend in self.backends.values() {
            let Err(found) = check_candidate(backend, call, catalog, now)
            else {
                candidates.push(backend);
                continue;
            };
            fault = closer_fault(fault, found);
        }
        let not_ejected = |backend: &&RelayBackend| !backend.is_ejected(now);
        if candidates.iter().any(not_ejected) {
            candidates.retain(not_ejected);
        }
        let model = call.model.as_ref().map_or("", |name| &name.model);
        let latencies =
            candidates.iter().filter_map(|backend| backend.latency(model));
        // A runner that hasn't answered yet is taken for the fastest, so
        // that each gets tried.
        let default_latency =
            latencies.reduce(f64::min).unwrap_or(DEFAULT_LATENCY_US);
        let mean_failure_rate =
            candidates.iter().map(|backend| backend.failure_rate).sum::<f64>()
                / candidates.len().max(1) as f64;
        candidates
            .iter()
            .map(|backend| {
                let latency =
                    backend.latency(model).unwrap_or(default_latency);
                (backend, self.cost(backend, latency, mean_failure_rate, now))
            })
            .min_by(|one, other| one.1.total_cmp(&other.1))
            .map(|(backend, _)| backend.facts.id.clone())
            .ok_or(fault)
    }

    /// Expected time of a call, in microseconds of its pace.
    fn cost(
        &self,
        backend: &RelayBackend,
        latency: f64,
        mean_failure_rate: f64,
        now: EpochMillis,
    ) -> f64 {
        let slots = f64::from(backend.facts.slots.max(1));
        let load = f64::from(backend.load(now)) / slots;
        let excess =
            (backend.failure_rate - mean_failure_rate).max(0.0) * 10.0;
        let zone_penalty = if backend.facts.zone == self.zone {
            0.0
        } else {
            OTHER_ZONE_FACTOR
        };
        latency
            * (1.0 + (FULL_FACTOR - 1.0) * load + zone_penalty)
            * (1.0 + (FAILURE_FACTOR - 1.0) * excess * 2.0)
    }
}

/// Tells whether a runner takes calls of a service.
fn serves(backend: &RelayBackend, call: &CallRequirements) -> bool {
    backend.facts.service == call.service && !backend.facts.leaving
}

/// Tells whether a runner holds what a call needs.
fn holds(
    backend: &RelayBackend,
    call: &CallRequirements,
    now: EpochMillis,
) -> bool {
    call.model.as_ref().is_none_or(|name| backend.holds(name, now))
}

/// Tells whether a runner may get a call, or what speaks against it.
fn check_candidate(
    backend: &RelayBackend,
    call: &CallRequirements,
    catalog: &ServiceCatalog,
    now: EpochMillis,
) -> Result<(), PickFault> {
    if !serves(backend, call) {
        return Err(PickFault::NoRunner);
    }
    if let Some(name) = &call.model
        && !holds(backend, call, now)
    {
        let without_adapter = ModelName { adapter: None, ..name.clone() };
        return Err(if backend.holds(&without_adapter, now) {
            PickFault::NoAdapter
        } else {
            PickFault::NoModel
        });
    }
    if call.tried.contains(&backend.facts.id) {
        return Err(PickFault::AllTried);
    }
    let service = catalog.service(&call.service);
    let engine = service.and_then(|service| service.engine.as_ref());
    let queue_share = match engine {
        Some(_) => ENGINE_QUEUE_SHARE,
        None => PLAIN_QUEUE_SHARE,
    };
    let load = backend.load(now);
    let capacity = f64::from(backend.facts.slots) * (1.0 + queue_share);
    let at_link_limit =
        service.is_some_and(|service| service.max_links <= load);
    if at_link_limit || capacity <= f64::from(load) {
        return Err(PickFault::Full);
    }
    if let Some(engine) = engine
        && engine.token_capacity < backend.tokens(now) + call.tokens
    {
        return Err(PickFault::Full);
    }
    Ok(())
}

/// Returns the fault that came closest to a choice.
fn closer_fault(one: PickFault, other: PickFault) -> PickFault {
    let rank = |fault| match fault {
        PickFault::NoRunner => 0,
        PickFault::NoModel => 1,
        PickFault::NoAdapter => 2,
        PickFault::AllTried => 3,
        PickFault::Full => 4,
    };
    if rank(one) < rank(other) { other } else { one }
}
