//! A dispatch under way, until the head of its answer arrives.

use std::{future::Future, pin::Pin, sync::Arc, time::Duration};

use futures_lite::{future::poll_once, FutureExt};
use rpc::DispatchMeta;

use super::{
    answer::Sent,
    recall::{is_alive, CancelGuard},
    transport::Head,
};
use crate::{app::App, request::Request};

/// A dispatch to a chosen instance. Dropping it cancels the request there.
pub(super) struct Sending {
    pub(super) sent: Sent,
    pub(super) addr: Arc<str>,
    pub(super) cancel: CancelGuard,
    dispatch: Pin<Box<dyn Future<Output = Head> + Send>>,
}

/// How long a head is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Patience {
    /// Until the deadline.
    Deadline,
    /// Until the deadline, or until the agent shows no sign of life.
    Silence,
    /// Until the deadline, or until own observation suggests another instance.
    Hedge,
}

/// What waiting ended with.
pub(super) enum Waited {
    /// The head of the answer.
    Head(Box<Head>),
    /// The agent shows no sign of life.
    Silent,
    /// Another instance may be asked as well.
    Impatient,
    /// The deadline has passed.
    Late,
}

impl Sending {
    pub(super) fn new(
        app: &Arc<App>,
        request: &Request,
        meta: DispatchMeta,
        sent: Sent,
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
            sent,
            addr,
            cancel,
            dispatch,
        }
    }

    /// Waits for the head, at most for `remaining`.
    pub(super) async fn wait(
        &mut self,
        app: &App,
        patience: Patience,
        remaining: Duration,
    ) -> Waited {
        let addr = self.addr.clone();
        let hedge_after = Duration::from_millis(self.sent.candidate.hedge_after_ms());
        let head = async { Waited::Head(Box::new((&mut self.dispatch).await)) };
        let deadline = async {
            smol::Timer::after(remaining).await;
            Waited::Late
        };
        let waited = head.or(deadline);
        match patience {
            Patience::Deadline => waited.await,
            Patience::Silence => waited.or(silence(app, &addr, hedge_after)).await,
            Patience::Hedge => {
                let impatient = async {
                    smol::Timer::after(hedge_after).await;
                    Waited::Impatient
                };
                waited.or(impatient).await
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
async fn silence(app: &App, addr: &str, patience: Duration) -> Waited {
    loop {
        smol::Timer::after(patience).await;
        if !is_alive(app, addr).await {
            return Waited::Silent;
        }
    }
}
