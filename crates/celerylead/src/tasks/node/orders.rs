//! Requests of the placer: orders and report requests to runners, reads and
//! writes of the lease's row.
//!
//! Each request is a separate future, whose result the placer receives.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Limited};
use tokio::time::Instant;

use crate::{
    clock::EpochMillis,
    membership::{LeaseClaim, StoredOrdersRow},
    placement::{LoadSource, OrderAttempt, SendOutcome},
    port::{
        EdgeCodec, EngineReport, HttpLink, PlacementOrder, RowChange, RowKey,
        RowPut, SendFault, StorePort, StoreTable,
    },
    roster::RunnerFacts,
    step::{StepContext as _, StepName},
    store_version::StoreVersion,
};

/// Longest wait for the answer of a runner to an order or a report request.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);
/// Largest report that is accepted from a runner.
const MAX_REPORT_BYTES: usize = 1 << 20;
const LEASE_KEY: &str = "placement";

/// Outcome of a store call on the lease's row.
pub(super) enum LeaseOutcome {
    /// The row was read, with its version, whose number is 0 without a row.
    Read(Option<StoredOrdersRow>, StoreVersion),
    /// The row was written as this version; `None` if the stored row didn't
    /// have the expected version.
    Claimed(LeaseClaim, Option<StoreVersion>),
    /// The store didn't answer, its answer couldn't be decoded, or the claim
    /// couldn't be encoded.
    StoreFailed,
}

/// Logs that an order is sent, with the state of the runner on which it was
/// decided.
pub(super) fn log_order_sent(sent: &OrderAttempt, facts: &RunnerFacts) {
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

pub(super) fn log_order_ended(
    sent: &OrderAttempt,
    outcome: SendOutcome,
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
        given_ms = sent.first_sent_at.until(now).as_millis() as u64,
        verdict = ?outcome,
    );
}

/// Reads the orders lease's row from the store.
pub(super) async fn read_lease(store: &StorePort) -> LeaseOutcome {
    let reading = match store.read(StoreTable::Leases).await {
        Ok(reading) => reading,
        Err(fault) => {
            tracing::info!(event = "store_failed", source = "lease", error = %fault);
            return LeaseOutcome::StoreFailed;
        }
    };
    let row = reading.rows.iter().find_map(|row| match row {
        RowChange::Written(row) if row.key == LEASE_KEY => Some(row),
        _ => None,
    });
    let Some(row) = row else {
        let absent = StoreVersion::new(reading.version.era(), 0);
        return LeaseOutcome::Read(None, absent);
    };
    match serde_json::from_slice(&row.value) {
        Ok(orders_row) => LeaseOutcome::Read(Some(orders_row), row.version),
        Err(error) => {
            tracing::warn!(event = "lease_unreadable", %error);
            LeaseOutcome::StoreFailed
        }
    }
}

pub(super) async fn write_claim(
    store: &StorePort,
    claim: LeaseClaim,
) -> LeaseOutcome {
    let value = match serde_json::to_vec(&claim.row) {
        Ok(value) => value,
        Err(error) => {
            tracing::error!(event = "lease_unwritable", %error);
            return LeaseOutcome::StoreFailed;
        }
    };
    let put = RowPut {
        row: RowKey { table: StoreTable::Leases, key: LEASE_KEY.to_owned() },
        expected: claim.expected,
        value: Some(Bytes::from(value)),
    };
    match store.write(put).await {
        Ok(version) => LeaseOutcome::Claimed(claim, version),
        Err(fault) => {
            tracing::info!(event = "store_failed", source = "lease", error = %fault);
            LeaseOutcome::StoreFailed
        }
    }
}

/// Sends an order and waits for its answer. An error contains the outcome of
/// the order, which says whether the runner may have received it. `may_send`
/// is checked just before the order is written.
pub(super) async fn send_order<C: EdgeCodec>(
    codec: &C,
    facts: &RunnerFacts,
    order: &PlacementOrder,
    may_send: impl Fn() -> bool,
) -> Result<SendOutcome, (SendOutcome, anyhow::Error)> {
    let unsent = |error| (SendOutcome::Unsent, error);
    let request =
        codec.order_request(order, &facts.address).map_err(unsent)?;
    let deadline = Instant::now() + ORDER_TIMEOUT;
    let link = HttpLink::open(&facts.address, deadline).await;
    let mut link = link.map_err(unsent)?;
    if !may_send() {
        let reason = "the orders lease ended before the order was sent";
        return Err(unsent(anyhow::anyhow!(reason)));
    }
    match link.send(request, deadline).await {
        Ok(response) => {
            let (head, _) = response.into_parts();
            Ok(SendOutcome::Answered(codec.classify_order_answer(&head)))
        }
        Err(SendFault::Unsent(_, error)) => Err(unsent(error)),
        Err(fault) => Err((SendOutcome::Lost, fault.into_error())),
    }
}

/// Requests the report of a runner.
pub(super) async fn fetch_report<C: EdgeCodec>(
    codec: &C,
    facts: &RunnerFacts,
) -> anyhow::Result<EngineReport> {
    let request = codec.report_request(&facts.id, &facts.address)?;
    let deadline = Instant::now() + ORDER_TIMEOUT;
    let mut link = HttpLink::open(&facts.address, deadline).await?;
    let response = with_address(link.send(request, deadline).await, facts)?;
    if !response.status().is_success() {
        anyhow::bail!(
            "the runner answered the report request with status {}",
            response.status()
        );
    }
    let body = Limited::new(response.into_body(), MAX_REPORT_BYTES);
    let body = tokio::time::timeout_at(deadline, body.collect()).await?;
    let body = body.map_err(|error| anyhow::anyhow!("{error}"))?;
    codec.read_report(&body.to_bytes())
}

/// Adds the step and the runner's address to an error.
fn with_address<T>(
    answer: Result<T, SendFault>,
    facts: &RunnerFacts,
) -> anyhow::Result<T> {
    let answer = answer.map_err(SendFault::into_error);
    answer.at(StepName::AwaitHead, &facts.address)
}
