//! What the runners of a service take for a call, as this host observes it.
//!
//! A host of a large fleet sends each runner a call only every few seconds, so
//! what is alike for all runners of a service is learned together: how long a
//! prompt takes at low load, how the time to the first event grows with the
//! load, the pace of the streams of a model, and how far single calls scatter.
//! [`LearnedCapacity`](super::capacity::LearnedCapacity) holds how one runner
//! differs from that.

use super::call::CallProfile;
use crate::{clock::EpochMillis, sorted::SortedTable};

/// Load, as a fraction of the slots, for which the growth of the time to the
/// first event is kept; in between it is interpolated.
const KNOTS: [f64; 7] = [0.0, 0.33, 0.5, 0.67, 0.83, 1.0, 1.25];
/// Expected growth at a model engine. With a spread of a half it gives the
/// measured shares of calls over 400 ms: 3 in 100 at 8 of 12 slots, 10 at 9,
/// 21 at 10, 31 at 11 and 50 at 13.
const ENGINE_GROWTH: [f64; 7] = [1.0, 1.05, 1.12, 1.3, 2.2, 2.9, 3.6];
/// Expected growth at a runner of a plain service, whose calls wait only once
/// all slots are taken.
const PLAIN_GROWTH: [f64; 7] = [1.0, 1.0, 1.02, 1.05, 1.1, 1.25, 1.5];
/// Further growth for each whole multiple of the slots beyond the last knot.
const GROWTH_BEYOND: f64 = 1.5;
/// Load up to which a call hardly waits for others.
const LOW_LOAD: f64 = 0.5;
/// Time after which half of what was learned about the growth is forgotten, so
/// that a load that is avoided is tried again.
const GROWTH_HALF_LIFE_MS: f64 = 20_000.0;
/// Weight of a new sample in the growth at a load.
const GROWTH_WEIGHT: f64 = 0.05;
/// Largest correction of the growth, as a logarithm.
const MAX_CORRECTION: f64 = 1.2;
/// Largest difference of one sample from its prediction that counts, as a
/// logarithm: a network fault must not outweigh all other samples.
const MAX_RESIDUAL: f64 = 1.3;
/// Prior time to the first event of a call without a prompt, in milliseconds.
const PRIOR_BASE_MS: f64 = 25.0;
/// Prior time for each prompt token, in milliseconds: a part of a prompt of
/// 4,096 tokens stalls the streams of a runner for up to 140 ms.
const PRIOR_TOKEN_MS: f64 = 0.034;
/// Prior standard deviation of the logarithm of a time to the first event.
const PRIOR_SPREAD: f64 = 0.5;
/// Bounds of that standard deviation.
const SPREAD_RANGE: (f64, f64) = (0.15, 0.8);
/// Standard deviation of the logarithm of the largest gap of a stream.
const GAP_SPREAD: f64 = 0.25;
/// Largest part of a prompt that an engine processes between two steps of its
/// streams, in tokens.
const MAX_CHUNK_TOKENS: f64 = 4_096.0;
/// Prior time between two events of a stream, in milliseconds.
const PRIOR_PACE_MS: f64 = 30.0;
/// Growth of the time between two events at a full runner.
const PACE_GROWTH: f64 = 0.5;
/// Prior time for which a call is in flight, in milliseconds.
const PRIOR_LIFETIME_MS: f64 = 1_000.0;
/// Share of late calls up to which a load counts as served well.
const LATE_SHARE: f64 = 0.1;
/// Slope of the logistic function that is closest to the normal distribution.
const LOGISTIC_SLOPE: f64 = 1.7;
/// Share of the calls whose target is tighter than that by which the capacity
/// is judged.
const TIGHT_SHARE: f64 = 0.25;
/// Change of that target with each call, as a fraction.
const TARGET_STEP: f64 = 0.04;
/// Samples after which older ones count for less, in a mean.
const MEMORY_SAMPLES: f64 = 400.0;
/// Time after which a sample of the fit counts by half: a network fault makes
/// all runners look slow, and must be forgotten without samples that prove it.
const FIT_HALF_LIFE_MS: f64 = 15_000.0;
/// Least growth that the capacity allows for at a runner of the usual speed: a
/// host that is late itself must not take all runners for slow.
const MIN_ALLOWED_GROWTH: f64 = 1.2;
/// Samples from which on a difference from the expected time is put down to
/// the runner rather than to a wrong expectation.
const FEW_SAMPLES: f64 = 4.0;
/// Weight of the prior in the fit, in samples.
const PRIOR_SAMPLES: f64 = 4.0;

