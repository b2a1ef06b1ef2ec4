//! Service discovery: the runners that an external registry lists.
//!
//! Runners register themselves, and their entries disappear from the
//! registry when the runners leave or become unresponsive. A host follows the
//! registry through a feed and keeps a [`RunnerRoster`] of the entries that
//! it may use. Three rules apply:
//!
//! * A withdrawn entry is dropped at once. The runner of an entry marked as
//!   leaving takes no new work.
//! * While the registry can't be reached, the last known entries stay in
//!   use. Just after an outage of the registry, an entry may be missing only
//!   because it lapsed during the outage. A missing entry therefore stays in
//!   use as [`Lapsed`] until a deadline, and is dropped if it isn't listed
//!   again by then.
//! * An entry that can't be parsed yields no runner, and doesn't affect the
//!   other entries.

mod cold_ends;
mod entry;
mod list;
mod repeats;
#[cfg(test)]
mod tests;

pub use self::{
    cold_ends::ColdEnds,
    entry::{
        HeldModel, Lapsed, Listed, RosterEntry, RunnerFacts, RunnerStart,
    },
    list::{RosterChange, RunnerRoster},
    repeats::RepeatFilter,
};
