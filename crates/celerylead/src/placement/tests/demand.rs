//! Tests of what a host remembers of the demand.

use crate::{EpochMillis, placement::DemandMeter};

/// Guards against a table that grows with each name that there ever was, and
/// against one in highest demand that is forgotten for it.
#[test]
fn a_meter_remembers_the_highest_demands() {
    struct Case {
        name: &'static str,
        names: usize,
        /// Most names that are remembered, and least.
        kept: [usize; 2],
    }
    let cases = [
        Case { name: "few", names: 1_000, kept: [1_000, 1_000] },
        Case { name: "many", names: 50_000, kept: [8_192, 2_000] },
    ];
    let now = EpochMillis(1_000);
    for Case { name, names, kept: [most, least] } in cases {
        let mut meter = DemandMeter::default();
        meter.record("hot", 1_000_000, now);
        for number in 0..names - 1 {
            let tokens = 10_000 + number as u64;
            meter.record(&format!("m{number}"), tokens, now);
        }
        let demand = meter.highest(usize::MAX, now);
        assert!(demand.get("hot").is_some(), "{name}");
        let kept = demand.len();
        assert!(least <= kept && kept <= most, "{name}: {kept}");
    }
}
