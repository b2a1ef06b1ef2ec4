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
    catalog::{
        BilledCustomer, CallLimits, EngineModel, EngineSpec, RateUnit,
        ServiceCatalog, ServiceSpec, TokenRate,
    },
    clock::{EpochMillis, HostClock},
    customer::{CallCharge, ChargeState},
    membership::{HostDigest, RunnerLoad},
    metrics::HostMetrics,
    model::ModelName,
    quarantine::{EvidenceReport, PartId, PromptParts, VerdictRow},
    relay::{CallProfile, CallRequirements, ColdBounds},
    request::{CallScheduling, RequestId, RetryAllowance},
    roster::{HeldModel, RunnerFacts},
};

/// Number of calls that the runner runs at a time.
const SLOTS: u32 = 4;

/// Customer with a rate.
const CUSTOMER: &str = "parish";
const RATE: TokenRate =
    TokenRate { per_second: 1_000, burst: 2_000, unit: RateUnit::Calls };

/// A router with one runner of a service without an engine.
struct TestRouter {
    port: RouterPort,
    clock: HostClock,
    metrics: HostMetrics,
    rosters: watch::Sender<Option<Arc<Vec<RunnerFacts>>>>,
    catalogs: watch::Sender<Option<Arc<ServiceCatalog>>>,
}

/// Returns a catalog with one service and one customer.
fn catalog(revision: u64, rate: Option<TokenRate>) -> ServiceCatalog {
    let service = ServiceSpec {
        name: "ledger".to_owned(),
        max_links: 100,
        engine: None,
        cold: None,
    };
    let model = EngineModel {
        name: "bend".to_owned(),
        size_mb: 40.0,
        load_ms: 200,
        warm_ms: 50,
        disk_ms: 100,
        adapters: 2,
        adapter_mb: 1.0,
    };
    let engine = EngineSpec {
        batch: 4,
        token_capacity: 100_000,
        memory_mb: 100.0,
        adapter_places: 2,
        loads_per_second: 2.0,
        models: vec![model],
    };
    let advisor = ServiceSpec {
        name: "advisor".to_owned(),
        engine: Some(engine),
        ..service.clone()
    };
    let customer =
        BilledCustomer { name: CUSTOMER.to_owned(), priority: None, rate };
    ServiceCatalog::new(
        revision,
        CallLimits::default(),
        Vec::new(),
        vec![advisor, service],
        vec![(customer, Vec::new())],
    )
}

