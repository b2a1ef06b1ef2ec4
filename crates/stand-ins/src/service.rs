//! Stand-in of a plain service, some of whose calls aren't safe to repeat.

use std::time::Duration;

use http_body_util::BodyExt as _;
use hyper::{Request, StatusCode, body::Incoming};
use tokio::net::TcpListener;

use crate::{
    engine::{header_lines, text_reply},
    serve::{Reply, StateHandle, serve},
};

/// Fault that the service simulates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServiceFault {
    /// Behaves correctly.
    #[default]
    None,
    /// Runs the call, then closes the connection without an answer.
    CloseAfterRun,
    /// Runs the call, then answers after this delay.
    Slow(Duration),
}

#[derive(Debug, Default)]
struct ServiceState {
    fault: ServiceFault,
    /// Number of runs by request id, sorted by id.
    runs: Vec<(String, u32)>,
    /// Heads and bodies of the calls, as text.
    recorded_requests: Vec<String>,
}

/// Handle to a running plain service.
#[derive(Clone)]
pub struct ServiceStandIn {
    /// Address that it listens on, as `IP:PORT`.
    pub address: String,
    state: StateHandle<ServiceState>,
}

impl ServiceStandIn {
    /// Starts a service at `listen`, an `IP:PORT`. It answers every call with
    /// the call's method, target and body.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(listen: &str) -> anyhow::Result<ServiceStandIn> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?.to_string();
        let state = StateHandle::start(ServiceState::default());
        let state_handle = state.clone();
        tokio::spawn(serve(listener, move |request| {
            handle(state_handle.clone(), request)
        }));
        Ok(ServiceStandIn { address, state })
    }

    /// Sets the fault that the service simulates from now on.
    pub async fn set_fault(&self, fault: ServiceFault) {
        self.state.with(move |state| state.fault = fault).await;
    }

    /// Returns the number of runs of each request id.
    pub async fn runs(&self) -> Vec<(String, u32)> {
        self.state.with(|state| state.runs.clone()).await
    }

    /// Returns the heads and bodies of the calls so far, as text. Health
    /// checks aren't among them.
    pub async fn recorded_requests(&self) -> Vec<String> {
        self.state.with(|state| state.recorded_requests.clone()).await
    }
}

async fn handle(
    state_handle: StateHandle<ServiceState>,
    request: Request<Incoming>,
) -> Reply {
    let (parts, body) = request.into_parts();
    if parts.uri.path() == "/health" {
        return Some(text_reply(StatusCode::OK, "ok".to_owned()));
    }
    let body = body.collect().await.ok()?.to_bytes();
    let text = String::from_utf8_lossy(&body).into_owned();
    let call = format!("{} {}", parts.method, parts.uri);
    let recorded = format!("{call}\n{}{text}", header_lines(&parts.headers));
    let id = parts.headers.get("x-request-id");
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or("").to_owned();
    let fault =
        state_handle.with(move |state| state.record_call(recorded, &id)).await;
    match fault {
        ServiceFault::None => {}
        ServiceFault::CloseAfterRun => return None,
        ServiceFault::Slow(delay) => tokio::time::sleep(delay).await,
    }
    Some(text_reply(StatusCode::OK, format!("{call}\n{text}\n")))
}

impl ServiceState {
    /// Records a call that ran and returns the current fault.
    fn record_call(&mut self, recorded: String, id: &str) -> ServiceFault {
        self.recorded_requests.push(recorded);
        match self.runs.binary_search_by(|(run_id, _)| run_id.as_str().cmp(id))
        {
            Ok(index) => self.runs[index].1 += 1,
            Err(index) => self.runs.insert(index, (id.to_owned(), 1)),
        }
        self.fault
    }
}
