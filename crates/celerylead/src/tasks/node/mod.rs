//! A host behind an adapter: its tasks, from the callers' socket to the
//! runners.
//!
//! | task | owns |
//! |---|---|
//! | `gate` | the callers' listener; a task for each connection |
//! | `desk` | the relay table, the rates, idle connections to runners |
//! | `watcher` | the positions in the store's feeds |
//! | `herald` | the socket between hosts, what each host last told |
//! | `placer` | the lease on orders, the plan, orders under way |
//! | `control` | the sockets for readiness, metrics and snapshots |
//!
//! The newest catalog and roster are immutable values in watch channels, as
//! every call reads them and only the watcher replaces them.

mod acceptor;
mod attempt;
mod body;
mod call;
mod control;
mod gossip;
mod lease;
mod links;
mod orders;
mod placer;
mod router;
mod run;
#[cfg(test)]
mod tests;
mod watcher;

pub use self::run::{NodeOptions, RunningNode, start};

use std::sync::Arc;

use tokio::sync::watch;

use self::router::RouterPort;
use crate::{
    catalog::ServiceCatalog, clock::HostClock, metrics::HostMetrics,
    roster::RunnerFacts,
};

/// The newest catalog, once one is known.
pub(crate) type CatalogWatch = watch::Receiver<Option<Arc<ServiceCatalog>>>;
/// The runners in use, once the registry was read.
pub(crate) type RosterWatch = watch::Receiver<Option<Arc<Vec<RunnerFacts>>>>;

/// Whether the host takes callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NodePhase {
    /// Takes callers.
    Serving,
    /// Says that it is leaving, still takes callers and ends each
    /// connection with its next answer.
    Leaving,
    /// Takes no callers, ends the answers in hand.
    Ending,
}

/// What the tasks of connections share.
#[derive(Clone)]
pub(crate) struct NodeContext<C> {
    pub(crate) codec: C,
    pub(crate) clock: HostClock,
    pub(crate) catalog: CatalogWatch,
    pub(crate) router: RouterPort,
    pub(crate) metrics: HostMetrics,
    pub(crate) phase: watch::Receiver<NodePhase>,
}

impl<C> NodeContext<C> {
    /// Returns the newest catalog.
    pub(crate) fn catalog(&self) -> Option<Arc<ServiceCatalog>> {
        self.catalog.borrow().clone()
    }
}
