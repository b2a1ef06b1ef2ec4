//! The task that owns the common room for bodies, and the guards that return
//! what a body took.
//!
//! A small body takes its room from a semaphore, without a message. A larger
//! one asks the task for each piece, and is told by it to give way. A guard
//! reserves its place in the mailbox when a body first takes common room, so
//! that its end never waits.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot};

use super::MAILBOX_CAPACITY;
use crate::{
    clock::{EpochMillis, HostClock},
    intake::{
        BodyAction, BodyId, BodyLedger, BodyRequest, IntakeLimits,
        SMALL_BODY_BYTES, header_room,
    },
    metrics::HostMetrics,
    sorted::SortedTable,
};

/// Upper bound on the bodies and buffered answers that hold common room.
const MAX_COMMON_HOLDERS: usize = 8_192;

/// Message of a body to the task.
enum IntakeEvent {
    /// A body needs further bytes; the reply says whether it may take them.
    /// With its first piece it sends the handle by which it gives way.
    Take {
        id: BodyId,
        bytes: u64,
        reply: oneshot::Sender<bool>,
        give_way: Option<oneshot::Sender<()>>,
    },
    /// A body has arrived whole.
    Complete(BodyId),
}

/// Handle by which tasks of connections take room for bodies.
#[derive(Clone)]
pub(crate) struct IntakePort(Arc<IntakeHandles>);

/// What the clones of a port share: every body holds one.
struct IntakeHandles {
    events: mpsc::Sender<IntakeEvent>,
    ends: mpsc::Sender<BodyId>,
    small: Arc<Semaphore>,
    tables: Arc<Semaphore>,
    next_id: AtomicU64,
    clock: HostClock,
    metrics: HostMetrics,
    limits: IntakeLimits,
}

/// Starts the task.
pub(crate) fn start(
    limits: IntakeLimits,
    clock: HostClock,
    metrics: HostMetrics,
) -> IntakePort {
    let (events, event_inbox) = mpsc::channel(MAILBOX_CAPACITY);
    let (ends, end_inbox) = mpsc::channel(MAX_COMMON_HOLDERS);
    let task = IntakeTask {
        ledger: BodyLedger::new(limits.common_bytes),
        replies: SortedTable::default(),
        give_way: SortedTable::default(),
    };
    super::spawn(task.run(event_inbox, end_inbox, clock.clone()));
    let share = |bytes| {
        let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
        Arc::new(Semaphore::new(bytes.min(Semaphore::MAX_PERMITS)))
    };
    IntakePort(Arc::new(IntakeHandles {
        events,
        ends,
        small: share(limits.small_bytes),
        tables: share(limits.table_bytes),
        next_id: AtomicU64::new(0),
        clock,
        metrics,
        limits,
    }))
}

struct IntakeTask {
    ledger: BodyLedger,
    /// Replies that bodies wait for.
    replies: SortedTable<BodyId, oneshot::Sender<bool>>,
    /// Handles of the bodies that hold common room.
    give_way: SortedTable<BodyId, oneshot::Sender<()>>,
}

impl IntakeTask {
    async fn run(
        mut self,
        mut events: mpsc::Receiver<IntakeEvent>,
        mut ends: mpsc::Receiver<BodyId>,
        clock: HostClock,
    ) {
        loop {
            tokio::select! {
                biased;
                event = events.recv() => match event {
                    Some(event) => self.handle(event, &clock),
                    None => return,
                },
                Some(id) = ends.recv() => {
                    // The requests of the body came before its end, by
                    // another channel. One that was read later would
                    // hold room for ever.
                    while let Ok(event) = events.try_recv() {
                        self.handle(event, &clock);
                    }
                    self.replies.remove(&id);
                    self.give_way.remove(&id);
                    self.decide(BodyRequest::End(id), &clock);
                }
            }
        }
    }

    fn handle(&mut self, event: IntakeEvent, clock: &HostClock) {
        let request = self.note(event);
        self.decide(request, clock);
    }

    fn decide(&mut self, request: BodyRequest, clock: &HostClock) {
        for action in self.ledger.decide(request, clock.now()) {
            self.carry_out(action);
        }
    }

