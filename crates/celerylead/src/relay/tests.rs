//! Tests of the choice of runners.

mod capacity;
mod cold;
mod cold_runners;
mod evacuation;
mod fleet;
mod hard_load;
mod notices;

use super::{
    CallEnd, CallProfile, CallRequirements, PickFault, RelayChoice, RelayTable,
};
use crate::{
    catalog::{CallLimits, EngineSpec, ServiceCatalog, ServiceSpec},
    clock::EpochMillis,
    membership::RunnerLoad,
    model::ModelName,
    quarantine::PromptParts,
    request::RequestId,
    roster::{HeldModel, RunnerFacts, RunnerStart},
};

const NOW: EpochMillis = EpochMillis(100_000);

fn catalog() -> ServiceCatalog {
    catalog_with(10)
}

/// Returns a catalog in which each runner accepts `max_links` connections.
fn catalog_with(max_links: u32) -> ServiceCatalog {
    let engine = EngineSpec {
        batch: 4,
        token_capacity: 10_000,
        memory_mb: 100.0,
        adapter_places: 2,
        loads_per_second: 1.0,
        models: Vec::new(),
    };
    let services = vec![
        ServiceSpec {
            name: "advisor".to_owned(),
            max_links,
            engine: Some(engine),
            cold: None,
        },
        ServiceSpec {
            name: "ledger".to_owned(),
            max_links,
            engine: None,
            cold: None,
        },
    ];
    let limits = CallLimits::default();
    ServiceCatalog::new(1, limits, Vec::new(), services, Vec::new())
}

fn runner(id: &str, service: &str, models: &[&str]) -> RunnerFacts {
    let held_models = models.iter().map(|text| {
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
        models: held_models.collect(),
        copies: Vec::new(),
        orders: 0,
        cold_until: EpochMillis::default(),
    }
}

fn start(id: &str, born: u64) -> RunnerStart {
    RunnerStart { id: id.to_owned(), born: Some(born) }
}

fn call(service: &str, model: Option<&str>) -> CallRequirements {
    CallRequirements {
        id: RequestId::from_caller("r-1"),
        service: service.to_owned(),
        model: model.map(|text| text.parse::<ModelName>().unwrap()),
        tokens: 1_000,
        tried: Vec::new(),
        sent: false,
        deadline: EpochMillis(110_000),
        parts: PromptParts::default(),
        profile: CallProfile::default(),
    }
}

/// Returns the report of another host that has three calls at a runner.
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
        expected: Result<&'static str, PickFault>,
    }
    let case = Case {
        name: "",
        service: "advisor",
        model: Some("bend"),
        tried: &[],
        leaving: &[],
        expected: Ok("a"),
    };
    let cases = [
        Case { name: "holds the model", ..case },
        Case {
            name: "holds another model",
            model: Some("weld"),
            expected: Ok("b"),
            ..case
        },
        Case {
            name: "holds the adapter",
            model: Some("weld:x"),
            expected: Ok("b"),
            ..case
        },
        Case {
            name: "no runner holds the model",
            model: Some("cut"),
            expected: Err(PickFault::NoModel),
            ..case
        },
        Case {
            name: "no runner holds the adapter",
            model: Some("weld:y"),
            expected: Err(PickFault::NoAdapter),
            ..case
        },
        Case {
            name: "the only runner with the model was tried",
            tried: &["a"],
            expected: Err(PickFault::AllTried),
            ..case
        },
        Case {
            name: "the only runner with the model is leaving",
            leaving: &["a"],
            expected: Err(PickFault::NoModel),
            ..case
        },
        Case {
            name: "a plain service",
            service: "ledger",
            model: None,
            expected: Ok("c"),
            ..case
        },
        Case {
            name: "no such service",
            service: "archive",
            model: None,
            expected: Err(PickFault::NoRunner),
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
        table.set_roster(facts.iter());
        let mut call = call(case.service, case.model);
        call.tried = case.tried.iter().map(|id| (*id).to_owned()).collect();
        let found = table.pick(&call, &catalog(), NOW);
        let found = found.as_ref().map(|choice| choice.runner.as_str());
        assert_eq!(found, case.expected.as_ref().copied(), "{}", case.name);
    }
}

/// Guards against token counts that overflow the load of a runner, and against
/// calls that wait although no runner will ever have room for them.
#[test]
fn a_call_larger_than_a_runner_is_refused_whatever_it_claims() {
    struct Case {
        name: &'static str,
        tokens: u64,
        expected: Result<(), PickFault>,
    }
    let cases = [
        Case { name: "fits", tokens: 9_000, expected: Ok(()) },
        Case {
            name: "full now",
            tokens: 10_000,
            expected: Err(PickFault::Full),
        },
        Case {
            name: "never fits",
            tokens: 10_001,
            expected: Err(PickFault::TooLarge),
        },
        Case {
            name: "absurd",
            tokens: u64::MAX,
            expected: Err(PickFault::TooLarge),
        },
    ];
    for Case { name, tokens, expected } in cases {
        let facts = [runner("a", "advisor", &["bend"])];
        let mut table = RelayTable::new("boden");
        table.set_roster(facts.iter());
        let load = RunnerLoad { calls: 1, tokens: 1_000, ..busy("a") };
        table.update_peer_loads("front-2", &[load], NOW);
        let mut call = call("advisor", Some("bend"));
        call.tokens = tokens;
        let found = table.pick(&call, &catalog(), NOW).map(|_| ());
        assert_eq!(found, expected, "{name}");
        let loads = table.candidate_load(&call, NOW);
        assert!(loads.tokens <= 10_000, "{name}: {loads:?}");
    }
}

