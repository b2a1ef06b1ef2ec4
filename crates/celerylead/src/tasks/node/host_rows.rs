//! Reading of the hosts' table, and this host's own row in it.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::{
    sync::{Notify, mpsc},
    time::Instant,
};

use super::{
    gossip::GossipSetup,
    router_port::{KeptState, RouterEvent, RouterPort},
};
use crate::{
    clock::EpochMillis,
    membership::HostRow,
    port::{RowChange, RowKey, RowPut, StorePort, StoreTable},
    quarantine::KeptVerdict,
    request::RetryClaim,
    store_version::StoreVersion,
};

/// Time between two reads of the hosts' table while nothing requires an
/// earlier one.
const READ_PERIOD: Duration = Duration::from_millis(10_000);
/// The same in a large fleet for a host that isn't an aggregator, which sends
/// digests to few others.
const RELAXED_READ_PERIOD: Duration = Duration::from_millis(30_000);
/// Time until the next read after a failed read, after a read in which this
/// host's row was missing or outdated, or when a digest arrives from a host
/// that isn't in the table. Also the shortest time between two reads.
const RETRY_PERIOD: Duration = Duration::from_millis(700);

/// What a read of the hosts' table has shown.
pub(super) struct HostsReading {
    /// Rows with their versions.
    pub(super) rows: Vec<(HostRow, StoreVersion)>,
    /// What the rows keep for a process that starts, in the first reading.
    pub(super) kept: Option<KeptState>,
}

/// The task that keeps this host's row.
struct RowKeeper {
    setup: GossipSetup,
    /// The row as this process writes it.
    row: HostRow,
    /// Version of the row in the table; its number is 0 if there is none.
    version: StoreVersion,
    /// Whether the table holds the row as this process writes it.
    in_place: bool,
    /// Whether the table has been read.
    has_read: bool,
    /// A time of the store's clock, and a time of the host's clock that isn't
    /// after it.
    store_time: (EpochMillis, EpochMillis),
}

/// Reads the hosts' table every [`READ_PERIOD`], or earlier on request, and
/// writes this host's row if it is missing or was written by another process,
/// when the router claims retries, or when a verdict is to be kept.
pub(super) async fn maintain_row(
    setup: GossipSetup,
    row_sender: mpsc::Sender<HostsReading>,
    early_read: Arc<Notify>,
    router: RouterPort,
) {
    let mut claims = setup.claims.clone();
    let mut verdicts = setup.verdicts.clone();
    let mut keeper = RowKeeper {
        row: setup.row.clone(),
        version: StoreVersion::default(),
        in_place: false,
        has_read: false,
        store_time: (EpochMillis::default(), EpochMillis::default()),
        setup,
    };
    loop {
        let due = match keeper.sync(&row_sender).await {
            Ok(true) if *keeper.setup.may_order.borrow() => READ_PERIOD,
            Ok(true) => RELAXED_READ_PERIOD,
            Ok(false) => RETRY_PERIOD,
            Err(error) => {
                tracing::info!(event = "store_failed", source = "hosts", %error);
                RETRY_PERIOD
            }
        };
        let jitter = rand::random_range(0.8..1.2);
        let read_at = Instant::now();
        let mut next_read = read_at + due.mul_f64(jitter);
        loop {
            tokio::select! {
                () = tokio::time::sleep_until(next_read) => break,
                () = early_read.notified() => {
                    let soonest = read_at + RETRY_PERIOD.mul_f64(jitter);
                    next_read = next_read.min(soonest);
                }
                Ok(()) = claims.changed() => {
                    let claimed = claims.borrow_and_update().clone();
                    let is_written = keeper.write_claims(claimed).await;
                    let event = RouterEvent::ClaimsWritten(is_written);
                    let _ = router.sender.send(event).await;
                    if !is_written {
                        next_read = next_read.min(read_at + RETRY_PERIOD);
                    }
                }
                Ok(()) = verdicts.changed() => {
                    let kept = verdicts.borrow_and_update().clone();
                    if !keeper.write_verdicts(&kept).await {
                        next_read = next_read.min(read_at + RETRY_PERIOD);
                    }
                }
            }
        }
        if row_sender.is_closed() {
            return;
        }
    }
}

