//! Recalls requests: withdraws a queued request from its agent, or cancels it if
//! it has started.

use std::{sync::Arc, time::Duration};

use policy::schedule::Recall;
use rpc::methods::{GetStatus, RecallParams, RecallRequest};
use types::RequestId;

use crate::app::App;

/// Time limit of a recall or status call to an agent.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Asks an agent to withdraw a request, and to cancel it if it has started.
/// Returns `None` if the agent does not answer within [`CALL_TIMEOUT`].
pub(crate) async fn recall(app: &App, addr: &str, request_id: &RequestId) -> Option<Recall> {
    let params = RecallParams {
        request_id: request_id.clone(),
        cancel: true,
    };
    let generation = app.shared.config().generation;
    let call = app
        .peers
        .call::<RecallRequest>(addr, generation, params, CALL_TIMEOUT);
    let response = Box::pin(call).await.ok()?;
    app.shared.on_peer_generation(addr, response.generation);
    Some(response.answer.recall)
}

/// Returns whether an agent answers a status call within [`CALL_TIMEOUT`].
pub(crate) async fn is_alive(app: &App, addr: &str) -> bool {
    let generation = app.shared.config().generation;
    let call = app
        .peers
        .call::<GetStatus>(addr, generation, (), CALL_TIMEOUT);
    Box::pin(call).await.is_ok()
}

/// Cancels a request at its agent when dropped, unless disarmed. It is dropped
/// armed when the caller has disconnected or another attempt replaces this one.
pub(crate) struct CancelGuard {
    app: Arc<App>,
    addr: Arc<str>,
    request_id: RequestId,
    armed: bool,
}

impl CancelGuard {
    pub(crate) fn new(app: Arc<App>, addr: Arc<str>, request_id: RequestId) -> Self {
        Self {
            app,
            addr,
            request_id,
            armed: true,
        }
    }

    /// Prevents the cancellation, since the agent no longer holds the request.
    pub(crate) fn disarm(&mut self) {
        self.armed = false;
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let app = self.app.clone();
        let addr = self.addr.clone();
        let request_id = self.request_id.clone();
        async_global_executor::spawn(async move {
            // Closing the connection also cancels the request, so a failed
            // recall needs no retry.
            let _ = recall(&app, &addr, &request_id).await;
        })
        .detach();
    }
}
