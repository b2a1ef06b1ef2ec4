//! Accelerator memory is never overcommitted, and every model stays reachable,
//! while hosts that own runners are killed or stopped and orders arrive late.

use std::time::Duration;

use celerylead_stand_ins::{
    engine::{EngineOptions, EngineStandIn},
    proxy::{FaultProxy, ProxyFault},
    table::TableFault,
};
use rustix::process::Signal;

use crate::{
    client::{call, chat},
    fleet::{Fleet, hash, wait_for},
};

const KEY: &str = "cl-memory-key";
const MEMORY_MB: u64 = 300;
const MODELS: [&str; 5] = ["m0", "m1", "m2", "m3", "m4"];
const SIZES: [u64; 5] = [150, 100, 100, 90, 60];

/// A fault during the placement of models; a number is the index of a host.
#[derive(Clone, Copy, Debug)]
enum PlacementFault {
    /// Kills the host.
    Kill(usize),
    /// Stops the host for 7 s, longer than its lease.
    Freeze(usize),
    /// Holds back all traffic between hosts and engines for 3 s.
    LateOrders,
    /// Makes the table service unreachable for 3 s.
    Outage,
    /// Lets writes to the table take effect and loses their answers for 3 s.
    LostAnswers,
}

struct MemoryCase {
    name: &'static str,
    fencing: bool,
    faults: &'static [PlacementFault],
}

struct MemoryFleet {
    fleet: Fleet,
    engines: Vec<EngineStandIn>,
    proxies: Vec<FaultProxy>,
}

impl MemoryFleet {
    async fn start(fencing: bool, models: usize) -> MemoryFleet {
        let fleet = Fleet::start(&[]).await;
        let mut engines = Vec::new();
        let mut proxies = Vec::new();
        for _ in 0..2 {
            let options = EngineOptions {
                tokens_per_second: 500.0,
                memory_mb: MEMORY_MB,
                fencing,
                load_time: Duration::from_millis(700),
                ..EngineOptions::default()
            };
            let engine = EngineStandIn::start("127.0.0.1:0", &options).await;
            let engine = engine.expect("engine");
            let proxy = FaultProxy::start(&engine.address).await;
            proxies.push(proxy.expect("proxy"));
            engines.push(engine);
        }
        let memory = MemoryFleet { fleet, engines, proxies };
        memory.fleet.apply(&memory.file(fencing, models)).await;
        memory
    }

    /// Returns a settings file with the first `models` models.
    fn file(&self, fencing: bool, models: usize) -> String {
        let mut file = format!(
            "[[region]]\nname = \"r\"\n\
             [[zone]]\nname = \"kgn\"\nregion = \"r\"\n\
             [[group]]\nname = \"g\"\nkind = \"model\"\n\
             fencing = {fencing}\nset = {{ memory_mb = {MEMORY_MB} }}\n\
             [[customer]]\nname = \"parish\"\n\
             set = {{ rate = 90000, burst = 90000 }}\n\
             [[key]]\nname = \"k\"\ncustomer = \"parish\"\n\
             sha256 = \"{}\"\n",
            hash(KEY),
        );
        for (index, proxy) in self.proxies.iter().enumerate() {
            file += &format!(
                "[[runner]]\nname = \"g-{index}\"\ngroup = \"g\"\n\
                 zone = \"kgn\"\naddress = \"{}\"\n",
                proxy.address,
            );
        }
        for (model, size) in MODELS.iter().zip(SIZES).take(models) {
            file += &format!(
                "[[model]]\nname = \"{model}\"\ngroup = \"g\"\n\
                 size_mb = {size}\n"
            );
        }
        file
    }

    /// Asserts that no engine's highest memory use exceeds its memory.
    async fn assert_no_overcommit(&self, name: &str) {
        for (index, engine) in self.engines.iter().enumerate() {
            let peak = engine.peak_mb().await;
            assert!(peak <= MEMORY_MB, "{name}: engine {index} had {peak} MB");
        }
    }

