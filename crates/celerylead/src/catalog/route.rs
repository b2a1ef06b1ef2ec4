//! Routes: the rules for the calls of a path.

use serde::{Deserialize, Serialize};

/// Whether and how a call of a route may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// May run more than once.
    Safe,
    /// May run at most once.
    Unsafe,
    /// Answers with a stream of events, and may run at most once.
    Stream,
    /// Answers with a stream of events that may be resumed at another runner.
    ResumableStream,
}

impl RouteKind {
    /// Returns whether a call may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, RouteKind::Safe | RouteKind::ResumableStream)
    }

    /// Returns whether answers are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }
}

/// A service that gets a share of a route's calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SplitTarget {
    /// Name of the service.
    pub service: String,
    /// Weight of the service among the targets of the route.
    pub weight: u32,
}

/// A route from a host name and a path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CallRoute {
    /// Name of the route, for log lines.
    pub name: String,
    /// Host name that the route matches.
    pub host: String,
    /// Path prefix that the route matches, with a slash at both ends.
    pub prefix: String,
    /// Whether and how a call may be retried.
    pub kind: RouteKind,
    /// Maximum time that a call may be kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Time to the first byte up to which callers pay the full price, in
    /// milliseconds.
    pub objective_ms: u64,
    /// Longest gap between two events of a stream up to which callers pay the
    /// full price, in milliseconds; 0 without a limit.
    pub gap_ms: u64,
    /// Priority of the calls; 0 is the highest.
    pub priority: u8,
    /// Services that run the calls of the route; never empty.
    pub targets: Vec<SplitTarget>,
    /// Maximum number of times that one call may run. Attempts at runners that
    /// provably didn't run the call aren't counted.
    pub max_attempts: u32,
    /// Whether calls need no API key.
    pub public: bool,
}

impl CallRoute {
    /// Returns the service of a call by weighted choice, for a random `draw`
    /// from 0 to 1.
    pub fn target(&self, draw: f64) -> Option<&str> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = draw * f64::from(total);
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 && 0 < target.weight {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|target| target.service.as_str())
    }
}
