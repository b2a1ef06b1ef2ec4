//! Stand-ins of the platform for the scripts of this review: the metadata
//! store, model runners and clients, as threads of one process, and the
//! project's own hosts as separate processes. Standard library only.

use std::{
    collections::BTreeMap,
    fs,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

// ---------------------------------------------------------------- helpers

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn sleep_ms(n: u64) {
    thread::sleep(ms(n));
}

pub fn epoch_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

const B64: &[u8; 64] =
    b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = (u32::from(group[0]) << 16)
            | (u32::from(group[1]) << 8)
            | u32::from(group[2]);
        for place in 0..4 {
            if place <= chunk.len() {
                let index = (bits >> (18 - 6 * place)) & 63;
                text.push(B64[index as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let hex = &text[at + 1..at + 3];
            out.push(u8::from_str_radix(hex, 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A JSON value, as far as the messages here need it.
#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut at = 0;
        Json::value(text.as_bytes(), &mut at)
    }

    fn skip(bytes: &[u8], at: &mut usize) {
        while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
            *at += 1;
        }
    }

    fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
        Json::skip(bytes, at);
        match *bytes.get(*at)? {
            b'{' => {
                *at += 1;
                let mut map = Vec::new();
                loop {
                    Json::skip(bytes, at);
                    if bytes.get(*at)? == &b'}' {
                        *at += 1;
                        return Some(Json::Map(map));
                    }
                    if bytes[*at] == b',' {
                        *at += 1;
                        continue;
                    }
                    let Json::Text(key) = Json::value(bytes, at)? else {
                        return None;
                    };
                    Json::skip(bytes, at);
                    if bytes.get(*at)? != &b':' {
                        return None;
                    }
                    *at += 1;
                    map.push((key, Json::value(bytes, at)?));
                }
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Json::skip(bytes, at);
                    match bytes.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(list));
                        }
                        b',' => *at += 1,
                        _ => list.push(Json::value(bytes, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut out = Vec::new();
                while bytes.get(*at)? != &b'"' {
                    if bytes[*at] == b'\\' {
                        *at += 1;
                        out.push(match *bytes.get(*at)? {
                            b'n' => b'\n',
                            b't' => b'\t',
                            other => other,
                        });
                    } else {
                        out.push(bytes[*at]);
                    }
                    *at += 1;
                }
                *at += 1;
                Some(Json::Text(String::from_utf8_lossy(&out).into_owned()))
            }
            b't' => {
                *at += 4;
                Some(Json::Bool(true))
            }
            b'f' => {
                *at += 5;
                Some(Json::Bool(false))
            }
            b'n' => {
                *at += 4;
                Some(Json::Null)
            }
            _ => {
                let start = *at;
                while *at < bytes.len()
                    && matches!(
                        bytes[*at],
                        b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E'
                    )
                {
                    *at += 1;
                }
                let text = std::str::from_utf8(&bytes[start..*at]).ok()?;
                Some(Json::Number(text.parse().ok()?))
            }
        }
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        let Json::Map(map) = self else { return None };
        map.iter().find(|(name, _)| name == key).map(|(_, value)| value)
    }

    pub fn text(&self, key: &str) -> Option<String> {
        match self.get(key)? {
            Json::Text(text) => Some(text.clone()),
            _ => None,
        }
    }

    pub fn number(&self, key: &str) -> Option<f64> {
        match self.get(key)? {
            Json::Number(number) => Some(*number),
            _ => None,
        }
    }

    pub fn list(&self, key: &str) -> Vec<Json> {
        match self.get(key) {
            Some(Json::List(list)) => list.clone(),
            _ => Vec::new(),
        }
    }
}

/// A request as a server read it.
#[derive(Clone, Debug, Default)]
pub struct HttpRequest {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(header, _)| header == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Reads one request; `None` at the end of the connection.
pub fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> Option<HttpRequest> {
    let end = read_head(stream, buffer)?;
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let mut first = lines.next()?.split(' ');
    let method = first.next()?.to_owned();
    let target = first.next()?.to_owned();
    let headers = parse_headers(lines);
    let mut request =
        HttpRequest { method, target, headers, body: Vec::new() };
    let length = request.header("content-length").unwrap_or("0");
    let length: usize = length.parse().ok()?;
    while buffer.len() < length {
        if read_some(stream, buffer)? == 0 {
            return None;
        }
    }
    request.body = buffer.drain(..length).collect();
    Some(request)
}

fn parse_headers<'a>(
    lines: impl Iterator<Item = &'a str>,
) -> Vec<(String, String)> {
    lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| {
            (name.to_ascii_lowercase(), value.trim().to_owned())
        })
        .collect()
}

fn read_some(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<usize> {
    let mut bytes = [0; 16_384];
    let count = stream.read(&mut bytes).ok()?;
    buffer.extend_from_slice(&bytes[..count]);
    Some(count)
}

fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<usize> {
    loop {
        if let Some(end) =
            buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n")
        {
            return Some(end);
        }
        if read_some(stream, buffer)? == 0 {
            return None;
        }
    }
}

pub fn write_answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &[u8],
) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

// ------------------------------------------------------------------ store

#[derive(Clone)]
struct StoredRow {
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct StoreRows {
    rows: BTreeMap<(String, String), StoredRow>,
    version: u64,
}

/// The metadata store: rows, conditional transactions and the feed. All rows
/// have an empty part.
#[derive(Clone)]
pub struct Store {
    pub address: String,
    rows: Arc<(Mutex<StoreRows>, Condvar)>,
    began: Instant,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let rows = Arc::new((Mutex::default(), Condvar::new()));
        let store = Store { address, rows, began: Instant::now() };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes or removes a row, as the operator or a runner does.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let value = value.map(|text| base64(text.as_bytes()));
        let key = (table.to_owned(), key.to_owned());
        rows.rows.insert(key, StoredRow { value, version });
        changed.notify_all();
    }

    fn row_json(key: &(String, String), row: &StoredRow) -> String {
        let (table, key) = key;
        let version = row.version;
        match &row.value {
            Some(value) => format!(
                "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\
                 \"value\":\"{value}\",\"row_version\":{version}}}"
            ),
            None => format!(
                "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\
                 \"tombstone\":true,\"row_version\":{version}}}"
            ),
        }
    }

    fn page(&self, rows: &[String], version: u64) -> String {
        format!(
            "{{\"rows\":[{}],\"truncated\":false,\"row_version\":{version},\
             \"now_ms\":{}}}",
            rows.join(","),
            self.began.elapsed().as_millis() + 1_000
        )
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer) {
            let (status, body) = self.answer(&request);
            let headers = "Content-Type: application/json\r\n";
            let written =
                write_answer(&mut stream, status, headers, body.as_bytes());
            if written.is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &HttpRequest) -> (&'static str, String) {
        let (path, query) =
            request.target.split_once('?').unwrap_or((&request.target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, v)| percent_decode(v))
        };
        let table = parameter("table").unwrap_or_default();
        let (rows, changed) = &*self.rows;
        match path {
            "/-/rows-get" => {
                let from = parameter("from").unwrap_or_default();
                let rows = rows.lock().unwrap();
                let found = rows.rows.iter().filter(|(key, row)| {
                    key.0 == table && from <= key.1 && row.value.is_some()
                });
                let found: Vec<String> = found
                    .map(|(key, row)| Store::row_json(key, row))
                    .collect();
                ("200 OK", self.page(&found, rows.version))
            }
            "/-/rows-feed" => {
                let number = |name: &str| {
                    parameter(name).and_then(|text| text.parse().ok())
                };
                let after: u64 = number("after").unwrap_or(0);
                let wait: u64 = number("wait_ms").unwrap_or(0);
                let until = Instant::now() + ms(wait.min(30_000));
                let mut rows = rows.lock().unwrap();
                loop {
                    let mut found: Vec<_> = rows
                        .rows
                        .iter()
                        .filter(|(key, row)| {
                            key.0 == table && after < row.version
                        })
                        .collect();
                    let now = Instant::now();
                    if !found.is_empty() || until <= now {
                        found.sort_by_key(|(_, row)| row.version);
                        let found: Vec<String> = found
                            .iter()
                            .map(|(key, row)| Store::row_json(key, row))
                            .collect();
                        return ("200 OK", self.page(&found, rows.version));
                    }
                    rows = changed.wait_timeout(rows, until - now).unwrap().0;
                }
            }
            "/-/rows-tx" => {
                let text = String::from_utf8_lossy(&request.body);
                let Some(body) = Json::parse(&text) else {
                    return ("400 Bad Request", "{}".to_owned());
                };
                let key = |row: &Json| {
                    let table = row.text("table").unwrap_or_default();
                    (table, row.text("key").unwrap_or_default())
                };
                let mut rows = rows.lock().unwrap();
                for row in body.list("expected") {
                    let expected = row.number("row_version").unwrap_or(0.0);
                    let current = rows.rows.get(&key(&row));
                    let current = current.filter(|row| row.value.is_some());
                    let current = current.map_or(0, |row| row.version);
                    if current != expected as u64 {
                        let page = self.page(&[], rows.version);
                        return ("412 Precondition Failed", page);
                    }
                }
                rows.version += 1;
                let version = rows.version;
                for row in body.list("puts") {
                    let value = row.text("value");
                    rows.rows.insert(key(&row), StoredRow { value, version });
                }
                for row in body.list("remove") {
                    let removed = StoredRow { value: None, version };
                    rows.rows.insert(key(&row), removed);
                }
                changed.notify_all();
                let now = self.began.elapsed().as_millis() + 1_000;
                let body =
                    format!("{{\"row_version\":{version},\"now_ms\":{now}}}");
                ("200 OK", body)
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }
}

// ---------------------------------------------------------------- runners

/// Longer than any script runs.
const NEVER: Duration = Duration::from_secs(1_000);

/// How a runner ends on a request whose prompt has the deadly part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DeadlyPart {
    pub id: &'static str,
    /// Time from the first event of the answer to the runner's end.
    pub after_ms: u64,
}

/// What all runners of a fleet share.
#[derive(Clone)]
pub struct FleetShape {
    pub model: &'static str,
    pub events: u64,
    pub event_ms: u64,
    /// Whether answers have chunks; otherwise they end with their connection.
    pub framed: bool,
    pub deadly: Option<DeadlyPart>,
}

/// What a runner noted of a request.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub runner: String,
    pub deadly: bool,
}

/// Notes of all runners.
#[derive(Clone, Default)]
pub struct RunnerNotes {
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub crashes: Arc<Mutex<Vec<(Instant, String)>>>,
    pub orders: Arc<Mutex<Vec<String>>>,
}

#[derive(Default)]
struct Engine {
    models: Vec<String>,
    seq: u64,
    /// Model on its way, and when it is there.
    loading: Option<(String, Instant)>,
}

/// One start of a runner: a listener and its connections.
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    pub born: u64,
    engine: Mutex<Engine>,
    streams: Mutex<Vec<TcpStream>>,
    ended: AtomicBool,
    shape: FleetShape,
    notes: RunnerNotes,
}