    /// Waits until the host answers calls of every model.
    async fn wait_reachable(&self, host: usize, models: usize) {
        let listen = &self.fleet.hosts[host].listen;
        for model in MODELS.iter().take(models) {
            wait_for(model, async || {
                let request = chat(KEY, model, 1, false);
                call(listen, request).await.is_ok_and(|a| a.status == 200)
            })
            .await;
        }
    }

    async fn loads(&self) -> u64 {
        let mut loads = 0;
        for engine in &self.engines {
            loads += engine.loads().await;
        }
        loads
    }

    /// Calls the first three models until a second replica of one of them
    /// takes the remaining memory, which has room for only one.
    async fn fill_memory(&self) {
        let listen = &self.fleet.hosts[2].listen;
        wait_for("a second replica", async || {
            for model in &MODELS[..3] {
                let _ = call(listen, chat(KEY, model, 100, false)).await;
            }
            4 <= self.loads().await
        })
        .await;
    }

    async fn inject_fault(&mut self, fault: PlacementFault) {
        match fault {
            PlacementFault::Kill(host) => self.fleet.hosts[host].kill(),
            PlacementFault::Freeze(host) => {
                self.fleet.hosts[host].signal(Signal::STOP);
                tokio::time::sleep(Duration::from_secs(7)).await;
                self.fleet.hosts[host].signal(Signal::CONT);
            }
            PlacementFault::LateOrders => {
                for proxy in &self.proxies {
                    proxy.set_fault(ProxyFault::Freeze);
                }
                tokio::time::sleep(Duration::from_secs(3)).await;
                for proxy in &self.proxies {
                    proxy.set_fault(ProxyFault::None);
                }
            }
            PlacementFault::Outage | PlacementFault::LostAnswers => {
                let fault = match fault {
                    PlacementFault::Outage => TableFault::Down,
                    _ => TableFault::LostAnswers,
                };
                self.fleet.table.set_fault(fault).await;
                tokio::time::sleep(Duration::from_secs(3)).await;
                self.fleet.table.set_fault(TableFault::None).await;
            }
        }
    }
}

async fn check_memory_case(case: &MemoryCase) {
    let mut memory = MemoryFleet::start(case.fencing, 3).await;
    for host in ["kgn-1", "kgn-2", "kgn-3"] {
        memory.fleet.host(host, "kgn").await;
    }
    // No case kills the last host.
    memory.wait_reachable(2, 3).await;
    memory.assert_no_overcommit(case.name).await;
    memory.fill_memory().await;
    // Two more models are added, so replicas have to be unloaded during the
    // faults of the case.
    let file = memory.file(case.fencing, MODELS.len());
    memory.fleet.apply(&file).await;
    for fault in case.faults {
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        memory.inject_fault(*fault).await;
        memory.assert_no_overcommit(case.name).await;
    }
    memory.wait_reachable(2, MODELS.len()).await;
    memory.assert_no_overcommit(case.name).await;
    let loads = memory.loads().await;
    println!("{}: {loads} loads", case.name);
    assert!(6 <= loads, "two models were loaded in place of a replica");
}

macro_rules! memory_tests {
    ($($test:ident: $case:expr;)+) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $test() {
            check_memory_case(&$case).await;
        }
    )+};
}

memory_tests! {
    memory_holds_without_faults: MemoryCase {
        name: "no faults",
        fencing: false,
        faults: &[],
    };
    memory_holds_when_owners_are_killed: MemoryCase {
        name: "owners killed",
        fencing: true,
        faults: &[PlacementFault::Kill(0), PlacementFault::Kill(1)],
    };
    memory_holds_when_an_owner_is_stopped_and_orders_are_late: MemoryCase {
        name: "owner stopped, orders late",
        fencing: true,
        faults: &[PlacementFault::LateOrders, PlacementFault::Freeze(0)],
    };
    memory_holds_without_fencing: MemoryCase {
        name: "engine ignores fencing",
        fencing: false,
        faults: &[PlacementFault::LateOrders, PlacementFault::Freeze(1)],
    };
    memory_holds_in_an_outage: MemoryCase {
        name: "outage and lost answers",
        fencing: true,
        faults: &[PlacementFault::Outage, PlacementFault::LostAnswers],
    };
}
