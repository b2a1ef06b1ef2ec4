//! Orders after a failover whose claim is lost with the store's latest
//! seconds.

use std::collections::BTreeMap;
use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{Json, decode_base64};
use crate::node::{Node, Place, Signal, await_ready};
use crate::runner::{Order, Runner, RunnerOptions, Seen, Work};
use crate::store::{HostWrite, Store};
use crate::{Run, Verdict};

/// Freeze of the holder; the site file has 7.9 s.
const FREEZE: Duration = Duration::from_millis(7_500);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);
/// Age of the copy from which the store comes back.
const COPY_AGE: Duration = Duration::from_millis(3_000);
/// Time for which orders are watched after the disruption.
const WATCHED: Duration = Duration::from_secs(14);
/// `lease_ms` and `thaw_ms` of the settings.
const LEASE: Duration = Duration::from_millis(3_000);
const THAW: Duration = Duration::from_millis(300);

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-live","hostname":"a.example","prefix":"/live/","type":"stream","timeout_ms":4000,"target_latency_ms":250,"priority":0,"upstream":"engines","max_attempts":1,"public":true,"sticky":true,"resumable":false,"gap_target_ms":150}],"services":[{"name":"engines","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity":144781,"kv_token_bytes":327680,"link_mbps":550000.0,"stride":5,"max_count":12,"models":[{"name":"m0","weights_mb":65100.0,"load_time_s":1.2,"adapters":26,"adapter_mb":12.0,"warm_s":0.38,"disk_load_s":0.49}],"weights_mb":200000.0,"max_adapters":8,"loads_per_s":1.6}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}"#;

/// Holder and fencing token of a write of the lease's row.
fn lease(write: &HostWrite) -> (String, u64) {
    let value = decode_base64(&write.value);
    let text = String::from_utf8_lossy(&value).into_owned();
    let row = Json::parse(&text).unwrap_or(Json::Null);
    (row.get("holder").text().to_owned(), row.get("fencing").number())
}

pub fn run(run: &Run) -> Verdict {
    let record = &run.record;
    let store = Store::start();
    store.put("op", "config", CONFIGURATION);
    let seen = Seen::default();
    let runners: Vec<Runner> = ["i-1", "i-2"]
        .into_iter()
        .map(|id| {
            let events = Some((4, Duration::from_millis(30)));
            let head = Duration::from_millis(30);
            let options = RunnerOptions {
                id,
                service: "engines",
                zone: "kgn",
                slots: 64,
                model: Some("m0"),
                work: Work { head, events },
            };
            Runner::start(options, &store, &seen)
        })
        .collect();
    let zones = ["kgn", "spt", "mpn"];
    let places: Vec<Place> = zones
        .iter()
        .map(|zone| Place::free(&format!("front-{zone}-1"), zone))
        .collect();
    let seeds: Vec<String> =
        places.iter().map(|place| place.control.clone()).collect();
    let nodes: Vec<Node> = places
        .iter()
        .map(|p| Node::start(p, &store.address, &seeds, &run.temporary))
        .collect();
    if !await_ready(&nodes, Duration::from_secs(15)) {
        record.line("the hosts aren't ready");
        return Verdict::NotRun;
    }
    record.line("three hosts are ready");

    // Callers ask for adapters in turn, more than the runners have places
    // for, so that orders go out all the time.
    let stop = Arc::new(AtomicBool::new(false));
    let counts: Arc<[AtomicUsize; 2]> = Arc::default();
    let mut callers = Vec::new();
    for caller in 0..6 {
        let fronts: Vec<String> =
            places.iter().map(|place| place.front.clone()).collect();
        let (stop, counts) = (stop.clone(), counts.clone());
        callers.push(std::thread::spawn(move || {
            let mut number = caller;
            while !stop.load(Ordering::Relaxed) {
                number += 7;
                let request = format!(
                    "POST /live/x HTTP/1.1\r\nHost: a.example\r\n\
                     X-Request-Id: c{caller}-{number}\r\n\
                     X-Model: m0/a{}\r\nX-Token-Count: 100,20\r\n\
                     X-Deadline-Ms: 2000\r\nContent-Length: 2\r\n\r\nhi",
                    1 + number % 26,
                );
                let front = &fronts[number % fronts.len()];
                let limit = Duration::from_millis(2_000);
                let answer = http::call(front, request.as_bytes(), limit);
                let index = usize::from(answer.status() != 200);
                counts[index].fetch_add(1, Ordering::Relaxed);
                std::thread::sleep(Duration::from_millis(120));
            }
        }));
    }
    let verdict = disturb(run, &store, &runners, &nodes, &seen);
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    let [good, other] = [0, 1].map(|i| counts[i].load(Ordering::Relaxed));
    record.line(&format!("callers: {good} answers 200, {other} others"));
    for node in &nodes {
        for event in ["orders_held", "orders_lost"] {
            for line in node.log_lines(event) {
                record.line(&format!("log of {}: {line}", node.place.name));
            }
        }
    }
    verdict
}

