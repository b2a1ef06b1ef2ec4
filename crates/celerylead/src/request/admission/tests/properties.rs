//! Properties of admission over random loads.

use proptest::prelude::*;

use super::{Fate, Sim, SimCall, SimRunner, batch, draft};

proptest! {
    #![proptest_config(ProptestConfig::with_cases(16))]

    /// Guards against calls that are lost, served twice, served or held past
    /// their deadlines. The simulation itself checks the last two.
    #[test]
    fn each_caller_is_served_once_or_refused(
        rates in prop::collection::vec((1_u32..30, 0_usize..3, 0_u8..3), 1..5),
        slots in 2_u32..16,
        is_plain: bool,
    ) {
        let runners = vec![
            SimRunner::new(&["m", "n"], slots, 900),
            SimRunner::new(&["n"], slots, 1_400),
        ];
        let mut sim = Sim::new(runners, is_plain);
        for (number, (rate, kind, priority)) in rates.iter().enumerate() {
            let customer = format!("c-{number}");
            let model = ["m", "n", "absent"][*kind];
            let call = if number % 2 == 0 {
                draft(&customer, model)
            } else {
                batch(&customer, model)
            };
            let call = SimCall { priority: *priority, ..call };
            sim.add(&call, f64::from(*rate), (0, 6_000));
        }
        let total = sim.arrivals.len();
        sim.run();
        let mut ids: Vec<usize> =
            sim.fates.iter().map(|(call, _)| call.id).collect();
        ids.sort_unstable();
        prop_assert!(ids.into_iter().eq(0..total));
        prop_assert!(sim.admission.is_empty());
        for one in &sim.refusals {
            prop_assert!(4 * one.held_ms < 3 * one.left_ms, "{one:?}");
        }
    }

    /// Guards against a class that gets no places while another one could
    /// take them all.
    #[test]
    fn no_class_starves(
        slots in 4_u32..16,
        priority in 1_u8..8,
        overload in 1.2_f64..2.5,
    ) {
        let mut sim = Sim::new(vec![SimRunner::new(&["m"], slots, 500)], false);
        sim.max_returns = 0;
        let capacity = f64::from(slots) * 1.25 / 0.5;
        sim.add(&draft("a", "m"), capacity * overload, (0, 8_000));
        let call = SimCall { priority, ..batch("b", "m") };
        sim.add(&call, capacity * 0.05, (0, 8_000));
        let call = SimCall { kind: 2, target_ms: 500, ..call };
        sim.add(&call, capacity * 0.05, (0, 8_000));
        sim.run();
        for kind in 0..3 {
            let served = 1.0 - sim.share(kind, Fate::Refused);
            prop_assert!(0.2 <= served, "kind {kind}: {served}");
        }
    }

    /// Guards against customers that get more than their share of the places
    /// by sending more calls.
    #[test]
    fn backlogged_customers_get_equal_shares(
        factors in prop::collection::vec(1.0_f64..6.0, 2..5),
        slots in 4_u32..16,
    ) {
        let mut sim = Sim::new(vec![SimRunner::new(&["m"], slots, 500)], false);
        sim.max_returns = 0;
        let capacity = f64::from(slots) * 1.25 / 0.5;
        let share = capacity / factors.len() as f64;
        for (kind, factor) in factors.iter().enumerate() {
            let call = SimCall { kind, ..draft(&format!("c-{kind}"), "m") };
            // Each asks for more than its share.
            sim.add(&call, share * (1.2 + factor), (0, 8_000));
        }
        sim.run();
        let served = |kind| {
            let calls = sim.fates.iter().filter(|(call, fate)| {
                call.kind == kind && *fate != Fate::Refused
            });
            calls.count() as f64
        };
        let counts: Vec<f64> = (0..factors.len()).map(served).collect();
        let total: f64 = counts.iter().sum();
        for count in &counts {
            let part = count / total * counts.len() as f64;
            prop_assert!((0.6..1.6).contains(&part), "{counts:?}");
        }
    }
}
