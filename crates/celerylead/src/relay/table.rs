//! The table of runners to which a host may forward calls.

use std::sync::Arc;

use super::{
    backend::{CallEnd, PeerLoad, RelayBackend},
    call::CallRequirements,
    candidate::{check_candidate, closer_fault, holds, serves},
    choice::{
        CandidateLoad, Headroom, PickFault, RelayChoice, RunnerView, SentCall,
    },
    cold_runners::{ColdRules, former_gate},
    life::{Accepting, Cold, Departing, Evacuated, RelayRunner},
    notice::{NoticeLog, RunnerNotice},
    selection::{self, Candidate},
    timing::ServiceTiming,
};
use crate::{
    catalog::{EvacuationList, ServiceCatalog},
    clock::EpochMillis,
    membership::RunnerLoad,
    model::ModelName,
    roster::{RunnerFacts, RunnerStart},
    sorted::SortedTable,
};

/// The runners that one host knows, with their load and health.
#[derive(Debug, Default)]
pub struct RelayTable {
    pub(super) zone: String,
    pub(super) accepting: SortedTable<String, RelayRunner<Accepting>>,
    pub(super) cold: SortedTable<String, RelayRunner<Cold>>,
    evacuated: SortedTable<String, RelayRunner<Evacuated>>,
    evacuations: Arc<EvacuationList>,
    departing: SortedTable<String, RelayRunner<Departing>>,
    pub(super) cold_rules: ColdRules,
    pub(super) notices: NoticeLog,
    /// What is common to the runners of a service, by service.
    timings: SortedTable<String, ServiceTiming>,
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
        let mut evacuated = std::mem::take(&mut self.evacuated);
        let mut departing = std::mem::take(&mut self.departing);
        for facts in facts {
            let id = facts.id.clone();
            let known = accepting.remove(&id).map(|runner| runner.backend);
            let known = known
                .or_else(|| evacuated.remove(&id).map(|found| found.backend));
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
            } else if self.evacuations.is_evacuated(&facts.zone) {
                let runner = RelayRunner::evacuated(backend);
                self.evacuated.insert(id, runner);
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

    /// Sets the evacuated zones, whose runners are no candidates. Takes effect
    /// with the next roster.
    pub fn set_evacuations(&mut self, evacuations: Arc<EvacuationList>) {
        self.evacuations = evacuations;
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
        if let Some(runner) = self.evacuated.get_mut(id) {
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
        let evacuated = self.evacuated.values().map(|runner| &runner.backend);
        accepting
            .chain(cold)
            .chain(evacuated)
            .chain(self.departing.values().map(|runner| &runner.backend))
    }

    fn backends_mut(&mut self) -> impl Iterator<Item = &mut RelayBackend> {
        let accepting =
            self.accepting.iter_mut().map(|(_, runner)| &mut runner.backend);
        let cold = self.cold.iter_mut().map(|(_, runner)| &mut runner.backend);
        let evacuated =
            self.evacuated.iter_mut().map(|(_, runner)| &mut runner.backend);
        let departing =
            self.departing.iter_mut().map(|(_, runner)| &mut runner.backend);
        accepting.chain(cold).chain(evacuated).chain(departing)
    }

    /// Returns whether a runner holds a model or adapter.
    pub fn holds(&self, name: &ModelName, now: EpochMillis) -> bool {
        self.backends().any(|backend| backend.holds(name, now))
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
        let candidates = self.candidates(call, catalog, now)?;
        let timing = self.timings.get(&call.service);
        let service = catalog.service(&call.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        let memory = engine.map(|engine| engine.token_capacity);
        let zone = &self.zone;
        let best =
            selection::best(&candidates, call, timing, memory, zone, now);
        let best = best.ok_or(PickFault::NoRunner)?.facts.id.clone();
        let make = || ServiceTiming::new(call.model.is_some());
        let timing = self.timings.entry(call.service.clone(), make);
        timing.note_sent(&call.profile, now);
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

    /// Records that the first event of a successful answer arrived from a start
    /// of a runner, or its whole answer to a plain call.
    pub fn note_first_event(
        &mut self,
        start: &RunnerStart,
        sent: SentCall,
        now: EpochMillis,
    ) {
        if let Some((backend, timing)) = self.learners(&start.id)
            && backend.facts.born == start.born
        {
            backend.note_first_event(sent, timing, now);
        }
    }

    /// Records the pace of a stream of a runner.
    pub fn note_pace(
        &mut self,
        runner: &str,
        model: &str,
        pace_us: u64,
        now: EpochMillis,
    ) {
        if let Some((backend, timing)) = self.learners(runner) {
            backend.note_pace(model, pace_us, timing, now);
        }
    }

    /// Returns a runner and what is common to its service, if the service has
    /// been sent a call.
    fn learners(
        &mut self,
        id: &str,
    ) -> Option<(&mut RelayBackend, &mut ServiceTiming)> {
        let backend = match self.accepting.get_mut(id) {
            Some(runner) => &mut runner.backend,
            None => &mut self.departing.get_mut(id)?.backend,
        };
        let timing = self.timings.get_mut(&backend.facts.service)?;
        Some((backend, timing))
    }

    /// Returns the free room for a call at the runners that could take it. The
    /// call isn't counted anywhere.
    pub fn headroom(
        &self,
        call: &CallRequirements,
        catalog: &ServiceCatalog,
        now: EpochMillis,
    ) -> Headroom {
        let candidates = self.candidates(call, catalog, now);
        let timing = self.timings.get(&call.service);
        selection::headroom(&candidates.unwrap_or_default(), call, timing, now)
    }

    /// Iterates over the runners that take calls and whose service was sent
    /// one: the id, the learned capacity, and the calls known to be in flight.
    pub fn capacities(
        &self,
        now: EpochMillis,
    ) -> impl Iterator<Item = (&str, f64, u32)> {
        self.accepting.values().filter_map(
            move |RelayRunner { backend, .. }| {
                let timing = self.timings.get(&backend.facts.service)?;
                let id = backend.facts.id.as_str();
                let limit = backend.limit(&timing.at(now), now);
                Some((id, limit, backend.load(now)))
            },
        )
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
        let Some(backend) = self.chosen_mut(choice) else { return };
        backend.end_call(choice, head_received, end, now);
        if let CallEnd::Complete { latency_us } = end
            && let Some((backend, timing)) = self.learners(&choice.runner)
        {
            backend.note_complete(choice, latency_us, timing, now);
        }
    }

    /// Returns the number of runners of a service that take calls.
    pub fn runners_of(&self, service: &str) -> usize {
        let runners = self.accepting.values();
        runners.filter(|r| r.backend.facts.service == service).count()
    }

    /// Returns whether a runner is in the table and takes new calls.
    pub fn takes_calls(&self, runner: &str) -> bool {
        self.accepting.get(runner).is_some() || self.cold.get(runner).is_some()
    }

    /// Returns whether a runner takes calls and holds what a call requires,
    /// whether or not it has a free place.
    pub fn may_serve(
        &self,
        runner: &str,
        call: &CallRequirements,
        now: EpochMillis,
    ) -> bool {
        let runner = self.accepting.get(runner);
        runner.is_some_and(|RelayRunner { backend, .. }| {
            serves(backend, call) && holds(backend, call, now)
        })
    }

    /// Returns the service of a runner, leaving or not.
    pub fn service_of(&self, runner: &str) -> Option<&str> {
        let accepting = self.accepting.get(runner).map(|one| &one.backend);
        let departing = || self.departing.get(runner).map(|one| &one.backend);
        let backend = accepting.or_else(departing)?;
        Some(&backend.facts.service)
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

    /// Returns the runners that may get a call, without the ejected ones unless
    /// there are no others.
    fn candidates(
        &self,
        call: &CallRequirements,
        catalog: &ServiceCatalog,
        now: EpochMillis,
    ) -> Result<Vec<Candidate<'_>>, PickFault> {
        let mut fault = PickFault::NoRunner;
        let mut candidates = Vec::new();
        for runner in self.accepting.values() {
            let Err(found) = check_candidate(runner, call, catalog, now)
            else {
                candidates.push(Candidate::new(&runner.backend, now));
                continue;
            };
            fault = closer_fault(fault, found);
        }
        for runner in self.cold.values() {
            let checked = check_candidate(runner, call, catalog, now)
                .and_then(|()| self.check_share(runner, now));
            match checked {
                Ok(()) => {
                    candidates.push(Candidate::new(&runner.backend, now));
                }
                Err(found) => fault = closer_fault(fault, found),
            }
        }
        if candidates.is_empty() {
            return Err(fault);
        }
        let not_ejected =
            |found: &Candidate<'_>| !found.backend.is_ejected(now);
        if candidates.iter().any(not_ejected) {
            candidates.retain(not_ejected);
        }
        Ok(candidates)
    }
}