/// What is common to the runners of one service.
#[derive(Clone, Debug)]
pub(super) struct ServiceTiming {
    is_engine: bool,
    growth: [f64; KNOTS.len()],
    fit: PromptFit,
    corrections: [f64; KNOTS.len()],
    corrected_at: EpochMillis,
    /// Moving average of the square of the residuals.
    variance: f64,
    /// Logarithm of the mean pace, in microseconds, and its number of samples.
    pace: RunningMean,
    /// Difference of a model's pace from the mean, as a logarithm.
    model_pace: SortedTable<String, RunningMean>,
    /// Number of first events observed, up to a few.
    heads: f64,
    lifetime_ms: RunningMean,
    prompt_tokens: RunningMean,
    /// Time to the first event by which the capacity is judged, in
    /// milliseconds; `None` until a call has a target.
    target_ms: Option<f64>,
}

impl ServiceTiming {
    /// Creates the prior of a service whose runners are model engines or not.
    pub(super) fn new(is_engine: bool) -> ServiceTiming {
        ServiceTiming {
            is_engine,
            growth: if is_engine { ENGINE_GROWTH } else { PLAIN_GROWTH },
            fit: PromptFit::default(),
            corrections: [0.0; KNOTS.len()],
            corrected_at: EpochMillis::default(),
            variance: PRIOR_SPREAD * PRIOR_SPREAD,
            pace: RunningMean::new((PRIOR_PACE_MS * 1_000.0).ln()),
            model_pace: SortedTable::default(),
            heads: 0.0,
            lifetime_ms: RunningMean::new(PRIOR_LIFETIME_MS),
            prompt_tokens: RunningMean::new(0.0),
            target_ms: None,
        }
    }

    /// Returns whether the runners of the service are model engines.
    pub(super) fn is_engine(&self) -> bool {
        self.is_engine
    }

    /// Records that a call is sent.
    pub(super) fn note_sent(
        &mut self,
        profile: &CallProfile,
        now: EpochMillis,
    ) {
        self.prompt_tokens.add(profile.prompt_tokens as f64, 50.0);
        let Some(target) = profile.target else { return };
        let left_ms = now.until(target).as_millis() as f64;
        let target = self.target_ms.get_or_insert(left_ms);
        // Moves to the value below which TIGHT_SHARE of the samples lie.
        let is_tighter = left_ms < *target;
        let step = TIGHT_SHARE - f64::from(u8::from(is_tighter));
        *target = (*target * (1.0 + TARGET_STEP * step)).max(1.0);
    }

    /// Records the time to the first event of a call at a runner that takes
    /// e^`slowness` times as long as others and had `load` calls for each slot.
    /// Returns the logarithm of the ratio to the expected time, less of it while
    /// little is known of the service.
    pub(super) fn note_head(
        &mut self,
        slowness: f64,
        load: f64,
        prompt: u64,
        head_ms: f64,
        now: EpochMillis,
    ) -> f64 {
        let head_ms = head_ms.max(1.0);
        let view = self.at(now);
        let growth = view.curve.at(load);
        let unloaded = view.unloaded_ms(0.0, prompt);
        let expected = unloaded * growth * slowness.exp();
        let residual =
            (head_ms / expected).ln().clamp(-MAX_RESIDUAL, MAX_RESIDUAL);
        self.variance += 0.02 * (residual * residual - self.variance);
        if load <= LOW_LOAD {
            let time_ms = unloaded * residual.exp();
            self.fit.add(prompt as f64, time_ms, now);
        } else {
            self.correct(load, residual, now);
        }
        let known = self.heads / (self.heads + FEW_SAMPLES);
        self.heads = (self.heads + 1.0).min(MEMORY_SAMPLES);
        residual * known
    }

