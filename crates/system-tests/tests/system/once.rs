//! Calls run at most once, refusals state correctly whether the call ran, and
//! each caller gets the complete answer to its own request.

use std::time::Duration;

use celerylead_stand_ins::{
    engine::EngineFault,
    proxy::{FaultProxy, ProxyFault},
    service::{ServiceFault, ServiceStandIn},
};

use crate::{
    client::{call, chat, request},
    fleet::{Fleet, TestCustomer, settings_file, wait_for},
    keys::service_settings,
};

const KEY: &str = "cl-once-key";

/// A fault and the component that has it.
#[derive(Clone, Copy, Debug)]
enum InjectedFault {
    Engine(EngineFault),
    Proxy(ProxyFault),
}

struct OnceCase {
    name: &'static str,
    fault: InjectedFault,
    stream: bool,
    /// Status, code and outcome that the caller gets. A truncated stream has
    /// code and outcome in its last event, an error.
    status: u16,
    code: &'static str,
    outcome: &'static str,
    /// Most runs that the engine may count.
    max_runs: u32,
}

const CASES: &[OnceCase] = &[
    OnceCase {
        name: "cut before the connection",
        fault: InjectedFault::Proxy(ProxyFault::Cut),
        stream: false,
        status: 503,
        code: "no_runner",
        outcome: "not-run",
        max_runs: 0,
    },
    OnceCase {
        name: "cut before the first byte is forwarded",
        fault: InjectedFault::Proxy(ProxyFault::CutAfterSent(0)),
        stream: false,
        status: 502,
        code: "runner_failed",
        outcome: "outcome-unknown",
        max_runs: 0,
    },
    OnceCase {
        name: "cut within the request",
        fault: InjectedFault::Proxy(ProxyFault::CutAfterSent(40)),
        stream: false,
        status: 502,
        code: "runner_failed",
        outcome: "outcome-unknown",
        max_runs: 0,
    },
    OnceCase {
        name: "cut before the status",
        fault: InjectedFault::Proxy(ProxyFault::CutAfterReceived(0)),
        stream: false,
        status: 502,
        code: "runner_failed",
        outcome: "outcome-unknown",
        max_runs: 1,
    },
    OnceCase {
        name: "cut within the head of the answer",
        fault: InjectedFault::Proxy(ProxyFault::CutAfterReceived(30)),
        stream: false,
        status: 502,
        code: "runner_failed",
        outcome: "outcome-unknown",
        max_runs: 1,
    },
    OnceCase {
        name: "cut within the body",
        fault: InjectedFault::Proxy(ProxyFault::CutAfterReceived(180)),
        stream: false,
        status: 502,
        code: "answer_cut",
        outcome: "outcome-unknown",
        max_runs: 1,
    },
    OnceCase {
        name: "half open: the request arrives and no answer returns",
        fault: InjectedFault::Proxy(ProxyFault::HalfOpen),
        stream: false,
        status: 504,
        code: "runner_timeout",
        outcome: "outcome-unknown",
        max_runs: 1,
    },
    OnceCase {
        name: "closed after the run, before the head",
        fault: InjectedFault::Engine(EngineFault::CloseBeforeHead),
        stream: false,
        status: 502,
        code: "runner_failed",
        outcome: "outcome-unknown",
        max_runs: 1,
    },
    OnceCase {
        name: "the answer to another request",
        fault: InjectedFault::Engine(EngineFault::WrongRequestId),
        stream: false,
        status: 502,
        code: "runner_failed",
        outcome: "outcome-unknown",
        max_runs: 1,
    },
    OnceCase {
        name: "no answer at all",
        fault: InjectedFault::Engine(EngineFault::Hang),
        stream: false,
        status: 504,
        code: "runner_timeout",
        outcome: "outcome-unknown",
        max_runs: 1,
    },
    OnceCase {
        name: "a truncated answer",
        fault: InjectedFault::Engine(EngineFault::CutAfterTokens(1)),
        stream: false,
        status: 502,
        code: "answer_cut",
        outcome: "outcome-unknown",
        max_runs: 1,
    },
    OnceCase {
        name: "a truncated stream",
        fault: InjectedFault::Engine(EngineFault::CutAfterTokens(2)),
        stream: true,
        status: 200,
        code: "answer_cut",
        outcome: "outcome-unknown",
        max_runs: 1,
    },
    OnceCase {
        name: "a stream that ends without its end marker",
        fault: InjectedFault::Engine(EngineFault::NoEndMarker),
        stream: true,
        status: 200,
        code: "answer_cut",
        outcome: "outcome-unknown",
        max_runs: 1,
    },
    OnceCase {
        name: "a stream cut within the last chunk",
        fault: InjectedFault::Proxy(ProxyFault::CutAfterReceived(560)),
        stream: true,
        status: 200,
        code: "answer_cut",
        outcome: "outcome-unknown",
        max_runs: 1,
    },
];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn completions_run_at_most_once_and_refusals_are_correct() {
    let mut fleet = Fleet::start(&[500.0]).await;
    let proxy = FaultProxy::start(&fleet.engines[0].address).await;
    let proxy = proxy.expect("proxy");
    let customers = [TestCustomer {
        name: "parish",
        key: KEY,
        rate: 90_000,
        burst: 90_000,
    }];
    let engines = [("kgn", proxy.address.as_str())];
    fleet
        .apply(&settings_file(
            &["kgn"],
            &engines,
            &customers,
            "queue_ms = 1500\nhead_timeout_ms = 1000",
        ))
        .await;
    let host = fleet.host("kgn-1", "kgn").await;
    fleet.wait_shares().await;
    let listen = fleet.hosts[host].listen.clone();
    for case in CASES {
        // An answer without a fault resets the runner's count of failures, so
        // that the fault of this case meets a runner that isn't ejected.
        proxy.set_fault(ProxyFault::None);
        fleet.engines[0].set_fault(EngineFault::None).await;
        wait_for("the runner to be in service", async || {
            let answer = call(&listen, chat(KEY, "outline", 1, false)).await;
            answer.is_ok_and(|answer| answer.status == 200)
        })
        .await;
        // Idle connections to the runner have expired after this time, so the
        // fault meets a new connection.
        tokio::time::sleep(Duration::from_millis(2_100)).await;
        match case.fault {
            InjectedFault::Engine(fault) => {
                fleet.engines[0].set_fault(fault).await;
            }
            InjectedFault::Proxy(fault) => proxy.set_fault(fault),
        }
        let request = chat(KEY, "outline", 3, case.stream);
        let answer = call(&listen, request).await.expect("an answer");
        let id = answer.header("x-request-id").to_owned();
        let name = case.name;
        assert_eq!(answer.status, case.status, "{name}: {answer:?}");
        if case.stream {
            assert!(
                !answer.is_done(),
                "{name}: a cut stream has its end marker"
            );
            assert!(answer.body.contains(case.code), "{name}: {answer:?}");
            assert!(answer.body.contains(case.outcome), "{name}");
        } else {
            assert_eq!(answer.code(), case.code, "{name}: {answer:?}");
            assert_eq!(answer.outcome(), case.outcome, "{name}");
        }
        let runs = fleet.engines[0].runs().await;
        let ran = runs.iter().find(|(run_id, _)| *run_id == id);
        let ran = ran.map_or(0, |(_, count)| *count);
        assert!(ran <= case.max_runs, "{name}: ran {ran} times");
        if case.outcome == "not-run" {
            assert_eq!(ran, 0, "{name}: it ran though the outcome is not-run");
        }
    }
    let runs = fleet.engines[0].runs().await;
    assert!(runs.iter().all(|(_, count)| *count == 1), "{runs:?}");
}

