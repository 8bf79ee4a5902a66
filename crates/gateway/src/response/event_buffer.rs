//! Splits a byte stream into complete server-sent events.

use std::ops::Range;

use memchr::memmem;

/// Maximum number of bytes that may arrive without completing a new event. Also
/// bounds the memory of an incomplete event: the smallest machines have 88 MB
/// for some hundred streams.
const EVENT_MAX_BYTES: usize = 128 << 10;

/// More than [`EVENT_MAX_BYTES`] arrived without a new complete event: an event
/// is too large, or the instance repeats events that were already delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no new event is complete after {EVENT_MAX_BYTES} bytes")]
pub(crate) struct NoNewEvent;

/// Complete events of one response, over any number of attempts.
///
/// # Invariants
///
/// - Only complete events become ready.
/// - Event ids increase: an event whose id is not above the last one was
///   already delivered by an earlier attempt and is dropped.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    /// Bytes of an incomplete event.
    partial: Vec<u8>,
    /// Bytes received since the last new event was complete.
    bytes_since_event: usize,
    /// Complete events; the first `consumed` bytes were already relayed.
    ready: Vec<u8>,
    consumed: usize,
    last_id: Option<u64>,
    count: u32,
}

impl EventBuffer {
    /// Creates a buffer for a response that continues after the given event id.
    pub(crate) fn resuming_after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Appends received bytes and makes the events that they complete ready.
    ///
    /// # Errors
    ///
    /// [`NoNewEvent`] if [`EVENT_MAX_BYTES`] arrived without a new event.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<(), NoNewEvent> {
        let count_before = self.count;
        // The end of an event may be split across two reads.
        let mut search = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let mut start = 0;
        while let Some(end) = event_end(&self.partial, search) {
            self.append_event(start..end);
            start = end;
            search = end;
        }
        self.partial.drain(..start);
        self.bytes_since_event = match self.count > count_before {
            true => self.partial.len(),
            false => self.bytes_since_event + bytes.len(),
        };
        match self.bytes_since_event > EVENT_MAX_BYTES {
            true => Err(NoNewEvent),
            false => Ok(()),
        }
    }

    /// Discards an incomplete event, so that another attempt can resume after
    /// the last complete one.
    pub(crate) fn discard_partial(&mut self) {
        self.partial.clear();
        self.bytes_since_event = 0;
    }

    /// Returns whether the received bytes end with a complete event.
    pub(crate) fn is_at_event_boundary(&self) -> bool {
        self.partial.is_empty()
    }

    /// Returns the complete events that were not relayed yet.
    pub(crate) fn ready(&self) -> &[u8] {
        &self.ready[self.consumed..]
    }

    /// Marks the first `count` ready bytes as relayed to the caller.
    pub(crate) fn consume(&mut self, count: usize) {
        self.consumed += count;
        if self.consumed >= self.ready.len() {
            self.ready.clear();
            self.consumed = 0;
        }
    }

    /// Returns the id of the last complete event, or the one that the response
    /// continues after.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of events that became ready.
    pub(crate) fn count(&self) -> u32 {
        self.count
    }

    /// Makes an event ready, unless its id was already delivered.
    fn append_event(&mut self, range: Range<usize>) {
        let event = &self.partial[range];
        if let Some(id) = event_id(event) {
            if self.last_id.is_some_and(|last| id <= last) {
                return;
            }
            self.last_id = Some(id);
        }
        self.ready.extend_from_slice(event);
        self.count += 1;
    }
}

/// Returns the end offset of the first event that ends after `from`.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let lf_end = memmem::find(&bytes[from..], b"\n\n").map(|at| from + at + 2);
    let crlf_end = memmem::find(&bytes[from..], b"\r\n\r\n").map(|at| from + at + 4);
    match (lf_end, crlf_end) {
        (Some(lf), Some(crlf)) => Some(lf.min(crlf)),
        (lf, crlf) => lf.or(crlf),
    }
}

/// Parses the `id` field of an event; `None` if it is missing or not a number.
fn event_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
