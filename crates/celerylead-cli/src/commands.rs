//! Implementation of the commands.

use std::{process::ExitCode, time::Duration};

use anyhow::Context as _;
use celerylead::{
    HostClock,
    customer::CallerKey,
    membership::{HostLease, LeasePhase},
    operator::{self, ChangeResult, SettingsClient},
    platform::TableClient,
    settings::{self, KeyGrant, SettingsChange, SettingsTree, VALUE_RULES},
};
use serde_json::json;

use crate::{
    flags::{KeyCommand, OperatorCommand, OperatorFlags},
    print::Printer,
};

/// The command failed, or its outcome is unknown.
pub(crate) const EXIT_FAILED: u8 = 1;
/// The change was rejected; nothing was changed.
const EXIT_REJECTED: u8 = 3;
/// Others have changed the settings meanwhile; nothing was changed.
const EXIT_CONFLICT: u8 = 4;
/// The change was accepted, but wasn't in force on every live host in time.
const EXIT_NOT_IN_FORCE: u8 = 5;
/// Interval between polls of the hosts' revisions.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Runs the command that the flags name.
pub(crate) async fn run(flags: &OperatorFlags) -> anyhow::Result<ExitCode> {
    let printer = Printer { format: flags.output };
    match &flags.operator_command {
        OperatorCommand::Check { file } => check(printer, file),
        OperatorCommand::Diff { file } => diff(flags, printer, file).await,
        OperatorCommand::Apply { base, change_id, file } => {
            let text = read_file(file)?;
            let change = SettingsChange::Apply { file: text };
            let id = change_id.clone().unwrap_or_else(new_change_id);
            change_settings(flags, printer, &change, &id, *base).await
        }
        OperatorCommand::Show { file: true, .. } => {
            print!("{}", settings_client(flags)?.state().await?.file);
            Ok(ExitCode::SUCCESS)
        }
        OperatorCommand::Show { branch, .. } => {
            show(flags, printer, branch.as_deref()).await
        }
        OperatorCommand::Key { command } => key(flags, printer, command).await,
        OperatorCommand::Status => status(flags, printer).await,
        OperatorCommand::Explain { host, customer, model } => {
            printer.record(&operator::explain(host, customer, model).await?);
            Ok(ExitCode::SUCCESS)
        }
        OperatorCommand::Audit => audit(flags, printer).await,
        OperatorCommand::Drain { name } => {
            let change = SettingsChange::Drain { name: name.clone() };
            change_settings(flags, printer, &change, &new_change_id(), None)
                .await
        }
        OperatorCommand::Resume { name } => {
            let change = SettingsChange::Resume { name: name.clone() };
            change_settings(flags, printer, &change, &new_change_id(), None)
                .await
        }
    }
}

fn check(printer: Printer, file: &str) -> anyhow::Result<ExitCode> {
    let text = read_file(file)?;
    let faults = match settings::parse(&text) {
        Ok(tree) => {
            let counts = json!({
                "accepted": true,
                "zones": tree.zones.len(),
                "runners": tree.runners.len(),
                "models": tree.models.len(),
                "adapters": tree.adapters.len(),
                "customers": tree.customers.len(),
                "keys": tree.keys.len(),
                "services": tree.services.len(),
            });
            printer.record(&counts);
            return Ok(ExitCode::SUCCESS);
        }
        Err(faults) => faults,
    };
    let lines: Vec<String> =
        faults.iter().map(|fault| format!("{file}: {fault}")).collect();
    printer.faults(&lines);
    Ok(ExitCode::from(EXIT_REJECTED))
}

async fn diff(
    flags: &OperatorFlags,
    printer: Printer,
    file: &str,
) -> anyhow::Result<ExitCode> {
    let text = read_file(file)?;
    let proposed = match settings::parse(&text) {
        Ok(tree) => tree,
        Err(faults) => {
            let faults: Vec<String> =
                faults.iter().map(|f| format!("{file}: {f}")).collect();
            printer.faults(&faults);
            return Ok(ExitCode::from(EXIT_REJECTED));
        }
    };
    let state = settings_client(flags)?.state().await?;
    let current = parse_current_file(&state.file)?;
    let proposed = branch_lines(&proposed);
    let current = branch_lines(&current);
    let removed = current.iter().filter(|line| !proposed.contains(line));
    let added = proposed.iter().filter(|line| !current.contains(line));
    let lines: Vec<String> = removed
        .map(|line| format!("- {line}"))
        .chain(added.map(|line| format!("+ {line}")))
        .collect();
    printer.lines("changes", &lines);
    Ok(ExitCode::SUCCESS)
}

