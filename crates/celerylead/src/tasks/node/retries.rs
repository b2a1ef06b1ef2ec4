//! The part of the router that grants retries within the budgets of the
//! services.

use std::time::Duration;

use crate::{
    clock::EpochMillis, metrics::HostMetrics, relay::CallRequirements,
    request::RetryWindow, sorted::SortedTable,
};

/// Share of the platform's retry allowance that the hosts use.
const RETRY_BUDGET_SHARE: f64 = 0.8;

/// The platform's retry allowance for each service, over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RetryAllowance {
    /// Retries allowed per call.
    pub(crate) share: f64,
    /// Retries allowed beyond `share` in the window.
    pub(crate) slack: f64,
    /// Window over which calls and retries are counted.
    pub(crate) window: Duration,
}

/// The retry budgets by service.
pub(super) struct RetryDesk {
    allowance: RetryAllowance,
    budgets: SortedTable<String, RetryWindow>,
    metrics: HostMetrics,
}

impl RetryDesk {
    pub(super) fn new(
        allowance: RetryAllowance,
        metrics: HostMetrics,
    ) -> RetryDesk {
        RetryDesk { allowance, budgets: SortedTable::default(), metrics }
    }

    /// Counts a call that wasn't sent yet.
    pub(super) fn record_request(&mut self, service: &str, now: EpochMillis) {
        self.budget(service).record_request(now);
    }

    /// Grants a further send of a call, or returns `false` if the budget of its
    /// service is spent. `hosts` is the number of known hosts.
    pub(super) fn grant(
        &mut self,
        call: &CallRequirements,
        hosts: usize,
        now: EpochMillis,
    ) -> bool {
        let share = self.allowance.share * RETRY_BUDGET_SHARE;
        let slack = self.allowance.slack * RETRY_BUDGET_SHARE / hosts as f64;
        let budget = self.budget(&call.service);
        let granted = budget.spend(share, slack, now);
        let (requests, retries) = budget.counts(now);
        let outcome = if granted { "granted" } else { "denied" };
        tracing::info!(
            event = "retry_decided",
            request_id = call.id.as_str(),
            service = call.service,
            outcome,
            requests,
            retries,
            slack,
            hosts,
        );
        self.metrics.count_retry(&call.service, outcome);
        granted
    }

    fn budget(&mut self, service: &str) -> &mut RetryWindow {
        let window = self.allowance.window;
        self.budgets.entry(service.to_owned(), || RetryWindow::new(window))
    }
}
