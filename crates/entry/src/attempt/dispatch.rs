//! A dispatch under way, until the head of its answer arrives.

use std::{future::Future, pin::Pin, sync::Arc, time::Duration};

use futures_lite::{future::poll_once, FutureExt};
use rpc::DispatchMeta;

use super::{
    open_answer::DispatchGuard,
    recall::{is_alive, CancelGuard},
    transport::AnswerHead,
};
use crate::{app::App, request::Request};

/// A dispatch to a chosen instance. Dropping it cancels the request there.
pub(super) struct PendingDispatch {
    pub(super) guard: DispatchGuard,
    pub(super) addr: Arc<str>,
    pub(super) cancel: CancelGuard,
    dispatch: Pin<Box<dyn Future<Output = AnswerHead> + Send>>,
}

/// How long a head is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WaitMode {
    /// Until the deadline.
    UntilDeadline,
    /// Until the deadline, or until the agent shows no sign of life.
    ProbeAgent,
    /// Until the deadline, or until own observation suggests another instance.
    Hedge,
}

/// What waiting ended with.
pub(super) enum WaitOutcome {
    /// The head of the answer.
    Head(Box<AnswerHead>),
    /// The agent shows no sign of life.
    Unresponsive,
    /// Another instance may be asked as well.
    HedgeDue,
    /// The deadline has passed.
    DeadlinePassed,
}

impl PendingDispatch {
    pub(super) fn new(
        app: &Arc<App>,
        request: &Request,
        meta: DispatchMeta,
        guard: DispatchGuard,
        addr: Arc<str>,
    ) -> Self {
        let cancel = CancelGuard::new(app.clone(), addr.clone(), request.request_id.clone());
        let dispatch = {
            let app = app.clone();
            let addr = addr.clone();
            let body = request.body.clone();
            Box::pin(async move { app.transport.dispatch(&addr, &meta, body).await })
        };
        Self {
            guard,
            addr,
            cancel,
            dispatch,
        }
    }

    /// Waits for the head, at most for `remaining`.
    pub(super) async fn wait(
        &mut self,
        app: &App,
        wait_mode: WaitMode,
        remaining: Duration,
    ) -> WaitOutcome {
        let addr = self.addr.clone();
        let hedge_after = Duration::from_millis(self.guard.candidate.hedge_after_ms());
        let head = async { WaitOutcome::Head(Box::new((&mut self.dispatch).await)) };
        let deadline = async {
            smol::Timer::after(remaining).await;
            WaitOutcome::DeadlinePassed
        };
        let head_or_deadline = head.or(deadline);
        match wait_mode {
            WaitMode::UntilDeadline => head_or_deadline.await,
            WaitMode::ProbeAgent => {
                head_or_deadline
                    .or(probe_until_unresponsive(app, &addr, hedge_after))
                    .await
            }
            WaitMode::Hedge => {
                let hedge_due = async {
                    smol::Timer::after(hedge_after).await;
                    WaitOutcome::HedgeDue
                };
                head_or_deadline.or(hedge_due).await
            }
        }
    }

    /// Whether the connection has stayed open without an answer. Only then
    /// does a recall speak of the agent that got the request, and not of one
    /// that has been started in its place.
    pub(super) async fn is_open(&mut self) -> bool {
        poll_once(&mut self.dispatch).await.is_none()
    }
}

/// Resolves once the agent has shown no sign of life.
async fn probe_until_unresponsive(app: &App, addr: &str, probe_interval: Duration) -> WaitOutcome {
    loop {
        smol::Timer::after(probe_interval).await;
        if !is_alive(app, addr).await {
            return WaitOutcome::Unresponsive;
        }
    }
}
