//! The part of the router that applies what runners state about themselves.

use super::{evacuations::EvacuationWatch, router::RouterTask};
use crate::{clock::EpochMillis, relay::RunnerNotice, roster::RunnerStart};

impl RouterTask {
    /// Takes the runners of evacuated zones out of choice, and those of others
    /// in again. The task does so before it adopts a catalog: a host that
    /// starts is told of evacuated zones first.
    pub(super) fn adopt_evacuations(
        &mut self,
        evacuations: &mut EvacuationWatch,
    ) {
        let newest = evacuations.borrow_and_update().clone();
        self.table.set_evacuations(newest);
        self.readopt_roster();
    }

    /// Applies the roster once more, by other rules.
    pub(super) fn readopt_roster(&mut self) {
        let roster = self.setup.roster.borrow().clone();
        self.adopt_roster(&roster.unwrap_or_default());
    }

    /// Closes the idle connections to runners that take no more calls.
    pub(super) fn close_unused_links(&mut self) {
        let table = &self.table;
        self.links.retain(|runner| table.takes_calls(runner));
    }

    /// Applies what a runner stated about itself in an answer.
    pub(super) fn note_runner(
        &mut self,
        start: &RunnerStart,
        notice: RunnerNotice,
        now: EpochMillis,
    ) {
        if notice.is_empty() {
            return;
        }
        let took_calls = self.table.takes_calls(&start.id);
        self.table.note_runner(start, notice, now);
        if took_calls && !self.table.takes_calls(&start.id) {
            log_departure(start, "answer");
            self.close_unused_links();
        }
        if now < notice.paused_until {
            tracing::info!(
                event = "runner_paused",
                runner = start.id,
                pause_ms = now.until(notice.paused_until).as_millis() as u64,
            );
        }
    }

    /// Applies what runners told another host: that they are leaving.
    pub(super) fn note_departures(
        &mut self,
        starts: &[RunnerStart],
        now: EpochMillis,
    ) {
        for start in starts {
            if self.table.note_departure(start, now) {
                log_departure(start, "host");
            }
        }
        self.close_unused_links();
    }
}

fn log_departure(start: &RunnerStart, source: &str) {
    let RunnerStart { id, born } = start;
    tracing::info!(event = "runner_departing", runner = id, born, source);
}
