//! Stand-in of a runner of the platform that writes HTTP as raw bytes.
//!
//! An HTTP library would prevent the faults that break the protocol. This
//! runner simulates the fault that a test sets, and records the calls that it
//! ran and the orders that it received.

use std::time::Duration;

use serde::Deserialize;
use serde_json::json;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::Instant,
};

use crate::serve::StateHandle;

/// Time between two events of a stream, and between two header lines of
/// [`RunnerFault::SlowHead`].
const EVENT_INTERVAL: Duration = Duration::from_millis(15);
/// Time between two events of a stream during [`RunnerFault::Slow`].
const SLOW_EVENT_INTERVAL: Duration = Duration::from_millis(120);
/// Time between two events of a stream during [`RunnerFault::VerySlow`].
const VERY_SLOW_EVENT_INTERVAL: Duration = Duration::from_millis(900);
/// Time from the last byte of an answer without a length to its end.
const UNFRAMED_PAUSE: Duration = Duration::from_millis(200);
/// Number of events of a stream.
const STREAM_EVENT_COUNT: u32 = 4;
/// Header line that is repeated in a head without end.
const HEAD_LINE: &[u8] = b"x-more: and more\r\n";
/// Header lines per write of [`RunnerFault::EndlessHead`]. Single lines would
/// let a short deadline pass before the head reaches the client's size limit.
const HEAD_LINES_PER_WRITE: usize = 1_024;
/// Time from the head of an answer to the crash that a deadly part causes.
const CRASH_DELAY: Duration = Duration::from_millis(50);
/// Time between two checks of whether [`RunnerFault::LateOrders`] is over.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Name of the model that is resident at the start.
const INITIAL_MODEL: &str = "bend";

/// Fault that the runner simulates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RunnerFault {
    /// Behaves correctly.
    #[default]
    None,
    /// Rejects calls with 503 and an `x-not-executed` header, which proves
    /// that the call didn't run.
    Shed,
    /// Rejects calls with 421, as if they were meant for another runner.
    Misdirected,
    /// Runs the call, then closes the connection without an answer.
    CloseAfterRun,
    /// Runs the call and never answers.
    Unanswered,
    /// Runs the call and closes the connection in the middle of the answer's
    /// body.
    TruncatedBody,
    /// Runs the call, stops in the middle of its answer's head and closes the
    /// connection.
    TruncatedHead,
    /// Runs the call and answers with neither a length nor chunks; the
    /// connection ends with the answer.
    Unframed,
    /// The same, but a stream ends inside an event.
    UnframedCut,
    /// The same, but a stream ends before its first event.
    UnframedEmpty,
    /// The same as [`RunnerFault::Unframed`], but the connection is reset in
    /// the middle of the body.
    UnframedReset,
    /// A stream in chunks ends in its framing, but inside an event.
    ChunkedCut,
    /// Sends a second, unrequested answer right after the first. Streams are
    /// unaffected.
    ExtraAnswer,
    /// Runs the call and answers with the id of another request. Streams are
    /// unaffected.
    OtherId,
    /// Runs the call and answers a success without `x-response-signature`.
    /// Streams are unaffected.
    Unsigned,
    /// Runs the call and answers 503 without `x-not-executed`, so that the
    /// answer doesn't prove that the call didn't run.
    UnmarkedRejection,
    /// Runs the call and answers 500.
    Failure,
    /// Takes a long time between two events of a stream.
    Slow,
    /// Takes so long between two events that the stream outlasts the time in
    /// which a leaving host still accepts calls.
    VerySlow,
    /// Receives orders, but never answers them or carries them out.
    UnansweredOrders,
    /// Runs the call and sends header lines until the caller closes.
    EndlessHead,
    /// Runs the call and sends header lines, one at a time with a pause after
    /// each, until the caller closes.
    SlowHead,
    /// Runs the call and sends a body until the caller closes.
    EndlessBody,
    /// Never answers orders, and carries them out once the fault is over.
    LateOrders,
    /// Rejects the first call of a connection like [`RunnerFault::Shed`] but
    /// without its id. Runs the later ones, and answers each with the same
    /// rejection once more.
    RepeatedRejection,
}