#[test]
fn load_reported_by_other_hosts_counts_while_it_is_fresh() {
    struct Case {
        reported_at: u64,
        expected: &'static str,
    }
    let cases = [
        Case { reported_at: 99_900, expected: "b" },
        Case { reported_at: 98_000, expected: "a" },
    ];
    for Case { reported_at, expected } in cases {
        let facts = [
            runner("a", "advisor", &["bend"]),
            runner("b", "advisor", &["bend"]),
        ];
        let mut table = RelayTable::new("boden");
        table.set_roster(facts.iter());
        let reported_at = EpochMillis(reported_at);
        table.update_peer_loads("front-2", &[busy("a")], reported_at);
        let call = call("advisor", Some("bend"));
        let choice = table.pick(&call, &catalog(), NOW).unwrap();
        assert_eq!(choice.runner, expected, "reported at {reported_at}");
    }
}

#[test]
fn a_failing_runner_is_used_less_unless_it_is_the_only_one() {
    struct Case {
        name: &'static str,
        ends: &'static [CallEnd],
        runners: &'static [&'static str],
        expected: &'static str,
    }
    let cases = [
        Case {
            name: "broken three times in a row",
            ends: &[CallEnd::Broken; 3],
            runners: &["a", "b"],
            expected: "b",
        },
        Case {
            name: "no connection, once",
            ends: &[CallEnd::Unreachable],
            runners: &["a", "b"],
            expected: "b",
        },
        Case {
            name: "broken three times, but the only runner",
            ends: &[CallEnd::Broken; 3],
            runners: &["a"],
            expected: "a",
        },
        Case {
            name: "failed a few times",
            ends: &[CallEnd::Failed; 2],
            runners: &["a", "b"],
            expected: "b",
        },
        Case {
            name: "the caller disconnected",
            ends: &[CallEnd::Neutral; 5],
            runners: &["a", "b"],
            expected: "a",
        },
    ];
    for case in cases {
        let facts: Vec<RunnerFacts> = case
            .runners
            .iter()
            .map(|id| runner(id, "advisor", &["bend"]))
            .collect();
        let call = call("advisor", Some("bend"));
        let mut table = RelayTable::new("boden");
        table.set_roster(facts[..1].iter());
        for end in case.ends {
            let choice = table.pick(&call, &catalog(), NOW).unwrap();
            table.end_call(&choice, false, *end, NOW);
        }
        table.set_roster(facts.iter());
        let choice = table.pick(&call, &catalog(), NOW).unwrap();
        assert_eq!(choice.runner, case.expected, "{}", case.name);
    }
}

#[test]
fn a_silent_runner_gets_no_calls_while_another_answers() {
    struct Case {
        name: &'static str,
        /// Times at which calls were sent to the first runner, and at which
        /// response heads arrived from it.
        sent: &'static [u64],
        heads: &'static [u64],
        at: u64,
        expected: &'static str,
    }
    let cases = [
        Case {
            name: "just sent",
            sent: &[0],
            heads: &[],
            at: 700,
            expected: "a",
        },
        Case {
            name: "silent",
            sent: &[0],
            heads: &[],
            at: 800,
            expected: "b",
        },
        Case {
            name: "a head arrived since",
            sent: &[0, 10],
            heads: &[500],
            at: 1_200,
            expected: "a",
        },
        Case {
            name: "all heads arrived",
            sent: &[0],
            heads: &[100],
            at: 5_000,
            expected: "a",
        },
    ];
    for case in cases {
        let facts = [
            runner("a", "advisor", &["bend"]),
            runner("b", "advisor", &["bend"]),
        ];
        let call = call("advisor", Some("bend"));
        let mut table = RelayTable::new("boden");
        table.set_roster(facts[..1].iter());
        for at in case.sent {
            table.pick(&call, &catalog(), EpochMillis(*at)).unwrap();
        }
        for at in case.heads {
            table.note_head(&start("a", 1), EpochMillis(*at));
        }
        table.set_roster(facts.iter());
        // The second runner is busier, so it is chosen only if the first one
        // is silent.
        let reported_at = EpochMillis(case.at);
        table.update_peer_loads("front-2", &[busy("b")], reported_at);
        let choice = table.pick(&call, &catalog(), EpochMillis(case.at));
        assert_eq!(choice.unwrap().runner, case.expected, "{}", case.name);
    }
}

