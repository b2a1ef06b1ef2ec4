//! The table of runners to which a host may forward calls.

use super::{
    backend::{CallEnd, PeerLoad, RelayBackend},
    call::CallRequirements,
    choice::{CandidateLoad, PickFault, RelayChoice, RunnerView},
    cold_runners::{ColdRules, former_gate},
    life::{Accepting, Cold, Departing, RelayRunner, TakesCalls},
    notice::{NoticeLog, RunnerNotice},
};
use crate::{
    catalog::ServiceCatalog,
    clock::EpochMillis,
    membership::RunnerLoad,
    model::ModelName,
    roster::{RunnerFacts, RunnerStart},
    sorted::SortedTable,
};

/// Latency assumed while no runner has answered yet, in microseconds.
const DEFAULT_LATENCY_US: f64 = 20_000.0;
/// Ratio of the time that a call takes at a full runner to its time at an
/// idle one.
const FULL_FACTOR: f64 = 3.0;
/// Factor on the expected cost of a call at a runner whose failure rate is a
/// twentieth above the mean of the candidates. The cost grows linearly with
/// the failure rate.
const FAILURE_FACTOR: f64 = 2.0;
/// Cost of a call into another availability zone, as a fraction of the
/// latency.
const OTHER_ZONE_FACTOR: f64 = 0.15;
/// Calls beyond its slots that a model engine may be sent, as a fraction of
/// the slots; these calls wait in the engine's queue.
const ENGINE_QUEUE_SHARE: f64 = 0.25;
/// Calls beyond its slots that a runner of a plain service may be sent, as a
/// fraction of the slots; the queues of plain services are short.
const PLAIN_QUEUE_SHARE: f64 = 1.0;

/// The runners that one host knows, with their load and health.
#[derive(Debug, Default)]
pub struct RelayTable {
    pub(super) zone: String,
    pub(super) accepting: SortedTable<String, RelayRunner<Accepting>>,
    pub(super) cold: SortedTable<String, RelayRunner<Cold>>,
    departing: SortedTable<String, RelayRunner<Departing>>,
    pub(super) cold_rules: ColdRules,
    pub(super) notices: NoticeLog,
    /// Runners named in the last digest of each other host.
    reported_runners: SortedTable<String, Vec<String>>,
}

impl RelayTable {
    /// Creates an empty table for a host in `zone`.
    pub fn new(zone: &str) -> RelayTable {
        RelayTable { zone: zone.to_owned(), ..RelayTable::default() }
    }

