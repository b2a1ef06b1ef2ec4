//! Changes of the settings are in force on every host within 5 s, and no host
//! returns to older settings.

use std::time::{Duration, Instant};

use celerylead::{operator::ChangeResult, settings::SettingsChange};
use celerylead_stand_ins::table::TableFault;
use rustix::process::Signal;

use crate::{
    client::{call, request},
    fleet::{Fleet, HostExtras, TestCustomer, settings_file, wait_for},
};

const KEY: &str = "cl-configuration-key";
/// A change has to be in force on every host within this time. The
/// requirement says "seconds".
const PROPAGATION_LIMIT: Duration = Duration::from_secs(5);

/// Returns a settings file without engines and models.
fn file(rate: u64) -> String {
    let customers =
        [TestCustomer { name: "parish", key: KEY, rate, burst: 900 }];
    let file = settings_file(&["kgn"], &[], &customers, "");
    let models = file.find("[[model]]").expect("models");
    let customers = file.find("[[customer]]").expect("customers");
    format!("{}{}", &file[..models], &file[customers..])
}

/// Returns the revision of the settings of a host, 0 if it has none.
async fn revision(admin: &str) -> u64 {
    let request = request("GET", "/readyz", None, "");
    let answer = call(admin, request).await.expect("an answer");
    answer.json()["revision"].as_u64().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_is_in_force_everywhere_and_is_reported_correctly() {
    let mut fleet = Fleet::start(&[]).await;
    fleet.apply(&file(100)).await;
    for name in ["kgn-1", "kgn-2", "kgn-3", "kgn-4"] {
        fleet.host(name, "kgn").await;
    }
    fleet.wait_shares().await;
    let path = fleet.folder.join("settings.toml");
    std::fs::write(&path, file(200)).expect("a file");
    let path = path.to_string_lossy().into_owned();
    let start = Instant::now();
    let output = fleet.operator(&["apply", &path]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    println!("in force after {:?}", start.elapsed());
    assert_eq!(output.status.code(), Some(0), "{text}");
    assert!(text.contains("in force on 4 of 4 live hosts"), "{text}");
    assert!(start.elapsed() < PROPAGATION_LIMIT);
    // Two of four hosts are stopped, so the report counts only the others.
    fleet.hosts[0].signal(Signal::STOP);
    fleet.hosts[1].signal(Signal::STOP);
    std::fs::write(&path, file(300)).expect("a file");
    let output = fleet.operator(&["--wait-ms=2000", "apply", &path]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(5), "{text}");
    assert!(text.contains("in force on 2 of 4 live hosts"), "{text}");
    fleet.hosts[0].signal(Signal::CONT);
    fleet.hosts[1].signal(Signal::CONT);
    let resumed = Instant::now();
    for host in &fleet.hosts {
        wait_for("the resumed hosts to adopt revision 3", async || {
            revision(&host.admin).await == 3
        })
        .await;
    }
    assert!(resumed.elapsed() < PROPAGATION_LIMIT, "{:?}", resumed.elapsed());
    let output = fleet.operator(&["audit"]);
    let trail = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(trail.lines().count(), 3, "{trail}");
    assert!(trail.contains("by ada: apply file"), "{trail}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn settings_never_regress() {
    let mut fleet = Fleet::start(&[]).await;
    fleet.apply(&file(100)).await;
    fleet.host("kgn-1", "kgn").await;
    fleet.wait_shares().await;
    fleet.apply(&file(200)).await;
    let admin = fleet.hosts[0].admin.clone();
    wait_for("revision 2", async || revision(&admin).await == 2).await;
    fleet.apply(&file(300)).await;
    wait_for("revision 3", async || revision(&admin).await == 3).await;
    // The table now returns the rows from before revision 3 was written.
    fleet.table.set_stale_reads().await;
    let deadline = Instant::now() + Duration::from_secs(4);
    while Instant::now() < deadline {
        assert_eq!(
            revision(&admin).await,
            3,
            "a stale read changed the settings"
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    // A host that starts in an outage of the table gets its settings from a
    // peer.
    fleet.table.set_fault(TableFault::Down).await;
    let extras = HostExtras {
        flags: vec![format!("--seed={}", fleet.hosts[0].peer)],
        ..HostExtras::default()
    };
    let second = fleet.start_host("kgn-2", "kgn", &extras);
    let admin = fleet.hosts[second].admin.clone();
    let start = Instant::now();
    wait_for("the settings from a peer", async || revision(&admin).await == 3)
        .await;
    println!("settings from a peer after {:?}", start.elapsed());
    assert!(start.elapsed() < PROPAGATION_LIMIT);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeated_and_concurrent_changes_apply_once() {
    let fleet = Fleet::start(&[]).await;
    fleet.apply(&file(100)).await;
    // The answer to a change is lost; the change is sent again with its id.
    fleet.table.set_fault(TableFault::LostAnswers).await;
    let settings_client = fleet.settings_client();
    let change = SettingsChange::Drain { name: "kgn-9".to_owned() };
    let lost = settings_client.change(&change, "change-lost", None).await;
    assert!(lost.is_err(), "the outcome of the change is unknown");
    fleet.table.set_fault(TableFault::None).await;
    let again = settings_client.change(&change, "change-lost", None).await;
    let already_accepted = ChangeResult::AlreadyAccepted { revision: 2 };
    assert_eq!(again.expect("the table answers"), already_accepted);
    // Two operators change the same revision; one of them gets a conflict.
    let one = SettingsChange::Apply { file: file(300) };
    let other = SettingsChange::Apply { file: file(400) };
    let (one, other) = tokio::join!(
        settings_client.change(&one, "change-one", Some(2)),
        settings_client.change(&other, "change-other", Some(2)),
    );
    let results = [one.expect("answers"), other.expect("answers")];
    let accepted = ChangeResult::Accepted { revision: 3 };
    let conflict = ChangeResult::Conflict { revision: 3 };
    assert!(results.contains(&accepted), "{results:?}");
    assert!(results.contains(&conflict), "{results:?}");
    // Changes without a base revision are made one after the other.
    let drains = (0..8).map(|number| {
        let settings_client = settings_client.clone();
        async move {
            let name = format!("runner-{number}");
            let change = SettingsChange::Drain { name };
            settings_client
                .change(&change, &format!("drain-{number}"), None)
                .await
        }
    });
    let mut drain_tasks = tokio::task::JoinSet::new();
    drains.for_each(|drain| {
        drain_tasks.spawn(drain);
    });
    let drain_results = drain_tasks.join_all().await;
    let accepted = drain_results
        .iter()
        .filter(|result| matches!(result, Ok(ChangeResult::Accepted { .. })))
        .count();
    let state = settings_client.state().await.expect("the table answers");
    assert_eq!(state.draining.len(), 1 + accepted);
    let trail = settings_client.audit().await.expect("the table answers");
    assert_eq!(trail.len() as u64, state.revision, "one line per revision");
}
