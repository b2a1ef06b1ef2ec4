//! Hosts of the project, as processes.

use std::fs::File;
use std::net::{TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{
    Mutex,
    atomic::{AtomicU16, Ordering},
};
use std::time::{Duration, Instant};

use crate::http;

/// Command of the role `host` in `deploy/system.toml`.
const PROGRAM: &str = "target/release/celerylead-node";

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Processes that were started and haven't been waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that are still running.
pub fn kill_all() {
    for pid in RUNNING.lock().unwrap().iter() {
        unsafe { kill(*pid as i32, Signal::Kill as i32) };
    }
}

#[derive(Clone, Copy)]
pub enum Signal {
    Reload = 1,
    Kill = 9,
    Terminate = 15,
    Continue = 18,
    Stop = 19,
}

/// Addresses of a host.
#[derive(Clone, Debug)]
pub struct Place {
    pub name: String,
    pub zone: String,
    pub front: String,
    pub ready: String,
    pub control: String,
    peers_port: u16,
}

/// Ports from which those of hosts are taken: below the range that the kernel
/// gives to outgoing connections, any of which could take a port that is free
/// now before its host has started.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Returns a free port.
pub fn free_port() -> u16 {
    let pid = std::process::id() as u16;
    let _ = NEXT_PORT.compare_exchange(
        0,
        20_000 + pid % 500 * 16,
        Ordering::Relaxed,
        Ordering::Relaxed,
    );
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let address = ("127.0.0.1", port);
        if TcpListener::bind(address).is_ok()
            && UdpSocket::bind(address).is_ok()
        {
            return port;
        }
    }
}

impl Place {
    pub fn free(name: &str, zone: &str) -> Place {
        let address = || format!("127.0.0.1:{}", free_port());
        Place {
            name: name.to_owned(),
            zone: zone.to_owned(),
            front: address(),
            ready: address(),
            control: address(),
            peers_port: free_port(),
        }
    }
}

/// A running host.
pub struct Node {
    pub place: Place,
    child: Child,
    settings: PathBuf,
    log: PathBuf,
}

impl Node {
    pub fn start(
        place: &Place,
        store: &str,
        seeds: &[String],
        folder: &Path,
    ) -> Node {
        let seeds: Vec<String> =
            seeds.iter().take(3).map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            r#"node = "{name}"
role = "host"
machine_class = "front"
serves = ["front","control"]
ip = "127.0.0.1"
zone = "{zone}"
region = "jm-south"
port_range = [{port},{port}]
seeds = [{seeds}]
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","tenants","quota","platform"]
[zones]
kgn = "jm-south"
spt = "jm-south"
mpn = "jm-south"
[listen]
front = "{front}"
ready = "{ready}"
control = "{control}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_ms = 2000
downgrade_ms = 250
outer_ms = 5000
strict_revoke = false
revoke_ms = 5000
retry_budget = 0.2
budget_window_s = 10
retry_slack = 56
quota_window_s = 8
quota_overshoot = 0.1
quota_slack = 7400
recovery_s = 12
pass_ms = 120
retry_after_s = 0
enforce_fencing = false
lease_ms = 3000
thaw_ms = 300
ceiling_window_s = 5
ceiling_overshoot = 1.1
[platform]
address = "{store}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 5.0
part_writes_s = 200
row_bytes = 65536
across = false
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_s = 80.0
"#,
            name = place.name,
            zone = place.zone,
            port = place.peers_port,
            seeds = seeds.join(","),
            front = place.front,
            ready = place.ready,
            control = place.control,
        );
        let settings = folder.join(format!("{}.toml", place.name));
        std::fs::write(&settings, text).unwrap();
        let log = folder.join(format!("{}.log", place.name));
        let child = spawn(&settings, &log);
        Node { place: place.clone(), child, settings, log }
    }

    /// Kills the process and starts it again.
    pub fn restart(&mut self) {
        self.signal(Signal::Kill);
        let _ = self.child.wait();
        let pid = self.child.id();
        RUNNING.lock().unwrap().retain(|running| *running != pid);
        self.child = spawn(&self.settings, &self.log);
    }

    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).unwrap();
        unsafe { kill(pid, signal as i32) };
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Asks whether the host is ready.
    pub fn is_ready(&self) -> bool {
        let request = "GET /-/ready HTTP/1.1\r\nHost: ready\r\n\
                       Connection: close\r\n\r\n";
        let limit = Duration::from_secs(1);
        let answer = http::call(&self.place.ready, request.as_bytes(), limit);
        answer.status() == 200
    }

    pub fn log_lines(&self, event: &str) -> Vec<String> {
        let text = std::fs::read(&self.log).unwrap_or_default();
        let text = String::from_utf8_lossy(&text).into_owned();
        let lines = text.lines().filter(|line| line.contains(event));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.signal(Signal::Kill);
        let _ = self.child.wait();
        let pid = self.child.id();
        RUNNING.lock().unwrap().retain(|running| *running != pid);
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let log = File::options().create(true).append(true).open(log).unwrap();
    let child = Command::new(PROGRAM)
        .env_clear()
        .envs(std::env::vars().filter(|(name, _)| {
            ["PATH", "HOME", "LANG"].contains(&name.as_str())
        }))
        .env("CELERYLEAD_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .expect("the program is built");
    RUNNING.lock().unwrap().push(child.id());
    child
}

/// Waits until all hosts are ready; returns whether they were in time.
pub fn await_ready(nodes: &[Node], limit: Duration) -> bool {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if nodes.iter().all(Node::is_ready) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}
