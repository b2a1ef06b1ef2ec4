//! Fair queue in front of the runners.
//!
//! Requests that find no free runner wait here. The next to go is one of
//! the customer that has been served the fewest tokens for its rate, so a
//! customer that sends several times its share waits behind its own
//! requests, not before those of the others. A customer that comes back
//! after a pause starts level with the least served one that is waiting: it
//! saves up no claim.

use crate::{clock::EpochMillis, sorted::SortedTable};

/// A waiting request and the point at which it is refused.
#[derive(Debug)]
struct QueueEntry<T> {
    item: T,
    deadline: EpochMillis,
}

/// A customer's waiting requests.
#[derive(Debug)]
struct CustomerLane<T> {
    /// Tokens served, divided by weight.
    served: f64,
    waiting: Vec<QueueEntry<T>>,
}

impl<T> Default for CustomerLane<T> {
    fn default() -> Self {
        CustomerLane { served: 0.0, waiting: Vec::new() }
    }
}

/// Waiting requests of all customers.
///
/// # Examples
///
/// ```
/// use celerylead::{EpochMillis, request::FairQueue};
///
/// let mut queue = FairQueue::default();
/// queue.push("large", "l1", EpochMillis(9));
/// queue.push("small", "s1", EpochMillis(9));
/// queue.charge("large", 100, 1);
/// assert_eq!(queue.pop(|_| true), Some("s1"));
/// ```
#[derive(Debug)]
pub struct FairQueue<T> {
    lanes: SortedTable<String, CustomerLane<T>>,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        FairQueue { lanes: SortedTable::default() }
    }
}

impl<T> FairQueue<T> {
    /// Adds a request of `customer` that waits until `deadline`.
    pub fn push(&mut self, customer: &str, item: T, deadline: EpochMillis) {
        let floor = self
            .lanes
            .values()
            .filter(|lane| !lane.waiting.is_empty())
            .map(|lane| lane.served)
            .min_by(f64::total_cmp);
        let lane = self.lane(customer);
        if let Some(floor) = floor.filter(|_| lane.waiting.is_empty()) {
            lane.served = lane.served.max(floor);
        }
        lane.waiting.push(QueueEntry { item, deadline });
    }

    /// Books `tokens` served to `customer`, whose share is `weight`.
    pub fn charge(&mut self, customer: &str, tokens: u64, weight: u64) {
        let lane = self.lane(customer);
        lane.served += tokens as f64 / weight.max(1) as f64;
    }

    /// Takes out the request to go next among those that `ready` accepts.
    ///
    /// Within a customer the order is that of arrival, but a request that
    /// isn't ready doesn't hold up the ones behind it.
    pub fn pop(&mut self, mut ready: impl FnMut(&T) -> bool) -> Option<T> {
        let mut best: Option<(String, usize, f64)> = None;
        for (customer, lane) in self.lanes.iter() {
            let better = best
                .as_ref()
                .is_none_or(|(_, _, served)| lane.served < *served);
            if !better {
                continue;
            }
            let place =
                lane.waiting.iter().position(|entry| ready(&entry.item));
            if let Some(place) = place {
                best = Some((customer.clone(), place, lane.served));
            }
        }
        let (customer, place, _) = best?;
        let lane = self.lanes.get_mut(&customer)?;
        Some(lane.waiting.remove(place).item)
    }

    /// Takes out the requests whose deadline has come.
    pub fn expire(&mut self, now: EpochMillis) -> Vec<T> {
        let mut expired = Vec::new();
        for (_, lane) in self.lanes.iter_mut() {
            let waiting = std::mem::take(&mut lane.waiting);
            for entry in waiting {
                if entry.deadline <= now {
                    expired.push(entry.item);
                } else {
                    lane.waiting.push(entry);
                }
            }
        }
        expired
    }

    /// Returns the earliest deadline of a waiting request.
    pub fn next_deadline(&self) -> Option<EpochMillis> {
        let lanes = self.lanes.values();
        lanes.flat_map(|lane| &lane.waiting).map(|e| e.deadline).min()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.lanes.values().map(|lane| lane.waiting.len()).sum()
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lane(&mut self, customer: &str) -> &mut CustomerLane<T> {
        if self.lanes.get(customer).is_none() {
            self.lanes.insert(customer.to_owned(), CustomerLane::default());
        }
        self.lanes.get_mut(customer).expect("the lane was just made")
    }
}
