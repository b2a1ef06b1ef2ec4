//! Entry host daemon: reads flags and environment, starts logging and handles
//! signals.

use std::time::Duration;

use anyhow::Context as _;
use bpaf::Bpaf;
use celerylead::{PeerIdentity, host::HostOptions};
use tokio::signal::unix::{SignalKind, signal};

/// Entry host of celerylead: serves callers from backend servers
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct HostFlags {
    /// Name of this host, unique in the fleet
    #[bpaf(env("CELERYLEAD_HOST"), argument("NAME"))]
    host: String,
    /// Availability zone of this host, as named in the settings
    #[bpaf(env("CELERYLEAD_ZONE"), argument("NAME"))]
    zone: String,
    /// Address for callers
    #[bpaf(env("CELERYLEAD_LISTEN"), argument("IP:PORT"), fallback("127.0.0.1:8080".to_owned()), display_fallback)]
    listen: String,
    /// Address for other hosts (UDP)
    #[bpaf(env("CELERYLEAD_PEER_LISTEN"), argument("IP:PORT"), fallback("127.0.0.1:8081".to_owned()), display_fallback)]
    peer_listen: String,
    /// Address at which other hosts reach this one, where it differs
    #[bpaf(env("CELERYLEAD_PEER_ADDRESS"), argument("IP:PORT"), optional)]
    peer_address: Option<String>,
    /// Address for health, status and metrics
    #[bpaf(env("CELERYLEAD_ADMIN_LISTEN"), argument("IP:PORT"), fallback("127.0.0.1:8082".to_owned()), display_fallback)]
    admin_listen: String,
    /// Address of the platform's table service
    #[bpaf(env("CELERYLEAD_TABLE"), argument("IP:PORT"))]
    table: String,
    /// Address of the platform's object store, for usage records
    #[bpaf(env("CELERYLEAD_OBJECTS"), argument("IP:PORT"), optional)]
    objects: Option<String>,
    /// Peer address of another host to get settings from when the table
    /// service is down at startup; may be repeated
    #[bpaf(argument("IP:PORT"))]
    seed: Vec<String>,
    /// Credential sent to backend servers; better set by environment variable
    #[bpaf(env("CELERYLEAD_CREDENTIAL"), argument("SECRET"))]
    credential: String,
    /// PEM file of the certificate authority whose hosts are accepted
    #[bpaf(env("CELERYLEAD_PEER_AUTHORITY"), argument("FILE"))]
    peer_authority: String,
    /// PEM file of this host's certificate for other hosts
    #[bpaf(env("CELERYLEAD_PEER_CERTIFICATE"), argument("FILE"))]
    peer_certificate: String,
    /// PEM file of this host's private key for other hosts
    #[bpaf(env("CELERYLEAD_PEER_KEY"), argument("FILE"))]
    peer_key: String,
    /// PEM file of the certificate chain for callers; without it callers
    /// use plain HTTP
    #[bpaf(env("CELERYLEAD_TLS_CERTIFICATE"), argument("FILE"), optional)]
    tls_certificate: Option<String>,
    /// PEM file of the private key for callers
    #[bpaf(env("CELERYLEAD_TLS_KEY"), argument("FILE"), optional)]
    tls_key: Option<String>,
    /// Milliseconds for which the host's lease is valid without renewal
    #[bpaf(
        env("CELERYLEAD_LEASE_TTL_MS"),
        argument("MS"),
        fallback(10_000),
        display_fallback
    )]
    lease_ttl_ms: u64,
    /// Milliseconds for which a leaving host still accepts new callers
    #[bpaf(
        env("CELERYLEAD_DRAIN_GRACE_MS"),
        argument("MS"),
        fallback(10_000),
        display_fallback
    )]
    drain_grace_ms: u64,
    /// Longest time, in milliseconds, for which a leaving host waits for
    /// unfinished responses
    #[bpaf(
        env("CELERYLEAD_DRAIN_LIMIT_MS"),
        argument("MS"),
        fallback(300_000),
        display_fallback
    )]
    drain_limit_ms: u64,
    /// Number of worker threads; one uses the least processor time for a token
    #[bpaf(
        env("CELERYLEAD_THREADS"),
        argument("COUNT"),
        fallback(1),
        display_fallback
    )]
    threads: usize,
    /// Log filter, such as info or celerylead=debug
    #[bpaf(env("CELERYLEAD_LOG"), argument("FILTER"), fallback("info".to_owned()), display_fallback)]
    log: String,
}

const NAME_RANGE: &str = "1 to 64 letters, digits, '-' and '_'";
const ADDRESS_RANGE: &str = "IP:PORT";
const LEASE_TTL_RANGE: &str = "4000 to 60000 ms";
const DRAIN_RANGE: &str = "0 to 3600000 ms";

