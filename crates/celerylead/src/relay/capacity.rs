//! How one start of a runner differs from the others of its service, and how
//! many calls it takes well.
//!
//! The capacity is what [`ServiceTiming`] expects of a runner of this slowness,
//! times a factor that is lowered by calls that were late while the capacity
//! was in use, raised by calls that were in time then, and returns to one by
//! itself. Nothing but answers that came late shrinks it: failures and
//! time-outs have their own rules.

use super::timing::{ServiceTiming, TimingView, fading};
use crate::clock::EpochMillis;

/// Weight, in samples, of the assumption that a runner is like the others.
const PRIOR_SAMPLES: f64 = 0.7;
/// Most samples that count beside a new one, so that a runner whose speed
/// changes is followed within some samples.
const MAX_SAMPLES: f64 = 7.0;
/// Time after which a sample counts by half beside a new one.
const SAMPLE_HALF_LIFE_MS: f64 = 10_000.0;
/// Weight of a sample in the slowness of the moment.
const SURGE_WEIGHT: f64 = 0.45;
/// Time after which a half of the slowness of the moment is forgotten:
/// runners are slowed for some 600 ms at a time.
const SURGE_HALF_LIFE_MS: f64 = 500.0;
/// Time after which a half of the slowness is forgotten.
const SLOWNESS_HALF_LIFE_MS: f64 = 60_000.0;
/// Bounds of the slowness, as a logarithm: a quarter to five times the usual
/// time.
const SLOWNESS_RANGE: (f64, f64) = (-1.4, 1.6);
/// Share of the slots up to which an engine serves well, before its service
/// has a target.
const ENGINE_PRIOR: f64 = 0.67;
/// The same for runners of plain services.
const PLAIN_PRIOR: f64 = 1.0;
/// Share of the capacity from which on it counts as reached.
const REACHED_SHARE: f64 = 0.8;
/// Ratio to the time without load from which a late call counts against the
/// capacity: a call may be late because it waited before it was sent.
const LOADED_RATIO: f64 = 1.5;
/// Factor on the pressure after a late call.
const LATE_FACTOR: f64 = 0.85;
/// Time within which late calls count once, in milliseconds: the calls behind
/// one long prompt are late together.
const LATE_INTERVAL_MS: u64 = 100;
/// Rise of the pressure after a call in time.
const IN_TIME_STEP: f64 = 0.03;
/// Bounds of the pressure.
const PRESSURE_RANGE: (f64, f64) = (0.6, 1.3);
/// Time after which half of the pressure is forgotten, in milliseconds.
const PRESSURE_HALF_LIFE_MS: f64 = 3_000.0;

/// What a host has learned about one start of a runner.
#[derive(Clone, Debug, Default)]
pub(super) struct LearnedCapacity {
    /// Logarithm of the ratio of this runner's times to the usual ones.
    slowness: Fading,
    /// Number of samples behind it.
    samples: Fading,
    /// Slowness of the moment, beyond the lasting one.
    surge: Fading,
    /// Logarithm of the factor on the capacity.
    pressure: Fading,
    late_at: EpochMillis,
}

/// An observed time to the first event, with what was known at the choice.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeadSample {
    pub(super) slots: u32,
    /// Calls at the runner, this one included.
    pub(super) load: u32,
    pub(super) prompt_tokens: u64,
    pub(super) head_ms: f64,
    /// Time that was left to the call's target as it was sent.
    pub(super) left_ms: Option<f64>,
}

