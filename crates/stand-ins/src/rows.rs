//! Stand-in of the platform's store of rows, by its published protocol.
//!
//! Rows in tables, transactions under conditions, a feed of changes with a
//! bounded history. Nothing but what the tests need: one part for each
//! table, no objects, no rates.

use std::time::Duration;

use http_body_util::BodyExt as _;
use hyper::{Request, StatusCode, body::Incoming};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::{net::TcpListener, time::Instant};

use crate::serve::{Reply, StateHandle, json_reply, serve};

/// Time between two looks of a call that waits for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How the store behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RowFault {
    /// As it should.
    #[default]
    None,
    /// Closes every connection without an answer.
    Down,
    /// Refuses every call with 503.
    Busy,
    /// Never answers.
    Silent,
    /// Writes, then closes the connection without an answer.
    LostAnswers,
}

#[derive(Clone, Debug)]
struct Row {
    table: String,
    key: String,
    /// Base64; none where the row was removed.
    value: Option<String>,
    version: u64,
}

impl Row {
    fn to_json(&self) -> Value {
        match &self.value {
            Some(value) => json!({
                "table": self.table, "part": "", "key": self.key,
                "value": value, "row_version": self.version,
            }),
            None => json!({
                "table": self.table, "part": "", "key": self.key,
                "tombstone": true, "row_version": self.version,
            }),
        }
    }
}

#[derive(Debug, Default)]
struct RowState {
    /// Sorted by table and key; removed rows stay as marks.
    rows: Vec<Row>,
    version: u64,
    /// Version before which the feed knows nothing.
    history_start: u64,
    fault: RowFault,
    calls: u64,
    /// Readings that were answered, by table.
    answered_reads: Vec<(String, u64)>,
}

impl RowState {
    fn put(&mut self, table: &str, key: &str, value: Option<String>) {
        let version = self.version;
        let row = Row {
            table: table.to_owned(),
            key: key.to_owned(),
            value,
            version,
        };
        match self.position(table, key) {
            Ok(index) => self.rows[index] = row,
            Err(index) => self.rows.insert(index, row),
        }
    }

    fn position(&self, table: &str, key: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| {
            (row.table.as_str(), row.key.as_str()).cmp(&(table, key))
        })
    }

    fn live_version(&self, table: &str, key: &str) -> u64 {
        let Ok(index) = self.position(table, key) else { return 0 };
        let row = &self.rows[index];
        if row.value.is_some() { row.version } else { 0 }
    }

    fn count_read(&mut self, table: &str) {
        let entry =
            self.answered_reads.iter_mut().find(|(name, _)| name == table);
        match entry {
            Some((_, count)) => *count += 1,
            None => self.answered_reads.push((table.to_owned(), 1)),
        }
    }

    fn page(&self, rows: &[Value]) -> Value {
        json!({
            "rows": rows, "truncated": false,
            "row_version": self.version, "now_ms": 0,
        })
    }
}

#[derive(Deserialize)]
struct Transaction {
    expected: Vec<ExpectedRow>,
    puts: Vec<PutRow>,
    remove: Vec<RowName>,
}

#[derive(Deserialize)]
struct ExpectedRow {
    table: String,
    key: String,
    row_version: u64,
}

#[derive(Deserialize)]
struct PutRow {
    table: String,
    key: String,
    value: String,
}

#[derive(Deserialize)]
struct RowName {
    table: String,
    key: String,
}

/// The store of rows, served at an address.
#[derive(Clone)]
pub struct RowStore {
    /// Where it listens.
    pub address: String,
    state: StateHandle<RowState>,
}

impl RowStore {
    /// Starts the store at a free port.
    ///
    /// # Errors
    ///
    /// Returns an error where no port can be bound.
    pub async fn start() -> anyhow::Result<RowStore> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        let state = StateHandle::start(RowState::default());
        let server_state = state.clone();
        tokio::spawn(serve(listener, move |request| {
            answer(server_state.clone(), request)
        }));
        Ok(RowStore { address, state })
    }

    /// Sets how the store behaves from now on.
    pub async fn set_fault(&self, fault: RowFault) {
        self.state.with(move |state| state.fault = fault).await;
    }

    /// Writes a row as the platform does; the value is base64.
    pub async fn put(&self, table: &str, key: &str, value: &str) {
        let (table, key) = (table.to_owned(), key.to_owned());
        let value = value.to_owned();
        self.state
            .with(move |state| {
                state.version += 1;
                state.put(&table, &key, Some(value));
            })
            .await;
    }

    /// Removes a row.
    pub async fn remove(&self, table: &str, key: &str) {
        let (table, key) = (table.to_owned(), key.to_owned());
        self.state
            .with(move |state| {
                state.version += 1;
                state.put(&table, &key, None);
            })
            .await;
    }

    /// Forgets the history of changes up to now.
    pub async fn drop_history(&self) {
        self.state
            .with(|state| {
                state.version += 1;
                state.history_start = state.version;
            })
            .await;
    }

    /// Returns the keys of a table's rows.
    pub async fn keys(&self, table: &str) -> Vec<String> {
        let table = table.to_owned();
        self.state
            .with(move |state| {
                let rows = state.rows.iter();
                rows.filter(|row| row.table == table && row.value.is_some())
                    .map(|row| row.key.clone())
                    .collect()
            })
            .await
    }

    /// Returns how many readings of a table were answered so far.
    pub async fn answered_reads(&self, table: &str) -> u64 {
        let table = table.to_owned();
        self.state
            .with(move |state| {
                let mut reads = state.answered_reads.iter();
                let entry = reads.find(|(name, _)| *name == table);
                entry.map_or(0, |(_, count)| *count)
            })
            .await
    }

    /// Returns the number of calls so far.
    pub async fn calls(&self) -> u64 {
        self.state.with(|state| state.calls).await
    }
}