impl Runner {
    pub fn start(
        id: &str,
        loaded: bool,
        shape: &FleetShape,
        notes: &RunnerNotes,
    ) -> Arc<Runner> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let models =
            if loaded { vec![shape.model.to_owned()] } else { vec![] };
        let runner = Arc::new(Runner {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            born: epoch_ms(),
            engine: Mutex::new(Engine { models, ..Engine::default() }),
            streams: Mutex::default(),
            ended: AtomicBool::new(false),
            shape: shape.clone(),
            notes: notes.clone(),
        });
        let served = runner.clone();
        thread::spawn(move || {
            while !served.has_ended() {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        let held = stream.try_clone().unwrap();
                        served.streams.lock().unwrap().push(held);
                        let runner = served.clone();
                        thread::spawn(move || runner.serve(stream));
                    }
                    Err(_) => sleep_ms(2),
                }
            }
        });
        runner
    }

    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    /// Ends as a process does that is killed: the listener and all
    /// connections are closed at once.
    fn crash(&self) {
        if self.ended.swap(true, Ordering::SeqCst) {
            return;
        }
        let note = (Instant::now(), self.id.clone());
        self.notes.crashes.lock().unwrap().push(note);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// The runner's entry in the registry.
    pub fn entry(&self) -> String {
        let mut engine = self.engine.lock().unwrap();
        Runner::settle(&mut engine);
        let models = Runner::models_json(&engine);
        format!(
            "{{\"upstream\":\"expander\",\"address\":\"{}\",\"zone\":\"kgn\",\
             \"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\
             \"cold_remaining_ms\":0,\"phase\":\"both\",\"models\":{models},\
             \"seq\":{},\"born\":{}}}",
            self.address, engine.seq, self.born
        )
    }

    fn models_json(engine: &Engine) -> String {
        let models: Vec<String> = engine
            .models
            .iter()
            .map(|name| {
                format!(
                    "{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}"
                )
            })
            .collect();
        format!("[{}]", models.join(","))
    }

    fn settle(engine: &mut Engine) {
        if let Some((model, at)) = engine.loading.clone()
            && at <= Instant::now()
        {
            engine.models.push(model);
            engine.loading = None;
        }
    }

    fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer) {
            if self.has_ended() {
                return;
            }
            let done = match request.target.as_str() {
                "/-/report" => self.report(&mut stream),
                "/-/order" => self.order(&mut stream, &request),
                _ => self.run(&mut stream, &request),
            };
            if done.is_none() {
                return;
            }
        }
    }

    fn expects_other(&self, request: &HttpRequest) -> bool {
        let expected = request.header("x-expect-instance");
        expected.is_some_and(|id| id != self.id)
    }

    fn report(&self, stream: &mut TcpStream) -> Option<()> {
        let body = {
            let mut engine = self.engine.lock().unwrap();
            Runner::settle(&mut engine);
            format!(
                "{{\"phase\":\"both\",\"models\":{},\"busy\":{},\"seq\":{},\
                 \"queued\":0,\"active\":0,\"kv_used\":0,\"kv_total\":144781,\
                 \"handles\":0,\"born\":{}}}",
                Runner::models_json(&engine),
                engine.loading.is_some(),
                engine.seq,
                self.born
            )
        };
        write_answer(stream, "200 OK", "", body.as_bytes()).ok()
    }

    fn order(
        &self,
        stream: &mut TcpStream,
        order: &HttpRequest,
    ) -> Option<()> {
        if self.expects_other(order) {
            return write_answer(stream, "421 Misdirected Request", "", b"")
                .ok();
        }
        let body = String::from_utf8_lossy(&order.body).into_owned();
        let json = Json::parse(&body)?;
        let note = format!("{} {body}", self.id);
        self.notes.orders.lock().unwrap().push(note);
        let model = json.text("model")?;
        let status = {
            let mut engine = self.engine.lock().unwrap();
            Runner::settle(&mut engine);
            let expected = json.number("expected");
            let differs = expected.is_some_and(|n| n as u64 != engine.seq);
            let holds = engine.models.contains(&model);
            let loads = json.text("operation")? == "load";
            if engine.loading.is_some() || differs {
                "409 Conflict"
            } else if loads == holds {
                "200 OK"
            } else {
                engine.seq += 1;
                if loads {
                    let at = Instant::now() + ms(1_200);
                    engine.loading = Some((model, at));
                } else {
                    engine.models.retain(|name| *name != model);
                }
                "202 Accepted"
            }
        };
        write_answer(stream, status, "", b"").ok()
    }

    fn run(
        &self,
        stream: &mut TcpStream,
        request: &HttpRequest,
    ) -> Option<()> {
        let id = request.header("x-request-id")?.to_owned();
        let named = format!("X-Request-Id: {id}\r\n");
        if self.expects_other(request) {
            let status = "421 Misdirected Request";
            return write_answer(stream, status, &named, b"").ok();
        }
        let prompt = request.header("x-prompt-prefix").unwrap_or("");
        let has_part = |part: &str| {
            prompt.split(',').any(|pair| pair.split(':').next() == Some(part))
        };
        let deadly = self.shape.deadly.filter(|part| has_part(part.id));
        self.notes.arrivals.lock().unwrap().push(Arrival {
            at: Instant::now(),
            id: id.clone(),
            runner: self.id.clone(),
            deadly: deadly.is_some(),
        });
        let held = {
            let mut engine = self.engine.lock().unwrap();
            Runner::settle(&mut engine);
            let model = request.header("x-model").unwrap_or("");
            engine.models.iter().any(|name| name == model)
        };
        if !held {
            let status = "421 Misdirected Request";
            return write_answer(stream, status, &named, b"").ok();
        }
        let framing = if self.shape.framed {
            "Transfer-Encoding: chunked\r\n"
        } else {
            "Connection: close\r\n"
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{framing}\
             {named}X-Response-Signature: s.{id}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).ok()?;
        for number in 1..=self.shape.events {
            let event = format!("id: {number}\ndata: text\n\n");
            let bytes = if self.shape.framed {
                format!("{:x}\r\n{event}\r\n", event.len())
            } else {
                event
            };
            stream.write_all(bytes.as_bytes()).ok()?;
            if let Some(part) = deadly {
                sleep_ms(part.after_ms);
                self.crash();
                return None;
            }
            sleep_ms(self.shape.event_ms);
            if self.has_ended() {
                return None;
            }
        }
        if self.shape.framed {
            return stream.write_all(b"0\r\n\r\n").ok();
        }
        let _ = stream.shutdown(Shutdown::Both);
        None
    }
}

