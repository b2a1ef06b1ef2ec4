//! Tasks: each owns its sockets and its state, and talks by messages.
//!
//! A task turns bytes into events, asks its aggregate for a decision and
//! turns the actions into bytes. State is never shared under a lock: who
//! needs something of another task sends it a message and, where it needs
//! an answer, a one-shot channel for it. All channels are bounded.
//!
//! | task | owns |
//! |---|---|
//! | [`member`] | the host's lease, what the platform says |
//! | [`shares`] | the buckets of the customers' rates held here |
//! | [`dispatch`] | the runners' state and the queue before them |
//! | [`runner`] | the connections to one runner |
//! | [`owner`] | the runners whose memory this host looks after |
//! | [`entry`] | the listening socket; a task for each caller |
//! | [`usage`] | usage records until they are confirmed |
//! | [`admin`] | the socket for health and metrics |
//!
//! A host behind an adapter of [`crate::port`] has tasks of its own, listed
//! in [`node`].

pub(crate) mod acceptor;
pub(crate) mod admin;
pub(crate) mod call;
pub(crate) mod context;
pub(crate) mod dispatch;
pub(crate) mod exchange;
pub mod host;
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

/// Messages that wait for a task before senders wait too.
pub(crate) const MAILBOX_CAPACITY: usize = 1_024;
/// Requests that a host works on or keeps waiting at once.
pub(crate) const MAX_IN_FLIGHT: usize = 16_384;

/// Asks a task for something and waits for its answer; `None` where the
/// task has ended.
pub(crate) async fn ask<M, T>(
    sender: &mpsc::Sender<M>,
    message: impl FnOnce(oneshot::Sender<T>) -> M,
) -> Option<T> {
    let (reply, answer) = oneshot::channel();
    sender.send(message(reply)).await.ok()?;
    answer.await.ok()
}

/// Starts a task whose log lines carry the fields of the current span.
pub(crate) fn spawn(
    task: impl Future<Output = ()> + Send + 'static,
) -> tokio::task::JoinHandle<()> {
    tokio::spawn(task.in_current_span())
}
