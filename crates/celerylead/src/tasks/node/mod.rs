//! The tasks of a host that serves a platform through an adapter, from the
//! callers' socket to the connections to runners.
//!
//! | task | owns |
//! |---|---|
//! | `acceptor` | the callers' listener; starts a task for each connection |
//! | `caller_connection` | one connection of a caller |
//! | `router` | the relay table, token buckets, retry budgets, idle connections to runners |
//! | `watcher` | the position in the feed of the configuration |
//! | `registry` | the position in the feed of the registry, the roster |
//! | `gossip` | the UDP socket between hosts, the list of known hosts |
//! | `placer` | the orders lease, the placement plan, orders in flight |
//! | `intake`, beside this module | the common room for bodies of requests |
//! | `evacuations` | the list of evacuated zones |
//! | `control` | the sockets for readiness, metrics and snapshots |
//!
//! The newest catalog and roster are immutable values in watch channels,
//! because every call reads them and only the watcher replaces them.

mod acceptor;
mod aggregation;
mod attempt;
mod body;
mod call;
mod caller_connection;
mod caller_socket;
mod capacity_report;
mod control;
mod evacuations;
mod gossip;
mod gossip_port;
mod host_rows;
mod known_hosts;
mod lease;
#[cfg(test)]
mod lease_tests;
mod links;
mod ordering;
mod orders;
mod placement_log;
mod placer;
mod quarantine;
mod registry;
mod retries;
mod router;
mod router_admission;
mod router_cold;
mod router_digests;
mod router_port;
mod router_runners;
mod run;
mod seed_hosts;
#[cfg(test)]
mod tests;
mod trace;
mod watcher;

pub use self::run::{NodeOptions, RunningNode, start};

use std::sync::Arc;

use tokio::sync::watch;

use self::{
    evacuations::EvacuationWatch, gossip_port::GossipPort,
    router_port::RouterPort, watcher::EvidenceView,
};
use crate::{
    catalog::ServiceCatalog, clock::HostClock, metrics::HostMetrics,
    roster::RunnerFacts, tasks::intake::IntakePort,
};

/// The newest catalog; `None` until one is known.
pub(crate) type CatalogWatch = watch::Receiver<Option<Arc<ServiceCatalog>>>;
/// The runners in use; `None` until a roster is known, from the registry or
/// from another host.
pub(crate) type RosterWatch = watch::Receiver<Option<Arc<Vec<RunnerFacts>>>>;

/// Whether the host accepts callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NodePhase {
    /// Accepts callers.
    Serving,
    /// Reports itself as not ready, still accepts callers and closes each
    /// connection after its next answer.
    Leaving,
    /// Accepts no callers, refuses requests on connections that are open, and
    /// finishes those in flight.
    Ending,
}

/// State shared by the tasks of callers' connections.
#[derive(Clone)]
pub(crate) struct NodeContext<C> {
    pub(crate) codec: C,
    pub(crate) clock: HostClock,
    pub(crate) catalog: CatalogWatch,
    pub(crate) evidence: EvidenceView,
    pub(crate) evacuations: EvacuationWatch,
    pub(crate) router: RouterPort,
    pub(crate) gossip: GossipPort,
    pub(crate) metrics: HostMetrics,
    pub(crate) phase: watch::Receiver<NodePhase>,
    pub(crate) intake: IntakePort,
}

impl<C> NodeContext<C> {
    /// Returns the newest catalog, if one is known.
    pub(crate) fn catalog(&self) -> Option<Arc<ServiceCatalog>> {
        self.catalog.borrow().clone()
    }

    /// Returns the number of connections of callers that may be open.
    pub(crate) fn connection_bound(&self) -> usize {
        let catalog = self.catalog.borrow();
        let limits = catalog.as_ref().map(|c| c.limits).unwrap_or_default();
        self.intake.limits().connections(limits.head_bytes)
    }
}
