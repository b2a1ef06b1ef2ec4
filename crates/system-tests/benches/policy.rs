//! Compares the load balancing and the queueing of a host with common
//! baselines, on a deployment of today's size, in real time and from seeds.
//!
//! Load balancing: nine runners in three zones, the fastest four times as fast
//! as the slowest; a host against round robin, least outstanding requests and
//! power of two choices, each with the same arrivals. Fairness: one busy
//! runner and five customers, one of which floods it; a host that queues by
//! customer against the same host with all requests under one key, which is
//! first come, first served.
//!
//! `cargo build --release && cargo bench -p celerylead-system-tests --bench
//! policy`

#[path = "../tests/system/client.rs"]
#[allow(dead_code)]
mod client;
#[path = "../tests/system/fleet.rs"]
#[allow(dead_code)]
mod fleet;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use celerylead_stand_ins::engine::{EngineOptions, EngineStandIn};
use http_body_util::{BodyExt as _, Full};
use hyper::{Request, client::conn::http1};
use hyper_util::rt::TokioIo;
use plotters::prelude::{
    BLUE, ChartBuilder, IntoDrawingArea as _, Rectangle, SVGBackend, Text,
    WHITE,
};
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};
use tokio::{net::TcpStream, task::JoinSet};

use client::chat;
use fleet::{Fleet, TestCustomer, settings_file};

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];
/// Deadline of the users for the first token.
const FIRST_TOKEN_LIMIT: Duration = Duration::from_millis(310);
/// Deadline of the users for the mean time between two tokens.
const TOKEN_INTERVAL_LIMIT: Duration = Duration::from_millis(52);
const RUN_DURATION: Duration = Duration::from_secs(10);
const ZONES: [&str; 3] = ["kgn", "spt", "mpn"];
const SPEEDS: [f64; 9] =
    [120.0, 120.0, 90.0, 90.0, 60.0, 60.0, 40.0, 40.0, 30.0];
const KEYS: [&str; 5] = ["cl-p0", "cl-p1", "cl-p2", "cl-p3", "cl-p4"];
const NAMES: [&str; 5] = ["c0", "c1", "c2", "c3", "c4"];

/// How the runner for a request is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RoutePolicy {
    /// The host under test chooses.
    Host,
    RoundRobin,
    LeastOutstanding,
    /// The less loaded one of two random runners.
    PowerOfTwo,
}

/// One request of a run.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Duration,
    tokens: u64,
    customer: usize,
    /// Runners drawn at random for [`RoutePolicy::PowerOfTwo`].
    random_indexes: (usize, usize),
}

/// Returns the arrivals of a run. The rate is 1.6 times the mean for one
/// second in three, and 0.7 times the mean for the other two. `shares` holds
/// the share of each customer in the arrivals.
fn arrivals(seed: u64, shares: &[f64], rate: f64) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    while at < RUN_DURATION.as_secs_f64() {
        let burst = if (at as u64).is_multiple_of(3) { 1.6 } else { 0.7 };
        let wait: f64 = -(1.0 - random.random::<f64>()).ln() / (rate * burst);
        at += wait;
        let mut pick = random.random::<f64>() * shares.iter().sum::<f64>();
        let customer = shares.iter().position(|share| {
            pick -= share;
            pick < 0.0
        });
        arrivals.push(Arrival {
            at: Duration::from_secs_f64(at),
            tokens: random.random_range(5..35),
            customer: customer.unwrap_or(0),
            random_indexes: (
                random.random_range(0..9),
                random.random_range(0..9),
            ),
        });
    }
    arrivals
}

/// The result of a request.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    customer: usize,
    /// Whether the request met both deadlines.
    attained: bool,
}

/// Sends a streamed request and returns whether it met both deadlines.
async fn meets_deadlines(
    address: &str,
    request: Request<Full<Bytes>>,
) -> anyhow::Result<bool> {
    let start = Instant::now();
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let response = sender.send_request(request).await?;
    if !response.status().is_success() {
        return Ok(false);
    }
    let mut body = response.into_body();
    let mut first = None;
    let mut events = 0_u32;
    while let Some(frame) = body.frame().await {
        let frame = frame?;
        let Some(bytes) = frame.data_ref() else { continue };
        first.get_or_insert_with(|| start.elapsed());
        let text = String::from_utf8_lossy(bytes);
        events += text.matches("\"delta\"").count() as u32;
    }
    let Some(first) = first else { return Ok(false) };
    let intervals = events.saturating_sub(1).max(1);
    let interval = (start.elapsed() - first) / intervals;
    Ok(first <= FIRST_TOKEN_LIMIT && interval <= TOKEN_INTERVAL_LIMIT)
}

