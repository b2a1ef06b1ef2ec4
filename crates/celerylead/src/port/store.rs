//! Messages to the client task of the platform's table store.

use std::{fmt, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

use crate::{clock::EpochMillis, store_version::StoreVersion};

/// Requests that are queued for the client task before senders have to wait.
const MAILBOX_CAPACITY: usize = 64;

/// Longest time that the client waits for an answer, in addition to the time
/// that the store itself may wait. A store answers within milliseconds, or
/// within some hundred milliseconds when it is slow.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Tables of the store, by purpose.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum StoreTable {
    /// The operator's configuration; read-only.
    Configuration,
    /// The registry of runners; read-only.
    Registry,
    /// The hosts and their addresses.
    Hosts,
    /// Leases that the hosts compete for.
    Leases,
}

/// Key of a row and its table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RowKey {
    /// Table of the row.
    pub table: StoreTable,
    /// Key within the table.
    pub key: String,
}

/// An existing row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreRow {
    /// Key within its table.
    pub key: String,
    /// Version, which grows with each write.
    pub version: StoreVersion,
    /// Value of the row.
    pub value: Bytes,
}

/// A change of a row, as reported by a feed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowChange {
    /// The row was written.
    Written(StoreRow),
    /// The row was removed.
    Removed {
        /// Key within its table.
        key: String,
        /// Version of the removal.
        version: StoreVersion,
    },
}

/// Result of reading a table or its feed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreReading {
    /// Rows read, or changes of rows.
    pub rows: Vec<RowChange>,
    /// Version from which a feed continues; its era is the one in which the
    /// store answered.
    pub version: StoreVersion,
    /// Time of the answer by the store's clock, which runs steadily.
    pub store_time: EpochMillis,
}

/// A conditional write or removal of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowPut {
    /// Row to write or remove.
    pub row: RowKey,
    /// Version that the row must have; its number is 0 if the row must not
    /// exist.
    pub expected: StoreVersion,
    /// Value to write; `None` removes the row.
    pub value: Option<Bytes>,
}

/// Error of a call of the store.
#[derive(Debug)]
pub enum StoreError {
    /// The store has dropped the requested history; the whole table must be
    /// read again.
    HistoryDropped,
    /// The call had no effect.
    Refused(anyhow::Error),
    /// The outcome is unknown: a write may have taken effect or may still take
    /// effect.
    InDoubt(anyhow::Error),
}

impl fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::HistoryDropped => formatter
                .write_str("the store has dropped the requested history"),
            StoreError::Refused(error) => write!(formatter, "{error:#}"),
            StoreError::InDoubt(error) => {
                write!(formatter, "outcome unknown: {error:#}")
            }
        }
    }
}

/// Message to the client task of the store.
#[derive(Debug)]
pub enum StoreRequest {
    /// Reads a consistent snapshot of a whole table.
    Read {
        /// Table to read.
        table: StoreTable,
        /// Receives the result.
        reply: oneshot::Sender<Result<StoreReading, StoreError>>,
    },
    /// Waits for changes of a table.
    Follow {
        /// Table to follow.
        table: StoreTable,
        /// Version after which changes are reported.
        after: StoreVersion,
        /// Longest wait for the first change.
        wait: Duration,
        /// Receives the result.
        reply: oneshot::Sender<Result<StoreReading, StoreError>>,
    },
    /// Writes a row if its version is the expected one.
    Write {
        /// Row to write and its expected version.
        put: RowPut,
        /// Receives the version written, or `None` if the row had another
        /// version.
        reply: oneshot::Sender<Result<Option<StoreVersion>, StoreError>>,
    },
    /// A caller has given a request up before its answer came. The connections
    /// may be dead, as nothing came over one of them.
    GivenUp,
}

/// Guard of a request that waits for its answer; notifies the client task if it
/// is dropped before.
struct PendingRequest<'a> {
    /// `None` once the answer has come.
    sender: Option<&'a mpsc::Sender<StoreRequest>>,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        if let Some(sender) = self.sender {
            // A full mailbox means that calls fail anyway.
            let _ = sender.try_send(StoreRequest::GivenUp);
        }
    }
}

/// Handle for sending requests to the client task of the store.
#[derive(Clone, Debug)]
pub struct StorePort {
    sender: mpsc::Sender<StoreRequest>,
}

impl StorePort {
    /// Creates the port and the receiver for the client task behind it.
    pub fn new() -> (StorePort, mpsc::Receiver<StoreRequest>) {
        let (sender, inbox) = mpsc::channel(MAILBOX_CAPACITY);
        (StorePort { sender }, inbox)
    }

    /// Reads a whole table.
    ///
    /// # Errors
    ///
    /// Returns an error if the store didn't answer.
    pub async fn read(
        &self,
        table: StoreTable,
    ) -> Result<StoreReading, StoreError> {
        self.ask(|reply| StoreRequest::Read { table, reply }).await
    }

    /// Waits for changes of a table. The store waits up to `wait` for a
    /// change, and the client up to [`ANSWER_TIMEOUT`] longer for the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the store didn't answer or no longer knows the
    /// changes since `after`.
    pub async fn follow(
        &self,
        table: StoreTable,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<StoreReading, StoreError> {
        let request =
            |reply| StoreRequest::Follow { table, after, wait, reply };
        self.ask(request).await
    }

    /// Writes a row if its version is the expected one, and returns the new
    /// version; `None` if the row had another version.
    ///
    /// # Errors
    ///
    /// Returns an error if the store didn't answer. Unless the error is
    /// [`StoreError::Refused`], the row may have been written.
    pub async fn write(
        &self,
        put: RowPut,
    ) -> Result<Option<StoreVersion>, StoreError> {
        self.ask(|reply| StoreRequest::Write { put, reply }).await
    }

    async fn ask<T>(
        &self,
        message: impl FnOnce(
            oneshot::Sender<Result<T, StoreError>>,
        ) -> StoreRequest,
    ) -> Result<T, StoreError> {
        let mut guard = PendingRequest { sender: Some(&self.sender) };
        let answer = crate::tasks::ask(&self.sender, message).await;
        guard.sender = None;
        answer.unwrap_or_else(|| {
            let error =
                anyhow::anyhow!("the client task of the store has stopped");
            Err(StoreError::Refused(error))
        })
    }
}
