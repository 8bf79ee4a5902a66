//! The life cycle of one request: queued, started, paused, ended.
//!
//! Each state is a type (typestate pattern), so that the verdict "not run" can
//! be produced only for a queued request, and tokens can be counted only for a
//! started one.

use std::sync::Arc;

use policy::schedule::End;
use smol::channel::Receiver;
use types::{ErrorCode, RequestId};

use super::{Command, RequestScheduler};
use crate::refusal::Refusal;

/// State of a request that waits in the queue and has not been sent.
#[derive(Debug)]
pub(crate) struct Queued;

/// State of a request that holds a running slot.
#[derive(Debug)]
pub(crate) struct Started {
    engine_priority: u8,
    crashes_before: u64,
}

/// State of a request that was cancelled at the engine and waits for a new slot.
#[derive(Debug)]
pub(crate) struct Paused;

/// Reason why a started request is cancelled at the engine before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Interrupt {
    /// A more urgent request needs the slot.
    Pause,
    /// The caller has disconnected or cancelled the request.
    Cancel,
}

/// A request in state `S`.
///
/// # Invariants
///
/// Dropping a request in any state removes it from the scheduler, so that no
/// slot leaks.
#[derive(Debug)]
pub(crate) struct Request<S> {
    handle: RequestHandle,
    state: S,
}

#[derive(Debug)]
struct RequestHandle {
    scheduler: Arc<RequestScheduler>,
    request_id: RequestId,
    commands: Receiver<Command>,
    is_removed: bool,
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        if !self.is_removed {
            self.scheduler.remove(&self.request_id);
        }
    }
}

impl<S> Request<S> {
    /// Returns the id that the entry assigned to the request.
    pub(crate) fn id(&self) -> &RequestId {
        &self.handle.request_id
    }
}

impl Request<Queued> {
    pub(super) fn queued(
        scheduler: Arc<RequestScheduler>,
        request_id: RequestId,
        commands: Receiver<Command>,
    ) -> Self {
        Self {
            handle: RequestHandle {
                scheduler,
                request_id,
                commands,
                is_removed: false,
            },
            state: Queued,
        }
    }

    /// Waits until the scheduler starts the request.
    ///
    /// # Errors
    ///
    /// Returns a refusal, always with the verdict `not_run`, if the request is
    /// removed from the queue instead.
    pub(crate) async fn wait_for_start(mut self) -> Result<Request<Started>, Refusal> {
        loop {
            match self.handle.commands.recv().await {
                Ok(Command::Start {
                    engine_priority,
                    crashes_before,
                }) => {
                    let state = Started {
                        engine_priority,
                        crashes_before,
                    };
                    return Ok(Request {
                        handle: self.handle,
                        state,
                    });
                }
                Ok(Command::Refuse {
                    code,
                    retry_after_ms,
                }) => {
                    self.handle.is_removed = true;
                    let refusal = Refusal::not_run(code);
                    return Err(match retry_after_ms {
                        0 => refusal,
                        retry_after_ms => refusal.with_retry_after_ms(retry_after_ms),
                    });
                }
                Ok(Command::Pause | Command::Cancel) => {}
                // The scheduler drops the sender only when it removes the request.
                Err(_) => return Err(Refusal::not_run(ErrorCode::Recalled)),
            }
        }
    }
}

impl Request<Started> {
    /// Returns the priority to send to the engine.
    pub(crate) fn engine_priority(&self) -> u8 {
        self.state.engine_priority
    }

    /// Waits until the request has to be cancelled at the engine. Cancel-safe:
    /// no command is lost if the future is dropped.
    pub(crate) async fn wait_for_interrupt(&self) -> Interrupt {
        loop {
            match self.handle.commands.recv().await {
                Ok(Command::Pause) => return Interrupt::Pause,
                Ok(Command::Start { .. }) => {}
                Ok(Command::Cancel | Command::Refuse { .. }) | Err(_) => return Interrupt::Cancel,
            }
        }
    }

    /// Reports the total number of tokens generated so far.
    pub(crate) fn report_tokens(&self, tokens: u32) {
        self.handle
            .scheduler
            .on_tokens(&self.handle.request_id, tokens);
    }

    /// Counts a crash of the upstream since this start; returns `false` if
    /// another request that was running has already counted it.
    pub(crate) fn count_crash(&self) -> bool {
        self.handle.scheduler.count_crash(self.state.crashes_before)
    }

    /// Releases the slot after the engine has cancelled the request.
    pub(crate) fn pause(self) -> Request<Paused> {
        self.handle.scheduler.on_paused(&self.handle.request_id);
        Request {
            handle: self.handle,
            state: Paused,
        }
    }

    /// Releases the slot and removes the request from the scheduler.
    pub(crate) fn finish(mut self, end: End) {
        self.handle.is_removed = true;
        self.handle.scheduler.on_end(&self.handle.request_id, end);
    }
}

impl Request<Paused> {
    /// Waits for the next start; returns `None` if the request was cancelled.
    pub(crate) async fn wait_for_resume(self) -> Option<Request<Started>> {
        loop {
            match self.handle.commands.recv().await {
                Ok(Command::Start {
                    engine_priority,
                    crashes_before,
                }) => {
                    let state = Started {
                        engine_priority,
                        crashes_before,
                    };
                    return Some(Request {
                        handle: self.handle,
                        state,
                    });
                }
                Ok(Command::Pause) => {}
                Ok(Command::Cancel | Command::Refuse { .. }) | Err(_) => return None,
            }
        }
    }
}
