//! The task that gives orders to the runners, on the host that may.

use std::time::Duration;

use tokio::sync::mpsc;

use super::{
    CatalogWatch, RosterWatch,
    herald::{Heard, HeraldPort},
};
use crate::{clock::HostClock, membership::HostRow, port::StorePort};

/// Messages that wait before senders drop theirs.
pub(crate) const MAILBOX: usize = 256;

/// What the task is started with.
pub(crate) struct PlacerSetup<C> {
    pub(crate) row: HostRow,
    pub(crate) codec: C,
    pub(crate) store: StorePort,
    pub(crate) clock: HostClock,
    pub(crate) catalog: CatalogWatch,
    pub(crate) roster: RosterWatch,
    pub(crate) herald: HeraldPort,
    pub(crate) turns: Duration,
}

/// Starts the task.
pub(crate) fn start<C: Send + 'static>(
    setup: PlacerSetup<C>,
    mut inbox: mpsc::Receiver<Heard>,
) {
    crate::tasks::spawn(async move {
        let _setup = setup;
        while inbox.recv().await.is_some() {}
    });
}
