//! What the placer sends: orders and reports to runners, and the lease's row.
//!
//! Each is a future of its own; the placer is told how it ended.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Limited};
use tokio::time::Instant;

use crate::{
    clock::EpochMillis,
    membership::{LeaseClaim, OrdersRow},
    placement::{LoadSource, OrderAttempt, SendOutcome},
    port::{
        EdgeCodec, EngineReport, HttpLink, PlacementOrder, RowChange, RowKey,
        RowPut, SendFault, StorePort, StoreTable,
    },
    roster::RunnerFacts,
    step::{StepContext as _, StepName},
};

/// Longest wait for an answer of a runner to an order or for a report.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);
/// Largest report of a runner.
const MAX_REPORT_BYTES: usize = 1 << 20;
/// Key of the lease's row.
const LEASE_KEY: &str = "placement";

/// How a call about the lease's row ended.
pub(super) enum LeaseEnd {
    /// The row was read, with its version.
    Read(Option<OrdersRow>, u64),
    /// The row was written as this version, or its condition didn't hold.
    Claimed(LeaseClaim, Option<u64>),
    /// The store didn't answer, or with something unreadable.
    StoreFailed,
}

/// Logs that an order goes out, with what it was decided on.
pub(super) fn log_send(sent: &OrderAttempt, facts: &RunnerFacts) {
    let order = &sent.order;
    tracing::info!(
        event = "order_sent",
        runner = order.runner,
        kind = ?order.kind,
        model = order.model,
        adapter = order.adapter,
        expected = order.expected,
        fencing = order.fencing,
        source = sent.source.map(|source| match source {
            LoadSource::Store => "store",
            LoadSource::Copy => "copy",
        }),
        entry_orders = facts.orders,
        attempt = sent.attempt,
    );
}

pub(super) fn log_end(
    sent: &OrderAttempt,
    end: SendOutcome,
    now: EpochMillis,
) {
    let order = &sent.order;
    tracing::info!(
        event = "order_ended",
        runner = order.runner,
        kind = ?order.kind,
        model = order.model,
        adapter = order.adapter,
        expected = order.expected,
        fencing = order.fencing,
        attempt = sent.attempt,
        given_ms = sent.given_at.until(now).as_millis() as u64,
        verdict = ?end,
    );
}

pub(super) async fn read_lease(store: &StorePort) -> LeaseEnd {
    let reading = match store.read(StoreTable::Leases).await {
        Ok(reading) => reading,
        Err(fault) => {
            tracing::info!(event = "store_failed", source = "lease", error = %fault);
            return LeaseEnd::StoreFailed;
        }
    };
    let row = reading.rows.iter().find_map(|row| match row {
        RowChange::Written(row) if row.key == LEASE_KEY => Some(row),
        _ => None,
    });
    let Some(row) = row else { return LeaseEnd::Read(None, 0) };
    match serde_json::from_slice(&row.value) {
        Ok(held) => LeaseEnd::Read(Some(held), row.version),
        Err(error) => {
            tracing::warn!(event = "lease_unreadable", %error);
            LeaseEnd::StoreFailed
        }
    }
}

pub(super) async fn write_claim(
    store: &StorePort,
    claim: LeaseClaim,
) -> LeaseEnd {
    let value = match serde_json::to_vec(&claim.row) {
        Ok(value) => value,
        Err(error) => {
            tracing::error!(event = "lease_unwritable", %error);
            return LeaseEnd::StoreFailed;
        }
    };
    let put = RowPut {
        row: RowKey { table: StoreTable::Leases, key: LEASE_KEY.to_owned() },
        expected: claim.expected,
        value: Some(Bytes::from(value)),
    };
    match store.write(put).await {
        Ok(version) => LeaseEnd::Claimed(claim, version),
        Err(fault) => {
            tracing::info!(event = "store_failed", source = "lease", error = %fault);
            LeaseEnd::StoreFailed
        }
    }
}

/// Sends an order and waits for its answer; an error says whether it may
/// have been received.
pub(super) async fn send_order<C: EdgeCodec>(
    codec: &C,
    facts: &RunnerFacts,
    order: &PlacementOrder,
    may: impl Fn() -> bool,
) -> Result<SendOutcome, (SendOutcome, anyhow::Error)> {
    let unsent = |error| (SendOutcome::Unsent, error);
    let request = codec.order(order, &facts.address).map_err(unsent)?;
    let deadline = Instant::now() + ORDER_TIMEOUT;
    let link = HttpLink::open(&facts.address, deadline).await;
    let mut link = link.map_err(unsent)?;
    if !may() {
        let reason = "the lease on orders ran out before the order was sent";
        return Err(unsent(anyhow::anyhow!(reason)));
    }
    match link.send(request, deadline).await {
        Ok(response) => {
            let (head, _) = response.into_parts();
            Ok(SendOutcome::Answered(codec.judge_order(&head)))
        }
        Err(SendFault::Unsent(_, error)) => Err(unsent(error)),
        Err(fault) => Err((SendOutcome::Lost, fault.into_error())),
    }
}

pub(super) async fn fetch_report<C: EdgeCodec>(
    codec: &C,
    facts: &RunnerFacts,
) -> anyhow::Result<EngineReport> {
    let request = codec.ask_report(&facts.id, &facts.address)?;
    let deadline = Instant::now() + ORDER_TIMEOUT;
    let mut link = HttpLink::open(&facts.address, deadline).await?;
    let response = sent(link.send(request, deadline).await, facts)?;
    if !response.status().is_success() {
        anyhow::bail!("the report has status {}", response.status());
    }
    let body = Limited::new(response.into_body(), MAX_REPORT_BYTES);
    let body = tokio::time::timeout_at(deadline, body.collect()).await?;
    let body = body.map_err(|error| anyhow::anyhow!("{error}"))?;
    codec.read_report(&body.to_bytes())
}

fn sent<T>(
    answer: Result<T, SendFault>,
    facts: &RunnerFacts,
) -> anyhow::Result<T> {
    let answer = answer.map_err(SendFault::into_error);
    answer.at(StepName::AwaitHead, &facts.address)
}
