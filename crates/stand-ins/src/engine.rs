//! Stand-in of a model engine.
//!
//! It batches: each request gets its tokens at the engine's speed, slower
//! the more requests run. It counts how often each request ran and keeps
//! what it saw of callers, so that a test can look for keys.

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

use crate::serve::{Reply, ReplyBody, StatePort, full, json_reply, serve};

/// Requests seen that are kept for a test to look at.
const MAX_SEEN: usize = 4_096;

/// How the engine behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineFault {
    /// As it should.
    #[default]
    None,
    /// Runs the request, then closes the connection without an answer.
    CloseBeforeHead,
    /// Breaks off after this many tokens.
    CutAfter(u64),
    /// Ends the answer properly but without the end marker.
    NoEndMarker,
    /// Answers as if to another request.
    Crossed,
    /// Runs the request and answers with this status.
    Status(u16),
    /// Runs the request and never answers.
    Hang,
}

/// What an engine is.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineOptions {
    /// Tokens a second of a request that runs alone.
    pub tokens_per_second: f64,
    /// Models that are loaded at the start.
    pub models: Vec<String>,
    /// Accelerator memory, in MB.
    pub memory_mb: u64,
}

#[derive(Debug)]
struct EngineState {
    options: EngineOptions,
    fault: EngineFault,
    active: u32,
    /// Request id and how often it ran.
    runs: Vec<(String, u32)>,
    cancelled: u64,
    tokens: u64,
    seen: Vec<String>,
}

/// Handle of a running engine.
#[derive(Clone)]
pub struct EngineStandIn {
    /// Address it listens at.
    pub address: String,
    state: StatePort<EngineState>,
}

impl EngineStandIn {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Returns an error where the address can't be bound.
    pub async fn start(
        listen: &str,
        options: &EngineOptions,
    ) -> anyhow::Result<EngineStandIn> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?.to_string();
        let state = StatePort::start(EngineState {
            options: options.clone(),
            fault: EngineFault::None,
            active: 0,
            runs: Vec::new(),
            cancelled: 0,
            tokens: 0,
            seen: Vec::new(),
        });
        let port = state.clone();
        tokio::spawn(serve(listener, move |request| {
            handle(port.clone(), request)
        }));
        Ok(EngineStandIn { address, state })
    }

    /// Sets how the engine behaves from now on.
    pub async fn set_fault(&self, fault: EngineFault) {
        self.state.with(move |state| state.fault = fault).await;
    }

    /// Returns each request id with how often it ran.
    pub async fn runs(&self) -> Vec<(String, u32)> {
        self.state.with(|state| state.runs.clone()).await
    }

    /// Returns the number of requests that their caller gave up.
    pub async fn cancelled(&self) -> u64 {
        self.state.with(|state| state.cancelled).await
    }

    /// Returns the tokens generated and read so far.
    pub async fn tokens(&self) -> u64 {
        self.state.with(|state| state.tokens).await
    }

    /// Returns the number of requests that run now.
    pub async fn active(&self) -> u32 {
        self.state.with(|state| state.active).await
    }

    /// Returns what the engine saw: heads and bodies, as text.
    pub async fn seen(&self) -> Vec<String> {
        self.state.with(|state| state.seen.clone()).await
    }
}

/// A completion that the engine runs.
struct Job {
    port: StatePort<EngineState>,
    id: String,
    fault: EngineFault,
    stream: bool,
    wants_usage: bool,
    prompt_tokens: u64,
    output_tokens: u64,
    pause: Duration,
}

async fn handle(
    port: StatePort<EngineState>,
    request: Request<Incoming>,
) -> Reply {
    let (parts, body) = request.into_parts();
    if parts.uri.path() == "/v1/report" {
        let report = port.with(|state| state.report()).await;
        return Some(json_reply(StatusCode::OK, &report));
    }
    let body = body.collect().await.ok()?.to_bytes();
    let text = String::from_utf8_lossy(&body).into_owned();
    let head =
        format!("{} {}\n{}", parts.method, parts.uri, lines(&parts.headers));
    let ask: Value = serde_json::from_slice(&body).ok()?;
    let id = parts.headers.get("x-request-id");
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or("").to_owned();
    let job_port = port.clone();
    let job = port
        .with(move |state| {
            state.note(head + &text, &id);
            state.job(job_port, id, &ask)
        })
        .await;
    run(job).await
}

