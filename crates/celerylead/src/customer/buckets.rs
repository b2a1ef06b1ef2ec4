//! The buckets of all customers with a rate on one host.

use super::{
    charge::{CallCharge, Owed, Taken},
    fleet::{FleetBucket, HostLiveness},
};
use crate::{catalog::TokenRate, clock::EpochMillis, sorted::SortedTable};

/// Most customers without a rate whose former buckets are remembered.
const MAX_CLOSED: usize = 1_024;

/// What is remembered of the bucket of a customer that has no rate any more.
#[derive(Clone, Copy, Debug)]
struct ClosedBucket {
    /// Units that this host has spent. The other hosts take a total that falls
    /// for a refund, so a later bucket has to go on from here.
    spent: i64,
    generation: u64,
    closed_at: EpochMillis,
}

/// Why a charge isn't taken.
#[derive(Debug, PartialEq, Eq)]
pub enum ChargeDenial {
    /// The call costs more than this limit, which is the most that is accepted.
    TooLarge(u64),
    /// The customer is over its rate until about this time.
    OverRate(EpochMillis),
}

/// The buckets of this host's customers, by name.
///
/// Units are counted by the charges taken: what a host reports as spent is
/// their sum less the refunds of these, and never less than what ran.
#[derive(Debug, Default)]
pub struct FleetBuckets {
    open: SortedTable<String, FleetBucket>,
    closed: SortedTable<String, ClosedBucket>,
}

impl FleetBuckets {
    /// Adopts the rates of all customers that have one.
    pub fn set_rates<'a>(
        &mut self,
        rates: impl IntoIterator<Item = (&'a str, TokenRate)>,
        now: EpochMillis,
    ) {
        let mut former = std::mem::take(&mut self.open);
        for (customer, rate) in rates {
            let bucket = match former.remove(customer) {
                Some(mut bucket) => {
                    bucket.resize(rate);
                    bucket
                }
                None => self.open_bucket(customer, rate, now),
            };
            self.open.insert(customer.to_owned(), bucket);
        }
        for (customer, bucket) in former.iter() {
            let (spent, generation) = (bucket.spent(), bucket.generation());
            let closed = ClosedBucket { spent, generation, closed_at: now };
            self.closed.insert(customer.clone(), closed);
        }
        while MAX_CLOSED < self.closed.len() {
            let oldest = self.closed.iter().min_by_key(|(_, b)| b.closed_at);
            let Some(customer) = oldest.map(|(name, _)| name.clone()) else {
                break;
            };
            self.closed.remove(&customer);
        }
    }

    /// Opens a bucket, which goes on from a customer's former one.
    fn open_bucket(
        &mut self,
        customer: &str,
        rate: TokenRate,
        now: EpochMillis,
    ) -> FleetBucket {
        let bucket = FleetBucket::empty(rate, now);
        match self.closed.remove(customer) {
            Some(closed) => {
                bucket.continuing(closed.spent, closed.generation + 1)
            }
            None => bucket,
        }
    }

    /// Takes a charge; returns `None` if the customer has no rate any more.
    ///
    /// # Errors
    ///
    /// Returns why the charge isn't taken.
    pub fn take(
        &mut self,
        charge: CallCharge<Owed>,
        hosts: &HostLiveness,
        now: EpochMillis,
    ) -> Result<Option<CallCharge<Taken>>, ChargeDenial> {
        let Some(bucket) = self.open.get_mut(charge.customer()) else {
            return Ok(None);
        };
        if let Some(limit) = bucket.exceeded_limit(charge.cost) {
            return Err(ChargeDenial::TooLarge(limit));
        }
        let taken = bucket.take(charge.cost, hosts, now);
        taken.map_err(ChargeDenial::OverRate)?;
        Ok(Some(charge.taken(bucket.generation())))
    }

    /// Refunds the charge of a call that certainly didn't run. A charge that an
    /// earlier bucket of the customer took stays.
    pub fn refund(&mut self, charge: CallCharge<Taken>) {
        let CallCharge { customer, cost, state } = charge;
        if let Some(bucket) = self.open.get_mut(&customer)
            && bucket.generation() == state.generation
        {
            bucket.refund(cost);
        }
    }

    /// Returns the bucket of a customer that has a rate.
    pub fn get(&self, customer: &str) -> Option<&FleetBucket> {
        self.open.get(customer)
    }

    /// Returns the bucket of a customer that has a rate.
    pub fn get_mut(&mut self, customer: &str) -> Option<&mut FleetBucket> {
        self.open.get_mut(customer)
    }

    /// Iterates over the buckets, sorted by customer.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &FleetBucket)> {
        self.open.iter().map(|(name, bucket)| (name.as_str(), bucket))
    }
}
