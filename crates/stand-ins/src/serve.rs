//! Parts that the stand-ins share: an HTTP server, and a task that owns a
//! stand-in's state and is reached by messages.

use std::{convert::Infallible, future::Future};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, combinators::BoxBody};
use hyper::{
    Request, Response, StatusCode, body::Incoming, header,
    server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
};

/// Body of an HTTP answer.
pub(crate) type ReplyBody = BoxBody<Bytes, anyhow::Error>;
/// An HTTP answer, or `None` to close the connection without an answer.
pub(crate) type Reply = Option<Response<ReplyBody>>;

/// Messages that may wait for a stand-in's task before senders have to wait.
const MAILBOX_CAPACITY: usize = 4_096;

/// Serves HTTP/1 on a listener and answers each request with `handle`.
pub(crate) async fn serve<F, R>(listener: TcpListener, handle: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = Reply> + Send + 'static,
{
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let handle = handle.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let handle = handle.clone();
                async move {
                    // On an error the HTTP library closes the connection.
                    handle(request)
                        .await
                        .ok_or_else(|| anyhow::anyhow!("no answer"))
                }
            });
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Creates an answer with a JSON body.
pub(crate) fn json_reply(
    status: StatusCode,
    value: &serde_json::Value,
) -> Response<ReplyBody> {
    let body = full(Bytes::from(value.to_string()));
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    response
}

/// Creates a body whose bytes are all available at once.
pub(crate) fn full(bytes: Bytes) -> ReplyBody {
    Full::new(bytes).map_err(|never: Infallible| match never {}).boxed()
}

/// A closure that the task runs on its state.
type StateJob<S> = Box<dyn FnOnce(&mut S) + Send>;

/// Handle to a task that owns a state of type `S`.
pub(crate) struct StateHandle<S> {
    sender: mpsc::Sender<StateJob<S>>,
}

impl<S> Clone for StateHandle<S> {
    fn clone(&self) -> Self {
        StateHandle { sender: self.sender.clone() }
    }
}

impl<S: Send + 'static> StateHandle<S> {
    /// Starts a task that owns `state` and ends once its last handle has been
    /// dropped.
    pub(crate) fn start(mut state: S) -> StateHandle<S> {
        let (sender, mut inbox) =
            mpsc::channel::<StateJob<S>>(MAILBOX_CAPACITY);
        tokio::spawn(async move {
            while let Some(job) = inbox.recv().await {
                job(&mut state);
            }
        });
        StateHandle { sender }
    }

    /// Runs `job` on the state within the task and returns the result.
    pub(crate) async fn with<T: Send + 'static>(
        &self,
        job: impl FnOnce(&mut S) -> T + Send + 'static,
    ) -> T {
        let (reply, answer) = oneshot::channel();
        let job = Box::new(move |state: &mut S| {
            let _ = reply.send(job(state));
        });
        if self.sender.send(job).await.is_err() {
            unreachable!(
                "the state's task runs for as long as it has handles"
            );
        }
        answer.await.expect("the state's task replies to every message")
    }
}