    /// Records the time between the events of a stream, in microseconds.
    /// Returns the same ratio as [`note_head`](Self::note_head).
    pub(super) fn note_pace(
        &mut self,
        model: &str,
        slowness: f64,
        load: f64,
        pace_us: u64,
    ) -> f64 {
        let expected = self.pace_ms(model, slowness, load) * 1_000.0;
        let residual = (pace_us.max(1) as f64 / expected).ln();
        let residual = residual.clamp(-MAX_RESIDUAL, MAX_RESIDUAL);
        let known = self.pace.samples / (self.pace.samples + FEW_SAMPLES);
        let mean = self.pace.value;
        self.pace.add(mean + residual, MEMORY_SAMPLES);
        let model = self
            .model_pace
            .entry(model.to_owned(), || RunningMean::after(3.0, 0.0));
        let offset = model.value;
        model.add(offset + residual, 30.0);
        residual * known
    }

    /// Records how long a complete call was in flight.
    pub(super) fn note_lifetime(&mut self, lifetime_ms: f64) {
        self.lifetime_ms.add(lifetime_ms, 50.0);
    }

    /// Returns the mean time for which a call is in flight, in milliseconds.
    pub(super) fn lifetime_ms(&self) -> f64 {
        self.lifetime_ms.value.max(1.0)
    }

    /// Returns the expected time between two events, in milliseconds.
    pub(super) fn pace_ms(
        &self,
        model: &str,
        slowness: f64,
        load: f64,
    ) -> f64 {
        let offset = self.model_pace.get(model).map_or(0.0, |mean| mean.value);
        let pace_us = (self.pace.value + offset + slowness).exp();
        pace_us / 1_000.0 * (1.0 + PACE_GROWTH * load)
    }

    /// Returns the mean number of prompt tokens of the latest calls.
    pub(super) fn mean_prompt(&self) -> f64 {
        self.prompt_tokens.value
    }

    /// Returns what is expected at `now`.
    pub(super) fn at(&self, now: EpochMillis) -> TimingView<'_> {
        let decay = self.decay(now);
        let mut curve = self.growth;
        let mut least = 1.0;
        for (growth, correction) in curve.iter_mut().zip(self.corrections) {
            *growth *= (correction * decay).exp();
            // More load never takes less time.
            least = growth.max(least);
            *growth = least;
        }
        let spread = self.variance.sqrt();
        TimingView {
            timing: self,
            curve: GrowthCurve(curve),
            line: self.fit.line(now),
            spread: spread.clamp(SPREAD_RANGE.0, SPREAD_RANGE.1),
        }
    }

    fn decay(&self, now: EpochMillis) -> f64 {
        fading(self.corrected_at, now, GROWTH_HALF_LIFE_MS)
    }

    fn correct(&mut self, load: f64, residual: f64, now: EpochMillis) {
        let decay = self.decay(now);
        for correction in &mut self.corrections {
            *correction *= decay;
        }
        self.corrected_at = self.corrected_at.max(now);
        let (index, part) = position(load);
        for (index, share) in [(index, 1.0 - part), (index + 1, part)] {
            let correction = &mut self.corrections[index];
            *correction += GROWTH_WEIGHT * share * residual;
            *correction = correction.clamp(-MAX_CORRECTION, MAX_CORRECTION);
        }
    }
}

