//! State of the raw runner: what it holds and what it received.

use serde::Deserialize;
use serde_json::json;
use tokio::time::Instant;

use super::{CrashPoint, RecordedRequest, RunnerFault};

/// Name of the model that is resident at the start.
const INITIAL_MODEL: &str = "bend";

#[derive(Debug)]
pub(super) struct RunnerState {
    pub(super) fault: RunnerFault,
    /// Header lines that every answer to a call carries besides its own.
    pub(super) extra_headers: &'static str,
    /// Parts of prompts, in hexadecimal, on which the runner crashes.
    pub(super) deadly_parts: Vec<&'static str>,
    /// Point of an answer on a deadly part at which the runner crashes.
    pub(super) crash_point: CrashPoint,
    /// Connections on which calls were received.
    pub(super) connections: u32,
    /// Calls received, run or not.
    pub(super) calls: Vec<RecordedRequest>,
    /// Time at which each of `calls` was received.
    pub(super) call_times: Vec<Instant>,
    /// Calls that ran.
    pub(super) runs: Vec<RecordedRequest>,
    /// Calls that crashed the runner, with the times at which they began.
    pub(super) deadly_runs: Vec<(RecordedRequest, Instant)>,
    /// Orders received, accepted or not.
    pub(super) orders: Vec<RecordedRequest>,
    /// Time at which each of `orders` was received.
    pub(super) order_times: Vec<Instant>,
    /// Number of orders accepted; a new order must name it as `expected`.
    pub(super) accepted_orders: u64,
    /// Resident models.
    pub(super) models: Vec<String>,
    /// Times at which loads of models began.
    pub(super) load_times: Vec<Instant>,
    /// Resident adapters, all of the initial model.
    pub(super) adapters: Vec<String>,
    /// Adapters of the calls in flight, one entry per call.
    pub(super) adapters_in_use: Vec<String>,
    /// Adapter that is unloaded once no call uses it. No order is accepted
    /// until then.
    pub(super) draining_adapter: Option<String>,
    /// Unloads that had to wait for calls in flight.
    pub(super) delayed_unloads: u32,
    /// Calls that were still running when their caller went away, and streams
    /// that [`RunnerFault::TruncatedBody`] cut.
    pub(super) abandoned_calls: u32,
}

impl Default for RunnerState {
    fn default() -> Self {
        RunnerState {
            fault: RunnerFault::None,
            extra_headers: "",
            deadly_parts: Vec::new(),
            crash_point: CrashPoint::default(),
            connections: 0,
            calls: Vec::new(),
            call_times: Vec::new(),
            runs: Vec::new(),
            deadly_runs: Vec::new(),
            orders: Vec::new(),
            order_times: Vec::new(),
            accepted_orders: 0,
            models: vec![INITIAL_MODEL.to_owned()],
            load_times: Vec::new(),
            adapters: Vec::new(),
            adapters_in_use: Vec::new(),
            draining_adapter: None,
            delayed_unloads: 0,
            abandoned_calls: 0,
        }
    }
}

/// The fields of an order that the runner acts on.
#[derive(Deserialize)]
pub(super) struct Order {
    pub(super) operation: String,
    pub(super) model: String,
    pub(super) adapter: Option<String>,
    /// Number of orders that the runner must have accepted before this one.
    pub(super) expected: u64,
}

impl RunnerState {
    /// Accepts or rejects an order and returns the status code and reason
    /// phrase of the answer. An accepted order takes effect at once, except
    /// the unload of an adapter in use.
    pub(super) fn apply_order(&mut self, order: Order) -> &'static str {
        if order.expected != self.accepted_orders
            || self.draining_adapter.is_some()
        {
            return "409 Conflict";
        }
        self.accepted_orders += 1;
        let Some(adapter) = order.adapter else {
            self.models.retain(|name| *name != order.model);
            if order.operation == "load" {
                self.models.push(order.model);
                self.load_times.push(Instant::now());
            }
            return "202 Accepted";
        };
        if order.operation == "unload"
            && self.adapters_in_use.contains(&adapter)
        {
            self.draining_adapter = Some(adapter);
            self.delayed_unloads += 1;
            return "202 Accepted";
        }
        self.adapters.retain(|name| *name != adapter);
        if order.operation == "load" {
            self.adapters.push(adapter);
            return "202 Accepted";
        }
        "200 OK"
    }

    /// Begins a call and returns true. Returns false if the model or the
    /// adapter that the call names isn't resident, or the adapter is draining.
    pub(super) fn begin_call(
        &mut self,
        model: Option<&str>,
        adapter: Option<&str>,
    ) -> bool {
        let model = model.map(|name| name.split('/').next().unwrap_or(name));
        if model.is_some_and(|name| !self.models.iter().any(|m| m == name)) {
            return false;
        }
        let Some(adapter) = adapter else { return true };
        let resident = self.adapters.iter().any(|name| name == adapter);
        if resident && self.draining_adapter.as_deref() != Some(adapter) {
            self.adapters_in_use.push(adapter.to_owned());
            return true;
        }
        false
    }

    /// Ends a call. Unloads the draining adapter if no call uses it any more.
    pub(super) fn end_call(&mut self, adapter: Option<&str>) {
        let position = self
            .adapters_in_use
            .iter()
            .position(|a| Some(a.as_str()) == adapter);
        if let Some(position) = position {
            self.adapters_in_use.remove(position);
        }
        if let Some(draining) = &self.draining_adapter
            && !self.adapters_in_use.contains(draining)
        {
            self.adapters.retain(|name| name != draining);
            self.draining_adapter = None;
        }
    }

    /// Returns the JSON body of the runner's report.
    pub(super) fn report(&self) -> String {
        let models = self.models.iter().map(|name| {
            let adapters =
                if name == INITIAL_MODEL { &self.adapters[..] } else { &[] };
            json!({"name": name, "version": 1, "adapters": adapters})
        });
        let models: Vec<_> = models.collect();
        let busy = self.draining_adapter.is_some();
        json!({"models": models, "busy": busy, "seq": self.accepted_orders})
            .to_string()
    }
}
