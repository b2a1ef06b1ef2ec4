//! How much longer the calls of one model take than those of another.
//!
//! Two models with the same number of tokens a second may keep runners busy for
//! quite different times. The planner therefore counts demand as tokens weighted
//! by the pace of their model, which is proportional to the time that the calls
//! take of a runner's slots.

use crate::sorted::SortedTable;

/// Weight of a new sample in the mean pace of its model.
const MODEL_WEIGHT: f64 = 0.05;
/// Weight of a new sample in the mean pace of all models, to which each call
/// contributes.
const OVERALL_WEIGHT: f64 = 0.005;
/// Range of the weight of a model, so that few odd samples can't make its
/// demand vanish or crowd out all others.
const WEIGHT_RANGE: (f64, f64) = (0.25, 4.0);

/// Mean time between events of the streams of each model, over all runners.
///
/// # Examples
///
/// ```
/// use celerylead::relay::ModelPaces;
///
/// let mut paces = ModelPaces::default();
/// for _ in 0..100 {
///     paces.record("small", 10_000);
///     paces.record("large", 30_000);
/// }
/// assert!(paces.weigh("small", 1_000) < 1_000);
/// assert!(1_000 < paces.weigh("large", 1_000));
/// assert_eq!(paces.weigh("unknown", 1_000), 1_000);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ModelPaces {
    models: SortedTable<String, f64>,
    overall: Option<f64>,
}

impl ModelPaces {
    /// Records the time between two events of a stream, in microseconds.
    pub fn record(&mut self, model: &str, pace_us: u64) {
        let sample = pace_us as f64;
        let overall = self.overall.get_or_insert(sample);
        *overall += OVERALL_WEIGHT * (sample - *overall);
        if let Some(mean) = self.models.get_mut(model) {
            *mean += MODEL_WEIGHT * (sample - *mean);
        } else {
            self.models.insert(model.to_owned(), sample);
        }
    }

    /// Returns the tokens of a call, weighted by the pace of its model. A model
    /// without samples counts as average.
    pub fn weigh(&self, model: &str, tokens: u64) -> u64 {
        let mean = self.models.get(model).copied();
        let (Some(mean), Some(overall)) = (mean, self.overall) else {
            return tokens;
        };
        let (least, most) = WEIGHT_RANGE;
        let weight = (mean / overall.max(1.0)).clamp(least, most);
        (tokens as f64 * weight) as u64
    }
}
