//! A part of prompts that crashes each runner that begins to write an answer
//! on it, beside sound requests of the same client, key and route.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    fs,
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::kit::{
    Arrival, DeadlyPart, FleetShape, Host, RunnerFleet, Seen, Store, ms, send,
    sleep_ms,
};

/// What differs between the cases.
pub struct Plan {
    /// Case folder, relative to the root of the repository.
    pub folder: &'static str,
    /// Parts that the sound and the other requests share, as in the header.
    pub shared: Vec<String>,
    /// Deadly part, as in the header.
    pub deadly: &'static str,
    /// Number of hexadecimal digits of the id of a request's own part.
    pub own_digits: usize,
    /// Whether answers have chunks; otherwise they end with their connection.
    pub framed: bool,
}

const HOSTS: usize = 2;
const RUNNERS: usize = 4;
/// Time from the end of a runner to its next start.
const DOWN_MS: u64 = 3_000;
const EVENTS: u64 = 9;
/// Pause between two events; the sheet of the site allows 150 ms.
const EVENT_MS: u64 = 20;
const SOUND_EVERY_MS: u64 = 125;
const DEADLY_EVERY_MS: u64 = 500;
const CALM_MS: u64 = 10_000;
const TROUBLED_MS: u64 = 30_000;
/// Bounds of the site.
const CONTACT_MS: u64 = 3_000;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"lookup",
"hostname":"ficu.example","prefix":"/lookup/","type":"stream",
"timeout_ms":4000,"target_latency_ms":250,"priority":0,"upstream":"expander",
"max_attempts":1,"public":false,"sticky":true,"resumable":false,
"gap_target_ms":150}],"services":[{"name":"expander","health_path":"/h",
"max_conns":370,"engine":{"slots":64,"kv_capacity":144781,
"weights_mb":200000.0,"max_adapters":8,"loads_per_s":1.6,"models":[{
"name":"m0","weights_mb":65100.0,"load_time_s":1.2,"warm_s":0.38,
"disk_load_s":0.49,"adapters":0,"adapter_mb":12.0}]}}],"limits":{
"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000},"tenants":[{"name":"parish",
"api_keys":["k-parish"]}]}"#;

