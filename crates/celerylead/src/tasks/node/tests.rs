//! Tests of the router through its messages only.

use std::{
    future::{Future as _, poll_fn},
    sync::Arc,
    task::Poll,
    time::Duration,
};

use tokio::{sync::watch, time::Instant};

use super::{
    gossip_port,
    router::{self, RouterSetup},
    router_port::{self, RouterEvent, RouterPort},
};
use crate::{
    catalog::{CallLimits, ServiceCatalog, ServiceSpec},
    clock::{EpochMillis, HostClock},
    membership::{HostDigest, RunnerLoad},
    metrics::HostMetrics,
    quarantine::PromptParts,
    relay::{CallProfile, CallRequirements, ColdBounds},
    request::{RequestId, RetryAllowance},
    roster::RunnerFacts,
};

/// Number of calls that the runner runs at a time.
const SLOTS: u32 = 4;

/// A router with one runner of a service without an engine.
struct TestRouter {
    port: RouterPort,
    clock: HostClock,
    // Kept open, as the router holds their receivers.
    _catalogs: watch::Sender<Option<Arc<ServiceCatalog>>>,
    _rosters: watch::Sender<Option<Arc<Vec<RunnerFacts>>>>,
}

impl TestRouter {
    async fn start() -> TestRouter {
        let service = ServiceSpec {
            name: "ledger".to_owned(),
            max_links: 100,
            engine: None,
            cold: None,
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
            cold_until: EpochMillis::default(),
        };
        let (catalogs, catalog_receiver) = watch::channel(None);
        let (rosters, roster_receiver) = watch::channel(None);
        let clock = HostClock::default();
        let (port, inbox) = router_port::mailbox();
        let setup = RouterSetup {
            host: "front-1".to_owned(),
            zone: "boden".to_owned(),
            clock: clock.clone(),
            catalog: catalog_receiver,
            roster: roster_receiver,
            gossip: gossip_port::mailbox().0,
            allowance: RetryAllowance {
                share: 0.2,
                slack: 50.0,
                window: Duration::from_secs(10),
            },
            cold_bounds: ColdBounds::default(),
            claims: watch::channel(Vec::new()).0,
            verdicts: watch::channel(Vec::new()).0,
            metrics: HostMetrics::default(),
        };
        router::start(setup, inbox);
        catalogs.send_replace(Some(Arc::new(catalog)));
        rosters.send_replace(Some(Arc::new(vec![runner])));
        let (_catalogs, _rosters) = (catalogs, rosters);
        let router = TestRouter { port, clock, _catalogs, _rosters };
        // Waits until the router knows the runner.
        router.route(Duration::from_secs(60)).await;
        router
    }

    /// Delivers a digest in which another host reports `calls` calls in flight
    /// at the runner.
    async fn report_peer_calls(&self, calls: u32) {
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
        let event = RouterEvent::Digest { digest, at };
        self.port.sender.send(event).await.unwrap();
    }

    /// Returns the requirements of a call with this timeout.
    fn requirements(&self, timeout: Duration) -> CallRequirements {
        let now = self.clock.now();
        CallRequirements {
            id: RequestId::from_caller("r-1"),
            service: "ledger".to_owned(),
            model: None,
            tokens: 0,
            charge: None,
            tried: Vec::new(),
            sent: false,
            deadline: now.after(timeout),
            parts: PromptParts::default(),
            profile: CallProfile::default(),
        }
    }

    /// Routes a call with this timeout; returns how long the routing took.
    async fn route(&self, timeout: Duration) -> Duration {
        let now = self.clock.now();
        let requirements = self.requirements(timeout);
        let began = Instant::now();
        assert!(self.port.route(&requirements, None, now).await.is_ok());
        began.elapsed()
    }
}

/// Guards against calls that wait for a free slot until their wait limit has
/// passed: slots are freed by calls of other hosts, while no call of the
/// waiting call's own host ends.
#[tokio::test]
async fn capacity_freed_at_another_host_ends_a_wait() {
    /// Timeout of the call. A fifth of it, one second, may be spent waiting
    /// for a runner.
    const CALL_TIMEOUT: Duration = Duration::from_secs(5);
    /// Time after which the other host reports that its calls have ended.
    const FREED_AFTER: Duration = Duration::from_millis(100);
    let router = TestRouter::start().await;
    router.report_peer_calls(2 * SLOTS).await;
    let freed = async {
        tokio::time::sleep(FREED_AFTER).await;
        router.report_peer_calls(0).await;
    };
    let (took, ()) = tokio::join!(router.route(CALL_TIMEOUT), freed);
    assert!(FREED_AFTER <= took && took < FREED_AFTER * 5, "{took:?}");
}

/// Guards against calls that count at a runner for good, as their callers left
/// after a runner was chosen and before they took notice.
#[tokio::test]
async fn callers_that_leave_at_any_step_free_their_runner() {
    const CALLERS: usize = 10_000;
    /// Most steps of the router that a caller waits for.
    const STEPS: usize = 5;
    let router = TestRouter::start().await;
    for number in 0..CALLERS {
        let requirements = router.requirements(Duration::from_secs(60));
        let now = router.clock.now();
        let mut call = Box::pin(router.port.route(&requirements, None, now));
        // Sends the call to the router.
        poll_fn(|context| {
            let _ = call.as_mut().poll(context);
            Poll::Ready(())
        })
        .await;
        for _ in 0..number % STEPS {
            tokio::task::yield_now().await;
        }
        drop(call);
    }
    let took = router.route(Duration::from_secs(5)).await;
    assert!(took < Duration::from_millis(100), "{took:?}");
}
