//! Whether a runner may get a call, whatever that would cost.

use super::{
    backend::{RelayBackend, hard_limit},
    call::CallRequirements,
    choice::PickFault,
    life::{RelayRunner, TakesCalls},
};
use crate::{catalog::ServiceCatalog, clock::EpochMillis, model::ModelName};

/// Returns whether a runner belongs to the service of a call.
pub(super) fn serves(backend: &RelayBackend, call: &CallRequirements) -> bool {
    backend.facts.service == call.service
}

/// Returns whether a runner holds the model and adapter that a call
/// requires.
pub(super) fn holds(
    backend: &RelayBackend,
    call: &CallRequirements,
    now: EpochMillis,
) -> bool {
    call.model.as_ref().is_none_or(|name| backend.holds(name, now))
}

/// Checks whether a runner may get a call, and returns the reason if not.
pub(super) fn check_candidate<S: TakesCalls>(
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
    let load = backend.load(now);
    let capacity = hard_limit(backend.facts.slots, engine.is_some());
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
pub(super) fn closer_fault(one: PickFault, other: PickFault) -> PickFault {
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