/// Plays the case and returns its exit code.
pub fn play(plan: &Plan) -> i32 {
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let name = format!("celerylead-review-{}", std::process::id());
    let scratch = std::env::temp_dir().join(name);
    fs::create_dir_all(&scratch).unwrap();
    let store = Store::start();
    store.put("op", "config", Some(CONFIG));
    let (deadly_id, _) = plan.deadly.split_once(':').unwrap();
    let shape = FleetShape {
        model: "m0",
        events: EVENTS,
        event_ms: EVENT_MS,
        framed: plan.framed,
        deadly: trouble.then_some(DeadlyPart { id: deadly_id, after_ms: 20 }),
    };
    let fleet = RunnerFleet::start(&store, RUNNERS, &shape, DOWN_MS);
    let program = "target/release/celerylead-node";
    let mut hosts: Vec<Host> = (1..=HOSTS)
        .map(|number| {
            let name = format!("front-kgn-{number}");
            Host::start(program, &name, &scratch, &store.address)
        })
        .collect();
    let limit = Instant::now() + Duration::from_secs(10);
    while !hosts.iter().all(Host::is_ready) {
        if limit < Instant::now() {
            println!("the hosts didn't get ready");
            return 2;
        }
        sleep_ms(50);
    }
    // All hosts know each other and are in touch.
    sleep_ms(CONTACT_MS + 1_000);

    let fronts: Vec<String> =
        hosts.iter().map(|host| host.front.clone()).collect();
    let seen: Arc<Mutex<Vec<(Seen, usize)>>> = Arc::default();
    let start = Instant::now();
    let troubled = start + ms(CALM_MS);
    let end = troubled + ms(TROUBLED_MS);
    let (mut sound_due, mut deadly_due) = (start, troubled);
    let mut number = 0_usize;
    let mut clients = Vec::new();
    while Instant::now() < end {
        let now = Instant::now();
        let is_deadly = deadly_due <= now;
        if is_deadly {
            deadly_due += ms(DEADLY_EVERY_MS);
        } else if sound_due <= now {
            sound_due += ms(SOUND_EVERY_MS);
        } else {
            sleep_ms(2);
            continue;
        }
        number += 1;
        let host = number % HOSTS;
        let (front, seen) = (fronts[host].clone(), seen.clone());
        let mut parts = plan.shared.clone();
        if is_deadly {
            parts.push(plan.deadly.to_owned());
        }
        // The last part is the request's own.
        let own = 0xe440_0000 + number;
        parts.push(format!("{own:0width$x}:20", width = plan.own_digits));
        clients.push(thread::spawn(move || {
            let id = format!("{number:016x}");
            let headers = format!(
                "Authorization: Bearer k-parish\r\nX-Model: m0\r\n\
                 X-Token-Count: {},60\r\nX-Prompt-Prefix: {}\r\n",
                20 * parts.len(),
                parts.join(",")
            );
            let at = Instant::now();
            let (status, complete, body) =
                send(&front, "/lookup/x", &id, &headers, "text", ms(4_000));
            let events = body.matches("id: ").count();
            let took_ms = at.elapsed().as_millis() as u64;
            let deadly = is_deadly;
            let saw =
                Seen { at, id, deadly, status, complete, events, took_ms };
            seen.lock().unwrap().push((saw, host + 1));
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    let died: Vec<String> = hosts
        .iter_mut()
        .filter_map(|host| host.has_ended().then(|| host.name.clone()))
        .collect();
    hosts.iter_mut().for_each(Host::kill);
    let _ = fs::remove_dir_all(&scratch);

    let mut seen = seen.lock().unwrap().clone();
    seen.sort_by_key(|(saw, _)| saw.at);
    let crashes = fleet.notes.crashes.lock().unwrap().clone();
    let arrivals = fleet.notes.arrivals.lock().unwrap().clone();
    let code = judge(plan, trouble, start, &seen, &crashes, &arrivals);
    if !died.is_empty() {
        println!("hosts that ended by themselves: {died:?}");
        return 2;
    }
    code
}

fn judge(
    plan: &Plan,
    trouble: bool,
    start: Instant,
    seen: &[(Seen, usize)],
    crashes: &[(Instant, String)],
    arrivals: &[Arrival],
) -> i32 {
    let second = |at: Instant| at.duration_since(start).as_secs_f64();
    let mut record = String::new();
    let troubled = start + ms(CALM_MS);
    // The fifth crash counts, or the last one if there are fewer.
    let counted = crashes.get(4).or(crashes.last()).map(|(at, _)| *at);
    let sound: Vec<&Seen> =
        seen.iter().map(|(saw, _)| saw).filter(|saw| !saw.deadly).collect();
    // A request begins at its first attempt if the client gets the first
    // event of an answer.
    let begun = |requests: &[&Seen]| {
        let begun = requests
            .iter()
            .filter(|saw| saw.status == 200 && 0 < saw.events)
            .count();
        (begun, requests.len())
    };
    let before: Vec<&Seen> =
        sound.iter().copied().filter(|saw| saw.at < troubled).collect();
    let before = begun(&before);
    let mut broken = false;
    let mut summary = String::new();
    let _ = writeln!(
        summary,
        "sound requests that began, before the deadly part came: {} of {}",
        before.0, before.1
    );
    if let Some(counted) = counted {
        let after: Vec<&Seen> = sound
            .iter()
            .copied()
            .filter(|saw| counted + ms(2 * CONTACT_MS) <= saw.at)
            .collect();
        let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
        for saw in &after {
            *statuses.entry(saw.status).or_default() += 1;
        }
        let after = begun(&after);
        let late = arrivals
            .iter()
            .filter(|one| one.deadly && counted + ms(CONTACT_MS) < one.at)
            .count();
        let enough = 20 <= before.1 && 20 <= after.1;
        let lost = enough && 2 * after.0 * before.1 < before.0 * after.1;
        let _ = writeln!(
            summary,
            "crashes: {}; the one that counts at {:.2} s\n\
             sound requests that began, from 2 x contact_ms after it: {} of \
             {} (statuses {statuses:?})\n\
             LOST (less than half as often, 20 or more of each): {}\n\
             requests with the part that reached runners later than \
             contact_ms after it: {late}\n\
             BUDGET (more than 3): {}",
            crashes.len(),
            second(counted),
            after.0,
            after.1,
            if lost { "broken" } else { "kept" },
            if 3 < late { "broken" } else { "kept" },
        );
        broken = lost;
    } else {
        let served = sound
            .iter()
            .filter(|saw| saw.status == 200 && saw.complete)
            .count();
        let _ = writeln!(
            summary,
            "no runner crashed; sound requests served whole: {served} of {}",
            sound.len()
        );
    }
    let _ = writeln!(record, "disruption: {trouble}\n{summary}");
    for (at, runner) in crashes {
        let _ = writeln!(record, "{:7.3} s runner {runner} ends", second(*at));
    }
    for one in arrivals {
        let kind = if one.deadly { "deadly" } else { "sound" };
        let _ = writeln!(
            record,
            "{:7.3} s runner {} gets request {} ({kind})",
            second(one.at),
            one.runner,
            one.id
        );
    }
    for (saw, host) in seen {
        let kind = if saw.deadly { "deadly" } else { "sound" };
        let _ = writeln!(
            record,
            "{:7.3} s client sends request {} ({kind}) to front-kgn-{host}: \
             status {}, {} events, whole {}, {} ms",
            second(saw.at),
            saw.id,
            saw.status,
            saw.events,
            saw.complete,
            saw.took_ms
        );
    }
    fs::write(Path::new(plan.folder).join("record.txt"), record).unwrap();
    print!("{summary}");
    i32::from(broken)
}
