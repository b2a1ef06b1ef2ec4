//! The part of the relay table that keeps cold runners.

use std::time::Duration;

use super::{
    backend::RelayBackend,
    choice::PickFault,
    cold::{ColdBounds, ColdDivision, ColdGate},
    life::{Cold, RelayRunner},
    notice::RunnerNotice,
    table::RelayTable,
};
use crate::{
    catalog::{ColdSpec, ServiceCatalog},
    clock::EpochMillis,
    customer::HostLiveness,
    roster::{RunnerFacts, RunnerStart},
    sorted::SortedTable,
};

/// Time within which a runner that has started again is listed with its new
/// start, beyond the time for which it is cold: it writes its row about once a
/// second, and hosts learn of a row within 1.3 s.
const LISTING_TIME: Duration = Duration::from_millis(3_000);
/// Shortest time after which a call that waits for a cold runner is tried
/// again.
const MIN_RETRY: Duration = Duration::from_millis(20);

/// The rules for cold runners.
#[derive(Debug, Default)]
pub(super) struct ColdRules {
    pub(super) division: ColdDivision,
    /// Services whose runners may be cold.
    services: SortedTable<String, ColdSpec>,
    /// Runners that turned warm since the last refresh.
    warmed: Vec<String>,
    /// Cold runners at the last refresh.
    known: Vec<String>,
}

/// What changed among the cold runners, and how many there are.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ColdSummary {
    /// Runners that turned cold, with the time until which they are.
    pub turned_cold: Vec<(String, EpochMillis)>,
    /// Runners that turned warm.
    pub warmed: Vec<String>,
    /// Number of cold runners.
    pub cold: usize,
    /// Number of cold runners to which this host may send calls.
    pub owned: usize,
    /// Whether this host may send calls to a cold runner to which it couldn't
    /// before.
    pub opened: bool,
}

/// Returns the state that is kept of a runner, which was `warm` or `cold`, and
/// the gate under which it continues if it is cold now.
pub(super) fn former_gate(
    warm: Option<RelayBackend>,
    cold: Option<RelayRunner<Cold>>,
) -> (Option<RelayBackend>, ColdGate) {
    match (warm, cold) {
        (Some(backend), _) => (Some(backend), ColdGate::after_warmth()),
        (None, Some(RelayRunner { backend, state })) => {
            (Some(backend), state.gate)
        }
        (None, None) => (None, ColdGate::default()),
    }
}

impl RelayTable {
    /// Creates an empty table for a host, with the bounds on the calls to cold
    /// runners.
    pub fn with_cold_bounds(
        host: &str,
        zone: &str,
        bounds: ColdBounds,
    ) -> RelayTable {
        let division = ColdDivision::new(host, zone, bounds);
        let mut table = RelayTable::new(zone);
        table.cold_rules.division = division;
        table
    }

    /// Sets which services have runners that may be cold. Takes effect with
    /// the next roster. Returns whether there are any.
    pub fn set_cold_services(&mut self, catalog: &ServiceCatalog) -> bool {
        let specs = catalog
            .services()
            .filter_map(|service| Some((service.name.clone(), service.cold?)));
        self.cold_rules.services = specs.collect();
        !self.cold_rules.services.is_empty()
    }

    /// Adds another host, which may own cold runners.
    pub fn add_host(&mut self, host: &str, zone: &str) {
        self.cold_rules.division.add_host(host, zone);
    }

    /// Removes a host that is gone for good.
    pub fn remove_host(&mut self, host: &str) {
        self.cold_rules.division.remove_host(host);
    }

    /// Records that the list of hosts was read.
    pub fn note_hosts_listed(&mut self, now: EpochMillis) {
        self.cold_rules.division.note_listed(now);
    }

    /// Determines which cold runners this host owns at `now`. Has to be called
    /// several times a second: a longer break counts as a pause of the
    /// process.
    pub fn refresh_cold(
        &mut self,
        liveness: &HostLiveness,
        now: EpochMillis,
    ) -> ColdSummary {
        self.cold_rules.division.observe(liveness, now);
        self.warm_up(now);
        let rules = &mut self.cold_rules;
        let mut summary = ColdSummary {
            warmed: std::mem::take(&mut rules.warmed),
            cold: self.cold.len(),
            ..ColdSummary::default()
        };
        for (id, runner) in self.cold.iter_mut() {
            let RunnerFacts { service, zone, .. } = &runner.backend.facts;
            let limits = rules.services.get(service).map_or((0, 0), |spec| {
                let bounds = rules.division.bounds();
                (bounds.owner_limit(spec), bounds.in_a_second(spec))
            });
            let gate = &mut runner.state.gate;
            let place = (id.as_str(), zone.as_str());
            let was_open = gate.is_open();
            gate.refresh(place, limits, &rules.division, liveness, now);
            summary.opened |= !was_open && gate.is_open();
            summary.owned += usize::from(gate.is_open());
            if rules.known.binary_search(id).is_err() {
                let until = runner.state.until;
                summary.turned_cold.push((id.clone(), until));
            }
        }
        rules.known = self.cold.keys().cloned().collect();
        summary
    }