    /// Keeps the handles of a message.
    fn note(&mut self, event: IntakeEvent) -> BodyRequest {
        match event {
            IntakeEvent::Take { id, bytes, reply, give_way } => {
                self.replies.insert(id, reply);
                if let Some(give_way) = give_way {
                    self.give_way.insert(id, give_way);
                }
                BodyRequest::Take { id, bytes }
            }
            IntakeEvent::Complete(id) => BodyRequest::Complete(id),
        }
    }

    /// Sends a decision. A body that has gone meanwhile ends by its guard.
    fn carry_out(&mut self, action: BodyAction) {
        let reply = match action {
            BodyAction::Grant(id) => self.replies.remove(&id).zip(Some(true)),
            BodyAction::Refuse(id) => {
                self.replies.remove(&id).zip(Some(false))
            }
            BodyAction::GiveWay(id) => {
                if let Some(handle) = self.give_way.remove(&id) {
                    let _ = handle.send(());
                }
                None
            }
        };
        if let Some((reply, granted)) = reply {
            let _ = reply.send(granted);
        }
    }
}

/// There is no room for a body.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct NoRoom;

/// State: the body is being read and may take further room.
pub(crate) struct Receiving(());
/// State: the body has arrived whole and only returns its room.
pub(crate) struct Kept(());

/// Room that a body has taken; dropping it returns the room.
pub(crate) struct BodyRoom<S> {
    small: Option<OwnedSemaphorePermit>,
    common: Option<CommonRoom>,
    held: HeldBytes,
    state: S,
}

/// Room of a request's headers; dropping it returns the room.
pub(crate) struct HeaderRoom {
    _permit: OwnedSemaphorePermit,
    _held: HeldBytes,
}

/// Part of the common room; dropping it reports the end of its body.
struct CommonRoom {
    id: BodyId,
    /// Told when the body must give way.
    give_way: Option<oneshot::Receiver<()>>,
    end: Option<mpsc::OwnedPermit<BodyId>>,
}

impl Drop for CommonRoom {
    fn drop(&mut self) {
        if let Some(end) = self.end.take() {
            end.send(self.id);
        }
    }
}

/// Bytes that count as held in the metrics.
struct HeldBytes {
    bytes: usize,
    port: IntakePort,
}

impl HeldBytes {
    fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.port.0.metrics.intake_bytes.inc_by(gauge_value(bytes));
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.port.0.metrics.intake_bytes.dec_by(gauge_value(self.bytes));
    }
}

fn gauge_value(bytes: usize) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX)
}

impl IntakePort {
    /// Returns the division of the host's memory and descriptors.
    pub(crate) fn limits(&self) -> &IntakeLimits {
        &self.0.limits
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> EpochMillis {
        self.0.clock.now()
    }

    /// Counts a body that was refused or given up.
    pub(crate) fn count_end(&self, cause: &'static str) {
        self.0.metrics.count_body_end(cause);
    }

    /// Begins a body, which has no room yet.
    pub(crate) fn begin(&self) -> BodyRoom<Receiving> {
        BodyRoom {
            small: None,
            common: None,
            held: HeldBytes { bytes: 0, port: self.clone() },
            state: Receiving(()),
        }
    }

    /// Takes room for a whole body of known length.
    pub(crate) async fn take_whole(
        &self,
        bytes: usize,
    ) -> Result<BodyRoom<Kept>, NoRoom> {
        let mut room = self.begin();
        room.take(bytes).await?;
        room.complete().await
    }

    /// Takes room for the headers of a request; `None` if they need no room of
    /// their own. Never waits: the headers are in memory already.
    pub(crate) fn take_headers(
        &self,
        headers: usize,
    ) -> Result<Option<HeaderRoom>, NoRoom> {
        let bytes = header_room(headers);
        if bytes == 0 {
            return Ok(None);
        }
        let tables = Arc::clone(&self.0.tables);
        // The largest head takes the whole share of a small host.
        let permits = u64::try_from(bytes).unwrap_or(u64::MAX);
        let permits = permits.min(self.0.limits.table_bytes);
        let permits = u32::try_from(permits).map_err(|_| NoRoom)?;
        let permit = tables.try_acquire_many_owned(permits);
        let _permit = permit.map_err(|_| NoRoom)?;
        let mut held = HeldBytes { bytes: 0, port: self.clone() };
        held.add(bytes);
        Ok(Some(HeaderRoom { _permit, _held: held }))
    }

    fn open_common(&self) -> Result<CommonRoom, NoRoom> {
        let end = self.0.ends.clone().try_reserve_owned();
        let id = BodyId(self.0.next_id.fetch_add(1, Ordering::Relaxed));
        let end = Some(end.map_err(|_| NoRoom)?);
        Ok(CommonRoom { id, give_way: None, end })
    }
}

impl BodyRoom<Receiving> {
    /// Returns the bytes for which there is room.
    pub(crate) fn held(&self) -> usize {
        self.held.bytes
    }