/// A request as the runner received it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordedRequest {
    /// Request line, with method, target and protocol version.
    pub line: String,
    /// Header names, in lower case, and values, in the order received.
    pub headers: Vec<(String, String)>,
    /// Request body.
    pub body: Vec<u8>,
}

impl RecordedRequest {
    /// Returns whether a part, named in hexadecimal, is in the prompt.
    pub fn has_part(&self, part: &str) -> bool {
        let prompt = self.header("x-prompt-prefix").unwrap_or("");
        let mut pairs = prompt.split(',');
        pairs.any(|pair| pair.split(':').next() == Some(part))
    }

    /// Returns the value of the first header that has this name, which must be
    /// in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(header, _)| header == name)?;
        Some(&found.1)
    }
}

#[derive(Debug)]
struct RunnerState {
    fault: RunnerFault,
    /// Header lines that every answer to a call carries besides its own.
    extra_headers: &'static str,
    /// Part of prompts, in hexadecimal, on which the runner crashes as soon as
    /// it begins an answer.
    deadly_part: Option<&'static str>,
    /// Connections on which calls were received.
    connections: u32,
    /// Calls received, run or not.
    calls: Vec<RecordedRequest>,
    /// Time at which each of `calls` was received.
    call_times: Vec<Instant>,
    /// Calls that ran.
    runs: Vec<RecordedRequest>,
    /// Calls that crashed the runner, with the times at which they began.
    deadly_runs: Vec<(RecordedRequest, Instant)>,
    /// Orders received, accepted or not.
    orders: Vec<RecordedRequest>,
    /// Time at which each of `orders` was received.
    order_times: Vec<Instant>,
    /// Number of orders accepted; a new order must name it as `expected`.
    accepted_orders: u64,
    /// Resident models.
    models: Vec<String>,
    /// Times at which loads of models began.
    load_times: Vec<Instant>,
    /// Resident adapters, all of the initial model.
    adapters: Vec<String>,
    /// Adapters of the calls in flight, one entry per call.
    adapters_in_use: Vec<String>,
    /// Adapter that is unloaded once no call uses it. No order is accepted
    /// until then.
    draining_adapter: Option<String>,
    /// Unloads that had to wait for calls in flight.
    delayed_unloads: u32,
    /// Calls that were still running when their caller went away, and streams
    /// that [`RunnerFault::TruncatedBody`] cut.
    abandoned_calls: u32,
}

impl Default for RunnerState {
    fn default() -> Self {
        RunnerState {
            fault: RunnerFault::None,
            extra_headers: "",
            deadly_part: None,
            connections: 0,
            calls: Vec::new(),
            call_times: Vec::new(),
            runs: Vec::new(),
            deadly_runs: Vec::new(),
            orders: Vec::new(),
            order_times: Vec::new(),
            accepted_orders: 0,
            models: vec![INITIAL_MODEL.to_owned()],
            load_times: Vec::new(),
            adapters: Vec::new(),
            adapters_in_use: Vec::new(),
            draining_adapter: None,
            delayed_unloads: 0,
            abandoned_calls: 0,
        }
    }
}

/// The fields of an order that the runner acts on.
#[derive(Deserialize)]
struct Order {
    operation: String,
    model: String,
    adapter: Option<String>,
    /// Number of orders that the runner must have accepted before this one.
    expected: u64,
}