/// What is expected of the runners of a service at one time. It is made once
/// for a choice, whatever the number of candidates.
pub(super) struct TimingView<'a> {
    timing: &'a ServiceTiming,
    curve: GrowthCurve,
    line: PromptLine,
    /// Standard deviation of the logarithm of a time to the first event.
    spread: f64,
}

impl TimingView<'_> {
    /// Returns what the expectations are made from.
    pub(super) fn timing(&self) -> &ServiceTiming {
        self.timing
    }

    /// Returns the expected time to the first event without load, in
    /// milliseconds.
    pub(super) fn unloaded_ms(&self, slowness: f64, prompt: u64) -> f64 {
        self.line.at(prompt as f64) * slowness.exp()
    }

    /// Returns the expected time to the first event, in milliseconds.
    pub(super) fn head_ms(
        &self,
        slowness: f64,
        load: f64,
        prompt: u64,
    ) -> f64 {
        self.unloaded_ms(slowness, prompt) * self.curve.at(load)
    }

    /// Returns for how long a prompt stalls the streams of a runner, in
    /// milliseconds.
    pub(super) fn stall_ms(&self, slowness: f64, prompt: f64) -> f64 {
        self.line.token_ms * prompt.min(MAX_CHUNK_TOKENS) * slowness.exp()
    }

    /// Returns the probability that a first event expected after
    /// `expected_ms` comes later than after `limit_ms`.
    pub(super) fn late_share(&self, expected_ms: f64, limit_ms: f64) -> f64 {
        share_over(expected_ms, limit_ms, self.spread)
    }

    /// Returns the probability that the largest gap of a stream, expected to
    /// be `expected_ms`, is longer than `limit_ms`.
    pub(super) fn long_gap_share(
        &self,
        expected_ms: f64,
        limit_ms: f64,
    ) -> f64 {
        share_over(expected_ms, limit_ms, GAP_SPREAD)
    }

    /// Returns the calls for each slot up to which a runner serves typical
    /// calls in time; `None` until a call has a target.
    pub(super) fn load_in_time(&self, slowness: f64) -> Option<f64> {
        let target = self.timing.target_ms?;
        let odds = (1.0 / LATE_SHARE - 1.0).ln() / LOGISTIC_SLOPE;
        let unloaded = self.line.at(self.timing.mean_prompt());
        let allowed = target / (unloaded * (odds * self.spread).exp());
        let allowed = allowed.max(MIN_ALLOWED_GROWTH) / slowness.exp();
        Some(self.curve.load_of(allowed))
    }
}

/// Factor by which the time to the first event grows with the load, at
/// [`KNOTS`].
struct GrowthCurve([f64; KNOTS.len()]);

impl GrowthCurve {
    /// Returns the factor at a load.
    fn at(&self, load: f64) -> f64 {
        let last = KNOTS.len() - 1;
        if KNOTS[last] <= load {
            return self.0[last] + GROWTH_BEYOND * (load - KNOTS[last]);
        }
        let (index, part) = position(load);
        let (low, high) = (self.0[index], self.0[index + 1]);
        low + part * (high - low)
    }

    /// Returns the highest load at which the factor is at most `allowed`.
    fn load_of(&self, allowed: f64) -> f64 {
        let mut low = self.0[0];
        if allowed < low {
            // A runner that is slow even without load still takes something.
            return KNOTS[1] * (allowed / low);
        }
        for index in 1..KNOTS.len() {
            let high = self.0[index];
            if allowed < high {
                let part = (allowed - low) / (high - low);
                let width = KNOTS[index] - KNOTS[index - 1];
                return KNOTS[index - 1] + part * width;
            }
            low = high;
        }
        KNOTS[KNOTS.len() - 1] + (allowed - low) / GROWTH_BEYOND
    }
}

/// Returns the part of a value set at `set_at` that hasn't faded.
pub(super) fn fading(
    set_at: EpochMillis,
    now: EpochMillis,
    half_life_ms: f64,
) -> f64 {
    let age_ms = set_at.until(now).as_millis() as f64;
    0.5_f64.powf(age_ms / half_life_ms)
}

