//! Stand-in of the platform's row store, which speaks the store's published
//! protocol.
//!
//! It has rows in tables, conditional transactions, and a feed of changes with
//! a bounded history. It can come back from an older copy of itself. It
//! implements only what the tests need: one part per table, and neither objects
//! nor rates.

use std::time::{Duration, UNIX_EPOCH};

use http_body_util::BodyExt as _;
use hyper::{Request, Response, StatusCode, body::Incoming};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::{net::TcpListener, time::Instant};

use crate::serve::{Reply, ReplyBody, StateHandle, json_reply, serve};

/// Time between two checks for changes of a feed request that waits.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Fault that the store simulates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RowFault {
    /// Behaves correctly.
    #[default]
    None,
    /// Closes every connection without an answer.
    Down,
    /// Closes the connections of reads of this table without an answer.
    TableDown(&'static str),
    /// Answers every call with 503.
    Busy,
    /// Never answers.
    Silent,
    /// Applies a transaction, then closes the connection without an answer.
    LostAnswers,
}

impl RowFault {
    /// Returns whether reads of a table end without an answer.
    fn cuts_reads_of(self, table: &str) -> bool {
        self == RowFault::Down
            || matches!(self, RowFault::TableDown(cut) if cut == table)
    }
}

#[derive(Clone, Debug)]
struct Row {
    table: String,
    key: String,
    /// Value in base64, or `None` once the row has been removed.
    value: Option<String>,
    /// Store version of the row's last change.
    version: u64,
}

impl Row {
    /// Returns the row, or the tombstone of a removed row, as it stands in an
    /// answer.
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

/// A copy of the store's rows, from which it can come back.
#[derive(Clone, Debug, Default)]
pub struct RowCopy {
    /// Sorted by table and key. A removed row stays as a tombstone.
    rows: Vec<Row>,
    /// Version of the last change to the store.
    version: u64,
}

impl RowCopy {
    /// Returns the version of the store when the copy was taken.
    pub fn version(&self) -> u64 {
        self.version
    }
}

#[derive(Debug, Default)]
struct RowState {
    /// Sorted by table and key. A removed row stays as a tombstone.
    rows: Vec<Row>,
    /// Version of the last change to the store.
    version: u64,
    /// Number of times that the store came back from a copy.
    era: u64,
    /// First version from which the feed can continue; an earlier one gets
    /// 410.
    history_start: u64,
    fault: RowFault,
    /// Calls received.
    calls: u64,
    /// Number of answered reads, of rows or of the feed, by table.
    answered_reads: Vec<(String, u64)>,
}

impl RowState {
    /// Writes a row, or with `None` its tombstone, at the current version.
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

    /// Returns the version of a row, or 0 if there is no such row.
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

