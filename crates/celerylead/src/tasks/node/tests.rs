//! The desk by its messages alone.

use std::{sync::Arc, time::Duration};

use tokio::{sync::watch, time::Instant};

use super::{
    desk::{self, DeskEvent, DeskPort, DeskSetup, RetryAllowance},
    herald,
};
use crate::{
    catalog::{CallLimits, ServiceCatalog, ServiceSpec},
    clock::HostClock,
    membership::{HostDigest, RunnerLoad},
    metrics::HostMetrics,
    relay::CallRequirements,
    request::RequestId,
    roster::RunnerFacts,
};

/// Calls that a runner runs at a time.
const SLOTS: u32 = 4;

/// A desk before one runner of a plain service.
struct LoneDesk {
    port: DeskPort,
    clock: HostClock,
    // Their receivers are the desk's.
    _catalogs: watch::Sender<Option<Arc<ServiceCatalog>>>,
    _rosters: watch::Sender<Option<Arc<Vec<RunnerFacts>>>>,
}

impl LoneDesk {
    async fn start() -> LoneDesk {
        let service = ServiceSpec {
            name: "ledger".to_owned(),
            max_links: 100,
            engine: None,
        };
        let catalog = ServiceCatalog::new(
            1,
            CallLimits::default(),
            Vec::new(),
            vec![service],
            Vec::new(),
        );
        let runner = RunnerFacts {
            id: "i-1".to_owned(),
            service: "ledger".to_owned(),
            address: "127.0.0.1:1".to_owned(),
            zone: "boden".to_owned(),
            slots: SLOTS,
            leaving: false,
            born: Some(1),
            models: Vec::new(),
            copies: Vec::new(),
            orders: 0,
        };
        let (catalogs, catalog_seen) = watch::channel(None);
        let (rosters, roster_seen) = watch::channel(None);
        let clock = HostClock::default();
        let (port, inbox) = desk::mailbox();
        let setup = DeskSetup {
            zone: "boden".to_owned(),
            clock: clock.clone(),
            catalog: catalog_seen,
            roster: roster_seen,
            herald: herald::mailbox().0,
            allowance: RetryAllowance {
                share: 0.2,
                slack: 50.0,
                window: Duration::from_secs(10),
            },
            metrics: HostMetrics::default(),
        };
        desk::start(setup, inbox);
        catalogs.send_replace(Some(Arc::new(catalog)));
        rosters.send_replace(Some(Arc::new(vec![runner])));
        let (_catalogs, _rosters) = (catalogs, rosters);
        let desk = LoneDesk { port, clock, _catalogs, _rosters };
        // It is routed once the runner is known.
        desk.route(Duration::from_secs(60)).await;
        desk
    }

    /// Has another host tell of its calls at the runner.
    async fn told(&self, calls: u32) {
        let load = RunnerLoad {
            runner: "i-1".to_owned(),
            calls,
            tokens: 0,
            names: Vec::new(),
        };
        let loads = if calls == 0 { Vec::new() } else { vec![load] };
        let host = "front-2".to_owned();
        let digest = HostDigest { host, loads, ..HostDigest::default() };
        let (digest, at) = (Box::new(digest), self.clock.now());
        let event = DeskEvent::Told { digest, at };
        self.port.sender.send(event).await.unwrap();
    }

    /// Routes a call of this patience; returns how long that took.
    async fn route(&self, patience: Duration) -> Duration {
        let now = self.clock.now();
        let ask = CallRequirements {
            id: RequestId::given("r-1"),
            service: "ledger".to_owned(),
            model: None,
            tokens: 0,
            charge: None,
            tried: Vec::new(),
            sent: false,
            deadline: now.after(patience),
        };
        let began = Instant::now();
        assert!(self.port.route(&ask, None, now).await.is_ok());
        began.elapsed()
    }
}

/// Guards against calls that wait for a free place until their time is over,
/// as nothing ends at their own host while other hosts' calls end.
#[tokio::test]
async fn a_place_that_another_host_gives_back_ends_a_wait() {
    /// A fifth of it may be spent waiting: a second.
    const PATIENCE: Duration = Duration::from_secs(5);
    /// Point at which the other host tells that its calls have ended.
    const FREED: Duration = Duration::from_millis(100);
    let desk = LoneDesk::start().await;
    desk.told(2 * SLOTS).await;
    let freed = async {
        tokio::time::sleep(FREED).await;
        desk.told(0).await;
    };
    let (took, ()) = tokio::join!(desk.route(PATIENCE), freed);
    assert!(FREED <= took && took < FREED * 5, "{took:?}");
}
