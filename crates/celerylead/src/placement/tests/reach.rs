//! Tests of the record of models that no runner holds.

use super::super::{ModelDemand, ReachChange, ReachLog};
use crate::clock::EpochMillis;

/// Guards against a model that is asked for and never loaded without a trace
/// of the step that was left out.
#[test]
fn a_missing_model_is_told_with_the_time_of_each_step() {
    struct Case {
        name: &'static str,
        /// Demand before and after a load is ordered at 1,400 ms.
        demands: [&'static [(&'static str, u64)]; 2],
        /// Models that are held at the second update, at 5,000 ms.
        held: &'static [&'static str],
        changes: &'static [(&'static str, ReachChange)],
        ordered_at: Option<EpochMillis>,
    }
    let cases = [
        Case {
            name: "loaded",
            demands: [&[("a", 5)], &[("a", 9)]],
            held: &["a"],
            changes: &[("a", ReachChange::Held)],
            ordered_at: Some(EpochMillis(1_400)),
        },
        Case {
            name: "forgotten by its callers",
            demands: [&[("a", 5)], &[]],
            held: &[],
            changes: &[("a", ReachChange::Unwanted)],
            ordered_at: Some(EpochMillis(1_400)),
        },
        Case {
            name: "still missing, beside an adapter of it",
            demands: [&[("a", 5)], &[("a", 9), ("a:x", 4)]],
            held: &[],
            changes: &[],
            ordered_at: None,
        },
    ];
    for Case { name, demands, held, changes, ordered_at } in cases {
        let [before, after] = demands.map(|rates| {
            let rates = rates.iter();
            rates
                .map(|(model, rate)| ((*model).to_owned(), *rate))
                .collect::<ModelDemand>()
        });
        let mut log = ReachLog::default();
        let first = log.update(&before, |_| false, EpochMillis(1_000));
        assert_eq!(first.len(), 1, "{name}");
        log.record_order("a", EpochMillis(1_400));
        log.record_order("a", EpochMillis(1_900));
        let is_held = |model: &str| held.contains(&model);
        let second = log.update(&after, is_held, EpochMillis(5_000));
        let told: Vec<_> = second
            .iter()
            .map(|(model, change, _)| (model.as_str(), *change))
            .collect();
        assert_eq!(told, changes, "{name}");
        for (_, _, missing) in &second {
            assert_eq!(missing.since, EpochMillis(1_000), "{name}");
            assert_eq!(missing.ordered_at, ordered_at, "{name}");
        }
    }
}
