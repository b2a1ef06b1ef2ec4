//! Limits on requests, TLS towards callers, and hosts with a certificate of
//! another authority.

use std::{sync::Arc, time::Duration};

use celerylead_stand_ins::table::TableFault;
use rustls::pki_types::{CertificateDer, pem::PemObject as _};
use rustls::{RootCertStore, pki_types::ServerName};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};
use tokio_rustls::TlsConnector;

use crate::{
    client::{call, request},
    fleet::{Fleet, HostExtras, TestCustomer, settings_file, wait_for},
};

const KEY: &str = "cl-bounds-key";

/// Returns a settings file without engines and models, whose limit on bodies
/// is 4 KB.
fn settings() -> String {
    let customers =
        [TestCustomer { name: "parish", key: KEY, rate: 100, burst: 400 }];
    let file = settings_file(&["kgn"], &[], &customers, "max_body_kb = 4");
    let models = file.find("[[model]]").expect("models");
    let customers = file.find("[[customer]]").expect("customers");
    format!("{}{}", &file[..models], &file[customers..])
}

/// Bytes that a caller sends and the start of the expected answer.
struct BoundCase {
    name: &'static str,
    bytes: String,
    answer: &'static str,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn oversized_and_malformed_requests_are_refused() {
    let mut fleet = Fleet::start(&[]).await;
    fleet.apply(&settings()).await;
    let host = fleet.host("kgn-1", "kgn").await;
    let listen = fleet.hosts[host].listen.clone();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: test\r\n\
         authorization: Bearer {KEY}\r\n"
    );
    let cases = [
        BoundCase {
            name: "a head of 80 KB",
            bytes: format!("{head}x-long: {}\r\n\r\n", "a".repeat(80 << 10)),
            answer: "HTTP/1.1 431 ",
        },
        BoundCase {
            name: "a body of 5 KB in one piece",
            bytes: format!(
                "{head}content-length: 5120\r\n\r\n{}",
                "a".repeat(5 << 10),
            ),
            answer: "HTTP/1.1 413 ",
        },
        BoundCase {
            name: "a body of 5 KB in chunks",
            bytes: format!(
                "{head}transfer-encoding: chunked\r\n\r\n1400\r\n{}\r\n0\r\n\r\n",
                "a".repeat(5 << 10),
            ),
            answer: "HTTP/1.1 413 ",
        },
        BoundCase {
            name: "not HTTP",
            bytes: "hello\r\n\r\n".to_owned(),
            answer: "HTTP/1.1 400 ",
        },
        BoundCase {
            name: "two Content-Length headers",
            bytes: format!(
                "{head}content-length: 1\r\ncontent-length: 2\r\n\r\naa"
            ),
            answer: "HTTP/1.1 400 ",
        },
    ];
    for case in cases {
        let mut stream = TcpStream::connect(&listen).await.expect("a host");
        let _ = stream.write_all(case.bytes.as_bytes()).await;
        let mut answer = vec![0; 13];
        let read = stream.read_exact(&mut answer);
        let read = tokio::time::timeout(Duration::from_secs(5), read).await;
        let text = String::from_utf8_lossy(&answer);
        assert!(read.is_ok(), "{}: no answer", case.name);
        assert_eq!(text, case.answer, "{}", case.name);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_may_use_tls() {
    let mut fleet = Fleet::start(&[]).await;
    fleet.apply(&settings()).await;
    let issued = fleet.authority.issue(&["entry.test"]).expect("issued");
    let chain = fleet.folder.join("entry.certificate");
    let key = fleet.folder.join("entry.key");
    std::fs::write(&chain, &issued.certificate).expect("a file");
    std::fs::write(&key, &issued.key).expect("a file");
    let extras = HostExtras {
        flags: vec![
            format!("--tls-certificate={}", chain.display()),
            format!("--tls-key={}", key.display()),
        ],
        ..HostExtras::default()
    };
    let host = fleet.host_with("kgn-1", "kgn", &extras).await;
    let mut roots = RootCertStore::empty();
    let authority =
        CertificateDer::from_pem_slice(issued.authority.as_bytes());
    roots.add(authority.expect("a certificate")).expect("a root");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("versions")
        .with_root_certificates(roots)
        .with_no_client_auth();
    let connector = TlsConnector::from(Arc::new(config));
    let stream = TcpStream::connect(&fleet.hosts[host].listen).await;
    let name = ServerName::try_from("entry.test").expect("a name");
    let stream = connector.connect(name, stream.expect("a host")).await;
    let mut stream = stream.expect("a handshake");
    let request = format!(
        "GET /v1/models HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\
         authorization: Bearer {KEY}\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer).await;
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_of_another_authority_gets_no_settings() {
    let mut fleet = Fleet::start(&[]).await;
    fleet.apply(&settings()).await;
    fleet.host("kgn-1", "kgn").await;
    fleet.table.set_fault(TableFault::Down).await;
    let seed = format!("--seed={}", fleet.hosts[0].peer);
    let extras = |foreign_authority| HostExtras {
        foreign_authority,
        flags: vec![seed.clone()],
        ..HostExtras::default()
    };
    let known = fleet.start_host("kgn-2", "kgn", &extras(false));
    let foreign = fleet.start_host("kgn-3", "kgn", &extras(true));
    fleet.wait_ready(known).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let request = request("GET", "/readyz", None, "");
    let answer = call(&fleet.hosts[foreign].admin, request).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(answer.json()["status"], "no-settings");
    wait_for("the refused peer to be logged", async || {
        fleet.logs().contains("event=peer_refused")
    })
    .await;
}
