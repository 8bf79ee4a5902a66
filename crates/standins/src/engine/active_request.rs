//! One request inside the engine: its answer, its progress and the bytes that
//! wait for its connection.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    task::Waker,
    time::Instant,
};

use serde_json::json;

use super::Faults;
use crate::completion::Completion;

/// Where a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// In the engine's queue.
    Waiting,
    /// In the batch; tokens come from then on.
    Running {
        /// End of the prefill.
        ready_at: Instant,
    },
    /// Ended as the protocol says.
    Ended,
    /// Ended by a cut of the connection.
    Cut,
}

/// What a generation step came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// A token.
    Token,
    /// The end of the answer, or of the connection.
    End,
    /// The process has to abort.
    Crash,
}

/// What the request asks for.
#[derive(Clone, Debug)]
pub(crate) struct RequestParams {
    pub(crate) request_id: String,
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) answer: Completion,
    pub(crate) priority: u8,
    pub(crate) resume_from: u32,
}

/// A request, shared by its connection and the batch.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    /// Number within the process, unique where request ids may not be.
    pub(crate) number: u64,
    pub(crate) params: RequestParams,
    progress: Mutex<Progress>,
}

/// The changing part of a request.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) phase: Phase,
    pub(crate) next_index: u32,
    /// Rendered bytes from `sent` on wait for the connection.
    pub(crate) bytes: Vec<u8>,
    pub(crate) sent: usize,
    pub(crate) reader: Option<Waker>,
    repeated: bool,
    frame: Frame,
}

/// The parts of a token event that are the same for every token.
#[derive(Debug)]
struct Frame {
    /// The event up to the model.
    head: String,
    answer: Completion,
}

const DONE: &[u8] = b"data: [DONE]\n\n";
const BEFORE_INDEX: &[u8] = b",\"token_index\":";
const BETWEEN: &[u8] = b",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"";
const AFTER: &[u8] = b"\"},\"finish_reason\":null}]}\n\n";

impl ActiveRequest {
    pub(crate) fn new(number: u64, params: RequestParams, faults: &Faults) -> Self {
        let mut answer = params.answer;
        let mut id = params.request_id.clone();
        if faults.cross_events() {
            answer = answer.crossed();
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
            reader: None,
            repeated: false,
            frame: Frame { head, answer },
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

    /// Tokens that the request holds in the engine's memory.
    pub(crate) fn held_tokens(&self) -> u64 {
        u64::from(self.params.answer.prompt_tokens) + u64::from(self.progress().next_index)
    }
}

impl Progress {
    pub(crate) fn is_over(&self) -> bool {
        matches!(self.phase, Phase::Ended | Phase::Cut)
    }

    /// Generates one token or the end.
    pub(crate) fn step(&mut self, faults: &Faults) -> Step {
        let index = self.next_index;
        if faults.crash_at_token == Some(index) {
            return Step::Crash;
        }
        if faults.drop_before_first_token {
            return self.end(Phase::Cut);
        }
        if faults.truncate_at_token.is_some_and(|at| index >= at) {
            if faults.clean_end {
                self.bytes.extend_from_slice(DONE);
                return self.end(Phase::Ended);
            }
            return self.end(Phase::Cut);
        }
        if index >= self.frame.answer.length {
            self.push_end(index);
            return self.end(Phase::Ended);
        }
        if faults.skip_token != Some(index) {
            self.push_token(index);
        }
        if faults.repeat_token == Some(index) && !self.repeated {
            self.repeated = true;
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
        self.bytes.extend_from_slice(self.frame.head.as_bytes());
        self.bytes.extend_from_slice(BEFORE_INDEX);
        push_number(index, &mut self.bytes);
        self.bytes.extend_from_slice(BETWEEN);
        self.frame.answer.push_token(index, &mut self.bytes);
        self.bytes.extend_from_slice(AFTER);
    }

    /// Appends the last events; `completion_tokens` counts from index 0.
    fn push_end(&mut self, completion_tokens: u32) {
        let prompt_tokens = self.frame.answer.prompt_tokens;
        let total_tokens = u64::from(prompt_tokens) + u64::from(completion_tokens);
        let end = format!(
            "{},\"choices\":[{{\"index\":0,\"delta\":{{}},\
             \"finish_reason\":\"stop\"}}],\"usage\":{{\"prompt_tokens\":{prompt_tokens},\
             \"completion_tokens\":{completion_tokens},\"total_tokens\":{total_tokens}}}}}\n\n\
             data: [DONE]\n\n",
            self.frame.head
        );
        self.bytes.extend_from_slice(end.as_bytes());
    }

    /// Wakes the connection.
    pub(crate) fn wake(&mut self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}

/// Appends a number in decimal.
fn push_number(number: u32, bytes: &mut Vec<u8>) {
    if number >= 10 {
        push_number(number / 10, bytes);
    }
    bytes.push(b'0' + (number % 10) as u8);
}