async fn answer(
    state: StateHandle<RowState>,
    request: Request<Incoming>,
) -> Reply {
    let fault = state
        .with(|state| {
            state.calls += 1;
            state.fault
        })
        .await;
    match fault {
        RowFault::Down => return None,
        RowFault::Busy => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Some(json_reply(status, &json!({})));
        }
        RowFault::Silent => std::future::pending().await,
        RowFault::None | RowFault::LostAnswers => {}
    }
    let query = request.uri().query().unwrap_or("").to_owned();
    match request.uri().path() {
        "/-/rows-get" => Some(get_rows(&state, &query).await),
        "/-/rows-feed" => Some(read_feed(&state, &query).await),
        "/-/rows-tx" => {
            let body = request.into_body().collect().await.ok()?.to_bytes();
            let reply = transact(&state, &body).await?;
            (fault == RowFault::None).then_some(reply)
        }
        _ => Some(json_reply(StatusCode::NOT_FOUND, &json!({}))),
    }
}

fn query_parameter(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut named = pairs.filter(|(parameter, _)| *parameter == name);
    named.next().map(|(_, value)| value.to_owned()).unwrap_or_default()
}

async fn get_rows(
    state: &StateHandle<RowState>,
    query: &str,
) -> hyper::Response<crate::serve::ReplyBody> {
    let table = query_parameter(query, "table");
    let page = state
        .with(move |state| {
            state.count_read(&table);
            let rows = state.rows.iter();
            let rows: Vec<Value> = rows
                .filter(|row| row.table == table && row.value.is_some())
                .map(Row::to_json)
                .collect();
            state.page(&rows)
        })
        .await;
    json_reply(StatusCode::OK, &page)
}

async fn read_feed(
    state: &StateHandle<RowState>,
    query: &str,
) -> hyper::Response<crate::serve::ReplyBody> {
    let after: u64 = query_parameter(query, "after").parse().unwrap_or(0);
    let wait_ms = query_parameter(query, "wait_ms").parse().unwrap_or(0);
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    let table = query_parameter(query, "table");
    loop {
        let table = table.clone();
        let name = table.clone();
        let found = state
            .with(move |state| {
                if after < state.history_start {
                    return Err(());
                }
                let rows = state.rows.iter();
                let mut rows: Vec<&Row> = rows
                    .filter(|row| row.table == name && after < row.version)
                    .collect();
                rows.sort_by_key(|row| row.version);
                let rows: Vec<Value> =
                    rows.into_iter().map(Row::to_json).collect();
                Ok((!rows.is_empty(), state.page(&rows)))
            })
            .await;
        match found {
            Err(()) => return json_reply(StatusCode::GONE, &json!({})),
            Ok((changed, page)) if changed || deadline <= Instant::now() => {
                state.with(move |state| state.count_read(&table)).await;
                return json_reply(StatusCode::OK, &page);
            }
            Ok(_) => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

async fn transact(state: &StateHandle<RowState>, body: &[u8]) -> Reply {
    let transaction: Transaction = serde_json::from_slice(body).ok()?;
    let (status, page) = state
        .with(move |state| {
            let conditions_hold = transaction.expected.iter().all(|row| {
                state.live_version(&row.table, &row.key) == row.row_version
            });
            if !conditions_hold {
                let page = json!({"row_version": state.version});
                return (StatusCode::PRECONDITION_FAILED, page);
            }
            state.version += 1;
            for put in transaction.puts {
                state.put(&put.table, &put.key, Some(put.value));
            }
            for name in transaction.remove {
                state.put(&name.table, &name.key, None);
            }
            let page = json!({"row_version": state.version, "now_ms": 0});
            (StatusCode::OK, page)
        })
        .await;
    Some(json_reply(status, &page))
}
