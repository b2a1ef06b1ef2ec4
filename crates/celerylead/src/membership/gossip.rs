//! Which hosts are told in which turn.
//!
//! A digest that goes to a whole fleet at once fills a thin link for longer
//! than its queue bears. The link then drops what comes last, and where the
//! order is always the same, the same hosts never hear the sender: they take
//! it for silent, book a share of each customer's rate for it and know
//! nothing of its load. So the listeners are spread over the turns of a
//! period, each with a place of its own.

use std::time::Duration;

/// Time between two turns.
pub const GOSSIP_TICK: Duration = Duration::from_millis(40);
/// Turns in which each host of the availability zone is told once; each host
/// of another zone is told in every second such round.
const TICKS_PER_ROUND: usize = 5;
/// Rounds in which each host is told the demand once, which is most of a
/// digest. The host that orders is told it each time; its successor has it
/// from one that is 800 ms old at most.
const ROUNDS_PER_DEMAND: usize = 4;
/// Listeners that one turn bears without a need to spread them: some 8 kB,
/// which take 7 ms on a link of 10 Mbit/s, the slowest of the deployments.
const PEERS_PER_TICK: usize = 8;

/// A turn of the digests.
///
/// # Examples
///
/// ```
/// use celerylead::membership::GossipTick;
///
/// // Few hosts are told in one turn of five.
/// let included = |tick: usize| GossipTick::new(tick, 3).includes(0, true);
/// assert_eq!([0, 1, 2, 3, 4, 5].map(included), [
///     true, false, false, false, false, true,
/// ]);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GossipTick {
    round: usize,
    slot: usize,
    /// Slots over which the listeners are spread.
    slots: usize,
}

impl GossipTick {
    /// Makes the turn of a number, towards so many hosts.
    pub fn new(number: usize, hosts: usize) -> GossipTick {
        GossipTick {
            round: number / TICKS_PER_ROUND,
            slot: number % TICKS_PER_ROUND,
            slots: hosts.div_ceil(PEERS_PER_TICK).clamp(1, TICKS_PER_ROUND),
        }
    }

    /// Tells whether a round begins with the turn.
    pub fn begins_round(self) -> bool {
        self.slot == 0
    }

    /// Tells whether the host at a place of the list is told in the turn;
    /// `near` where it is of the sender's availability zone.
    pub fn includes(self, index: usize, same_zone: bool) -> bool {
        let is_its_round = same_zone || self.offset(index).is_multiple_of(2);
        index % self.slots == self.slot && is_its_round
    }

    /// Tells whether the host at a place is told the demand in this round.
    pub fn includes_demand(self, index: usize) -> bool {
        self.offset(index).is_multiple_of(ROUNDS_PER_DEMAND)
    }

    /// Rounds, counted from another start for each row of places.
    fn offset(self, index: usize) -> usize {
        self.round + index / self.slots
    }
}
