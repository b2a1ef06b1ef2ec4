//! The rate and burst of a customer hold over all hosts together.

use std::time::Duration;

use celerylead_stand_ins::table::TableFault;
use rustix::process::Signal;

use crate::{
    fleet::{Fleet, TestCustomer, settings_file},
    load::{LoadPlan, find_rate_excess, run_load},
};

const KEY: &str = "cl-rates-key";
const RATE: u64 = 300;
const BURST: u64 = 900;

/// A fault during a run; a number is the index of a host.
#[derive(Clone, Copy, Debug)]
enum FleetFault {
    /// Stops the host with SIGSTOP.
    Stop(usize),
    /// Resumes the host with SIGCONT.
    Cont(usize),
    Kill(usize),
    Table(TableFault),
}

struct RateCase {
    name: &'static str,
    /// Faults with their second of the run.
    faults: &'static [(u64, FleetFault)],
    /// Least share of the allowed tokens that the run must serve.
    min_served_share: f64,
}

async fn check_rate_case(case: &RateCase) {
    let mut fleet = Fleet::start(&[2_000.0, 2_000.0]).await;
    let customers =
        [TestCustomer { name: "parish", key: KEY, rate: RATE, burst: BURST }];
    let addresses: Vec<String> =
        fleet.engines.iter().map(|engine| engine.address.clone()).collect();
    let engines =
        [("kgn", addresses[0].as_str()), ("spt", addresses[1].as_str())];
    fleet
        .apply(&settings_file(
            &["kgn", "spt"],
            &engines,
            &customers,
            "slots = 64\nstanding_hold_s = 600",
        ))
        .await;
    for (name, zone) in [
        ("kgn-1", "kgn"),
        ("kgn-2", "kgn"),
        ("spt-1", "spt"),
        ("spt-2", "spt"),
    ] {
        fleet.host(name, zone).await;
    }
    fleet.wait_shares().await;
    let duration = Duration::from_secs(14);
    let plan = LoadPlan {
        key: KEY,
        hosts: fleet.hosts.iter().map(|host| host.listen.clone()).collect(),
        requests_per_second: 60.0,
        duration,
        max_tokens: 12,
    };
    let load = tokio::spawn(async move { run_load(&plan).await });
    let start = tokio::time::Instant::now();
    for (second, fault) in case.faults {
        tokio::time::sleep_until(start + Duration::from_secs(*second)).await;
        match fault {
            FleetFault::Stop(host) => {
                fleet.hosts[*host].signal(Signal::STOP);
            }
            FleetFault::Cont(host) => fleet.hosts[*host].signal(Signal::CONT),
            FleetFault::Kill(host) => fleet.hosts[*host].kill(),
            FleetFault::Table(fault) => fleet.table.set_fault(*fault).await,
        }
    }
    let records = load.await.expect("the load runs to its end");
    assert_eq!(find_rate_excess(&records, RATE, BURST), None, "{}", case.name);
    let served: u64 =
        records.iter().map(super::load::LoadRecord::tokens).sum();
    let allowed = RATE * duration.as_secs() + BURST;
    let served_share = served as f64 / allowed as f64;
    println!("{}: served {served_share:.3} of the allowed tokens", case.name);
    assert!(
        case.min_served_share <= served_share,
        "{}: served {served_share}",
        case.name
    );
    let offered = records.len() as u64 * 16;
    assert!(allowed < offered, "the load must exceed the rate");
}

macro_rules! rate_tests {
    ($($test:ident: $case:expr;)+) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $test() {
            check_rate_case(&$case).await;
        }
    )+};
}

rate_tests! {
    rate_holds_without_faults: RateCase {
        name: "no faults",
        faults: &[],
        min_served_share: 0.9,
    };
    rate_holds_when_holders_are_stopped_and_killed: RateCase {
        name: "a stop longer than the lease, and a kill",
        faults: &[
            (2, FleetFault::Stop(0)),
            (3, FleetFault::Kill(2)),
            (9, FleetFault::Cont(0)),
        ],
        min_served_share: 0.3,
    };
    rate_holds_in_an_outage_with_a_kill: RateCase {
        name: "table outage with a kill, then lost answers",
        faults: &[
            (1, FleetFault::Table(TableFault::Down)),
            (2, FleetFault::Kill(1)),
            (8, FleetFault::Table(TableFault::LostAnswers)),
            (11, FleetFault::Table(TableFault::None)),
        ],
        min_served_share: 0.3,
    };
}

