//! Schedule that spreads digests over time.
//!
//! Sending a digest to a whole fleet at once can overflow the queue of a
//! low-bandwidth link, which then drops the last packets. If the order of the
//! recipients is always the same, the same hosts never receive a digest. They
//! treat the sender as silent, reserve a share of each customer's rate for the
//! sender and don't know its load. The schedule therefore spreads the
//! recipients over the ticks of a round by their index in the list of hosts.

use std::time::Duration;

/// Time between two ticks.
pub const GOSSIP_TICK: Duration = Duration::from_millis(40);
/// Ticks per round. Each host of the sender's availability zone receives a
/// digest once per round, each host of another zone in every second round.
const TICKS_PER_ROUND: usize = 5;
/// Rounds in which each host receives the demand once. The demand makes up
/// most of a digest. The holder of the orders lease receives the demand with
/// every digest; a successor has received it at most 800 ms before.
const ROUNDS_PER_DEMAND: usize = 4;
/// Recipients that one tick serves without spreading them over more ticks.
/// Their digests total some 8 kB, which take 7 ms on a 10 Mbit/s link, the
/// slowest among the deployments.
const PEERS_PER_TICK: usize = 8;

/// One tick of the gossip schedule.
///
/// # Examples
///
/// ```
/// use celerylead::membership::GossipTick;
///
/// // With few hosts, one tick of five includes all of them.
/// let included = |tick: usize| GossipTick::new(tick, 3).includes(0, true);
/// assert_eq!([0, 1, 2, 3, 4, 5].map(included), [
///     true, false, false, false, false, true,
/// ]);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GossipTick {
    round: usize,
    slot: usize,
    /// Number of slots over which the recipients are spread.
    slots: usize,
}

impl GossipTick {
    /// Returns the tick with this number in a schedule for `hosts` recipients.
    pub fn new(number: usize, hosts: usize) -> GossipTick {
        GossipTick {
            round: number / TICKS_PER_ROUND,
            slot: number % TICKS_PER_ROUND,
            slots: hosts.div_ceil(PEERS_PER_TICK).clamp(1, TICKS_PER_ROUND),
        }
    }

    /// Returns whether this tick is the first of its round.
    pub fn begins_round(self) -> bool {
        self.slot == 0
    }

    /// Returns whether the host at `index` of the list receives a digest in
    /// this tick. `same_zone` is true for hosts of the sender's availability
    /// zone.
    pub fn includes(self, index: usize, same_zone: bool) -> bool {
        let is_its_round = same_zone || self.offset(index).is_multiple_of(2);
        index % self.slots == self.slot && is_its_round
    }

    /// Returns whether the host at `index` receives the demand in this round.
    pub fn includes_demand(self, index: usize) -> bool {
        self.offset(index).is_multiple_of(ROUNDS_PER_DEMAND)
    }

    /// Returns the round number shifted by one for each full set of slots
    /// before `index`.
    fn offset(self, index: usize) -> usize {
        self.round + index / self.slots
    }
}
