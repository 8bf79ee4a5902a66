//! Splits an upstream's event stream at event boundaries, so that a caller
//! receives only complete events with consecutive token indices.
//!
//! The splitter does no I/O. It searches events for a few markers that
//! distinguish tokens from the end of the stream, and parses no JSON.

use memchr::memmem;

/// Separator after each event.
const EVENT_END: &[u8] = b"\n\n";
/// Marker of a token event. It can't occur inside a JSON string, where its
/// quotes would be escaped.
const TOKEN_INDEX: &[u8] = b"\"token_index\":";
/// Marker of the finishing event, which ends a response. An unfinished response has
/// `null` here, without a quote.
const FINISH_REASON: &[u8] = b"\"finish_reason\":\"";
/// The last event of a complete stream.
const TERMINATOR: &[u8] = b"data: [DONE]\n\n";
/// Number of bytes by which the buffer grows. Each read gets space for at least a
/// quarter of them.
const READ_BYTES: usize = 16 << 10;
/// Size limit for a single event.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// A fault in an upstream's event stream, which ends its relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// A token is missing, duplicated or out of order.
    #[error("received token {found} where token {expected} was expected")]
    UnexpectedToken {
        /// Index after that of the last token.
        expected: u32,
        /// Index in the received event.
        found: u32,
    },
    /// A token index is not an unsigned 32-bit number.
    #[error("a token index is not an unsigned 32-bit number")]
    InvalidTokenIndex,
    /// A token came after the finishing event, or any event after the
    /// terminator.
    #[error("received an event after the end of the response")]
    AfterEnd,
    /// An event exceeds the size limit of 1 MiB.
    #[error("an event exceeds {EVENT_MAX_BYTES} bytes")]
    TooLarge,
    /// The stream ended, or its terminator came, before the response was complete.
    /// A failed read or an unresponsive agent counts as an end.
    #[error("the stream was truncated")]
    Truncated,
}

/// Buffers and splits the event stream of one response, over all attempts that
/// deliver it.
///
/// # Invariants
///
/// `consumed <= released <= scanned <= end <= buffer.len()`. Released bytes are
/// complete events; `tokens` is the number of token events among all bytes ever
/// released. From the finishing event on, nothing is released before
/// [`EventSplitter::finish`].
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    consumed: usize,
    released: usize,
    scanned: usize,
    end: usize,
    tokens: u32,
    finishing: bool,
    terminated: bool,
}

impl EventSplitter {
    /// Creates an empty splitter that expects token 0 first.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of tokens released so far, over all attempts.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns the unused part of the buffer for the next read; never empty.
    pub fn space(&mut self) -> &mut [u8] {
        if self.consumed == self.end {
            self.rebase(0);
        } else if self.buffer.len() - self.end < READ_BYTES / 4 && self.consumed > 0 {
            self.buffer.copy_within(self.consumed..self.end, 0);
            self.rebase(self.end - self.consumed);
        }
        if self.buffer.len() - self.end < READ_BYTES / 4 {
            self.buffer.resize(self.end + READ_BYTES, 0);
        }
        &mut self.buffer[self.end..]
    }

    /// Adjusts the offsets after the unconsumed bytes were moved to the start of
    /// the buffer.
    fn rebase(&mut self, end: usize) {
        self.released -= self.consumed;
        self.scanned -= self.consumed;
        self.consumed = 0;
        self.end = end;
    }

    /// Processes `count` bytes that were read into [`EventSplitter::space`].
    ///
    /// # Errors
    ///
    /// [`EventError`] if the stream is invalid. Events before the fault stay
    /// released.
    pub fn on_bytes_read(&mut self, count: usize) -> Result<(), EventError> {
        self.end = (self.end + count).min(self.buffer.len());
        // The separator of an event may be split across two reads.
        let mut search = self.scanned.max(self.end.saturating_sub(count + 1));
        while let Some(at) = memmem::find(&self.buffer[search..self.end], EVENT_END) {
            let event_end = search + at + EVENT_END.len();
            self.process_event(self.scanned, event_end)?;
            self.scanned = event_end;
            search = event_end;
        }
        if self.end - self.scanned > EVENT_MAX_BYTES {
            return Err(EventError::TooLarge);
        }
        Ok(())
    }

    fn process_event(&mut self, start: usize, event_end: usize) -> Result<(), EventError> {
        if self.terminated {
            return Err(EventError::AfterEnd);
        }
        let event = &self.buffer[start..event_end];
        if let Some(found) = token_index(event)? {
            if self.finishing {
                return Err(EventError::AfterEnd);
            }
            if found != self.tokens {
                return Err(EventError::UnexpectedToken {
                    expected: self.tokens,
                    found,
                });
            }
            self.tokens += 1;
        } else if event == TERMINATOR {
            // A terminator without a finishing event doesn't complete the response.
            if !self.finishing {
                return Err(EventError::Truncated);
            }
            self.terminated = true;
        } else if memmem::find(event, FINISH_REASON).is_some() {
            self.finishing = true;
        }
        if !self.finishing {
            self.released = event_end;
        }
        Ok(())
    }

    /// Ends the stream after the upstream's last byte and releases the withheld
    /// final events.
    ///
    /// # Errors
    ///
    /// [`EventError::Truncated`] if the terminator or the separator of the last
    /// event is missing.
    pub fn finish(&mut self) -> Result<(), EventError> {
        if !self.terminated || self.scanned != self.end {
            return Err(EventError::Truncated);
        }
        self.released = self.end;
        Ok(())
    }

    /// Discards unreleased bytes, so that another attempt can resume at the next
    /// token.
    pub fn restart(&mut self) {
        self.end = self.released;
        self.scanned = self.released;
        self.finishing = false;
        self.terminated = false;
    }

    /// Returns the released bytes that were not consumed yet.
    pub fn ready(&self) -> &[u8] {
        &self.buffer[self.consumed..self.released]
    }

    /// Marks the first `count` ready bytes as sent to the caller.
    pub fn consume(&mut self, count: usize) {
        self.consumed = (self.consumed + count).min(self.released);
    }
}

/// Returns the token index of an event; `None` if it is not a token event.
fn token_index(event: &[u8]) -> Result<Option<u32>, EventError> {
    let Some(at) = memmem::find(event, TOKEN_INDEX) else {
        return Ok(None);
    };
    let rest = event[at + TOKEN_INDEX.len()..].trim_ascii_start();
    let digits = rest.iter().take_while(|byte| byte.is_ascii_digit()).count();
    let text = std::str::from_utf8(&rest[..digits]).unwrap_or_default();
    match text.parse() {
        Ok(index) => Ok(Some(index)),
        Err(_) => Err(EventError::InvalidTokenIndex),
    }
}
