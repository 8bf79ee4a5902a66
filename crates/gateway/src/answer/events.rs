//! Cuts a byte stream into whole server-sent events.

use std::ops::Range;

use memchr::memmem;

/// Largest event that is held, in bytes.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// Bytes that make no event of a bounded size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event has more than {EVENT_MAX_BYTES} bytes")]
pub(crate) struct TooLarge;

/// Whole events of one answer, over any number of runs.
///
/// # Invariants
///
/// - Only whole events become ready.
/// - Event ids only rise: an event whose id is not above the last one was
///   delivered already, by the run before, and is left out.
#[derive(Debug, Default)]
pub(crate) struct Events {
    /// Bytes that are no whole event yet.
    partial: Vec<u8>,
    /// Whole events that were not taken yet.
    ready: Vec<u8>,
    taken: usize,
    last_id: Option<u64>,
    count: u32,
}

impl Events {
    /// Starts after an event that the caller has already.
    pub(crate) fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Takes in bytes.
    ///
    /// # Errors
    ///
    /// [`TooLarge`] if no event ends within the bound.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<(), TooLarge> {
        // An event's end may straddle two pieces.
        let mut search = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let mut start = 0;
        while let Some(end) = event_end(&self.partial, search) {
            self.take_in(start..end);
            start = end;
            search = end;
        }
        self.partial.drain(..start);
        match self.partial.len() > EVENT_MAX_BYTES {
            true => Err(TooLarge),
            false => Ok(()),
        }
    }

    /// Drops what is no whole event; another run goes on after the last one.
    pub(crate) fn restart(&mut self) {
        self.partial.clear();
    }

    /// Whether the bytes end with a whole event.
    pub(crate) fn is_whole(&self) -> bool {
        self.partial.is_empty()
    }

    /// Bytes that may go to the caller.
    pub(crate) fn ready(&self) -> &[u8] {
        &self.ready[self.taken..]
    }

    /// Notes that `count` of the ready bytes went to the caller.
    pub(crate) fn consume(&mut self, count: usize) {
        self.taken += count;
        if self.taken >= self.ready.len() {
            self.ready.clear();
            self.taken = 0;
        }
    }

    /// Id of the last whole event, or of the one started after.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Events that became ready.
    pub(crate) fn count(&self) -> u32 {
        self.count
    }

    fn take_in(&mut self, range: Range<usize>) {
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

/// End of the first event that ends after `from`.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let plain = memmem::find(&bytes[from..], b"\n\n").map(|at| from + at + 2);
    let with_returns = memmem::find(&bytes[from..], b"\r\n\r\n").map(|at| from + at + 4);
    match (plain, with_returns) {
        (Some(one), Some(other)) => Some(one.min(other)),
        (one, other) => one.or(other),
    }
}

/// The number in an event's `id` field.
fn event_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
