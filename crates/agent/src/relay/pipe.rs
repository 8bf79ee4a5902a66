//! A byte pipe from a request's task to the body of its HTTP answer.
//!
//! The task appends whole events to one growing buffer and the body takes all
//! that is there, so that several events share a chunk whenever the reader is
//! behind, and nothing is allocated for a single token.

use std::{
    future::poll_fn,
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, Waker},
};

use futures_lite::AsyncRead;

/// Bytes that wait for the reader at most before the writer is held up.
const BUFFERED_MAX_BYTES: usize = 64 << 10;

const EVENT_END: &[u8] = b"\n\n";

/// The reader is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the entry hung up")]
pub(crate) struct ReaderGone;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Writing {
    Open,
    Finished,
    Broken,
}

#[derive(Debug)]
struct Shared {
    buffer: Vec<u8>,
    read_from: usize,
    writing: Writing,
    /// Whether the reader was asked to wait once before the error.
    has_warned: bool,
    is_reader_gone: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
    is_writer_held: bool,
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

/// The task's end.
///
/// # Invariants
///
/// Dropped before [`PipeWriter::finish`], it breaks the body: the reader gets
/// an error and never a clean end.
#[derive(Debug)]
pub(crate) struct PipeWriter(Arc<Mutex<Shared>>);

/// The body's end.
#[derive(Debug)]
pub(crate) struct PipeReader<G> {
    shared: Arc<Mutex<Shared>>,
    _guard: G,
}

/// Makes a pipe; the reader holds `guard` for as long as it lives.
pub(crate) fn pipe<G>(guard: G) -> (PipeWriter, PipeReader<G>) {
    let shared = Arc::new(Mutex::new(Shared {
        buffer: Vec::new(),
        read_from: 0,
        writing: Writing::Open,
        has_warned: false,
        is_reader_gone: false,
        reader: None,
        writer: None,
        is_writer_held: false,
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
    /// Appends bytes, once the reader has taken enough of the earlier ones.
    ///
    /// # Errors
    ///
    /// [`ReaderGone`] when nobody will read them.
    pub(crate) async fn write(&mut self, bytes: &[u8]) -> Result<(), ReaderGone> {
        poll_fn(|cx| {
            let mut shared = lock(&self.0);
            if shared.is_reader_gone {
                return Poll::Ready(Err(ReaderGone));
            }
            if shared.buffer.len() - shared.read_from >= BUFFERED_MAX_BYTES {
                shared.writer = Some(cx.waker().clone());
                shared.is_writer_held = true;
                return Poll::Pending;
            }
            shared.is_writer_held = false;
            shared.buffer.extend_from_slice(bytes);
            wake(shared.reader.take(), shared);
            Poll::Ready(Ok(()))
        })
        .await
    }

    /// Waits until the reader is gone. Can be dropped and called again.
    pub(crate) async fn reader_gone(&mut self) {
        poll_fn(|cx| {
            let mut shared = lock(&self.0);
            if shared.is_reader_gone {
                return Poll::Ready(());
            }
            shared.writer = Some(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Ends the body cleanly.
    pub(crate) fn finish(self) {
        self.end(Writing::Finished);
    }

    fn end(&self, writing: Writing) {
        let mut shared = lock(&self.0);
        if shared.writing == Writing::Open {
            shared.writing = writing;
            wake(shared.reader.take(), shared);
        }
    }
}

impl Drop for PipeWriter {
    fn drop(&mut self) {
        self.end(Writing::Broken);
    }
}

impl<G> Drop for PipeReader<G> {
    fn drop(&mut self) {
        let mut shared = lock(&self.shared);
        shared.is_reader_gone = true;
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
        let waiting = &shared.buffer[shared.read_from..];
        if waiting.is_empty() {
            return match shared.writing {
                Writing::Finished => Poll::Ready(Ok(0)),
                // The HTTP server sends what it has buffered when the body
                // waits, and drops it when the body fails.
                Writing::Broken if !shared.has_warned => {
                    shared.has_warned = true;
                    cx.waker().wake_by_ref();
                    Poll::Pending
                }
                Writing::Broken => Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
                Writing::Open => {
                    shared.reader = Some(cx.waker().clone());
                    Poll::Pending
                }
            };
        }
        let count = whole_events(waiting, target.len());
        target[..count].copy_from_slice(&waiting[..count]);
        shared.read_from += count;
        shared.discard_read();
        if shared.is_writer_held {
            wake(shared.writer.take(), shared);
        }
        Poll::Ready(Ok(count))
    }
}

/// Bytes to pass on in one chunk: whole events, unless one alone is larger.
fn whole_events(waiting: &[u8], room: usize) -> usize {
    if waiting.len() <= room {
        return waiting.len();
    }
    match memchr::memmem::rfind(&waiting[..room], EVENT_END) {
        Some(end) => end + EVENT_END.len(),
        None => room,
    }
}

/// Wakes a task after the lock was released.
fn wake(waker: Option<Waker>, shared: MutexGuard<'_, Shared>) {
    drop(shared);
    if let Some(waker) = waker {
        waker.wake();
    }
}
