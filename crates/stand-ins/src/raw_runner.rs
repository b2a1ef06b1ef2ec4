//! Stand-in of a runner of the platform that writes HTTP as raw bytes.
//!
//! An HTTP library would prevent the faults that break the protocol. This
//! runner simulates the fault that a test sets, and records the calls that it
//! ran and the orders that it received.

use std::time::Duration;

use tokio::{
    io::AsyncWriteExt as _,
    net::{TcpListener, TcpStream},
    sync::watch,
    time::Instant,
};

use self::{
    answers::{
        EVENT_INTERVAL, write_endless, write_response, write_stream,
        write_unframed,
    },
    crash::answer_and_crash,
    request::read_request,
    state::{Order, RunnerState},
};
pub use self::{
    crash::CrashPoint, fault::RunnerFault, request::RecordedRequest,
};
use crate::serve::StateHandle;

mod answers;
mod crash;
mod fault;
mod request;
mod state;

/// Header line that is repeated in a head without end.
const HEAD_LINE: &[u8] = b"x-more: and more\r\n";
/// Header lines per write of [`RunnerFault::EndlessHead`]. Single lines would
/// let a short deadline pass before the head reaches the client's size limit.
const HEAD_LINES_PER_WRITE: usize = 1_024;
/// Longest time until the address of a crashed runner is free again.
const REBIND_LIMIT: Duration = Duration::from_secs(1);
/// Time between two checks of whether [`RunnerFault::LateOrders`] is over.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

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
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        let state = StateHandle::start(RunnerState::default());
        Ok(RawRunner::serve(listener, address, state))
    }

    /// Starts a runner at the address of this one, which has crashed. Like a
    /// restarted process it has accepted no order and holds no model.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound within a second.
    pub async fn start_again(&self) -> anyhow::Result<RawRunner> {
        let deadline = Instant::now() + REBIND_LIMIT;
        let listener = loop {
            match TcpListener::bind(&self.address).await {
                Ok(listener) => break listener,
                Err(error) if deadline <= Instant::now() => {
                    return Err(error.into());
                }
                Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
            }
        };
        let state =
            RunnerState { models: Vec::new(), ..RunnerState::default() };
        let state = StateHandle::start(state);
        Ok(RawRunner::serve(listener, self.address.clone(), state))
    }

    fn serve(
        listener: TcpListener,
        address: String,
        state: StateHandle<RunnerState>,
    ) -> RawRunner {
        let (crashed, crash) = watch::channel(false);
        let runner = RawRunner { address, state, crashed };
        tokio::spawn(accept(listener, runner.clone(), crash));
        runner
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
        let parts: Vec<&'static str> = part.into_iter().collect();
        self.set_deadly_parts(&parts, CrashPoint::default()).await;
    }

    /// Sets parts of prompts, in hexadecimal, on which the runner crashes at
    /// this point of its answer.
    pub async fn set_deadly_parts(
        &self,
        parts: &[&'static str],
        point: CrashPoint,
    ) {
        let parts = parts.to_vec();
        self.state
            .with(move |state| {
                state.deadly_parts = parts;
                state.crash_point = point;
            })
            .await;
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

    /// Sets the resident models.
    pub async fn set_models(&self, models: Vec<String>) {
        self.state.with(move |state| state.models = models).await;
    }

    /// Returns the number of accepted orders, and the resident models.
    pub async fn holdings(&self) -> (u64, Vec<String>) {
        self.state
            .with(|state| (state.accepted_orders, state.models.clone()))
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
        let (parts, point) = state
            .with(|state| (state.deadly_parts.clone(), state.crash_point))
            .await;
        if parts.iter().any(|part| request.has_part(part)) {
            return answer_and_crash(&mut stream, runner, request, point)
                .await;
        }
        answer(&mut stream, state, request, fault).await?;
    }
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