impl RunnerState {
    /// Accepts or rejects an order and returns the status code and reason
    /// phrase of the answer. An accepted order takes effect at once, except
    /// the unload of an adapter in use.
    fn apply_order(&mut self, order: Order) -> &'static str {
        if order.expected != self.accepted_orders
            || self.draining_adapter.is_some()
        {
            return "409 Conflict";
        }
        self.accepted_orders += 1;
        let Some(adapter) = order.adapter else {
            self.models.retain(|name| *name != order.model);
            if order.operation == "load" {
                self.models.push(order.model);
                self.load_times.push(Instant::now());
            }
            return "202 Accepted";
        };
        if order.operation == "unload"
            && self.adapters_in_use.contains(&adapter)
        {
            self.draining_adapter = Some(adapter);
            self.delayed_unloads += 1;
            return "202 Accepted";
        }
        self.adapters.retain(|name| *name != adapter);
        if order.operation == "load" {
            self.adapters.push(adapter);
            return "202 Accepted";
        }
        "200 OK"
    }

    /// Begins a call and returns true. Returns false if the model or the
    /// adapter that the call names isn't resident, or the adapter is draining.
    fn begin_call(
        &mut self,
        model: Option<&str>,
        adapter: Option<&str>,
    ) -> bool {
        let model = model.map(|name| name.split('/').next().unwrap_or(name));
        if model.is_some_and(|name| !self.models.iter().any(|m| m == name)) {
            return false;
        }
        let Some(adapter) = adapter else { return true };
        let resident = self.adapters.iter().any(|name| name == adapter);
        if resident && self.draining_adapter.as_deref() != Some(adapter) {
            self.adapters_in_use.push(adapter.to_owned());
            return true;
        }
        false
    }

    /// Ends a call. Unloads the draining adapter if no call uses it any more.
    fn end_call(&mut self, adapter: Option<&str>) {
        let position = self
            .adapters_in_use
            .iter()
            .position(|a| Some(a.as_str()) == adapter);
        if let Some(position) = position {
            self.adapters_in_use.remove(position);
        }
        if let Some(draining) = &self.draining_adapter
            && !self.adapters_in_use.contains(draining)
        {
            self.adapters.retain(|name| name != draining);
            self.draining_adapter = None;
        }
    }

    /// Returns the JSON body of the runner's report.
    fn report(&self) -> String {
        let models = self.models.iter().map(|name| {
            let adapters =
                if name == INITIAL_MODEL { &self.adapters[..] } else { &[] };
            json!({"name": name, "version": 1, "adapters": adapters})
        });
        let models: Vec<_> = models.collect();
        let busy = self.draining_adapter.is_some();
        json!({"models": models, "busy": busy, "seq": self.accepted_orders})
            .to_string()
    }
}

/// Handle to a running runner.
#[derive(Clone)]
pub struct RawRunner {
    /// Address that it listens on, as `IP:PORT`.
    pub address: String,
    state: StateHandle<RunnerState>,
    /// Whether the runner has crashed.
    crashed: watch::Sender<bool>,
}

