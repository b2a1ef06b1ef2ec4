//! Event streams of engines on their way to the caller.
//!
//! A stream is whole only when its end marker came. [`EventScanner`] cuts
//! the bytes into events, counts tokens, reads the usage and sees the
//! marker; it passes whole events on, so that a stream that breaks off can
//! still be closed with an error event.

use bytes::{Bytes, BytesMut};

use super::{
    engine::{UsageCount, parse_usage},
    headers::contains,
};

/// Largest event of a stream.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Data of the event that ends a whole stream.
const END_MARKER: &[u8] = b"[DONE]";

/// Reads a stream of events as it passes.
#[derive(Debug, Default)]
pub(crate) struct EventScanner {
    buffer: BytesMut,
    /// Events that carried output.
    pub(crate) tokens: u64,
    /// Usage, once stated.
    pub(crate) usage: Option<UsageCount>,
    /// Whether the end marker came.
    pub(crate) complete: bool,
    /// Whether the event that states the usage goes to the caller.
    wants_usage: bool,
}

impl EventScanner {
    /// Makes a scanner; it drops the event that states the usage unless the
    /// caller wants it.
    pub(crate) fn new(wants_usage: bool) -> EventScanner {
        EventScanner { wants_usage, ..EventScanner::default() }
    }

    /// Takes bytes in and returns the whole events to pass on.
    ///
    /// # Errors
    ///
    /// Returns an error where an event is larger than allowed.
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

    /// Notes what an event says, and whether it goes to the caller.
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

/// Returns the place after the blank line that ends the first event.
fn first_event_end(buffer: &[u8], search_start: usize) -> Option<usize> {
    let tail = &buffer[search_start..];
    let offset = tail.windows(2).position(|pair| pair == b"\n\n")?;
    Some(search_start + offset + 2)
}
