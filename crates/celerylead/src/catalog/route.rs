//! Routes: what may be done with the calls of a path.

use serde::{Deserialize, Serialize};

/// What may be repeated of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// May run more than once.
    Safe,
    /// May run at most once.
    Unsafe,
    /// A stream of events that may run at most once.
    Stream,
    /// A stream of events that may go on at another runner.
    ResumableStream,
}

impl RouteKind {
    /// Tells whether a call may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, RouteKind::Safe | RouteKind::ResumableStream)
    }

    /// Tells whether answers are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }
}

/// A service that gets a part of a route's calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct SplitTarget {
    /// Name of the service.
    pub service: String,
    /// Its weight among the targets of the route.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CallRoute {
    /// Name, for logs.
    pub name: String,
    /// Host name that it answers to.
    pub host: String,
    /// Prefix of its paths, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time a call may be kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Time to the first byte for which callers pay in full, in
    /// milliseconds.
    pub objective_ms: u64,
    /// Rank, 0 first.
    pub priority: u8,
    /// Services that run its calls; never empty.
    pub targets: Vec<SplitTarget>,
    /// Most runners that one call may be sent to.
    pub max_attempts: u32,
    /// Whether calls need no key.
    pub public: bool,
}

impl CallRoute {
    /// Returns the service of a call, for a random `draw` from 0 to 1.
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
