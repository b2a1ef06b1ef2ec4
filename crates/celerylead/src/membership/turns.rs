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
pub const TELL_TURN: Duration = Duration::from_millis(40);
/// Turns in which each host of the availability zone is told once; each host
/// of another zone is told in every second such round.
const ROUND_TURNS: usize = 5;
/// Rounds in which each host is told the demand once, which is most of a
/// digest. The host that orders is told it each time; its successor has it
/// from one that is 800 ms old at most.
const DEMAND_ROUNDS: usize = 4;
/// Listeners that one turn bears without a need to spread them: some 8 kB,
/// which take 7 ms on a link of 10 Mbit/s, the slowest of the deployments.
const LISTENERS_AT_ONCE: usize = 8;

/// A turn of the digests.
///
/// # Examples
///
/// ```
/// use celerylead::membership::TellTurn;
///
/// // Few hosts are told in one turn of five.
/// let told = |turn: usize| TellTurn::new(turn, 3).tells(0, true);
/// assert_eq!([0, 1, 2, 3, 4, 5].map(told), [
///     true, false, false, false, false, true,
/// ]);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TellTurn {
    round: usize,
    slot: usize,
    /// Slots over which the listeners are spread.
    slots: usize,
}

impl TellTurn {
    /// Makes the turn of a number, towards so many hosts.
    pub fn new(number: usize, hosts: usize) -> TellTurn {
        TellTurn {
            round: number / ROUND_TURNS,
            slot: number % ROUND_TURNS,
            slots: hosts.div_ceil(LISTENERS_AT_ONCE).clamp(1, ROUND_TURNS),
        }
    }

    /// Tells whether a round begins with the turn.
    pub fn begins_round(self) -> bool {
        self.slot == 0
    }

    /// Tells whether the host at a place of the list is told in the turn;
    /// `near` where it is of the sender's availability zone.
    pub fn tells(self, place: usize, near: bool) -> bool {
        let is_its_round = near || self.offset(place).is_multiple_of(2);
        place % self.slots == self.slot && is_its_round
    }

    /// Tells whether the host at a place is told the demand in this round.
    pub fn tells_demand(self, place: usize) -> bool {
        self.offset(place).is_multiple_of(DEMAND_ROUNDS)
    }

    /// Rounds, counted from another start for each row of places.
    fn offset(self, place: usize) -> usize {
        self.round + place / self.slots
    }
}