impl LearnedCapacity {
    /// Returns the logarithm of the ratio of the runner's times to the usual
    /// ones.
    pub(super) fn slowness(&self, now: EpochMillis) -> f64 {
        let lasting = self.slowness.at(now, SLOWNESS_HALF_LIFE_MS);
        let surge = self.surge.at(now, SURGE_HALF_LIFE_MS);
        (lasting + surge).clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1)
    }

    /// Returns the number of calls that the runner takes well: at least one,
    /// at most `hard_limit`.
    pub(super) fn limit(
        &self,
        slots: u32,
        hard_limit: f64,
        view: &TimingView<'_>,
        now: EpochMillis,
    ) -> f64 {
        let is_engine = view.timing().is_engine();
        let prior = if is_engine { ENGINE_PRIOR } else { PLAIN_PRIOR };
        let load = view.load_in_time(self.slowness(now)).unwrap_or(prior);
        let pressure = self.pressure.at(now, PRESSURE_HALF_LIFE_MS).exp();
        let limit = f64::from(slots) * load * pressure;
        limit.min(hard_limit).max(1.0)
    }

    /// Records the arrival of a first event. `limit` is the capacity at this
    /// time.
    pub(super) fn note_head(
        &mut self,
        sample: &HeadSample,
        limit: f64,
        timing: &mut ServiceTiming,
        now: EpochMillis,
    ) {
        let load = f64::from(sample.load) / f64::from(sample.slots.max(1));
        let slowness = self.slowness(now);
        let HeadSample { prompt_tokens, head_ms, .. } = *sample;
        let unloaded = timing.at(now).unloaded_ms(slowness, prompt_tokens);
        let residual =
            timing.note_head(slowness, load, prompt_tokens, head_ms, now);
        // What a busy runner takes says more about its queue than about its
        // speed.
        let trust = if load <= ENGINE_PRIOR { 0.5 } else { 0.25 };
        self.note_residual(residual, trust, now);
        let Some(left_ms) = sample.left_ms else { return };
        if f64::from(sample.load) < REACHED_SHARE * limit {
            return;
        }
        if head_ms <= left_ms {
            self.press(IN_TIME_STEP, now);
        } else if LOADED_RATIO * unloaded < head_ms
            && self.late_at.0.saturating_add(LATE_INTERVAL_MS) <= now.0
        {
            self.late_at = now;
            self.press(LATE_FACTOR.ln(), now);
        }
    }

    /// Records the time between the events of a stream.
    pub(super) fn note_pace(
        &mut self,
        model: &str,
        load: f64,
        pace_us: u64,
        timing: &mut ServiceTiming,
        now: EpochMillis,
    ) {
        let slowness = self.slowness(now);
        let residual = timing.note_pace(model, slowness, load, pace_us);
        self.note_residual(residual, 1.0, now);
    }

    fn note_residual(&mut self, residual: f64, trust: f64, now: EpochMillis) {
        let known = self.samples.at(now, SAMPLE_HALF_LIFE_MS);
        let samples = (known + trust).min(MAX_SAMPLES);
        self.samples = Fading { value: samples, set_at: now };
        let weight = trust / (samples + PRIOR_SAMPLES);
        let (low, high) = SLOWNESS_RANGE;
        let slowness = self.slowness.at(now, SLOWNESS_HALF_LIFE_MS);
        let slowness = (slowness + weight * residual).clamp(low, high);
        self.slowness = Fading { value: slowness, set_at: now };
        let surge = self.surge.at(now, SURGE_HALF_LIFE_MS);
        let surge = (surge + SURGE_WEIGHT * trust * residual).clamp(low, high);
        self.surge = Fading { value: surge, set_at: now };
    }

    fn press(&mut self, step: f64, now: EpochMillis) {
        let (low, high) = PRESSURE_RANGE;
        let value = self.pressure.at(now, PRESSURE_HALF_LIFE_MS) + step;
        let value = value.clamp(low.ln(), high.ln());
        self.pressure = Fading { value, set_at: now };
    }
}

/// A value that returns to zero by itself.
#[derive(Clone, Copy, Debug, Default)]
struct Fading {
    value: f64,
    set_at: EpochMillis,
}

impl Fading {
    fn at(&self, now: EpochMillis, half_life_ms: f64) -> f64 {
        self.value * fading(self.set_at, now, half_life_ms)
    }
}
