//! Admission: which waiting call gets the next free place, which calls wait,
//! and which are refused.
//!
//! A call that got no runner, or that yields to more urgent ones, waits in an
//! [`Admission`]. Calls for the same service, model and adapter wait in the
//! same [`Lane`], so that a freed place is offered only to lanes that its
//! runner can serve. Nothing in this module reads a clock, a random number or
//! a socket.
//!
//! * Order: by priority, then calls that can still meet their target before
//!   those that can't, then by fair shares of the customers, then by the time
//!   left to the target. Calls without a target are served in order of
//!   arrival and aren't subject to fair shares.
//! * A batch call (low priority, long target) waits while urgent calls wait or
//!   little room is left, until three quarters of the time to its target have
//!   passed.
//! * While calls wait, one in eight turns goes to the priority of which
//!   no call got a place for longest, so that no class starves.
//! * A call with a target is refused at once if the expected wait passes the
//!   limit of its wait. Without a figure, and without a target, a call waits
//!   for as long as its base limit says.

mod fair;
mod pace;
mod queue;
mod retry;
mod round;
#[cfg(test)]
mod tests;
mod ticket;

use crate::clock::EpochMillis;

pub use self::{
    pace::WaitBasis,
    queue::{Admission, Entry, Refused, Waiting},
    retry::retry_at,
    round::{Round, Scope},
    ticket::{CallClass, Lane, Ticket, WaitCause},
};

/// Room at the runners that could run a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// Calls that these runners can run well at the same time.
    pub places: u32,
    /// Calls in flight there.
    pub taken: u32,
}

/// What admission asks of the table of runners.
pub trait RunnerRoom<T> {
    /// Returns the room at the runners that could run a call.
    fn room(&self, call: &T, now: EpochMillis) -> Room;

    /// Returns whether a runner could run a call when it has a free place.
    fn serves(&self, runner: &str, call: &T, now: EpochMillis) -> bool;
}