/// The runners of a service. One that ended comes back, empty, as another
/// start at another address.
#[derive(Clone)]
pub struct RunnerFleet {
    pub notes: RunnerNotes,
    runners: Arc<Mutex<Vec<Arc<Runner>>>>,
}

impl RunnerFleet {
    pub fn start(
        store: &Store,
        count: usize,
        shape: &FleetShape,
        down_ms: u64,
    ) -> RunnerFleet {
        let notes = RunnerNotes::default();
        let number = Arc::new(AtomicU64::new(0));
        let next_id = {
            let number = number.clone();
            move || {
                format!(
                    "i-{:04x}",
                    number.fetch_add(1, Ordering::SeqCst) + 0x7f00
                )
            }
        };
        let runners: Vec<Arc<Runner>> = (0..count)
            .map(|_| Runner::start(&next_id(), true, shape, &notes))
            .collect();
        let runners = Arc::new(Mutex::new(runners));
        let fleet =
            RunnerFleet { notes: notes.clone(), runners: runners.clone() };
        for runner in runners.lock().unwrap().iter() {
            store.put("servers", &runner.id, Some(&runner.entry()));
        }
        let (store, shape) = (store.clone(), shape.clone());
        thread::spawn(move || {
            let mut beats: BTreeMap<String, Instant> = BTreeMap::new();
            let mut down: Vec<(Instant, Instant, String)> = Vec::new();
            loop {
                let now = Instant::now();
                let mut runners = runners.lock().unwrap();
                runners.retain(|runner| {
                    if runner.has_ended() {
                        let lapse = now + ms(3_600);
                        let back = now + ms(down_ms);
                        down.push((back, lapse, runner.id.clone()));
                    }
                    !runner.has_ended()
                });
                down.retain_mut(|(back, lapse, former)| {
                    if *lapse <= now {
                        store.put("servers", former, None);
                        *lapse = now + NEVER;
                    }
                    if *back <= now {
                        *back = now + NEVER;
                        let id = next_id();
                        runners
                            .push(Runner::start(&id, false, &shape, &notes));
                    }
                    *back < now + NEVER / 2 || *lapse < now + NEVER / 2
                });
                for runner in runners.iter() {
                    let due =
                        beats.get(&runner.id).is_none_or(|at| *at <= now);
                    if due {
                        store.put(
                            "servers",
                            &runner.id,
                            Some(&runner.entry()),
                        );
                        beats.insert(runner.id.clone(), now + ms(1_200));
                    }
                }
                drop(runners);
                sleep_ms(20);
            }
        });
        fleet
    }
}

