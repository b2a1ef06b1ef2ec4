//! Choice of runners, as tables of cases.

mod fleet;

use super::{CallEnd, PickFault, RelayAsk, RelayChoice, RelayTable};
use crate::{
    catalog::{CallLimits, EngineTraits, ServiceCatalog, ServiceTraits},
    clock::EpochMillis,
    membership::RunnerLoad,
    model::ModelName,
    request::RequestId,
    roster::{HeldModel, RunnerFacts},
};

const NOW: EpochMillis = EpochMillis(100_000);

fn catalog() -> ServiceCatalog {
    catalog_with(10)
}

/// Returns a catalog in which a runner takes so many connections.
fn catalog_with(max_links: u32) -> ServiceCatalog {
    let engine = EngineTraits {
        batch: 4,
        token_capacity: 10_000,
        memory_mb: 100.0,
        adapter_places: 2,
        loads_per_second: 1.0,
        models: Vec::new(),
    };
    let services = vec![
        ServiceTraits {
            name: "advisor".to_owned(),
            max_links,
            engine: Some(engine),
        },
        ServiceTraits { name: "ledger".to_owned(), max_links, engine: None },
    ];
    let limits = CallLimits::default();
    ServiceCatalog::new(1, limits, Vec::new(), services, Vec::new())
}

fn runner(id: &str, service: &str, models: &[&str]) -> RunnerFacts {
    let held = models.iter().map(|text| {
        let (name, adapter) = text.split_once(':').unwrap_or((text, ""));
        let adapters = (!adapter.is_empty()).then(|| adapter.to_owned());
        HeldModel {
            name: name.to_owned(),
            adapters: adapters.into_iter().collect(),
        }
    });
    RunnerFacts {
        id: id.to_owned(),
        service: service.to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: "boden".to_owned(),
        slots: 4,
        leaving: false,
        born: Some(1),
        models: held.collect(),
        copies: Vec::new(),
        orders: 0,
    }
}

fn ask(service: &str, model: Option<&str>) -> RelayAsk {
    RelayAsk {
        id: RequestId::from_caller("r-1"),
        service: service.to_owned(),
        model: model.map(|text| text.parse::<ModelName>().unwrap()),
        tokens: 1_000,
        charge: None,
        tried: Vec::new(),
        sent: false,
        deadline: EpochMillis(110_000),
    }
}

/// What another host tells of a runner at which it has three calls.
fn busy(runner: &str) -> RunnerLoad {
    RunnerLoad {
        runner: runner.to_owned(),
        calls: 3,
        tokens: 10,
        names: Vec::new(),
    }
}

#[test]
fn a_runner_is_chosen_only_where_it_may_run_the_call() {
    struct Case {
        name: &'static str,
        service: &'static str,
        model: Option<&'static str>,
        tried: &'static [&'static str],
        leaving: &'static [&'static str],
        found: Result<&'static str, PickFault>,
    }
    let case = Case {
        name: "",
        service: "advisor",
        model: Some("bend"),
        tried: &[],
        leaving: &[],
        found: Ok("a"),
    };
    let cases = [
        Case { name: "holds the model", ..case },
        Case {
            name: "holds another model",
            model: Some("weld"),
            found: Ok("b"),
            ..case
        },
        Case {
            name: "holds the adapter",
            model: Some("weld:x"),
            found: Ok("b"),
            ..case
        },
        Case {
            name: "nobody holds the model",
            model: Some("cut"),
            found: Err(PickFault::NoModel),
            ..case
        },
        Case {
            name: "nobody holds the adapter",
            model: Some("weld:y"),
            found: Err(PickFault::NoAdapter),
            ..case
        },
        Case {
            name: "its only runner was tried",
            tried: &["a"],
            found: Err(PickFault::AllTried),
            ..case
        },
        Case {
            name: "its only runner leaves",
            leaving: &["a"],
            found: Err(PickFault::NoModel),
            ..case
        },
        Case {
            name: "a plain service",
            service: "ledger",
            model: None,
            found: Ok("c"),
            ..case
        },
        Case {
            name: "no such service",
            service: "archive",
            model: None,
            found: Err(PickFault::NoRunner),
            ..case
        },
    ];
    for case in cases {
        let mut facts = vec![
            runner("a", "advisor", &["bend"]),
            runner("b", "advisor", &["weld:x"]),
            runner("c", "ledger", &[]),
        ];
        for facts in &mut facts {
            facts.leaving = case.leaving.contains(&facts.id.as_str());
        }
        let mut table = RelayTable::new("boden");
        table.adopt(facts.iter());
        let mut ask = ask(case.service, case.model);
        ask.tried = case.tried.iter().map(|id| (*id).to_owned()).collect();
        let found = table.pick(&ask, &catalog(), NOW);
        let found = found.as_ref().map(|choice| choice.runner.as_str());
        assert_eq!(found, case.found.as_ref().copied(), "{}", case.name);
    }
}

