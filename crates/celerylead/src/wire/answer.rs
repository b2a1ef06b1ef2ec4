//! Server-sent event streams from model engines, forwarded to the caller.
//!
//! A stream is complete only if its end marker arrives. [`EventScanner`]
//! splits the bytes into events, counts tokens, reads the usage and detects
//! the end marker. It forwards complete events only, so that an error event
//! can still be appended to a stream that breaks off.

use bytes::{Bytes, BytesMut};
use hyper::{
    header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING},
    http::response,
};

use super::{
    engine::{UsageCount, parse_usage},
    headers::contains,
};

/// Size limit of one event.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Media type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";
/// Data of the event that ends a complete stream.
const END_MARKER: &[u8] = b"[DONE]";

/// Scans an event stream while it is forwarded.
#[derive(Debug, Default)]
pub(crate) struct EventScanner {
    buffer: BytesMut,
    /// Number of events that carried output, which counts as the number of
    /// output tokens.
    pub(crate) tokens: u64,
    /// Usage, once an event has stated it.
    pub(crate) usage: Option<UsageCount>,
    /// Whether the end marker has arrived.
    pub(crate) complete: bool,
    /// Whether an event that carries only the usage is forwarded.
    wants_usage: bool,
}

impl EventScanner {
    /// Creates a scanner. Unless the caller asked for the usage, the scanner
    /// drops an event that carries nothing else.
    pub(crate) fn new(wants_usage: bool) -> EventScanner {
        EventScanner { wants_usage, ..EventScanner::default() }
    }

    /// Adds received bytes and returns the complete events to forward.
    ///
    /// # Errors
    ///
    /// Returns an error if an event exceeds the size limit.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> anyhow::Result<Bytes> {
        let mut search_start = self.buffer.len().saturating_sub(1);
        self.buffer.extend_from_slice(bytes);
        let mut forwarded = BytesMut::new();
        while let Some(end) = first_event_end(&self.buffer, search_start) {
            let event = self.buffer.split_to(end);
            search_start = 0;
            if self.inspect(&event) {
                forwarded.extend_from_slice(&event);
            }
        }
        if MAX_EVENT_BYTES < self.buffer.len() {
            anyhow::bail!("an event is larger than {MAX_EVENT_BYTES} bytes");
        }
        Ok(forwarded.freeze())
    }

    /// Records the contents of an event and returns whether to forward it.
    fn inspect(&mut self, event: &[u8]) -> bool {
        let Some(data) = event.strip_prefix(b"data:") else {
            return true;
        };
        let data = data.trim_ascii();
        if data == END_MARKER {
            self.complete = true;
            return true;
        }
        if !contains(data, b"\"usage\"") {
            self.tokens += 1;
            return true;
        }
        match parse_usage(data) {
            Some(usage) => {
                self.usage = Some(usage);
                let only_usage = contains(data, b"\"choices\":[]");
                self.wants_usage || !only_usage
            }
            None => {
                self.tokens += 1;
                true
            }
        }
    }
}

/// Tells whether a stream of events has ended between two of them, without
/// keeping any event.
///
/// A stream that ends inside an event was broken off, however its end was
/// framed. One whose end is nothing but that of its connection must have had an
/// event at least.
#[derive(Debug)]
pub(crate) struct EventBoundary {
    /// The last bytes, of which the end of a blank line takes four at most.
    tail: [u8; 4],
    /// Whether the stream may end before its first event.
    may_be_empty: bool,
}

impl EventBoundary {
    /// Returns the tracker of a body, unless it isn't a stream of events.
    pub(crate) fn of_answer(head: &response::Parts) -> Option<EventBoundary> {
        let kind = head.headers.get(CONTENT_TYPE)?.as_bytes();
        let is_events = kind
            .get(..EVENT_STREAM.len())
            .is_some_and(|kind| kind.eq_ignore_ascii_case(EVENT_STREAM));
        let may_be_empty = is_framed(head);
        is_events.then_some(EventBoundary { tail: [0; 4], may_be_empty })
    }

    /// Adds received bytes.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        let kept = bytes.len().min(self.tail.len());
        self.tail.rotate_left(kept);
        let start = self.tail.len() - kept;
        self.tail[start..].copy_from_slice(&bytes[bytes.len() - kept..]);
        self.may_be_empty &= bytes.is_empty();
    }

    /// Returns whether the stream may end here.
    pub(crate) fn may_end(&self) -> bool {
        let blank_lines: [&[u8]; 4] = [b"\n\n", b"\r\r", b"\n\r\n", b"\r\n\r"];
        self.may_be_empty
            || blank_lines.iter().any(|line| self.tail.ends_with(line))
    }
}

/// Returns whether the end of an answer's body shows by itself: it has a length
/// or comes in chunks.
pub(crate) fn is_framed(head: &response::Parts) -> bool {
    head.headers.contains_key(CONTENT_LENGTH)
        || head.headers.contains_key(TRANSFER_ENCODING)
}

/// Returns the offset after the blank line that ends the first event.
fn first_event_end(buffer: &[u8], search_start: usize) -> Option<usize> {
    let tail = &buffer[search_start..];
    let offset = tail.windows(2).position(|pair| pair == b"\n\n")?;
    Some(search_start + offset + 2)
}