/// Checks the values of all flags. The error names the flag, its value and the
/// accepted range.
fn check(flags: &HostFlags) -> anyhow::Result<()> {
    let names = [("--host", &flags.host), ("--zone", &flags.zone)];
    for (flag, name) in names {
        ensure_valid(flag, name, is_name(name), NAME_RANGE)?;
    }
    let addresses = [
        ("--listen", Some(&flags.listen)),
        ("--peer-listen", Some(&flags.peer_listen)),
        ("--peer-address", flags.peer_address.as_ref()),
        ("--admin-listen", Some(&flags.admin_listen)),
        ("--table", Some(&flags.table)),
        ("--objects", flags.objects.as_ref()),
    ];
    let seeds = flags.seed.iter().map(|seed| ("--seed", Some(seed)));
    for (flag, address) in addresses.into_iter().chain(seeds) {
        let Some(address) = address else { continue };
        ensure_valid(flag, address, is_address(address), ADDRESS_RANGE)?;
    }
    let ttl = flags.lease_ttl_ms;
    let is_valid = (4_000..=60_000).contains(&ttl);
    ensure_valid(
        "--lease-ttl-ms",
        &ttl.to_string(),
        is_valid,
        LEASE_TTL_RANGE,
    )?;
    let is_valid = (1..=256).contains(&flags.threads);
    ensure_valid(
        "--threads",
        &flags.threads.to_string(),
        is_valid,
        "1 to 256",
    )?;
    let drain_durations = [
        ("--drain-grace-ms", flags.drain_grace_ms),
        ("--drain-limit-ms", flags.drain_limit_ms),
    ];
    for (flag, millis) in drain_durations {
        let is_valid = millis <= 3_600_000;
        ensure_valid(flag, &millis.to_string(), is_valid, DRAIN_RANGE)?;
    }
    Ok(())
}

fn ensure_valid(
    flag: &str,
    value: &str,
    is_valid: bool,
    range: &str,
) -> anyhow::Result<()> {
    if !is_valid {
        anyhow::bail!("{flag} is {value:?}, accepted: {range}");
    }
    Ok(())
}

fn is_name(text: &str) -> bool {
    let is_allowed =
        |byte: u8| byte.is_ascii_alphanumeric() || b"-_".contains(&byte);
    (1..=64).contains(&text.len()) && text.bytes().all(is_allowed)
}

fn is_address(text: &str) -> bool {
    text.parse::<std::net::SocketAddr>().is_ok()
}

fn main() -> anyhow::Result<()> {
    let flags = host_flags().run();
    celerylead::log::start(&flags.log)
        .with_context(|| format!("--log is {:?}", flags.log))?;
    check(&flags)?;
    let options = options(&flags)?;
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(flags.threads)
        .enable_all()
        .build()?
        .block_on(run(&options))
}

async fn run(options: &HostOptions) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let host = celerylead::host::start(options).await?;
    println!(
        "listening={} peer={} admin={}",
        host.listen, host.peer_listen, host.admin_listen,
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    host.shut_down().await;
    Ok(())
}

fn options(flags: &HostFlags) -> anyhow::Result<HostOptions> {
    let caller_tls = match (&flags.tls_certificate, &flags.tls_key) {
        (Some(chain), Some(key)) => {
            let chain = read("--tls-certificate", chain)?;
            Some((chain, read("--tls-key", key)?))
        }
        (None, None) => None,
        _ => anyhow::bail!(
            "--tls-certificate and --tls-key are accepted only together"
        ),
    };
    Ok(HostOptions {
        host: flags.host.clone(),
        zone: flags.zone.clone(),
        listen: flags.listen.clone(),
        peer_listen: flags.peer_listen.clone(),
        peer_address: flags.peer_address.clone(),
        admin_listen: flags.admin_listen.clone(),
        table: flags.table.clone(),
        objects: flags.objects.clone(),
        seeds: flags.seed.clone(),
        credential: flags.credential.clone(),
        identity: PeerIdentity {
            authority: read("--peer-authority", &flags.peer_authority)?,
            certificate: read("--peer-certificate", &flags.peer_certificate)?,
            key: read("--peer-key", &flags.peer_key)?,
        },
        caller_tls,
        lease_ttl: Duration::from_millis(flags.lease_ttl_ms),
        drain_grace: Duration::from_millis(flags.drain_grace_ms),
        drain_limit: Duration::from_millis(flags.drain_limit_ms),
    })
}

fn read(flag: &str, file: &str) -> anyhow::Result<String> {
    std::fs::read_to_string(file).with_context(|| {
        format!("{flag} names a file that can't be read: {file}")
    })
}
