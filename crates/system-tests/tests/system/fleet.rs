//! Test harness: host processes with stand-ins for the external systems.

use std::{
    io::{BufRead as _, BufReader},
    path::{Path, PathBuf},
    process::{Child, Command, Output, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use celerylead::{
    customer::{CallerKey, KeyHash},
    operator::{ChangeResult, SettingsClient},
    platform::TableClient,
    settings::SettingsChange,
};
use celerylead_stand_ins::{
    certificates::TestAuthority,
    datagram::DatagramProxy,
    engine::{EngineOptions, EngineStandIn},
    objects::ObjectStandIn,
    table::TableStandIn,
};
use tokio::sync::{Semaphore, SemaphorePermit};

/// Limits the fleets that run at once, so that tests don't slow each other
/// down.
static FLEET_PERMITS: Semaphore = Semaphore::const_new(2);
/// Longest wait for a condition of a test.
const WAIT_LIMIT: Duration = Duration::from_secs(40);
static NEXT_FOLDER: AtomicU32 = AtomicU32::new(0);

/// The process of a host.
pub(crate) struct HostProcess {
    pub(crate) name: String,
    pub(crate) listen: String,
    pub(crate) peer: String,
    pub(crate) admin: String,
    /// The proxy through which other hosts reach this one.
    pub(crate) peer_proxy: Option<DatagramProxy>,
    child: Child,
}

/// Options of a host that differ from the defaults of the tests.
#[derive(Clone, Debug, Default)]
pub(crate) struct HostExtras {
    /// Address of a proxy to the table service, where the host uses one.
    pub(crate) table: Option<String>,
    /// Whether other hosts reach the host through a proxy.
    pub(crate) peer_proxy: bool,
    /// Whether another authority issued the host's certificate.
    pub(crate) foreign_authority: bool,
    /// Further command line flags.
    pub(crate) flags: Vec<String>,
}

/// Host processes and the stand-ins that they use.
pub(crate) struct Fleet {
    pub(crate) table: TableStandIn,
    pub(crate) objects: ObjectStandIn,
    pub(crate) engines: Vec<EngineStandIn>,
    pub(crate) hosts: Vec<HostProcess>,
    pub(crate) folder: PathBuf,
    pub(crate) authority: TestAuthority,
    _permit: SemaphorePermit<'static>,
}

impl Fleet {
    /// Starts the stand-ins of the platform and an engine for each speed, in
    /// tokens per second.
    pub(crate) async fn start(speeds: &[f64]) -> Fleet {
        let permit = FLEET_PERMITS.acquire().await.expect("never closed");
        let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir()
            .join(format!("celerylead-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder for certificates");
        let mut engines = Vec::new();
        for speed in speeds {
            engines.push(engine(*speed).await);
        }
        Fleet {
            table: TableStandIn::start("127.0.0.1:0").await.expect("table"),
            objects: ObjectStandIn::start("127.0.0.1:0").await.expect("store"),
            engines,
            hosts: Vec::new(),
            folder,
            authority: TestAuthority::generate().expect("authority"),
            _permit: permit,
        }
    }

    /// Applies a settings file and returns its revision.
    pub(crate) async fn apply(&self, file: &str) -> u64 {
        let change = SettingsChange::Apply { file: file.to_owned() };
        self.change(&change).await
    }

    /// Makes a change to the settings and returns its revision.
    pub(crate) async fn change(&self, change: &SettingsChange) -> u64 {
        let id = format!("change-{}", rand::random::<u64>());
        let result = self.settings_client().change(change, &id, None).await;
        match result.expect("the table answers") {
            ChangeResult::Accepted { revision } => revision,
            other => panic!("the change was not accepted: {other:?}"),
        }
    }

    pub(crate) fn settings_client(&self) -> SettingsClient {
        SettingsClient::new(&TableClient::new(&self.table.address), "test")
    }

    /// Starts a host and waits until it is ready; returns its index.
    pub(crate) async fn host(&mut self, name: &str, zone: &str) -> usize {
        let extras = HostExtras::default();
        let index = self.start_host(name, zone, &extras);
        self.wait_ready(index).await;
        index
    }

    /// Starts a host with further options and waits until it is ready; returns
    /// its index.
    pub(crate) async fn host_with(
        &mut self,
        name: &str,
        zone: &str,
        extras: &HostExtras,
    ) -> usize {
        let index = self.start_host(name, zone, extras);
        self.wait_ready(index).await;
        index
    }

    /// Starts a host and returns its index.
    pub(crate) fn start_host(
        &mut self,
        name: &str,
        zone: &str,
        extras: &HostExtras,
    ) -> usize {
        let foreign = TestAuthority::generate().expect("authority");
        let authority =
            if extras.foreign_authority { &foreign } else { &self.authority };
        let identity =
            authority.issue(&[celerylead::PEER_NAME]).expect("a certificate");
        let file = |kind: &str, text: &str| {
            let path = self.folder.join(format!("{name}.{kind}"));
            std::fs::write(&path, text).expect("a certificate's file");
            path
        };
        let proxied = extras.peer_proxy.then(|| {
            let socket = std::net::UdpSocket::bind("127.0.0.1:0");
            let socket = socket.expect("a free port");
            let peer = socket.local_addr().expect("an address").to_string();
            drop(socket);
            let proxy = DatagramProxy::start(&peer).expect("proxy");
            (peer, proxy)
        });
        let table = extras.table.as_ref().unwrap_or(&self.table.address);
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .expect("a log file");
        let mut command = Command::new(program("celerylead-host"));
        command
            .args(["--host", name, "--zone", zone])
            .args(["--listen", "127.0.0.1:0"])
            .args(["--admin-listen", "127.0.0.1:0"])
            .args(["--table", table])
            .args(["--objects", &self.objects.address])
            .args(["--lease-ttl-ms", "4000"])
            .args(["--drain-grace-ms", "500"])
            .arg("--peer-authority")
            .arg(file("authority", &identity.authority))
            .arg("--peer-certificate")
            .arg(file("certificate", &identity.certificate))
            .arg("--peer-key")
            .arg(file("key", &identity.key))
            .args(&extras.flags)
            .args(match &proxied {
                Some(_) => [].as_slice(),
                None => ["--peer-listen", "127.0.0.1:0"].as_slice(),
            })
            .args(proxied.iter().flat_map(|(peer, proxy)| {
                [
                    format!("--peer-listen={peer}"),
                    format!("--peer-address={}", proxy.address),
                ]
            }))
            .env("CELERYLEAD_CREDENTIAL", "runner-credential")
            .stdout(Stdio::piped())
            .stderr(log);
        let mut child = command.spawn().expect("the host starts");
        let addresses = first_line(&mut child);
        let address = |name: &str| {
            let words = addresses.split_whitespace();
            let mut found = words.filter_map(|word| word.split_once('='));
            let found = found.find(|(word, _)| *word == name);
            found.expect("the host prints its addresses").1.to_owned()
        };
        self.hosts.push(HostProcess {
            name: name.to_owned(),
            listen: address("listening"),
            peer: address("peer"),
            admin: address("admin"),
            peer_proxy: proxied.map(|(_, proxy)| proxy),
            child,
        });
        self.hosts.len() - 1
    }

    /// Waits until a host has settings and reports from its runners.
    pub(crate) async fn wait_ready(&self, index: usize) {
        let admin = self.hosts[index].admin.clone();
        wait_for("the host to be ready", async || {
            let request = crate::client::request("GET", "/readyz", None, "");
            let answer = crate::client::call(&admin, request).await;
            answer.is_ok_and(|answer| answer.status == 200)
        })
        .await;
    }

    /// Waits until every part of every customer's rate has a holder.
    pub(crate) async fn wait_shares(&self) {
        let settings_client = self.settings_client();
        wait_for("all parts of the rates to be held", async || {
            let rows =
                settings_client.shares().await.expect("the table answers");
            let mut parts = rows.iter().flat_map(|row| &row.parts);
            !rows.is_empty() && parts.all(|part| part.holder.is_some())
        })
        .await;
        // A host starts to use a part after its next read of the table.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }

    /// Runs the operators' command line with the given arguments.
    pub(crate) fn operator(&self, arguments: &[&str]) -> Output {
        Command::new(program("celerylead"))
            .args(["--table", &self.table.address, "--operator", "ada"])
            .args(arguments)
            .output()
            .expect("the command line runs")
    }

    /// Returns the logs of all hosts.
    pub(crate) fn logs(&self) -> String {
        let mut logs = String::new();
        for host in &self.hosts {
            let path = self.folder.join(format!("{}.log", host.name));
            logs += &std::fs::read_to_string(path).unwrap_or_default();
        }
        logs
    }
}

impl HostProcess {
    #[allow(dead_code, reason = "used by the benchmarks")]
    /// Returns the process id.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub(crate) fn signal(&self, signal: rustix::process::Signal) {
        let id = i32::try_from(self.child.id()).expect("a process id");
        let id = rustix::process::Pid::from_raw(id).expect("not zero");
        rustix::process::kill_process(id, signal).expect("it is our child");
    }

    /// Kills the process and waits until it has ended.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process ends by itself and returns whether it
    /// succeeded.
    pub(crate) async fn wait_end(&mut self) -> bool {
        let deadline = Instant::now() + WAIT_LIMIT;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        false
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.hosts.clear();
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Starts an engine that holds the models of the tests.
pub(crate) async fn engine(tokens_per_second: f64) -> EngineStandIn {
    let options = EngineOptions {
        tokens_per_second,
        models: vec![("outline".to_owned(), 100), ("ledger".to_owned(), 100)],
        ..EngineOptions::default()
    };
    EngineStandIn::start("127.0.0.1:0", &options).await.expect("engine")
}

/// Waits until `test` returns true and panics after [`WAIT_LIMIT`].
pub(crate) async fn wait_for(what: &str, test: impl AsyncFn() -> bool) {
    let deadline = Instant::now() + WAIT_LIMIT;
    while !test().await {
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// A customer of a test, with its key in plain text.
pub(crate) struct TestCustomer {
    pub(crate) name: &'static str,
    pub(crate) key: &'static str,
    pub(crate) rate: u64,
    pub(crate) burst: u64,
}

/// Returns a settings file with the zones, engines (as zone and address) and
/// customers of a test.
pub(crate) fn settings_file(
    zones: &[&str],
    engines: &[(&str, &str)],
    customers: &[TestCustomer],
    defaults: &str,
) -> String {
    let mut file = format!("[defaults]\n{defaults}\n");
    file += "[[region]]\nname = \"jm-south\"\n";
    for zone in zones {
        file +=
            &format!("[[zone]]\nname = \"{zone}\"\nregion = \"jm-south\"\n");
    }
    file += "[[group]]\nname = \"expander\"\nkind = \"model\"\n\
             set = { memory_mb = 1000 }\n";
    for (index, (zone, address)) in engines.iter().enumerate() {
        file += &format!(
            "[[runner]]\nname = \"expander-{index}\"\ngroup = \"expander\"\n\
             zone = \"{zone}\"\naddress = \"{address}\"\n"
        );
    }
    for model in ["outline", "ledger"] {
        file += &format!(
            "[[model]]\nname = \"{model}\"\ngroup = \"expander\"\n\
             size_mb = 100\n"
        );
    }
    for customer in customers {
        file += &format!(
            "[[customer]]\nname = \"{}\"\n\
             set = {{ rate = {}, burst = {} }}\n\
             [[key]]\nname = \"{}-key\"\ncustomer = \"{}\"\n\
             sha256 = \"{}\"\n",
            customer.name,
            customer.rate,
            customer.burst,
            customer.name,
            customer.name,
            hash(customer.key),
        );
    }
    file
}

/// Returns the hash of a key.
pub(crate) fn hash(key: &str) -> KeyHash {
    CallerKey::presented(key).hash()
}

/// Starts a stand-in as a process and returns it with its address.
pub(crate) fn stand_in(arguments: &[&str]) -> (StandInProcess, String) {
    let mut child = Command::new(program("celerylead-stand-in"))
        .args(arguments)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the stand-in starts");
    let line = first_line(&mut child);
    let address = line.trim().strip_prefix("listening=");
    let address = address.expect("the stand-in prints its address");
    (StandInProcess { child }, address.to_owned())
}

/// The process of a stand-in, killed on drop.
pub(crate) struct StandInProcess {
    child: Child,
}

impl Drop for StandInProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn first_line(child: &mut Child) -> String {
    let mut line = String::new();
    let output = child.stdout.take().expect("the output is piped");
    BufReader::new(output).read_line(&mut line).expect("a first line");
    line
}

/// Returns the path of a program of the workspace, which lies in the parent
/// folder of the test program's folder.
fn program(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("the test's own path");
    let folder = test.parent().and_then(Path::parent);
    let path = folder.expect("a target folder").join(name);
    assert!(path.exists(), "build the workspace first: no {name}");
    path
}
