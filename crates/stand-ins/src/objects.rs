//! Stand-in of the object store, which holds JSON objects by name.

use http_body_util::BodyExt as _;
use hyper::{Method, Request, StatusCode, body::Incoming};
use serde_json::{Value, json};
use tokio::net::TcpListener;

use crate::serve::{Reply, StateHandle, json_reply, serve};

#[derive(Debug, Default)]
struct ObjectState {
    /// Objects by name, sorted.
    objects: Vec<(String, Value)>,
    /// Writes to a name that already had an object.
    repeated_writes: u64,
    /// Closes every connection without an answer.
    down: bool,
    /// Carries out a write, then closes the connection without an answer.
    lose_answers: bool,
}

/// Handle to a running object store.
#[derive(Clone)]
pub struct ObjectStandIn {
    /// Address that it listens on, as `IP:PORT`.
    pub address: String,
    state: StateHandle<ObjectState>,
}

impl ObjectStandIn {
    /// Starts an empty store at `listen`, an `IP:PORT`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(listen: &str) -> anyhow::Result<ObjectStandIn> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?.to_string();
        let state = StateHandle::start(ObjectState::default());
        let state_handle = state.clone();
        tokio::spawn(serve(listener, move |request| {
            handle(state_handle.clone(), request)
        }));
        Ok(ObjectStandIn { address, state })
    }

    /// Sets whether the store is down: it then closes every connection without
    /// an answer.
    pub async fn set_down(&self, down: bool) {
        self.state.with(move |state| state.down = down).await;
    }

    /// Sets whether the store loses its answers to writes: it then carries out
    /// the write and closes the connection without an answer.
    pub async fn set_lose_answers(&self, lose: bool) {
        self.state.with(move |state| state.lose_answers = lose).await;
    }

    /// Returns the stored objects with their names, sorted by name.
    pub async fn objects(&self) -> Vec<(String, Value)> {
        self.state.with(|state| state.objects.clone()).await
    }

    /// Returns the number of writes to a name that already had an object; the
    /// store keeps the first object.
    pub async fn repeated_writes(&self) -> u64 {
        self.state.with(|state| state.repeated_writes).await
    }
}

async fn handle(
    state_handle: StateHandle<ObjectState>,
    request: Request<Incoming>,
) -> Reply {
    let put = request.method() == Method::PUT;
    let path = request.uri().path().to_owned();
    let body = request.into_body().collect().await.ok()?.to_bytes();
    if state_handle.with(|state| state.down).await {
        return None;
    }
    let name = path.strip_prefix("/objects/")?.to_owned();
    if !put {
        let found = state_handle.with(move |state| state.get(&name)).await;
        return Some(match found {
            Some(value) => json_reply(StatusCode::OK, &value),
            None => json_reply(StatusCode::NOT_FOUND, &json!({})),
        });
    }
    let value = serde_json::from_slice(&body).ok()?;
    let lost = state_handle
        .with(move |state| {
            state.put_if_absent(&name, value);
            state.lose_answers
        })
        .await;
    (!lost).then(|| json_reply(StatusCode::OK, &json!({})))
}

impl ObjectState {
    fn get(&self, name: &str) -> Option<Value> {
        let index = self.position(name).ok()?;
        Some(self.objects[index].1.clone())
    }

    /// Stores an object unless its name has one already.
    fn put_if_absent(&mut self, name: &str, value: Value) {
        match self.position(name) {
            Ok(_) => self.repeated_writes += 1,
            Err(index) => {
                self.objects.insert(index, (name.to_owned(), value));
            }
        }
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.objects.binary_search_by(|(key, _)| key.as_str().cmp(name))
    }
}
