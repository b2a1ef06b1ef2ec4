//! Client of the platform's transactional table service.
//!
//! The service stores rows, each with a key, a version and a JSON value. A
//! read returns the rows of given keys and key prefixes from one consistent
//! snapshot. A commit checks versions (0 for a row that must not exist) and
//! writes all its rows or none.
//!
//! A response can be lost after the write has taken effect. A commit without
//! a response is therefore *in doubt*, and the caller has to read the rows
//! again to learn the outcome.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{Method, Request, StatusCode, header};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::time::Instant;

use super::link::{HttpLink, SendFault};
use crate::step::{StepContext as _, StepName};

/// Timeout of a call, from connecting to the end of the response.
const TABLE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Size limit of a response.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// A row returned by a read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TableRow {
    /// Key.
    pub key: String,
    /// Version, which grows with each write of the row and is never 0.
    pub version: u64,
    /// Value.
    pub value: serde_json::Value,
}

impl TableRow {
    /// Decodes the value.
    ///
    /// # Errors
    ///
    /// Returns an error that names the key if the value doesn't decode as
    /// `T`.
    pub fn decode<T: DeserializeOwned>(&self) -> anyhow::Result<T> {
        T::deserialize(&self.value).at(StepName::Decode, &self.key)
    }
}

/// Rows to read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct ReadRequest {
    /// Single keys.
    pub keys: Vec<String>,
    /// Prefixes of keys.
    pub prefixes: Vec<String>,
}

/// The rows that a read returns, sorted by key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ReadResponse {
    /// The rows, without keys that don't exist.
    pub rows: Vec<TableRow>,
}

impl ReadResponse {
    /// Returns the row of `key`, if it exists.
    pub fn row(&self, key: &str) -> Option<&TableRow> {
        let rows = &self.rows;
        let index = rows.binary_search_by(|row| row.key.as_str().cmp(key));
        Some(&rows[index.ok()?])
    }

    /// Returns the version of the row of `key`, or 0 if there is no row.
    pub fn version(&self, key: &str) -> u64 {
        self.row(key).map_or(0, |row| row.version)
    }

    /// Iterates over the rows whose keys start with `prefix`.
    pub fn rows_with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = &'a TableRow> {
        self.rows.iter().filter(move |row| row.key.starts_with(prefix))
    }
}

/// A condition of a commit: the row must still be at this version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RowCheck {
    /// Key.
    pub key: String,
    /// Version, or 0 for a row that must not exist.
    pub version: u64,
}

/// A row to write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RowWrite {
    /// Key.
    pub key: String,
    /// Value.
    pub value: serde_json::Value,
}

/// A transaction to commit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CommitRequest {
    /// Conditions, all of which must hold.
    pub checks: Vec<RowCheck>,
    /// Rows to write.
    pub writes: Vec<RowWrite>,
}

impl CommitRequest {
    /// Adds the condition that the row of `key` is still at `version`.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerylead::platform::CommitRequest;
    ///
    /// let request = CommitRequest::default().check("a", 0).write("a", &1);
    /// assert_eq!((request.checks.len(), request.writes.len()), (1, 1));
    /// ```
    pub fn check(mut self, key: &str, version: u64) -> CommitRequest {
        self.checks.push(RowCheck { key: key.to_owned(), version });
        self
    }

    /// Adds a row to write.
    pub fn write(
        mut self,
        key: &str,
        value: &impl Serialize,
    ) -> CommitRequest {
        let value = serde_json::to_value(value)
            .expect("rows are plain data, which JSON can hold");
        self.writes.push(RowWrite { key: key.to_owned(), value });
        self
    }
}

/// Response to a [`CommitRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CommitResponse {
    /// Whether the conditions held and the rows were written.
    pub committed: bool,
    /// The new versions of the rows, in the order of the writes.
    pub versions: Vec<u64>,
}

/// Client of the table service at one address.
#[derive(Clone, Debug)]
pub struct TableClient {
    address: String,
}

impl TableClient {
    /// Creates a client of the service at `address` (`IP:PORT`).
    ///
    /// # Examples
    ///
    /// ```
    /// let client = celerylead::platform::TableClient::new("127.0.0.1:7000");
    /// assert_eq!(client.address(), "127.0.0.1:7000");
    /// ```
    pub fn new(address: &str) -> TableClient {
        TableClient { address: address.to_owned() }
    }

    /// Returns the address of the service.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Reads rows from one consistent snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the service can't be reached, doesn't respond in
    /// time or responds with a failure.
    pub async fn read(
        &self,
        request: &ReadRequest,
    ) -> anyhow::Result<ReadResponse> {
        let step = StepName::ReadRows;
        self.call("/v1/read", request).await.at(step, &self.address)
    }

    /// Writes rows in one transaction.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid response arrives. The outcome is then in
    /// doubt: the rows may have been written.
    pub async fn commit(
        &self,
        request: &CommitRequest,
    ) -> anyhow::Result<CommitResponse> {
        let step = StepName::WriteRows;
        self.call("/v1/commit", request).await.at(step, &self.address)
    }

    /// Posts a request as JSON and decodes the JSON answer.
    async fn call<T: DeserializeOwned>(
        &self,
        path: &str,
        request: &impl Serialize,
    ) -> anyhow::Result<T> {
        let body = serde_json::to_vec(request)?;
        let bytes = exchange(&self.address, Method::POST, path, body).await?;
        serde_json::from_slice(&bytes).at(StepName::Decode, &self.address)
    }
}

/// Sends one request over a new connection and reads the whole response.
/// Returns an error if its status isn't a success.
pub(crate) async fn exchange(
    peer: &str,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> anyhow::Result<Bytes> {
    let (status, bytes) =
        exchange_any_status(peer, method, path, body).await?;
    if !status.is_success() {
        anyhow::bail!("answer has status {status}");
    }
    Ok(bytes)
}

/// Sends one request over a new connection and returns the status and the
/// body of the response.
pub(crate) async fn exchange_any_status(
    peer: &str,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> anyhow::Result<(StatusCode, Bytes)> {
    let deadline = Instant::now() + TABLE_TIMEOUT;
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, peer)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))?;
    let mut link = HttpLink::open(peer, deadline).await?;
    let sent = link.send(request, deadline).await;
    let response = sent.map_err(SendFault::into_error)?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    let bytes = tokio::time::timeout_at(deadline, body.collect())
        .await
        .at(StepName::ReadBody, peer)?
        .map_err(|error| anyhow::anyhow!("{error}"))?
        .to_bytes();
    Ok((status, bytes))
}
