//! Shutdown of hosts and draining of runners: no request is cut off, and a
//! draining runner gets no new work.

use std::time::{Duration, Instant};

use celerylead::settings::SettingsChange;
use rustix::process::Signal;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

use crate::{
    client::{call, chat},
    fleet::{Fleet, TestCustomer, settings_file, wait_for},
    load::{LoadPlan, run_load},
};

const KEY: &str = "cl-shutdown-key";
/// A draining runner gets no new work after this time.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Starts two hosts of one zone in front of an engine for each speed.
async fn two_hosts(speeds: &[f64]) -> Fleet {
    let mut fleet = Fleet::start(speeds).await;
    let customers = [TestCustomer {
        name: "parish",
        key: KEY,
        rate: 90_000,
        burst: 90_000,
    }];
    let addresses: Vec<String> =
        fleet.engines.iter().map(|engine| engine.address.clone()).collect();
    let engines: Vec<(&str, &str)> =
        addresses.iter().map(|address| ("kgn", address.as_str())).collect();
    fleet
        .apply(&settings_file(
            &["kgn"],
            &engines,
            &customers,
            "slots = 64\nmax_output_tokens = 1000",
        ))
        .await;
    fleet.host("kgn-1", "kgn").await;
    fleet.host("kgn-2", "kgn").await;
    fleet.wait_shares().await;
    fleet
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_shutdown_cuts_off_no_stream() {
    let mut fleet = two_hosts(&[20.0]).await;
    let listen = fleet.hosts[0].listen.clone();
    let streams: Vec<_> = (0..4)
        .map(|_| {
            let listen = listen.clone();
            let request = chat(KEY, "outline", 160, true);
            tokio::spawn(async move { call(&listen, request).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let start = Instant::now();
    fleet.hosts[0].signal(Signal::TERM);
    // A load balancer that hasn't noticed the shutdown yet still sends
    // requests.
    let answer = call(&listen, chat(KEY, "outline", 1, false)).await;
    assert_eq!(answer.expect("an answer").status, 200);
    for stream in streams {
        let answer = stream.await.expect("a stream").expect("an answer");
        assert!(answer.is_done(), "a stream was cut off");
        let words = answer.body.matches("word").count();
        assert_eq!(words, 160);
    }
    let streamed = start.elapsed();
    println!("streams ended {streamed:?} after the signal");
    assert!(
        Duration::from_secs(5) < streamed,
        "the streams have to outlast the signal by 5 s"
    );
    assert!(fleet.hosts[0].wait_end().await, "the host ends cleanly");
    let recorded = fleet.objects.objects().await;
    let records: usize = recorded
        .iter()
        .map(|(_, batch)| batch["records"].as_array().map_or(0, Vec::len))
        .sum();
    assert_eq!(records, 5, "each complete answer is recorded once");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rolling_replacement_loses_no_request() {
    let mut fleet = two_hosts(&[200.0]).await;
    let mut answered = 0;
    for index in 0..2 {
        // A load balancer sends to the leaving host until the readiness probes
        // fail, and no longer than the host's drain grace period.
        let leaving = fleet.hosts[index].listen.clone();
        let staying = fleet.hosts[1 + index].listen.clone();
        let plan = |hosts: Vec<String>, millis| LoadPlan {
            key: KEY,
            hosts,
            requests_per_second: 40.0,
            duration: Duration::from_millis(millis),
            max_tokens: 40,
        };
        let to_leaving = plan(vec![leaving], 1_200);
        let to_staying = plan(vec![staying], 4_000);
        let loads = [to_leaving, to_staying]
            .map(|plan| tokio::spawn(async move { run_load(&plan).await }));
        tokio::time::sleep(Duration::from_millis(900)).await;
        fleet.hosts[index].signal(Signal::TERM);
        let name = format!("kgn-{}", 3 + index);
        fleet.host(&name, "kgn").await;
        for load in loads {
            for record in load.await.expect("the load runs to its end") {
                assert!(record.is_ok(), "{record:?}");
                answered += 1;
            }
        }
        assert!(fleet.hosts[index].wait_end().await, "the host ends cleanly");
    }
    println!("{answered} requests answered during two replacements");
}

/// Guards against refusals of customers inside their rate between the release
/// of a part by a host that leaves and the next poll of the host that takes it
/// over: with this many customers, each host holds both parts of some.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_shutdown_hands_the_parts_of_rates_over() {
    const CUSTOMERS: usize = 12;
    let customers: Vec<TestCustomer> = (0..CUSTOMERS)
        .map(|index| TestCustomer {
            name: format!("parish-{index:02}").leak(),
            key: format!("cl-parish-{index:02}").leak(),
            rate: 90_000,
            burst: 90_000,
        })
        .collect();
    let mut fleet = Fleet::start(&[200.0]).await;
    let address = fleet.engines[0].address.clone();
    fleet
        .apply(&settings_file(
            &["kgn"],
            &[("kgn", &address)],
            &customers,
            "slots = 64\nmax_output_tokens = 1000",
        ))
        .await;
    fleet.host("kgn-1", "kgn").await;
    fleet.host("kgn-2", "kgn").await;
    fleet.wait_shares().await;
    let listens: Vec<String> =
        fleet.hosts.iter().map(|host| host.listen.clone()).collect();
    fleet.hosts[0].signal(Signal::TERM);
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(2_200) {
        for TestCustomer { key, .. } in &customers {
            // The load balancer sends calls to the leaving host for a while.
            let hosts = if start.elapsed() < Duration::from_millis(300) {
                &listens[..]
            } else {
                &listens[1..]
            };
            for listen in hosts {
                let answer =
                    call(listen, chat(key, "outline", 1, false)).await;
                let answer = answer.expect("an answer");
                let at = start.elapsed();
                assert_eq!(answer.status, 200, "{key} at {listen}, {at:?}");
            }
        }
    }
    assert!(fleet.hosts[0].wait_end().await, "the host ends cleanly");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_draining_runner_gets_no_new_work() {
    let fleet = two_hosts(&[100.0, 100.0]).await;
    let plan = LoadPlan {
        key: KEY,
        hosts: fleet.hosts.iter().map(|host| host.listen.clone()).collect(),
        requests_per_second: 40.0,
        duration: Duration::from_secs(8),
        max_tokens: 20,
    };
    let load = tokio::spawn(async move { run_load(&plan).await });
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(
        !fleet.engines[0].runs().await.is_empty(),
        "the runner gets work before the drain"
    );
    let change = SettingsChange::Drain { name: "expander-0".to_owned() };
    fleet.change(&change).await;
    tokio::time::sleep(DRAIN_LIMIT).await;
    let before = fleet.engines[0].runs().await.len();
    for record in load.await.expect("the load runs to its end") {
        assert!(record.is_ok(), "{record:?}");
    }
    let after = fleet.engines[0].runs().await.len();
    assert_eq!(before, after, "a draining runner got new work");
    let change = SettingsChange::Resume { name: "expander-0".to_owned() };
    fleet.change(&change).await;
    let listen = fleet.hosts[0].listen.clone();
    wait_for("the runner to get work again", async || {
        let _ = call(&listen, chat(KEY, "outline", 1, false)).await;
        after < fleet.engines[0].runs().await.len()
    })
    .await;
}

/// Guards against requests that are taken while a host only finishes what is in
/// flight, and that its end would cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_after_the_drain_grace_is_refused() {
    let mut fleet = two_hosts(&[20.0]).await;
    let listen = fleet.hosts[0].listen.clone();
    let mut open = TcpStream::connect(&listen).await.expect("a connection");
    let body = r#"{"model":"outline","messages":[],"max_tokens":1}"#;
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: {listen}\r\n\
         Authorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len(),
    );
    // A connection on which nothing was sent would be closed.
    open.write_all(&head.as_bytes()[..40]).await.expect("it is open");
    let stream = {
        let listen = listen.clone();
        let request = chat(KEY, "outline", 120, true);
        tokio::spawn(async move { call(&listen, request).await })
    };
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.hosts[0].signal(Signal::TERM);
    // The stream keeps the host running for longer than its drain grace.
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    open.write_all(&head.as_bytes()[40..]).await.expect("it is open");
    let mut read = Vec::new();
    let _ = open.read_to_end(&mut read).await;
    let text = String::from_utf8_lossy(&read);
    assert!(text.starts_with("HTTP/1.1 503"), "{text}");
    assert!(text.contains("not-run"), "{text}");
    let answer = stream.await.expect("a stream").expect("an answer");
    assert!(answer.is_done(), "a stream was cut off");
    assert!(fleet.hosts[0].wait_end().await, "the host ends cleanly");
}
