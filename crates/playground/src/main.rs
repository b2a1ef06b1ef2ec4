//! Runs two hosts, stand-ins for the external systems and a small settings
//! tree in one process, to try celerylead without any other system.

use std::time::Duration;

use anyhow::Context as _;
use celerylead::{
    PeerIdentity,
    customer::CallerKey,
    host::{HostOptions, RunningHost},
    operator::{ChangeResult, SettingsClient},
    platform::TableClient,
    settings::SettingsChange,
};
use celerylead_stand_ins::{
    certificates::TestAuthority,
    engine::{EngineOptions, EngineStandIn},
    objects::ObjectStandIn,
    service::ServiceStandIn,
    table::TableStandIn,
};

/// API key of the playground's customer.
const KEY: &str = "cl-playground";
const ANY_PORT: &str = "127.0.0.1:0";
const ZONES: [&str; 2] = ["kgn", "spt"];

/// Stand-ins for the external systems that the hosts use.
struct StandIns {
    table: TableStandIn,
    objects: ObjectStandIn,
    engines: Vec<EngineStandIn>,
    service: ServiceStandIn,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    celerylead::log::start("warn")?;
    let stand_ins = start_stand_ins().await?;
    let table = stand_ins.table.address.as_str();
    apply(table, &settings_file(&stand_ins)).await?;
    let hosts = start_hosts(&stand_ins).await?;
    let listen = &hosts[0].listen;
    println!("table service: {table}");
    for host in &hosts {
        println!("host: callers {} admin {}", host.listen, host.admin_listen);
    }
    println!();
    println!("A first request:");
    println!();
    println!(
        "curl -N http://{listen}/v1/chat/completions \
         -H 'authorization: Bearer {KEY}' \
         -d '{{\"model\": \"outline\", \"stream\": true, \"messages\": \
         [{{\"role\": \"user\", \"content\": \"hello\"}}]}}'"
    );
    println!();
    println!("The operators' command line:");
    println!();
    println!("cargo run --bin celerylead -- --table {table} status");
    println!();
    println!("Press Ctrl-C to stop.");
    tokio::signal::ctrl_c().await?;
    for host in hosts {
        host.shut_down().await;
    }
    Ok(())
}

async fn start_stand_ins() -> anyhow::Result<StandIns> {
    let mut engines = Vec::new();
    for tokens_per_second in [80.0, 30.0] {
        let options =
            EngineOptions { tokens_per_second, ..EngineOptions::default() };
        engines.push(EngineStandIn::start(ANY_PORT, &options).await?);
    }
    Ok(StandIns {
        table: TableStandIn::start(ANY_PORT).await?,
        objects: ObjectStandIn::start(ANY_PORT).await?,
        engines,
        service: ServiceStandIn::start(ANY_PORT).await?,
    })
}

async fn start_hosts(
    stand_ins: &StandIns,
) -> anyhow::Result<Vec<RunningHost>> {
    let authority = TestAuthority::generate()?;
    let mut hosts = Vec::new();
    for zone in ZONES {
        let issued = authority.issue(&[celerylead::PEER_NAME])?;
        let options = HostOptions {
            host: format!("{zone}-1"),
            zone: zone.to_owned(),
            listen: ANY_PORT.to_owned(),
            peer_listen: ANY_PORT.to_owned(),
            peer_address: None,
            admin_listen: ANY_PORT.to_owned(),
            table: stand_ins.table.address.clone(),
            objects: Some(stand_ins.objects.address.clone()),
            seeds: Vec::new(),
            credential: "playground".to_owned(),
            identity: PeerIdentity {
                authority: issued.authority,
                certificate: issued.certificate,
                key: issued.key,
            },
            caller_tls: None,
            lease_ttl: Duration::from_secs(10),
            drain_grace: Duration::from_millis(500),
            drain_limit: Duration::from_secs(10),
        };
        hosts.push(celerylead::host::start(&options).await?);
    }
    Ok(hosts)
}

async fn apply(table: &str, file: &str) -> anyhow::Result<()> {
    let client = SettingsClient::new(&TableClient::new(table), "playground");
    let change = SettingsChange::Apply { file: file.to_owned() };
    let result = client.change(&change, "playground", None).await?;
    match result {
        ChangeResult::Accepted { .. } => Ok(()),
        other => Err(anyhow::anyhow!("{other:?}"))
            .context("the playground's settings weren't accepted"),
    }
}

/// Returns the playground's settings file. The tour in the README refers to
/// its names.
fn settings_file(stand_ins: &StandIns) -> String {
    let hash = CallerKey::presented(KEY).hash();
    let [fast, slow] = &stand_ins.engines[..] else { return String::new() };
    let (fast, slow) = (&fast.address, &slow.address);
    let service = &stand_ins.service.address;
    format!(
        r#"[defaults]
max_output_tokens = 64

[[region]]
name = "jm-south"

[[zone]]
name = "kgn"
region = "jm-south"

[[zone]]
name = "spt"
region = "jm-south"

[[group]]
name = "expander"
kind = "model"
set = {{ memory_mb = 1000 }}

[[group]]
name = "clerk-desk"
kind = "service"

[[runner]]
name = "expander-1"
group = "expander"
zone = "kgn"
address = "{fast}"

[[runner]]
name = "expander-2"
group = "expander"
zone = "spt"
address = "{slow}"

[[runner]]
name = "clerk-desk-1"
group = "clerk-desk"
zone = "kgn"
address = "{service}"

[[model]]
name = "outline"
group = "expander"
size_mb = 400

[[model]]
name = "ledger"
group = "expander"
size_mb = 300

[[service]]
name = "records"
group = "clerk-desk"

[[customer]]
name = "parish"
set = {{ rate = 500, burst = 2000 }}

[[key]]
name = "parish-desk"
customer = "parish"
sha256 = "{hash}"
"#
    )
}