// ------------------------------------------------------------------ proxy

/// A proxy between a host and the store. Connections that are open may go
/// silent for good, without a reset, while new ones work.
#[derive(Clone)]
pub struct SilentProxy {
    pub address: String,
    /// Number of the next connection, and the first one that works.
    numbers: Arc<Mutex<(u64, u64)>>,
    /// First lines of the calls that were passed on, with their times.
    pub calls: Arc<Mutex<Vec<(Instant, u64, String)>>>,
}

impl SilentProxy {
    pub fn start(target: &str) -> SilentProxy {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let proxy = SilentProxy {
            address,
            numbers: Arc::default(),
            calls: Arc::default(),
        };
        let (served, target) = (proxy.clone(), target.to_owned());
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(&target) else { continue };
                let _ = client.set_nodelay(true);
                let _ = server.set_nodelay(true);
                let number = {
                    let mut numbers = served.numbers.lock().unwrap();
                    numbers.0 += 1;
                    numbers.0 - 1
                };
                let pairs = [
                    (client.try_clone().unwrap(), server.try_clone().unwrap()),
                    (server, client),
                ];
                for (index, (from, to)) in pairs.into_iter().enumerate() {
                    let proxy = served.clone();
                    let notes_calls = index == 0;
                    thread::spawn(move || {
                        proxy.pass_on(from, to, number, notes_calls);
                    });
                }
            }
        });
        proxy
    }

    /// Makes all connections silent that are open now.
    pub fn silence(&self) -> u64 {
        let mut numbers = self.numbers.lock().unwrap();
        let open = numbers.0 - numbers.1;
        numbers.1 = numbers.0;
        open
    }

    fn pass_on(
        &self,
        mut from: TcpStream,
        mut to: TcpStream,
        number: u64,
        notes_calls: bool,
    ) {
        let mut bytes = [0; 65_536];
        let _ = from.set_read_timeout(Some(ms(20)));
        loop {
            let read = from.read(&mut bytes);
            if number < self.numbers.lock().unwrap().1 {
                // Silent: nothing is passed on and nothing is closed.
                loop {
                    thread::sleep(Duration::from_secs(3_600));
                }
            }
            match read {
                Ok(0) => break,
                Ok(count) => {
                    if notes_calls {
                        let text = String::from_utf8_lossy(&bytes[..count]);
                        let line =
                            text.lines().next().unwrap_or("").to_owned();
                        let note = (Instant::now(), number, line);
                        self.calls.lock().unwrap().push(note);
                    }
                    if to.write_all(&bytes[..count]).is_err() {
                        break;
                    }
                }
                Err(error)
                    if matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock
                            | std::io::ErrorKind::TimedOut
                    ) => {}
                Err(_) => break,
            }
        }
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }
}