/// Guards against refusals of a customer because of another one's load: the
/// first customer sends four times its rate and the other four keep within
/// theirs, each at a separate host.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn customers_inside_their_rate_are_not_refused() {
    const KEYS: [&str; 5] =
        ["cl-rate-0", "cl-rate-1", "cl-rate-2", "cl-rate-3", "cl-rate-4"];
    const NAMES: [&str; 5] = ["c0", "c1", "c2", "c3", "c4"];
    let mut fleet = Fleet::start(&[2_000.0, 2_000.0]).await;
    let customers: Vec<TestCustomer> = NAMES
        .into_iter()
        .zip(KEYS)
        .map(|(name, key)| TestCustomer {
            name,
            key,
            rate: RATE,
            burst: BURST,
        })
        .collect();
    let addresses: Vec<String> =
        fleet.engines.iter().map(|engine| engine.address.clone()).collect();
    let engines =
        [("z0", addresses[0].as_str()), ("z2", addresses[1].as_str())];
    let zones = ["z0", "z1", "z2", "z3"];
    let file = settings_file(&zones, &engines, &customers, "slots = 64");
    fleet.apply(&file).await;
    for index in 0..8 {
        let zone = zones[index / 2];
        fleet.host(&format!("{zone}-{index}"), zone).await;
    }
    fleet.wait_shares().await;
    let mut loads = Vec::new();
    for (index, key) in KEYS.into_iter().enumerate() {
        // A request uses at most 16 tokens: 15 requests a second are 0.8 of
        // the rate.
        let plan = LoadPlan {
            key,
            hosts: vec![fleet.hosts[index].listen.clone()],
            requests_per_second: if index == 0 { 75.0 } else { 15.0 },
            duration: Duration::from_secs(20),
            max_tokens: 12,
        };
        loads.push(tokio::spawn(async move { run_load(&plan).await }));
    }
    let mut sent = 0;
    let mut refused = 0;
    for (index, load) in loads.into_iter().enumerate() {
        let records = load.await.expect("the load runs to its end");
        assert_eq!(
            find_rate_excess(&records, RATE, BURST),
            None,
            "{}",
            NAMES[index]
        );
        let ok = records.iter().filter(|record| record.is_ok()).count();
        println!("{}: {ok} of {} answered", NAMES[index], records.len());
        if index == 0 {
            assert!(
                ok < records.len(),
                "the customer over its rate is refused in part"
            );
            continue;
        }
        sent += records.len();
        let limited =
            records.iter().filter(|record| record.code() == "rate_limited");
        refused += limited.count();
        assert_eq!(ok, records.len(), "{}", NAMES[index]);
    }
    println!("refused inside the rate: {refused} of {sent}");
    assert_eq!(refused, 0);
}

/// The rate is lowered to a third under load; the new rate holds 5 s later.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_changed_rate_holds_within_seconds() {
    let mut fleet = Fleet::start(&[2_000.0]).await;
    let address = fleet.engines[0].address.clone();
    let file = |rate: u64| {
        let customers =
            [TestCustomer { name: "parish", key: KEY, rate, burst: BURST }];
        let engines = [("kgn", address.as_str())];
        settings_file(&["kgn"], &engines, &customers, "slots = 64")
    };
    fleet.apply(&file(RATE)).await;
    fleet.host("kgn-1", "kgn").await;
    fleet.host("kgn-2", "kgn").await;
    fleet.wait_shares().await;
    let plan = LoadPlan {
        key: KEY,
        hosts: fleet.hosts.iter().map(|host| host.listen.clone()).collect(),
        requests_per_second: 60.0,
        duration: Duration::from_secs(16),
        max_tokens: 12,
    };
    let load = tokio::spawn(async move { run_load(&plan).await });
    tokio::time::sleep(Duration::from_secs(5)).await;
    fleet.apply(&file(RATE / 3)).await;
    let records = load.await.expect("the load runs to its end");
    // 5 s after the change the lower rate has to be in force on every host.
    let late: Vec<_> = records
        .into_iter()
        .filter(|record| 10_000 <= record.sent_ms)
        .collect();
    assert!(late.iter().any(super::load::LoadRecord::is_ok));
    assert_eq!(find_rate_excess(&late, RATE / 3, BURST), None);
}
