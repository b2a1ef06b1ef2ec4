//! Measures the cost of the control plane on an idle host as the number of
//! customers, runners, models and hosts of its zone grows: processor time,
//! memory, and bytes and calls of the table service.
//!
//! `cargo build --release && cargo bench -p celerylead-system-tests --bench
//! slopes`

#[path = "../tests/system/client.rs"]
#[allow(dead_code)]
mod client;
#[path = "../tests/system/fleet.rs"]
#[allow(dead_code)]
mod fleet;
mod support;

use std::time::Duration;

use celerylead::{
    EpochMillis, HostClock,
    membership::{HostLease, HostTag, LeasePhase},
    platform::{CommitRequest, TableClient, host_key},
};
use celerylead_stand_ins::engine::{EngineOptions, EngineStandIn};

use fleet::{Fleet, hash};
use support::process_use;

/// Seconds over which an idle host is measured.
const MEASUREMENT_SECONDS: f64 = 15.0;

/// One point of a slope.
struct SlopePoint {
    customers: usize,
    runners: usize,
    models: usize,
    /// Hosts of the zone, this one included.
    hosts: usize,
}

const POINTS: &[SlopePoint] = &[
    SlopePoint { customers: 5, runners: 4, models: 14, hosts: 1 },
    SlopePoint { customers: 100, runners: 4, models: 14, hosts: 1 },
    SlopePoint { customers: 400, runners: 4, models: 14, hosts: 1 },
    SlopePoint { customers: 5, runners: 100, models: 14, hosts: 1 },
    SlopePoint { customers: 5, runners: 274, models: 14, hosts: 1 },
    SlopePoint { customers: 5, runners: 4, models: 450, hosts: 1 },
    SlopePoint { customers: 5, runners: 4, models: 14, hosts: 10 },
    SlopePoint { customers: 5, runners: 4, models: 14, hosts: 30 },
];

/// Returns a settings file with the numbers of runners, models and customers
/// of a point.
fn file(point: &SlopePoint, engine: &str) -> String {
    let mut file = "[[region]]\nname = \"r\"\n\
        [[zone]]\nname = \"kgn\"\nregion = \"r\"\n\
        [[group]]\nname = \"g\"\nkind = \"model\"\n\
        set = { memory_mb = 1000000 }\n"
        .to_owned();
    for number in 0..point.runners {
        file += &format!(
            "[[runner]]\nname = \"g-{number}\"\ngroup = \"g\"\n\
             zone = \"kgn\"\naddress = \"{engine}\"\n"
        );
    }
    for number in 0..point.models {
        file += &format!(
            "[[model]]\nname = \"m{number}\"\ngroup = \"g\"\nsize_mb = 1\n"
        );
    }
    for number in 0..point.customers {
        file += &format!(
            "[[customer]]\nname = \"c{number}\"\n\
             set = {{ rate = 100, burst = 100 }}\n\
             [[key]]\nname = \"k{number}\"\ncustomer = \"c{number}\"\n\
             sha256 = \"{}\"\n",
            hash(&format!("key-{number}")),
        );
    }
    file
}

/// Writes the lease rows of hosts of the zone that don't run.
async fn write_fake_leases(fleet: &Fleet, hosts: usize) {
    let table = TableClient::new(&fleet.table.address);
    let far_deadline =
        HostClock::default().now().after(Duration::from_secs(3_600));
    for number in 1..hosts {
        let host = format!("pretended-{number}");
        let lease = HostLease {
            tag: HostTag { host: host.clone(), incarnation: 1 },
            nonce: 0,
            zone: "kgn".to_owned(),
            peer_address: "127.0.0.1:9".to_owned(),
            deadline: far_deadline,
            standing_deadline: EpochMillis(far_deadline.0 + 1),
            revision: 1,
            phase: LeasePhase::Serving,
            demand: Default::default(),
        };
        let request =
            CommitRequest::default().write(&host_key("kgn", &host), &lease);
        table.commit(&request).await.expect("the table answers");
    }
}

/// Measures an idle host at one point and prints what it uses.
async fn measure(point: &SlopePoint) {
    let mut fleet = Fleet::start(&[]).await;
    let models = (0..point.models).map(|number| (format!("m{number}"), 1));
    let options = EngineOptions {
        models: models.collect(),
        memory_mb: 1_000_000,
        ..EngineOptions::default()
    };
    let engine = EngineStandIn::start("127.0.0.1:0", &options).await;
    let engine = engine.expect("engine");
    fleet.apply(&file(point, &engine.address)).await;
    write_fake_leases(&fleet, point.hosts).await;
    let index = fleet.host("kgn-1", "kgn").await;
    // The host first claims its share of the rates, then is idle.
    tokio::time::sleep(Duration::from_secs(12)).await;
    let id = fleet.hosts[index].id();
    let before = process_use(id);
    let (reads, commits) = fleet.table.calls().await;
    let bytes = fleet.table.bytes().await;
    tokio::time::sleep(Duration::from_secs_f64(MEASUREMENT_SECONDS)).await;
    let after = process_use(id);
    let (reads_after, commits_after) = fleet.table.calls().await;
    let bytes = fleet.table.bytes().await - bytes;
    println!(
        "customers {:4} runners {:4} models {:4} hosts {:3}: {:.2} % of a \
         core, {:.1} MB, {:.1} KB/s, {:.2} reads/s, {:.2} writes/s",
        point.customers,
        point.runners,
        point.models,
        point.hosts,
        (after.cpu - before.cpu) / MEASUREMENT_SECONDS * 100.0,
        after.memory_kb as f64 / 1_024.0,
        bytes as f64 / 1_024.0 / MEASUREMENT_SECONDS,
        (reads_after - reads) as f64 / MEASUREMENT_SECONDS,
        (commits_after - commits) as f64 / MEASUREMENT_SECONDS,
    );
}

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() {
    // The argument `many` restricts the run to the points with many runners or
    // models.
    let many = std::env::args().any(|argument| argument == "many");
    for point in POINTS {
        if !many || 4 < point.runners || 14 < point.models {
            measure(point).await;
        }
    }
}
