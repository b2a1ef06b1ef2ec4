//! The part of the router that bounds the calls to cold runners.

use std::time::Duration;

use super::{router::RouterTask, router_port::CompletedCall};
use crate::{
    catalog::ServiceCatalog, clock::EpochMillis, relay::CallEnd,
    roster::RunnerStart,
};

/// Time between two determinations of this host's shares. Digests arrive every
/// 200 ms.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

impl RouterTask {
    /// Sets which services have runners that may be cold.
    pub(super) fn set_cold_services(&mut self, catalog: &ServiceCatalog) {
        let were_any = self.cold_refresh_at.is_some();
        let are_any = self.table.set_cold_services(catalog);
        if were_any || are_any {
            self.cold_refresh_at = are_any.then(EpochMillis::default);
            self.readopt_roster();
        }
    }

    /// Determines this host's shares of the calls to cold runners, if it is
    /// time. The gossip task asks for something in each of its rounds, which
    /// makes this regular.
    pub(super) fn refresh_cold(&mut self, now: EpochMillis) {
        if self.cold_refresh_at.is_none_or(|at| now < at) {
            return;
        }
        self.cold_refresh_at = Some(now.after(REFRESH_INTERVAL));
        let summary = self.table.refresh_cold(&self.host_liveness, now);
        for (runner, until) in &summary.turned_cold {
            let cold_ms = now.until(*until).as_millis() as u64;
            tracing::info!(event = "runner_cold", runner, cold_ms);
        }
        for runner in &summary.warmed {
            tracing::info!(event = "runner_warm", runner);
        }
        let metrics = &self.setup.metrics;
        metrics.cold_runners.set(summary.cold as i64);
        metrics.owned_cold_runners.set(summary.owned as i64);
        if summary.opened || !summary.warmed.is_empty() {
            self.retry_waiting();
        }
    }

    /// Takes in which runners other hosts saw end: one may be back at the same
    /// address before the registry lists its next start.
    pub(super) fn suspect_restarts<'a>(
        &mut self,
        starts: impl Iterator<Item = &'a RunnerStart>,
        now: EpochMillis,
    ) {
        for start in starts {
            self.table.suspect_restart(start, now);
        }
    }

    /// Takes in that a call got no connection to its runner, and tells the
    /// other hosts if the runner may be cold now.
    pub(super) fn note_unreachable(
        &mut self,
        completed: &CompletedCall,
        now: EpochMillis,
    ) {
        if completed.end != CallEnd::Unreachable {
            return;
        }
        let start = completed.choice.start();
        if self.table.suspect_restart(&start, now) {
            self.setup.gossip.report_unreachable(start);
        }
    }
}