    /// Ends the bound on the calls of the runners that are warm by now.
    pub(super) fn warm_up(&mut self, now: EpochMillis) {
        let is_warm = |runner: &RelayRunner<Cold>| runner.state.until <= now;
        if !self.cold.values().any(is_warm) {
            return;
        }
        let ids: Vec<String> = self.cold.keys().cloned().collect();
        for id in ids {
            if self.cold.get(&id).is_some_and(is_warm)
                && let Some(runner) = self.cold.remove(&id)
            {
                self.accepting.insert(id.clone(), runner.warm());
                self.cold_rules.warmed.push(id);
            }
        }
    }

    /// Returns the time until which a listed runner is cold, if it is.
    pub(super) fn cold_end(
        &self,
        facts: &RunnerFacts,
        notice: &RunnerNotice,
    ) -> Option<EpochMillis> {
        let rules = &self.cold_rules;
        rules.services.get(&facts.service)?;
        let end = facts.cold_until.max(notice.cold_until);
        (rules.division.observed_at() < end).then_some(end)
    }

    /// Applies what a runner stated about being cold.
    pub(super) fn note_cold(
        &mut self,
        start: &RunnerStart,
        notice: RunnerNotice,
        now: EpochMillis,
    ) {
        if let Some(runner) = self.cold.get_mut(&start.id)
            && runner.backend.facts.born == start.born
        {
            runner.pause(notice.paused_until);
            let until = runner.state.until.max(notice.cold_until);
            runner.state.until = until;
        }
        if now < notice.cold_until {
            self.chill(start, notice.cold_until);
        }
    }

    /// Treats a runner as cold, as this start of it may have ended: it may be
    /// back at the same address, and the registry's row of the former start
    /// says nothing about the next one. The next start's row replaces this.
    /// Returns whether the runner was taken for warm.
    pub fn suspect_restart(
        &mut self,
        start: &RunnerStart,
        now: EpochMillis,
    ) -> bool {
        let Some(backend) = self.backend(&start.id) else { return false };
        let spec = self.cold_rules.services.get(&backend.facts.service);
        let Some(spec) = spec else { return false };
        let span = Duration::from_millis(spec.span_ms) + LISTING_TIME;
        let cold_until = now.after(span);
        let notice = RunnerNotice { cold_until, ..RunnerNotice::default() };
        let was_warm = self.accepting.get(&start.id).is_some();
        self.note_runner(start, notice, now);
        was_warm && self.cold.get(&start.id).is_some()
    }

    /// Bounds the calls of a runner that accepts them, unless another start of
    /// it is listed or its service has no cold runners.
    fn chill(&mut self, start: &RunnerStart, until: EpochMillis) {
        let is_listed = self.accepting.get(&start.id).is_some_and(|runner| {
            let facts = &runner.backend.facts;
            facts.born == start.born
                && self.cold_rules.services.get(&facts.service).is_some()
        });
        if is_listed && let Some(runner) = self.accepting.remove(&start.id) {
            let runner = runner.chill(until, ColdGate::after_warmth());
            self.cold.insert(start.id.clone(), runner);
        }
    }

    /// Takes out a cold runner, if this start of it is listed.
    pub(super) fn take_cold(
        &mut self,
        start: &RunnerStart,
    ) -> Option<RelayRunner<Cold>> {
        let listed = self.cold.get(&start.id)?;
        let is_same = listed.backend.facts.born == start.born;
        is_same.then(|| self.cold.remove(&start.id))?
    }

    /// Checks whether this host may send a call to a cold runner.
    pub(super) fn check_share(
        &self,
        runner: &RelayRunner<Cold>,
        now: EpochMillis,
    ) -> Result<(), PickFault> {
        let division = &self.cold_rules.division;
        let admitted = runner.state.gate.admit(division, now);
        admitted.map_err(|at| {
            let at = at.min(runner.state.until).max(now.after(MIN_RETRY));
            PickFault::Cold(at)
        })
    }

    fn backend(&self, id: &str) -> Option<&RelayBackend> {
        let accepting = self.accepting.get(id).map(|runner| &runner.backend);
        accepting.or_else(|| self.cold.get(id).map(|found| &found.backend))
    }
}
