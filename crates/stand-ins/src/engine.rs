//! Stand-in of a model engine.
//!
//! It simulates continuous batching: each request gets its tokens at the
//! engine's speed, which falls as more requests run at the same time. The
//! engine counts how often each request ran, and records heads and bodies, so
//! that a test can check that no caller's key reaches an engine.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::{Body, Frame, Incoming},
    header::{self, HeaderValue},
};
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::mpsc};

use crate::serve::{Reply, ReplyBody, StateHandle, full, json_reply, serve};

/// Number of requests that are recorded for tests; later ones aren't.
const MAX_RECORDED_REQUESTS: usize = 4_096;

/// Shortest pause between tokens, in seconds. The timer can't resolve shorter
/// pauses, so they are left out.
const MIN_PAUSE_SECONDS: f64 = 0.000_1;

/// Fault that the engine simulates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineFault {
    /// Behaves correctly.
    #[default]
    None,
    /// Runs the request, then closes the connection without an answer.
    CloseBeforeHead,
    /// Breaks a stream off after this many tokens. An answer that isn't
    /// streamed breaks off early in its body.
    CutAfterTokens(u64),
    /// Ends a stream's HTTP body correctly, but without the `[DONE]` event.
    NoEndMarker,
    /// Answers with the request id of another request.
    WrongRequestId,
    /// Runs the request and answers with this HTTP status.
    Status(u16),
    /// Runs the request and never answers.
    Hang,
}

/// Capacity and behaviour of an engine, and the models that it starts with.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineOptions {
    /// Tokens per second of a request that runs alone.
    pub tokens_per_second: f64,
    /// Models that are resident at the start, with their memory in MB.
    pub models: Vec<(String, u64)>,
    /// Accelerator memory, in MB.
    pub memory_mb: u64,
    /// Whether the engine rejects an order whose fencing token is lower than
    /// the highest one so far.
    pub fencing: bool,
    /// Time that the load of a model takes.
    pub load_time: Duration,
}

impl Default for EngineOptions {
    fn default() -> Self {
        EngineOptions {
            tokens_per_second: 100.0,
            models: Vec::new(),
            memory_mb: 1_000,
            fencing: false,
            load_time: Duration::from_millis(200),
        }
    }
}

/// A model that occupies an engine's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
struct EngineModel {
    name: String,
    size_mb: u64,
    state: ModelState,
    /// Requests that run on the model.
    active: u32,
}

/// State of a model in an engine's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ModelState {
    Loading,
    Resident,
    /// Ordered to unload; leaves the memory once no request runs on it.
    Unloading,
}

#[derive(Debug)]
struct EngineState {
    options: EngineOptions,
    fault: EngineFault,
    /// Requests that run on all models.
    active: u32,
    models: Vec<EngineModel>,
    /// Highest fencing token of the orders so far.
    fencing_token: u64,
    /// Highest memory use so far, in MB, as measured when loads begin.
    peak_mb: u64,
    loads: u64,
    /// Number of runs by request id, sorted by id.
    runs: Vec<(String, u32)>,
    /// Requests whose caller went away before their stream ended.
    cancelled: u64,
    /// Prompt and output tokens of the requests that ended.
    tokens: u64,
    /// Heads and bodies of the first requests that ran, as text.
    recorded_requests: Vec<String>,
}

/// Handle to a running engine.
#[derive(Clone)]
pub struct EngineStandIn {
    /// Address that it listens on, as `IP:PORT`.
    pub address: String,
    state: StateHandle<EngineState>,
}

