//! Log lines of the lease holder about the plan and the models in demand.

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    clock::EpochMillis,
    placement::{MissingModel, ReachChange, StateCounts},
};

/// Figures of one turn of the plan.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PlanTurn {
    /// Orders that the plan asks for.
    pub(super) steps: usize,
    /// Orders that were sent.
    pub(super) ordered: usize,
    /// Loads that the weight store's limit held back.
    pub(super) held_back: usize,
    /// Loads that may still start.
    pub(super) open_loads: usize,
    /// Models that some runner holds.
    pub(super) held_models: usize,
    /// Models in demand that no runner holds.
    pub(super) missing_models: usize,
    /// Sources of the demand.
    pub(super) hosts: usize,
    /// Age of the oldest demand that counts.
    pub(super) oldest_demand: Duration,
    /// Runners whose state the other hosts haven't been sent.
    pub(super) unannounced: usize,
}

/// Logs a turn that began at `began`.
pub(super) fn log_turn(turn: &PlanTurn, states: StateCounts, began: Instant) {
    tracing::info!(
        event = "plan_turn",
        turn_us = began.elapsed().as_micros() as u64,
        steps = turn.steps,
        ordered = turn.ordered,
        held_back = turn.held_back,
        open_loads = turn.open_loads,
        held_models = turn.held_models,
        missing_models = turn.missing_models,
        hosts = turn.hosts,
        oldest_demand_ms = turn.oldest_demand.as_millis() as u64,
        unannounced = turn.unannounced,
        needs_report = states.needs_report,
        idle = states.idle,
        pending = states.pending,
        unanswered = states.unanswered,
    );
}

/// Logs that a model in demand has become missing, or isn't any more.
pub(super) fn log_reach(
    (model, change, missing): &(String, ReachChange, MissingModel),
    now: EpochMillis,
) {
    let ordered_at = missing.ordered_at;
    tracing::info!(
        event = "model_reach",
        model,
        change = ?change,
        demand = missing.demand,
        missing_ms = missing.since.until(now).as_millis() as u64,
        ordered_ms = ordered_at.map(|at| {
            missing.since.until(at).as_millis() as u64
        }),
    );
}
