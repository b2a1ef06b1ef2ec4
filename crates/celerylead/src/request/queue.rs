//! Weighted fair queue in front of the runners.
//!
//! Requests that find no free runner wait in this queue. The next request
//! comes from the customer with the fewest served tokens in relation to its
//! weight, so the requests of a customer that sends several times its share
//! wait behind each other and don't delay the requests of other customers. A
//! customer that returns after a pause starts no lower than the least served
//! customer with waiting requests, so it accumulates no credit while it is
//! idle.

use crate::{clock::EpochMillis, sorted::SortedTable};

/// A waiting request and the time at which it is refused.
#[derive(Debug)]
struct QueueEntry<T> {
    item: T,
    deadline: EpochMillis,
}

/// The waiting requests of one customer.
#[derive(Debug)]
struct CustomerQueue<T> {
    /// Tokens served, divided by the customer's weight.
    served: f64,
    waiting: Vec<QueueEntry<T>>,
}

impl<T> Default for CustomerQueue<T> {
    fn default() -> Self {
        CustomerQueue { served: 0.0, waiting: Vec::new() }
    }
}

/// The waiting requests of all customers.
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
    queues: SortedTable<String, CustomerQueue<T>>,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        FairQueue { queues: SortedTable::default() }
    }
}

impl<T> FairQueue<T> {
    /// Adds a request of `customer` that waits until `deadline`.
    pub fn push(&mut self, customer: &str, item: T, deadline: EpochMillis) {
        let min_served = self
            .queues
            .values()
            .filter(|queue| !queue.waiting.is_empty())
            .map(|queue| queue.served)
            .min_by(f64::total_cmp);
        let queue = self.queue(customer);
        if let Some(min_served) =
            min_served.filter(|_| queue.waiting.is_empty())
        {
            queue.served = queue.served.max(min_served);
        }
        queue.waiting.push(QueueEntry { item, deadline });
    }

    /// Charges `tokens` served to `customer`, whose weight is `weight`.
    pub fn charge(&mut self, customer: &str, tokens: u64, weight: u64) {
        let queue = self.queue(customer);
        queue.served += tokens as f64 / weight.max(1) as f64;
    }

    /// Removes and returns the next request among those that `ready` accepts.
    ///
    /// The requests of one customer are served in order of arrival, but a
    /// request that isn't ready doesn't block the requests behind it.
    pub fn pop(&mut self, mut ready: impl FnMut(&T) -> bool) -> Option<T> {
        let mut best: Option<(String, usize, f64)> = None;
        for (customer, queue) in self.queues.iter() {
            let better = best
                .as_ref()
                .is_none_or(|(_, _, served)| queue.served < *served);
            if !better {
                continue;
            }
            let index =
                queue.waiting.iter().position(|entry| ready(&entry.item));
            if let Some(index) = index {
                best = Some((customer.clone(), index, queue.served));
            }
        }
        let (customer, index, _) = best?;
        let queue = self.queues.get_mut(&customer)?;
        Some(queue.waiting.remove(index).item)
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: EpochMillis) -> Vec<T> {
        let mut expired = Vec::new();
        for (_, queue) in self.queues.iter_mut() {
            let waiting = std::mem::take(&mut queue.waiting);
            for entry in waiting {
                if entry.deadline <= now {
                    expired.push(entry.item);
                } else {
                    queue.waiting.push(entry);
                }
            }
        }
        expired
    }

    /// Returns the earliest deadline of the waiting requests.
    pub fn next_deadline(&self) -> Option<EpochMillis> {
        let queues = self.queues.values();
        queues.flat_map(|queue| &queue.waiting).map(|e| e.deadline).min()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.queues.values().map(|queue| queue.waiting.len()).sum()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the queue of a customer, which is created if it doesn't exist.
    fn queue(&mut self, customer: &str) -> &mut CustomerQueue<T> {
        if self.queues.get(customer).is_none() {
            self.queues.insert(customer.to_owned(), CustomerQueue::default());
        }
        self.queues.get_mut(customer).expect("the queue was just inserted")
    }
}
