//! What admission knows about a call.

use std::time::Duration;

use crate::{clock::EpochMillis, model::ModelName, relay::CallRequirements};

/// Shortest time to the target of a batch call. Targets of calls for which a
/// user waits are 100 to 500 ms.
const MIN_BATCH_SPAN: Duration = Duration::from_millis(1_000);
/// Part of the time to its target after which a batch call counts as urgent.
const BATCH_AGE: f64 = 0.75;
/// Part of its time that an urgent call may wait for a free place. A stream
/// takes one to two seconds of its ten, so the rest suffices to run it.
const URGENT_WAIT_SHARE: f64 = 0.4;
/// Part of its time that a batch call may wait for a free place.
const BATCH_WAIT_SHARE: f64 = 0.5;
/// Part of its time that a call may wait until a runner holds its model. A
/// call that is refused after three quarters has no time left to return.
const LOAD_WAIT_SHARE: f64 = 0.7;

/// Calls that the same runners can serve wait in the same lane.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Lane {
    /// Service of the calls.
    pub service: String,
    /// Model and adapter, for a model engine.
    pub model: Option<ModelName>,
}

/// How urgent a call is at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallClass {
    /// The call has no target.
    Untargeted,
    /// The call is to begin as soon as possible.
    Urgent,
    /// The call may wait for room that urgent calls don't need.
    Batch,
}

impl CallClass {
    /// Returns the name of the class in log lines and metrics.
    pub fn text(self) -> &'static str {
        match self {
            CallClass::Untargeted => "untargeted",
            CallClass::Urgent => "urgent",
            CallClass::Batch => "batch",
        }
    }
}

/// What a call waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitCause {
    /// A free place at a runner.
    Place,
    /// Room that urgent calls don't need.
    Yield,
    /// A runner that holds the model or adapter.
    Model,
    /// A runner, the end of a pause, or a share of a cold runner.
    Runner,
}

impl WaitCause {
    /// Returns the name of the cause in log lines and metrics.
    pub fn text(self) -> &'static str {
        match self {
            WaitCause::Place => "place",
            WaitCause::Yield => "yield",
            WaitCause::Model => "model",
            WaitCause::Runner => "runner",
        }
    }
}

/// The terms on which a call waits.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// Lane in which the call waits.
    pub lane: Lane,
    /// Customer of the call; empty without one.
    pub customer: String,
    /// Time of arrival.
    pub arrived: EpochMillis,
    /// Time after which the caller has no use for an answer.
    pub deadline: EpochMillis,
    /// Time by which the answer should begin, if there is a target.
    pub target: Option<EpochMillis>,
    /// Configured priority; 0 is the highest.
    pub priority: u8,
    /// Tokens that the call takes.
    pub tokens: u64,
    /// Memory that the call's body takes while it waits.
    pub bytes: u64,
    /// Limit of the wait of calls without a target, and of those for which no
    /// wait can be estimated.
    pub base_until: EpochMillis,
    /// Whether the call was sent to a runner before.
    pub is_resend: bool,
    /// Whether some runners were tried already, so that a failure to place
    /// this call says nothing about other calls of its lane.
    pub is_restricted: bool,
}

impl Ticket {
    /// Returns the terms of a call that arrives at `now` and may wait until
    /// `base_until` under the rules for calls without a target.
    pub fn of(
        call: &CallRequirements,
        base_until: EpochMillis,
        now: EpochMillis,
    ) -> Ticket {
        let profile = &call.profile;
        Ticket {
            lane: Lane {
                service: call.service.clone(),
                model: call.model.clone(),
            },
            customer: profile.customer.clone(),
            arrived: now,
            deadline: call.deadline,
            target: profile.target,
            priority: profile.priority,
            tokens: call.tokens,
            bytes: profile.body_bytes,
            base_until,
            is_resend: call.sent,
            is_restricted: !call.tried.is_empty(),
        }
    }

    /// Returns the class of the call at `now`.
    pub fn class(&self, now: EpochMillis) -> CallClass {
        match self.batch_until() {
            Some(end) if now < end => CallClass::Batch,
            _ if self.target.is_none() => CallClass::Untargeted,
            _ => CallClass::Urgent,
        }
    }

    /// Returns the time from which a batch call counts as urgent; `None` if
    /// the call was never one.
    pub fn batch_until(&self) -> Option<EpochMillis> {
        let span = self.arrived.until(self.target?);
        let is_batch =
            0 < self.priority && !self.is_resend && MIN_BATCH_SPAN <= span;
        is_batch.then(|| self.arrived.after(span.mul_f64(BATCH_AGE)))
    }

    /// Returns the priority at `now`: a batch call that has become urgent has
    /// the highest.
    pub fn priority(&self, now: EpochMillis) -> u8 {
        match self.batch_until() {
            Some(end) if end <= now => 0,
            _ => self.priority,
        }
    }

    /// Returns whether the target has passed.
    pub fn is_late(&self, now: EpochMillis) -> bool {
        self.target.is_some_and(|target| target <= now)
    }

    /// Returns the time by which calls of equal class and share are ordered.
    /// Calls without a target come in order of arrival.
    pub(super) fn due(&self) -> EpochMillis {
        self.target.unwrap_or(self.arrived)
    }

    /// Returns how long the call may wait for `cause` if its wait can be
    /// estimated. A call that was sent before holds a part of the retry
    /// budget, so it waits no longer than its base limit.
    pub(super) fn limit(&self, cause: WaitCause) -> EpochMillis {
        if self.target.is_none() || self.is_resend {
            return self.base_until;
        }
        let share = match cause {
            WaitCause::Runner => return self.base_until,
            WaitCause::Model => LOAD_WAIT_SHARE,
            _ if self.batch_until().is_some() => BATCH_WAIT_SHARE,
            _ => URGENT_WAIT_SHARE,
        };
        let left = self.arrived.until(self.deadline);
        self.base_until.max(self.arrived.after(left.mul_f64(share)))
    }
}