    /// Returns the body of an answer with these rows.
    fn page(&self, rows: &[Value]) -> Value {
        json!({
            "rows": rows, "truncated": false,
            "row_version": self.version, "now_ms": now_ms(),
        })
    }
}

/// Returns the time by the store's clock.
fn now_ms() -> u64 {
    let since = UNIX_EPOCH.elapsed().unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
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

/// Handle to a running row store.
#[derive(Clone)]
pub struct RowStore {
    /// Address that it listens on, as `IP:PORT`.
    pub address: String,
    state: StateHandle<RowState>,
}

impl RowStore {
    /// Starts an empty store on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
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

    /// Sets the fault that the store simulates from now on.
    pub async fn set_fault(&self, fault: RowFault) {
        self.state.with(move |state| state.fault = fault).await;
    }

    /// Writes a row, as the platform itself would. The value is in base64.
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

    /// Removes a row, as the platform itself would.
    pub async fn remove(&self, table: &str, key: &str) {
        let (table, key) = (table.to_owned(), key.to_owned());
        self.state
            .with(move |state| {
                state.version += 1;
                state.put(&table, &key, None);
            })
            .await;
    }

    /// Requests that nothing more be sent to a zone, as the operator does.
    pub async fn evacuate(&self, zone: &str) {
        self.put("op", &format!("evacuate/{zone}"), "e30=").await;
    }

    /// Withdraws the evacuation of a zone.
    pub async fn readmit(&self, zone: &str) {
        self.remove("op", &format!("evacuate/{zone}")).await;
    }

    /// Drops the feed's history of changes up to now, so that a feed request
    /// from an earlier version gets 410.
    pub async fn drop_history(&self) {
        self.state
            .with(|state| {
                state.version += 1;
                state.history_start = state.version;
            })
            .await;
    }

    /// Returns a copy of the rows as they are now.
    pub async fn copy(&self) -> RowCopy {
        self.state
            .with(|state| RowCopy {
                rows: state.rows.clone(),
                version: state.version,
            })
            .await
    }

    /// Comes back without a fault from a copy, in a new era. Later changes are
    /// lost, and their versions are issued again.
    pub async fn restore(&self, copy: RowCopy) {
        self.state
            .with(move |state| {
                state.rows = copy.rows;
                state.version = copy.version;
                state.era += 1;
                state.fault = RowFault::None;
            })
            .await;
    }

    /// Writes the row of a copy again, if it had it.
    pub async fn write_again(&self, copy: &RowCopy, table: &str, key: &str) {
        let row =
            copy.rows.iter().find(|row| row.table == table && row.key == key);
        if let Some(value) = row.and_then(|row| row.value.as_deref()) {
            self.put(table, key, value).await;
        }
    }

    /// Returns the value of a row in base64, if it exists.
    pub async fn value(&self, table: &str, key: &str) -> Option<String> {
        let (table, key) = (table.to_owned(), key.to_owned());
        self.state
            .with(move |state| {
                let index = state.position(&table, &key).ok()?;
                state.rows[index].value.clone()
            })
            .await
    }

    /// Returns the keys of a table's rows, without removed ones.
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

    /// Returns the number of reads of a table, of its rows or its feed, that
    /// were answered so far.
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

    /// Returns the number of calls received so far.
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
        RowFault::None | RowFault::LostAnswers | RowFault::TableDown(_) => {}
    }
    let query = request.uri().query().unwrap_or("").to_owned();
    if fault.cuts_reads_of(&query_parameter(&query, "table")) {
        return None;
    }
    match request.uri().path() {
        "/-/rows-get" => Some(get_rows(&state, &query).await),
        "/-/rows-feed" => read_feed(&state, &query).await,
        "/-/rows-tx" => {
            let body = request.into_body().collect().await.ok()?.to_bytes();
            let reply = transact(&state, &body).await?;
            (fault == RowFault::None).then_some(reply)
        }
        _ => Some(json_reply(StatusCode::NOT_FOUND, &json!({}))),
    }
}

/// Returns the value of a query parameter, or "" if it is missing.
fn query_parameter(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut named = pairs.filter(|(parameter, _)| *parameter == name);
    named.next().map(|(_, value)| value.to_owned()).unwrap_or_default()
}

/// Answers with all rows of a table.
async fn get_rows(
    state: &StateHandle<RowState>,
    query: &str,
) -> Response<ReplyBody> {
    let table = query_parameter(query, "table");
    let (page, era) = state
        .with(move |state| {
            state.count_read(&table);
            let rows = state.rows.iter();
            let rows: Vec<Value> = rows
                .filter(|row| row.table == table && row.value.is_some())
                .map(Row::to_json)
                .collect();
            (state.page(&rows), state.era)
        })
        .await;
    era_reply(StatusCode::OK, &page, era)
}

/// Creates an answer of this era. As the platform's store, it doesn't state era
/// 0.
fn era_reply(
    status: StatusCode,
    body: &Value,
    era: u64,
) -> Response<ReplyBody> {
    let mut reply = json_reply(status, body);
    if 0 < era {
        reply.headers_mut().insert("store-era", era.into());
    }
    reply
}

/// Answers with the changes of a table after a version. Waits for a change for
/// up to `wait_ms`; answers 410 if the history no longer reaches back to that
/// version, or the store doesn't have it. Closes the connection if the store goes
/// away meanwhile.
async fn read_feed(state: &StateHandle<RowState>, query: &str) -> Reply {
    let after: u64 = query_parameter(query, "after").parse().unwrap_or(0);
    let wait_ms = query_parameter(query, "wait_ms").parse().unwrap_or(0);
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    let table = query_parameter(query, "table");
    let began_in = state.with(|state| state.era).await;
    loop {
        let table = table.clone();
        let name = table.clone();
        let found = state
            .with(move |state| {
                if state.fault.cuts_reads_of(&name) || state.era != began_in {
                    return Err(None);
                }
                if after < state.history_start || state.version < after {
                    return Err(Some(state.era));
                }
                let rows = state.rows.iter();
                let mut rows: Vec<&Row> = rows
                    .filter(|row| row.table == name && after < row.version)
                    .collect();
                rows.sort_by_key(|row| row.version);
                let rows: Vec<Value> =
                    rows.into_iter().map(Row::to_json).collect();
                Ok((!rows.is_empty(), state.page(&rows), state.era))
            })
            .await;
        match found {
            Err(era) => {
                let era = era?;
                return Some(era_reply(StatusCode::GONE, &json!({}), era));
            }
            Ok((changed, page, era))
                if changed || deadline <= Instant::now() =>
            {
                state.with(move |state| state.count_read(&table)).await;
                return Some(era_reply(StatusCode::OK, &page, era));
            }
            Ok(_) => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

/// Applies a transaction and answers 200 if each expected row has its expected
/// version. Otherwise changes nothing and answers 412.
async fn transact(state: &StateHandle<RowState>, body: &[u8]) -> Reply {
    let transaction: Transaction = serde_json::from_slice(body).ok()?;
    let (status, page, era) = state
        .with(move |state| {
            let conditions_hold = transaction.expected.iter().all(|row| {
                state.live_version(&row.table, &row.key) == row.row_version
            });
            if !conditions_hold {
                let page = json!({"row_version": state.version});
                return (StatusCode::PRECONDITION_FAILED, page, state.era);
            }
            state.version += 1;
            for put in transaction.puts {
                state.put(&put.table, &put.key, Some(put.value));
            }
            for name in transaction.remove {
                state.put(&name.table, &name.key, None);
            }
            let page = json!({"row_version": state.version, "now_ms": 0});
            (StatusCode::OK, page, state.era)
        })
        .await;
    Some(era_reply(status, &page, era))
}
