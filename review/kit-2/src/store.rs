//! Stand-in of the platform's metadata store.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Conn, Head, listen, serve};
use crate::json::{Json, encode_base64};

/// Time that a call takes.
const CALL_TIME: Duration = Duration::from_millis(4);
/// Copies that are kept of the store, and the time between two of them.
const MAX_COPIES: usize = 400;
const COPY_PERIOD: Duration = Duration::from_millis(50);

type RowName = (String, String, String);

#[derive(Clone)]
struct Row {
    /// Value in base64; `None` for a row that was removed.
    value: Option<String>,
    version: u64,
}

#[derive(Clone, Default)]
struct Rows {
    rows: BTreeMap<RowName, Row>,
    version: u64,
}

/// A write that a host made under a condition, and its result.
#[derive(Clone, Debug)]
pub struct HostWrite {
    pub at: Instant,
    pub table: String,
    pub value: String,
    pub version: Option<u64>,
}

struct State {
    now: Rows,
    copies: Vec<(Instant, Rows)>,
    era: u64,
    /// Whether the store is away: connections are closed unanswered.
    away: bool,
    writes: Vec<HostWrite>,
}

#[derive(Clone)]
pub struct Store {
    pub address: String,
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn start() -> Store {
        let (listener, address) = listen();
        let state = State {
            now: Rows::default(),
            copies: Vec::new(),
            era: 1,
            away: false,
            writes: Vec::new(),
        };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let store = Store { address, state, started: Instant::now() };
        store.serve(listener);
        let copier = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(COPY_PERIOD);
                let mut state = copier.state.0.lock().unwrap();
                let copy = (Instant::now(), state.now.clone());
                state.copies.push(copy);
                if MAX_COPIES < state.copies.len() {
                    state.copies.remove(0);
                }
            }
        });
        store
    }

    fn serve(&self, listener: TcpListener) {
        let store = self.clone();
        serve(
            listener,
            move |mut conn| {
                while store.answer(&mut conn).is_some() {}
            },
        );
    }

    /// Writes a row as the operator or a runner does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        if state.away {
            return;
        }
        let value = Some(encode_base64(value.as_bytes()));
        state.now.version += 1;
        let version = state.now.version;
        let name = (table.to_owned(), String::new(), key.to_owned());
        state.now.rows.insert(name, Row { value, version });
        changed.notify_all();
    }

    /// Returns the writes of hosts to a table so far.
    pub fn writes(&self, table: &str) -> Vec<HostWrite> {
        let state = self.state.0.lock().unwrap();
        let writes = state.writes.iter();
        writes.filter(|write| write.table == table).cloned().collect()
    }

    /// Takes the store away.
    pub fn go_away(&self) {
        let (lock, changed) = &*self.state;
        lock.lock().unwrap().away = true;
        changed.notify_all();
    }

    /// Brings the store back from its copy of this time; returns the age of
    /// the copy in seconds.
    pub fn come_back_as_of(&self, at: Instant) -> f64 {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        let copies = state.copies.iter().rev();
        let mut copies = copies.filter(|(taken, _)| *taken <= at);
        let (taken, rows) = copies.next().expect("a copy").clone();
        state.now = rows;
        state.era += 1;
        state.away = false;
        changed.notify_all();
        taken.elapsed().as_secs_f64()
    }

    fn answer(&self, conn: &mut Conn) -> Option<()> {
        let idle = Instant::now() + Duration::from_secs(60);
        let head = conn.head(idle).ok()?;
        let body = conn.body(&head, idle).ok()?;
        std::thread::sleep(CALL_TIME);
        let (status, era, text) = self.handle(&head, &body, conn)?;
        let answer = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n\
             Store-Era: {era}\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        );
        conn.write(answer.as_bytes()).ok()
    }

    fn handle(
        &self,
        head: &Head,
        body: &[u8],
        conn: &mut Conn,
    ) -> Option<(u16, u64, String)> {
        let (path, query) =
            head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        if state.away {
            return None;
        }
        match path {
            "/-/rows-get" => {
                let table = parameter(query, "table");
                let from = parameter(query, "from");
                let rows = state.now.rows.iter().filter(|(name, row)| {
                    name.0 == table && row.value.is_some() && from <= name.2
                });
                let rows: Vec<String> = rows.map(row_text).collect();
                let text = self.page(&state, &rows);
                Some((200, state.era, text))
            }
            "/-/rows-feed" => {
                let table = parameter(query, "table");
                let after: u64 = parameter(query, "after").parse().ok()?;
                let wait: u64 =
                    parameter(query, "wait_ms").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    if state.away {
                        return None;
                    }
                    if state.now.version < after {
                        return Some((410, state.era, "{}".into()));
                    }
                    let rows = state.now.rows.iter();
                    let mut rows: Vec<_> = rows
                        .filter(|(name, row)| {
                            name.0 == table && after < row.version
                        })
                        .collect();
                    rows.sort_by_key(|(_, row)| row.version);
                    let rows: Vec<String> =
                        rows.into_iter().map(row_text).collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !rows.is_empty() || left.is_zero() {
                        let text = self.page(&state, &rows);
                        return Some((200, state.era, text));
                    }
                    let left = left.min(Duration::from_millis(200));
                    state = changed.wait_timeout(state, left).unwrap().0;
                    if conn.is_closed() {
                        return None;
                    }
                }
            }
            "/-/rows-tx" => {
                let text = std::str::from_utf8(body).ok()?;
                let wire = Json::parse(text)?;
                let holds = wire.get("expected").list().iter().all(|row| {
                    let found = state.now.rows.get(&row_name(row));
                    let version = found
                        .filter(|row| row.value.is_some())
                        .map_or(0, |row| row.version);
                    version == row.get("row_version").number()
                });
                let version = holds.then_some(state.now.version + 1);
                for put in wire.get("puts").list() {
                    let (table, _, _) = row_name(put);
                    let value = put.get("value").text().to_owned();
                    let at = Instant::now();
                    let write = HostWrite { at, table, value, version };
                    state.writes.push(write);
                }
                let Some(version) = version else {
                    let text = self.page(&state, &[]);
                    return Some((412, state.era, text));
                };
                state.now.version = version;
                for put in wire.get("puts").list() {
                    let value = Some(put.get("value").text().to_owned());
                    let row = Row { value, version };
                    state.now.rows.insert(row_name(put), row);
                }
                for name in wire.get("remove").list() {
                    let row = Row { value: None, version };
                    state.now.rows.insert(row_name(name), row);
                }
                changed.notify_all();
                let text = self.page(&state, &[]);
                Some((200, state.era, text))
            }
            _ => Some((404, state.era, "{}".into())),
        }
    }

    fn page(&self, state: &State, rows: &[String]) -> String {
        format!(
            "{{\"rows\":[{}],\"truncated\":false,\"row_version\":{},\
             \"now_ms\":{}}}",
            rows.join(","),
            state.now.version,
            self.started.elapsed().as_millis() + 1_000_000
        )
    }
}

fn row_name(row: &Json) -> RowName {
    let text = |name| row.get(name).text().to_owned();
    (text("table"), text("part"), text("key"))
}

fn row_text((name, row): (&RowName, &Row)) -> String {
    let value = match &row.value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"tombstone\":true".to_owned(),
    };
    format!(
        "{{\"table\":\"{}\",\"part\":\"{}\",\"key\":\"{}\",{value},\
         \"row_version\":{}}}",
        name.0, name.1, name.2, row.version
    )
}

/// Returns a parameter of a query, without percent-encoding.
fn parameter(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.into_iter().find(|(key, _)| *key == name);
    let text = found.map_or("", |(_, value)| value).as_bytes();
    let mut bytes = Vec::new();
    let mut at = 0;
    while at < text.len() {
        let digits = text.get(at + 1..at + 3).filter(|_| text[at] == b'%');
        let digits = digits.and_then(|d| std::str::from_utf8(d).ok());
        match digits.and_then(|d| u8::from_str_radix(d, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                at += 3;
            }
            None => {
                bytes.push(text[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into()
}
