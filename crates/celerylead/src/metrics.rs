//! Metrics of a host, in the Prometheus text format.
//!
//! No label contains a key or the content of a request. Labels are names from
//! the settings and codes, so the number of series is bounded.

use std::sync::Arc;

use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use crate::clock::EpochMillis;

/// Labels of the counter of answers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct AnswerLabels {
    pub(crate) customer: String,
    pub(crate) code: String,
}

/// Labels of the counter of retries.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RetryLabels {
    pub(crate) service: String,
    pub(crate) outcome: &'static str,
}

/// Labels of the counter of tokens.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct TokenLabels {
    pub(crate) customer: String,
    pub(crate) kind: &'static str,
}

/// Labels of the counters of waits for a runner.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct WaitLabels {
    pub(crate) class: &'static str,
    pub(crate) cause: &'static str,
}

/// Labels of the counter of the time that calls of a customer have waited.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct WaitedLabels {
    pub(crate) customer: String,
    pub(crate) class: &'static str,
}

/// Labels of the counter of calls that were refused for lack of a runner.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RefusalLabels {
    pub(crate) class: &'static str,
    pub(crate) cause: &'static str,
    pub(crate) reason: &'static str,
}

/// Labels of the metrics of one of the platform's tables.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct TableLabels {
    pub(crate) table: &'static str,
}

/// Labels of the counters of bodies and connections that a host ends.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CauseLabels {
    pub(crate) cause: &'static str,
}

/// Labels of the metrics of a runner.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RunnerLabels {
    pub(crate) runner: String,
}

/// The metrics of one host. Clones share the same series.
#[derive(Clone)]
pub(crate) struct HostMetrics {
    registry: Arc<Registry>,
    pub(crate) answers: Family<AnswerLabels, Counter>,
    pub(crate) retries: Family<RetryLabels, Counter>,
    pub(crate) tokens: Family<TokenLabels, Counter>,
    pub(crate) waiting: Gauge,
    pub(crate) waits: Family<WaitLabels, Counter>,
    pub(crate) waited_ms: Family<WaitedLabels, Counter>,
    pub(crate) refusals: Family<RefusalLabels, Counter>,
    pub(crate) in_flight: Gauge,
    pub(crate) revision: Gauge,
    pub(crate) lease_live: Gauge,
    pub(crate) platform_errors: Counter,
    pub(crate) store_returns: Counter,
    pub(crate) readings: Family<TableLabels, Gauge>,
    pub(crate) peer_bytes: Counter,
    pub(crate) usage_waiting: Gauge,
    pub(crate) first_byte: Histogram,
    pub(crate) crash_witnesses: Counter,
    pub(crate) rejected_parts: Gauge,
    pub(crate) cold_runners: Gauge,
    pub(crate) owned_cold_runners: Gauge,
    pub(crate) cold_sends: Counter,
    pub(crate) intake_bytes: Gauge,
    pub(crate) bodies_ended: Family<CauseLabels, Counter>,
    pub(crate) open_connections: Gauge,
    pub(crate) connections_closed: Family<CauseLabels, Counter>,
    pub(crate) learned_capacity: Family<RunnerLabels, Gauge>,
    pub(crate) evacuated_zones: Gauge,
}

