//! Memory and connections that callers may take of a host.
//!
//! Nothing in this module reads a clock or a socket.
//!
//! * [`IntakeLimits`] divides the memory and the descriptors of a host: bytes
//!   of bodies, a share of them for small bodies, tables of headers,
//!   connections.
//! * A [`BodyLedger`] decides which body may take the next piece of the common
//!   room, and which one gives way to it. Small bodies only reach the ledger
//!   when their own share is used up.
//! * [`BodyProgress`] tells until when a body must go on, and from when on its
//!   connection gives way to others.
//! * A [`ConnectionQueue`] decides which connection gives way to a new one.

mod connections;
mod ledger;
mod limits;
mod progress;
#[cfg(test)]
mod tests;

pub(crate) use self::{
    connections::{ConnectionEvent, ConnectionId, ConnectionQueue},
    ledger::{BodyAction, BodyId, BodyLedger, BodyRequest},
    limits::{IntakeLimits, SMALL_BODY_BYTES, header_room, max_headers},
    progress::BodyProgress,
};

/// Smallest piece of the common room that a body takes at once.
const MIN_PIECE_BYTES: usize = 64 << 10;
/// First piece of a body that doesn't announce its length.
const FIRST_PIECE_BYTES: usize = 4 << 10;

/// Returns how many bytes a body takes next that has room for `held` bytes and
/// may have `limit`. A small announced body takes its length at once, any other
/// one pieces that double, so that it takes few.
pub(crate) fn next_piece(
    held: usize,
    limit: usize,
    announced: Option<usize>,
) -> usize {
    let end = announced.unwrap_or(limit).min(limit);
    let left = end.saturating_sub(held);
    let piece = match announced {
        Some(length) if length <= SMALL_BODY_BYTES => left,
        Some(_) => held.max(MIN_PIECE_BYTES),
        None if held < SMALL_BODY_BYTES => held.max(FIRST_PIECE_BYTES),
        None => held.max(MIN_PIECE_BYTES),
    };
    piece.min(left)
}