    /// Replaces the set of runners by the roster. A runner that isn't in the
    /// roster gets no more calls. A runner that has restarted begins without
    /// any recorded state.
    pub fn set_roster<'a>(
        &mut self,
        facts: impl Iterator<Item = &'a RunnerFacts>,
    ) {
        let mut accepting = std::mem::take(&mut self.accepting);
        let mut cold = std::mem::take(&mut self.cold);
        let mut departing = std::mem::take(&mut self.departing);
        for facts in facts {
            let id = facts.id.clone();
            let known = accepting.remove(&id).map(|runner| runner.backend);
            let (known, gate) = former_gate(known, cold.remove(&id));
            let known = known
                .or_else(|| departing.remove(&id).map(|found| found.backend));
            let backend = match known {
                Some(mut backend) if backend.facts.is_same_start(facts) => {
                    backend.facts = facts.clone();
                    backend
                }
                _ => RelayBackend::new(facts.clone()),
            };
            let notice = self.notices.notice(&id, facts.born);
            if facts.leaving || notice.leaving {
                let runner = RelayRunner::departing(backend);
                self.departing.insert(id, runner);
            } else if let Some(end) = self.cold_end(facts, &notice) {
                let until = notice.paused_until;
                let runner = RelayRunner::cold(backend, until, end, gate);
                self.cold.insert(id, runner);
            } else {
                let until = notice.paused_until;
                let runner = RelayRunner::accepting(backend, until);
                self.accepting.insert(id, runner);
            }
        }
    }

    /// Applies what a runner stated about itself in an answer to this host.
    pub fn note_runner(
        &mut self,
        start: &RunnerStart,
        notice: RunnerNotice,
        now: EpochMillis,
    ) {
        if notice.is_empty() {
            return;
        }
        self.notices.record(start, notice, now);
        if let Some(runner) = self.accepting.get_mut(&start.id)
            && runner.backend.facts.born == start.born
        {
            runner.pause(notice.paused_until);
        }
        self.note_cold(start, notice, now);
        if notice.leaving {
            self.depart(start);
        }
    }

    /// Applies what a runner told another host: that it is leaving. Returns
    /// whether that is new to this host.
    pub fn note_departure(
        &mut self,
        start: &RunnerStart,
        now: EpochMillis,
    ) -> bool {
        if self.notices.notice(&start.id, start.born).leaving {
            return false;
        }
        self.notices.record_departure(start, now);
        self.depart(start);
        true
    }

    /// Returns the runners of which the other hosts should be told that they
    /// are leaving, as this host has just learned it from them.
    pub fn departures(&self, now: EpochMillis) -> Vec<RunnerStart> {
        self.notices.departures(now)
    }

    /// Ends the choice of a runner, unless another start of it is listed.
    fn depart(&mut self, start: &RunnerStart) {
        if let Some(runner) = self.take_cold(start) {
            self.departing.insert(start.id.clone(), runner.depart());
            return;
        }
        let listed = self.accepting.get(&start.id);
        if listed.is_none_or(|runner| runner.backend.facts.born != start.born)
        {
            return;
        }
        if let Some(runner) = self.accepting.remove(&start.id) {
            self.departing.insert(start.id.clone(), runner.depart());
        }
    }

    /// Returns the state of a runner, leaving or not.
    fn backend_mut(&mut self, id: &str) -> Option<&mut RelayBackend> {
        if let Some(runner) = self.accepting.get_mut(id) {
            return Some(&mut runner.backend);
        }
        if let Some(runner) = self.cold.get_mut(id) {
            return Some(&mut runner.backend);
        }
        self.departing.get_mut(id).map(|runner| &mut runner.backend)
    }

    /// Returns the state of the chosen runner, unless it has started again.
    fn chosen_mut(
        &mut self,
        choice: &RelayChoice,
    ) -> Option<&mut RelayBackend> {
        let backend = self.backend_mut(&choice.runner)?;
        (backend.facts.born == choice.born).then_some(backend)
    }

    /// Iterates over the state of all runners, leaving or not.
    fn backends(&self) -> impl Iterator<Item = &RelayBackend> {
        let accepting = self.accepting.values().map(|runner| &runner.backend);
        let cold = self.cold.values().map(|runner| &runner.backend);
        accepting
            .chain(cold)
            .chain(self.departing.values().map(|runner| &runner.backend))
    }

    fn backends_mut(&mut self) -> impl Iterator<Item = &mut RelayBackend> {
        let accepting =
            self.accepting.iter_mut().map(|(_, runner)| &mut runner.backend);
        let cold = self.cold.iter_mut().map(|(_, runner)| &mut runner.backend);
        let departing =
            self.departing.iter_mut().map(|(_, runner)| &mut runner.backend);
        accepting.chain(cold).chain(departing)
    }

    /// Sets the models and adapters that a runner holds according to the
    /// lease holder. The announcement is newer than the roster, and overrides
    /// the roster until the announcement expires.
    pub fn set_announced_models(
        &mut self,
        runner: &str,
        names: &[ModelName],
        now: EpochMillis,
    ) {
        if let Some(backend) = self.backend_mut(runner) {
            backend.announced_models = names.to_vec();
            backend.announced_models.sort();
            backend.announced_at = Some(now);
        }
    }

    /// Extends the validity of the lease holder's announcements that haven't
    /// expired, because they still hold.
    pub fn refresh_announced_models(&mut self, now: EpochMillis) {
        for backend in self.backends_mut() {
            backend.refresh_announced_models(now);
        }
    }

    /// Marks all announcements as expired because one was missed. The roster
    /// then decides which models a runner holds, until the next announcement
    /// about the runner.
    pub fn invalidate_announced_models(&mut self) {
        for backend in self.backends_mut() {
            backend.announced_at = None;
        }
    }

    /// Replaces the calls in flight of another host. `loads` are sorted by
    /// runner; the host has no calls at a runner that isn't in them. Returns
    /// whether the host has fewer calls at some runner than before.
    pub fn update_peer_loads(
        &mut self,
        host: &str,
        loads: &[RunnerLoad],
        at: EpochMillis,
    ) -> bool {
        let runners = loads.iter().map(|load| load.runner.clone()).collect();
        let former = self.reported_runners.insert(host.to_owned(), runners);
        let mut decreased = false;
        // Hundreds of digests arrive per second and each names few runners, so
        // only the runners of the previous digest are visited.
        for id in former.unwrap_or_default() {
            let found = loads.binary_search_by(|load| load.runner.cmp(&id));
            if found.is_err()
                && let Some(backend) = self.backend_mut(&id)
            {
                backend.peers.remove(host);
                decreased = true;
            }
        }
        for load in loads {
            let RunnerLoad { calls, tokens, .. } = *load;
            if let Some(backend) = self.backend_mut(&load.runner) {
                let load = PeerLoad { calls, tokens, reported_at: at };
                let former = backend.peers.insert(host.to_owned(), load);
                decreased |= former.is_some_and(|former| calls < former.calls);
            }
        }
        decreased
    }

    /// Returns this host's calls in flight, sorted by runner, for the digest
    /// to other hosts.
    pub fn loads(&self) -> Vec<RunnerLoad> {
        let busy = self.backends().filter(|backend| 0 < backend.calls);
        let mut loads: Vec<RunnerLoad> = busy
            .map(|backend| RunnerLoad {
                runner: backend.facts.id.clone(),
                calls: backend.calls,
                tokens: backend.tokens,
                names: backend.names_in_use(),
            })
            .collect();
        loads.sort_by(|one, other| one.runner.cmp(&other.runner));
        loads
    }

    /// Chooses the runner for a call and counts the call as in flight there.
    ///
    /// # Errors
    ///
    /// Returns why no runner could be chosen.
    pub fn pick(
        &mut self,
        call: &CallRequirements,
        catalog: &ServiceCatalog,
        now: EpochMillis,
    ) -> Result<RelayChoice, PickFault> {
        self.warm_up(now);
        let best = self.best_runner(call, catalog, now)?;
        if let Some(runner) = self.cold.get_mut(&best) {
            return Ok(runner.begin_call(call, now));
        }
        let runner = self.accepting.get_mut(&best);
        let runner = runner.ok_or(PickFault::NoRunner)?;
        Ok(runner.begin_call(call, now))
    }

    /// Returns the total load of the runners that hold what a call requires.
    pub fn candidate_load(
        &self,
        call: &CallRequirements,
        now: EpochMillis,
    ) -> CandidateLoad {
        let mut total = CandidateLoad::default();
        for RelayRunner { backend, .. } in self.accepting.values() {
            if !serves(backend, call) || !holds(backend, call, now) {
                continue;
            }
            let basis = backend.basis(now);
            total.runners += 1;
            total.slots = total.slots.saturating_add(backend.facts.slots);
            total.tokens = total.tokens.saturating_add(backend.tokens(now));
            total.basis.own += basis.own;
            total.basis.reported += basis.reported;
            total.basis.oldest_ms = total.basis.oldest_ms.max(basis.oldest_ms);
        }
        total
    }

    /// Records that the head of an answer arrived from a start of a runner.
    pub fn note_head(&mut self, start: &RunnerStart, now: EpochMillis) {
        if let Some(backend) = self.backend_mut(&start.id)
            && backend.facts.born == start.born
        {
            backend.note_head(now);
        }
    }

    /// Adds a latency sample of a stream that is still running.
    pub fn record_latency(
        &mut self,
        runner: &str,
        model: &str,
        latency_us: u64,
    ) {
        if let Some(backend) = self.backend_mut(runner) {
            backend.update_latency(model, latency_us);
        }
    }

    /// Records the end of a call. `head_received` says whether
    /// [`note_head`](Self::note_head) was called for it.
    pub fn end_call(
        &mut self,
        choice: &RelayChoice,
        head_received: bool,
        end: CallEnd,
        now: EpochMillis,
    ) {
        if let Some(backend) = self.chosen_mut(choice) {
            backend.end_call(choice, head_received, end, now);
        }
    }

    /// Returns whether a runner is in the table and takes new calls.
    pub fn takes_calls(&self, runner: &str) -> bool {
        self.accepting.get(runner).is_some() || self.cold.get(runner).is_some()
    }

    /// Iterates over snapshots of the runners, in no particular order.
    pub fn views(&self) -> impl Iterator<Item = RunnerView> {
        self.backends().map(|backend| RunnerView {
            id: backend.facts.id.clone(),
            calls: backend.calls,
            tokens: backend.tokens,
            names: backend.names_in_use(),
            failure_rate: backend.failure_rate,
        })
    }

    fn best_runner(
        &self,
        call: &CallRequirements,
        catalog: &ServiceCatalog,
        now: EpochMillis,
    ) -> Result<String, PickFault> {
        let mut fault = PickFault::NoRunner;
        let mut candidates: Vec<&RelayBackend> = Vec::new();
        for runner in self.accepting.values() {
            let Err(found) = check_candidate(runner, call, catalog, now)
            else {
                candidates.push(&runner.backend);
                continue;
            };
            fault = closer_fault(fault, found);
        }
        for runner in self.cold.values() {
            let checked = check_candidate(runner, call, catalog, now)
                .and_then(|()| self.check_share(runner, now));
            match checked {
                Ok(()) => candidates.push(&runner.backend),
                Err(found) => fault = closer_fault(fault, found),
            }
        }
        let not_ejected = |backend: &&RelayBackend| !backend.is_ejected(now);
        if candidates.iter().any(not_ejected) {
            candidates.retain(not_ejected);
        }
        let model = call.model.as_ref().map_or("", |name| &name.model);
        let latencies =
            candidates.iter().filter_map(|backend| backend.latency(model));
        // A runner that hasn't answered yet is assumed to be as fast as the
        // fastest, so that every runner gets tried.
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

    /// Returns the expected cost of a call at a runner, in microseconds of
    /// latency.
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

/// Returns whether a runner belongs to the service of a call.
fn serves(backend: &RelayBackend, call: &CallRequirements) -> bool {
    backend.facts.service == call.service
}

/// Returns whether a runner holds the model and adapter that a call
/// requires.
fn holds(
    backend: &RelayBackend,
    call: &CallRequirements,
    now: EpochMillis,
) -> bool {
    call.model.as_ref().is_none_or(|name| backend.holds(name, now))
}

/// Checks whether a runner may get a call, and returns the reason if not.
fn check_candidate<S: TakesCalls>(
    runner: &RelayRunner<S>,
    call: &CallRequirements,
    catalog: &ServiceCatalog,
    now: EpochMillis,
) -> Result<(), PickFault> {
    let backend = &runner.backend;
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
    if engine.is_some_and(|engine| engine.token_capacity < call.tokens) {
        return Err(PickFault::TooLarge);
    }
    if let Some(end) = runner.pause_end(now) {
        return Err(PickFault::Paused(end));
    }
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
    if let Some(engine) = engine {
        let tokens = backend.tokens(now).saturating_add(call.tokens);
        if engine.token_capacity < tokens {
            return Err(PickFault::Full);
        }
    }
    Ok(())
}

/// Returns that one of two faults whose runner came closer to being chosen,
/// and of two pauses the one that ends first.
fn closer_fault(one: PickFault, other: PickFault) -> PickFault {
    let rank = |fault| match fault {
        PickFault::NoRunner => 0,
        PickFault::NoModel => 1,
        PickFault::NoAdapter => 2,
        PickFault::TooLarge => 3,
        PickFault::AllTried => 4,
        PickFault::Paused(_) => 5,
        PickFault::Full => 6,
        PickFault::Cold(_) => 7,
    };
    match (one, other) {
        (PickFault::Paused(one), PickFault::Paused(other)) => {
            PickFault::Paused(one.min(other))
        }
        (PickFault::Cold(one), PickFault::Cold(other)) => {
            PickFault::Cold(one.min(other))
        }
        _ if rank(one) < rank(other) => other,
        _ => one,
    }
}
