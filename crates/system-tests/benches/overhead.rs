//! Measures the latency and the processor time that a host adds to a request
//! and to a streamed token, against direct calls to the stand-in engine in the
//! same run.
//!
//! `cargo build --release && cargo bench -p celerylead-system-tests --bench
//! overhead`

#[path = "../tests/system/client.rs"]
#[allow(dead_code)]
mod client;
#[path = "../tests/system/fleet.rs"]
#[allow(dead_code)]
mod fleet;
mod support;

use std::time::{Duration, Instant};

use celerylead_stand_ins::engine::{EngineOptions, EngineStandIn};
use hdrhistogram::Histogram;

use client::{Caller, chat};
use fleet::{Fleet, TestCustomer, settings_file};
use support::process_use;

const KEY: &str = "cl-overhead";
const PAIRS: usize = 5_000;
const STREAMS: usize = 64;
const STREAM_TOKENS: u64 = 500;

/// Sends a request for one token and returns its latency, in nanoseconds.
async fn request_nanos(caller: &mut Caller, key: &str) -> u64 {
    let start = Instant::now();
    let answer = caller.send(chat(key, "outline", 1, false)).await;
    assert_eq!(answer.expect("an answer").status, 200);
    u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX)
}

/// Prints the latencies of direct calls and of calls through the host, which
/// alternate so that both meet the same state of the machine.
async fn compare_latencies(direct: &str, host: &str) {
    let mut direct = Caller::connect(direct).await.expect("engine");
    let mut host = Caller::connect(host).await.expect("host");
    let mut times = [
        Histogram::<u64>::new_with_max(60_000_000_000, 3)
            .expect("a histogram"),
        Histogram::<u64>::new_with_max(60_000_000_000, 3)
            .expect("a histogram"),
    ];
    for _ in 0..200 {
        request_nanos(&mut direct, KEY).await;
        request_nanos(&mut host, KEY).await;
    }
    for _ in 0..PAIRS {
        times[0].saturating_record(request_nanos(&mut direct, KEY).await);
        times[1].saturating_record(request_nanos(&mut host, KEY).await);
    }
    for quantile in [0.5, 0.99] {
        let [direct, host] = [0, 1]
            .map(|index| times[index].value_at_quantile(quantile) as f64);
        println!(
            "latency p{}: direct {:.3} ms, via host {:.3} ms, added {:.3} ms",
            quantile * 100.0,
            direct / 1e6,
            host / 1e6,
            (host - direct) / 1e6,
        );
    }
}

/// Sends requests on eight connections and returns the host's processor time
/// per request, in microseconds.
async fn cpu_per_request(id: u32, host: &str, requests: usize) -> f64 {
    let before = process_use(id);
    let mut callers = tokio::task::JoinSet::new();
    for _ in 0..8 {
        let host = host.to_owned();
        callers.spawn(async move {
            let mut caller = Caller::connect(&host).await.expect("host");
            for _ in 0..requests / 8 {
                request_nanos(&mut caller, KEY).await;
            }
        });
    }
    callers.join_all().await;
    (process_use(id).cpu - before.cpu) * 1e6 / requests as f64
}

/// Runs streams in parallel and returns the host's processor time per token
/// event, in microseconds.
async fn cpu_per_token(id: u32, host: &str) -> f64 {
    let before = process_use(id);
    let start = Instant::now();
    let mut callers = tokio::task::JoinSet::new();
    for _ in 0..STREAMS {
        let host = host.to_owned();
        callers.spawn(async move {
            let request = chat(KEY, "ledger", STREAM_TOKENS, true);
            let answer =
                client::call(&host, request).await.expect("an answer");
            assert!(answer.is_done());
        });
    }
    callers.join_all().await;
    let events = STREAMS as f64 * STREAM_TOKENS as f64;
    let seconds = start.elapsed().as_secs_f64();
    println!("streams: {:.0} token events per second", events / seconds);
    (process_use(id).cpu - before.cpu) * 1e6 / events
}

#[tokio::main(flavor = "multi_thread", worker_threads = 3)]
async fn main() {
    let mut fleet = Fleet::start(&[]).await;
    let start = async |tokens_per_second, model: &str| {
        let options = EngineOptions {
            tokens_per_second,
            models: vec![(model.to_owned(), 100)],
            ..EngineOptions::default()
        };
        EngineStandIn::start("127.0.0.1:0", &options).await.expect("engine")
    };
    let fast = start(1e9, "outline").await;
    let steady = start(500.0, "ledger").await;
    let customers = [TestCustomer {
        name: "parish",
        key: KEY,
        rate: 100_000_000,
        burst: 100_000_000,
    }];
    let engines =
        [("kgn", fast.address.as_str()), ("kgn", steady.address.as_str())];
    let defaults = "slots = 512\nmax_output_tokens = 1000";
    let file = settings_file(&["kgn"], &engines, &customers, defaults);
    fleet.apply(&file).await;
    let index = fleet.host("kgn-1", "kgn").await;
    fleet.wait_shares().await;
    let host = fleet.hosts[index].listen.clone();
    let id = fleet.hosts[index].id();
    compare_latencies(&fast.address, &host).await;
    let cpu = cpu_per_request(id, &host, 20_000).await;
    println!("processor time of the host per request: {cpu:.1} us");
    let cpu = cpu_per_token(id, &host).await;
    println!("processor time of the host per token event: {cpu:.2} us");
    let rounds = if std::env::args().any(|a| a == "quick") { 0 } else { 5 };
    let first = process_use(id).memory_kb;
    for round in 1..=rounds {
        cpu_per_request(id, &host, 20_000).await;
        let memory = process_use(id).memory_kb;
        println!(
            "memory after {} more requests: {memory} KB ({:+} KB)",
            round * 20_000,
            memory as i64 - first as i64,
        );
    }
    let before = process_use(id);
    tokio::time::sleep(Duration::from_secs(10)).await;
    let idle = (process_use(id).cpu - before.cpu) / 10.0;
    println!("an idle host takes {:.2} % of a core", idle * 100.0);
}
