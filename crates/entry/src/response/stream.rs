//! Body of a streamed response.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use futures_lite::AsyncRead;

use super::relay::Relay;

/// Response body that relays events to the caller.
///
/// # Invariants
///
/// The body ends cleanly only after a complete response. Otherwise it ends with an
/// error event and a read error, which aborts the chunked transfer.
pub(crate) struct StreamBody {
    relay: Relay,
    error_event: Option<Vec<u8>>,
    error_event_sent: usize,
    flushed: bool,
}

impl StreamBody {
    pub(crate) fn new(relay: Relay) -> Self {
        Self {
            relay,
            error_event: None,
            error_event_sent: 0,
            flushed: false,
        }
    }

    fn poll_error_event(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Option<Poll<io::Result<usize>>> {
        let event = self.error_event.as_ref()?;
        let rest = &event[self.error_event_sent..];
        if rest.is_empty() && !self.flushed {
            // Pending once before the error: the server flushes its buffer while
            // a body is pending, and discards it when the body fails.
            self.flushed = true;
            cx.waker().wake_by_ref();
            return Some(Poll::Pending);
        }
        if rest.is_empty() {
            return Some(Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())));
        }
        let count = rest.len().min(buf.len());
        buf[..count].copy_from_slice(&rest[..count]);
        self.error_event_sent += count;
        Some(Poll::Ready(Ok(count)))
    }
}

impl AsyncRead for StreamBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if let Some(poll) = self.poll_error_event(cx, buf) {
            return poll;
        }
        match self.relay.poll_events(cx, buf) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Ok(count)) => Poll::Ready(Ok(count)),
            Poll::Ready(Err(failure)) => {
                self.error_event = Some(failure.event(self.relay.request_id()));
                self.poll_read(cx, buf)
            }
        }
    }
}
