//! Load patterns, each played with the order by class and customer and with
//! the order of arrival that it replaces.

use super::{Fate, Sim, SimRunner, batch, draft};

/// A load pattern and its bounds.
struct Pattern {
    name: &'static str,
    runners: fn() -> Vec<SimRunner>,
    load: fn(&mut Sim),
    /// Smallest shares of the callers of each kind that are in time, and
    /// that are served.
    bounds: &'static [(f64, f64)],
    /// Kind whose share in time must be above that in order of arrival, and by
    /// how much.
    gain: (usize, f64),
}

const PATTERNS: &[Pattern] = &[
    Pattern {
        name: "flash crowd on one model",
        runners: || {
            vec![
                SimRunner::new(&["hot"], 12, 1_200),
                SimRunner::new(&["cool"], 12, 1_200),
            ]
        },
        load: |sim| {
            sim.add(&draft("a", "hot"), 4.0, (0, 20_000));
            sim.add(&draft("b", "hot"), 30.0, (5_000, 8_000));
            let cool = super::SimCall { kind: 1, ..draft("c", "cool") };
            sim.add(&cool, 6.0, (0, 20_000));
        },
        bounds: &[(0.5, 0.9), (1.0, 1.0)],
        gain: (0, 0.0),
    },
    Pattern {
        name: "one customer at six times its load beside others",
        runners: || vec![SimRunner::new(&["m"], 12, 1_200)],
        load: |sim| {
            for name in ["b", "c", "d"] {
                sim.add(&draft(name, "m"), 2.0, (0, 20_000));
            }
            let heavy = super::SimCall { kind: 1, ..draft("a", "m") };
            sim.add(&heavy, 12.0, (3_000, 15_000));
        },
        bounds: &[(0.75, 0.95), (0.3, 0.4)],
        gain: (0, 0.1),
    },
    Pattern {
        name: "batch beside urgent",
        runners: || vec![SimRunner::new(&["m"], 12, 1_200); 2],
        load: |sim| {
            sim.add(&draft("a", "m"), 16.0, (0, 30_000));
            sim.add(&batch("b", "m"), 14.0, (5_000, 20_000));
        },
        bounds: &[(0.9, 0.98), (0.5, 0.8)],
        gain: (0, 0.05),
    },
    Pattern {
        name: "wave and shift",
        runners: || {
            let mut moved = SimRunner::new(&["other"], 12, 1_200);
            moved.loaded = Some(("m", 12_000));
            let mut left = SimRunner::new(&["m"], 12, 1_200);
            left.up = (0, 9_000);
            vec![left, moved]
        },
        load: |sim| {
            sim.max_returns = 0;
            sim.add(&draft("a", "m"), 3.0, (0, 20_000));
            sim.add(&draft("b", "m"), 5.0, (13_000, 19_000));
        },
        bounds: &[(0.7, 0.95)],
        gain: (0, -0.1),
    },
    Pattern {
        name: "return of a zone with many refused callers",
        runners: || {
            let mut back = SimRunner::new(&["m"], 12, 1_200);
            back.up = (6_000, u64::MAX);
            vec![back.clone(), back, SimRunner::new(&["m"], 12, 1_200)]
        },
        load: |sim| {
            sim.max_returns = 5;
            sim.add(&draft("a", "m"), 22.0, (0, 15_000));
        },
        bounds: &[(0.4, 0.8)],
        gain: (0, 0.0),
    },
];

/// Guards against an order of waiting calls that costs those in a hurry their
/// targets, keeps batch calls from ever being served, or holds calls for most
/// of their time only to refuse them.
#[test]
fn calls_meet_their_targets_under_each_load_pattern() {
    for pattern in PATTERNS {
        let Pattern { name, runners, load, bounds, gain } = pattern;
        let [ordered, plain] = [false, true].map(|is_plain| {
            let mut sim = Sim::new(runners(), is_plain);
            load(&mut sim);
            sim.run();
            for (kind, _) in bounds.iter().enumerate() {
                let waits = sim.refusals.iter().filter(|one| one.kind == kind);
                let held = waits.clone().map(|one| one.held_ms);
                println!(
                    "{name}, kind {kind}, {}: in time {:.3}, late {:.3}, \
                     refused {:.3}, {} refusals, held up to {} ms",
                    if is_plain { "order of arrival" } else { "by class" },
                    sim.share(kind, Fate::InTime),
                    sim.share(kind, Fate::Late),
                    sim.share(kind, Fate::Refused),
                    waits.count(),
                    held.max().unwrap_or_default(),
                );
            }
            sim
        });
        for (kind, (in_time, served)) in bounds.iter().enumerate() {
            let share = ordered.share(kind, Fate::InTime);
            assert!(*in_time <= share, "{name}, kind {kind}: {share} in time");
            let share = 1.0 - ordered.share(kind, Fate::Refused);
            assert!(*served <= share, "{name}, kind {kind}: {share} served");
        }
        for one in &ordered.refusals {
            assert!(4 * one.held_ms < 3 * one.left_ms, "{name}: {one:?}");
            let left = one.left_ms - one.held_ms;
            assert!(3 * one.retry_ms <= left, "{name}: {one:?}");
        }
        let (kind, least) = *gain;
        let after = ordered.share(kind, Fate::InTime);
        let before = plain.share(kind, Fate::InTime);
        assert!(before + least <= after, "{name}: {before}, {after}");
    }
}

/// Guards against refused callers that return all at once, as they were told
/// the same time.
#[test]
fn refused_callers_return_spread_over_time() {
    let mut down = SimRunner::new(&["m"], 12, 1_200);
    down.up = (60_000, u64::MAX);
    let mut sim = Sim::new(vec![down], false);
    sim.max_returns = 0;
    for number in 0..200 {
        let call = draft(&format!("c-{number}"), "m");
        sim.add(&call, 100.0, (0, 15));
    }
    sim.run();
    let mut returns: Vec<u64> =
        sim.refusals.iter().map(|one| one.at + one.retry_ms).collect();
    returns.sort_unstable();
    let most = returns.iter().map(|at| {
        returns.iter().filter(|one| *at <= **one && **one < at + 20).count()
    });
    let most = most.max().unwrap();
    assert!(most * 3 < returns.len(), "{most} of {}", returns.len());
}
