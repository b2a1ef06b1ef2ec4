//! The task that owns the callers' listener.

use std::time::Duration;

use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    task::JoinSet,
    time::Instant,
};

use super::{NodeContext, NodePhase, caller_connection};
use crate::{
    intake::ConnectionQueue,
    port::EdgeCodec,
    tasks::{MAILBOX_CAPACITY, connection_place::ConnectionPlace},
    wire::link,
};

/// Time after which a further connection is told to give way, if those told
/// before are still busy.
const GIVE_WAY_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest time between two log lines about connections that gave way.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Accepts connections until the host reaches [`NodePhase::Ending`], then
/// waits until every request in flight has its answer.
pub(crate) async fn run<C: EdgeCodec>(
    listener: TcpListener,
    context: NodeContext<C>,
) {
    let mut phase = context.phase.clone();
    let mut connections = JoinSet::new();
    let mut queue = ConnectionQueue::new();
    let (events, mut event_inbox) = mpsc::channel(MAILBOX_CAPACITY);
    let mut report = GiveWayReport::default();
    let mut next_give_way = Instant::now();
    loop {
        let bound = context.connection_bound();
        // One more than the bound is accepted, since only then it is known
        // that a connection has to give way.
        let is_over = bound < connections.len();
        tokio::select! {
            stream = link::accept(&listener), if !is_over => {
                let (handle, gives_way) = watch::channel(false);
                let id = queue.add(handle);
                let place =
                    ConnectionPlace::new(id, events.clone(), gives_way);
                let context = context.clone();
                let task = caller_connection::serve(stream, context, place);
                connections.spawn(async move {
                    task.await;
                    id
                });
            }
            Some(ended) = connections.join_next() => {
                if let Ok(id) = ended {
                    queue.remove(id);
                }
            }
            Some(event) = event_inbox.recv() => {
                queue.note(event);
                continue;
            }
            () = tokio::time::sleep_until(next_give_way), if is_over => {}
            () = until_ending(&mut phase) => break,
        }
        let open = connections.len();
        context.metrics.open_connections.set(gauge_value(open));
        next_give_way = Instant::now() + GIVE_WAY_INTERVAL;
        if let Some(handle) = queue.give_way(open, bound) {
            handle.send_replace(true);
            context.metrics.count_close("gave_way");
            report.note(open, bound);
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

/// Log of connections that gave way, with one line at a time.
#[derive(Default)]
struct GiveWayReport {
    connections: u64,
    logged_at: Option<Instant>,
}

impl GiveWayReport {
    fn note(&mut self, open: usize, bound: usize) {
        self.connections += 1;
        let now = Instant::now();
        if self.logged_at.is_some_and(|at| now < at + LOG_INTERVAL) {
            return;
        }
        let connections = std::mem::take(&mut self.connections);
        tracing::warn!(
            event = "connections_gave_way",
            connections,
            open,
            bound
        );
        self.logged_at = Some(now);
    }
}

/// Waits until the host reaches [`NodePhase::Ending`].
pub(super) async fn until_ending(phase: &mut watch::Receiver<NodePhase>) {
    let _ = phase.wait_for(|phase| *phase == NodePhase::Ending).await;
}