impl EngineStandIn {
    /// Starts an engine at `listen`, an `IP:PORT`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(
        listen: &str,
        options: &EngineOptions,
    ) -> anyhow::Result<EngineStandIn> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?.to_string();
        let models =
            options.models.iter().map(|(name, size_mb)| EngineModel {
                name: name.clone(),
                size_mb: *size_mb,
                state: ModelState::Resident,
                active: 0,
            });
        let state = StateHandle::start(EngineState {
            options: options.clone(),
            fault: EngineFault::None,
            active: 0,
            models: models.collect(),
            fencing_token: 0,
            peak_mb: 0,
            loads: 0,
            runs: Vec::new(),
            cancelled: 0,
            tokens: 0,
            recorded_requests: Vec::new(),
        });
        let state_handle = state.clone();
        tokio::spawn(serve(listener, move |request| {
            handle(state_handle.clone(), request)
        }));
        Ok(EngineStandIn { address, state })
    }

    /// Sets the fault that the engine simulates from now on.
    pub async fn set_fault(&self, fault: EngineFault) {
        self.state.with(move |state| state.fault = fault).await;
    }

    /// Returns the number of runs of each request id.
    pub async fn runs(&self) -> Vec<(String, u32)> {
        self.state.with(|state| state.runs.clone()).await
    }

    /// Returns the highest memory use so far, in MB, as measured when loads
    /// begin.
    pub async fn peak_mb(&self) -> u64 {
        self.state.with(|state| state.peak_mb).await
    }

    /// Returns the number of loads that have begun so far.
    pub async fn loads(&self) -> u64 {
        self.state.with(|state| state.loads).await
    }

    /// Returns the names of the resident models.
    pub async fn resident(&self) -> Vec<String> {
        self.state.with(|state| state.resident()).await
    }

    /// Returns the number of streams whose caller went away before their end.
    pub async fn cancelled(&self) -> u64 {
        self.state.with(|state| state.cancelled).await
    }

    /// Returns the total of the prompt and output tokens of the requests that
    /// have ended. A request that was cut short counts in full.
    pub async fn tokens(&self) -> u64 {
        self.state.with(|state| state.tokens).await
    }

    /// Returns the number of requests that are running.
    pub async fn active(&self) -> u32 {
        self.state.with(|state| state.active).await
    }

    /// Returns the heads and bodies of the requests that ran, as text, up to a
    /// fixed number of requests.
    pub async fn recorded_requests(&self) -> Vec<String> {
        self.state.with(|state| state.recorded_requests.clone()).await
    }
}

/// A completion request that runs on the engine.
struct Job {
    state_handle: StateHandle<EngineState>,
    id: String,
    model: String,
    fault: EngineFault,
    stream: bool,
    wants_usage: bool,
    prompt_tokens: u64,
    output_tokens: u64,
    /// Time before each output token.
    pause: Duration,
}

async fn handle(
    state_handle: StateHandle<EngineState>,
    request: Request<Incoming>,
) -> Reply {
    let (parts, body) = request.into_parts();
    if parts.uri.path() == "/v1/report" {
        let report = state_handle.with(|state| state.report()).await;
        return Some(json_reply(StatusCode::OK, &report));
    }
    let body = body.collect().await.ok()?.to_bytes();
    let text = String::from_utf8_lossy(&body).into_owned();
    let head = format!(
        "{} {}\n{}",
        parts.method,
        parts.uri,
        header_lines(&parts.headers)
    );
    let request_json: Value = serde_json::from_slice(&body).ok()?;
    if parts.uri.path() == "/v1/orders" {
        return Some(accept_order(state_handle, &request_json).await);
    }
    let id = parts.headers.get("x-request-id");
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or("").to_owned();
    let job_state = state_handle.clone();
    let job = state_handle
        .with(move |state| {
            let model = state.begin_on_model(&request_json)?;
            state.record_request(head + &text, &id);
            Some(state.new_job(job_state, id, model, &request_json))
        })
        .await;
    match job {
        Some(job) => run_job(job).await,
        None => Some(not_resident()),
    }
}

