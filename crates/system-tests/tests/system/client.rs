//! An HTTP client for the tests.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{Request, body::Incoming, client::conn::http1, header::HeaderMap};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpStream;

/// Longest time that a caller waits for an answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(60);

/// An answer as a caller received it.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
    /// Whether the body is complete by its framing.
    pub(crate) complete: bool,
}

impl Answer {
    /// Returns the value of a header, or an empty text.
    pub(crate) fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|value| value.to_str().ok()).unwrap_or("")
    }

    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// Returns the error code, or an empty text.
    pub(crate) fn code(&self) -> String {
        let value = self.json();
        value["error"]["code"].as_str().unwrap_or("").to_owned()
    }

    /// Returns the outcome of an error, or an empty text.
    pub(crate) fn outcome(&self) -> String {
        let value = self.json();
        value["error"]["outcome"].as_str().unwrap_or("").to_owned()
    }

    /// Returns whether a stream of events is complete with its end marker.
    pub(crate) fn is_done(&self) -> bool {
        self.complete && self.body.ends_with("data: [DONE]\n\n")
    }
}

/// A connection to a host.
pub(crate) struct Caller {
    sender: http1::SendRequest<Full<Bytes>>,
}

impl Caller {
    pub(crate) async fn connect(address: &str) -> anyhow::Result<Caller> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(Caller { sender })
    }

    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> anyhow::Result<Answer> {
        tokio::time::timeout(CALLER_TIMEOUT, self.exchange(request)).await?
    }

    async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> anyhow::Result<Answer> {
        self.sender.ready().await?;
        let response = self.sender.send_request(request).await?;
        let (head, body) = response.into_parts();
        let (body, complete) = read(body).await;
        Ok(Answer {
            status: head.status.as_u16(),
            headers: head.headers,
            body,
            complete,
        })
    }
}

/// Reads a body and returns its text and whether it is complete.
async fn read(mut body: Incoming) -> (String, bool) {
    let mut text = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return (String::from_utf8_lossy(&text).into_owned(), false);
        };
        if let Some(bytes) = frame.data_ref() {
            text.extend_from_slice(bytes);
        }
    }
    (String::from_utf8_lossy(&text).into_owned(), true)
}

/// Sends one request on a new connection.
pub(crate) async fn call(
    address: &str,
    request: Request<Full<Bytes>>,
) -> anyhow::Result<Answer> {
    Caller::connect(address).await?.send(request).await
}

/// Builds a request.
pub(crate) fn request(
    method: &str,
    target: &str,
    key: Option<&str>,
    body: &str,
) -> Request<Full<Bytes>> {
    let mut request =
        Request::builder().method(method).uri(target).header("host", "test");
    if let Some(key) = key {
        request = request.header("authorization", format!("Bearer {key}"));
    }
    let body = Full::new(Bytes::from(body.to_owned()));
    request.body(body).expect("the request is well formed")
}

/// Builds a chat completion request.
pub(crate) fn chat(
    key: &str,
    model: &str,
    max_tokens: u64,
    stream: bool,
) -> Request<Full<Bytes>> {
    let body = json!({
        "model": model,
        "messages": [{"role": "user", "content": "expand this outline"}],
        "max_tokens": max_tokens,
        "stream": stream,
    });
    request("POST", "/v1/chat/completions", Some(key), &body.to_string())
}
