//! The outcome of the choice of a runner, and the figures behind it.

use serde::{Deserialize, Serialize};

use crate::{clock::EpochMillis, model::ModelName, roster::RunnerStart};

/// The runner chosen for a call, and what the call reserves there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RelayChoice {
    /// Id of the runner.
    pub runner: String,
    /// Start time of the runner, if it publishes it.
    pub born: Option<u64>,
    /// Address of the runner, as `IP:PORT`.
    pub address: String,
    /// Model and adapter; `None` for a plain call.
    pub name: Option<ModelName>,
    /// Tokens reserved at the runner.
    pub tokens: u64,
    /// Time until which the call may be written to a runner that is cold;
    /// `None` for other runners.
    #[serde(default)]
    pub send_by: Option<EpochMillis>,
    /// Load of the runner as known at the time of the choice.
    pub basis: LoadBasis,
    /// What the time to the first event is compared with.
    pub sent: SentCall,
}

/// A call as it was sent to its runner.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub struct SentCall {
    /// Time of the choice.
    pub at: EpochMillis,
    /// Calls known to be in flight at the runner, this one included.
    pub load: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Time by which the first event is in time.
    pub target: Option<EpochMillis>,
}

/// Free room for a call at the runners that could take it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Headroom {
    /// Number of runners that may be sent the call.
    pub runners: u32,
    /// Calls that these runners still take well, by their learned capacity;
    /// runners over their capacity count as 0.
    pub free: f64,
    /// Expected time to the first event at the best of them, in milliseconds;
    /// `None` without such a runner.
    pub first_event_ms: Option<f64>,
}

/// The load figures by which a runner was chosen.
///
/// The figures of other hosts are older than those of this host, and miss
/// the calls that began or ended since they were reported.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub struct LoadBasis {
    /// Calls of this host in flight.
    pub own: u32,
    /// Calls in flight that other hosts reported.
    pub reported: u32,
    /// Age of the oldest of the reports behind `reported`, in milliseconds.
    pub oldest_ms: u64,
}

/// The total load of the runners that could run a call, as known to one
/// host.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub struct CandidateLoad {
    /// Number of runners that take calls and hold the required model.
    pub runners: u32,
    /// Number of calls that these runners can run concurrently.
    pub slots: u32,
    /// Tokens of the calls in flight at these runners.
    pub tokens: u64,
    /// Calls in flight at these runners.
    pub basis: LoadBasis,
}

impl RelayChoice {
    /// Returns the name of the model, or an empty string for a plain call.
    pub fn model(&self) -> &str {
        self.name.as_ref().map_or("", |name| &name.model)
    }

    /// Returns the start of the runner that was chosen.
    pub fn start(&self) -> RunnerStart {
        RunnerStart { id: self.runner.clone(), born: self.born }
    }
}

/// Why no runner was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PickFault {
    /// The service has no runner.
    NoRunner,
    /// No runner holds the model.
    NoModel,
    /// A runner holds the model, but none holds the adapter.
    NoAdapter,
    /// Every runner that could take the call is full.
    Full,
    /// The call needs more memory than a runner has.
    TooLarge,
    /// Every runner that could take the call was already tried.
    AllTried,
    /// Every runner that could take the call has asked for a pause; the
    /// earliest pause ends then.
    Paused(EpochMillis),
    /// Every runner that could take the call is cold, and this host has no
    /// share of its calls left; one may be free then.
    Cold(EpochMillis),
}

impl PickFault {
    /// Returns the name of the fault in log lines.
    pub fn text(self) -> &'static str {
        match self {
            PickFault::NoRunner => "no_runner",
            PickFault::NoModel => "no_model",
            PickFault::NoAdapter => "no_adapter",
            PickFault::Full => "full",
            PickFault::TooLarge => "too_large",
            PickFault::AllTried => "all_tried",
            PickFault::Paused(_) => "paused",
            PickFault::Cold(_) => "cold",
        }
    }
}

/// A snapshot of a runner in the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RunnerView {
    /// Id of the runner.
    pub id: String,
    /// Calls of this host in flight.
    pub calls: u32,
    /// Tokens of these calls.
    pub tokens: u64,
    /// Adapters that these calls use, and those of their models that the
    /// lease holder no longer announces at this runner.
    pub names: Vec<ModelName>,
    /// Moving average of the share of calls that failed.
    pub failure_rate: f64,
}