impl RawRunner {
    /// Starts a runner on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start() -> anyhow::Result<RawRunner> {
        RawRunner::start_at("127.0.0.1:0").await
    }

    /// Starts a runner at an address, such as that of one that has crashed.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is in use.
    pub async fn start_at(address: &str) -> anyhow::Result<RawRunner> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?.to_string();
        let state = StateHandle::start(RunnerState::default());
        let (crashed, crash) = watch::channel(false);
        let runner = RawRunner { address, state, crashed };
        tokio::spawn(accept(listener, runner.clone(), crash));
        Ok(runner)
    }

    /// Ends the runner for good: closes its listener and all its connections.
    pub fn crash(&self) {
        self.crashed.send_replace(true);
    }

    /// Returns whether the runner has crashed.
    pub fn has_crashed(&self) -> bool {
        *self.crashed.borrow()
    }

    /// Sets a part of prompts, in hexadecimal, on which the runner crashes as
    /// soon as it begins an answer.
    pub async fn set_deadly_part(&self, part: Option<&'static str>) {
        self.state.with(move |state| state.deadly_part = part).await;
    }

    /// Sets the fault that the runner simulates from now on.
    pub async fn set_fault(&self, fault: RunnerFault) {
        self.state.with(move |state| state.fault = fault).await;
    }

    /// Sets header lines, each with its line end, that every answer to a call
    /// carries from now on besides its own.
    pub async fn set_extra_headers(&self, lines: &'static str) {
        self.state.with(move |state| state.extra_headers = lines).await;
    }

    /// Returns the number of connections on which the runner received calls.
    pub async fn connections(&self) -> u32 {
        self.state.with(|state| state.connections).await
    }

    /// Returns the calls that the runner received, run or not.
    pub async fn calls(&self) -> Vec<RecordedRequest> {
        self.state.with(|state| state.calls.clone()).await
    }

    /// Returns the times at which the calls of [`calls`](Self::calls) were
    /// received.
    pub async fn call_times(&self) -> Vec<Instant> {
        self.state.with(|state| state.call_times.clone()).await
    }

    /// Returns the largest number of calls that the runner received within a
    /// second, run or not.
    pub async fn busiest_second(&self) -> usize {
        let times = self.call_times().await;
        let counts = times.iter().enumerate().map(|(first, begin)| {
            let end = *begin + Duration::from_secs(1);
            times[first..].partition_point(|at| *at < end)
        });
        counts.max().unwrap_or(0)
    }

    /// Returns the calls that the runner ran.
    pub async fn runs(&self) -> Vec<RecordedRequest> {
        self.state.with(|state| state.runs.clone()).await
    }

    /// Returns the times at which the runner began calls that crashed it, with
    /// this part in their prompts.
    pub async fn run_times(&self, part: &'static str) -> Vec<Instant> {
        let state = &self.state;
        state
            .with(move |state| {
                let runs = state.deadly_runs.iter();
                let runs = runs.filter(|(run, _)| run.has_part(part));
                runs.map(|(_, at)| *at).collect()
            })
            .await
    }

    /// Returns the orders that the runner received, accepted or not.
    pub async fn orders(&self) -> Vec<RecordedRequest> {
        self.state.with(|state| state.orders.clone()).await
    }

    /// Returns the time at which each of the orders was received, in the order
    /// of [`RawRunner::orders`].
    pub async fn order_times(&self) -> Vec<Instant> {
        self.state.with(|state| state.order_times.clone()).await
    }

    /// Returns the times at which loads of models began.
    pub async fn load_times(&self) -> Vec<Instant> {
        self.state.with(|state| state.load_times.clone()).await
    }

    /// Returns the number of adapter unloads that had to wait for calls in
    /// flight.
    pub async fn delayed_unloads(&self) -> u32 {
        self.state.with(|state| state.delayed_unloads).await
    }

    /// Returns the number of calls whose caller went away before the end of
    /// the answer. Streams that [`RunnerFault::TruncatedBody`] cuts count too.
    pub async fn abandoned_calls(&self) -> u32 {
        self.state.with(|state| state.abandoned_calls).await
    }
}

/// Accepts connections until the runner crashes.
async fn accept(
    listener: TcpListener,
    runner: RawRunner,
    mut crash: watch::Receiver<bool>,
) {
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = crash.wait_for(|crashed| *crashed) => return,
        };
        let Ok((stream, _)) = stream else { return };
        let (runner, mut crash) = (runner.clone(), crash.clone());
        tokio::spawn(async move {
            tokio::select! {
                _ = serve_connection(stream, &runner) => {}
                _ = crash.wait_for(|crashed| *crashed) => {}
            }
        });
    }
}