/// A call of a plain service, whose runners may close the connection after the
/// run.
struct ServiceCase {
    method: &'static str,
    target: &'static str,
    fault: ServiceFault,
    status: u16,
    outcome: &'static str,
    runs: u32,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_of_plain_services_are_retried_only_where_allowed() {
    let mut fleet = Fleet::start(&[500.0]).await;
    let first = ServiceStandIn::start("127.0.0.1:0").await.expect("service");
    let second = ServiceStandIn::start("127.0.0.1:0").await.expect("service");
    let address = fleet.engines[0].address.clone();
    let customers =
        [TestCustomer { name: "parish", key: KEY, rate: 900, burst: 900 }];
    let engines = [("kgn", address.as_str())];
    let mut file = settings_file(&["kgn"], &engines, &customers, "");
    file += &service_settings(&first.address);
    file += &format!(
        "[[runner]]\nname = \"clerk-desk-2\"\ngroup = \"clerk-desk\"\n\
         zone = \"kgn\"\naddress = \"{}\"\n",
        second.address,
    );
    fleet.apply(&file).await;
    let host = fleet.host("kgn-1", "kgn").await;
    let listen = fleet.hosts[host].listen.clone();
    wait_for("the services to report", async || {
        let request =
            request("GET", "/services/records/lookup", Some(KEY), "");
        call(&listen, request).await.is_ok_and(|answer| answer.status == 200)
    })
    .await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    let cases = [
        ServiceCase {
            method: "POST",
            target: "/services/records/invoices",
            fault: ServiceFault::None,
            status: 200,
            outcome: "",
            runs: 1,
        },
        ServiceCase {
            method: "POST",
            target: "/services/records/invoices",
            fault: ServiceFault::CloseAfterRun,
            status: 502,
            outcome: "outcome-unknown",
            runs: 1,
        },
        ServiceCase {
            method: "GET",
            target: "/services/records/lookup/7",
            fault: ServiceFault::CloseAfterRun,
            status: 503,
            outcome: "outcome-unknown",
            runs: 2,
        },
    ];
    for case in cases {
        first.set_fault(case.fault).await;
        second.set_fault(case.fault).await;
        let request =
            request(case.method, case.target, Some(KEY), "one sheet");
        let answer = call(&listen, request).await.expect("an answer");
        let id = answer.header("x-request-id").to_owned();
        let name = format!("{} {}", case.method, case.target);
        assert_eq!(answer.status, case.status, "{name}: {answer:?}");
        assert_eq!(answer.outcome(), case.outcome, "{name}");
        let mut runs = first.runs().await;
        runs.extend(second.runs().await);
        let ran: u32 = runs
            .iter()
            .filter(|(run_id, _)| *run_id == id)
            .map(|(_, count)| *count)
            .sum();
        assert_eq!(ran, case.runs, "{name}");
    }
}

/// Guards against retry storms: a third of the runners fail, and retries may
/// add no more than 20 % to the offered calls.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retries_stay_within_their_budget() {
    const OFFERED: usize = 400;
    let mut fleet = Fleet::start(&[500.0]).await;
    let mut services = Vec::new();
    for _ in 0..3 {
        let service = ServiceStandIn::start("127.0.0.1:0").await;
        services.push(service.expect("service"));
    }
    let address = fleet.engines[0].address.clone();
    let customers =
        [TestCustomer { name: "parish", key: KEY, rate: 900, burst: 900 }];
    let engines = [("kgn", address.as_str())];
    let mut file = settings_file(&["kgn"], &engines, &customers, "");
    file += &service_settings(&services[0].address);
    for (index, service) in services.iter().enumerate().skip(1) {
        file += &format!(
            "[[runner]]\nname = \"more-{index}\"\ngroup = \"clerk-desk\"\n\
             zone = \"kgn\"\naddress = \"{}\"\n",
            service.address,
        );
    }
    fleet.apply(&file).await;
    let host = fleet.host("kgn-1", "kgn").await;
    let listen = fleet.hosts[host].listen.clone();
    let lookup_request =
        || request("GET", "/services/records/lookup", Some(KEY), "");
    wait_for("the services to report", async || {
        call(&listen, lookup_request())
            .await
            .is_ok_and(|answer| answer.status == 200)
    })
    .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    services[0].set_fault(ServiceFault::CloseAfterRun).await;
    let mut before = 0;
    for service in &services {
        before += service.runs().await.len();
    }
    let mut calls = tokio::task::JoinSet::new();
    let mut period = tokio::time::interval(Duration::from_millis(10));
    for _ in 0..OFFERED {
        period.tick().await;
        let (listen, request) = (listen.clone(), lookup_request());
        calls.spawn(async move { call(&listen, request).await });
    }
    let answers = calls.join_all().await;
    let answered = answers
        .iter()
        .filter(|answer| {
            answer.as_ref().is_ok_and(|answer| answer.status == 200)
        })
        .count();
    let mut runs = 0;
    for service in &services {
        let counts = service.runs().await;
        runs += counts.iter().map(|(_, count)| *count as usize).sum::<usize>();
    }
    let runs = runs - before;
    println!("offered {OFFERED}, runs {runs}, answered {answered}");
    assert!(runs * 10 <= OFFERED * 12, "{runs} runs of {OFFERED} requests");
    assert!(OFFERED * 9 <= answered * 10, "{answered} answered");
}