/// Makes the disruption, and judges all orders.
fn disturb(
    run: &Run,
    store: &Store,
    runners: &[Runner],
    nodes: &[Node],
    seen: &Seen,
) -> Verdict {
    let record = &run.record;
    // Models are placed, and the first adapters are loaded.
    std::thread::sleep(Duration::from_secs(9));
    let orders = || seen.orders.lock().unwrap().clone();
    let Some(last) = orders().last().cloned() else {
        record.line("no order was given");
        return Verdict::NotRun;
    };
    let holder = last.holder;
    let Some(node) = nodes.iter().find(|node| node.place.name == holder)
    else {
        return Verdict::NotRun;
    };
    record.line(&format!(
        "{} orders so far, the last from {holder} with token {}",
        orders().len(),
        last.fencing
    ));
    let mut thawed_at = None;
    if run.trouble != "0" {
        // Frozen just after a renewal.
        let renewals = || {
            let writes = store.writes("celerylead-leases");
            writes.iter().filter(|write| write.version.is_some()).count()
        };
        let before = renewals();
        while renewals() == before {
            std::thread::sleep(Duration::from_millis(2));
        }
        std::thread::sleep(Duration::from_millis(30));
        node.signal(Signal::Stop);
        let frozen_at = Instant::now();
        record.line(&format!("{holder} is frozen"));
        // Until another host has given an order.
        let successor = loop {
            let found = orders().into_iter().find(|o| o.holder != holder);
            if let Some(order) = found {
                break order;
            }
            if FREEZE < frozen_at.elapsed() {
                node.signal(Signal::Continue);
                record.line("nobody took over during the freeze");
                return Verdict::NotRun;
            }
            std::thread::sleep(Duration::from_millis(5));
        };
        record.line_at(
            successor.at,
            &format!(
                "{} gives an order with token {}",
                successor.holder, successor.fencing
            ),
        );
        if run.trouble != "freeze" {
            std::thread::sleep(Duration::from_millis(200));
            store.go_away();
            record.line("the store is away");
            std::thread::sleep(AWAY);
            let age = store.come_back_as_of(Instant::now() - COPY_AGE);
            record.line(&format!(
                "the store is back from a copy that is {age:.2} s old"
            ));
            // What the operator and the runners wrote is written again.
            store.put("op", "config", CONFIGURATION);
            runners.iter().for_each(Runner::beat);
        }
        std::thread::sleep(
            (frozen_at + FREEZE).saturating_duration_since(Instant::now()),
        );
        node.signal(Signal::Continue);
        thawed_at = Some(Instant::now());
        record.line(&format!("{holder} thaws"));
    }
    std::thread::sleep(WATCHED);
    for write in store.writes("celerylead-leases") {
        let (holder, fencing) = lease(&write);
        let result = match write.version {
            Some(version) => format!("written as version {version}"),
            None => "412".to_owned(),
        };
        let text = format!("lease: {holder} token {fencing}: {result}");
        record.line_at(write.at, &text);
    }
    for order in orders() {
        record.line_at(
            order.at,
            &format!(
                "order {} {}: {}",
                order.runner, order.status, order.text
            ),
        );
    }
    judge(run, &orders(), (holder.as_str(), thawed_at))
}

/// Applies the rule ONE to the orders of each runner.
fn judge(
    run: &Run,
    orders: &[Order],
    (frozen, thawed_at): (&str, Option<Instant>),
) -> Verdict {
    let mut by_runner: BTreeMap<&str, Vec<&Order>> = BTreeMap::new();
    for order in orders {
        // Orders that arrive within `thaw_ms` of their sender's thaw don't
        // count.
        let excused = order.holder == frozen
            && thawed_at
                .is_some_and(|at| at <= order.at && order.at < at + THAW);
        if !excused {
            by_runner.entry(&order.runner).or_default().push(order);
        }
    }
    let mut broken = 0;
    let mut note = |order: &Order, text: String| {
        broken += 1;
        if broken <= 12 {
            run.record.line_at(order.at, &format!("BROKEN: {text}"));
        }
    };
    for (runner, orders) in by_runner {
        let mut owner: BTreeMap<u64, &str> = BTreeMap::new();
        let mut highest = 0;
        let mut last: Option<&Order> = None;
        for order in orders {
            let Order { holder, fencing, .. } = order;
            let first = owner.entry(*fencing).or_insert(holder);
            if first != holder {
                note(
                    order,
                    format!(
                        "{runner} gets token {fencing} from {holder} after {first}"
                    ),
                );
            }
            if *fencing < highest {
                note(
                    order,
                    format!(
                        "{runner} gets token {fencing} from {holder} after {highest}"
                    ),
                );
            }
            highest = highest.max(*fencing);
            if let Some(last) = last
                && last.holder != *holder
                && order.at - last.at < LEASE
            {
                note(
                    order,
                    format!(
                        "{runner} gets orders of {} and {holder} within {:.2} s",
                        last.holder,
                        (order.at - last.at).as_secs_f64()
                    ),
                );
            }
            last = Some(order);
        }
    }
    if broken == 0 { Verdict::Held } else { Verdict::Broken }
}