/// Answers the requests of a connection, one after another.
async fn serve_connection(
    mut stream: TcpStream,
    runner: &RawRunner,
) -> anyhow::Result<()> {
    let state = &runner.state;
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    let mut has_rejected = false;
    let mut has_called = false;
    while let Some(request) = read_request(&mut stream, &mut buffer).await? {
        let fault = state.with(|state| state.fault).await;
        if request.line.starts_with("POST /-/order") {
            let recorded = request.clone();
            state
                .with(move |state| {
                    state.orders.push(recorded);
                    state.order_times.push(Instant::now());
                })
                .await;
            if fault == RunnerFault::UnansweredOrders {
                std::future::pending::<()>().await;
            }
            let order: Order = serde_json::from_slice(&request.body)?;
            if fault == RunnerFault::LateOrders {
                tokio::spawn(apply_order_late(state.clone(), order));
                return std::future::pending().await;
            }
            let status =
                state.with(move |state| state.apply_order(order)).await;
            write_response(&mut stream, status, "", b"").await?;
            continue;
        }
        if request.line.starts_with("GET /-/report") {
            let body = state.with(|state| state.report()).await;
            write_response(&mut stream, "200 OK", "", body.as_bytes()).await?;
            continue;
        }
        let recorded = request.clone();
        let is_first = !std::mem::replace(&mut has_called, true);
        state
            .with(move |state| {
                state.connections += u32::from(is_first);
                state.calls.push(recorded);
                state.call_times.push(Instant::now());
            })
            .await;
        if fault == RunnerFault::RepeatedRejection {
            if has_rejected {
                state.with(move |state| state.runs.push(request)).await;
            }
            has_rejected = true;
            let status = "503 Service Unavailable";
            let headers = "x-not-executed: 1\r\n";
            write_response(&mut stream, status, headers, b"").await?;
            continue;
        }
        let deadly_part = state.with(|state| state.deadly_part).await;
        if deadly_part.is_some_and(|part| request.has_part(part)) {
            return answer_and_crash(&mut stream, runner, request).await;
        }
        answer(&mut stream, state, request, fault).await?;
    }
    Ok(())
}

/// Writes the head of an answer and ends the runner.
async fn answer_and_crash(
    stream: &mut TcpStream,
    runner: &RawRunner,
    request: RecordedRequest,
) -> anyhow::Result<()> {
    let id = request.header("x-request-id").unwrap_or("").to_owned();
    let run = (request, Instant::now());
    runner.state.with(move |state| state.deadly_runs.push(run)).await;
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\nx-request-id: {id}\r\n\
         x-response-signature: s\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    tokio::time::sleep(CRASH_DELAY).await;
    runner.crash();
    Ok(())
}

