//! Compares streamed and buffered completions with the expected tokens.

use std::borrow::Cow;

use memchr::memmem;
use serde::Deserialize;
use types::ErrorBody;

use super::Outcome;
use crate::completion::Completion;

/// Data event of a streamed completion.
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

/// Token counts at the end of a completion.
#[derive(Debug, Deserialize)]
pub(crate) struct Usage {
    pub(crate) completion_tokens: u32,
}

/// Checks the events of one streamed response as bytes arrive.
///
/// # Invariants
///
/// Once an outcome is set, later bytes do not change it.
#[derive(Debug)]
pub(crate) struct StreamChecker {
    completion: Completion,
    request_id: String,
    next_index: u32,
    is_finished: bool,
    is_done: bool,
    buffer: Vec<u8>,
    outcome: Option<Outcome>,
}

impl StreamChecker {
    pub(crate) fn new(completion: Completion, request_id: String) -> Self {
        Self {
            completion,
            request_id,
            next_index: 0,
            is_finished: false,
            is_done: false,
            buffer: Vec::new(),
            outcome: None,
        }
    }

    /// Returns the number of correct tokens received so far.
    pub(crate) fn tokens(&self) -> u32 {
        self.next_index
    }

    /// Appends received bytes and checks all events that are complete.
    pub(crate) fn push_bytes(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        let buffer = std::mem::take(&mut self.buffer);
        let mut rest = buffer.as_slice();
        while let Some(end) = memmem::find(rest, b"\n\n") {
            self.on_event(&rest[..end]);
            rest = &rest[end + 2..];
        }
        self.buffer = rest.to_vec();
    }

    /// Returns the outcome at the end of the body. `body_end` is an error if the
    /// connection failed before the HTTP body was complete.
    pub(crate) fn finish(self, body_end: Result<(), String>) -> Outcome {
        if let Some(outcome) = self.outcome {
            return outcome;
        }
        let tokens = self.next_index;
        match body_end {
            Ok(()) if self.is_done => Outcome::Complete { tokens },
            // The missing terminator shows the caller that the stream is
            // incomplete, so this is not a wrong response.
            Ok(()) => Outcome::Broken {
                tokens,
                code: None,
                reason: "the stream ended without [DONE]".into(),
            },
            Err(reason) if self.is_done => Outcome::Broken {
                tokens,
                code: None,
                reason: format!("connection error after [DONE]: {reason}"),
            },
            Err(reason) => Outcome::Broken {
                tokens,
                code: None,
                reason,
            },
        }
    }

    fn on_event(&mut self, event: &[u8]) {
        if self.outcome.is_some() {
            return;
        }
        let Some(data) = event.strip_prefix(b"data: ") else {
            // Comments and other fields carry no part of the completion.
            return;
        };
        if data == b"[DONE]" {
            self.on_done();
            return;
        }
        match serde_json::from_slice::<Chunk<'_>>(data) {
            Ok(chunk) => self.on_chunk(&chunk),
            Err(_) => self.on_error_event(data),
        }
    }

    fn on_done(&mut self) {
        self.is_done = true;
        if !self.is_finished || self.next_index != self.completion.length {
            self.set_corrupt(format!(
                "[DONE] after {} of {} expected tokens",
                self.next_index, self.completion.length
            ));
        }
    }

    fn on_chunk(&mut self, chunk: &Chunk<'_>) {
        if *chunk.id != *self.request_id {
            return self.set_crossed(format!("event of request {}", chunk.id));
        }
        let Some(choice) = chunk.choices.first() else {
            return;
        };
        if let Some(content) = &choice.delta.content {
            self.on_token(chunk.token_index.unwrap_or(u32::MAX), content);
        }
        if choice.finish_reason.is_some() {
            self.is_finished = true;
            let counted = chunk.usage.as_ref().map(|usage| usage.completion_tokens);
            if counted.is_some_and(|counted| counted != self.next_index) {
                self.set_corrupt(format!(
                    "received {} tokens, but `usage` counts {counted:?}",
                    self.next_index
                ));
            }
        }
    }

    fn on_token(&mut self, index: u32, content: &str) {
        if self.is_finished {
            return self.set_corrupt(format!("token {index} after the finish event"));
        }
        if index != self.next_index {
            return self.set_corrupt(format!(
                "received token {index}, expected {}",
                self.next_index
            ));
        }
        let mut expected = Vec::with_capacity(8);
        self.completion.push_token(index, &mut expected);
        if content.as_bytes() != expected {
            return self.set_crossed(format!("token {index} belongs to another response"));
        }
        self.next_index += 1;
    }

    fn on_error_event(&mut self, data: &[u8]) {
        let text = String::from_utf8_lossy(data).into_owned();
        match serde_json::from_slice::<ErrorBody>(data) {
            Ok(body) => {
                self.outcome = Some(Outcome::Broken {
                    tokens: self.next_index,
                    code: Some(body.error.code),
                    reason: text,
                });
            }
            Err(_) => self.set_corrupt(format!(
                "event is neither a completion chunk nor an error: {text}"
            )),
        }
    }

    fn set_crossed(&mut self, reason: String) {
        self.outcome = Some(Outcome::Crossed { reason });
    }

    fn set_corrupt(&mut self, reason: String) {
        self.outcome = Some(Outcome::Corrupt { reason });
    }
}

/// Completion that is not streamed.
#[derive(Debug, Deserialize)]
struct BufferedCompletion {
    id: String,
    choices: Vec<BufferedChoice>,
    usage: Usage,
}

#[derive(Debug, Deserialize)]
struct BufferedChoice {
    message: BufferedMessage,
}

#[derive(Debug, Deserialize)]
struct BufferedMessage {
    content: String,
}

/// Checks a response that is not streamed against the expected completion.
pub(crate) fn check_buffered(completion: Completion, request_id: &str, body: &str) -> Outcome {
    let received: BufferedCompletion = match serde_json::from_str(body) {
        Ok(received) => received,
        Err(error) => {
            return Outcome::Corrupt {
                reason: format!("body is not a completion: {error}"),
            }
        }
    };
    if received.id != request_id {
        return Outcome::Crossed {
            reason: format!("response to request {}", received.id),
        };
    }
    let text = received
        .choices
        .first()
        .map_or("", |choice| choice.message.content.as_str());
    let expected = completion.text_from(0);
    if text == expected && received.usage.completion_tokens == completion.length {
        return Outcome::Complete {
            tokens: completion.length,
        };
    }
    let matching_bytes = text
        .bytes()
        .zip(expected.bytes())
        .take_while(|(byte, expected_byte)| byte == expected_byte)
        .count();
    if matching_bytes == 0 && !expected.is_empty() && !text.is_empty() {
        return Outcome::Crossed {
            reason: "the text belongs to another response".into(),
        };
    }
    Outcome::Corrupt {
        reason: format!(
            "the first {} of {} expected bytes match, received {} bytes",
            matching_bytes,
            expected.len(),
            text.len()
        ),
    }
}
