//! Encodings of the systems outside, as an adapter gives them.

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
    relay::CallHead,
    request::{Refusal, RequestId, TurnedAwayProof},
    roster::{HeldModel, RunnerFacts},
    runner::OrderKind,
};

/// Where a call goes on to and under which bounds.
#[derive(Clone, Debug)]
pub struct ForwardTarget<'a> {
    /// Identity of the runner that must be at the address.
    pub runner: &'a str,
    /// Customer that is billed, if any.
    pub customer: Option<&'a str>,
    /// Time left for the answer.
    pub time_left: Duration,
    /// Rank among other calls, 0 first.
    pub priority: u8,
}

/// What the head of a runner's answer says.
#[derive(Debug)]
pub enum AnswerVerdict {
    /// The runner surely didn't run the call.
    TurnedAway(TurnedAwayProof),
    /// A success that may go back.
    Success,
    /// A failure that may go back as it is.
    Failure,
    /// Nothing that may go back, with the reason.
    Unusable(&'static str),
}

/// How long a connection that ended its answer may be used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkReuse {
    /// Not at all.
    Never,
    /// While it was idle for less than this.
    Within(Duration),
}

/// An order to a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PlacementOrder {
    /// Identity of the runner.
    pub runner: String,
    /// What to do.
    pub kind: OrderKind,
    /// The model.
    pub model: String,
    /// Its adapter, where the order is for one.
    pub adapter: Option<String>,
    /// Orders that the runner must have accepted before.
    pub expected: u64,
    /// The host that orders.
    pub holder: String,
    /// Number that grows with each holder.
    pub fencing: u64,
}

/// What a runner answered to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderVerdict {
    /// It carries the order out.
    Accepted,
    /// What was ordered holds already.
    Holds,
    /// Another order is under way, or others came between.
    Conflict,
    /// It refuses the order.
    Refused,
}

/// What a model engine reports of itself, some hundred milliseconds late.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EngineReport {
    /// Models that it holds.
    pub models: Vec<HeldModel>,
    /// Adapters on their way, as model and adapter.
    pub incoming: Vec<(String, String)>,
    /// Whether an order is under way.
    pub busy: bool,
    /// Orders accepted since its start.
    pub orders: u64,
    /// Models of which it keeps a copy outside the accelerator, where it
    /// says so.
    pub copies: Option<Vec<String>>,
}

/// Encodings of a platform. All functions are pure.
pub trait EdgeCodec: Clone + Send + Sync + 'static {
    /// Reads the head of a call.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a head that can't be understood.
    fn read_call(&self, head: &request::Parts) -> Result<CallHead, Refusal>;

    /// Makes the request that goes to a runner.
    ///
    /// # Errors
    ///
    /// Returns an error where the head can't be written.
    fn forward(
        &self,
        head: &request::Parts,
        body: &Bytes,
        target: &ForwardTarget<'_>,
    ) -> anyhow::Result<Request<Full<Bytes>>>;

    /// Judges the head of an answer to the call of this id.
    fn classify_answer(
        &self,
        id: &RequestId,
        head: &response::Parts,
    ) -> AnswerVerdict;

    /// Says how long the connection of an answer may be used again.
    fn reuse(&self, head: &response::Parts) -> LinkReuse;

    /// Copies of an answer's head what goes back to the caller.
    fn answer_head(&self, head: &response::Parts) -> response::Parts;

    /// Makes the answer that tells a refusal.
    fn refusal(
        &self,
        refusal: &Refusal,
        id: Option<&RequestId>,
        now: EpochMillis,
    ) -> Response<Full<Bytes>>;

    /// Tells whether a request asks for readiness.
    fn is_readiness_probe(&self, head: &request::Parts) -> bool;

    /// Reads the operator's configuration.
    ///
    /// # Errors
    ///
    /// Returns an error that names what can't be understood.
    fn read_catalog(
        &self,
        key: &str,
        value: &[u8],
    ) -> anyhow::Result<Option<ServiceCatalog>>;

    /// Reads an entry of the registry.
    ///
    /// # Errors
    ///
    /// Returns an error that names what can't be understood.
    fn read_runner(
        &self,
        id: &str,
        value: &[u8],
    ) -> anyhow::Result<RunnerFacts>;

    /// Makes the request that carries an order.
    ///
    /// # Errors
    ///
    /// Returns an error where it can't be written.
    fn order_request(
        &self,
        order: &PlacementOrder,
        address: &str,
    ) -> anyhow::Result<Request<Full<Bytes>>>;

    /// Judges the answer to an order.
    fn classify_order_answer(&self, head: &response::Parts) -> OrderVerdict;

    /// Makes the request for a runner's report.
    ///
    /// # Errors
    ///
    /// Returns an error where it can't be written.
    fn report_request(
        &self,
        runner: &str,
        address: &str,
    ) -> anyhow::Result<Request<Full<Bytes>>>;

    /// Reads a runner's report.
    ///
    /// # Errors
    ///
    /// Returns an error that names what can't be understood.
    fn read_report(&self, value: &[u8]) -> anyhow::Result<EngineReport>;
}
