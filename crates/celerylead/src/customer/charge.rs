//! Life cycle of the charge for a call, with a type for each state.
//!
//! [`Owed`] → (a bucket takes it) → [`Taken`] → refunded, if the call certainly
//! didn't run, or dropped. A refund takes the charge itself, which can't be
//! copied, so that nothing is given back that wasn't taken, or twice.

/// State: no bucket has taken the charge yet.
#[derive(Debug, PartialEq, Eq)]
pub struct Owed(());

/// State: the bucket of this generation has taken the charge.
#[derive(Debug, PartialEq, Eq)]
pub struct Taken {
    pub(super) generation: u64,
}

/// The charge for one call, in state `S`.
///
/// # Examples
///
/// ```
/// use celerylead::{
///     EpochMillis,
///     catalog::{RateUnit, TokenRate},
///     customer::{CallCharge, FleetBuckets, HostLiveness},
/// };
///
/// let rate =
///     TokenRate { per_second: 1_000, burst: 2_000, unit: RateUnit::Calls };
/// let mut buckets = FleetBuckets::default();
/// buckets.set_rates([("a", rate)], EpochMillis(0));
/// let hosts = HostLiveness::default();
/// let charge = CallCharge::owed("a", 300);
/// let taken = buckets.take(charge, &hosts, EpochMillis(500)).unwrap();
/// assert_eq!(buckets.get("a").unwrap().spent(), 300);
/// buckets.refund(taken.unwrap());
/// assert_eq!(buckets.get("a").unwrap().spent(), 0);
/// ```
#[derive(Debug, PartialEq, Eq)]
pub struct CallCharge<S> {
    pub(super) customer: String,
    pub(super) cost: u64,
    pub(super) state: S,
}

impl CallCharge<Owed> {
    /// Creates the charge for a call of a customer.
    pub fn owed(customer: &str, cost: u64) -> CallCharge<Owed> {
        let customer = customer.to_owned();
        CallCharge { customer, cost, state: Owed(()) }
    }

    pub(super) fn taken(self, generation: u64) -> CallCharge<Taken> {
        let CallCharge { customer, cost, .. } = self;
        CallCharge { customer, cost, state: Taken { generation } }
    }
}

impl<S> CallCharge<S> {
    /// Returns the customer that is charged.
    pub fn customer(&self) -> &str {
        &self.customer
    }

    /// Returns the cost of the call, in the unit of the customer's rate.
    pub fn cost(&self) -> u64 {
        self.cost
    }
}

/// What a call that waits for a runner has to do with its customer's rate.
#[derive(Debug, Default)]
pub enum ChargeState {
    /// Nothing: it isn't limited, or may have run, so that its charge stays.
    #[default]
    Settled,
    /// It has to be charged before it runs.
    Owed(CallCharge<Owed>),
    /// It was charged, and hasn't run.
    Taken(CallCharge<Taken>),
}
