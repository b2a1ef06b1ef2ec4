//! Which connection gives way to a new one.

use crate::sorted::SortedTable;

/// Identifier of a connection, which grows with each one accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionId(u64);

/// What a connection reports about its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionEvent {
    /// The caller neither goes on with its body nor takes its answer.
    Stalled(ConnectionId),
    /// The caller has gone on.
    Resumed(ConnectionId),
}

/// The open connections of callers that weren't told to give way. `H` is the
/// handle by which a connection is told.
#[derive(Debug)]
pub(crate) struct ConnectionQueue<H> {
    next: u64,
    untold: SortedTable<ConnectionId, H>,
    /// Those of `untold` whose callers don't go on.
    stalled: SortedTable<ConnectionId, ()>,
}

impl<H> ConnectionQueue<H> {
    /// Creates an empty queue.
    pub(crate) fn new() -> ConnectionQueue<H> {
        ConnectionQueue {
            next: 0,
            untold: SortedTable::default(),
            stalled: SortedTable::default(),
        }
    }

    /// Adds a connection.
    pub(crate) fn add(&mut self, handle: H) -> ConnectionId {
        let id = ConnectionId(self.next);
        self.next += 1;
        self.untold.insert(id, handle);
        id
    }

    /// Removes a connection that has ended.
    pub(crate) fn remove(&mut self, id: ConnectionId) {
        self.stalled.remove(&id);
        self.untold.remove(&id);
    }

    /// Notes what a connection reports, unless it gives way already or has ended.
    pub(crate) fn note(&mut self, event: ConnectionEvent) {
        match event {
            ConnectionEvent::Stalled(id) if self.untold.get(&id).is_some() => {
                self.stalled.insert(id, ());
            }
            ConnectionEvent::Stalled(_) => {}
            ConnectionEvent::Resumed(id) => {
                self.stalled.remove(&id);
            }
        }
    }

    /// Returns the handle of the connection that gives way while `open` of at
    /// most `bound` are open: the oldest one whose caller doesn't go on, as it
    /// ends at once, or else the oldest one, but never the latest, for which the
    /// others give way.
    pub(crate) fn give_way(&mut self, open: usize, bound: usize) -> Option<H> {
        if open <= bound {
            return None;
        }
        let stalled = self.stalled.keys().next().copied();
        let chosen = match stalled {
            Some(id) => id,
            None if self.untold.len() <= 1 => return None,
            None => *self.untold.keys().next()?,
        };
        self.stalled.remove(&chosen);
        self.untold.remove(&chosen)
    }
}