impl TestRouter {
    async fn start() -> TestRouter {
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
        let metrics = HostMetrics::default();
        let (port, inbox) = router_port::mailbox();
        let setup = RouterSetup {
            host: "front-1".to_owned(),
            zone: "boden".to_owned(),
            clock: clock.clone(),
            catalog: catalog_receiver,
            roster: roster_receiver,
            evacuations: watch::channel(Arc::default()).1,
            gossip: gossip_port::mailbox().0,
            allowance: RetryAllowance {
                share: 0.2,
                slack: 50.0,
                window: Duration::from_secs(10),
            },
            scheduling: CallScheduling::ByClass,
            cold_bounds: ColdBounds::default(),
            claims: watch::channel(Vec::new()).0,
            verdicts: watch::channel(Vec::new()).0,
            metrics: metrics.clone(),
        };
        router::start(setup, inbox);
        catalogs.send_replace(Some(Arc::new(catalog(1, Some(RATE)))));
        let draft =
            HeldModel { name: "draft".to_owned(), adapters: Vec::new() };
        let engine = RunnerFacts {
            id: "i-2".to_owned(),
            service: "advisor".to_owned(),
            models: vec![draft],
            ..runner.clone()
        };
        rosters.send_replace(Some(Arc::new(vec![runner, engine])));
        let router = TestRouter { port, clock, metrics, rosters, catalogs };
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
            tried: Vec::new(),
            sent: false,
            deadline: now.after(timeout),
            parts: PromptParts::default(),
            profile: CallProfile::default(),
        }
    }

    /// Returns what the host reports as spent by the customer.
    async fn spent(&self) -> Option<i64> {
        let event = RouterEvent::ReadReport;
        let report = crate::tasks::ask(&self.port.sender, event).await;
        let spent = report.unwrap().digest.spent;
        spent.first().map(|spent| spent.total)
    }

    /// Routes a call with this timeout; returns how long the routing took.
    async fn route(&self, timeout: Duration) -> Duration {
        let now = self.clock.now();
        let requirements = self.requirements(timeout);
        let began = Instant::now();
        assert!(
            self.port
                .route(&requirements, ChargeState::Settled, now)
                .await
                .is_ok()
        );
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
        let mut call = Box::pin(router.port.route(
            &requirements,
            ChargeState::Settled,
            now,
        ));
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

/// Guards against a batch call that gets the only free place before an urgent
/// call that came later, or that isn't tried again when there is room.
#[tokio::test]
async fn an_urgent_call_gets_a_freed_place_before_a_batch_call() {
    const STEP: Duration = Duration::from_millis(100);
    const CALL_TIMEOUT: Duration = Duration::from_secs(10);
    let router = TestRouter::start().await;
    router.report_peer_calls(2 * SLOTS).await;
    let route = |priority, target| {
        let now = router.clock.now();
        let mut requirements = router.requirements(CALL_TIMEOUT);
        requirements.profile.priority = priority;
        requirements.profile.target = Some(now.after(target));
        let port = router.port.clone();
        tokio::spawn(async move {
            port.route(&requirements, ChargeState::Settled, now).await
        })
    };
    let batch = route(2, Duration::from_secs(8));
    tokio::time::sleep(STEP).await;
    let urgent = route(0, Duration::from_millis(400));
    tokio::time::sleep(STEP).await;
    router.report_peer_calls(2 * SLOTS - 1).await;
    let slot = tokio::time::timeout(STEP * 5, urgent).await.unwrap().unwrap();
    assert!(slot.is_ok());
    assert!(!batch.is_finished());
    router.report_peer_calls(0).await;
    let slot = tokio::time::timeout(STEP * 5, batch).await.unwrap().unwrap();
    assert!(slot.is_ok());
}

/// Guards against metrics that keep a series for each runner there ever was.
#[tokio::test]
async fn the_learned_capacity_is_published_while_a_runner_is_listed() {
    /// A little more than the time between two updates.
    const UPDATE_TIME: Duration = Duration::from_millis(1_100);
    const SERIES: &str = "celerylead_learned_capacity{runner=\"i-1\"}";
    let router = TestRouter::start().await;
    crate::tasks::ask(&router.port.sender, RouterEvent::ReadReport).await;
    assert!(router.metrics.text().contains(SERIES));
    router.rosters.send_replace(Some(Arc::default()));
    tokio::time::sleep(UPDATE_TIME).await;
    crate::tasks::ask(&router.port.sender, RouterEvent::ReadReport).await;
    assert!(!router.metrics.text().contains(SERIES));
}

/// Guards against waits that don't end while events keep coming, as the timer
/// comes after them.
#[tokio::test]
async fn a_wait_ends_under_constant_events() {
    /// Timeout of the call, of which a fifth may be spent waiting.
    const CALL_TIMEOUT: Duration = Duration::from_secs(1);
    let router = TestRouter::start().await;
    router.report_peer_calls(2 * SLOTS).await;
    let senders: Vec<_> = (0..4)
        .map(|_| {
            let sender = router.port.sender.clone();
            tokio::spawn(async move {
                loop {
                    let event = RouterEvent::StreamPace {
                        runner: "i-2".to_owned(),
                        model: String::new(),
                        pace_us: 1,
                    };
                    sender.send(event).await.unwrap();
                }
            })
        })
        .collect();
    let requirements = router.requirements(CALL_TIMEOUT);
    let now = router.clock.now();
    let call = router.port.route(&requirements, ChargeState::Settled, now);
    let routed = tokio::time::timeout(CALL_TIMEOUT, call).await;
    senders.iter().for_each(tokio::task::JoinHandle::abort);
    assert!(routed.is_ok_and(|routed| routed.is_err()));
}

/// Guards against refunds of charges that weren't made, by which a customer spends
/// the same tokens again and again at all hosts.
#[tokio::test]
async fn only_a_charge_that_was_taken_is_refunded() {
    const COST: u64 = 100;
    const DEADLY: u64 = 0xdead;
    /// Time in which a bucket holds enough.
    const FILL_TIME: Duration = Duration::from_millis(700);
    struct Case {
        name: &'static str,
        /// Parts of the call's prompt.
        parts: &'static [u64],
        timeout: Duration,
        /// Whether the host's runner has room.
        has_room: bool,
        is_routed: bool,
        /// Whether the customer has no rate for a moment while the call waits.
        is_reset: bool,
        spent: i64,
    }
    let case = Case {
        name: "",
        parts: &[],
        timeout: Duration::from_secs(2),
        has_room: true,
        is_routed: false,
        is_reset: false,
        spent: 0,
    };
    let cases = [
        Case {
            name: "a part of its prompt is rejected",
            parts: &[DEADLY, 1],
            ..case
        },
        Case {
            name: "its deadline has passed",
            timeout: Duration::ZERO,
            ..case
        },
        Case { name: "it gets no runner", has_room: false, ..case },
        Case {
            name: "it gets no runner, and the customer's bucket is another one",
            has_room: false,
            is_reset: true,
            spent: COST as i64,
            ..case
        },
        Case {
            name: "it gets a runner",
            is_routed: true,
            spent: COST as i64,
            ..case
        },
    ];
    for case in cases {
        let router = TestRouter::start().await;
        let verdict = VerdictRow {
            part: PartId(DEADLY),
            trials: 3,
            terms: 1,
            sent_ago_ms: 0,
            left_ms: 60_000,
        };
        let report = EvidenceReport {
            verdicts: vec![verdict],
            ..EvidenceReport::default()
        };
        let (report, at) = (Box::new(report), router.clock.now());
        let event = RouterEvent::Evidence { report, at };
        router.port.sender.send(event).await.unwrap();
        if !case.has_room {
            router.report_peer_calls(2 * SLOTS).await;
        }
        tokio::time::sleep(FILL_TIME).await;
        let mut requirements = router.requirements(case.timeout);
        requirements.parts =
            PromptParts::of_prompt(case.parts.iter().copied());
        let charge = ChargeState::Owed(CallCharge::owed(CUSTOMER, COST));
        let call =
            router.port.route(&requirements, charge, router.clock.now());
        let reset = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            if case.is_reset {
                for (revision, rate) in [(2, None), (3, Some(RATE))] {
                    let catalog = Arc::new(catalog(revision, rate));
                    router.catalogs.send_replace(Some(catalog));
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        };
        let (routed, ()) = tokio::join!(call, reset);
        assert_eq!(routed.is_ok(), case.is_routed, "{}", case.name);
        assert_eq!(router.spent().await, Some(case.spent), "{}", case.name);
    }
}

/// Guards against memory that callers take by asking for models that don't exist,
/// each by another name.
#[tokio::test]
async fn only_models_that_exist_are_in_demand() {
    struct Case {
        name: &'static str,
        model: &'static str,
        adapter: Option<&'static str>,
        is_in_demand: bool,
    }
    let cases = [
        Case {
            name: "a configured model",
            model: "bend",
            adapter: None,
            is_in_demand: true,
        },
        Case {
            name: "a configured adapter",
            model: "bend",
            adapter: Some("a2"),
            is_in_demand: true,
        },
        Case {
            name: "an adapter beyond the configured ones",
            model: "bend",
            adapter: Some("a3"),
            is_in_demand: false,
        },
        Case {
            name: "another spelling of an adapter",
            model: "bend",
            adapter: Some("a02"),
            is_in_demand: false,
        },
        Case {
            name: "a model that a runner holds",
            model: "draft",
            adapter: None,
            is_in_demand: true,
        },
        Case {
            name: "a made-up model",
            model: "bend-1",
            adapter: None,
            is_in_demand: false,
        },
        Case {
            name: "a made-up adapter of a made-up model",
            model: "bend-1",
            adapter: Some("a1"),
            is_in_demand: false,
        },
    ];
    let router = TestRouter::start().await;
    for Case { name, model, adapter, is_in_demand } in cases {
        let mut requirements = router.requirements(Duration::from_millis(100));
        requirements.service = "advisor".to_owned();
        requirements.tokens = 10_000;
        let stated = ModelName {
            model: model.to_owned(),
            adapter: adapter.map(str::to_owned),
        };
        requirements.model = Some(stated.clone());
        let now = router.clock.now();
        let charge = ChargeState::Settled;
        let _ = router.port.route(&requirements, charge, now).await;
        let event = RouterEvent::ReadDemand;
        let demand = crate::tasks::ask(&router.port.sender, event).await;
        let demand = demand.unwrap();
        let found = demand.get(&stated.to_string()).is_some();
        assert_eq!(found, is_in_demand, "{name}: {demand:?}");
    }
}