#[test]
fn load_told_by_other_hosts_counts_while_it_is_fresh() {
    struct Case {
        told_at: u64,
        found: &'static str,
    }
    let cases = [
        Case { told_at: 99_900, found: "b" },
        Case { told_at: 98_000, found: "a" },
    ];
    for Case { told_at, found } in cases {
        let facts = [
            runner("a", "advisor", &["bend"]),
            runner("b", "advisor", &["bend"]),
        ];
        let mut table = RelayTable::new("boden");
        table.adopt(facts.iter());
        let told_at = EpochMillis(told_at);
        table.told("front-2", &[busy("a")], told_at);
        let ask = ask("advisor", Some("bend"));
        let choice = table.pick(&ask, &catalog(), NOW).unwrap();
        assert_eq!(choice.runner, found, "told at {told_at}");
    }
}

#[test]
fn a_runner_that_fails_is_used_less_and_the_last_one_still() {
    struct Case {
        name: &'static str,
        ends: &'static [CallEnd],
        runners: &'static [&'static str],
        found: &'static str,
    }
    let cases = [
        Case {
            name: "broken three times in a row",
            ends: &[CallEnd::Broken; 3],
            runners: &["a", "b"],
            found: "b",
        },
        Case {
            name: "no connection, once",
            ends: &[CallEnd::Unreachable],
            runners: &["a", "b"],
            found: "b",
        },
        Case {
            name: "the only one, broken",
            ends: &[CallEnd::Broken; 3],
            runners: &["a"],
            found: "a",
        },
        Case {
            name: "failed a few times",
            ends: &[CallEnd::Failed; 2],
            runners: &["a", "b"],
            found: "b",
        },
        Case {
            name: "the caller left",
            ends: &[CallEnd::Neutral; 5],
            runners: &["a", "b"],
            found: "a",
        },
    ];
    for case in cases {
        let facts: Vec<RunnerFacts> = case
            .runners
            .iter()
            .map(|id| runner(id, "advisor", &["bend"]))
            .collect();
        let ask = ask("advisor", Some("bend"));
        let mut table = RelayTable::new("boden");
        table.adopt(facts[..1].iter());
        for end in case.ends {
            let choice = table.pick(&ask, &catalog(), NOW).unwrap();
            table.done(&choice, false, *end, NOW);
        }
        table.adopt(facts.iter());
        let choice = table.pick(&ask, &catalog(), NOW).unwrap();
        assert_eq!(choice.runner, case.found, "{}", case.name);
    }
}

#[test]
fn a_silent_runner_is_not_sent_more_while_another_answers() {
    struct Case {
        name: &'static str,
        /// Calls sent to the first runner, and heads that came, by time.
        sent: &'static [u64],
        heard: &'static [u64],
        at: u64,
        found: &'static str,
    }
    let cases = [
        Case {
            name: "just sent",
            sent: &[0],
            heard: &[],
            at: 700,
            found: "a",
        },
        Case { name: "silent", sent: &[0], heard: &[], at: 800, found: "b" },
        Case {
            name: "heard since",
            sent: &[0, 10],
            heard: &[500],
            at: 1_200,
            found: "a",
        },
        Case {
            name: "all heard",
            sent: &[0],
            heard: &[100],
            at: 5_000,
            found: "a",
        },
    ];
    for case in cases {
        let facts = [
            runner("a", "advisor", &["bend"]),
            runner("b", "advisor", &["bend"]),
        ];
        let ask = ask("advisor", Some("bend"));
        let mut table = RelayTable::new("boden");
        table.adopt(facts[..1].iter());
        for at in case.sent {
            table.pick(&ask, &catalog(), EpochMillis(*at)).unwrap();
        }
        for at in case.heard {
            table.heard("a", EpochMillis(*at));
        }
        table.adopt(facts.iter());
        // The second one is busier, so only silence speaks for it.
        let told_at = EpochMillis(case.at);
        table.told("front-2", &[busy("b")], told_at);
        let choice = table.pick(&ask, &catalog(), EpochMillis(case.at));
        assert_eq!(choice.unwrap().runner, case.found, "{}", case.name);
    }
}

