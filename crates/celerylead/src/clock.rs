//! Clocks and points in time.
//!
//! Decision code never reads a clock: each function takes the time as a
//! parameter `now`. Tasks read a [`HostClock`] and pass the time on. Leases
//! are shared between hosts whose clocks differ, so a reading for a lease is a
//! [`ClockBound`]: true time lies between `earliest` and `latest`. A holder
//! uses its lease only while `latest` is before the deadline; a successor
//! waits until `earliest` is after the deadline. The two periods can't overlap
//! as long as each clock is within [`MAX_CLOCK_SKEW`] of true time.
//!
//! The clock includes the time for which the machine was suspended, so a
//! holder that was suspended past its deadline notices it.

use std::{
    fmt,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// Largest difference between a host's clock and true time that leases
/// tolerate.
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
    /// Returns the time `span` after this one.
    pub fn after(self, span: Duration) -> EpochMillis {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        EpochMillis(self.0.saturating_add(millis))
    }

    /// Returns the time `span` before this one, but not before the epoch.
    pub fn before(self, span: Duration) -> EpochMillis {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        EpochMillis(self.0.saturating_sub(millis))
    }

    /// Returns the duration until `later`, or zero if `later` has passed.
    pub fn until(self, later: EpochMillis) -> Duration {
        Duration::from_millis(later.0.saturating_sub(self.0))
    }
}

impl fmt::Display for EpochMillis {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A clock reading with its uncertainty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockBound {
    /// Lower bound of true time.
    pub earliest: EpochMillis,
    /// Upper bound of true time.
    pub latest: EpochMillis,
}

impl ClockBound {
    /// Returns the bounds of true time for a clock that reads `now`.
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

    /// Returns whether true time is before `deadline` despite the uncertainty.
    pub fn definitely_before(&self, deadline: EpochMillis) -> bool {
        self.latest < deadline
    }

    /// Returns whether true time is after `deadline` despite the uncertainty.
    pub fn definitely_after(&self, deadline: EpochMillis) -> bool {
        deadline < self.earliest
    }
}

/// The clock of this host.
///
/// The clock starts at the wall time of its creation and advances with
/// `CLOCK_BOOTTIME`, which includes suspended time. If the wall clock has been
/// stepped since, [`HostClock::bound`] covers both readings.
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
    /// Returns the current time, which is never earlier than a previous
    /// reading.
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

    /// Returns the current time with its uncertainty, for use with leases.
    pub fn bound(&self) -> ClockBound {
        let wall = wall_now();
        let monotonic = self.now();
        ClockBound {
            earliest: wall.min(monotonic).before(MAX_CLOCK_SKEW),
            latest: wall.max(monotonic).after(MAX_CLOCK_SKEW),
        }
    }
}

/// Returns the time of the wall clock, which may be set forwards or back.
fn wall_now() -> EpochMillis {
    let span =
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    EpochMillis(0).after(span)
}

/// Returns the time since the machine booted, including time in suspension.
fn boot_now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
