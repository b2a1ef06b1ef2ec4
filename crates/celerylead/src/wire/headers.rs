//! Headers of callers' requests, and the headers forwarded to backend
//! servers.
//!
//! No header that identifies a caller is forwarded to a backend server. The
//! host removes credentials of any form, and any header whose value contains
//! the caller's key.

use hyper::{
    HeaderMap,
    header::{self, HeaderName, HeaderValue},
};
use percent_encoding::percent_decode_str;

use crate::customer::CallerKey;

/// Header that carries the id of the request.
pub(crate) const REQUEST_ID: HeaderName =
    HeaderName::from_static("x-request-id");
/// Header that states whether a refused request ran.
pub(crate) const RUN_OUTCOME: HeaderName =
    HeaderName::from_static("x-celerylead-outcome");

/// Request headers that aren't forwarded: those that concern one connection,
/// and those by which a caller could identify itself.
const NOT_FORWARDED: &[&str] = &[
    "authorization",
    "connection",
    "content-length",
    "cookie",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-api-key",
    "api-key",
    "x-request-id",
];

/// Response headers that aren't returned to the caller: those that concern
/// one connection, and the request id, which the host sets itself.
const NOT_RETURNED: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-request-id",
];

/// The key in a caller's `Authorization` header.
pub(crate) enum PresentedKey {
    /// There is no `Authorization` header.
    None,
    /// Exactly one bearer key.
    Bearer(CallerKey),
    /// Anything other than exactly one bearer key.
    Malformed,
}

/// Reads the caller's key from the `Authorization` header.
pub(crate) fn presented_key(headers: &HeaderMap) -> PresentedKey {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let Some(value) = values.next() else { return PresentedKey::None };
    if values.next().is_some() {
        return PresentedKey::Malformed;
    }
    let Ok(text) = value.to_str() else { return PresentedKey::Malformed };
    let Some((scheme, key)) = text.split_once(' ') else {
        return PresentedKey::Malformed;
    };
    let key = key.trim();
    if !scheme.eq_ignore_ascii_case("bearer") || key.is_empty() {
        return PresentedKey::Malformed;
    }
    PresentedKey::Bearer(CallerKey::presented(key))
}

/// Copies the request headers that may be forwarded to a backend server.
pub(crate) fn forwarded(
    headers: &HeaderMap,
    key: Option<&CallerKey>,
) -> HeaderMap {
    let mut forwarded = HeaderMap::new();
    for (name, value) in headers {
        let connection_option = is_connection_option(headers, name.as_str());
        if NOT_FORWARDED.contains(&name.as_str()) || connection_option {
            continue;
        }
        if key.is_some_and(|key| contains_caller_key(value.as_bytes(), key)) {
            continue;
        }
        forwarded.append(name.clone(), value.clone());
    }
    forwarded
}

/// Copies the response headers that may be returned to the caller.
pub(crate) fn returned(headers: &HeaderMap) -> HeaderMap {
    let mut returned = HeaderMap::new();
    for (name, value) in headers {
        let connection_option = is_connection_option(headers, name.as_str());
        if !NOT_RETURNED.contains(&name.as_str()) && !connection_option {
            returned.append(name.clone(), value.clone());
        }
    }
    returned
}

/// Returns whether `bytes` contain the key, plain or percent-encoded.
pub(crate) fn contains_caller_key(bytes: &[u8], key: &CallerKey) -> bool {
    let needle = key.reveal().as_bytes();
    if contains(bytes, needle) {
        return true;
    }
    if !bytes.contains(&b'%') {
        return false;
    }
    let text = String::from_utf8_lossy(bytes);
    let decoded: Vec<u8> = percent_decode_str(&text).collect();
    contains(&decoded, needle)
}

/// Builds the `Authorization` value for the host's own credential.
pub(crate) fn bearer(credential: &str) -> anyhow::Result<HeaderValue> {
    let mut value = HeaderValue::from_str(&format!("Bearer {credential}"))?;
    value.set_sensitive(true);
    Ok(value)
}

/// Returns whether `bytes` contain `needle`; an empty needle is never found.
pub(crate) fn contains(bytes: &[u8], needle: &[u8]) -> bool {
    !needle.is_empty()
        && bytes.windows(needle.len()).any(|window| window == needle)
}

fn is_connection_option(headers: &HeaderMap, name: &str) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case(name))
}
