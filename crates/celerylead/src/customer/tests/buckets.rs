//! Tests of charges and their refunds.

use proptest::prelude::*;

use crate::{
    EpochMillis,
    catalog::{RateUnit, TokenRate},
    customer::{CallCharge, ChargeDenial, FleetBuckets, HostLiveness, Taken},
};

const RATE: TokenRate =
    TokenRate { per_second: 1_000, burst: 2_000, unit: RateUnit::Calls };
const CUSTOMER: &str = "a";

/// Event at the buckets.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A call of this cost is charged, if the rate allows it.
    Charge(u64),
    /// The oldest charge of a call that hasn't begun is refunded.
    Refund,
    /// The call of the oldest charge begins, so that its charge stays.
    Run,
    /// The configuration has no rate for the customer.
    Remove,
    /// The configuration has a rate for the customer.
    Set,
}

fn steps() -> impl Strategy<Value = Vec<(u64, Step)>> {
    let step = prop_oneof![
        4 => (1_u64..500).prop_map(Step::Charge),
        2 => Just(Step::Refund),
        2 => Just(Step::Run),
        1 => Just(Step::Remove),
        2 => Just(Step::Set),
    ];
    prop::collection::vec((0_u64..400, step), 1..120)
}

proptest! {
    /// Guards against totals that fall below what ran: other hosts then take back
    /// what they debited for it, and the customer spends it once more.
    #[test]
    fn a_host_reports_the_charges_taken_less_their_refunds(steps in steps()) {
        let hosts = HostLiveness::default();
        let mut buckets = FleetBuckets::default();
        buckets.set_rates([(CUSTOMER, RATE)], EpochMillis(0));
        let mut charges: Vec<(CallCharge<Taken>, bool)> = Vec::new();
        let (mut now, mut taken, mut refunded, mut ran) = (0, 0, 0, 0);
        for (pause, step) in steps {
            now += pause;
            let at = EpochMillis(now);
            match step {
                Step::Charge(cost) => {
                    let charge = CallCharge::owed(CUSTOMER, cost);
                    if let Ok(Some(charge)) = buckets.take(charge, &hosts, at) {
                        taken += cost;
                        charges.push((charge, true));
                    }
                }
                Step::Refund if !charges.is_empty() => {
                    let (charge, is_of_this_bucket) = charges.remove(0);
                    if is_of_this_bucket && buckets.get(CUSTOMER).is_some() {
                        refunded += charge.cost();
                    }
                    buckets.refund(charge);
                }
                Step::Run if !charges.is_empty() => {
                    ran += charges.remove(0).0.cost();
                }
                Step::Remove => {
                    buckets.set_rates([], at);
                    charges.iter_mut().for_each(|(_, is_own)| *is_own = false);
                }
                Step::Set => buckets.set_rates([(CUSTOMER, RATE)], at),
                _ => {}
            }
            if let Some(bucket) = buckets.get(CUSTOMER) {
                prop_assert_eq!(bucket.spent(), (taken - refunded) as i64);
                prop_assert!(ran as i64 <= bucket.spent());
            }
        }
    }
}

/// Guards against calls that are admitted although their customer's rate doesn't
/// allow them, and against refusals with a wrong reason.
#[test]
fn a_denial_says_what_the_rate_allows() {
    struct Case {
        name: &'static str,
        customer: &'static str,
        cost: u64,
        denial: Option<ChargeDenial>,
    }
    let cases = [
        Case { name: "enough", customer: CUSTOMER, cost: 500, denial: None },
        Case {
            name: "more than there is",
            customer: CUSTOMER,
            cost: 600,
            denial: Some(ChargeDenial::OverRate(EpochMillis(600))),
        },
        Case {
            name: "more than there can be",
            customer: CUSTOMER,
            cost: 62_001,
            denial: Some(ChargeDenial::TooLarge(62_000)),
        },
        Case { name: "no rate", customer: "b", cost: 99_999, denial: None },
    ];
    for Case { name, customer, cost, denial } in cases {
        let mut buckets = FleetBuckets::default();
        buckets.set_rates([(CUSTOMER, RATE)], EpochMillis(0));
        let charge = CallCharge::owed(customer, cost);
        let hosts = HostLiveness::default();
        let taken = buckets.take(charge, &hosts, EpochMillis(500));
        assert_eq!(taken.err(), denial, "{name}");
    }
}
