//! Adapter steps at one runner, as a table of cases.

use super::managed::{facts, report};
use crate::{
    EpochMillis,
    catalog::{EngineModel, EngineSpec},
    membership::RunnerLoad,
    model::ModelName,
    placement::{
        AdapterAction, AdapterPlanner, ModelDemand, RunnerTable, UseTable,
    },
};

#[test]
fn an_adapter_takes_a_free_slot_or_evicts_another() {
    struct Case {
        name: &'static str,
        /// Adapters that the runner holds.
        resident: &'static [&'static str],
        /// Adapters that calls found on no runner, and when.
        misses: &'static [(&'static str, u64)],
        /// Adapters that were loaded, and when.
        loaded_at: &'static [(&'static str, u64)],
        /// Adapters that calls use, and adapters that are draining.
        used: &'static [&'static str],
        draining: &'static [&'static str],
        /// Demand, in tokens per second.
        demand: &'static [(&'static str, u64)],
        step: Option<(AdapterAction, &'static str)>,
    }
    let case = Case {
        name: "",
        resident: &[],
        misses: &[],
        loaded_at: &[],
        used: &[],
        draining: &[],
        demand: &[],
        step: None,
    };
    let cases = [
        Case { name: "nothing is requested", ..case },
        Case {
            name: "an adapter that a call waits for is loaded",
            misses: &[("a3", 9_900)],
            step: Some((AdapterAction::Load, "a3")),
            ..case
        },
        Case { name: "a miss has expired", misses: &[("a3", 1_000)], ..case },
        Case {
            name: "the adapter in highest demand is loaded first",
            demand: &[("bend", 90), ("bend:a1", 30), ("bend:a2", 60)],
            step: Some((AdapterAction::Load, "a2")),
            ..case
        },
        Case {
            name: "an unrequested adapter of a model in demand",
            resident: &["a1"],
            demand: &[("bend", 90)],
            step: Some((AdapterAction::Load, "a2")),
            ..case
        },
        Case {
            name: "full: the adapter with the least demand drains",
            resident: &["a1", "a2"],
            misses: &[("a3", 9_900)],
            demand: &[("bend:a1", 50), ("bend:a2", 0), ("bend:a3", 9)],
            step: Some((AdapterAction::Drain, "a2")),
            ..case
        },
        Case {
            name: "full: a recently loaded adapter stays",
            resident: &["a1", "a2"],
            misses: &[("a3", 9_900)],
            loaded_at: &[("a2", 9_301)],
            demand: &[("bend:a1", 50), ("bend:a2", 0)],
            step: Some((AdapterAction::Drain, "a1")),
            ..case
        },
        Case {
            name: "full of recently loaded adapters",
            resident: &["a1", "a2"],
            misses: &[("a3", 9_900)],
            loaded_at: &[("a1", 9_400), ("a2", 9_301)],
            ..case
        },
        Case {
            name: "the adapter was loaded after the miss",
            resident: &["a1"],
            misses: &[("a3", 9_800)],
            loaded_at: &[("a3", 9_900)],
            ..case
        },
        Case {
            name: "full: more than twice the demand evicts",
            resident: &["a1", "a2"],
            demand: &[("bend:a1", 50), ("bend:a2", 45), ("bend:a3", 91)],
            step: Some((AdapterAction::Drain, "a2")),
            ..case
        },
        Case {
            name: "full: twice the demand or less doesn't evict",
            resident: &["a1", "a2"],
            demand: &[("bend:a1", 50), ("bend:a2", 50), ("bend:a3", 90)],
            ..case
        },
        Case {
            name: "full: an unused adapter drains before one in less demand",
            resident: &["a1", "a2"],
            misses: &[("a3", 9_900)],
            used: &["a2"],
            demand: &[("bend:a1", 50), ("bend:a2", 0)],
            step: Some((AdapterAction::Drain, "a1")),
            ..case
        },
        Case {
            name: "full, all in use: the one with the least demand drains",
            resident: &["a1", "a2"],
            misses: &[("a3", 9_900)],
            used: &["a1", "a2"],
            demand: &[("bend:a1", 50), ("bend:a2", 0)],
            step: Some((AdapterAction::Drain, "a2")),
            ..case
        },
        Case {
            name: "an adapter is already draining",
            resident: &["a1", "a2"],
            misses: &[("a3", 9_900)],
            used: &["a1", "a2"],
            draining: &["a2"],
            ..case
        },
        Case {
            name: "a drained adapter has no calls left",
            resident: &["a1", "a2"],
            misses: &[("a3", 9_900)],
            used: &["a1"],
            draining: &["a2"],
            step: Some((AdapterAction::Unload, "a2")),
            ..case
        },
        Case {
            name: "full, all in use: demand without waiting calls drains none",
            resident: &["a1", "a2"],
            used: &["a1", "a2"],
            demand: &[("bend:a1", 50), ("bend:a2", 45), ("bend:a3", 91)],
            ..case
        },
        Case {
            name: "full, and no adapter is requested",
            resident: &["a1", "a2"],
            demand: &[("bend", 90)],
            ..case
        },
    ];
    let engine = EngineSpec {
        batch: 4,
        token_capacity: 100,
        memory_mb: 100.0,
        adapter_places: 2,
        loads_per_second: 1.0,
        models: vec![EngineModel {
            name: "bend".to_owned(),
            size_mb: 40.0,
            load_ms: 10,
            warm_ms: 10,
            disk_ms: 10,
            adapters: 3,
            adapter_mb: 1.0,
        }],
    };
    let now = EpochMillis(10_000);
    for case in cases {
        let mut runners = RunnerTable::default();
        runners.adopt(&[&facts(1)], EpochMillis(0));
        runners.due(1, EpochMillis(0));
        let mut report = report(0, false);
        for adapter in case.resident {
            report.models[0].adapters.push((*adapter).to_owned());
        }
        runners.handle_report("i-1", Some(report), EpochMillis(0));
        let mut planner = AdapterPlanner::default();
        for (adapter, at) in case.misses {
            let name: ModelName = format!("bend:{adapter}").parse().unwrap();
            planner.record_miss(&name, EpochMillis(*at));
        }
        for (adapter, at) in case.loaded_at {
            let name: ModelName = format!("bend:{adapter}").parse().unwrap();
            planner.record_load(&name, EpochMillis(*at));
        }
        let demand = case.demand.iter();
        let demand: ModelDemand =
            demand.map(|(name, rate)| ((*name).to_owned(), *rate)).collect();
        for adapter in case.draining {
            let name: ModelName = format!("bend:{adapter}").parse().unwrap();
            runners.drain("i-1", &name, true, EpochMillis(9_000));
        }
        let names = case.used.iter().map(|adapter| {
            let name: ModelName = format!("bend:{adapter}").parse().unwrap();
            name
        });
        let load = RunnerLoad {
            runner: "i-1".to_owned(),
            calls: 1,
            tokens: 1,
            names: names.collect(),
        };
        let mut uses = UseTable::default();
        uses.update("front-1", &[load], EpochMillis(9_800));
        let steps = planner.next_steps(&runners, &engine, &demand, &uses, now);
        let step = steps.into_iter().next();
        let step = step.map(|step| (step.kind, step.name.adapter.unwrap()));
        let expected =
            case.step.map(|(kind, adapter)| (kind, adapter.to_owned()));
        assert_eq!(step, expected, "{}", case.name);
    }
}
