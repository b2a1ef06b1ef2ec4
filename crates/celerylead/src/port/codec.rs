//! Encodings of external systems, as implemented by a platform adapter.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response,
    http::{request, response},
};
use serde::{Deserialize, Serialize};

use crate::{
    catalog::ServiceCatalog,
    clock::EpochMillis,
    relay::{CallHead, RunnerNotice},
    request::{Refusal, RejectionProof, RequestId},
    roster::{HeldModel, RunnerFacts},
    runner::OrderKind,
};

/// Destination and limits of a forwarded call.
#[derive(Clone, Debug)]
pub struct ForwardTarget<'a> {
    /// Identity that the runner at the address must have.
    pub runner: &'a str,
    /// Customer to bill, if any.
    pub customer: Option<&'a str>,
    /// Time left for the answer.
    pub time_left: Duration,
    /// Priority among other calls; 0 is the highest.
    pub priority: u8,
}

/// Classification of the head of a runner's answer.
#[derive(Debug)]
pub enum AnswerVerdict {
    /// The runner rejected the call, and provably didn't run it.
    Rejected(RejectionProof),
    /// A success that may be returned to the caller.
    Success,
    /// A failure that may be returned to the caller unchanged.
    Failure,
    /// An answer that must not be returned to the caller, with the reason.
    Unusable(&'static str),
    /// A client error that isn't known to be the runner's. It must not be
    /// returned, and as the call itself may be its cause, it says nothing about
    /// the runner.
    UnsignedClientError,
}

/// Whether a connection carried other calls before the latest one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkUse {
    /// The latest call is the first one, so every answer is to it.
    First,
    /// There were earlier calls, and a faulty runner may have answered one of
    /// them once more.
    Again,
}

/// Whether and for how long a connection may be reused after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkReuse {
    /// The connection must not be reused.
    Never,
    /// The connection may be reused while its idle time is less than this.
    Within(Duration),
    /// The runner keeps the connection open, and doesn't say for how long.
    Unstated,
}

/// An order sent to a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PlacementOrder {
    /// Identity of the runner.
    pub runner: String,
    /// Action to take.
    pub kind: OrderKind,
    /// Name of the model.
    pub model: String,
    /// Name of the adapter, if the order is for an adapter of the model.
    pub adapter: Option<String>,
    /// Number of orders that the runner must have accepted before this one.
    pub expected: u64,
    /// Host that sends the order: the holder of the orders lease.
    pub holder: String,
    /// Fencing token, which grows with each lease holder.
    pub fencing: u64,
}

/// Answer of a runner to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderVerdict {
    /// The runner carries out the order.
    Accepted,
    /// The state that the order asks for exists already.
    Holds,
    /// Another order is in progress, or the runner has accepted other orders
    /// in the meantime.
    Conflict,
    /// The runner refuses the order.
    Refused,
}

/// State that a model engine reports, some hundred milliseconds late.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EngineReport {
    /// Models that the engine has loaded.
    pub models: Vec<HeldModel>,
    /// Adapters that are being loaded, as pairs of model and adapter.
    pub incoming: Vec<(String, String)>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Number of orders accepted since the engine started.
    pub orders: u64,
    /// Models of which the engine keeps a local copy outside the accelerator;
    /// `None` if the engine doesn't report local copies.
    pub copies: Option<Vec<String>>,
}

/// Encodings of a platform. All methods are pure functions.
pub trait EdgeCodec: Clone + Send + Sync + 'static {
    /// Decodes the head of a call.
    ///
    /// # Errors
    ///
    /// Returns the refusal to send if the head is invalid.
    fn read_call(&self, head: &request::Parts) -> Result<CallHead, Refusal>;

    /// Returns the id of a request, also if its head is invalid otherwise.
    fn read_id(&self, head: &request::Parts) -> Option<RequestId>;

    /// Builds the request that forwards a call to a runner.
    ///
    /// # Errors
    ///
    /// Returns an error if the head can't be encoded.
    fn forward(
        &self,
        head: &request::Parts,
        body: &Bytes,
        target: &ForwardTarget<'_>,
    ) -> anyhow::Result<Request<Full<Bytes>>>;

    /// Classifies the head of an answer to the call with this id, the latest
    /// one on its connection.
    fn classify_answer(
        &self,
        id: &RequestId,
        head: &response::Parts,
        link_use: LinkUse,
    ) -> AnswerVerdict;

    /// Returns what the runner states about itself in the head of an answer
    /// to the call with this id.
    fn read_notice(
        &self,
        id: &RequestId,
        head: &response::Parts,
        now: EpochMillis,
    ) -> RunnerNotice;

    /// Returns for how long the connection of an answer may be reused.
    fn reuse(&self, head: &response::Parts) -> LinkReuse;

    /// Returns the parts of an answer's head that go back to the caller.
    fn answer_head(&self, head: &response::Parts) -> response::Parts;

    /// Builds the answer that reports a refusal to the caller.
    fn refusal(
        &self,
        refusal: &Refusal,
        id: Option<&RequestId>,
        now: EpochMillis,
    ) -> Response<Full<Bytes>>;

    /// Returns whether a request is a readiness probe.
    fn is_readiness_probe(&self, head: &request::Parts) -> bool;

    /// Decodes a row of the operator's configuration.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid part.
    fn read_catalog(
        &self,
        key: &str,
        value: &[u8],
    ) -> anyhow::Result<Option<ServiceCatalog>>;

    /// Returns the zone that a row of the operator's table evacuates, whatever
    /// its value; `None` for other rows.
    fn evacuated_zone<'a>(&self, key: &'a str) -> Option<&'a str>;

    /// Decodes an entry of the registry, which was read at `now`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid part.
    fn read_runner(
        &self,
        id: &str,
        value: &[u8],
        now: EpochMillis,
    ) -> anyhow::Result<RunnerFacts>;

    /// Builds the request that sends an order to a runner.
    ///
    /// # Errors
    ///
    /// Returns an error if the request can't be encoded.
    fn order_request(
        &self,
        order: &PlacementOrder,
        address: &str,
    ) -> anyhow::Result<Request<Full<Bytes>>>;

    /// Classifies the head of an answer to an order.
    fn classify_order_answer(&self, head: &response::Parts) -> OrderVerdict;

    /// Builds the request for a runner's report.
    ///
    /// # Errors
    ///
    /// Returns an error if the request can't be encoded.
    fn report_request(
        &self,
        runner: &str,
        address: &str,
    ) -> anyhow::Result<Request<Full<Bytes>>>;

    /// Decodes a runner's report.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid part.
    fn read_report(&self, value: &[u8]) -> anyhow::Result<EngineReport>;
}
