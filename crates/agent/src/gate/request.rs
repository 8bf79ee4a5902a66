//! The life cycle of one request: queued, started, paused, ended.
//!
//! Each state is a type, so that a verdict of "not run" can only be made from
//! a queued request and a token only be counted for a started one.

use std::sync::Arc;

use policy::schedule::End;
use smol::channel::Receiver;
use types::{ErrorCode, RequestId};

use super::{Command, Gate};
use crate::refusal::Refusal;

/// State of a request that waits in the queue.
#[derive(Debug)]
pub(crate) struct Queued;

/// State of a request that holds a running slot.
#[derive(Debug)]
pub(crate) struct Started {
    engine_priority: u8,
    crashes_before: u64,
}

/// State of a request that was stopped at the engine and waits for a slot.
#[derive(Debug)]
pub(crate) struct Paused;

/// Why a started request has to leave the engine before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Interrupt {
    /// Urgent work needs the slot.
    Pause,
    /// The caller is gone.
    Cancel,
}

/// A request in state `S`.
///
/// # Invariants
///
/// Dropping a request in any state takes it out of the scheduler: a slot never
/// leaks.
#[derive(Debug)]
pub(crate) struct Request<S> {
    ticket: Ticket,
    state: S,
}

#[derive(Debug)]
struct Ticket {
    gate: Arc<Gate>,
    request_id: RequestId,
    commands: Receiver<Command>,
    is_settled: bool,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.is_settled {
            self.gate.abandon(&self.request_id);
        }
    }
}

impl<S> Request<S> {
    /// The request's id.
    pub(crate) fn id(&self) -> &RequestId {
        &self.ticket.request_id
    }
}

impl Request<Queued> {
    pub(super) fn queued(
        gate: Arc<Gate>,
        request_id: RequestId,
        commands: Receiver<Command>,
    ) -> Self {
        Self {
            ticket: Ticket {
                gate,
                request_id,
                commands,
                is_settled: false,
            },
            state: Queued,
        }
    }

    /// Waits until the request may start.
    ///
    /// # Errors
    ///
    /// The refusal, always `not_run`, when it leaves the queue otherwise.
    pub(crate) async fn admitted(mut self) -> Result<Request<Started>, Refusal> {
        loop {
            match self.ticket.commands.recv().await {
                Ok(Command::Start {
                    engine_priority,
                    crashes_before,
                }) => {
                    let state = Started {
                        engine_priority,
                        crashes_before,
                    };
                    return Ok(Request {
                        ticket: self.ticket,
                        state,
                    });
                }
                Ok(Command::Refuse {
                    code,
                    retry_after_ms,
                }) => {
                    self.ticket.is_settled = true;
                    let refusal = Refusal::not_run(code);
                    return Err(match retry_after_ms {
                        0 => refusal,
                        some => refusal.after_ms(some),
                    });
                }
                Ok(Command::Pause | Command::Cancel) => {}
                // The sender lives in the gate until the request is settled.
                Err(_) => return Err(Refusal::not_run(ErrorCode::Recalled)),
            }
        }
    }
}

impl Request<Started> {
    /// Priority to pass to the engine.
    pub(crate) fn engine_priority(&self) -> u8 {
        self.state.engine_priority
    }

    /// Waits until the request has to leave the engine. Can be dropped and
    /// called again without loss.
    pub(crate) async fn interrupted(&self) -> Interrupt {
        loop {
            match self.ticket.commands.recv().await {
                Ok(Command::Pause) => return Interrupt::Pause,
                Ok(Command::Start { .. }) => {}
                Ok(Command::Cancel | Command::Refuse { .. }) | Err(_) => return Interrupt::Cancel,
            }
        }
    }

    /// Notes that the request has generated `tokens` in all so far.
    pub(crate) fn generated(&self, tokens: u32) {
        self.ticket.gate.on_tokens(&self.ticket.request_id, tokens);
    }

    /// Counts a crash of the upstream during this start; `false` when another
    /// request that ran then has counted it.
    pub(crate) fn count_crash(&self) -> bool {
        self.ticket.gate.count_crash(self.state.crashes_before)
    }

    /// Gives up the slot after the engine has stopped the request.
    pub(crate) fn pause(self) -> Request<Paused> {
        self.ticket.gate.on_paused(&self.ticket.request_id);
        Request {
            ticket: self.ticket,
            state: Paused,
        }
    }

    /// Ends the request.
    pub(crate) fn finish(mut self, end: End) {
        self.ticket.is_settled = true;
        self.ticket.gate.on_end(&self.ticket.request_id, end);
    }
}

impl Request<Paused> {
    /// Waits for another start; `None` when the caller is gone.
    pub(crate) async fn resumed(self) -> Option<Request<Started>> {
        loop {
            match self.ticket.commands.recv().await {
                Ok(Command::Start {
                    engine_priority,
                    crashes_before,
                }) => {
                    let state = Started {
                        engine_priority,
                        crashes_before,
                    };
                    return Some(Request {
                        ticket: self.ticket,
                        state,
                    });
                }
                Ok(Command::Pause) => {}
                Ok(Command::Cancel | Command::Refuse { .. }) | Err(_) => return None,
            }
        }
    }
}
