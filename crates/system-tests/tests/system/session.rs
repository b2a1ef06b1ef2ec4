//! A session through all components, each of them a process of its own.

use std::process::Command;

use expect_test::expect_file;

use crate::{
    client::{call, chat, request},
    fleet::{Fleet, TestCustomer, settings_file, stand_in, wait_for},
};

const KEY: &str = "cl-session-key";

/// One request of the golden session.
struct SessionStep {
    title: &'static str,
    request: hyper::Request<http_body_util::Full<bytes::Bytes>>,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn golden_session() {
    let mut fleet = Fleet::start(&[]).await;
    let (_engine, address) = stand_in(&[
        "engine",
        "--tokens-per-second=500",
        "--model=outline",
        "--model=ledger",
    ]);
    let customers =
        [TestCustomer { name: "parish", key: KEY, rate: 100, burst: 400 }];
    let engines = [("kgn", address.as_str())];
    fleet.apply(&settings_file(&["kgn"], &engines, &customers, "")).await;
    let host = fleet.host("kgn-1", "kgn").await;
    fleet.wait_shares().await;
    let listen = fleet.hosts[host].listen.clone();
    wait_for("the engine to report", async || {
        let answer = call(&listen, chat(KEY, "outline", 1, false)).await;
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .await;
    let mut golden = String::new();
    for step in steps() {
        golden += &format!("## {}\n", step.title);
        let answer = call(&listen, step.request).await.expect("an answer");
        golden += &format!("status {}\n", answer.status);
        for name in ["content-type", "retry-after", "x-celerylead-outcome"] {
            let value = answer.header(name);
            if !value.is_empty() {
                golden += &format!("{name}: {value}\n");
            }
        }
        let id = answer.header("x-request-id").to_owned();
        assert!(id.starts_with("kgn-1-"), "every answer has a request id");
        golden += &answer.body.replace(&id, "REQUEST-ID");
        golden += "\n";
    }
    expect_file!["./golden_session.txt"].assert_eq(&golden);
    let admin = fleet.hosts[host].admin.clone();
    let arguments = ["explain", "--host", &admin, "parish", "outline"];
    let output = fleet.operator(&arguments);
    let explanation = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(
        explanation.contains("customer_may_use_model: true"),
        "{explanation}"
    );
    assert!(
        explanation.contains("\"runner\":\"expander-0\""),
        "{explanation}"
    );
    assert!(!fleet.logs().contains(KEY), "no key in the logs");
    fleet.hosts[host].signal(rustix::process::Signal::TERM);
    assert!(fleet.hosts[host].wait_end().await, "the host ends cleanly");
    let recorded = fleet.objects.objects().await;
    let recorded = serde_json::to_string(&recorded).expect("plain data");
    assert!(recorded.contains("\"customer\":\"parish\""));
}

fn steps() -> Vec<SessionStep> {
    let body =
        |text: &str| request("POST", "/v1/chat/completions", Some(KEY), text);
    vec![
        SessionStep {
            title: "an answer in one body",
            request: chat(KEY, "outline", 3, false),
        },
        SessionStep {
            title: "a stream",
            request: chat(KEY, "outline", 3, true),
        },
        SessionStep {
            title: "the models",
            request: request("GET", "/v1/models", Some(KEY), ""),
        },
        SessionStep {
            title: "no key",
            request: request("GET", "/v1/models", None, ""),
        },
        SessionStep {
            title: "an unknown key",
            request: chat("cl-other", "outline", 3, false),
        },
        SessionStep {
            title: "an unknown model",
            request: chat(KEY, "missing", 3, false),
        },
        SessionStep {
            title: "the key in the body",
            request: body(&format!(
                r#"{{"model":"outline","messages":["{KEY}"]}}"#
            )),
        },
        SessionStep {
            title: "the key in the query",
            request: request(
                "GET",
                "/v1/models?key=cl%2Dsession%2Dkey",
                Some(KEY),
                "",
            ),
        },
        SessionStep { title: "no JSON", request: body("outline") },
        SessionStep {
            title: "too many output tokens",
            request: chat(KEY, "outline", 513, false),
        },
        SessionStep {
            title: "more than the burst",
            request: body(&format!(
                r#"{{"model":"outline","prompt":"{}"}}"#,
                "x".repeat(400),
            )),
        },
        SessionStep {
            title: "an unknown service",
            request: request("GET", "/services/records/1", Some(KEY), ""),
        },
        SessionStep {
            title: "an unknown path",
            request: request("GET", "/elsewhere", Some(KEY), ""),
        },
    ]
}

#[test]
fn the_operators_program_runs() {
    let test = std::env::current_exe().expect("the test's own path");
    let folder = test.parent().and_then(|deps| deps.parent());
    let program = folder.expect("a target folder").join("celerylead");
    let output = Command::new(program).arg("--version").output();
    assert!(output.expect("it runs").status.success());
}