/// Sends the arrivals with one policy and returns their outcomes.
async fn run(
    policy: RoutePolicy,
    host: &str,
    engines: &[EngineStandIn],
    arrivals: &[Arrival],
    keys: &[&'static str],
) -> Vec<Outcome> {
    let outstanding: Arc<Vec<AtomicU32>> =
        Arc::new(engines.iter().map(|_| AtomicU32::new(0)).collect());
    let load = |index: usize| outstanding[index].load(Ordering::Relaxed);
    let start = tokio::time::Instant::now();
    let mut calls = JoinSet::new();
    for (number, arrival) in arrivals.iter().enumerate() {
        tokio::time::sleep_until(start + arrival.at).await;
        let index = match policy {
            RoutePolicy::Host => None,
            RoutePolicy::RoundRobin => Some(number % engines.len()),
            RoutePolicy::LeastOutstanding => {
                (0..engines.len()).min_by_key(|index| load(*index))
            }
            RoutePolicy::PowerOfTwo => {
                let (one, other) = arrival.random_indexes;
                Some(if load(one) <= load(other) { one } else { other })
            }
        };
        let address = match index {
            Some(index) => engines[index].address.clone(),
            None => host.to_owned(),
        };
        let key = keys[arrival.customer % keys.len()];
        let request = chat(key, "outline", arrival.tokens, true);
        let outstanding = outstanding.clone();
        let customer = arrival.customer;
        if let Some(index) = index {
            outstanding[index].fetch_add(1, Ordering::Relaxed);
        }
        calls.spawn(async move {
            let attained =
                meets_deadlines(&address, request).await.unwrap_or(false);
            if let Some(index) = index {
                outstanding[index].fetch_sub(1, Ordering::Relaxed);
            }
            Outcome { customer, attained }
        });
    }
    calls.join_all().await
}

/// Returns the percentage of requests that met both deadlines, of one customer
/// or of all.
fn attained_percent(outcomes: &[Outcome], customer: Option<usize>) -> f64 {
    let selected: Vec<_> = outcomes
        .iter()
        .filter(|outcome| customer.is_none_or(|only| outcome.customer == only))
        .collect();
    let attained = selected.iter().filter(|outcome| outcome.attained).count();
    100.0 * attained as f64 / selected.len().max(1) as f64
}

/// Returns the percentage of the worst-served customer, not counting the one
/// that floods the runner.
fn worst_attained_percent(outcomes: &[Outcome]) -> f64 {
    let percentages =
        (1..KEYS.len()).map(|index| attained_percent(outcomes, Some(index)));
    percentages.fold(f64::INFINITY, f64::min)
}

/// The results of one policy.
struct PolicyRow {
    name: String,
    /// Percentage of requests that met both deadlines, for each seed.
    percentages: Vec<f64>,
}

impl PolicyRow {
    fn mean(&self) -> f64 {
        self.percentages.iter().sum::<f64>() / self.percentages.len() as f64
    }

    fn print(&self) {
        let low =
            self.percentages.iter().copied().fold(f64::INFINITY, f64::min);
        let high = self.percentages.iter().copied().fold(0.0, f64::max);
        println!(
            "{:45} mean {:5.1} %, seeds {low:5.1} to {high:5.1} %",
            self.name,
            self.mean(),
        );
    }
}

/// Starts a host in front of the engines, which are spread over the zones, and
/// returns its fleet and its address.
async fn start(engines: &[EngineStandIn], defaults: &str) -> (Fleet, String) {
    let mut fleet = Fleet::start(&[]).await;
    let customers: Vec<TestCustomer> = NAMES
        .into_iter()
        .zip(KEYS)
        .map(|(name, key)| TestCustomer {
            name,
            key,
            rate: 1_000_000,
            burst: 1_000_000,
        })
        .collect();
    let engine_addresses: Vec<(&str, &str)> = engines
        .iter()
        .enumerate()
        .map(|(index, engine)| {
            (ZONES[index % ZONES.len()], engine.address.as_str())
        })
        .collect();
    let file = settings_file(&ZONES, &engine_addresses, &customers, defaults);
    fleet.apply(&file).await;
    let index = fleet.host("kgn-1", "kgn").await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let host = fleet.hosts[index].listen.clone();
    (fleet, host)
}

async fn engine(tokens_per_second: f64) -> EngineStandIn {
    let options = EngineOptions {
        tokens_per_second,
        models: vec![("outline".to_owned(), 100), ("ledger".to_owned(), 100)],
        ..EngineOptions::default()
    };
    EngineStandIn::start("127.0.0.1:0", &options).await.expect("engine")
}

/// Compares the load balancing of a host with the baselines and prints a row
/// for each policy.
async fn routing() -> Vec<PolicyRow> {
    let mut engines = Vec::new();
    for speed in SPEEDS {
        engines.push(engine(speed).await);
    }
    let (_fleet, host) = start(&engines, "slots = 64").await;
    let policies = [
        RoutePolicy::Host,
        RoutePolicy::RoundRobin,
        RoutePolicy::LeastOutstanding,
        RoutePolicy::PowerOfTwo,
    ];
    let mut rows = Vec::new();
    for rate in [120.0] {
        let mut rate_rows: Vec<PolicyRow> = policies
            .iter()
            .map(|policy| PolicyRow {
                name: format!("{policy:?}, {rate} requests/s"),
                percentages: Vec::new(),
            })
            .collect();
        for seed in SEEDS {
            let arrivals = arrivals(seed, &[1.0; 5], rate);
            for (row, policy) in rate_rows.iter_mut().zip(policies) {
                let outcomes =
                    run(policy, &host, &engines, &arrivals, &KEYS).await;
                row.percentages.push(attained_percent(&outcomes, None));
            }
        }
        rate_rows.iter().for_each(PolicyRow::print);
        rows.extend(rate_rows);
    }
    rows
}

/// Compares queueing by customer with a common queue while one customer floods
/// the runner, and prints a row for each.
async fn fairness() -> Vec<PolicyRow> {
    let engines = vec![engine(60.0).await];
    let defaults = "slots = 8\nqueue_ms = 3000";
    let (_fleet, host) = start(&engines, defaults).await;
    let shares = [16.0, 1.0, 1.0, 1.0, 1.0];
    let mut rows: Vec<PolicyRow> = ["queue by customer", "first come"]
        .into_iter()
        .map(|name| PolicyRow {
            name: format!("worst-served customer, {name}"),
            percentages: Vec::new(),
        })
        .collect();
    for seed in SEEDS {
        let arrivals = arrivals(seed, &shares, 40.0);
        for (row, keys) in rows.iter_mut().zip([&KEYS[..], &KEYS[..1]]) {
            let policy = RoutePolicy::Host;
            let outcomes = run(policy, &host, &engines, &arrivals, keys).await;
            row.percentages.push(worst_attained_percent(&outcomes));
        }
    }
    rows.iter().for_each(PolicyRow::print);
    rows
}

/// Writes a bar chart of the mean percentages to an SVG file.
fn plot(rows: &[PolicyRow], path: &str) -> anyhow::Result<()> {
    let area = SVGBackend::new(path, (720, 320)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .caption("requests within both deadlines, percent", ("sans-serif", 16))
        .build_cartesian_2d(0.0..rows.len() as f64, 0.0..100.0)?;
    chart.configure_mesh().disable_x_mesh().x_labels(0).draw()?;
    chart.draw_series(rows.iter().enumerate().map(|(index, row)| {
        let left = index as f64 + 0.15;
        let corners = [(left, 0.0), (left + 0.7, row.mean())];
        Rectangle::new(corners, BLUE)
    }))?;
    chart.draw_series(rows.iter().enumerate().map(|(index, row)| {
        let above = (index as f64 + 0.15, 8.0 + (index % 2) as f64 * 8.0);
        let name = row.name.split(", ").last().unwrap_or("");
        let name = match row.name.split(',').next() {
            Some(first) if !first.contains(' ') => first,
            _ => name,
        };
        Text::new(name.to_owned(), above, ("sans-serif", 13))
    }))?;
    area.present()?;
    Ok(())
}

#[tokio::main(flavor = "multi_thread", worker_threads = 3)]
async fn main() -> anyhow::Result<()> {
    let mut rows = routing().await;
    rows.extend(fairness().await);
    let path = std::env::args().find(|argument| argument.ends_with(".svg"));
    if let Some(path) = path {
        plot(&rows, &path)?;
    }
    Ok(())
}
