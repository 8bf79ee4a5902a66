//! An upstream's response whose body is being read, and the in-flight accounting
//! of its dispatch.

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

/// Counts a dispatched request as in flight on its instance until dropped.
/// The count and the expected tokens feed the choice of instances.
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

/// A response whose status and headers have been received.
///
/// # Invariants
///
/// The connection is kept for reuse only after the complete body was read. In
/// all other cases it is closed and the request is cancelled at the agent.
pub(crate) struct OpenResponse {
    conn: Option<Conn>,
    guard: DispatchGuard,
    cancel: CancelGuard,
    pub(crate) addr: Arc<str>,
}

impl OpenResponse {
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

    /// Returns a header of the response, or `None` if it is absent or not UTF-8.
    pub(crate) fn header(&self, name: &'static str) -> Option<&str> {
        self.conn.as_ref()?.response_headers().get_str(name)
    }

    /// Reads the next bytes of the body; 0 bytes mean its end.
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

    /// Reports the first token's latency, counted from the dispatch, to the
    /// instance's load statistics.
    pub(crate) fn on_first_token(&self, now: TimeMs) {
        let wait_ms = now.since(self.guard.sent_at);
        self.guard.candidate.on_first_token(now, wait_ms);
    }

    /// Reports the mean time per later token to the instance's load statistics.
    pub(crate) fn on_token_gap(&self, now: TimeMs, gap_ms: u64) {
        self.guard.candidate.on_token_gap(now, gap_ms);
    }

    /// Reports a truncated response as a failure of the instance.
    pub(crate) fn on_failure(&self) {
        self.guard.candidate.on_failure(self.guard.app.now());
    }

    /// Releases the connection for reuse. Call only after the complete body was
    /// read.
    pub(crate) fn finish(mut self) {
        self.cancel.disarm();
        drop(self.conn.take());
    }
}

impl Drop for OpenResponse {
    fn drop(&mut self) {
        let Some(conn) = self.conn.take() else {
            return;
        };
        // Dropping a client connection reads the rest of the body before
        // reuse. Converting it to an upgrade closes it immediately.
        drop(Upgrade::<Box<dyn Transport>>::from(conn));
    }
}