#[test]
fn an_ejected_runner_is_probed_by_one_call() {
    struct Case {
        name: &'static str,
        /// Times and outcomes of the calls at the first runner.
        ends: &'static [(u64, CallEnd)],
        at: u64,
        /// Runners chosen for the next two calls.
        expected: [&'static str; 2],
    }
    let cases = [
        Case {
            name: "still ejected",
            ends: &[(0, CallEnd::Unreachable)],
            at: 499,
            expected: ["b", "b"],
        },
        Case {
            name: "due for a probe",
            ends: &[(0, CallEnd::Unreachable)],
            at: 500,
            expected: ["a", "b"],
        },
        Case {
            name: "ejected for longer after a failed probe",
            ends: &[(0, CallEnd::Unreachable), (500, CallEnd::Unreachable)],
            at: 1_499,
            expected: ["b", "b"],
        },
        Case {
            name: "in service after a successful probe",
            ends: &[
                (0, CallEnd::Unreachable),
                (500, CallEnd::Complete { latency_us: 100 }),
            ],
            at: 510,
            expected: ["a", "a"],
        },
    ];
    for case in cases {
        let facts = [
            runner("a", "advisor", &["bend"]),
            runner("b", "advisor", &["bend"]),
        ];
        let call = call("advisor", Some("bend"));
        let mut table = RelayTable::new("boden");
        table.set_roster(facts[..1].iter());
        for (at, end) in case.ends {
            let now = EpochMillis(*at);
            let choice = table.pick(&call, &catalog(), now).unwrap();
            table.end_call(&choice, false, *end, now);
        }
        table.set_roster(facts.iter());
        let now = EpochMillis(case.at);
        // The second runner is busier, so it is chosen only if the first one
        // is ejected or being probed.
        table.update_peer_loads("front-2", &[busy("b")], now);
        let found = [(); 2].map(|()| {
            let choice = table.pick(&call, &catalog(), now);
            choice.unwrap().runner
        });
        assert_eq!(found, case.expected, "{}", case.name);
    }
}

#[test]
fn a_runner_whose_streams_slow_down_is_chosen_less() {
    struct Case {
        name: &'static str,
        /// Latencies recorded for the first runner; that of the second runner
        /// is 100.
        latencies: &'static [u64],
        expected: &'static str,
    }
    let cases = [
        Case { name: "faster", latencies: &[80, 80], expected: "a" },
        Case {
            name: "as fast, then slow",
            latencies: &[90, 800],
            expected: "b",
        },
        Case { name: "no latency recorded", latencies: &[], expected: "a" },
    ];
    for case in cases {
        let facts = [
            runner("a", "advisor", &["bend"]),
            runner("b", "advisor", &["bend"]),
        ];
        let call = call("advisor", Some("bend"));
        let mut table = RelayTable::new("boden");
        table.set_roster(facts.iter());
        table.record_latency("b", "bend", 100);
        for latency in case.latencies {
            table.record_latency("a", "bend", *latency);
        }
        let choice = table.pick(&call, &catalog(), NOW).unwrap();
        assert_eq!(choice.runner, case.expected, "{}", case.name);
    }
}

#[test]
fn a_host_reports_the_adapters_and_unlisted_models_it_uses() {
    struct Case {
        name: &'static str,
        /// Models of the calls that have begun, and of those that have ended.
        begun: &'static [&'static str],
        ended: &'static [&'static str],
        /// Models that the lease holder announces; `None` without an
        /// announcement.
        announced: Option<&'static [&'static str]>,
        used: &'static [&'static str],
    }
    let case = Case {
        name: "",
        begun: &["bend", "weld:x", "weld:x"],
        ended: &[],
        announced: None,
        used: &["weld:x"],
    };
    let cases = [
        Case { name: "nothing announced", ..case },
        Case {
            name: "all models announced",
            announced: Some(&["bend", "weld", "weld:x"]),
            ..case
        },
        Case {
            name: "a model is no longer announced",
            announced: Some(&["weld", "weld:x"]),
            used: &["bend", "weld:x"],
            ..case
        },
        Case {
            name: "one of two adapter calls has ended",
            ended: &["weld:x"],
            ..case
        },
        Case {
            name: "both adapter calls have ended",
            ended: &["weld:x", "weld:x"],
            used: &[],
            ..case
        },
    ];
    for case in cases {
        let facts = [runner("a", "advisor", &["bend", "weld:x"])];
        let mut table = RelayTable::new("boden");
        table.set_roster(facts.iter());
        let mut choices = Vec::new();
        for name in case.begun {
            let call = call("advisor", Some(name));
            choices.push(table.pick(&call, &catalog(), NOW).unwrap());
        }
        for name in case.ended {
            let is_named = |choice: &RelayChoice| {
                choice.name.as_ref().unwrap().to_string() == *name
            };
            let index = choices.iter().position(is_named).unwrap();
            let choice = choices.remove(index);
            table.end_call(&choice, false, CallEnd::Neutral, NOW);
        }
        if let Some(announced) = case.announced {
            let names = announced.iter().map(|name| name.parse().unwrap());
            table.set_announced_models("a", &names.collect::<Vec<_>>(), NOW);
        }
        let names = table.views().flat_map(|view| view.names);
        let names: Vec<String> = names.map(|name| name.to_string()).collect();
        assert_eq!(names, case.used, "{}", case.name);
    }
}
