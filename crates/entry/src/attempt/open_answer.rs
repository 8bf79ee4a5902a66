//! An upstream's answer that is being read.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use futures_lite::AsyncRead;
use policy::choice::Candidate;
use trillium_client::Conn;
use trillium_http::Upgrade;
use trillium_server_common::Transport;
use types::TimeMs;

use super::recall::CancelGuard;
use crate::app::App;

/// Counts a dispatched request against its instance until dropped.
pub(crate) struct DispatchGuard {
    pub(crate) app: Arc<App>,
    pub(crate) candidate: Arc<Candidate>,
    pub(crate) expected_tokens: u32,
    pub(crate) sent_at: TimeMs,
}

impl DispatchGuard {
    pub(crate) fn new(app: Arc<App>, candidate: Arc<Candidate>, expected_tokens: u32) -> Self {
        let sent_at = app.now();
        candidate.on_sent(sent_at, expected_tokens);
        Self {
            app,
            candidate,
            expected_tokens,
            sent_at,
        }
    }
}

impl Drop for DispatchGuard {
    fn drop(&mut self) {
        self.candidate.on_end(self.app.now(), self.expected_tokens);
    }
}

/// An answer whose head has arrived.
///
/// # Invariants
///
/// The connection is only kept for reuse after the answer's true end; in all
/// other cases it is closed and the request cancelled at the agent.
pub(crate) struct OpenAnswer {
    conn: Option<Conn>,
    guard: DispatchGuard,
    cancel: CancelGuard,
    pub(crate) addr: Arc<str>,
}

impl OpenAnswer {
    pub(crate) fn new(
        conn: Conn,
        guard: DispatchGuard,
        cancel: CancelGuard,
        addr: Arc<str>,
    ) -> Self {
        Self {
            conn: Some(conn),
            guard,
            cancel,
            addr,
        }
    }

    /// A header of the answer.
    pub(crate) fn header(&self, name: &'static str) -> Option<&str> {
        self.conn.as_ref()?.response_headers().get_str(name)
    }

    /// Reads the next bytes of the answer's body.
    pub(crate) fn poll_read(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let Some(conn) = &mut self.conn else {
            return Poll::Ready(Ok(0));
        };
        Pin::new(&mut conn.response_body()).poll_read(cx, buf)
    }

    /// Notes the first token.
    pub(crate) fn on_first_token(&self, now: TimeMs) {
        let wait_ms = now.since(self.guard.sent_at);
        self.guard.candidate.on_first_token(now, wait_ms);
    }

    /// Notes a later token.
    pub(crate) fn on_token_gap(&self, now: TimeMs, gap_ms: u64) {
        self.guard.candidate.on_token_gap(now, gap_ms);
    }

    /// Notes that the answer broke off.
    pub(crate) fn on_failure(&self) {
        self.guard.candidate.on_failure(self.guard.app.now());
    }

    /// Ends the answer after its true end and keeps the connection.
    pub(crate) fn finish(mut self) {
        self.cancel.disarm();
        drop(self.conn.take());
    }
}

impl Drop for OpenAnswer {
    fn drop(&mut self) {
        let Some(conn) = self.conn.take() else {
            return;
        };
        // Dropping the client's connection as it is would read on to the end
        // of the answer; an upgrade gives it up and closes it at once.
        drop(Upgrade::<Box<dyn Transport>>::from(conn));
    }
}
