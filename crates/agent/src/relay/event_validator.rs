//! Validates that an event stream belongs to its request and is complete.
//!
//! Performs no I/O: takes received bytes and returns complete, valid events.

use std::borrow::Cow;

use memchr::memmem;
use serde::Deserialize;
use types::RequestId;

/// Maximum size of one event.
const EVENT_MAX_BYTES: usize = 1 << 20;

const EVENT_END: &[u8] = b"\n\n";
const DATA_PREFIX: &[u8] = b"data:";
const DONE: &[u8] = b"[DONE]";

/// Violation of the protocol in a response of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ResponseError {
    /// The response or an event has the id of another request.
    #[error("the upstream's response has the id of another request")]
    RequestIdMismatch,
    /// A token is missing or duplicated.
    #[error("the upstream sent token {got}, expected token {expected}")]
    UnexpectedToken {
        /// Index of the next token in sequence.
        expected: u32,
        /// Index of the received token.
        got: u32,
    },
    /// The token count in the usage event differs from the received tokens.
    #[error("the upstream reported {reported} tokens, but sent {received}")]
    TokenCountMismatch {
        /// Count in the usage event.
        reported: u32,
        /// Number of tokens received in total, including those of earlier runs
        /// and attempts.
        received: u32,
    },
    /// The response ended before its end marker or its stated length.
    #[error("the upstream's response is truncated")]
    Truncated,
    /// Data follows the usage event or the end marker.
    #[error("the upstream's response has data after its end")]
    TrailingData,
    /// An event does not conform to the engine's API.
    #[error("the upstream's response is malformed")]
    Malformed,
    /// An event or a service response exceeds its size limit.
    #[error("the upstream's response is too large")]
    TooLarge,
    /// The response of a plain service has no valid `content-length`.
    #[error("the upstream's response has no valid content-length")]
    MissingLength,
}

/// Position in an event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// More token events or the usage event are expected.
    Tokens,
    /// The usage event has the right count; the end marker is expected.
    UsageReceived,
    /// The end marker was received.
    Done,
}

/// Validates one response, event by event.
///
/// # Invariants
///
/// `pending` holds the received part of an incomplete event. `next_index` is
/// incremented by one for each token and never decreases.
#[derive(Debug)]
pub(crate) struct EventValidator {
    request_id: RequestId,
    next_index: u32,
    progress: Progress,
    pending: Vec<u8>,
}

#[derive(Deserialize)]
struct Event<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    token_index: Option<u32>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Usage {
    completion_tokens: u32,
}

impl EventValidator {
    /// Creates a validator for the response to `request_id` that starts at
    /// token `resume_from`.
    pub(crate) fn new(request_id: RequestId, resume_from: u32) -> Self {
        Self {
            request_id,
            next_index: resume_from,
            progress: Progress::Tokens,
            pending: Vec::new(),
        }
    }

    /// Returns the index of the next expected token, which equals the total
    /// number of tokens generated so far.
    pub(crate) fn next_index(&self) -> u32 {
        self.next_index
    }

    /// Returns the position in the event stream.
    pub(crate) fn progress(&self) -> Progress {
        self.progress
    }

    /// Discards a partial event and expects a new response that continues after
    /// the last validated token.
    pub(crate) fn restart(&mut self) {
        self.pending.clear();
        self.progress = Progress::Tokens;
    }

    /// Validates received bytes and appends each complete event to `checked`.
    ///
    /// # Errors
    ///
    /// Returns the first violation; `checked` then has the events before it.
    pub(crate) fn push(
        &mut self,
        bytes: &[u8],
        checked: &mut Vec<u8>,
    ) -> Result<(), ResponseError> {
        if self.pending.is_empty() {
            let used = self.validate_events(bytes, checked)?;
            self.pending.extend_from_slice(&bytes[used..]);
        } else {
            let mut joined = std::mem::take(&mut self.pending);
            joined.extend_from_slice(bytes);
            let used = self.validate_events(&joined, checked)?;
            joined.drain(..used);
            self.pending = joined;
        }
        if self.pending.len() > EVENT_MAX_BYTES {
            return Err(ResponseError::TooLarge);
        }
        Ok(())
    }

    /// Validates that the response may end here.
    ///
    /// # Errors
    ///
    /// Returns [`ResponseError::Truncated`] before the end marker, and
    /// [`ResponseError::TrailingData`] if bytes follow it.
    pub(crate) fn end(&self) -> Result<(), ResponseError> {
        if self.progress != Progress::Done {
            return Err(ResponseError::Truncated);
        }
        if !self.pending.is_empty() {
            return Err(ResponseError::TrailingData);
        }
        Ok(())
    }

    /// Validates the complete events at the start of `bytes`; returns their
    /// length.
    fn validate_events(
        &mut self,
        bytes: &[u8],
        checked: &mut Vec<u8>,
    ) -> Result<usize, ResponseError> {
        let mut used = 0;
        for end in memmem::find_iter(bytes, EVENT_END) {
            let next = end + EVENT_END.len();
            let event = &bytes[used..next];
            if self.validate_event(&bytes[used..end])? {
                checked.extend_from_slice(event);
            }
            used = next;
        }
        Ok(used)
    }

    /// Validates one event; returns `false` for an empty event or a comment,
    /// which is not forwarded.
    fn validate_event(&mut self, event: &[u8]) -> Result<bool, ResponseError> {
        if event.is_empty() || event[0] == b':' {
            return Ok(false);
        }
        let data = event
            .strip_prefix(DATA_PREFIX)
            .ok_or(ResponseError::Malformed)?;
        let data = data.trim_ascii();
        match self.progress {
            Progress::Done => return Err(ResponseError::TrailingData),
            Progress::UsageReceived if data == DONE => {
                self.progress = Progress::Done;
                return Ok(true);
            }
            _ if data == DONE => return Err(ResponseError::Truncated),
            Progress::UsageReceived => return Err(ResponseError::TrailingData),
            Progress::Tokens => {}
        }
        let event: Event<'_> =
            serde_json::from_slice(data).map_err(|_| ResponseError::Malformed)?;
        self.validate_fields(&event)?;
        Ok(true)
    }

    fn validate_fields(&mut self, event: &Event<'_>) -> Result<(), ResponseError> {
        if event.id != self.request_id.as_str() {
            return Err(ResponseError::RequestIdMismatch);
        }
        if let Some(got) = event.token_index {
            if got != self.next_index {
                let expected = self.next_index;
                return Err(ResponseError::UnexpectedToken { expected, got });
            }
            self.next_index += 1;
        }
        match &event.usage {
            Some(usage) if usage.completion_tokens == self.next_index => {
                self.progress = Progress::UsageReceived;
                Ok(())
            }
            Some(usage) => Err(ResponseError::TokenCountMismatch {
                reported: usage.completion_tokens,
                received: self.next_index,
            }),
            None if event.token_index.is_none() => Err(ResponseError::Malformed),
            None => Ok(()),
        }
    }
}
