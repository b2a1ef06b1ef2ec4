//! Reading of the bodies of callers' requests.

use bytes::Bytes;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::request::{Refusal, RefusalCode};

/// Reads the body of a request, of at most `limit` bytes, before `deadline`.
pub(crate) async fn read_body(
    body: Incoming,
    limit: usize,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    let body = Limited::new(body, limit).collect();
    match tokio::time::timeout_at(deadline, body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let message = format!("the body is larger than {limit} bytes");
            Err(Refusal::not_run(RefusalCode::BodyTooLarge, &message))
        }
        Ok(Err(error)) => {
            let message = format!("the body broke off: {error}");
            Err(Refusal::not_run(RefusalCode::BadRequest, &message))
        }
        Err(_) => Err(Refusal::not_run(
            RefusalCode::BodyTimeout,
            "the body didn't come in time",
        )),
    }
}
