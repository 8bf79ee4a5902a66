//! The body of a streamed answer.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use futures_lite::AsyncRead;

use super::{
    active_request::{ActiveRequest, Phase, Progress, Step},
    engine_state::Engine,
};

/// Holds a request in the engine for as long as its connection lives.
pub(crate) struct ResponseBody {
    engine: Arc<Engine>,
    request: Arc<ActiveRequest>,
    /// Whether the server has bytes that it had no chance to write out.
    unwritten: bool,
}

impl ResponseBody {
    pub(crate) fn new(engine: Arc<Engine>, request: Arc<ActiveRequest>) -> Self {
        Self {
            engine,
            request,
            unwritten: false,
        }
    }

    /// Whether there are bytes to send, or an end; registers to be woken if not.
    pub(crate) fn poll_first(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut progress = self.request.progress();
        self.generate_unpaced(&mut progress, 1);
        if progress.sent < progress.bytes.len() || progress.is_over() {
            return Poll::Ready(());
        }
        progress.reader = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Whether the answer has ended; registers to be woken if not.
    pub(crate) fn poll_end(&self, cx: &mut Context<'_>) -> Poll<Phase> {
        let mut progress = self.request.progress();
        self.generate_unpaced(&mut progress, usize::MAX);
        if progress.is_over() {
            return Poll::Ready(progress.phase);
        }
        progress.reader = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Takes the whole answer as sent; returns the index after its last token.
    pub(crate) fn take_whole(&self) -> u32 {
        let mut progress = self.request.progress();
        progress.sent = progress.bytes.len();
        progress.next_index
    }

    /// In an engine without a pace, makes at least `size` bytes ready.
    fn generate_unpaced(&self, progress: &mut Progress, size: usize) {
        if self.engine.args.token_ms > 0.0 || !matches!(progress.phase, Phase::Running { .. }) {
            return;
        }
        let faults = self.engine.faults();
        let mut tokens = 0;
        while progress.bytes.len() - progress.sent < size {
            match progress.step(&faults) {
                Step::Token => tokens += 1,
                Step::End => break,
                Step::Crash => std::process::abort(),
            }
        }
        self.engine.count_tokens(tokens);
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        self.engine.release(&self.request);
    }
}

impl AsyncRead for ResponseBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let request = self.request.clone();
        let mut progress = request.progress();
        self.generate_unpaced(&mut progress, buf.len());
        let size = buf.len().min(progress.bytes.len() - progress.sent);
        if size > 0 {
            let from = progress.sent;
            buf[..size].copy_from_slice(&progress.bytes[from..from + size]);
            progress.sent += size;
            if progress.sent == progress.bytes.len() {
                progress.bytes.clear();
                progress.sent = 0;
            }
            self.unwritten = true;
            return Poll::Ready(Ok(size));
        }
        match progress.phase {
            Phase::Ended => Poll::Ready(Ok(0)),
            // The server writes while a body is pending, and throws away what
            // it still has when the body fails.
            Phase::Cut if self.unwritten => {
                self.unwritten = false;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            Phase::Cut => Poll::Ready(Err(io::Error::other("cut on purpose"))),
            _ => {
                progress.reader = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }
}
