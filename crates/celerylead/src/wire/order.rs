//! Orders to engines: load a model, unload a model, raise the fencing token.

use hyper::{Method, StatusCode};
use serde::Serialize;

use super::table::exchange_any_status;
use crate::{
    runner::{OrderKind, RunnerOrder},
    settings::RunnerSettings,
};

/// Path at which an engine takes orders.
const ORDERS_PATH: &str = "/v1/orders";

/// What is known about an order after it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderOutcome {
    /// The engine accepted the order.
    Accepted,
    /// The engine refused the order, which will never take effect.
    Refused,
    /// The order may take effect, now or later.
    InDoubt,
}

/// The JSON body of an order.
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
struct EngineOrder<'a> {
    id: &'a str,
    fence: u64,
    kind: OrderKind,
    model: &'a str,
    size_mb: u64,
}

/// Sends an order to an engine.
pub(crate) async fn send_order(
    runner: &RunnerSettings,
    order: &RunnerOrder,
) -> OrderOutcome {
    let message = EngineOrder {
        id: &order.id,
        fence: order.fence,
        kind: order.kind,
        model: &order.model,
        size_mb: order.size_mb,
    };
    let Ok(body) = serde_json::to_vec(&message) else {
        return OrderOutcome::Refused;
    };
    let peer = runner.address.as_str();
    match exchange_any_status(peer, Method::POST, ORDERS_PATH, body).await {
        Ok((status, _)) if status.is_success() => OrderOutcome::Accepted,
        Ok((status, _)) => {
            tracing::warn!(
                event = "order_refused",
                runner = runner.name,
                order = order.id,
                status = status.as_u16(),
            );
            match status {
                StatusCode::CONFLICT => OrderOutcome::Refused,
                _ => OrderOutcome::InDoubt,
            }
        }
        Err(error) => {
            tracing::warn!(
                event = "order_in_doubt",
                runner = runner.name,
                order = order.id,
                error = format!("{error:#}"),
            );
            OrderOutcome::InDoubt
        }
    }
}
