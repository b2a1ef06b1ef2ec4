//! What runners state about themselves in their answers.
//!
//! A notice concerns one start of a runner, and is remembered whether or not
//! the registry lists that start at the moment: an entry may be missing for a
//! while, and a leaving runner may be listed as ready again.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{clock::EpochMillis, roster::RunnerStart, sorted::SortedTable};

/// Time for which a start of a runner is remembered after its last notice. A
/// leaving runner ends within seconds.
const MEMORY: Duration = Duration::from_secs(3_600);
/// Time for which a departure is repeated to the other hosts, each of which
/// is sent a digest several times within it.
const REPEAT_TIME: Duration = Duration::from_millis(1_000);

/// What a runner states about itself in the head of an answer.
///
/// # Examples
///
/// ```
/// use celerylead::relay::RunnerNotice;
///
/// assert!(RunnerNotice::default().is_empty());
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub struct RunnerNotice {
    /// Whether the runner is leaving.
    pub leaving: bool,
    /// Time until which the runner wants no calls of this host; the epoch if
    /// it states none.
    pub paused_until: EpochMillis,
    /// Time until which the runner is cold; the epoch if it states none.
    pub cold_until: EpochMillis,
}

impl RunnerNotice {
    /// Returns whether the runner stated nothing.
    pub fn is_empty(&self) -> bool {
        *self == RunnerNotice::default()
    }
}

/// The notices of one start of a runner.
#[derive(Clone, Debug)]
struct StartRecord {
    born: Option<u64>,
    notice: RunnerNotice,
    /// Time until which the departure is repeated to the other hosts.
    repeat_until: EpochMillis,
    forget_at: EpochMillis,
}

/// The notices of the runners' latest starts, by runner.
#[derive(Debug, Default)]
pub(super) struct NoticeLog {
    starts: SortedTable<String, StartRecord>,
}

impl NoticeLog {
    /// Adds a notice from an answer of a runner to this host.
    pub(super) fn record(
        &mut self,
        start: &RunnerStart,
        notice: RunnerNotice,
        now: EpochMillis,
    ) {
        let Some(record) = self.record_mut(start, now) else { return };
        if notice.leaving && !record.notice.leaving {
            record.repeat_until = now.after(REPEAT_TIME);
        }
        record.notice.leaving |= notice.leaving;
        record.notice.paused_until =
            record.notice.paused_until.max(notice.paused_until);
        record.notice.cold_until =
            record.notice.cold_until.max(notice.cold_until);
    }

    /// Records that another host was told by a runner that it is leaving.
    pub(super) fn record_departure(
        &mut self,
        start: &RunnerStart,
        now: EpochMillis,
    ) {
        if let Some(record) = self.record_mut(start, now) {
            record.notice.leaving = true;
        }
    }

    /// Returns what a start of a runner has stated.
    pub(super) fn notice(&self, id: &str, born: Option<u64>) -> RunnerNotice {
        let record = self.starts.get(id).filter(|record| record.born == born);
        record.map(|record| record.notice).unwrap_or_default()
    }

    /// Returns the starts whose departure the other hosts are to be told.
    pub(super) fn departures(&self, now: EpochMillis) -> Vec<RunnerStart> {
        let recent =
            self.starts.iter().filter(|(_, record)| now < record.repeat_until);
        recent
            .map(|(id, record)| RunnerStart {
                id: id.clone(),
                born: record.born,
            })
            .collect()
    }

    /// Returns the record of a start, which replaces that of an earlier start of
    /// the runner; `None` if a later start is known already.
    fn record_mut(
        &mut self,
        start: &RunnerStart,
        now: EpochMillis,
    ) -> Option<&mut StartRecord> {
        self.starts.retain(|_, record| now < record.forget_at);
        let make = || StartRecord {
            born: start.born,
            notice: RunnerNotice::default(),
            repeat_until: EpochMillis::default(),
            forget_at: now.after(MEMORY),
        };
        let record = self.starts.entry(start.id.clone(), make);
        if start.born < record.born {
            return None;
        }
        if record.born != start.born {
            *record = make();
        }
        record.forget_at = now.after(MEMORY);
        Some(record)
    }
}
