//! Services and what is known of their runners in advance.

use serde::{Deserialize, Serialize};

/// A model that a service's runners can hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EngineModel {
    /// Name.
    pub name: String,
    /// Accelerator memory of its weights, in MB.
    pub size_mb: f64,
    /// Time of a load from the weight store, in milliseconds.
    pub load_ms: u64,
    /// Time of a load from a runner's memory, in milliseconds.
    pub warm_ms: u64,
    /// Time of a load from a runner's disk, in milliseconds.
    pub disk_ms: u64,
    /// Number of its adapters.
    pub adapters: u32,
    /// Accelerator memory of one adapter, in MB.
    pub adapter_mb: f64,
}

/// What a service's runners are, where they are model engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EngineSpec {
    /// Requests in a batch.
    pub batch: u32,
    /// Tokens for which a runner has memory.
    pub token_capacity: u64,
    /// Accelerator memory for weights and adapters, in MB.
    pub memory_mb: f64,
    /// Places for adapters on a runner.
    pub adapter_places: u32,
    /// Loads from the weight store, a second over all runners.
    pub loads_per_second: f64,
    /// The models, sorted by name.
    pub models: Vec<EngineModel>,
}

impl EngineSpec {
    /// Returns the model of this name.
    pub fn model(&self, name: &str) -> Option<&EngineModel> {
        let models = &self.models;
        let index =
            models.binary_search_by(|model| model.name.as_str().cmp(name));
        Some(&models[index.ok()?])
    }
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ServiceSpec {
    /// Name.
    pub name: String,
    /// Connections that one of its runners takes from all hosts together.
    pub max_links: u32,
    /// What its runners are, for model engines.
    pub engine: Option<EngineSpec>,
}