/// Returns the answer to a request whose model isn't resident. Its
/// `x-engine-refused` header proves that the request didn't run.
fn not_resident() -> Response<ReplyBody> {
    let body = json!({"error": {"code": "model_not_resident"}});
    let mut response = json_reply(StatusCode::CONFLICT, &body);
    let value = HeaderValue::from_static("model-not-resident");
    response.headers_mut().insert("x-engine-refused", value);
    response
}

/// Answers an order. A load that the engine accepts finishes in the
/// background, once its load time has passed.
async fn accept_order(
    state_handle: StateHandle<EngineState>,
    order: &Value,
) -> Response<ReplyBody> {
    let text = |name: &str| order[name].as_str().unwrap_or("").to_owned();
    let (kind, model) = (text("kind"), text("model"));
    let fencing_token = order["fence"].as_u64().unwrap_or(0);
    let size_mb = order["size_mb"].as_u64().unwrap_or(0);
    let accepted = {
        let (kind, model) = (kind.clone(), model.clone());
        state_handle
            .with(move |state| {
                state.apply_order(fencing_token, &kind, &model, size_mb)
            })
            .await
    };
    if !accepted {
        let body = json!({"error": {"code": "old_fence"}});
        return json_reply(StatusCode::CONFLICT, &body);
    }
    if kind == "load" {
        let load_time =
            state_handle.with(|state| state.options.load_time).await;
        tokio::spawn(async move {
            tokio::time::sleep(load_time).await;
            state_handle.with(move |state| state.finish_load(&model)).await;
        });
    }
    json_reply(StatusCode::ACCEPTED, &json!({}))
}

/// Answers a completion request as its job's fault requires.
async fn run_job(job: Job) -> Reply {
    let id = match job.fault {
        EngineFault::WrongRequestId => "another-request".to_owned(),
        _ => job.id.clone(),
    };
    match job.fault {
        EngineFault::CloseBeforeHead => {
            job.end(false).await;
            return None;
        }
        EngineFault::Hang => std::future::pending().await,
        EngineFault::Status(status) => {
            job.end(false).await;
            let status = StatusCode::from_u16(status).ok()?;
            return Some(json_reply(status, &json!({"error": "fault"})));
        }
        _ => {}
    }
    let mut response = if job.stream {
        let (sender, frames) = mpsc::channel(1);
        tokio::spawn(generate(job, sender));
        let mut response = Response::new(ChannelBody { frames }.boxed());
        response.headers_mut().insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("text/event-stream"),
        );
        response
    } else {
        answer_unstreamed(job).await
    };
    let id = HeaderValue::from_str(&id).ok()?;
    response.headers_mut().insert("x-request-id", id);
    Some(response)
}

/// Answers with the completion as one JSON body, once all its tokens have been
/// generated.
async fn answer_unstreamed(job: Job) -> Response<ReplyBody> {
    let pause = job.pause.mul_f64(job.output_tokens as f64);
    if !pause.is_zero() {
        tokio::time::sleep(pause).await;
    }
    let text = "word ".repeat(job.output_tokens as usize);
    let value = json!({
        "object": "chat.completion",
        "choices": [{"index": 0, "message": {
            "role": "assistant", "content": text.trim_end(),
        }}],
        "usage": job.usage(job.output_tokens),
    });
    let fault = job.fault;
    job.end(false).await;
    if !matches!(fault, EngineFault::CutAfterTokens(_)) {
        return json_reply(StatusCode::OK, &value);
    }
    // The body fails after its first 20 bytes, so the connection closes before
    // the answer is complete.
    let (sender, frames) = mpsc::channel(1);
    tokio::spawn(async move {
        let partial_body = Bytes::from(value.to_string()).slice(..20);
        let _ = sender.send(Ok(partial_body)).await;
        let _ = sender.send(Err(anyhow::anyhow!("simulated cut"))).await;
    });
    let mut response = Response::new(ChannelBody { frames }.boxed());
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}

