//! Requests to backend servers, and the usage that their responses state.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    header::{self, HeaderValue},
};
use serde::Deserialize;

use super::headers::REQUEST_ID;
use crate::request::{RejectionProof, RequestId};

/// Token counts that a response states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub(crate) struct UsageCount {
    #[serde(default)]
    pub(crate) prompt_tokens: u64,
    #[serde(default)]
    pub(crate) completion_tokens: u64,
}

impl UsageCount {
    pub(crate) fn total(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.completion_tokens)
    }
}

#[derive(Deserialize)]
struct UsageField {
    usage: Option<UsageCount>,
}

/// Returns the usage stated in a JSON response or stream event.
pub(crate) fn parse_usage(json: &[u8]) -> Option<UsageCount> {
    serde_json::from_slice::<UsageField>(json).ok()?.usage
}

/// Header by which an engine states that it didn't run a request.
const REFUSED_HEADER: &str = "x-engine-refused";

/// Returns a proof if the engine rejected the request without running it, as
/// it does for a model that isn't resident.
pub(crate) fn not_executed_proof<B>(
    response: &Response<B>,
) -> Option<RejectionProof> {
    let rejected = response.status() == StatusCode::CONFLICT
        && response.headers().contains_key(REFUSED_HEADER);
    rejected.then_some(RejectionProof(()))
}

/// The parts of a caller's request that the host forwards to a backend
/// server; nothing else of the caller's request is sent.
pub(crate) struct EngineRequest {
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl EngineRequest {
    /// Builds the request for one attempt at one runner.
    pub(crate) fn request(
        &self,
        id: &RequestId,
        peer: &str,
        credential: &HeaderValue,
    ) -> anyhow::Result<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(self.target.as_str())
            .body(Full::new(self.body.clone()))?;
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        headers.insert(header::HOST, HeaderValue::from_str(peer)?);
        headers.insert(header::AUTHORIZATION, credential.clone());
        headers.insert(REQUEST_ID, HeaderValue::from_str(id.as_str())?);
        Ok(request)
    }
}
