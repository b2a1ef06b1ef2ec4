//! A network partition of a zone from the platform and from the other zone.

use std::time::Duration;

use celerylead::settings::SettingsChange;
use celerylead_stand_ins::proxy::{FaultProxy, ProxyFault};
use rustix::process::Signal;

use crate::{
    client::{call, chat},
    fleet::{Fleet, HostExtras, TestCustomer, hash, settings_file, wait_for},
    load::{LoadPlan, find_rate_excess, run_load},
};

const KEY: &str = "cl-zones-key";
const OTHER_KEY: &str = "cl-zones-other";
const RATE: u64 = 300;
const BURST: u64 = 900;

/// A fleet of two zones: `kgn` can be cut off from the table and from `spt`,
/// `spt` always reaches the table.
struct PartitionFleet {
    fleet: Fleet,
    table_proxy: FaultProxy,
}

impl PartitionFleet {
    async fn start(defaults: &str) -> PartitionFleet {
        let mut fleet = Fleet::start(&[2_000.0, 2_000.0]).await;
        let customers = [
            TestCustomer {
                name: "parish",
                key: KEY,
                rate: RATE,
                burst: BURST,
            },
            TestCustomer {
                name: "council",
                key: OTHER_KEY,
                rate: RATE,
                burst: BURST,
            },
        ];
        let addresses: Vec<String> = fleet
            .engines
            .iter()
            .map(|engine| engine.address.clone())
            .collect();
        let engines =
            [("kgn", addresses[0].as_str()), ("spt", addresses[1].as_str())];
        fleet
            .apply(&settings_file(
                &["kgn", "spt"],
                &engines,
                &customers,
                &format!("slots = 64\n{defaults}"),
            ))
            .await;
        let table_proxy = FaultProxy::start(&fleet.table.address).await;
        let table_proxy = table_proxy.expect("proxy");
        let partitioned = HostExtras {
            table: Some(table_proxy.address.clone()),
            peer_proxy: true,
            ..HostExtras::default()
        };
        let connected =
            HostExtras { peer_proxy: true, ..HostExtras::default() };
        fleet.host_with("kgn-1", "kgn", &partitioned).await;
        fleet.host_with("spt-1", "spt", &connected).await;
        fleet.wait_shares().await;
        PartitionFleet { fleet, table_proxy }
    }

    /// Cuts `kgn` off from the table, and the hosts of both zones from each
    /// other, or reconnects them.
    fn set_cut(&self, cut: bool) {
        let fault = if cut { ProxyFault::Cut } else { ProxyFault::None };
        self.table_proxy.set_fault(fault);
        for host in &self.fleet.hosts {
            let proxy =
                host.peer_proxy.as_ref().expect("the host has a proxy");
            proxy.set_cut(cut);
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_partitioned_zone_serves_only_its_standing_part() {
    let mut partition = PartitionFleet::start("standing_hold_s = 600").await;
    let hosts = partition.fleet.hosts.iter();
    let plan = LoadPlan {
        key: KEY,
        hosts: hosts.map(|host| host.listen.clone()).collect(),
        requests_per_second: 60.0,
        duration: Duration::from_secs(20),
        max_tokens: 12,
    };
    let load = tokio::spawn(async move { run_load(&plan).await });
    tokio::time::sleep(Duration::from_secs(2)).await;
    partition.set_cut(true);
    // A second fault at the same time: the host of the other zone is stopped
    // for longer than its lease.
    tokio::time::sleep(Duration::from_secs(3)).await;
    partition.fleet.hosts[1].signal(Signal::STOP);
    tokio::time::sleep(Duration::from_secs(6)).await;
    partition.fleet.hosts[1].signal(Signal::CONT);
    tokio::time::sleep(Duration::from_secs(4)).await;
    partition.set_cut(false);
    let records = load.await.expect("the load runs to its end");
    assert_eq!(find_rate_excess(&records, RATE, BURST), None);
    // The partition lasts from 2 s to 15 s; the lease of 4 s has ended by 7 s.
    // From 5 s to 11 s the host of the other zone is stopped, so all answers
    // in that time come from the partitioned zone.
    let served = |from: u64, to: u64| {
        let within = records
            .iter()
            .filter(|record| from <= record.sent_ms && record.ended_ms < to);
        within.map(super::load::LoadRecord::tokens).sum::<u64>()
    };
    let partitioned = served(8_000, 11_000);
    let healed = served(17_000, 20_500);
    println!(
        "3 s partitioned: {partitioned} tokens; 3 s healed: {healed} tokens"
    );
    // The zone's standing part is a quarter of the rate: 225 tokens in 3 s.
    assert!(150 <= partitioned, "a partitioned zone has to go on serving");
    assert!(partitioned <= healed);
    partition.fleet.hosts[0].kill();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_partitioned_zone_trusts_keys_for_a_limited_time() {
    let partition = PartitionFleet::start("key_trust_s = 5").await;
    let listen = partition.fleet.hosts[0].listen.clone();
    let call_with = |key| call(&listen, chat(key, "outline", 1, false));
    assert_eq!(call_with(KEY).await.expect("an answer").status, 200);
    partition.set_cut(true);
    let cut_at = tokio::time::Instant::now();
    let change = SettingsChange::WithdrawKey { hash: hash(KEY) };
    partition.fleet.change(&change).await;
    let connected = partition.fleet.hosts[1].listen.clone();
    wait_for("the connected zone to refuse the key", async || {
        let answer = call(&connected, chat(KEY, "outline", 1, false)).await;
        answer.is_ok_and(|answer| answer.status == 401)
    })
    .await;
    // The partitioned zone can't learn of the withdrawal and has to stop
    // trusting any key.
    wait_for("the partitioned zone to refuse the key", async || {
        call_with(KEY).await.is_ok_and(|answer| answer.code() == "not_ready")
    })
    .await;
    let refused = cut_at.elapsed();
    println!("a partitioned zone refused after {refused:?}");
    assert!(refused < Duration::from_secs(8), "{refused:?}");
    partition.set_cut(false);
    wait_for("the zone to learn of the withdrawal", async || {
        call_with(KEY).await.is_ok_and(|answer| answer.status == 401)
    })
    .await;
    let other = call_with(OTHER_KEY).await.expect("an answer");
    assert_eq!(other.status, 200, "{other:?}");
}
