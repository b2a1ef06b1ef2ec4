//! The tasks of a host.
//!
//! Each task owns its sockets and its state, and tasks communicate by
//! messages. A task decodes bytes into events, passes each event to its
//! aggregate for a decision, and encodes the resulting actions as bytes. No
//! state is shared under a lock: a task that needs something from another task
//! sends it a message, with a one-shot channel if it needs an answer. All
//! channels are bounded.
//!
//! | task | owns |
//! |---|---|
//! | [`member`] | the host's lease, the polling of the table service |
//! | [`shares`] | the token buckets of the rate parts that the host holds |
//! | [`dispatch`] | the routing state of the runners, the request queue |
//! | [`runner`] | the connections to one runner |
//! | [`owner`] | the runners whose memory this host manages |
//! | [`acceptor`] | the callers' listener; starts a task for each connection |
//! | [`intake`] | the common room for bodies of requests |
//! | [`peer`] | the socket for other hosts; starts a task per connection |
//! | [`usage`] | usage records until the object store confirms them |
//! | [`admin`] | the listener for health, status and metrics |
//!
//! A host that serves a platform through an adapter of [`crate::port`] runs
//! other tasks, which [`node`] lists.

pub(crate) mod acceptor;
pub(crate) mod admin;
pub(crate) mod call;
pub(crate) mod connection_place;
pub(crate) mod context;
pub(crate) mod dispatch;
pub(crate) mod exchange;
pub mod host;
pub(crate) mod intake;
pub(crate) mod machine;
pub(crate) mod member;
pub mod node;
pub(crate) mod owner;
pub(crate) mod peer;
pub(crate) mod reply_body;
pub(crate) mod request_body;
pub(crate) mod runner;
pub(crate) mod service;
pub(crate) mod shares;
pub(crate) mod stream;
pub(crate) mod usage;
pub(crate) mod zone;

use std::future::Future;

use tokio::sync::{mpsc, oneshot};
use tracing::Instrument as _;

/// Number of messages that the mailbox of a task holds. Senders to a full
/// mailbox wait until there is room.
pub(crate) const MAILBOX_CAPACITY: usize = 1_024;
/// Upper bound on the requests that a host serves or queues at once.
pub(crate) const MAX_IN_FLIGHT: usize = 16_384;

/// Sends a message to a task and waits for its answer. Returns `None` if the
/// task has ended.
pub(crate) async fn ask<M, T>(
    sender: &mpsc::Sender<M>,
    message: impl FnOnce(oneshot::Sender<T>) -> M,
) -> Option<T> {
    let (reply, answer) = oneshot::channel();
    sender.send(message(reply)).await.ok()?;
    answer.await.ok()
}

/// Spawns a task whose log lines carry the fields of the current span.
pub(crate) fn spawn(
    task: impl Future<Output = ()> + Send + 'static,
) -> tokio::task::JoinHandle<()> {
    tokio::spawn(task.in_current_span())
}
