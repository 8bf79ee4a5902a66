//! Checks that an event stream is the request's own and whole.
//!
//! Pure: bytes in, checked whole events out.

use std::borrow::Cow;

use memchr::memmem;
use serde::Deserialize;
use types::RequestId;

/// Longest event, in bytes.
const EVENT_MAX_BYTES: usize = 1 << 20;

const EVENT_END: &[u8] = b"\n\n";
const DATA_PREFIX: &[u8] = b"data:";
const DONE: &[u8] = b"[DONE]";

/// What is wrong with an upstream's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Mismatch {
    /// It carries another request's id.
    #[error("the upstream's answer belongs to another request")]
    OtherRequest,
    /// A token is missing or came twice.
    #[error("the upstream sent token {got} where {expected} was due")]
    Gap {
        /// Index that was due.
        expected: u32,
        /// Index that came.
        got: u32,
    },
    /// The final count differs from the tokens sent.
    #[error("the upstream counts {stated} tokens, but {received} came")]
    Count {
        /// The upstream's count.
        stated: u32,
        /// Tokens received.
        received: u32,
    },
    /// It ended too early.
    #[error("the upstream's answer ended early")]
    Truncated,
    /// Something follows the end.
    #[error("the upstream's answer goes on after its end")]
    AfterEnd,
    /// An event is not what the engine's API describes.
    #[error("the upstream's answer is malformed")]
    Malformed,
    /// An event or answer exceeds the bound.
    #[error("the upstream's answer is too large")]
    TooLarge,
    /// A plain service's answer states no length.
    #[error("the upstream's answer states no length")]
    NoLength,
}

/// How far an answer has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// Tokens are due.
    Tokens,
    /// The count was right; the end marker is due.
    Counted,
    /// The end marker has come.
    Done,
}

/// Checks one answer, event by event.
///
/// # Invariants
///
/// `pending` holds the start of an event whose end has not come yet.
/// `next_index` only rises, by one for each token.
#[derive(Debug)]
pub(crate) struct EventCheck {
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

impl EventCheck {
    /// Expects the answer of `request_id` from token `resume_from` on.
    pub(crate) fn new(request_id: RequestId, resume_from: u32) -> Self {
        Self {
            request_id,
            next_index: resume_from,
            progress: Progress::Tokens,
            pending: Vec::new(),
        }
    }

    /// Index of the token that is due; the tokens generated in all so far.
    pub(crate) fn next_index(&self) -> u32 {
        self.next_index
    }

    /// How far the answer has come.
    pub(crate) fn progress(&self) -> Progress {
        self.progress
    }

    /// Expects a new answer that goes on after the last checked token.
    pub(crate) fn restart(&mut self) {
        self.pending.clear();
        self.progress = Progress::Tokens;
    }

    /// Checks received bytes and appends each whole event to `checked`.
    ///
    /// # Errors
    ///
    /// The first mismatch; `checked` then has the events before it.
    pub(crate) fn push(&mut self, bytes: &[u8], checked: &mut Vec<u8>) -> Result<(), Mismatch> {
        if self.pending.is_empty() {
            let used = self.check_events(bytes, checked)?;
            self.pending.extend_from_slice(&bytes[used..]);
        } else {
            let mut joined = std::mem::take(&mut self.pending);
            joined.extend_from_slice(bytes);
            let used = self.check_events(&joined, checked)?;
            joined.drain(..used);
            self.pending = joined;
        }
        if self.pending.len() > EVENT_MAX_BYTES {
            return Err(Mismatch::TooLarge);
        }
        Ok(())
    }

    /// Checks that the answer may end here.
    ///
    /// # Errors
    ///
    /// [`Mismatch::Truncated`] before the end marker.
    pub(crate) fn end(&self) -> Result<(), Mismatch> {
        if self.progress != Progress::Done {
            return Err(Mismatch::Truncated);
        }
        if !self.pending.is_empty() {
            return Err(Mismatch::AfterEnd);
        }
        Ok(())
    }

    /// Checks the whole events at the start of `bytes`; returns their length.
    fn check_events(&mut self, bytes: &[u8], checked: &mut Vec<u8>) -> Result<usize, Mismatch> {
        let mut used = 0;
        for end in memmem::find_iter(bytes, EVENT_END) {
            let after = end + EVENT_END.len();
            let event = &bytes[used..after];
            if self.check_event(&bytes[used..end])? {
                checked.extend_from_slice(event);
            }
            used = after;
        }
        Ok(used)
    }

    /// Checks one event; `false` when it carries nothing.
    fn check_event(&mut self, event: &[u8]) -> Result<bool, Mismatch> {
        if event.is_empty() || event[0] == b':' {
            return Ok(false);
        }
        let data = event.strip_prefix(DATA_PREFIX).ok_or(Mismatch::Malformed)?;
        let data = data.trim_ascii();
        match self.progress {
            Progress::Done => return Err(Mismatch::AfterEnd),
            Progress::Counted if data == DONE => {
                self.progress = Progress::Done;
                return Ok(true);
            }
            _ if data == DONE => return Err(Mismatch::Truncated),
            Progress::Counted => return Err(Mismatch::AfterEnd),
            Progress::Tokens => {}
        }
        let event: Event<'_> = serde_json::from_slice(data).map_err(|_| Mismatch::Malformed)?;
        self.check_fields(&event)?;
        Ok(true)
    }

    fn check_fields(&mut self, event: &Event<'_>) -> Result<(), Mismatch> {
        if event.id != self.request_id.as_str() {
            return Err(Mismatch::OtherRequest);
        }
        if let Some(got) = event.token_index {
            if got != self.next_index {
                let expected = self.next_index;
                return Err(Mismatch::Gap { expected, got });
            }
            self.next_index += 1;
        }
        match &event.usage {
            Some(usage) if usage.completion_tokens == self.next_index => {
                self.progress = Progress::Counted;
                Ok(())
            }
            Some(usage) => Err(Mismatch::Count {
                stated: usage.completion_tokens,
                received: self.next_index,
            }),
            None if event.token_index.is_none() => Err(Mismatch::Malformed),
            None => Ok(()),
        }
    }
}
