//! A request in the engine: its completion, its progress and the bytes not yet
//! read by its connection.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    task::Waker,
    time::Instant,
};

use serde_json::json;

use super::Faults;
use crate::completion::Completion;

/// State of a request in the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Queued until a slot of the batch is free.
    Waiting,
    /// In the batch; generates tokens after the prefill.
    Running {
        /// End of the prefill, before which no token is generated.
        ready_at: Instant,
    },
    /// Ended with a regular end of the HTTP body; the completion in it may still
    /// be truncated by a fault.
    Ended,
    /// Ended by a fault or a cancellation that closes the connection.
    Aborted,
}

/// Result of a generation step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// A token was generated.
    Token,
    /// The response ended, or a fault closes the connection.
    End,
    /// An injected fault requires that the process aborts.
    Crash,
}

/// Parameters of a chat request with the completion derived from its prompt.
#[derive(Clone, Debug)]
pub(crate) struct RequestParams {
    pub(crate) request_id: String,
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) completion: Completion,
    pub(crate) priority: u8,
    pub(crate) resume_from: u32,
}

/// A request that is shared by its connection and the batch.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    /// Number that is unique within the process; request ids may repeat.
    pub(crate) number: u64,
    pub(crate) params: RequestParams,
    progress: Mutex<Progress>,
}

/// Mutable state of a request.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) phase: Phase,
    pub(crate) next_index: u32,
    /// Rendered events; the connection has read the bytes before `sent`.
    pub(crate) bytes: Vec<u8>,
    pub(crate) sent: usize,
    pub(crate) waker: Option<Waker>,
    token_repeated: bool,
    template: EventTemplate,
}

/// Parts of a token event that are the same for all tokens of a request.
#[derive(Debug)]
struct EventTemplate {
    /// Start of the event, up to and including the model.
    head: String,
    completion: Completion,
}

const DONE: &[u8] = b"data: [DONE]\n\n";
const TOKEN_INDEX_PART: &[u8] = b",\"token_index\":";
const CHOICE_PART: &[u8] = b",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"";
const TOKEN_EVENT_END: &[u8] = b"\"},\"finish_reason\":null}]}\n\n";

impl ActiveRequest {
    pub(crate) fn new(number: u64, params: RequestParams, faults: &Faults) -> Self {
        let mut completion = params.completion;
        let mut id = params.request_id.clone();
        if faults.cross_events() {
            completion = completion.crossed();
            id = format!("not-{id}");
        }
        let head = format!(
            "data: {{\"id\":{},\"object\":\"chat.completion.chunk\",\"model\":{}",
            json!(id),
            json!(params.model),
        );
        let progress = Progress {
            phase: Phase::Waiting,
            next_index: params.resume_from,
            bytes: Vec::new(),
            sent: 0,
            waker: None,
            token_repeated: false,
            template: EventTemplate { head, completion },
        };
        Self {
            number,
            params,
            progress: Mutex::new(progress),
        }
    }

    pub(crate) fn progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the KV-cache usage of the request, in tokens.
    pub(crate) fn kv_tokens(&self) -> u64 {
        u64::from(self.params.completion.prompt_tokens) + u64::from(self.progress().next_index)
    }
}

impl Progress {
    pub(crate) fn is_finished(&self) -> bool {
        matches!(self.phase, Phase::Ended | Phase::Aborted)
    }

    /// Generates the next token or the end of the response and applies faults.
    pub(crate) fn step(&mut self, faults: &Faults) -> Step {
        let index = self.next_index;
        if faults.crash_at_token == Some(index) {
            return Step::Crash;
        }
        if faults.drop_before_first_token {
            return self.end(Phase::Aborted);
        }
        if faults.truncate_at_token.is_some_and(|at| index >= at) {
            if faults.clean_end {
                self.bytes.extend_from_slice(DONE);
                return self.end(Phase::Ended);
            }
            return self.end(Phase::Aborted);
        }
        if index >= self.template.completion.length {
            self.push_final_events(index);
            return self.end(Phase::Ended);
        }
        if faults.skip_token != Some(index) {
            self.push_token(index);
        }
        if faults.repeat_token == Some(index) && !self.token_repeated {
            self.token_repeated = true;
        } else {
            self.next_index += 1;
        }
        Step::Token
    }

    fn end(&mut self, phase: Phase) -> Step {
        self.phase = phase;
        Step::End
    }

    fn push_token(&mut self, index: u32) {
        self.bytes.extend_from_slice(self.template.head.as_bytes());
        self.bytes.extend_from_slice(TOKEN_INDEX_PART);
        push_number(index, &mut self.bytes);
        self.bytes.extend_from_slice(CHOICE_PART);
        self.template.completion.push_token(index, &mut self.bytes);
        self.bytes.extend_from_slice(TOKEN_EVENT_END);
    }

    /// Appends the finish event and `[DONE]`; `completion_tokens` includes the
    /// tokens before `resume_from`.
    fn push_final_events(&mut self, completion_tokens: u32) {
        let prompt_tokens = self.template.completion.prompt_tokens;
        let total_tokens = u64::from(prompt_tokens) + u64::from(completion_tokens);
        let end = format!(
            "{},\"choices\":[{{\"index\":0,\"delta\":{{}},\
             \"finish_reason\":\"stop\"}}],\"usage\":{{\"prompt_tokens\":{prompt_tokens},\
             \"completion_tokens\":{completion_tokens},\"total_tokens\":{total_tokens}}}}}\n\n\
             data: [DONE]\n\n",
            self.template.head
        );
        self.bytes.extend_from_slice(end.as_bytes());
    }

    /// Wakes the task that waits for new bytes.
    pub(crate) fn wake(&mut self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

/// Appends `number` as decimal digits.
fn push_number(number: u32, bytes: &mut Vec<u8>) {
    if number >= 10 {
        push_number(number / 10, bytes);
    }
    bytes.push(b'0' + (number % 10) as u8);
}
