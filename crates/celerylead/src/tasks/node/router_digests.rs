//! The part of the router that exchanges loads and spending with other hosts.

use std::time::Duration;

use super::router::RouterTask;
use crate::{
    clock::EpochMillis,
    membership::{FleetDigest, HostDigest, RunnerLoad, SpentTotal},
};

/// Delay from a digest that shows freed capacity until the waiting calls are
/// tried again. Without the delay they would be tried with each of the
/// hundreds of digests that arrive per second.
const RETRY_WAITING_DELAY: Duration = Duration::from_millis(20);
/// Name under which the calls of all other hosts are kept; no host has it.
const OTHER_HOSTS: &str = "";

impl RouterTask {
    /// Applies the digest of another host, received at `at`.
    pub(super) fn merge(&mut self, digest: &HostDigest, at: EpochMillis) {
        self.host_liveness.record_report(&digest.host, at);
        self.update_peer_loads(&digest.host, &digest.loads, at);
        for spent in &digest.spent {
            if let Some(bucket) = self.buckets.get_mut(&spent.customer) {
                let SpentTotal { total, level, .. } = *spent;
                let incarnation = digest.incarnation;
                bucket.record_total(&digest.host, incarnation, total, level);
            }
        }
    }

    /// Applies an aggregator's digest of all other hosts, received at `at`.
    pub(super) fn merge_fleet(
        &mut self,
        digest: &FleetDigest,
        absent: &[String],
        at: EpochMillis,
    ) {
        self.host_liveness.record_reports(absent, at);
        self.update_peer_loads(OTHER_HOSTS, &digest.loads, at);
        let source = digest.source.incarnation;
        for SpentTotal { customer, total, level } in &digest.spent {
            if let Some(bucket) = self.buckets.get_mut(customer) {
                bucket.record_sum(source, *total, *level, at);
            }
        }
    }

    fn update_peer_loads(
        &mut self,
        source: &str,
        loads: &[RunnerLoad],
        at: EpochMillis,
    ) {
        let load_fell = self.table.update_peer_loads(source, loads, at);
        if load_fell && !self.admission.is_empty() {
            let retry_at = at.after(RETRY_WAITING_DELAY);
            let next =
                self.retry_waiting_at.map_or(retry_at, |at| at.min(retry_at));
            self.retry_waiting_at = Some(next);
        }
    }

    /// Returns the load and the spending of this host, for its digest.
    pub(super) fn digest(&self) -> HostDigest {
        HostDigest {
            loads: self.table.loads(),
            spent: self
                .buckets
                .iter()
                .map(|(customer, bucket)| SpentTotal {
                    customer: customer.to_owned(),
                    total: bucket.spent(),
                    level: bucket.known_level(),
                })
                .collect(),
            ..HostDigest::default()
        }
    }
}