/// Returns the lines that `diff` compares, sorted: one for each value at the
/// branch that sets it, each default that differs from the built-in one, and
/// each runner, model and key.
fn branch_lines(tree: &SettingsTree) -> Vec<String> {
    let mut lines: Vec<String> = tree
        .origins
        .iter()
        .filter(|value| value.origin == value.branch)
        .map(|value| {
            format!("{} {} = {}", value.branch, value.name, value.value)
        })
        .collect();
    let defaults = tree.defaults.entries().into_iter().zip(VALUE_RULES);
    lines.extend(
        defaults
            .filter(|((_, value), rule)| *value != rule.default)
            .map(|((name, value), _)| format!("defaults {name} = {value}")),
    );
    lines.extend(tree.runners.iter().map(|runner| {
        format!("runner/{} at {}", runner.name, runner.address)
    }));
    lines.extend(
        tree.models.iter().map(|model| {
            format!("model/{} of {} MB", model.name, model.size_mb)
        }),
    );
    lines.extend(
        tree.keys.iter().map(|key| {
            format!("key/{} of customer {}", key.name, key.customer)
        }),
    );
    lines.sort();
    lines
}

/// Makes a change, waits until it is in force on every live host or the wait
/// ends, and prints for each zone on how many hosts it is in force.
async fn change_settings(
    flags: &OperatorFlags,
    printer: Printer,
    change: &SettingsChange,
    change_id: &str,
    base: Option<u64>,
) -> anyhow::Result<ExitCode> {
    let client = settings_client(flags)?;
    let result = client.change(change, change_id, base).await;
    let result = result.with_context(|| {
        format!("the change {change_id} is in doubt; repeat it with its id")
    })?;
    let (revision, result_text) = match result {
        ChangeResult::Accepted { revision } => (revision, "accepted"),
        ChangeResult::AlreadyAccepted { revision } => {
            (revision, "already-accepted")
        }
        ChangeResult::Conflict { revision } => {
            printer.record(&json!({
                "result": "conflict",
                "revision": revision,
            }));
            return Ok(ExitCode::from(EXIT_CONFLICT));
        }
        ChangeResult::Rejected { faults } => {
            printer.faults(&faults);
            return Ok(ExitCode::from(EXIT_REJECTED));
        }
    };
    let limit = Duration::from_millis(flags.wait_ms);
    let zones = wait_until_in_force(&client, revision, limit).await?;
    let everywhere = zones.iter().all(|zone| zone.in_force == zone.live);
    printer.record(&json!({
        "result": result_text,
        "revision": revision,
        "change_id": change_id,
        "in_force_everywhere": everywhere,
    }));
    let lines: Vec<String> = zones.iter().map(ZoneProgress::line).collect();
    printer.lines("zones", &lines);
    if everywhere {
        return Ok(ExitCode::SUCCESS);
    }
    Ok(ExitCode::from(EXIT_NOT_IN_FORCE))
}

/// Number of hosts of a zone on which a revision is in force.
struct ZoneProgress {
    zone: String,
    live: usize,
    in_force: usize,
    /// Hosts whose lease has expired, so that their revision is unknown.
    expired: usize,
}

impl ZoneProgress {
    fn line(&self) -> String {
        format!(
            "zone {}: in force on {} of {} live hosts, {} hosts silent",
            self.zone, self.in_force, self.live, self.expired,
        )
    }
}