impl RowKeeper {
    /// Reads the hosts' table and writes this host's row if necessary; returns
    /// whether the row was already in place.
    async fn sync(
        &mut self,
        row_sender: &mpsc::Sender<HostsReading>,
    ) -> anyhow::Result<bool> {
        let asked_at = self.setup.clock.now();
        let read = self.setup.store.read(StoreTable::Hosts).await;
        let reading = read.map_err(|fault| anyhow::anyhow!("{fault}"))?;
        self.store_time = (reading.store_time, asked_at);
        let mut known = Vec::new();
        let mut former = None;
        self.version = StoreVersion::new(reading.version.era(), 0);
        for row in &reading.rows {
            let RowChange::Written(row) = row else { continue };
            match serde_json::from_slice::<HostRow>(&row.value) {
                Ok(host) => {
                    if host.host == self.row.host {
                        self.version = row.version;
                        former = Some(host.clone());
                    }
                    known.push((host, row.version));
                }
                Err(error) => {
                    tracing::warn!(event = "host_unreadable", row = row.key, %error);
                }
            }
        }
        let in_place = former.as_ref() == Some(&self.row);
        let kept = (!self.has_read).then(|| {
            self.has_read = true;
            if let Some(former) = former {
                self.row.retry_claims = former.retry_claims;
                self.row.verdicts = former.verdicts;
            }
            self.kept_state(&known)
        });
        self.in_place = in_place;
        let _ = row_sender.send(HostsReading { rows: known, kept }).await;
        if !in_place {
            self.write().await?;
        }
        Ok(in_place)
    }

    /// Returns what the rows keep for this process, with times of its clock.
    fn kept_state(&self, rows: &[(HostRow, StoreVersion)]) -> KeptState {
        let claims = self.row.retry_claims.iter();
        let claims = claims.map(|claim| claim.at_clock(|t| self.host_time(t)));
        let verdicts = rows.iter().flat_map(|(row, _)| &row.verdicts);
        let verdicts =
            verdicts.map(|verdict| verdict.at_clock(|t| self.host_time(t)));
        KeptState { claims: claims.collect(), verdicts: verdicts.collect() }
    }

    /// Writes the row with these verdicts, which have times of the host's clock,
    /// if it is this host's to keep them or it holds others. Returns whether the
    /// row is as it should be.
    async fn write_verdicts(&mut self, verdicts: &[KeptVerdict]) -> bool {
        let is_keeper = *self.setup.is_reader.borrow();
        if !is_keeper && self.row.verdicts.is_empty() {
            return true;
        }
        let verdicts = verdicts
            .iter()
            .map(|verdict| verdict.at_clock(|at| self.store_time_at(at)));
        self.row.verdicts = verdicts.collect();
        self.write_kept("verdicts").await
    }

    /// Writes the row with these claims, which have times of the host's clock.
    /// Returns whether it is certainly written.
    async fn write_claims(&mut self, claims: Vec<RetryClaim>) -> bool {
        let claims = claims
            .iter()
            .map(|claim| claim.at_clock(|at| self.store_time_at(at)));
        self.row.retry_claims = claims.collect();
        self.write_kept("claims").await
    }

    /// Writes the row once the table has been read; returns whether it is
    /// certainly written.
    async fn write_kept(&mut self, source: &str) -> bool {
        if !self.has_read {
            return false;
        }
        let written = self.write().await;
        if let Err(error) = &written {
            tracing::info!(event = "store_failed", source, %error);
        }
        self.in_place = matches!(written, Ok(true));
        self.in_place
    }

    /// Writes the row if its version hasn't changed since the last read.
    async fn write(&mut self) -> anyhow::Result<bool> {
        let key = self.row.host.clone();
        let value = serde_json::to_vec(&self.row)?;
        let put = RowPut {
            row: RowKey { table: StoreTable::Hosts, key },
            expected: self.version,
            value: Some(Bytes::from(value)),
        };
        let written = self.setup.store.write(put).await;
        let version = written.map_err(|fault| anyhow::anyhow!("{fault}"))?;
        self.version = version.unwrap_or(self.version);
        Ok(version.is_some())
    }

    /// Converts a time of the store's clock; the result isn't too early.
    fn host_time(&self, at: EpochMillis) -> EpochMillis {
        let (store, _) = self.store_time;
        let now = self.setup.clock.now();
        if store <= at {
            now.after(store.until(at))
        } else {
            now.before(at.until(store))
        }
    }

    /// Converts a time of the host's clock; the result isn't too early.
    fn store_time_at(&self, at: EpochMillis) -> EpochMillis {
        let (store, host) = self.store_time;
        if host <= at {
            store.after(host.until(at))
        } else {
            store.before(at.until(host))
        }
    }
}

/// Removes the row of a host, unless it was written since this version.
pub(super) fn remove_row(
    store: &StorePort,
    host: &str,
    version: StoreVersion,
) {
    let put = RowPut {
        row: RowKey { table: StoreTable::Hosts, key: host.to_owned() },
        expected: version,
        value: None,
    };
    let store = store.clone();
    crate::tasks::spawn(async move {
        if let Err(fault) = store.write(put).await {
            tracing::info!(
                event = "store_failed",
                source = "hosts",
                error = %fault,
            );
        }
    });
}
