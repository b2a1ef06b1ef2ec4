//! Which runners exist, as a registry outside the hosts says.
//!
//! Runners enter themselves in the registry and their entries vanish when
//! they leave or fall silent. A host follows the registry through a feed and
//! keeps a [`RunnerRoster`]: the entries it may use. Three rules stand here:
//!
//! * An entry that is withdrawn is gone at once, and a leaving one takes no
//!   new work.
//! * While the registry can't be reached the last entries hold. Just after
//!   its return an entry may be missing only because it lapsed during the
//!   outage; such an entry stays [`Lapsed`] until a deadline, in use, and is
//!   gone if it isn't back by then.
//! * An entry that can't be understood names no runner; the others hold.

mod entry;
mod list;
#[cfg(test)]
mod tests;

pub use self::{
    entry::{HeldModel, Lapsed, Listed, RosterEntry, RunnerFacts},
    list::{RosterChange, RunnerRoster},
};