#[test]
fn a_runner_that_was_set_aside_is_probed_by_one_call() {
    struct Case {
        name: &'static str,
        /// Ends of calls at the first runner, each with its point.
        ends: &'static [(u64, CallEnd)],
        at: u64,
        /// Runners of the next two calls.
        found: [&'static str; 2],
    }
    let cases = [
        Case {
            name: "still aside",
            ends: &[(0, CallEnd::Unreachable)],
            at: 499,
            found: ["b", "b"],
        },
        Case {
            name: "due for a probe",
            ends: &[(0, CallEnd::Unreachable)],
            at: 500,
            found: ["a", "b"],
        },
        Case {
            name: "longer after a probe that failed",
            ends: &[(0, CallEnd::Unreachable), (500, CallEnd::Unreachable)],
            at: 1_499,
            found: ["b", "b"],
        },
        Case {
            name: "whole after a probe that succeeded",
            ends: &[
                (0, CallEnd::Unreachable),
                (500, CallEnd::Whole { pace_us: 100 }),
            ],
            at: 510,
            found: ["a", "a"],
        },
    ];
    for case in cases {
        let facts = [
            runner("a", "advisor", &["bend"]),
            runner("b", "advisor", &["bend"]),
        ];
        let ask = ask("advisor", Some("bend"));
        let mut table = RelayTable::new("boden");
        table.adopt(facts[..1].iter());
        for (at, end) in case.ends {
            let now = EpochMillis(*at);
            let choice = table.pick(&ask, &catalog(), now).unwrap();
            table.done(&choice, false, *end, now);
        }
        table.adopt(facts.iter());
        let now = EpochMillis(case.at);
        // The second one is busier, so only the probe speaks for it.
        table.told("front-2", &[busy("b")], now);
        let found = [(); 2].map(|()| {
            let choice = table.pick(&ask, &catalog(), now);
            choice.unwrap().runner
        });
        assert_eq!(found, case.found, "{}", case.name);
    }
}

#[test]
fn a_runner_whose_streams_slow_down_is_chosen_less() {
    struct Case {
        name: &'static str,
        /// Paces told of the first runner; the second one's is 100.
        paces: &'static [u64],
        found: &'static str,
    }
    let cases = [
        Case { name: "faster", paces: &[80, 80], found: "a" },
        Case { name: "as fast, then slow", paces: &[90, 800], found: "b" },
        Case { name: "never heard of", paces: &[], found: "a" },
    ];
    for case in cases {
        let facts = [
            runner("a", "advisor", &["bend"]),
            runner("b", "advisor", &["bend"]),
        ];
        let ask = ask("advisor", Some("bend"));
        let mut table = RelayTable::new("boden");
        table.adopt(facts.iter());
        table.paced("b", "bend", 100);
        for pace in case.paces {
            table.paced("a", "bend", *pace);
        }
        let choice = table.pick(&ask, &catalog(), NOW).unwrap();
        assert_eq!(choice.runner, case.found, "{}", case.name);
    }
}

#[test]
fn a_host_tells_which_adapters_and_yielding_models_it_uses() {
    struct Case {
        name: &'static str,
        /// Calls in flight, and those that have ended.
        begun: &'static [&'static str],
        ended: &'static [&'static str],
        /// What the host that orders lists, if it was heard.
        told: Option<&'static [&'static str]>,
        used: &'static [&'static str],
    }
    let case = Case {
        name: "",
        begun: &["bend", "weld:x", "weld:x"],
        ended: &[],
        told: None,
        used: &["weld:x"],
    };
    let cases = [
        Case { name: "never told", ..case },
        Case {
            name: "all are listed",
            told: Some(&["bend", "weld", "weld:x"]),
            ..case
        },
        Case {
            name: "the model gives way",
            told: Some(&["weld", "weld:x"]),
            used: &["bend", "weld:x"],
            ..case
        },
        Case { name: "one of two has ended", ended: &["weld:x"], ..case },
        Case {
            name: "both have ended",
            ended: &["weld:x", "weld:x"],
            used: &[],
            ..case
        },
    ];
    for case in cases {
        let facts = [runner("a", "advisor", &["bend", "weld:x"])];
        let mut table = RelayTable::new("boden");
        table.adopt(facts.iter());
        let mut choices = Vec::new();
        for name in case.begun {
            let ask = ask("advisor", Some(name));
            choices.push(table.pick(&ask, &catalog(), NOW).unwrap());
        }
        for name in case.ended {
            let is_it = |choice: &RelayChoice| {
                choice.name.as_ref().unwrap().to_string() == *name
            };
            let place = choices.iter().position(is_it).unwrap();
            let choice = choices.remove(place);
            table.done(&choice, false, CallEnd::Neutral, NOW);
        }
        if let Some(told) = case.told {
            let names = told.iter().map(|name| name.parse().unwrap());
            table.told_held("a", &names.collect::<Vec<_>>(), NOW);
        }
        let names = table.views().flat_map(|view| view.names);
        let names: Vec<String> = names.map(|name| name.to_string()).collect();
        assert_eq!(names, case.used, "{}", case.name);
    }
}