// ------------------------------------------------------------------ hosts

/// One of the project's hosts, as a process.
pub struct Host {
    pub front: String,
    pub ready: String,
    pub name: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Host {
    pub fn start(
        program: &str,
        name: &str,
        folder: &Path,
        store: &str,
    ) -> Host {
        let (front, ready, control, peers) =
            (free_port(), free_port(), free_port(), free_port());
        let text = format!(
            "node = \"{name}\"\nrole = \"host\"\nmachine_class = \"front\"\n\
             serves = [\"front\", \"control\"]\nip = \"127.0.0.1\"\n\
             zone = \"kgn\"\nregion = \"jm-south\"\n\
             port_range = [{peers}, {peers}]\nseeds = []\nbootstrap = true\n\
             heartbeat_ms = 1200\n[zones]\nkgn = \"jm-south\"\n[listen]\n\
             front = \"127.0.0.1:{front}\"\nready = \"127.0.0.1:{ready}\"\n\
             control = \"127.0.0.1:{control}\"\n[bounds]\nseed_lag_s = 3\n\
             reuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\n\
             drain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n\
             config_ms = 2000\ndowngrade_ms = 250\nouter_ms = 5000\n\
             retry_budget = 0.2\nbudget_window_s = 10\nretry_slack = 56\n\
             quota_window_s = 8\nquota_overshoot = 0.1\nquota_slack = 7400\n\
             recovery_s = 12\nenforce_fencing = false\nlease_ms = 3000\n\
             thaw_ms = 300\nceiling_window_s = 5\nceiling_overshoot = 1.1\n\
             [platform]\naddress = \"{store}\"\nform = \"table\"\n\
             writes_per_s = 400\nreads_per_s = 2000\n"
        );
        let settings = folder.join(format!("{name}.toml"));
        let log = folder.join(format!("{name}.log"));
        fs::write(&settings, text).unwrap();
        let mut host = Host {
            front: format!("127.0.0.1:{front}"),
            ready: format!("127.0.0.1:{ready}"),
            name: name.to_owned(),
            settings,
            log,
            child: None,
        };
        host.launch(program);
        host
    }

    pub fn launch(&mut self, program: &str) {
        let log =
            fs::File::options().create(true).append(true).open(&self.log);
        let child = Command::new(program)
            .env("CELERYLEAD_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.unwrap())
            .stderr(Stdio::null())
            .spawn();
        self.child = Some(child.unwrap());
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// What the host has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Whether the host says that it is ready.
    pub fn is_ready(&self) -> bool {
        let head = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";
        let Ok(mut stream) = TcpStream::connect(&self.ready) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(ms(1_000)));
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        let mut buffer = Vec::new();
        let _ = read_head(&mut stream, &mut buffer);
        buffer.starts_with(b"HTTP/1.1 200")
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---------------------------------------------------------------- clients

/// What a client saw of one request.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: Instant,
    pub id: String,
    pub deadly: bool,
    /// Status; 0 without an answer.
    pub status: u16,
    /// Whether the answer ended as the protocol says.
    pub complete: bool,
    pub events: usize,
    pub took_ms: u64,
}

/// Sends one request on a connection of its own and reads the answer.
pub fn send(
    front: &str,
    path: &str,
    id: &str,
    headers: &str,
    body: &str,
    deadline: Duration,
) -> (u16, bool, String) {
    let nothing = (0, false, String::new());
    let Ok(address) = front.parse::<SocketAddr>() else { return nothing };
    let Ok(mut stream) = TcpStream::connect_timeout(&address, ms(1_000))
    else {
        return nothing;
    };
    let until = Instant::now() + deadline + ms(300);
    let _ = stream.set_nodelay(true);
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: ficu.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        deadline.as_millis(),
        body.len()
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return nothing;
    }
    read_answer(&mut stream, until)
}

/// Reads an answer with a length or in chunks.
pub fn read_answer(
    stream: &mut TcpStream,
    until: Instant,
) -> (u16, bool, String) {
    let mut buffer = Vec::new();
    let mut more = |buffer: &mut Vec<u8>| {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return false;
        }
        let _ = stream.set_read_timeout(Some(left));
        read_some(stream, buffer).is_some_and(|count| 0 < count)
    };
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|b| b == b"\r\n\r\n") {
            break end;
        }
        if !more(&mut buffer) {
            return (0, false, String::new());
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status: u16 = status.unwrap_or(0);
    let headers = parse_headers(head.split("\r\n").skip(1));
    let header = |name: &str| {
        headers.iter().find(|(key, _)| key == name).map(|(_, v)| v.clone())
    };
    if let Some(length) = header("content-length") {
        let length: usize = length.parse().unwrap_or(0);
        while buffer.len() < length {
            if !more(&mut buffer) {
                let text = String::from_utf8_lossy(&buffer).into_owned();
                return (status, false, text);
            }
        }
        return (status, true, String::from_utf8_lossy(&buffer).into_owned());
    }
    let mut body = Vec::new();
    loop {
        if let Some(end) = buffer.windows(2).position(|b| b == b"\r\n") {
            let size = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
            if end + 2 + size + 2 <= buffer.len() {
                body.extend_from_slice(&buffer[end + 2..end + 2 + size]);
                buffer.drain(..end + 2 + size + 2);
                if size == 0 {
                    return (
                        status,
                        true,
                        String::from_utf8_lossy(&body).into_owned(),
                    );
                }
                continue;
            }
        }
        if !more(&mut buffer) {
            return (
                status,
                false,
                String::from_utf8_lossy(&body).into_owned(),
            );
        }
    }
}
