//! Server-sent event streams from model engines, forwarded to the caller.
//!
//! A stream is complete only if its end marker arrives. [`EventScanner`]
//! splits the bytes into events, counts tokens, reads the usage and detects
//! the end marker. It forwards complete events only, so that an error event
//! can still be appended to a stream that breaks off.

use bytes::{Bytes, BytesMut};

use super::{
    engine::{UsageCount, parse_usage},
    headers::contains,
};

/// Size limit of one event.
const MAX_EVENT_BYTES: usize = 1 << 20;
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

/// Returns the offset after the blank line that ends the first event.
fn first_event_end(buffer: &[u8], search_start: usize) -> Option<usize> {
    let tail = &buffer[search_start..];
    let offset = tail.windows(2).position(|pair| pair == b"\n\n")?;
    Some(search_start + offset + 2)
}