/// Generates a stream's events and sends them to its body.
async fn generate(
    job: Job,
    sender: mpsc::Sender<Result<Bytes, anyhow::Error>>,
) {
    let limit = match job.fault {
        EngineFault::CutAfterTokens(tokens) => tokens,
        _ => u64::MAX,
    };
    for number in 0..job.output_tokens {
        if number == limit {
            let _ = sender.send(Err(anyhow::anyhow!("simulated cut"))).await;
            job.end(false).await;
            return;
        }
        if !job.pause.is_zero() {
            tokio::time::sleep(job.pause).await;
        }
        let event = json!({
            "object": "chat.completion.chunk",
            "choices": [{"index": 0, "delta": {"content": "word "}}],
        });
        let event = Bytes::from(format!("data: {event}\n\n"));
        if sender.send(Ok(event)).await.is_err() {
            job.end(true).await;
            return;
        }
    }
    if job.wants_usage {
        let usage = job.usage(job.output_tokens);
        let event = json!({"choices": [], "usage": usage});
        let _ =
            sender.send(Ok(Bytes::from(format!("data: {event}\n\n")))).await;
    }
    if job.fault != EngineFault::NoEndMarker {
        let _ = sender.send(Ok(Bytes::from("data: [DONE]\n\n"))).await;
    }
    job.end(false).await;
}

impl Job {
    fn usage(&self, output: u64) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": output,
            "total_tokens": self.prompt_tokens + output,
        })
    }

    /// Counts the job as ended. `cancelled` says whether its caller went away.
    async fn end(&self, cancelled: bool) {
        let tokens = self.prompt_tokens + self.output_tokens;
        let model = self.model.clone();
        self.state_handle
            .with(move |state| {
                state.active -= 1;
                state.end_on_model(&model);
                state.tokens += tokens;
                state.cancelled += u64::from(cancelled);
            })
            .await;
    }
}

impl EngineState {
    fn report(&self) -> Value {
        let any_in = |state| self.models.iter().any(|m| m.state == state);
        json!({
            "models": self.resident(),
            "active": self.active,
            "used_mb": self.used_mb(),
            "memory_mb": self.options.memory_mb,
            "fence": self.fencing_token,
            "loading": any_in(ModelState::Loading),
        })
    }

    fn resident(&self) -> Vec<String> {
        let models = self.models.iter();
        models
            .filter(|model| model.state == ModelState::Resident)
            .map(|model| model.name.clone())
            .collect()
    }

    fn used_mb(&self) -> u64 {
        self.models.iter().map(|model| model.size_mb).sum()
    }

    /// Begins a load or an unload and returns true. Returns false, without any
    /// effect, if fencing is on and the fencing token is lower than the
    /// highest one so far.
    fn apply_order(
        &mut self,
        fencing_token: u64,
        kind: &str,
        model: &str,
        size_mb: u64,
    ) -> bool {
        if self.options.fencing && fencing_token < self.fencing_token {
            return false;
        }
        self.fencing_token = self.fencing_token.max(fencing_token);
        let entry = self.models.iter_mut().find(|entry| entry.name == model);
        match (kind, entry) {
            ("load", None) => {
                self.loads += 1;
                self.models.push(EngineModel {
                    name: model.to_owned(),
                    size_mb,
                    state: ModelState::Loading,
                    active: 0,
                });
                self.peak_mb = self.peak_mb.max(self.used_mb());
            }
            ("unload", Some(entry)) => {
                entry.state = ModelState::Unloading;
                self.remove_unloaded();
            }
            _ => {}
        }
        true
    }

    /// Makes a loading model resident.
    fn finish_load(&mut self, model: &str) {
        let mut models = self.models.iter_mut();
        let entry = models.find(|entry| entry.name == model);
        if let Some(entry) = entry.filter(|m| m.state == ModelState::Loading) {
            entry.state = ModelState::Resident;
        }
    }

    /// Removes the unloading models on which no request runs.
    fn remove_unloaded(&mut self) {
        self.models.retain(|model| {
            model.state != ModelState::Unloading || 0 < model.active
        });
    }

