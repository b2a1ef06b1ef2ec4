//! Time as the decisions see it.
//!
//! No decision reads a clock: each takes `now`. Tasks read a [`HostClock`]
//! and pass on what it says. Leases are shared between hosts whose clocks
//! differ, so a reading is a [`ClockBound`]: true time lies between
//! `earliest` and `latest`. A holder uses its lease only while `latest` is
//! before the deadline; a successor waits until `earliest` is past it. The
//! two can't overlap as long as each clock is within [`MAX_CLOCK_SKEW`] of
//! true time.
//!
//! The clock counts time for which the machine was suspended, so that a
//! holder that slept through its deadline sees it.

use std::{
    fmt,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// Largest difference between a host's clock and true time that leases
/// allow for.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_millis(250);

/// A point in time: milliseconds since the Unix epoch.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerylead::EpochMillis;
///
/// let deadline = EpochMillis(1_000).after(Duration::from_secs(2));
/// assert_eq!(deadline, EpochMillis(3_000));
/// assert_eq!(EpochMillis(2_500).until(deadline).as_millis(), 500);
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct EpochMillis(pub u64);

impl EpochMillis {
    /// Returns the point `span` later than this one.
    pub fn after(self, span: Duration) -> EpochMillis {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        EpochMillis(self.0.saturating_add(millis))
    }

    /// Returns the point `span` earlier than this one, or the epoch.
    pub fn before(self, span: Duration) -> EpochMillis {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        EpochMillis(self.0.saturating_sub(millis))
    }

    /// Returns the time left until `later`, zero when it has passed.
    pub fn until(self, later: EpochMillis) -> Duration {
        Duration::from_millis(later.0.saturating_sub(self.0))
    }
}

impl fmt::Display for EpochMillis {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A reading of a clock with its uncertainty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockBound {
    /// True time is not before this point.
    pub earliest: EpochMillis,
    /// True time is not after this point.
    pub latest: EpochMillis,
}

impl ClockBound {
    /// Returns the bound of a clock that reads `now`.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerylead::{ClockBound, EpochMillis};
    ///
    /// let bound = ClockBound::around(EpochMillis(10_000));
    /// assert!(bound.definitely_before(EpochMillis(10_251)));
    /// assert!(!bound.definitely_before(EpochMillis(10_250)));
    /// assert!(bound.definitely_after(EpochMillis(9_749)));
    /// ```
    pub fn around(now: EpochMillis) -> ClockBound {
        ClockBound {
            earliest: now.before(MAX_CLOCK_SKEW),
            latest: now.after(MAX_CLOCK_SKEW),
        }
    }

    /// Tells whether `deadline` has surely not come yet.
    pub fn definitely_before(&self, deadline: EpochMillis) -> bool {
        self.latest < deadline
    }

    /// Tells whether `deadline` has surely passed.
    pub fn definitely_after(&self, deadline: EpochMillis) -> bool {
        deadline < self.earliest
    }
}

/// The clock of this host.
///
/// It runs on from the wall time at which it was made, by the clock that
/// counts suspended time. Where the wall clock was stepped since, both
/// readings widen the bound.
#[derive(Clone, Debug)]
pub struct HostClock {
    wall_at_start: EpochMillis,
    boottime_at_start: Duration,
}

impl Default for HostClock {
    fn default() -> Self {
        HostClock { wall_at_start: wall_now(), boottime_at_start: boot_now() }
    }
}

impl HostClock {
    /// Returns the time, never earlier than a reading before it.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerylead::HostClock;
    ///
    /// let clock = HostClock::default();
    /// let first = clock.now();
    /// assert!(first <= clock.now());
    /// ```
    pub fn now(&self) -> EpochMillis {
        self.wall_at_start
            .after(boot_now().saturating_sub(self.boottime_at_start))
    }

    /// Returns the time with its uncertainty, for leases.
    pub fn bound(&self) -> ClockBound {
        let wall = wall_now();
        let monotonic = self.now();
        ClockBound {
            earliest: wall.min(monotonic).before(MAX_CLOCK_SKEW),
            latest: wall.max(monotonic).after(MAX_CLOCK_SKEW),
        }
    }
}

fn wall_now() -> EpochMillis {
    let span =
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    EpochMillis(0).after(span)
}

fn boot_now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
