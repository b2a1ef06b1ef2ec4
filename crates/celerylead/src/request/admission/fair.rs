//! Fair shares of the customers of a service.
//!
//! Each customer has a virtual counter of the tokens that it was served. The
//! customers with the lowest counters come first. A customer that returns
//! after a pause starts no lower than the least served active customer, so it
//! accumulates no credit while it is idle.

use std::time::Duration;

use crate::{clock::EpochMillis, sorted::SortedTable};

/// Time after its last call from which a customer counts as idle.
const IDLE_AFTER: Duration = Duration::from_millis(2_000);
/// Lead over the least served customer up to which the time left decides, in
/// calls of average size. Without it, the counters alone would decide and the
/// targets of nearly equal customers wouldn't count.
const FREE_LEAD_CALLS: f64 = 4.0;
/// Weight of a new sample in the average size of a call.
const SIZE_WEIGHT: f64 = 0.05;
/// Most customers whose counters are kept.
const MAX_CUSTOMERS: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct Share {
    served: f64,
    seen_at: EpochMillis,
}

/// The counters of the customers of one service.
#[derive(Debug, Default)]
pub(super) struct FairShares {
    shares: SortedTable<String, Share>,
    /// Counter of the least served active customer, as last known.
    floor: f64,
    mean_tokens: f64,
}

impl FairShares {
    /// Notes that a call of a customer arrived.
    pub(super) fn note_arrival(&mut self, customer: &str, now: EpochMillis) {
        let active = |share: &&Share| now < share.seen_at.after(IDLE_AFTER);
        let known = self.shares.get(customer);
        let is_active = known.as_ref().is_some_and(active);
        if !is_active {
            let others = self.shares.values().filter(active);
            let least = others.map(|share| share.served).reduce(f64::min);
            self.floor = least.unwrap_or(self.floor).max(self.floor);
            if MAX_CUSTOMERS <= self.shares.len() {
                self.shares.retain(|_, share| active(&&*share));
            }
        }
        let floor = self.floor;
        let make = || Share { served: floor, seen_at: now };
        let share = self.shares.entry(customer.to_owned(), make);
        share.seen_at = now;
        if !is_active {
            share.served = share.served.max(floor);
        }
    }

    /// Charges a served call to its customer.
    pub(super) fn charge(
        &mut self,
        customer: &str,
        tokens: u64,
        now: EpochMillis,
    ) {
        // A plain call has no tokens and counts as one.
        let size = tokens.max(1) as f64;
        self.mean_tokens = if self.mean_tokens == 0.0 {
            size
        } else {
            self.mean_tokens + SIZE_WEIGHT * (size - self.mean_tokens)
        };
        let floor = self.floor;
        let make = || Share { served: floor, seen_at: now };
        let share = self.shares.entry(customer.to_owned(), make);
        share.served += size;
        share.seen_at = now;
    }

    /// Returns the counter of a customer.
    pub(super) fn served(&self, customer: &str) -> f64 {
        self.shares.get(customer).map_or(self.floor, |share| share.served)
    }

    /// Returns the lead over the least served customer up to which the time
    /// left to the target decides.
    pub(super) fn free_lead(&self) -> f64 {
        self.mean_tokens * FREE_LEAD_CALLS
    }
}