/// Returns the knot below a load, and how far the load is to the next one.
fn position(load: f64) -> (usize, f64) {
    let above = KNOTS.iter().skip(1).position(|knot| load < *knot);
    let index = above.unwrap_or(KNOTS.len() - 2);
    let width = KNOTS[index + 1] - KNOTS[index];
    (index, ((load - KNOTS[index]) / width).clamp(0.0, 1.0))
}

/// Returns the probability that a value whose logarithm scatters by `spread`
/// around that of `expected` is above `limit`.
fn share_over(expected: f64, limit: f64, spread: f64) -> f64 {
    if limit <= 0.0 {
        return 1.0;
    }
    let distance = (limit / expected.max(0.001)).ln() / spread;
    1.0 / (1.0 + (LOGISTIC_SLOPE * distance).exp())
}

/// A mean in which old samples count for less.
#[derive(Clone, Copy, Debug)]
struct RunningMean {
    value: f64,
    samples: f64,
}

impl RunningMean {
    /// Creates a mean whose first sample replaces the prior.
    fn new(prior: f64) -> RunningMean {
        RunningMean::after(0.0, prior)
    }

    /// Creates a mean of a number of samples.
    fn after(samples: f64, value: f64) -> RunningMean {
        RunningMean { value, samples }
    }

    /// Adds a sample; at most the latest `memory` samples count in full.
    fn add(&mut self, sample: f64, memory: f64) {
        self.samples = (self.samples + 1.0).min(memory);
        self.value += (sample - self.value) / self.samples;
    }
}

/// Least squares fit of the time to the first event by the prompt's length.
#[derive(Clone, Copy, Debug, Default)]
struct PromptFit {
    samples: f64,
    tokens: f64,
    time: f64,
    tokens_squared: f64,
    tokens_by_time: f64,
    set_at: EpochMillis,
}

impl PromptFit {
    fn add(&mut self, tokens: f64, time_ms: f64, now: EpochMillis) {
        let keep = fading(self.set_at, now, FIT_HALF_LIFE_MS);
        self.set_at = self.set_at.max(now);
        self.samples = self.samples * keep + 1.0;
        self.tokens = self.tokens * keep + tokens;
        self.time = self.time * keep + time_ms;
        self.tokens_squared = self.tokens_squared * keep + tokens * tokens;
        self.tokens_by_time = self.tokens_by_time * keep + tokens * time_ms;
    }

    /// Returns the line of the fit. Prompts of one length say nothing about the
    /// time for each token, so the prior counts like some samples that differ
    /// by a thousand tokens.
    fn line(&self, now: EpochMillis) -> PromptLine {
        let keep = fading(self.set_at, now, FIT_HALF_LIFE_MS);
        let count = self.samples.max(1.0);
        let covariance = self.tokens_by_time - self.tokens * self.time / count;
        let variance = self.tokens_squared - self.tokens * self.tokens / count;
        let prior = PRIOR_SAMPLES * 250_000.0;
        let slope = (covariance * keep + prior * PRIOR_TOKEN_MS)
            / (variance.max(0.0) * keep + prior);
        let token_ms = slope.max(0.0);
        let residue = (self.time - token_ms * self.tokens) * keep;
        let base_ms = (residue + PRIOR_SAMPLES * PRIOR_BASE_MS)
            / (self.samples * keep + PRIOR_SAMPLES);
        PromptLine { base_ms, token_ms }
    }
}

/// Time to the first event without load by the prompt's length.
#[derive(Clone, Copy, Debug)]
struct PromptLine {
    base_ms: f64,
    token_ms: f64,
}

impl PromptLine {
    fn at(&self, tokens: f64) -> f64 {
        (self.base_ms + self.token_ms * tokens).max(1.0)
    }
}
