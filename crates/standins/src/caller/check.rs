//! Checks a streamed answer event by event.

use std::borrow::Cow;

use memchr::memmem;
use serde::Deserialize;
use types::ErrorBody;

use super::Outcome;
use crate::completion::Completion;

/// A data event of a streamed completion.
#[derive(Debug, Deserialize)]
struct Chunk<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(default)]
    token_index: Option<u32>,
    #[serde(borrow)]
    choices: Vec<ChunkChoice<'a>>,
    #[serde(default)]
    usage: Option<Usage>,
}

#[derive(Debug, Deserialize)]
struct ChunkChoice<'a> {
    #[serde(borrow)]
    delta: Delta<'a>,
    #[serde(default)]
    finish_reason: Option<Cow<'a, str>>,
}

#[derive(Debug, Default, Deserialize)]
struct Delta<'a> {
    #[serde(default, borrow)]
    content: Option<Cow<'a, str>>,
}

/// Token counts at the end of an answer.
#[derive(Debug, Deserialize)]
pub(crate) struct Usage {
    pub(crate) completion_tokens: u32,
}

/// Checks the events of one answer as their bytes arrive.
///
/// # Invariants
///
/// Once an outcome is known, later bytes change nothing.
#[derive(Debug)]
pub(crate) struct StreamCheck {
    answer: Completion,
    request_id: String,
    next_index: u32,
    is_finished: bool,
    is_done: bool,
    buffer: Vec<u8>,
    outcome: Option<Outcome>,
}

impl StreamCheck {
    pub(crate) fn new(answer: Completion, request_id: String) -> Self {
        Self {
            answer,
            request_id,
            next_index: 0,
            is_finished: false,
            is_done: false,
            buffer: Vec::new(),
            outcome: None,
        }
    }

    /// Tokens that came so far.
    pub(crate) fn tokens(&self) -> u32 {
        self.next_index
    }

    /// Takes bytes in.
    pub(crate) fn take(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        let buffer = std::mem::take(&mut self.buffer);
        let mut rest = buffer.as_slice();
        while let Some(end) = memmem::find(rest, b"\n\n") {
            self.take_event(&rest[..end]);
            rest = &rest[end + 2..];
        }
        self.buffer = rest.to_vec();
    }

    /// The outcome at the end of the body; `clean` if the body ended as HTTP
    /// wants it.
    pub(crate) fn finish(self, clean: Result<(), String>) -> Outcome {
        if let Some(outcome) = self.outcome {
            return outcome;
        }
        let tokens = self.next_index;
        match clean {
            Ok(()) if self.is_done => Outcome::Complete { tokens },
            // Nobody takes a stream without its terminator for whole.
            Ok(()) => Outcome::Broken {
                tokens,
                code: None,
                reason: "the stream ended without [DONE]".into(),
            },
            Err(reason) if self.is_done => Outcome::Broken {
                tokens,
                code: None,
                reason: format!("after [DONE]: {reason}"),
            },
            Err(reason) => Outcome::Broken {
                tokens,
                code: None,
                reason,
            },
        }
    }

    fn take_event(&mut self, event: &[u8]) {
        if self.outcome.is_some() {
            return;
        }
        let Some(data) = event.strip_prefix(b"data: ") else {
            // Comments and other fields carry no part of the answer.
            return;
        };
        if data == b"[DONE]" {
            self.take_done();
            return;
        }
        match serde_json::from_slice::<Chunk<'_>>(data) {
            Ok(chunk) => self.take_chunk(&chunk),
            Err(_) => self.take_error(data),
        }
    }

    fn take_done(&mut self) {
        self.is_done = true;
        if !self.is_finished || self.next_index != self.answer.length {
            self.corrupt(format!(
                "[DONE] after {} of {} tokens",
                self.next_index, self.answer.length
            ));
        }
    }

    fn take_chunk(&mut self, chunk: &Chunk<'_>) {
        if *chunk.id != *self.request_id {
            return self.crossed(format!("an event of {}", chunk.id));
        }
        let Some(choice) = chunk.choices.first() else {
            return;
        };
        if let Some(content) = &choice.delta.content {
            self.take_token(chunk.token_index.unwrap_or(u32::MAX), content);
        }
        if choice.finish_reason.is_some() {
            self.is_finished = true;
            let counted = chunk.usage.as_ref().map(|usage| usage.completion_tokens);
            if counted.is_some_and(|counted| counted != self.next_index) {
                self.corrupt(format!(
                    "{} tokens came, {counted:?} were counted",
                    self.next_index
                ));
            }
        }
    }

    fn take_token(&mut self, index: u32, content: &str) {
        if self.is_finished {
            return self.corrupt(format!("token {index} after the end"));
        }
        if index != self.next_index {
            return self.corrupt(format!("token {index} in place of {}", self.next_index));
        }
        let mut expected = Vec::with_capacity(8);
        self.answer.push_token(index, &mut expected);
        if content.as_bytes() != expected {
            return self.crossed(format!("token {index} is another answer's"));
        }
        self.next_index += 1;
    }

    fn take_error(&mut self, data: &[u8]) {
        let text = String::from_utf8_lossy(data).into_owned();
        match serde_json::from_slice::<ErrorBody>(data) {
            Ok(body) => {
                self.outcome = Some(Outcome::Broken {
                    tokens: self.next_index,
                    code: Some(body.error.code),
                    reason: text,
                });
            }
            Err(_) => self.corrupt(format!("not an event of a completion: {text}")),
        }
    }

    fn crossed(&mut self, reason: String) {
        self.outcome = Some(Outcome::Crossed { reason });
    }

    fn corrupt(&mut self, reason: String) {
        self.outcome = Some(Outcome::Corrupt { reason });
    }
}

/// A whole answer.
#[derive(Debug, Deserialize)]
struct WholeAnswer {
    id: String,
    choices: Vec<WholeChoice>,
    usage: Usage,
}

#[derive(Debug, Deserialize)]
struct WholeChoice {
    message: WholeMessage,
}

#[derive(Debug, Deserialize)]
struct WholeMessage {
    content: String,
}

/// The outcome of an answer that came in one piece.
pub(crate) fn check_whole(answer: Completion, request_id: &str, body: &str) -> Outcome {
    let whole: WholeAnswer = match serde_json::from_str(body) {
        Ok(whole) => whole,
        Err(error) => {
            return Outcome::Corrupt {
                reason: format!("not a completion: {error}"),
            }
        }
    };
    if whole.id != request_id {
        return Outcome::Crossed {
            reason: format!("the answer of {}", whole.id),
        };
    }
    let text = whole
        .choices
        .first()
        .map_or("", |choice| choice.message.content.as_str());
    let expected = answer.text_from(0);
    if text == expected && whole.usage.completion_tokens == answer.length {
        return Outcome::Complete {
            tokens: answer.length,
        };
    }
    let same = text
        .bytes()
        .zip(expected.bytes())
        .take_while(|(got, wanted)| got == wanted)
        .count();
    if same == 0 && !expected.is_empty() && !text.is_empty() {
        return Outcome::Crossed {
            reason: "the text is another answer's".into(),
        };
    }
    Outcome::Corrupt {
        reason: format!(
            "{} of {} bytes are right, {} came",
            same,
            expected.len(),
            text.len()
        ),
    }
}