impl Default for HostMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("celerylead");
        let answers = Family::default();
        let retries = Family::default();
        let tokens = Family::default();
        let waiting = Gauge::default();
        let waits = Family::default();
        let waited_ms = Family::default();
        let refusals = Family::default();
        let in_flight = Gauge::default();
        let revision = Gauge::default();
        let lease_live = Gauge::default();
        let platform_errors = Counter::default();
        let store_returns = Counter::default();
        let readings = Family::default();
        let peer_bytes = Counter::default();
        let usage_waiting = Gauge::default();
        let buckets = exponential_buckets(0.001, 2.0, 16);
        let first_byte = Histogram::new(buckets);
        let crash_witnesses = Counter::default();
        let rejected_parts = Gauge::default();
        let cold_runners = Gauge::default();
        let owned_cold_runners = Gauge::default();
        let cold_sends = Counter::default();
        let evacuated_zones = Gauge::default();
        registry.register(
            "evacuated_zones",
            "Zones whose runners get nothing, by the operator's word",
            evacuated_zones.clone(),
        );
        registry.register(
            "cold_runners",
            "Runners that are cold, as this host knows",
            cold_runners.clone(),
        );
        registry.register(
            "owned_cold_runners",
            "Cold runners to which this host may send requests",
            owned_cold_runners.clone(),
        );
        registry.register(
            "cold_sends",
            "Requests for which a cold runner was chosen",
            cold_sends.clone(),
        );
        let intake_bytes = Gauge::default();
        let bodies_ended = Family::default();
        let open_connections = Gauge::default();
        let connections_closed = Family::default();
        let learned_capacity = Family::default();
        registry.register(
            "answers",
            "Answers by customer and code; ok is a whole answer",
            answers.clone(),
        );
        registry.register(
            "retries",
            "Decisions on further sends of calls by service",
            retries.clone(),
        );
        registry.register(
            "tokens",
            "Tokens by customer: reserved, used and refused",
            tokens.clone(),
        );
        registry.register(
            "waiting_requests",
            "Requests that wait for a runner",
            waiting.clone(),
        );
        registry.register(
            "waits",
            "Requests that began to wait for a runner, by class and cause",
            waits.clone(),
        );
        registry.register(
            "waited_milliseconds",
            "Time that requests waited for a runner, by customer and class",
            waited_ms.clone(),
        );
        registry.register(
            "no_runner_refusals",
            "Requests refused for lack of a runner, by class, cause and reason",
            refusals.clone(),
        );
        registry.register(
            "in_flight_requests",
            "Requests that are being answered",
            in_flight.clone(),
        );
        registry.register(
            "settings_revision",
            "Revision of the settings in force",
            revision.clone(),
        );
        registry.register(
            "lease_live",
            "1 while the host holds its lease",
            lease_live.clone(),
        );
        registry.register(
            "platform_errors",
            "Failed calls of the platform's services",
            platform_errors.clone(),
        );
        registry.register(
            "store_returns",
            "Whole readings of a table because the store came back from an \
             older copy",
            store_returns.clone(),
        );
        registry.register(
            "reading_answered_seconds",
            "Point of the last answered reading, by table, since the epoch",
            readings.clone(),
        );
        registry.register(
            "peer_bytes",
            "Bytes sent to other hosts, of a host behind an adapter",
            peer_bytes.clone(),
        );
        registry.register(
            "usage_waiting_records",
            "Usage records that are not confirmed yet",
            usage_waiting.clone(),
        );
        registry.register(
            "first_byte_seconds",
            "Time from a request to the head of its answer",
            first_byte.clone(),
        );
        registry.register(
            "crash_witnesses",
            "Calls that ended with their runner before their answers went on",
            crash_witnesses.clone(),
        );
        registry.register(
            "rejected_parts",
            "Parts of prompts that are suspended or rejected, as they may crash runners",
            rejected_parts.clone(),
        );
        registry.register(
            "intake_bytes",
            "Memory that bodies and buffered answers hold",
            intake_bytes.clone(),
        );
        registry.register(
            "bodies_ended",
            "Bodies of requests that were refused or given up, by cause",
            bodies_ended.clone(),
        );
        registry.register(
            "open_connections",
            "Connections of callers",
            open_connections.clone(),
        );
        registry.register(
            "connections_closed",
            "Connections of callers that the host closed, by cause",
            connections_closed.clone(),
        );
        registry.register(
            "learned_capacity",
            "Calls that a runner takes well, as this host has learned it",
            learned_capacity.clone(),
        );
        HostMetrics {
            registry: Arc::new(registry),
            answers,
            retries,
            tokens,
            waiting,
            waits,
            waited_ms,
            refusals,
            in_flight,
            revision,
            lease_live,
            platform_errors,
            store_returns,
            readings,
            peer_bytes,
            usage_waiting,
            first_byte,
            crash_witnesses,
            rejected_parts,
            cold_runners,
            owned_cold_runners,
            cold_sends,
            intake_bytes,
            bodies_ended,
            open_connections,
            connections_closed,
            learned_capacity,
            evacuated_zones,
        }
    }
}

impl HostMetrics {
    /// Counts an answer to a customer.
    pub(crate) fn count_answer(&self, customer: &str, code: &str) {
        let labels = AnswerLabels {
            customer: customer.to_owned(),
            code: code.to_owned(),
        };
        self.answers.get_or_create(&labels).inc();
    }

    /// Counts a body that was refused or given up.
    pub(crate) fn count_body_end(&self, cause: &'static str) {
        self.bodies_ended.get_or_create(&CauseLabels { cause }).inc();
    }

    /// Counts a connection that was closed.
    pub(crate) fn count_close(&self, cause: &'static str) {
        self.connections_closed.get_or_create(&CauseLabels { cause }).inc();
    }

    /// Counts a decision on a further send of a call to a service.
    pub(crate) fn count_retry(&self, service: &str, outcome: &'static str) {
        let service = service.to_owned();
        let labels = RetryLabels { service, outcome };
        self.retries.get_or_create(&labels).inc();
    }

    /// Records that a read of a table was answered at `at`.
    pub(crate) fn note_reading(&self, table: &'static str, at: EpochMillis) {
        let seconds = i64::try_from(at.0 / 1_000).unwrap_or(i64::MAX);
        self.readings.get_or_create(&TableLabels { table }).set(seconds);
    }

    /// Counts tokens of a customer.
    pub(crate) fn count_tokens(
        &self,
        customer: &str,
        kind: &'static str,
        tokens: u64,
    ) {
        let labels = TokenLabels { customer: customer.to_owned(), kind };
        self.tokens.get_or_create(&labels).inc_by(tokens);
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        let mut page = String::new();
        // Writing into a string can't fail.
        let _ = text::encode(&mut page, &self.registry);
        page
    }
}
