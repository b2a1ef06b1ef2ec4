//! The learned capacity of the runners, in metrics and log lines.

use std::time::Duration;

use crate::{
    clock::EpochMillis,
    metrics::{HostMetrics, RunnerLabels},
    relay::RelayTable,
    sorted::SortedTable,
};

/// Time between two updates of the metrics.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// Ratio of two capacities from which on the change is logged.
const LOGGED_RATIO: f64 = 1.6;
/// Time between two log lines on one runner. With one line in an update this
/// bounds the lines of a host, whatever its runners do.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What was last published of a runner.
#[derive(Debug)]
struct PublishedCapacity {
    /// Capacity of the last log line, or the first one known.
    logged: f64,
    log_after: EpochMillis,
    updated_at: EpochMillis,
}

/// Publishes the learned capacity of the runners.
#[derive(Debug, Default)]
pub(super) struct CapacityReport {
    due_at: EpochMillis,
    runners: SortedTable<String, PublishedCapacity>,
}

impl CapacityReport {
    /// Updates the metrics if that is due. Logs the runner whose capacity has
    /// changed most, if it has changed a lot.
    pub(super) fn publish(
        &mut self,
        table: &RelayTable,
        metrics: &HostMetrics,
        now: EpochMillis,
    ) {
        if now < self.due_at {
            return;
        }
        self.due_at = now.after(UPDATE_INTERVAL);
        let mut largest: Option<(f64, &str, f64, u32)> = None;
        for (id, capacity, in_flight) in table.capacities(now) {
            let labels = RunnerLabels { runner: id.to_owned() };
            let gauge = metrics.learned_capacity.get_or_create(&labels);
            gauge.set(capacity.round() as i64);
            let published = self.runners.entry(labels.runner, || {
                let log_after = EpochMillis::default();
                PublishedCapacity {
                    logged: capacity,
                    log_after,
                    updated_at: now,
                }
            });
            published.updated_at = now;
            let ratio = capacity / published.logged;
            let change = ratio.max(1.0 / ratio);
            if LOGGED_RATIO <= change
                && published.log_after <= now
                && largest.is_none_or(|(most, ..)| most < change)
            {
                largest = Some((change, id, capacity, in_flight));
            }
        }
        if let Some((_, id, capacity, in_flight)) = largest
            && let Some(published) = self.runners.get_mut(id)
        {
            tracing::info!(
                event = "capacity_changed",
                runner = id,
                former = format!("{:.1}", published.logged),
                capacity = format!("{capacity:.1}"),
                in_flight,
            );
            published.logged = capacity;
            published.log_after = now.after(LOG_INTERVAL);
        }
        self.runners.retain(|id, published| {
            let is_listed = published.updated_at == now;
            if !is_listed {
                let labels = RunnerLabels { runner: id.clone() };
                metrics.learned_capacity.remove(&labels);
            }
            is_listed
        });
    }
}
