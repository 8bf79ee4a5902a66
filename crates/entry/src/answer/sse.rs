//! Splits an upstream's event stream at event borders, so that only whole
//! events of contiguous tokens reach a caller.
//!
//! Pure: bytes go in, releasable bytes come out. Nothing is parsed beyond the
//! few markers that tell a token's event from the end of the stream.

use memchr::memmem;

/// End of an event.
const EVENT_END: &[u8] = b"\n\n";
/// Marker of an event that carries a token; inside a JSON string the quotes
/// would be escaped.
const TOKEN_INDEX: &[u8] = b"\"token_index\":";
/// Marker of the event that ends an answer.
const FINISH_REASON: &[u8] = b"\"finish_reason\":\"";
/// The last event of a whole stream.
const TERMINATOR: &[u8] = b"data: [DONE]\n\n";
/// Room offered to one read, in bytes.
const READ_BYTES: usize = 16 << 10;
/// Largest event, in bytes.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// The stream is not one that may reach a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// A token is missing, doubled or out of order.
    #[error("token {found} came where token {expected} was due")]
    UnexpectedToken {
        /// Index that was due.
        expected: u32,
        /// Index that came.
        found: u32,
    },
    /// An event carries a token index that is no number.
    #[error("a token's index is not a number")]
    InvalidTokenIndex,
    /// An event came after the end of the answer.
    #[error("an event came after the end of the answer")]
    AfterEnd,
    /// An event is larger than the splitter holds.
    #[error("an event has more than {EVENT_MAX_BYTES} bytes")]
    TooLarge,
    /// The stream ended without its terminator.
    #[error("the stream broke off")]
    Truncated,
}

/// Splits one answer's stream, over all attempts that deliver it.
///
/// # Invariants
///
/// `taken <= released <= scanned <= end <= buffer.len()`. Released bytes are
/// whole events; `tokens` is the number of token events among all bytes ever
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
    /// Makes an empty splitter that expects token 0 first.
    pub fn new() -> Self {
        Self::default()
    }

    /// Tokens released so far, over all attempts.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Room for the next read; never empty.
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

    /// Moves the offsets after the bytes in use went to the buffer's start.
    fn rebase(&mut self, end: usize) {
        self.released -= self.consumed;
        self.scanned -= self.consumed;
        self.consumed = 0;
        self.end = end;
    }

    /// Takes in `count` bytes that were read into [`EventSplitter::space`].
    ///
    /// # Errors
    ///
    /// [`EventError`] when the stream must not reach the caller; events before
    /// the fault stay released.
    pub fn filled(&mut self, count: usize) -> Result<(), EventError> {
        self.end = (self.end + count).min(self.buffer.len());
        // An event's end may straddle two reads.
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
            // Without the finishing event before it, this ends no answer.
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

    /// Notes the true end of the upstream's stream and releases the rest.
    ///
    /// # Errors
    ///
    /// [`EventError::Truncated`] when the terminator or the end of an event is missing.
    pub fn finish(&mut self) -> Result<(), EventError> {
        if !self.terminated || self.scanned != self.end {
            return Err(EventError::Truncated);
        }
        self.released = self.end;
        Ok(())
    }

    /// Drops what is not released; another attempt goes on at the next token.
    pub fn restart(&mut self) {
        self.end = self.released;
        self.scanned = self.released;
        self.finishing = false;
        self.terminated = false;
    }

    /// Bytes that may go to the caller.
    pub fn ready(&self) -> &[u8] {
        &self.buffer[self.consumed..self.released]
    }

    /// Notes that `count` of the ready bytes went to the caller.
    pub fn consume(&mut self, count: usize) {
        self.consumed = (self.consumed + count).min(self.released);
    }
}

/// The token index of an event, if it carries a token.
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