/// Carries an order out once [`RunnerFault::LateOrders`] is over.
async fn apply_order_late(state: StateHandle<RunnerState>, order: Order) {
    while state.with(|state| state.fault).await == RunnerFault::LateOrders {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    state.with(move |state| state.apply_order(order)).await;
}

/// Answers a call as the fault requires. An error closes the connection.
async fn answer(
    stream: &mut TcpStream,
    state: &StateHandle<RunnerState>,
    request: RecordedRequest,
    fault: RunnerFault,
) -> anyhow::Result<()> {
    let id = request.header("x-request-id").unwrap_or("").to_owned();
    let extra_headers = state.with(|state| state.extra_headers).await;
    let signature_headers = format!(
        "x-request-id: {id}\r\nx-response-signature: s\r\n{extra_headers}"
    );
    match fault {
        RunnerFault::Shed => {
            let shed_headers =
                format!("{signature_headers}x-not-executed: 1\r\n");
            let status = "503 Service Unavailable";
            return write_response(stream, status, &shed_headers, b"").await;
        }
        RunnerFault::Misdirected => {
            let status = "421 Misdirected Request";
            return write_response(stream, status, &signature_headers, b"")
                .await;
        }
        _ => {}
    }
    let model = request.header("x-model").map(str::to_owned);
    let adapter = model.as_ref().and_then(|model| model.split_once('/'));
    let adapter = adapter.map(|(_, adapter)| adapter.to_owned());
    let requested = (model.clone(), adapter.clone());
    let begin = move |state: &mut RunnerState| {
        state.begin_call(requested.0.as_deref(), requested.1.as_deref())
    };
    if !state.with(begin).await {
        let status = "421 Misdirected Request";
        return write_response(stream, status, &signature_headers, b"").await;
    }
    state.with(move |state| state.runs.push(request)).await;
    let result = run_call(
        stream,
        &id,
        &signature_headers,
        model.is_some(),
        fault,
        state,
    )
    .await;
    state.with(move |state| state.end_call(adapter.as_deref())).await;
    result
}

/// Runs a call and writes its answer as the fault requires.
async fn run_call(
    stream: &mut TcpStream,
    id: &str,
    signature_headers: &str,
    is_stream: bool,
    fault: RunnerFault,
    state: &StateHandle<RunnerState>,
) -> anyhow::Result<()> {
    match fault {
        RunnerFault::CloseAfterRun => {
            anyhow::bail!("simulated close before the answer")
        }
        RunnerFault::Unanswered => std::future::pending().await,
        RunnerFault::EndlessHead => {
            let lines = HEAD_LINE.repeat(HEAD_LINES_PER_WRITE);
            let result =
                write_endless(stream, "", &lines, Duration::ZERO).await;
            state.with(|state| state.abandoned_calls += 1).await;
            return result;
        }
        RunnerFault::SlowHead => {
            let result =
                write_endless(stream, "", HEAD_LINE, EVENT_INTERVAL).await;
            state.with(|state| state.abandoned_calls += 1).await;
            return result;
        }
        RunnerFault::EndlessBody => {
            let start = format!("{signature_headers}\r\n");
            let bytes = [b'x'; 1_024];
            let result =
                write_endless(stream, &start, &bytes, Duration::ZERO).await;
            state.with(|state| state.abandoned_calls += 1).await;
            return result;
        }
        RunnerFault::UnmarkedRejection => {
            let status = "503 Service Unavailable";
            return write_response(stream, status, signature_headers, b"")
                .await;
        }
        RunnerFault::Failure => {
            let status = "500 Internal Server Error";
            return write_response(
                stream,
                status,
                signature_headers,
                b"failed",
            )
            .await;
        }
        RunnerFault::TruncatedHead => {
            let head = "HTTP/1.1 200 OK\r\ncontent-length: 13\r\n";
            let text = format!("{head}{signature_headers}x-mo");
            stream.write_all(text.as_bytes()).await?;
            anyhow::bail!("simulated cut in the head");
        }
        RunnerFault::Unframed
        | RunnerFault::UnframedCut
        | RunnerFault::UnframedEmpty
        | RunnerFault::UnframedReset => {
            return write_unframed(
                stream,
                signature_headers,
                is_stream,
                fault,
            )
            .await;
        }
        RunnerFault::TruncatedBody if !is_stream => {
            let head = "HTTP/1.1 200 OK\r\ncontent-length: 90\r\n";
            let text = format!("{head}{signature_headers}\r\nhalf");
            stream.write_all(text.as_bytes()).await?;
            anyhow::bail!("simulated cut in the body");
        }
        _ => {}
    }
    if is_stream {
        let result = write_stream(stream, signature_headers, fault).await;
        if result.is_err() {
            state.with(|state| state.abandoned_calls += 1).await;
        }
        return result;
    }
    let headers = match fault {
        RunnerFault::OtherId => {
            "x-request-id: other\r\nx-response-signature: s\r\n".to_owned()
        }
        RunnerFault::Unsigned => format!("x-request-id: {id}\r\n"),
        _ => signature_headers.to_owned(),
    };
    write_response(stream, "200 OK", &headers, b"{\"done\":true}").await?;
    if fault == RunnerFault::ExtraAnswer {
        let extra = "x-request-id: extra\r\nx-response-signature: s\r\n";
        write_response(stream, "200 OK", extra, b"extra").await?;
    }
    Ok(())
}

/// Writes an answer with a body of known length. `headers` holds complete
/// header lines.
async fn write_response(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &[u8],
) -> anyhow::Result<()> {
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\
         keep-alive: timeout=5\r\n{headers}\r\n"
    );
    stream.write_all(&[head.as_bytes(), body].concat()).await?;
    Ok(())
}

