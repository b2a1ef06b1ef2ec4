//! Life cycle of a runner, as a typestate.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{clock::EpochMillis, settings::RunnerSettings};

/// Status that a runner publishes, with a delay.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct RunnerReport {
    /// Resident models and adapters, as `model` and `model:adapter`.
    pub models: Vec<String>,
    /// Number of requests in progress.
    pub active: u32,
    /// Accelerator memory in use, in MB.
    pub used_mb: u64,
    /// Total accelerator memory, in MB.
    pub memory_mb: u64,
    /// Highest fencing token seen, if the engine checks tokens.
    pub fence: u64,
    /// Whether a load is in progress.
    pub loading: bool,
}

/// Speed of a runner, measured from its answers.
///
/// An exponentially weighted moving average of the tokens per second of one
/// request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RunnerSpeed {
    tokens_per_second: f64,
    samples: u32,
}

/// Weight of a new sample in the moving average.
const SPEED_WEIGHT: f64 = 0.2;

impl RunnerSpeed {
    /// Adds a sample: an answer of `tokens` that took `span`.
    pub fn learn(&mut self, tokens: u64, span: Duration) {
        let seconds = span.as_secs_f64();
        if tokens == 0 || seconds <= 0.0 {
            return;
        }
        let sample = tokens as f64 / seconds;
        if self.samples == 0 {
            self.tokens_per_second = sample;
        } else {
            let error = sample - self.tokens_per_second;
            self.tokens_per_second += SPEED_WEIGHT * error;
        }
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the tokens per second, or `None` before the first answer.
    pub fn tokens_per_second(&self) -> Option<f64> {
        (0 < self.samples).then_some(self.tokens_per_second)
    }
}

/// State: known from the settings, or ejected after failures, without a
/// report since.
#[derive(Clone, Debug, Default)]
pub struct Joining {
    /// Time before which a report doesn't bring the runner back into
    /// service.
    pub(crate) not_before: EpochMillis,
}

/// State: takes new work.
#[derive(Clone, Debug)]
pub struct Serving {
    /// Last report of the runner.
    pub(crate) report: RunnerReport,
    /// Number of failures since the last answer.
    pub(crate) failures: u32,
}

/// State: takes no new work, and finishes the requests in progress.
#[derive(Clone, Debug)]
pub struct Leaving(());

/// A runner in state `S`.
#[derive(Clone, Debug)]
pub struct Runner<S> {
    pub(crate) settings: RunnerSettings,
    pub(crate) speed: RunnerSpeed,
    /// Requests of this host in flight at the runner.
    pub(crate) active: u32,
    /// Tokens reserved for those requests.
    pub(crate) active_tokens: u64,
    pub(crate) state: S,
}

impl<S> Runner<S> {
    fn into_state<T>(self, state: T) -> Runner<T> {
        Runner {
            settings: self.settings,
            speed: self.speed,
            active: self.active,
            active_tokens: self.active_tokens,
            state,
        }
    }

    /// Releases the slot and the `tokens` of a request that has ended.
    pub(crate) fn release(&mut self, tokens: u64) {
        self.active = self.active.saturating_sub(1);
        self.active_tokens = self.active_tokens.saturating_sub(tokens);
    }

    /// Stops sending new work to the runner.
    pub fn leave(self) -> Runner<Leaving> {
        self.into_state(Leaving(()))
    }
}

impl Runner<Joining> {
    /// Creates a runner that hasn't reported yet.
    pub fn joining(settings: &RunnerSettings) -> Runner<Joining> {
        Runner {
            settings: settings.clone(),
            speed: RunnerSpeed::default(),
            active: 0,
            active_tokens: 0,
            state: Joining::default(),
        }
    }

    /// Puts the runner into service with its first report.
    pub fn serve(self, report: &RunnerReport) -> Runner<Serving> {
        self.into_state(Serving { report: report.clone(), failures: 0 })
    }
}

impl Runner<Serving> {
    /// Takes the runner out of service until it reports at or after
    /// `not_before`.
    pub fn eject(self, not_before: EpochMillis) -> Runner<Joining> {
        self.into_state(Joining { not_before })
    }

    /// Returns whether `name` is resident, by a binary search of the last
    /// report, whose names must be sorted.
    pub fn holds(&self, name: &str) -> bool {
        let models = &self.state.report.models;
        models.binary_search_by(|model| model.as_str().cmp(name)).is_ok()
    }
}

impl Runner<Leaving> {
    /// Returns a runner to the start of the life cycle when its drain is
    /// cancelled.
    pub fn rejoin(self) -> Runner<Joining> {
        self.into_state(Joining::default())
    }
}
