//! Ordinary callers beside clients whose bodies stop just short of their end.

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};
use std::time::{Duration, Instant};

use crate::http::{self, Conn};
use crate::node::{Node, Place, await_ready};
use crate::runner::{Runner, RunnerOptions, Seen, Work};
use crate::store::Store;
use crate::{Run, Verdict};

/// Clients whose bodies stop short.
const STALLED: usize = 1_500;
/// Length of their bodies, and the bytes that are held back.
const BODY: usize = 8_000;
const MISSING: usize = 100;
/// Ordinary callers that try at once; the rule asks for seven.
const CALLERS: usize = 10;
/// Deadline of an ordinary caller.
const DEADLINE: Duration = Duration::from_millis(3_000);
/// `contact_ms` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-live","hostname":"a.example","prefix":"/live/","type":"stream","timeout_ms":15000,"target_latency_ms":250,"priority":1,"upstream":"desk","max_attempts":1,"public":true,"resumable":false,"gap_target_ms":150},{"name":"r-post","hostname":"a.example","prefix":"/post/","type":"unsafe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"upstream":"desk","max_attempts":1,"public":true},{"name":"r-fetch","hostname":"a.example","prefix":"/fetch/","type":"safe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"upstream":"desk","max_attempts":2,"public":true}],"services":[{"name":"desk","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}"#;

/// One try of an ordinary caller.
#[derive(Clone)]
struct Try {
    began: Instant,
    ended: Instant,
    text: String,
    status: u16,
}

pub fn run(run: &Run) -> Verdict {
    let record = &run.record;
    let stalled = match run.trouble.as_str() {
        "0" => 0,
        "1" => STALLED,
        count => count.parse().unwrap_or(STALLED),
    };
    let store = Store::start();
    store.put("op", "config", CONFIGURATION);
    let seen = Seen::default();
    let _runners: Vec<Runner> = ["i-1", "i-2", "i-3"]
        .into_iter()
        .map(|id| {
            let options = RunnerOptions {
                id,
                service: "desk",
                zone: "kgn",
                slots: 16,
                model: None,
                work: Work { head: Duration::from_millis(20), events: None },
            };
            Runner::start(options, &store, &seen)
        })
        .collect();
    let place = Place::free("front-kgn-1", "kgn");
    let seeds = [place.control.clone()];
    let mut nodes =
        vec![Node::start(&place, &store.address, &seeds, &run.temporary)];
    if !await_ready(&nodes, Duration::from_secs(15)) {
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_secs(2));

    let stop = Arc::new(AtomicBool::new(false));
    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let (stop, tries) = (stop.clone(), tries.clone());
        let front = place.front.clone();
        callers.push(std::thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let (method, path) = match number % 2 {
                    0 => ("GET", "fetch"),
                    _ => ("POST", "post"),
                };
                let body = if method == "POST" { "hello" } else { "" };
                let request = format!(
                    "{method} /{path}/x HTTP/1.1\r\nHost: a.example\r\n\
                     X-Request-Id: c{caller}-{number}\r\n\
                     X-Deadline-Ms: {}\r\nConnection: close\r\n\
                     Content-Length: {}\r\n\r\n{body}",
                    DEADLINE.as_millis(),
                    body.len(),
                );
                let began = Instant::now();
                let answer = http::call(&front, request.as_bytes(), DEADLINE);
                let (text, status) = (answer.text(), answer.status());
                let ended = Instant::now();
                let one = Try { began, ended, text, status };
                tries.lock().unwrap().push(one);
                std::thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    std::thread::sleep(Duration::from_secs(4));

    // The clients connect within about a second.
    let began = Instant::now();
    let mut open: Vec<Conn> = Vec::new();
    let mut failed = 0;
    for number in 0..stalled {
        let head = format!(
            "POST /live/x HTTP/1.1\r\nHost: a.example\r\n\
             X-Request-Id: s-{number}\r\nX-Deadline-Ms: 15000\r\n\
             Content-Length: {BODY}\r\n\r\n"
        );
        let Ok(mut conn) = Conn::open(&place.front, Duration::from_secs(1))
        else {
            failed += 1;
            continue;
        };
        let mut bytes = head.into_bytes();
        bytes.resize(bytes.len() + BODY - MISSING, b'x');
        if conn.write(&bytes).is_err() {
            failed += 1;
            continue;
        }
        open.push(conn);
    }
    record.line_at(
        began,
        &format!(
            "{stalled} clients begin to send bodies of {BODY} bytes; {} sent \
             all but {MISSING} bytes and stay open, {failed} got no connection",
            open.len()
        ),
    );
    record.line("all of them have connected");
    let until = Instant::now() + Duration::from_secs(20);
    let unready = Arc::new(AtomicUsize::new(0));
    while Instant::now() < until {
        let is_ready = nodes[0].is_ready();
        if !is_ready {
            unready.fetch_add(1, Ordering::Relaxed);
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    drop(open);
    std::thread::sleep(Duration::from_secs(5));
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    let unready = unready.load(Ordering::Relaxed);
    record.line(&format!(
        "{unready} of 20 questions whether the host is ready weren't answered \
         with 200; the process has ended: {}",
        nodes[0].has_ended()
    ));
    judge(run, &tries.lock().unwrap(), unready)
}

/// Looks for a span of `contact_ms` in which no new connection is served, while
/// seven callers or more try and the host says that it is ready.
fn judge(run: &Run, tries: &[Try], unready: usize) -> Verdict {
    let record = &run.record;
    let mut tries = tries.to_vec();
    tries.sort_by_key(|one| one.began);
    for one in &tries {
        if one.status != 200 {
            record.line_at(
                one.began,
                &format!(
                    "ordinary request: {} after {:.2} s",
                    one.text,
                    (one.ended - one.began).as_secs_f64()
                ),
            );
        }
    }
    let good: Vec<&Try> = tries.iter().filter(|one| one.status != 0).collect();
    record.line(&format!(
        "ordinary requests: {} sent, {} answered, {} with 200",
        tries.len(),
        good.len(),
        tries.iter().filter(|one| one.status == 200).count(),
    ));
    let mut ends: Vec<Instant> = good.iter().map(|one| one.ended).collect();
    ends.sort();
    let (mut longest, mut from) = (Duration::ZERO, run.record.start);
    for pair in ends.windows(2) {
        if longest < pair[1] - pair[0] {
            (longest, from) = (pair[1] - pair[0], pair[0]);
        }
    }
    let trying = tries
        .iter()
        .filter(|one| from <= one.began && one.began < from + longest)
        .count();
    record.line_at(
        from,
        &format!(
            "from here on no new connection was served for {:.2} s, in which \
             {CALLERS} callers tried {trying} times",
            longest.as_secs_f64()
        ),
    );
    if CONTACT <= longest && 7 <= trying && unready == 0 {
        record.line("BROKEN: no new connection was taken for contact_ms");
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
