//! Messages to the client of the platform's table store.

use std::{fmt, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

/// Asks that wait for the client before senders wait too.
const MAILBOX_CAPACITY: usize = 64;

/// Longest time that a client waits for an answer beyond what the call itself
/// may wait. Stores answer within milliseconds, and within some hundred when
/// they are slow.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A table, by what it is for.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum StoreTable {
    /// The operator's configuration; read only.
    Configuration,
    /// The runners' registry; read only.
    Registry,
    /// The hosts.
    Hosts,
    /// Leases among the hosts.
    Leases,
}

/// Names a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RowKey {
    /// Its table.
    pub table: StoreTable,
    /// Its key in the table.
    pub key: String,
}

/// A row that exists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreRow {
    /// Key in its table.
    pub key: String,
    /// Version, which grows with each write.
    pub version: u64,
    /// Value.
    pub value: Bytes,
}

/// A row as a feed tells of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowChange {
    /// It was written.
    Written(StoreRow),
    /// It was removed.
    Removed(String),
}

/// What a reading of a table or of its feed gave.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreReading {
    /// The rows.
    pub rows: Vec<RowChange>,
    /// Version from which a feed goes on.
    pub version: u64,
}

/// A row to write or remove.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowPut {
    /// Which row.
    pub row: RowKey,
    /// Version that it must have; 0 where it must not exist.
    pub expected: u64,
    /// The value; none to remove it.
    pub value: Option<Bytes>,
}

/// Why a call of the store gave nothing.
#[derive(Debug)]
pub enum StoreError {
    /// The history that was asked for is dropped: read the whole table.
    HistoryDropped,
    /// Nothing was done.
    Refused(anyhow::Error),
    /// A write may have been done, or may still be.
    InDoubt(anyhow::Error),
}

impl fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::HistoryDropped => {
                formatter.write_str("the history asked for is dropped")
            }
            StoreError::Refused(error) => write!(formatter, "{error:#}"),
            StoreError::InDoubt(error) => {
                write!(formatter, "outcome unknown: {error:#}")
            }
        }
    }
}

/// Message to the store's client.
#[derive(Debug)]
pub enum StoreRequest {
    /// Read a whole table as of one point.
    Read {
        /// Which.
        table: StoreTable,
        /// Where the reading goes.
        reply: oneshot::Sender<Result<StoreReading, StoreError>>,
    },
    /// Wait for changes of a table.
    Follow {
        /// Which.
        table: StoreTable,
        /// Version after which changes are told.
        after: u64,
        /// Longest wait for the first change.
        wait: Duration,
        /// Where the reading goes.
        reply: oneshot::Sender<Result<StoreReading, StoreError>>,
    },
    /// Write a row under its condition.
    Write {
        /// The row.
        put: RowPut,
        /// The version written, or none where the condition didn't hold.
        reply: oneshot::Sender<Result<Option<u64>, StoreError>>,
    },
}

/// The way to the store's client.
#[derive(Clone, Debug)]
pub struct StorePort {
    sender: mpsc::Sender<StoreRequest>,
}

impl StorePort {
    /// Makes the port and the mailbox of the client behind it.
    pub fn new() -> (StorePort, mpsc::Receiver<StoreRequest>) {
        let (sender, inbox) = mpsc::channel(MAILBOX_CAPACITY);
        (StorePort { sender }, inbox)
    }

    /// Reads a whole table.
    ///
    /// # Errors
    ///
    /// Returns an error where the store didn't answer.
    pub async fn read(
        &self,
        table: StoreTable,
    ) -> Result<StoreReading, StoreError> {
        self.ask(|reply| StoreRequest::Read { table, reply }).await
    }

    /// Waits for changes of a table: for `wait` at the store, and up to
    /// [`ANSWER_TIMEOUT`] more for its answer.
    ///
    /// # Errors
    ///
    /// Returns an error where the store didn't answer, or no longer knows
    /// what changed since `after`.
    pub async fn follow(
        &self,
        table: StoreTable,
        after: u64,
        wait: Duration,
    ) -> Result<StoreReading, StoreError> {
        let ask = |reply| StoreRequest::Follow { table, after, wait, reply };
        self.ask(ask).await
    }

    /// Writes a row under its condition; `None` where that didn't hold.
    ///
    /// # Errors
    ///
    /// Returns an error where the store didn't answer; unless it was
    /// refused, the row may be written.
    pub async fn write(&self, put: RowPut) -> Result<Option<u64>, StoreError> {
        self.ask(|reply| StoreRequest::Write { put, reply }).await
    }

    async fn ask<T>(
        &self,
        message: impl FnOnce(
            oneshot::Sender<Result<T, StoreError>>,
        ) -> StoreRequest,
    ) -> Result<T, StoreError> {
        let answer = crate::tasks::ask(&self.sender, message).await;
        answer.unwrap_or_else(|| {
            let error = anyhow::anyhow!("the store's client has ended");
            Err(StoreError::Refused(error))
        })
    }
}
