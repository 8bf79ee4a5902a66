//! A dispatch that was sent to an agent and waits for the head of the response.

use std::{future::Future, pin::Pin, sync::Arc, time::Duration};

use futures_lite::{future::poll_once, FutureExt};
use rpc::DispatchMeta;

use super::{
    open_response::DispatchGuard,
    recall::{is_alive, CancelGuard},
    transport::ResponseHead,
};
use crate::{app::App, request::Request};

/// A dispatch without a response yet. Dropping it cancels the request at the
/// agent.
pub(super) struct PendingDispatch {
    pub(super) guard: DispatchGuard,
    pub(super) addr: Arc<str>,
    pub(super) cancel: CancelGuard,
    dispatch: Pin<Box<dyn Future<Output = ResponseHead> + Send>>,
}

/// Condition that ends a wait for a response's head before the head arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WaitMode {
    /// Waits until the request's deadline.
    UntilDeadline,
    /// Waits until the deadline, or until the agent does not answer a status probe.
    ProbeAgent,
    /// Waits until the deadline, or for the hedge delay, which the entry derives
    /// from the instance's observed latency.
    Hedge,
}

/// Result of a wait for a response's head.
pub(super) enum WaitOutcome {
    /// The head arrived, or the dispatch failed.
    Head(Box<ResponseHead>),
    /// The agent did not answer a status probe.
    Unresponsive,
    /// The hedge delay has passed: a second instance may be asked.
    HedgeDue,
    /// The request's deadline has passed.
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

    /// Waits for the head, at most for `remaining`, the time to the deadline.
    /// Can be called again after a wait that ended without a head.
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

    /// Returns whether the connection is still open without a response. Only then
    /// does a recall's result come from the agent process that received the
    /// request, and not from one restarted at the same address.
    pub(super) async fn is_open(&mut self) -> bool {
        poll_once(&mut self.dispatch).await.is_none()
    }
}

/// Probes the agent every `probe_interval`; resolves when a probe fails.
async fn probe_until_unresponsive(app: &App, addr: &str, probe_interval: Duration) -> WaitOutcome {
    loop {
        smol::Timer::after(probe_interval).await;
        if !is_alive(app, addr).await {
            return WaitOutcome::Unresponsive;
        }
    }
}