    /// Takes room for further bytes. If there is none, the body ends.
    pub(crate) async fn take(&mut self, bytes: usize) -> Result<(), NoRoom> {
        if self.common.is_none() && self.take_small(bytes) {
            self.held.add(bytes);
            return Ok(());
        }
        // What the body has of the share for small ones moves to the common
        // room.
        let moved = if self.small.is_some() { self.held.bytes } else { 0 };
        let mut first_handle = None;
        let common = match &mut self.common {
            Some(common) => common,
            none => {
                let (handle, give_way) = oneshot::channel();
                first_handle = Some(handle);
                let mut opened = self.held.port.open_common()?;
                opened.give_way = Some(give_way);
                none.insert(opened)
            }
        };
        let (reply, answer) = oneshot::channel();
        let event = IntakeEvent::Take {
            id: common.id,
            bytes: u64::try_from(moved + bytes).unwrap_or(u64::MAX),
            reply,
            give_way: first_handle,
        };
        self.held.port.0.events.send(event).await.map_err(|_| NoRoom)?;
        // A body that is told to give way while it waits loses its reply.
        if answer.await != Ok(true) {
            return Err(NoRoom);
        }
        self.small = None;
        self.held.add(bytes);
        Ok(())
    }

    /// Takes room from the share for small bodies, if it has any left.
    fn take_small(&mut self, bytes: usize) -> bool {
        if SMALL_BODY_BYTES < self.held.bytes + bytes {
            return false;
        }
        let Ok(permits) = u32::try_from(bytes) else { return false };
        let small = Arc::clone(&self.held.port.0.small);
        match (small.try_acquire_many_owned(permits), &mut self.small) {
            (Ok(further), Some(taken)) => taken.merge(further),
            (Ok(first), none) => *none = Some(first),
            (Err(_), _) => return false,
        }
        true
    }

    /// Waits until the body must give way to others. Never ends for a body
    /// without common room.
    pub(crate) async fn told_to_give_way(&mut self) {
        let Some(common) = &mut self.common else {
            return std::future::pending().await;
        };
        let told = match &mut common.give_way {
            Some(handle) => handle.await.is_ok(),
            None => false,
        };
        common.give_way = None;
        if !told {
            std::future::pending::<()>().await;
        }
    }

    /// Keeps the room of a body that has arrived whole, until it is dropped.
    pub(crate) async fn complete(self) -> Result<BodyRoom<Kept>, NoRoom> {
        if let Some(common) = &self.common {
            let event = IntakeEvent::Complete(common.id);
            self.held.port.0.events.send(event).await.map_err(|_| NoRoom)?;
        }
        let BodyRoom { small, common, held, state: Receiving(()) } = self;
        Ok(BodyRoom { small, common, held, state: Kept(()) })
    }
}

impl BodyRoom<Kept> {
    /// Ties the room to its bytes: it is returned when the last reference to
    /// them is dropped, wherever they are then.
    pub(crate) fn hold(self, bytes: Vec<u8>) -> Bytes {
        Bytes::from_owner(HeldBody { bytes, _room: self })
    }
}

/// Bytes with the room that they take.
struct HeldBody {
    bytes: Vec<u8>,
    _room: BodyRoom<Kept>,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests;
