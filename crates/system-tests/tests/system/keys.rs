//! Keys of callers: who may call what, which headers and texts reach backend
//! servers, and withdrawal.

use std::time::{Duration, Instant};

use celerylead::settings::SettingsChange;
use celerylead_stand_ins::{
    proxy::FaultProxy, proxy::ProxyFault, service::ServiceStandIn,
};
use http_body_util::Full;
use hyper::Request;

use crate::{
    client::{Caller, call, chat, request},
    fleet::{Fleet, HostExtras, TestCustomer, hash, settings_file, wait_for},
};

const KEY: &str = "cl-keys-key-secret";
/// A withdrawal has to be in force on every host within this time. The
/// requirement says "seconds".
const WITHDRAWAL_LIMIT: Duration = Duration::from_secs(5);

/// A request through which a caller's key could reach a backend server.
struct LeakCase {
    name: &'static str,
    request: Request<Full<bytes::Bytes>>,
    /// Expected status of the answer.
    status: u16,
}

fn with_header(name: &str, value: &str) -> Request<Full<bytes::Bytes>> {
    let mut request = chat(KEY, "outline", 1, false);
    let name: hyper::header::HeaderName = name.parse().expect("a name");
    request.headers_mut().append(name, value.parse().expect("a value"));
    request
}

fn service_call(target: &str, body: &str) -> Request<Full<bytes::Bytes>> {
    request("POST", target, Some(KEY), body)
}

