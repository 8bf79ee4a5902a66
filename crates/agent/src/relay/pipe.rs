//! A byte pipe from the task of a request to the body of its HTTP response.
//!
//! The task appends complete events to one growable buffer, and the body reads
//! all that is buffered. Several events therefore share one chunk if the reader
//! is slow, and no allocation is needed per token.

use std::{
    future::poll_fn,
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, Waker},
};

use futures_lite::AsyncRead;

/// Number of unread bytes at which the writer is blocked.
const BUFFERED_MAX_BYTES: usize = 64 << 10;

const EVENT_END: &[u8] = b"\n\n";

/// Error for a write to a pipe whose reader was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the entry has disconnected")]
pub(crate) struct ReaderClosed;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriterState {
    Open,
    Finished,
    Broken,
}

#[derive(Debug)]
struct Shared {
    buffer: Vec<u8>,
    read_from: usize,
    writer_state: WriterState,
    /// Whether a poll has already returned pending instead of the error.
    has_deferred_error: bool,
    is_reader_closed: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
    is_writer_blocked: bool,
}

impl Shared {
    fn discard_read(&mut self) {
        if self.read_from == self.buffer.len() {
            self.buffer.clear();
            self.read_from = 0;
        } else if self.read_from >= BUFFERED_MAX_BYTES {
            self.buffer.drain(..self.read_from);
            self.read_from = 0;
        }
    }
}

/// Write end of the pipe, held by the task of the request.
///
/// # Invariants
///
/// If it is dropped without [`PipeWriter::finish`], the reader gets an error
/// instead of a clean end of the body.
#[derive(Debug)]
pub(crate) struct PipeWriter(Arc<Mutex<Shared>>);

/// Read end of the pipe, used as the body of the HTTP response.
#[derive(Debug)]
pub(crate) struct PipeReader<G> {
    shared: Arc<Mutex<Shared>>,
    _guard: G,
}

/// Creates a pipe; `guard` is dropped together with the reader.
pub(crate) fn pipe<G>(guard: G) -> (PipeWriter, PipeReader<G>) {
    let shared = Arc::new(Mutex::new(Shared {
        buffer: Vec::new(),
        read_from: 0,
        writer_state: WriterState::Open,
        has_deferred_error: false,
        is_reader_closed: false,
        reader: None,
        writer: None,
        is_writer_blocked: false,
    }));
    let reader = PipeReader {
        shared: shared.clone(),
        _guard: guard,
    };
    (PipeWriter(shared), reader)
}

fn lock(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl PipeWriter {
    /// Appends bytes; waits while [`BUFFERED_MAX_BYTES`] or more are unread.
    ///
    /// # Errors
    ///
    /// Returns [`ReaderClosed`] if the reader was dropped.
    pub(crate) async fn write(&mut self, bytes: &[u8]) -> Result<(), ReaderClosed> {
        poll_fn(|cx| {
            let mut shared = lock(&self.0);
            if shared.is_reader_closed {
                return Poll::Ready(Err(ReaderClosed));
            }
            if shared.buffer.len() - shared.read_from >= BUFFERED_MAX_BYTES {
                shared.writer = Some(cx.waker().clone());
                shared.is_writer_blocked = true;
                return Poll::Pending;
            }
            shared.is_writer_blocked = false;
            shared.buffer.extend_from_slice(bytes);
            wake(shared.reader.take(), shared);
            Poll::Ready(Ok(()))
        })
        .await
    }

    /// Waits until the reader is dropped. Cancel-safe.
    pub(crate) async fn reader_closed(&mut self) {
        poll_fn(|cx| {
            let mut shared = lock(&self.0);
            if shared.is_reader_closed {
                return Poll::Ready(());
            }
            shared.writer = Some(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Ends the body without an error.
    pub(crate) fn finish(self) {
        self.end(WriterState::Finished);
    }

    fn end(&self, writer_state: WriterState) {
        let mut shared = lock(&self.0);
        if shared.writer_state == WriterState::Open {
            shared.writer_state = writer_state;
            wake(shared.reader.take(), shared);
        }
    }
}

impl Drop for PipeWriter {
    fn drop(&mut self) {
        self.end(WriterState::Broken);
    }
}

impl<G> Drop for PipeReader<G> {
    fn drop(&mut self) {
        let mut shared = lock(&self.shared);
        shared.is_reader_closed = true;
        wake(shared.writer.take(), shared);
    }
}

impl<G: Unpin> AsyncRead for PipeReader<G> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        target: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut shared = lock(&self.shared);
        let unread = &shared.buffer[shared.read_from..];
        if unread.is_empty() {
            return match shared.writer_state {
                WriterState::Finished => Poll::Ready(Ok(0)),
                // The HTTP server flushes its buffer when the body is pending
                // and discards it when the body fails. Returning pending once
                // delivers the buffered events before the error.
                WriterState::Broken if !shared.has_deferred_error => {
                    shared.has_deferred_error = true;
                    cx.waker().wake_by_ref();
                    Poll::Pending
                }
                WriterState::Broken => Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
                WriterState::Open => {
                    shared.reader = Some(cx.waker().clone());
                    Poll::Pending
                }
            };
        }
        let count = complete_events(unread, target.len());
        target[..count].copy_from_slice(&unread[..count]);
        shared.read_from += count;
        shared.discard_read();
        if shared.is_writer_blocked {
            wake(shared.writer.take(), shared);
        }
        Poll::Ready(Ok(count))
    }
}

/// Returns the number of bytes for one chunk: complete events only, unless a
/// single event exceeds `max_len`.
fn complete_events(unread: &[u8], max_len: usize) -> usize {
    if unread.len() <= max_len {
        return unread.len();
    }
    match memchr::memmem::rfind(&unread[..max_len], EVENT_END) {
        Some(end) => end + EVENT_END.len(),
        None => max_len,
    }
}

/// Releases the lock, then wakes the task.
fn wake(waker: Option<Waker>, shared: MutexGuard<'_, Shared>) {
    drop(shared);
    if let Some(waker) = waker {
        waker.wake();
    }
}