async fn wait_until_in_force(
    client: &SettingsClient,
    revision: u64,
    limit: Duration,
) -> anyhow::Result<Vec<ZoneProgress>> {
    let clock = HostClock::default();
    let deadline = clock.now().after(limit);
    loop {
        let leases = client.hosts().await?;
        let zones = zone_progress(&leases, revision, &clock);
        let everywhere = zones.iter().all(|zone| zone.in_force == zone.live);
        if everywhere || deadline <= clock.now() {
            return Ok(zones);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn zone_progress(
    leases: &[HostLease],
    revision: u64,
    clock: &HostClock,
) -> Vec<ZoneProgress> {
    let now = clock.now();
    let mut zones: Vec<ZoneProgress> = Vec::new();
    for lease in leases {
        if lease.phase == LeasePhase::Released {
            continue;
        }
        if zones.last().is_none_or(|zone| zone.zone != lease.zone) {
            zones.push(ZoneProgress {
                zone: lease.zone.clone(),
                live: 0,
                in_force: 0,
                expired: 0,
            });
        }
        let Some(zone) = zones.last_mut() else { continue };
        if lease.deadline <= now {
            zone.expired += 1;
            continue;
        }
        zone.live += 1;
        zone.in_force += usize::from(revision <= lease.revision);
    }
    zones
}

async fn show(
    flags: &OperatorFlags,
    printer: Printer,
    branch: Option<&str>,
) -> anyhow::Result<ExitCode> {
    let state = settings_client(flags)?.state().await?;
    let Some(branch) = branch else {
        printer.record(&json!({
            "revision": state.revision,
            "change_id": state.change_id,
            "keys_given": state.given.len(),
            "keys_withdrawn": state.withdrawn.len(),
            "draining": state.draining,
        }));
        let lines: Vec<String> =
            state.file.lines().map(str::to_owned).collect();
        printer.lines("file", &lines);
        return Ok(ExitCode::SUCCESS);
    };
    let tree = parse_current_file(&state.file)?;
    let values = tree.origins.iter().filter(|value| value.branch == branch);
    let lines: Vec<String> = values
        .map(|value| {
            format!("{} = {} from {}", value.name, value.value, value.origin)
        })
        .collect();
    if lines.is_empty() {
        anyhow::bail!("there is no branch {branch:?}");
    }
    printer.lines(branch, &lines);
    Ok(ExitCode::SUCCESS)
}

async fn key(
    flags: &OperatorFlags,
    printer: Printer,
    command: &KeyCommand,
) -> anyhow::Result<ExitCode> {
    match command {
        KeyCommand::Give { name, customer } => {
            let key = CallerKey::random();
            let change = SettingsChange::GiveKey {
                key: KeyGrant {
                    hash: key.hash(),
                    name: name.clone(),
                    customer: customer.clone(),
                },
            };
            // The key is printed before the change is made. If the response
            // were lost, the key could be in force without being known.
            printer.record(&json!({ "key": key.reveal() }));
            let id = new_change_id();
            change_settings(flags, printer, &change, &id, None).await
        }
        KeyCommand::Withdraw { key } => {
            let state = settings_client(flags)?.state().await?;
            let tree = state.tree().map_err(|_| unreadable_state_error())?;
            let named = tree.keys.iter().find(|entry| entry.name == *key);
            let hash = match named {
                Some(entry) => entry.hash,
                None => key.parse().with_context(|| {
                    format!("{key:?} is neither a key's name nor a hash")
                })?,
            };
            let change = SettingsChange::WithdrawKey { hash };
            let id = new_change_id();
            change_settings(flags, printer, &change, &id, None).await
        }
        KeyCommand::List => {
            let state = settings_client(flags)?.state().await?;
            let tree = state.tree().map_err(|_| unreadable_state_error())?;
            let lines: Vec<String> = tree
                .keys
                .iter()
                .map(|key| {
                    format!(
                        "{} of customer {}, hash {}",
                        key.name,
                        key.customer,
                        key.hash.short(),
                    )
                })
                .collect();
            printer.lines("keys", &lines);
            Ok(ExitCode::SUCCESS)
        }
    }
}

async fn status(
    flags: &OperatorFlags,
    printer: Printer,
) -> anyhow::Result<ExitCode> {
    let client = settings_client(flags)?;
    let state = client.state().await?;
    let leases = client.hosts().await?;
    let now = HostClock::default().now();
    let lines: Vec<String> = leases
        .iter()
        .map(|lease| {
            let status_text = match lease.phase {
                LeasePhase::Released => "left",
                LeasePhase::Serving if lease.deadline <= now => "silent",
                LeasePhase::Serving if lease.revision < state.revision => {
                    "behind"
                }
                LeasePhase::Serving => "current",
            };
            format!(
                "{} in zone {}: {status_text}, revision {}",
                lease.tag.host, lease.zone, lease.revision,
            )
        })
        .collect();
    printer.record(&json!({ "revision": state.revision }));
    printer.lines("hosts", &lines);
    let shares = client.shares().await?;
    let lines: Vec<String> = shares
        .iter()
        .flat_map(|row| row.parts.iter().map(|part| (&row.customer, part)))
        .map(|(customer, part)| {
            let holder = part.holder.as_ref();
            let holder = holder.map_or("nobody", |held| &held.tag.host);
            format!(
                "{customer}, zone {}, {}: {} ppm held by {holder}",
                part.zone,
                part.kind.name(),
                part.ppm,
            )
        })
        .collect();
    printer.lines("shares", &lines);
    Ok(ExitCode::SUCCESS)
}

async fn audit(
    flags: &OperatorFlags,
    printer: Printer,
) -> anyhow::Result<ExitCode> {
    let trail = settings_client(flags)?.audit().await?;
    let lines: Vec<String> = trail
        .iter()
        .map(|entry| {
            format!(
                "revision {} at {} by {}: {} (change {})",
                entry.revision,
                entry.at,
                entry.operator,
                entry.summary,
                entry.change_id,
            )
        })
        .collect();
    printer.lines("audit", &lines);
    Ok(ExitCode::SUCCESS)
}

fn settings_client(flags: &OperatorFlags) -> anyhow::Result<SettingsClient> {
    let table = flags.table.as_deref().context(
        "--table or CELERYLEAD_TABLE has to name the table service",
    )?;
    if table.parse::<std::net::SocketAddr>().is_err() {
        anyhow::bail!("--table is {table:?}, accepted: IP:PORT");
    }
    let operator = match &flags.operator {
        Some(operator) => operator.clone(),
        None => std::env::var("USER").unwrap_or_else(|_| "unnamed".to_owned()),
    };
    Ok(SettingsClient::new(&TableClient::new(table), &operator))
}

fn parse_current_file(text: &str) -> anyhow::Result<SettingsTree> {
    settings::parse(text).map_err(|_| unreadable_state_error())
}

fn unreadable_state_error() -> anyhow::Error {
    anyhow::anyhow!(
        "this version of the command can't parse the settings in force"
    )
}

fn read_file(file: &str) -> anyhow::Result<String> {
    std::fs::read_to_string(file)
        .with_context(|| format!("{file} can't be read"))
}

fn new_change_id() -> String {
    let key = CallerKey::random();
    format!("change-{}", key.hash().short())
}
