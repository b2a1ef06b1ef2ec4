//! Which connection gives way to a new one.

use crate::sorted::SortedTable;

/// Identifier of a connection, which grows with each one accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionId(u64);

/// The open connections of callers that weren't told to give way. `H` is the
/// handle by which a connection is told.
#[derive(Debug)]
pub(crate) struct ConnectionQueue<H> {
    next: u64,
    untold: SortedTable<ConnectionId, H>,
}

impl<H> ConnectionQueue<H> {
    /// Creates an empty queue.
    pub(crate) fn new() -> ConnectionQueue<H> {
        ConnectionQueue { next: 0, untold: SortedTable::default() }
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
        self.untold.remove(&id);
    }

    /// Returns the handle of the connection that gives way while `open` of at
    /// most `bound` are open: the oldest one, but never the latest, for which
    /// the others give way.
    pub(crate) fn give_way(&mut self, open: usize, bound: usize) -> Option<H> {
        if open <= bound || self.untold.len() <= 1 {
            return None;
        }
        let oldest = *self.untold.keys().next()?;
        self.untold.remove(&oldest)
    }
}
