//! Usage is recorded exactly once despite outages, lost answers and the loss
//! of a host.

use std::time::Duration;

use crate::{
    client::{call, chat},
    fleet::{Fleet, TestCustomer, settings_file, wait_for},
};

const KEY: &str = "cl-usage-key";

/// Returns the request ids of all usage records in the object store, sorted.
async fn recorded(fleet: &Fleet) -> Vec<String> {
    let objects = fleet.objects.objects().await;
    let records = objects.iter().flat_map(|(_, batch)| {
        batch["records"].as_array().cloned().unwrap_or_default()
    });
    let mut ids: Vec<String> = records
        .map(|record| record["request_id"].as_str().unwrap_or("").to_owned())
        .collect();
    ids.sort();
    ids
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_answer_is_recorded_once() {
    let mut fleet = Fleet::start(&[1_000.0]).await;
    let address = fleet.engines[0].address.clone();
    let customers = [TestCustomer {
        name: "parish",
        key: KEY,
        rate: 90_000,
        burst: 90_000,
    }];
    let engines = [("kgn", address.as_str())];
    fleet.apply(&settings_file(&["kgn"], &engines, &customers, "")).await;
    fleet.host("kgn-1", "kgn").await;
    fleet.host("kgn-2", "kgn").await;
    fleet.wait_shares().await;
    let mut answered = Vec::new();
    for round in 0..30 {
        match round {
            5 => fleet.objects.set_lose_answers(true).await,
            12 => fleet.objects.set_lose_answers(false).await,
            15 => fleet.objects.set_down(true).await,
            _ => {}
        }
        let listen = &fleet.hosts[round % 2].listen;
        let answer =
            call(listen, chat(KEY, "outline", 2, round % 3 == 0)).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 200, "{answer:?}");
        answered.push(answer.header("x-request-id").to_owned());
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    answered.sort();
    // A host is killed while the object store is down; another host has copies
    // of its records.
    fleet.hosts[0].kill();
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.objects.set_down(false).await;
    wait_for("every answer to be recorded", async || {
        recorded(&fleet).await.len() >= answered.len()
    })
    .await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(
        recorded(&fleet).await,
        answered,
        "each answer is recorded once and none is lost"
    );
    println!("writes repeated: {}", fleet.objects.repeated_writes().await);
}
