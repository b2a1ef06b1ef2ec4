//! The pace at which the places of a service become free, and the wait that
//! follows from it.
//!
//! The places of the candidates become free at a rate of calls in flight over
//! the mean time that a call holds its place. Other hosts compete for these
//! places; how much longer a call waits for that reason is learned from the
//! waits of earlier calls.

use std::time::Duration;

use super::Room;
use crate::clock::EpochMillis;

/// Weight of a new sample in the mean time that a call holds its place, and in
/// the mean time until its answer begins.
const MEAN_WEIGHT: f64 = 0.05;
/// Weight of a new sample in the competition factor.
const FACTOR_WEIGHT: f64 = 0.1;
/// Bounds of the competition factor.
const FACTOR_BOUNDS: (f64, f64) = (0.25, 8.0);
/// Time in which the competition factor returns halfway to one. Calls that
/// are refused at once give no samples, so without it the factor could keep
/// a service from ever being tried again.
const FACTOR_HALF_LIFE: Duration = Duration::from_millis(3_000);

/// The figures behind an estimated wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitBasis {
    /// Waiting calls that come first.
    pub ahead: usize,
    /// Calls in flight at the runners that could run the call.
    pub taken: u32,
    /// Mean time that a call holds its place, in milliseconds.
    pub hold_ms: f64,
    /// Ratio of earlier waits to their estimates.
    pub factor: f64,
}

impl WaitBasis {
    /// Returns the expected wait.
    pub fn wait(&self) -> Duration {
        let turns = self.ahead.saturating_add(1) as f64;
        let per_place = self.hold_ms / f64::from(self.taken.max(1));
        let wait_ms = turns * per_place * self.factor;
        Duration::from_millis(wait_ms.min(1e9) as u64)
    }
}

/// What is known about the pace of one service.
#[derive(Debug)]
pub(super) struct FreedPace {
    hold_ms: Option<f64>,
    head_ms: Option<f64>,
    factor: f64,
    factor_at: EpochMillis,
}

impl Default for FreedPace {
    fn default() -> Self {
        let factor_at = EpochMillis::default();
        FreedPace { hold_ms: None, head_ms: None, factor: 1.0, factor_at }
    }
}

impl FreedPace {
    /// Notes that a call has held its place for `held`.
    pub(super) fn note_held(&mut self, held: Duration) {
        add_sample(&mut self.hold_ms, held);
    }

    /// Notes that an answer has begun `span` after the call was sent.
    pub(super) fn note_head(&mut self, span: Duration) {
        add_sample(&mut self.head_ms, span);
    }

    /// Returns the mean time from a send to the head of its answer; zero while
    /// it isn't known.
    pub(super) fn head(&self) -> Duration {
        Duration::from_millis(self.head_ms.unwrap_or_default() as u64)
    }

    /// Notes that a call, which was to wait for `expected`, has waited for
    /// `waited`.
    pub(super) fn note_wait(
        &mut self,
        expected: Duration,
        waited: Duration,
        now: EpochMillis,
    ) {
        let base = self.factor(now);
        // The estimate contains the factor that was in force.
        let plain = expected.as_secs_f64().max(0.001) / base;
        let (low, high) = FACTOR_BOUNDS;
        let sample = (waited.as_secs_f64() / plain).clamp(low, high);
        self.factor = base + FACTOR_WEIGHT * (sample - base);
        self.factor_at = now;
    }

    fn factor(&self, now: EpochMillis) -> f64 {
        let age = self.factor_at.until(now).as_secs_f64();
        let halves = age / FACTOR_HALF_LIFE.as_secs_f64();
        1.0 + (self.factor - 1.0) * 0.5_f64.powf(halves)
    }

    /// Returns the figures for a call behind `ahead` others; `None` until
    /// enough is known.
    pub(super) fn basis(
        &self,
        room: Room,
        ahead: usize,
        now: EpochMillis,
    ) -> Option<WaitBasis> {
        let hold_ms = self.hold_ms.filter(|_| 0 < room.taken)?;
        let factor = self.factor(now);
        Some(WaitBasis { ahead, taken: room.taken, hold_ms, factor })
    }
}

/// Adds a sample to a moving average in milliseconds.
fn add_sample(mean: &mut Option<f64>, sample: Duration) {
    let sample = sample.as_secs_f64() * 1_000.0;
    let mean = mean.get_or_insert(sample);
    *mean += MEAN_WEIGHT * (sample - *mean);
}
