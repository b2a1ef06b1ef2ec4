//! Signs by which a broken answer is told from the end of its runner.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{clock::EpochMillis, roster::RunnerStart, sorted::SortedTable};

/// Time for which a sign is remembered; crashes are remembered for as long.
const MEMORY: Duration = Duration::from_secs(600);
/// Most starts of runners of which signs are remembered.
const MAX_STARTS: usize = 1_024;

/// What a start of a runner was seen to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunnerSign {
    /// It answered a call that was sent at that time, so that it hadn't ended.
    Answered,
    /// Its address refused a connection, so that it had ended.
    Refused,
}

/// The latest signs of one start.
#[derive(Clone, Copy, Debug, Default)]
struct SignTimes {
    answered: Option<EpochMillis>,
    refused: Option<EpochMillis>,
}

/// The latest signs of the runners' starts.
#[derive(Debug, Default)]
pub(super) struct SignLog {
    starts: SortedTable<RunnerStart, SignTimes>,
}

impl SignLog {
    /// Records a sign.
    pub(super) fn record(
        &mut self,
        start: &RunnerStart,
        sign: RunnerSign,
        at: EpochMillis,
    ) {
        if self.starts.get(start).is_none() {
            self.make_room(at);
            self.starts.insert(start.clone(), SignTimes::default());
        }
        let Some(times) = self.starts.get_mut(start) else { return };
        match sign {
            RunnerSign::Answered => {
                times.answered = times.answered.max(Some(at));
            }
            RunnerSign::Refused => {
                times.refused = times.refused.max(Some(at));
            }
        }
    }

    /// Returns the time of a start's last sign of this kind.
    pub(super) fn last(
        &self,
        start: &RunnerStart,
        sign: RunnerSign,
    ) -> Option<EpochMillis> {
        let times = self.starts.get(start)?;
        match sign {
            RunnerSign::Answered => times.answered,
            RunnerSign::Refused => times.refused,
        }
    }

    fn make_room(&mut self, now: EpochMillis) {
        if self.starts.len() < MAX_STARTS {
            return;
        }
        let last = |times: &SignTimes| {
            times.answered.max(times.refused).unwrap_or_default()
        };
        let mut times: Vec<EpochMillis> =
            self.starts.values().map(last).collect();
        times.sort();
        let middle = times[times.len() / 2];
        self.starts.retain(|_, times| {
            middle < last(times) && now < last(times).after(MEMORY)
        });
    }
}
