//! Headers of callers and towards backend servers.
//!
//! What goes on to a backend server is copied from the caller by an
//! allow-list of nothing that names a caller: credentials of any form stay
//! here, and any header whose value holds the key.

use hyper::{
    HeaderMap,
    header::{self, HeaderName, HeaderValue},
};
use percent_encoding::percent_decode_str;

use crate::customer::CallerKey;

/// Name of the header that carries the request's id.
pub(crate) const REQUEST_ID: HeaderName =
    HeaderName::from_static("x-request-id");
/// Name of the header that says whether a refused request ran.
pub(crate) const RUN_OUTCOME: HeaderName =
    HeaderName::from_static("x-celerylead-outcome");

/// Headers of one connection, and those with which a caller could show who
/// it is; none goes on.
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

/// Headers of an answer that belong to one connection.
const HOP_BY_HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-request-id",
];

/// What a caller showed as its key.
pub(crate) enum PresentedKey {
    /// Nothing.
    None,
    /// One bearer key.
    Bearer(CallerKey),
    /// Something that isn't one bearer key.
    Malformed,
}

/// Finds the caller's key.
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
    PresentedKey::Bearer(CallerKey::shown(key))
}

/// Copies the headers that may go on to a backend server.
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

/// Copies the headers of an answer that may go back to the caller.
pub(crate) fn returned(headers: &HeaderMap) -> HeaderMap {
    let mut returned = HeaderMap::new();
    for (name, value) in headers {
        let connection_option = is_connection_option(headers, name.as_str());
        if !HOP_BY_HOP.contains(&name.as_str()) && !connection_option {
            returned.append(name.clone(), value.clone());
        }
    }
    returned
}

/// Tells whether the key stands in `bytes`, plain or percent-encoded.
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

/// Makes the value of the host's own credential.
pub(crate) fn bearer(credential: &str) -> anyhow::Result<HeaderValue> {
    let mut value = HeaderValue::from_str(&format!("Bearer {credential}"))?;
    value.set_sensitive(true);
    Ok(value)
}

/// Tells whether `needle` stands somewhere in `bytes`.
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
