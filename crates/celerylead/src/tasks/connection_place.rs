//! Place of a caller's connection among those that a host keeps open.

use std::sync::atomic::{AtomicBool, Ordering};

use tokio::sync::{mpsc, watch};

use crate::intake::{ConnectionEvent, ConnectionId};

/// What the task and the socket of a connection know about its place. The
/// acceptor decides which connection gives way to others.
pub(crate) struct ConnectionPlace {
    id: ConnectionId,
    events: mpsc::Sender<ConnectionEvent>,
    gives_way: watch::Receiver<bool>,
    /// Whether the acceptor knows that the caller doesn't go on.
    is_stalled: AtomicBool,
}

impl ConnectionPlace {
    /// Creates the place of a connection. `gives_way` turns true when it must
    /// give way.
    pub(crate) fn new(
        id: ConnectionId,
        events: mpsc::Sender<ConnectionEvent>,
        gives_way: watch::Receiver<bool>,
    ) -> ConnectionPlace {
        let is_stalled = AtomicBool::new(false);
        ConnectionPlace { id, events, gives_way, is_stalled }
    }

    /// Returns whether the connection must give way to others.
    pub(crate) fn gives_way(&self) -> bool {
        *self.gives_way.borrow()
    }

    /// Waits until the connection must give way. Never ends once the acceptor
    /// is gone.
    pub(crate) async fn wait_until_giving_way(&self) {
        let mut gives_way = self.gives_way.clone();
        if gives_way.wait_for(|gives_way| *gives_way).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Returns whether the caller was reported as not going on.
    pub(crate) fn is_stalled(&self) -> bool {
        self.is_stalled.load(Ordering::Relaxed)
    }

    /// Reports that the caller doesn't go on, and waits until the connection
    /// must give way.
    pub(crate) async fn yield_stalled(&self) {
        let event = ConnectionEvent::Stalled(self.id);
        if !self.is_stalled() && self.events.send(event).await.is_ok() {
            self.is_stalled.store(true, Ordering::Relaxed);
        }
        self.wait_until_giving_way().await;
    }

    /// Reports that the caller doesn't go on. While the acceptor's mailbox is
    /// full, nothing is reported.
    pub(crate) fn report_stalled(&self) {
        let event = ConnectionEvent::Stalled(self.id);
        if !self.is_stalled() && self.events.try_send(event).is_ok() {
            self.is_stalled.store(true, Ordering::Relaxed);
        }
    }

    /// Reports that a stalled caller has gone on. If the report is lost, the
    /// connection may give way after the request in flight.
    pub(crate) fn report_resumed(&self) {
        if self.is_stalled.swap(false, Ordering::Relaxed) {
            let event = ConnectionEvent::Resumed(self.id);
            let _ = self.events.try_send(event);
        }
    }
}