fn leak_cases() -> Vec<LeakCase> {
    let body =
        |text: &str| request("POST", "/v1/completions", Some(KEY), text);
    let case = |name, request, status| LeakCase { name, request, status };
    let twice = with_header("authorization", &format!("Bearer {KEY}"));
    let cookie = with_header("cookie", &format!("key={KEY}"));
    let custom = with_header("x-my-key", &format!("a{KEY}b"));
    let hop_by_hop = {
        let mut request = with_header("connection", "x-hop");
        let value = "plain".parse().expect("a value");
        request.headers_mut().insert("x-hop", value);
        request
    };
    let fields = format!(
        r#"{{"model":"outline","prompt":"a","max_tokens":1,"api_key":"{KEY}"}}"#
    );
    let escaped: String =
        KEY.chars().map(|c| format!("\\u{:04x}", u32::from(c))).collect();
    let escaped = format!(
        r#"{{"model":"outline","max_tokens":1,"prompt":"{escaped}"}}"#
    );
    vec![
        case("authorization, once", chat(KEY, "outline", 1, false), 200),
        case("authorization, twice", twice, 401),
        case("cookie", cookie, 200),
        case("another header", custom, 200),
        case("a hop-by-hop header", hop_by_hop, 200),
        case("x-api-key", with_header("x-api-key", KEY), 200),
        case(
            "proxy-authorization",
            with_header("proxy-authorization", KEY),
            200,
        ),
        case("a credential field in the body", body(&fields), 200),
        case("escaped in the body", body(&escaped), 400),
        case(
            "query of a service",
            service_call(&format!("/services/records/1?k={KEY}"), ""),
            400,
        ),
        case(
            "encoded query of a service",
            service_call(
                &format!("/services/records/1?k={}", KEY.replace('-', "%2D")),
                "",
            ),
            400,
        ),
        case(
            "body of a service",
            service_call("/services/records/1", &format!("say {KEY}")),
            400,
        ),
        case(
            "no key outside the authorization header",
            service_call("/services/records/1", "plain"),
            200,
        ),
    ]
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_backend_server_sees_a_key() {
    let mut fleet = Fleet::start(&[1_000.0]).await;
    let service = ServiceStandIn::start("127.0.0.1:0").await.expect("service");
    let address = fleet.engines[0].address.clone();
    let customers =
        [TestCustomer { name: "parish", key: KEY, rate: 9_000, burst: 9_000 }];
    let engines = [("kgn", address.as_str())];
    let mut file = settings_file(&["kgn"], &engines, &customers, "");
    file += &service_settings(&service.address);
    fleet.apply(&file).await;
    let host = fleet.host("kgn-1", "kgn").await;
    fleet.wait_shares().await;
    let listen = fleet.hosts[host].listen.clone();
    let mut answered = String::new();
    for case in leak_cases() {
        let answer = call(&listen, case.request).await.expect("an answer");
        assert_eq!(answer.status, case.status, "{}: {answer:?}", case.name);
        answered += &answer.body;
        answered += &format!("{:?}", answer.headers);
    }
    let mut seen = fleet.engines[0].recorded_requests().await;
    seen.extend(service.recorded_requests().await);
    assert_eq!(seen.len(), 8, "the servers saw the accepted requests");
    for text in &seen {
        assert!(!text.contains(KEY), "a backend server saw a key: {text}");
        assert!(
            !text.contains("x-hop"),
            "a hop-by-hop header was forwarded: {text}"
        );
        assert!(text.contains("authorization: Bearer runner-credential"));
    }
    assert!(!answered.contains(KEY), "an answer holds the key");
    assert!(!fleet.logs().contains(KEY), "a log line holds the key");
    let metrics = request("GET", "/metrics", None, "");
    let metrics = call(&fleet.hosts[host].admin, metrics).await;
    assert!(!metrics.expect("metrics").body.contains(KEY));
}

/// Returns the settings of a service with an open route and an idempotent one.
pub(crate) fn service_settings(address: &str) -> String {
    format!(
        "[[group]]\nname = \"clerk-desk\"\nkind = \"service\"\n\
         [[runner]]\nname = \"clerk-desk-1\"\ngroup = \"clerk-desk\"\n\
         zone = \"kgn\"\naddress = \"{address}\"\n\
         [[service]]\nname = \"records\"\ngroup = \"clerk-desk\"\n\
         [[route]]\nservice = \"records\"\npath = \"/public\"\n\
         set = {{ open = true }}\n\
         [[route]]\nservice = \"records\"\npath = \"/lookup\"\n\
         set = {{ idempotent = true }}\n"
    )
}

/// A call of a service with or without a key.
struct AccessCase {
    target: &'static str,
    key: Option<&'static str>,
    status: u16,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_open_routes_serve_without_a_key() {
    let mut fleet = Fleet::start(&[]).await;
    let service = ServiceStandIn::start("127.0.0.1:0").await.expect("service");
    let customers =
        [TestCustomer { name: "parish", key: KEY, rate: 9_000, burst: 9_000 }];
    let mut file = settings_file(&["kgn"], &[], &customers, "");
    // The test has no engine, and a group without runners can't hold models.
    let models = file.find("[[model]]").expect("models");
    let customers = file.find("[[customer]]").expect("customers");
    file.replace_range(models..customers, "");
    file += &service_settings(&service.address);
    fleet.apply(&file).await;
    let host = fleet.host("kgn-1", "kgn").await;
    let listen = fleet.hosts[host].listen.clone();
    wait_for("the service to report", async || {
        let request = request("GET", "/services/records/public", None, "");
        call(&listen, request).await.is_ok_and(|answer| answer.status == 200)
    })
    .await;
    let cases = [
        AccessCase {
            target: "/services/records/public/a",
            key: None,
            status: 200,
        },
        AccessCase {
            target: "/services/records/public/a",
            key: Some("cl-x"),
            status: 200,
        },
        AccessCase {
            target: "/services/records/publican",
            key: None,
            status: 401,
        },
        AccessCase {
            target: "/services/records/public/../a",
            key: None,
            status: 400,
        },
        AccessCase {
            target: "/services/records/public/%2e%2e/a",
            key: None,
            status: 400,
        },
        AccessCase {
            target: "/services/records/public//a",
            key: None,
            status: 200,
        },
        AccessCase {
            target: "/services/records/public%2f..%2fprivate",
            key: None,
            status: 400,
        },
        AccessCase {
            target: "/services/records/private",
            key: None,
            status: 401,
        },
        AccessCase {
            target: "/services/records/private",
            key: Some("cl-x"),
            status: 401,
        },
        AccessCase {
            target: "/services/records/private",
            key: Some(KEY),
            status: 200,
        },
        AccessCase {
            target: "/services/none/private",
            key: None,
            status: 401,
        },
    ];
    for case in cases {
        let request = request("GET", case.target, case.key, "");
        let answer = call(&listen, request).await.expect("an answer");
        assert_eq!(answer.status, case.status, "{}", case.target);
    }
    let seen = service.recorded_requests().await.concat();
    assert!(!seen.contains("cl-x"), "the service saw a key");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_withdrawn_key_stops_on_every_host_and_open_connection() {
    let mut fleet = Fleet::start(&[10.0]).await;
    let address = fleet.engines[0].address.clone();
    let customers =
        [TestCustomer { name: "parish", key: KEY, rate: 9_000, burst: 9_000 }];
    let engines = [("kgn", address.as_str())];
    fleet
        .apply(&settings_file(
            &["kgn"],
            &engines,
            &customers,
            "slots = 64\nmax_output_tokens = 1000",
        ))
        .await;
    // The third host will be cut off from the table; it learns of the
    // withdrawal from the other hosts.
    let proxy = FaultProxy::start(&fleet.table.address).await.expect("proxy");
    fleet.host("kgn-1", "kgn").await;
    fleet.host("kgn-2", "kgn").await;
    let extras = HostExtras {
        table: Some(proxy.address.clone()),
        ..HostExtras::default()
    };
    let third = fleet.start_host("kgn-3", "kgn", &extras);
    fleet.wait_ready(third).await;
    fleet.wait_shares().await;
    let mut connections = Vec::new();
    let mut streams = Vec::new();
    for host in &fleet.hosts {
        let mut caller = Caller::connect(&host.listen).await.expect("caller");
        let answer = caller.send(chat(KEY, "outline", 1, false)).await;
        assert_eq!(answer.expect("an answer").status, 200);
        connections.push(caller);
        let request = chat(KEY, "outline", 600, true);
        let listen = host.listen.clone();
        streams
            .push(tokio::spawn(async move { call(&listen, request).await }));
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    proxy.set_fault(ProxyFault::Cut);
    let withdrawn = Instant::now();
    let change = SettingsChange::WithdrawKey { hash: hash(KEY) };
    fleet.change(&change).await;
    for (index, stream) in streams.into_iter().enumerate() {
        let answer = stream.await.expect("a stream").expect("an answer");
        let after = withdrawn.elapsed();
        println!("stream at host {index} ended after {after:?}");
        assert!(answer.body.contains("\"key_withdrawn\""), "{answer:?}");
        assert!(!answer.is_done(), "a cut stream has its end marker");
        assert!(after < WITHDRAWAL_LIMIT, "host {index}: {after:?}");
    }
    for mut caller in connections {
        let answer = caller.send(chat(KEY, "outline", 1, false)).await;
        assert_eq!(answer.expect("an answer").status, 401);
    }
    wait_for("the engine to stop", async || {
        fleet.engines[0].active().await == 0
    })
    .await;
    assert_eq!(fleet.engines[0].cancelled().await, 3);
}
