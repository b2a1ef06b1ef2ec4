//! Reading of the hosts' table, and this host's own row in it.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::{
    sync::{Notify, mpsc},
    time::Instant,
};

use super::gossip::GossipSetup;
use crate::{
    membership::HostRow,
    port::{RowChange, RowKey, RowPut, StorePort, StoreTable},
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

/// Reads the hosts' table every [`READ_PERIOD`], or earlier on request, and
/// writes this host's row if it is missing or was written by another process.
pub(super) async fn maintain_row(
    setup: GossipSetup,
    row_sender: mpsc::Sender<Vec<(HostRow, u64)>>,
    early_read: Arc<Notify>,
) {
    loop {
        let due = match sync_rows(&setup, &row_sender).await {
            Ok(true) if *setup.may_order.borrow() => READ_PERIOD,
            Ok(true) => RELAXED_READ_PERIOD,
            Ok(false) => RETRY_PERIOD,
            Err(error) => {
                tracing::info!(event = "store_failed", source = "hosts", %error);
                RETRY_PERIOD
            }
        };
        let jitter = rand::random_range(0.8..1.2);
        let read_at = Instant::now();
        tokio::select! {
            () = tokio::time::sleep_until(read_at + due.mul_f64(jitter)) => {}
            () = early_read.notified() => {
                let soonest = read_at + RETRY_PERIOD.mul_f64(jitter);
                tokio::time::sleep_until(soonest).await;
            }
        }
        if row_sender.is_closed() {
            return;
        }
    }
}

/// Reads the hosts' table and writes this host's row if necessary; returns
/// whether the row was already in place.
async fn sync_rows(
    setup: &GossipSetup,
    row_sender: &mpsc::Sender<Vec<(HostRow, u64)>>,
) -> anyhow::Result<bool> {
    let read = setup.store.read(StoreTable::Hosts).await;
    let reading = read.map_err(|fault| anyhow::anyhow!("{fault}"))?;
    let mut known = Vec::new();
    let mut version = 0;
    for row in &reading.rows {
        let RowChange::Written(row) = row else { continue };
        match serde_json::from_slice::<HostRow>(&row.value) {
            Ok(host) => {
                if host.host == setup.row.host {
                    version = row.version;
                }
                known.push((host, row.version));
            }
            Err(error) => {
                tracing::warn!(event = "host_unreadable", row = row.key, %error);
            }
        }
    }
    let in_place = known.iter().any(|(host, _)| *host == setup.row);
    let _ = row_sender.send(known).await;
    if !in_place {
        let key = setup.row.host.clone();
        let value = serde_json::to_vec(&setup.row)?;
        let put = RowPut {
            row: RowKey { table: StoreTable::Hosts, key },
            expected: version,
            value: Some(Bytes::from(value)),
        };
        let written = setup.store.write(put).await;
        written.map_err(|fault| anyhow::anyhow!("{fault}"))?;
    }
    Ok(in_place)
}

/// Removes the row of a host, unless it was written since this version.
pub(super) fn remove_row(store: &StorePort, host: &str, version: u64) {
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
