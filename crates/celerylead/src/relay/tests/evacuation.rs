//! Tests of runners in evacuated zones.

use std::sync::Arc;

use super::{NOW, call, catalog, runner};
use crate::{
    StoreVersion,
    catalog::EvacuationList,
    relay::{CallEnd, PickFault, RelayTable},
    roster::RunnerFacts,
};

/// Guards against calls to an evacuated zone, and against calls in flight there
/// that no longer count when its runners return.
#[test]
fn an_evacuated_zone_gets_no_calls_and_keeps_those_it_has() {
    struct Case {
        name: &'static str,
        evacuated: &'static [&'static str],
        chosen: Result<&'static str, PickFault>,
    }
    let cases = [
        Case { name: "no zone", evacuated: &[], chosen: Ok("a") },
        Case {
            name: "the zone of the busy one",
            evacuated: &["boden"],
            chosen: Ok("b"),
        },
        Case { name: "the other", evacuated: &["spt"], chosen: Ok("a") },
        Case {
            name: "both",
            evacuated: &["boden", "spt"],
            chosen: Err(PickFault::NoRunner),
        },
        Case { name: "an unknown one", evacuated: &["x"], chosen: Ok("a") },
    ];
    let facts = [
        runner("a", "ledger", &[]),
        RunnerFacts { zone: "spt".to_owned(), ..runner("b", "ledger", &[]) },
    ];
    for Case { name, evacuated, chosen } in cases {
        let mut table = RelayTable::new("boden");
        table.set_roster(facts.iter());
        let call = call("ledger", None);
        let first = table.pick(&call, &catalog(), NOW).unwrap();
        assert_eq!(first.runner, "a", "{name}");
        // Its own zone is preferred as long as the loads are equal.
        let second = table.pick(&call, &catalog(), NOW).unwrap();
        assert_eq!(second.runner, "b", "{name}");
        let mut list = EvacuationList::default();
        for zone in evacuated {
            list.apply(zone, StoreVersion::new(0, 1), true);
        }
        table.set_evacuations(Arc::new(list));
        table.set_roster(facts.iter());
        let found = table.pick(&call, &catalog(), NOW);
        let runner = found.as_ref().map(|choice| choice.runner.as_str());
        assert_eq!(runner, chosen.as_ref().copied(), "{name}");
        assert_eq!(table.takes_calls("a"), !evacuated.contains(&"boden"));
        let calls = |table: &RelayTable| {
            table.loads().iter().map(|load| load.calls).sum::<u32>()
        };
        let begun = 2 + u32::from(found.is_ok());
        assert_eq!(calls(&table), begun, "{name}: calls in flight count");
        let end = CallEnd::Complete { latency_us: 1_000 };
        table.end_call(&first, false, end, NOW);
        assert_eq!(calls(&table), begun - 1, "{name}: one has ended");
        table.set_evacuations(Arc::default());
        table.set_roster(facts.iter());
        assert_eq!(calls(&table), begun - 1, "{name}: after the return");
        assert!(table.takes_calls("a") && table.takes_calls("b"), "{name}");
    }
}