    /// Counts a request on its model and returns the model's name without its
    /// `:` suffix. Returns `None` if the model isn't resident.
    fn begin_on_model(&mut self, request_json: &Value) -> Option<String> {
        let name = request_json.get("model").and_then(Value::as_str)?;
        let name = name.split(':').next().unwrap_or(name);
        let mut models = self.models.iter_mut();
        let model = models.find(|entry| entry.name == name)?;
        if model.state != ModelState::Resident {
            return None;
        }
        model.active += 1;
        Some(name.to_owned())
    }

    /// Counts the end of a request on its model.
    fn end_on_model(&mut self, name: &str) {
        let mut models = self.models.iter_mut();
        if let Some(model) = models.find(|entry| entry.name == name) {
            model.active -= 1;
        }
        self.remove_unloaded();
    }

    /// Records a request's head and body and counts its run.
    fn record_request(&mut self, text: String, id: &str) {
        if self.recorded_requests.len() < MAX_RECORDED_REQUESTS {
            self.recorded_requests.push(text);
        }
        match self.runs.binary_search_by(|(run_id, _)| run_id.as_str().cmp(id))
        {
            Ok(index) => self.runs[index].1 += 1,
            Err(index) => self.runs.insert(index, (id.to_owned(), 1)),
        }
    }

    /// Creates the job of a request. Each other request that runs at this
    /// point lengthens the job's pause between tokens by 1/16 of the pause of
    /// a request that runs alone. Later requests don't change it.
    fn new_job(
        &mut self,
        state_handle: StateHandle<EngineState>,
        id: String,
        model: String,
        request_json: &Value,
    ) -> Job {
        self.active += 1;
        let slowdown = 1.0 + f64::from(self.active - 1) / 16.0;
        let pause = slowdown / self.options.tokens_per_second.max(0.1);
        let pause = if pause < MIN_PAUSE_SECONDS { 0.0 } else { pause };
        let prompt =
            request_json.get("messages").or(request_json.get("prompt"));
        let words = prompt.map_or(0, count_words);
        let max = request_json.get("max_tokens").and_then(Value::as_u64);
        Job {
            state_handle,
            id,
            model,
            fault: self.fault,
            stream: request_json.get("stream") == Some(&Value::Bool(true)),
            wants_usage: request_json
                .pointer("/stream_options/include_usage")
                .is_some_and(|wanted| wanted == &Value::Bool(true)),
            prompt_tokens: words,
            output_tokens: max.unwrap_or(16),
            pause: Duration::from_secs_f64(pause),
        }
    }
}

/// Counts the words of all texts in a JSON value, which stand for its tokens.
fn count_words(value: &Value) -> u64 {
    match value {
        Value::String(text) => text.split_whitespace().count() as u64,
        Value::Array(items) => items.iter().map(count_words).sum(),
        Value::Object(fields) => fields.values().map(count_words).sum(),
        Value::Null | Value::Bool(_) | Value::Number(_) => 0,
    }
}

/// Formats headers as sorted lines, so that golden files are stable.
pub(crate) fn header_lines(headers: &HeaderMap) -> String {
    let mut lines: Vec<String> = headers
        .iter()
        .map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes());
            format!("{name}: {value}\n")
        })
        .collect();
    lines.sort();
    lines.concat()
}

/// Body whose frames another task sends through a channel.
struct ChannelBody {
    frames: mpsc::Receiver<Result<Bytes, anyhow::Error>>,
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = anyhow::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, anyhow::Error>>> {
        self.frames
            .poll_recv(context)
            .map(|frame| frame.map(|bytes| bytes.map(Frame::data)))
    }
}

/// Creates an answer with a plain text body.
pub(crate) fn text_reply(
    status: StatusCode,
    text: String,
) -> Response<ReplyBody> {
    let mut response = Response::new(full(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
