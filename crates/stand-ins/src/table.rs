//! Stand-in of the transactional table service, which holds JSON rows by key.

use std::time::Duration;

use http_body_util::BodyExt as _;
use hyper::{Request, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::net::TcpListener;

use crate::serve::{Reply, StateHandle, json_reply, serve};

/// Fault that the table service simulates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TableFault {
    /// Behaves correctly.
    #[default]
    None,
    /// Closes every connection without an answer.
    Down,
    /// Answers after this delay.
    Slow(Duration),
    /// Commits, then closes the connection without an answer.
    LostAnswers,
    /// Reads return the rows as they were when this fault was set.
    StaleReads,
}

#[derive(Clone, Debug, Serialize)]
struct Row {
    key: String,
    version: u64,
    value: Value,
}

#[derive(Debug, Default)]
struct TableState {
    /// Current rows, sorted by key.
    rows: Vec<Row>,
    /// Rows that reads return during [`TableFault::StaleReads`].
    stale_rows: Vec<Row>,
    /// Rows as they were before the last commit that changed the settings.
    rows_before_settings: Vec<Row>,
    fault: TableFault,
    /// Version that the last commit gave to its rows.
    last_version: u64,
    reads: u64,
    commits: u64,
    /// Bytes of the bodies of answered requests and of their answers.
    bytes: u64,
}

#[derive(Deserialize)]
struct ReadRequest {
    keys: Vec<String>,
    prefixes: Vec<String>,
}

#[derive(Deserialize)]
struct RowCheck {
    key: String,
    version: u64,
}

#[derive(Deserialize)]
struct RowWrite {
    key: String,
    value: Value,
}

#[derive(Deserialize)]
struct CommitRequest {
    checks: Vec<RowCheck>,
    writes: Vec<RowWrite>,
}

/// Handle to a running table service.
#[derive(Clone)]
pub struct TableStandIn {
    /// Address that it listens on, as `IP:PORT`.
    pub address: String,
    state: StateHandle<TableState>,
}

impl TableStandIn {
    /// Starts a service without rows at `listen`, an `IP:PORT`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(listen: &str) -> anyhow::Result<TableStandIn> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?.to_string();
        let state = StateHandle::start(TableState::default());
        let state_handle = state.clone();
        tokio::spawn(serve(listener, move |request| {
            handle(state_handle.clone(), request)
        }));
        Ok(TableStandIn { address, state })
    }

    /// Sets the fault that the service simulates from now on.
    pub async fn set_fault(&self, fault: TableFault) {
        self.state
            .with(move |state| {
                state.stale_rows = state.rows.clone();
                state.fault = fault;
            })
            .await;
    }

    /// Sets [`TableFault::StaleReads`] with the rows as they were before the
    /// last commit that changed the settings.
    pub async fn set_stale_reads(&self) {
        self.state
            .with(|state| {
                state.stale_rows = state.rows_before_settings.clone();
                state.fault = TableFault::StaleReads;
            })
            .await;
    }

    /// Returns the key and value of each row whose key starts with `prefix`.
    pub async fn rows(&self, prefix: &str) -> Vec<(String, Value)> {
        let prefix = prefix.to_owned();
        self.state
            .with(move |state| {
                let rows = state.rows.iter();
                rows.filter(|row| row.key.starts_with(&prefix))
                    .map(|row| (row.key.clone(), row.value.clone()))
                    .collect()
            })
            .await
    }

    /// Returns the total size of the bodies of answered requests and of their
    /// answers so far, in bytes.
    pub async fn bytes(&self) -> u64 {
        self.state.with(|state| state.bytes).await
    }

    /// Returns the number of reads and the number of commits so far.
    pub async fn calls(&self) -> (u64, u64) {
        self.state.with(|state| (state.reads, state.commits)).await
    }
}

async fn handle(
    state_handle: StateHandle<TableState>,
    request: Request<Incoming>,
) -> Reply {
    let path = request.uri().path().to_owned();
    let body = request.into_body().collect().await.ok()?.to_bytes();
    let fault = state_handle.with(|state| state.fault).await;
    if fault == TableFault::Down {
        return None;
    }
    if let TableFault::Slow(delay) = fault {
        tokio::time::sleep(delay).await;
    }
    let request_bytes = body.len() as u64;
    let answer = match path.as_str() {
        "/v1/read" => {
            let request: ReadRequest = serde_json::from_slice(&body).ok()?;
            state_handle.with(move |state| state.read(&request)).await
        }
        "/v1/commit" => {
            let request: CommitRequest = serde_json::from_slice(&body).ok()?;
            let answer =
                state_handle.with(move |state| state.commit(&request)).await;
            if fault == TableFault::LostAnswers {
                return None;
            }
            answer
        }
        _ => return Some(json_reply(StatusCode::NOT_FOUND, &json!({}))),
    };
    let bytes = request_bytes + answer.to_string().len() as u64;
    state_handle.with(move |state| state.bytes += bytes).await;
    Some(json_reply(StatusCode::OK, &answer))
}

impl TableState {
    /// Answers with the rows that the request names by key or prefix.
    fn read(&mut self, request: &ReadRequest) -> Value {
        self.reads += 1;
        let rows = match self.fault {
            TableFault::StaleReads => &self.stale_rows,
            _ => &self.rows,
        };
        let found: Vec<&Row> = rows
            .iter()
            .filter(|row| {
                request.keys.contains(&row.key)
                    || request.prefixes.iter().any(|p| row.key.starts_with(p))
            })
            .collect();
        json!({ "rows": found })
    }

    /// Writes the rows of the request if each checked row has its expected
    /// version, 0 for a missing row. Otherwise changes nothing.
    fn commit(&mut self, request: &CommitRequest) -> Value {
        self.commits += 1;
        let holds = |check: &RowCheck| {
            let index = self.position(&check.key);
            let version = index.map_or(0, |index| self.rows[index].version);
            version == check.version
        };
        if !request.checks.iter().all(holds) {
            return json!({ "committed": false, "versions": [] });
        }
        if request.writes.iter().any(|write| write.key == "settings/head") {
            self.rows_before_settings = self.rows.clone();
        }
        self.last_version += 1;
        let version = self.last_version;
        for write in &request.writes {
            let row = Row {
                key: write.key.clone(),
                version,
                value: write.value.clone(),
            };
            match self.position(&write.key) {
                Ok(index) => self.rows[index] = row,
                Err(index) => self.rows.insert(index, row),
            }
        }
        let versions = vec![version; request.writes.len()];
        json!({ "committed": true, "versions": versions })
    }

    fn position(&self, key: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.key.as_str().cmp(key))
    }
}