async fn run(job: Job) -> Reply {
    let id = match job.fault {
        EngineFault::Crossed => "another-request".to_owned(),
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
        let mut response = Response::new(FrameBody { frames }.boxed());
        response.headers_mut().insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("text/event-stream"),
        );
        response
    } else {
        answer_whole(job).await
    };
    let id = HeaderValue::from_str(&id).ok()?;
    response.headers_mut().insert("x-request-id", id);
    Some(response)
}

async fn answer_whole(job: Job) -> Response<ReplyBody> {
    let pause = job.pause.mul_f64(job.output_tokens as f64);
    tokio::time::sleep(pause).await;
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
    if !matches!(fault, EngineFault::CutAfter(_)) {
        return json_reply(StatusCode::OK, &value);
    }
    // Promises more than it sends.
    let (sender, frames) = mpsc::channel(1);
    tokio::spawn(async move {
        let half = Bytes::from(value.to_string()).slice(..20);
        let _ = sender.send(Ok(half)).await;
        let _ = sender.send(Err(anyhow::anyhow!("cut"))).await;
    });
    let mut response = Response::new(FrameBody { frames }.boxed());
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}

/// Generates the events of a stream.
async fn generate(
    job: Job,
    sender: mpsc::Sender<Result<Bytes, anyhow::Error>>,
) {
    let limit = match job.fault {
        EngineFault::CutAfter(tokens) => tokens,
        _ => u64::MAX,
    };
    for number in 0..job.output_tokens {
        if number == limit {
            let _ = sender.send(Err(anyhow::anyhow!("cut"))).await;
            job.end(false).await;
            return;
        }
        tokio::time::sleep(job.pause).await;
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

    async fn end(&self, cancelled: bool) {
        let tokens = self.prompt_tokens + self.output_tokens;
        self.port
            .with(move |state| {
                state.active -= 1;
                state.tokens += tokens;
                state.cancelled += u64::from(cancelled);
            })
            .await;
    }
}

impl EngineState {
    fn report(&self) -> Value {
        json!({
            "models": self.options.models,
            "active": self.active,
            "used_mb": 0,
            "memory_mb": self.options.memory_mb,
        })
    }

    fn note(&mut self, text: String, id: &str) {
        if self.seen.len() < MAX_SEEN {
            self.seen.push(text);
        }
        match self.runs.binary_search_by(|(held, _)| held.as_str().cmp(id)) {
            Ok(place) => self.runs[place].1 += 1,
            Err(place) => self.runs.insert(place, (id.to_owned(), 1)),
        }
    }

    fn job(
        &mut self,
        port: StatePort<EngineState>,
        id: String,
        ask: &Value,
    ) -> Job {
        self.active += 1;
        let crowd = 1.0 + f64::from(self.active - 1) / 16.0;
        let pause = crowd / self.options.tokens_per_second.max(0.1);
        let prompt = ask.get("messages").or(ask.get("prompt"));
        let words = prompt.map_or(0, words_in);
        let max = ask.get("max_tokens").and_then(Value::as_u64);
        Job {
            port,
            id,
            fault: self.fault,
            stream: ask.get("stream") == Some(&Value::Bool(true)),
            wants_usage: ask
                .pointer("/stream_options/include_usage")
                .is_some_and(|wanted| wanted == &Value::Bool(true)),
            prompt_tokens: words,
            output_tokens: max.unwrap_or(16),
            pause: Duration::from_secs_f64(pause),
        }
    }
}

fn words_in(value: &Value) -> u64 {
    match value {
        Value::String(text) => text.split_whitespace().count() as u64,
        Value::Array(items) => items.iter().map(words_in).sum(),
        Value::Object(fields) => fields.values().map(words_in).sum(),
        Value::Null | Value::Bool(_) | Value::Number(_) => 0,
    }
}

/// Writes headers as lines, sorted, so that golden files are stable.
pub(crate) fn lines(headers: &HeaderMap) -> String {
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

/// Body that passes on what a task sends.
struct FrameBody {
    frames: mpsc::Receiver<Result<Bytes, anyhow::Error>>,
}

impl Body for FrameBody {
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

/// Makes a plain text answer.
pub(crate) fn text_reply(
    status: StatusCode,
    text: String,
) -> Response<ReplyBody> {
    let mut response = Response::new(full(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
