//! Services and the configured properties of their runners.

use serde::{Deserialize, Serialize};

use crate::model::ModelName;

/// A model that the runners of a service can hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EngineModel {
    /// Name of the model.
    pub name: String,
    /// Accelerator memory of the weights, in MB.
    pub size_mb: f64,
    /// Duration of a load from the weight store, in milliseconds.
    pub load_ms: u64,
    /// Duration of a load from a runner's main memory, in milliseconds.
    pub warm_ms: u64,
    /// Duration of a load from a runner's disk, in milliseconds.
    pub disk_ms: u64,
    /// Number of adapters of the model.
    pub adapters: u32,
    /// Accelerator memory of one adapter, in MB.
    pub adapter_mb: f64,
}

impl EngineModel {
    /// Iterates over the names of the model's adapters.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerylead::catalog::EngineModel;
    ///
    /// let model = EngineModel {
    ///     name: "outline".to_owned(),
    ///     size_mb: 70.0,
    ///     load_ms: 1_000,
    ///     warm_ms: 300,
    ///     disk_ms: 500,
    ///     adapters: 2,
    ///     adapter_mb: 0.1,
    /// };
    /// assert!(model.adapter_names().eq(["a1", "a2"]));
    /// assert!(model.has_adapter("a2"));
    /// assert!(!model.has_adapter("a3"));
    /// ```
    pub fn adapter_names(&self) -> impl Iterator<Item = String> {
        (1..=self.adapters).map(adapter_name)
    }

    /// Returns whether the model has an adapter of this name.
    pub fn has_adapter(&self, name: &str) -> bool {
        let number = name.strip_prefix('a').and_then(|n| n.parse().ok());
        number.is_some_and(|number: u32| {
            (1..=self.adapters).contains(&number)
                && adapter_name(number) == name
        })
    }
}

fn adapter_name(number: u32) -> String {
    format!("a{number}")
}

/// The runners of a service whose runners are model engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EngineSpec {
    /// Number of requests in a batch.
    pub batch: u32,
    /// Number of tokens for which a runner has memory.
    pub token_capacity: u64,
    /// Accelerator memory of a runner for weights and adapters, in MB.
    pub memory_mb: f64,
    /// Maximum number of adapters that a runner holds at a time.
    pub adapter_places: u32,
    /// Maximum number of loads from the weight store per second, over all
    /// runners.
    pub loads_per_second: f64,
    /// Models that the runners can hold, sorted by name.
    pub models: Vec<EngineModel>,
}

/// Share of the memory of a service's runners from which models are scarce, if
/// one replica of each takes it. The margin to the fleets whose models have two
/// replicas each keeps a loss of some runners from changing the answer.
const SCARCE_SHARE: f64 = 0.6;

impl EngineSpec {
    /// Returns whether models are scarce with this number of runners: one
    /// replica of each takes more than three fifths of their memory, so that few models
    /// have several.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerylead::catalog::{EngineModel, EngineSpec};
    ///
    /// let model = EngineModel {
    ///     name: "outline".to_owned(),
    ///     size_mb: 70.0,
    ///     load_ms: 1_000,
    ///     warm_ms: 300,
    ///     disk_ms: 500,
    ///     adapters: 0,
    ///     adapter_mb: 0.0,
    /// };
    /// let engine = EngineSpec {
    ///     batch: 12,
    ///     token_capacity: 40_000,
    ///     memory_mb: 100.0,
    ///     adapter_places: 8,
    ///     loads_per_second: 1.0,
    ///     models: vec![model],
    /// };
    /// assert!(engine.is_scarce(1));
    /// assert!(!engine.is_scarce(2));
    /// ```
    pub fn is_scarce(&self, runners: usize) -> bool {
        let models_mb: f64 = self.models.iter().map(|m| m.size_mb).sum();
        self.memory_mb * runners as f64 * SCARCE_SHARE < models_mb
    }

    /// Returns whether the configuration has this model or adapter.
    pub fn lists(&self, name: &ModelName) -> bool {
        let model = self.model(&name.model);
        model.is_some_and(|model| match &name.adapter {
            Some(adapter) => model.has_adapter(adapter),
            None => true,
        })
    }

    /// Returns the model of this name.
    pub fn model(&self, name: &str) -> Option<&EngineModel> {
        let models = &self.models;
        let index =
            models.binary_search_by(|model| model.name.as_str().cmp(name));
        Some(&models[index.ok()?])
    }
}

/// How much a runner tolerates while it is cold, which it is for some time
/// after each start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ColdSpec {
    /// Time for which a runner is cold after a start, in milliseconds.
    pub span_ms: u64,
    /// Calls that it tolerates per second, from all hosts together.
    pub per_second: f64,
}

/// The configuration of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: String,
    /// Maximum number of connections that one runner of the service accepts
    /// from all hosts together.
    pub max_links: u32,
    /// Properties of the runners, if they are model engines.
    pub engine: Option<EngineSpec>,
    /// What its runners tolerate while they are cold; `None` if they never
    /// are.
    #[serde(default)]
    pub cold: Option<ColdSpec>,
}
