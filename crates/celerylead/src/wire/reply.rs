//! Responses that the host generates itself.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Response, StatusCode,
    header::{self, HeaderValue},
};
use serde_json::json;

use super::headers::RUN_OUTCOME;
use crate::{
    clock::EpochMillis,
    request::{Refusal, RequestId},
};

/// Builds the response to a request that was refused or failed.
pub(crate) fn refusal(
    refusal: &Refusal,
    id: &RequestId,
    now: EpochMillis,
) -> Response<Full<Bytes>> {
    let body = refusal_body(refusal, id);
    let status = StatusCode::from_u16(refusal.code.status())
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = json_reply(status, body);
    let headers = response.headers_mut();
    let outcome = refusal.outcome.to_string();
    if let Ok(value) = HeaderValue::from_str(&outcome) {
        headers.insert(RUN_OUTCOME, value);
    }
    if let Some(at) = refusal.retry_at {
        let seconds = now.until(at).as_millis().div_ceil(1_000).max(1);
        if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// Formats a refusal as an error body of the OpenAI API.
pub(crate) fn refusal_body(refusal: &Refusal, id: &RequestId) -> String {
    let kind = match refusal.code.status() {
        401 | 403 => "authentication_error",
        400 | 404 | 408 | 413 | 431 => "invalid_request_error",
        429 => "rate_limit_error",
        _ => "server_error",
    };
    json!({
        "error": {
            "message": refusal.message,
            "type": kind,
            "code": refusal.code.text(),
            "outcome": refusal.outcome.to_string(),
            "request_id": id.as_str(),
        }
    })
    .to_string()
}

/// Builds a response with a JSON body.
pub(crate) fn json_reply(
    status: StatusCode,
    body: String,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}