/// Writes a status line, `start` and then `bytes` over and over, with a pause
/// after each write. Returns only if a write fails.
async fn write_endless(
    stream: &mut TcpStream,
    start: &str,
    bytes: &[u8],
    pause: Duration,
) -> anyhow::Result<()> {
    let head = format!("HTTP/1.1 200 OK\r\n{start}");
    stream.write_all(head.as_bytes()).await?;
    loop {
        stream.write_all(bytes).await?;
        // Without a pause, yields so that the test's other tasks run too.
        if pause.is_zero() {
            tokio::task::yield_now().await;
        } else {
            tokio::time::sleep(pause).await;
        }
    }
}

/// Writes an answer with neither a length nor chunks. Always returns an error,
/// which closes the connection.
async fn write_unframed(
    stream: &mut TcpStream,
    headers: &str,
    is_stream: bool,
    fault: RunnerFault,
) -> anyhow::Result<()> {
    let (kind, body) = match (is_stream, fault) {
        (true, RunnerFault::UnframedEmpty) => ("text/event-stream", ""),
        (true, RunnerFault::UnframedCut) => {
            ("text/event-stream", "id: 1\ndata: x\n\nid: 2\nda")
        }
        (true, _) => {
            ("text/event-stream", "id: 1\ndata: x\n\nid: 2\ndata: y\n\n")
        }
        (false, _) => ("application/json", "{\"done\":true}"),
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: {kind}\r\n\
         connection: close\r\n{headers}\r\n{body}"
    );
    stream.write_all(head.as_bytes()).await?;
    // What was written is passed on before the end.
    tokio::time::sleep(UNFRAMED_PAUSE).await;
    if fault == RunnerFault::UnframedReset {
        // Without lingering, a close resets the connection.
        SockRef::from(&*stream).set_linger(Some(Duration::ZERO))?;
    }
    anyhow::bail!("the connection ends with the answer")
}

/// Writes an answer that is a stream of events, in HTTP chunks.
async fn write_stream(
    stream: &mut TcpStream,
    headers: &str,
    fault: RunnerFault,
) -> anyhow::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n{headers}\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    let interval = match fault {
        RunnerFault::Slow => SLOW_EVENT_INTERVAL,
        RunnerFault::VerySlow => VERY_SLOW_EVENT_INTERVAL,
        _ => EVENT_INTERVAL,
    };
    for number in 1..=STREAM_EVENT_COUNT {
        let event = format!("id: {number}\ndata: x\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(chunk.as_bytes()).await?;
        if fault == RunnerFault::TruncatedBody && number == 2 {
            anyhow::bail!("simulated cut in the body");
        }
        // A read of zero bytes means that the caller closed the connection.
        let mut byte = [0];
        tokio::select! {
            read = stream.read(&mut byte) => {
                anyhow::ensure!(0 < read?, "the caller closed the connection");
            }
            () = tokio::time::sleep(interval) => {}
        }
    }
    if fault == RunnerFault::ChunkedCut {
        stream.write_all(b"5\r\nid: 9\r\n").await?;
    }
    stream.write_all(b"0\r\n\r\n").await?;
    Ok(())
}

/// Reads one request. Returns `None` if the connection ends before the end of
/// a request's head.
async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> anyhow::Result<Option<RecordedRequest>> {
    let head_length = loop {
        let found = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        if let Some(found) = found {
            break found;
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8(buffer[..head_length].to_vec())?;
    let mut lines = head.split("\r\n");
    let line = lines.next().unwrap_or("").to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers
        .map(|(name, value)| {
            (name.to_ascii_lowercase(), value.trim().to_owned())
        })
        .collect();
    let mut request = RecordedRequest { line, headers, body: Vec::new() };
    let length = request.header("content-length").unwrap_or("0").parse()?;
    buffer.drain(..head_length + 4);
    while buffer.len() < length {
        anyhow::ensure!(
            0 < stream.read_buf(buffer).await?,
            "the request's body ended early"
        );
    }
    request.body = buffer.drain(..length).collect();
    Ok(Some(request))
}
