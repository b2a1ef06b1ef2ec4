//! The common room for bodies, and who may take the next piece of it.

use std::time::Duration;

use super::progress::{YIELD_GRACE, YIELDING_BYTES_PER_MS};
use crate::{clock::EpochMillis, sorted::SortedTable};

/// Identifier of a body, which grows with each body of the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct BodyId(pub(crate) u64);

/// What a body tells the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyRequest {
    /// It needs this many bytes more.
    Take { id: BodyId, bytes: u64 },
    /// It has arrived whole. It keeps what it holds until it ends.
    Complete(BodyId),
    /// Its memory is free again.
    End(BodyId),
}

/// What becomes of bodies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyAction {
    /// The body may take what it asked for.
    Grant(BodyId),
    /// There is no room; the body is to be refused.
    Refuse(BodyId),
    /// The body must free its memory, as others need it.
    GiveWay(BodyId),
}

/// State of a body that takes part of the common room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// It is being read. From `due` on it gives way to others.
    Receiving { due: EpochMillis },
    /// It waits for room for this many bytes more.
    Waiting { bytes: u64 },
    /// It was told to give way.
    GivingWay,
    /// It has arrived whole.
    Complete,
}

#[derive(Clone, Copy, Debug)]
struct HeldBody {
    bytes: u64,
    stage: Stage,
}

/// Which bodies hold how much of the common room.
#[derive(Debug)]
pub(crate) struct BodyLedger {
    room: u64,
    held: u64,
    bodies: SortedTable<BodyId, HeldBody>,
    /// Number of bodies that wait.
    waiting: usize,
}

impl BodyLedger {
    /// Creates a ledger of `room` bytes.
    pub(crate) fn new(room: u64) -> BodyLedger {
        BodyLedger {
            room,
            held: 0,
            bodies: SortedTable::default(),
            waiting: 0,
        }
    }

    /// Returns the bytes that bodies hold.
    #[cfg(test)]
    pub(crate) fn held(&self) -> u64 {
        self.held
    }

    /// Decides on a request and on the bodies that wait.
    ///
    /// A body that waits is answered as soon as each body that was told to give
    /// way has ended or turned out to be complete, so no timer is needed.
    pub(crate) fn decide(
        &mut self,
        request: BodyRequest,
        now: EpochMillis,
    ) -> Vec<BodyAction> {
        match request {
            BodyRequest::Take { id, bytes } => {
                let stage = Stage::Waiting { bytes };
                let new = || HeldBody { bytes: 0, stage: Stage::Complete };
                let body = self.bodies.entry(id, new);
                // The request of a body that is told to give way may be under
                // way; without an answer the body would wait for ever.
                if body.stage == Stage::GivingWay {
                    return vec![BodyAction::Refuse(id)];
                }
                self.change(id, stage);
            }
            BodyRequest::Complete(id) => self.change(id, Stage::Complete),
            BodyRequest::End(id) => {
                self.change(id, Stage::GivingWay);
                let ended = self.bodies.remove(&id);
                self.held -= ended.map_or(0, |body| body.bytes);
            }
        }
        if self.waiting == 0 {
            return Vec::new();
        }
        self.serve_waiting(now)
    }

    /// Changes the stage of a body and the number of those that wait.
    fn change(&mut self, id: BodyId, stage: Stage) {
        let Some(body) = self.bodies.get_mut(&id) else { return };
        if body.stage == Stage::GivingWay && stage != Stage::Complete {
            return;
        }
        let waits =
            |stage| usize::from(matches!(stage, Stage::Waiting { .. }));
        self.waiting = self.waiting + waits(stage) - waits(body.stage);
        body.stage = stage;
    }

    /// Decides on each body that waits, the oldest first. Room that will be
    /// free is promised once, so that few bodies wait, and each message costs
    /// one pass over the bodies.
    fn serve_waiting(&mut self, now: EpochMillis) -> Vec<BodyAction> {
        let mut actions = Vec::new();
        let mut waiting = Vec::new();
        let mut late = Vec::new();
        let mut freed = 0;
        for (id, body) in self.bodies.iter() {
            match body.stage {
                Stage::Waiting { bytes } => waiting.push((*id, bytes)),
                Stage::GivingWay => freed += body.bytes,
                Stage::Receiving { due } if due < now => {
                    late.push((due, *id, body.bytes));
                }
                _ => {}
            }
        }
        // The latest comes last.
        late.sort_unstable_by(|one, other| other.cmp(one));
        let mut late_bytes: u64 = late.iter().map(|late| late.2).sum();
        let mut free = self.room.saturating_sub(self.held);
        for (id, bytes) in waiting {
            if bytes <= free {
                free -= bytes;
                self.held += bytes;
                if let Some(body) = self.bodies.get_mut(&id) {
                    body.bytes += bytes;
                }
                self.change(id, Stage::Receiving { due: due(bytes, now) });
                actions.push(BodyAction::Grant(id));
                continue;
            }
            if free + freed + late_bytes < bytes {
                self.change(id, Stage::GivingWay);
                actions.push(BodyAction::Refuse(id));
                continue;
            }
            while free + freed < bytes {
                let Some((_, chosen, held)) = late.pop() else { break };
                late_bytes -= held;
                freed += held;
                self.change(chosen, Stage::GivingWay);
                actions.push(BodyAction::GiveWay(chosen));
            }
            let missing = bytes - free;
            free = 0;
            freed = freed.saturating_sub(missing);
        }
        actions
    }
}

/// Returns the time by which a piece of this many bytes is due.
fn due(bytes: u64, now: EpochMillis) -> EpochMillis {
    let span = Duration::from_millis(bytes / YIELDING_BYTES_PER_MS);
    now.after(YIELD_GRACE).after(span)
}
