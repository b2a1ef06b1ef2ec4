//! Learning of the other hosts from the seeds, by a host that starts while the
//! store turns it away.

use std::time::Duration;

use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
};

use super::control;
use crate::membership::HostListing;

/// Time in which the store mostly answers a host that starts.
const STORE_ANSWER_TIME: Duration = Duration::from_millis(150);
/// Time between two rounds until a seed has told its list.
const RETRY_PERIOD: Duration = Duration::from_millis(400);
/// Time between two rounds after that. Hosts that start since introduce
/// themselves.
const REPEAT_PERIOD: Duration = Duration::from_millis(5_000);

/// Asks all seeds for the hosts that they know until the table has been read.
pub(super) async fn learn_hosts(
    seeds: Vec<String>,
    sender: mpsc::Sender<Vec<HostListing>>,
    mut has_read: watch::Receiver<bool>,
) {
    let mut pause = STORE_ANSWER_TIME;
    loop {
        tokio::select! {
            _ = has_read.wait_for(|has_read| *has_read) => return,
            () = tokio::time::sleep(pause) => {}
        }
        pause = RETRY_PERIOD.mul_f64(rand::random_range(0.8..1.2));
        let mut fetches = JoinSet::new();
        for seed in seeds.clone() {
            fetches.spawn(async move {
                let fetched = control::fetch_hosts(&seed).await;
                (fetched, seed)
            });
        }
        while let Some(fetched) = fetches.join_next().await {
            match fetched {
                Ok((Ok(Some(listings)), seed)) => {
                    let hosts = listings.len();
                    tracing::info!(event = "hosts_learnt", seed, hosts);
                    pause = REPEAT_PERIOD;
                    if sender.send(listings).await.is_err() {
                        return;
                    }
                }
                Ok((Err(error), seed)) => tracing::debug!(
                    event = "seed_failed",
                    seed,
                    error = format!("{error:#}"),
                ),
                _ => {}
            }
        }
    }
}
