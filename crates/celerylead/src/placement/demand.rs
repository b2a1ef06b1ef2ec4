//! Demand for each model, as measured by one host.

use std::time::Duration;

use crate::{clock::EpochMillis, sorted::SortedTable};

/// Default half-life of past demand.
const DEFAULT_HALF_LIFE: Duration = Duration::from_secs(10);
/// Default number of models whose demand a host reports: those in highest
/// demand.
const MAX_REPORTED_MODELS: usize = 16;
/// Most models and adapters whose demand is remembered; those in least demand are
/// forgotten first.
const MAX_MODELS: usize = 8_192;
/// Demand below which a model isn't reported, in tokens per second.
const MIN_REPORTED_DEMAND: u64 = 1;

/// Demand in tokens per second, by model.
pub type ModelDemand = SortedTable<String, u64>;

/// Measures the demand for each model as an exponentially decaying sum of
/// tokens.
///
/// # Examples
///
/// ```
/// use celerylead::{EpochMillis, placement::DemandMeter};
///
/// let mut meter = DemandMeter::default();
/// meter.record("outline", 1_000, EpochMillis(0));
/// assert!(60 < *meter.rates(EpochMillis(0)).get("outline").unwrap());
/// assert!(meter.rates(EpochMillis(300_000)).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct DemandMeter {
    models: SortedTable<String, DecayedSum>,
    half_life: Duration,
}

impl Default for DemandMeter {
    fn default() -> Self {
        DemandMeter::new(DEFAULT_HALF_LIFE)
    }
}

/// Sum of tokens that decays exponentially with age.
#[derive(Clone, Copy, Debug, Default)]
struct DecayedSum {
    tokens: f64,
    updated_at: EpochMillis,
}

impl DecayedSum {
    /// Returns the sum as decayed up to `now`.
    fn decayed(&self, now: EpochMillis, half_life: Duration) -> f64 {
        let age = self.updated_at.until(now).as_secs_f64();
        self.tokens * 0.5_f64.powf(age / half_life.as_secs_f64())
    }
}

impl DemandMeter {
    /// Creates a meter in which past demand halves every `half_life`.
    pub fn new(half_life: Duration) -> DemandMeter {
        DemandMeter { models: SortedTable::default(), half_life }
    }

    /// Records a request of `tokens` for a model.
    pub fn record(&mut self, model: &str, tokens: u64, now: EpochMillis) {
        if let Some(sum) = self.models.get_mut(model) {
            let tokens = sum.decayed(now, self.half_life) + tokens as f64;
            *sum = DecayedSum { tokens, updated_at: now };
            return;
        }
        if MAX_MODELS <= self.models.len() {
            self.forget_lower_half(now);
        }
        let sum = DecayedSum { tokens: tokens as f64, updated_at: now };
        self.models.insert(model.to_owned(), sum);
    }

    /// Forgets the half in least demand, so that the cost of a full table is
    /// spread over many records.
    fn forget_lower_half(&mut self, now: EpochMillis) {
        let half_life = self.half_life;
        let sums = self.models.values();
        let mut sums: Vec<f64> =
            sums.map(|sum| sum.decayed(now, half_life)).collect();
        sums.sort_by(f64::total_cmp);
        let middle = sums[sums.len() / 2];
        self.models.retain(|_, sum| middle < sum.decayed(now, half_life));
    }

    /// Returns the demand for the models in highest demand, in tokens per
    /// second.
    pub fn rates(&self, now: EpochMillis) -> ModelDemand {
        self.highest(MAX_REPORTED_MODELS, now)
    }

    /// Returns the `limit` highest demands, in tokens per second.
    pub fn highest(&self, limit: usize, now: EpochMillis) -> ModelDemand {
        // A steady demand d sums up to d times the mean lifetime.
        let mean_life = self.half_life.as_secs_f64() / std::f64::consts::LN_2;
        let mut rates: Vec<(String, u64)> = self
            .models
            .iter()
            .map(|(model, sum)| {
                (
                    model.clone(),
                    (sum.decayed(now, self.half_life) / mean_life) as u64,
                )
            })
            .filter(|(_, rate)| MIN_REPORTED_DEMAND <= *rate)
            .collect();
        rates.sort_by_key(|(_, rate)| std::cmp::Reverse(*rate));
        rates.truncate(limit);
        rates.into_iter().collect()
    }
}
