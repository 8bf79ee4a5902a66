//! Body of a request to an instance, passed to the HTTP library in pieces.
//!
//! The library copies what it is given into the write buffer of the connection, and the
//! buffer keeps its size for as long as the connection lives. A body in one piece would
//! be held twice, and each connection that ever carried a large one would keep as much.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// Size of a piece, in bytes. The library asks for pieces until its buffer is full.
const PIECE_BYTES: usize = 16 << 10;

/// How far the body of the request was passed on, shared between a body and the transport
/// of its connection.
#[derive(Clone, Debug, Default)]
pub(super) struct UploadState(Arc<UploadFlags>);

#[derive(Debug, Default)]
struct UploadFlags {
    has_unsent: AtomicBool,
    was_responded_early: AtomicBool,
}

impl UploadState {
    /// Returns whether a part of the body was not passed on yet.
    pub(super) fn has_unsent(&self) -> bool {
        self.0.has_unsent.load(Ordering::Relaxed)
    }

    /// Returns whether the response began before the request had been sent.
    pub(super) fn was_responded_early(&self) -> bool {
        self.0.was_responded_early.load(Ordering::Relaxed)
    }

    /// Records that a part of the response arrived before the request had been sent.
    pub(super) fn on_early_response(&self) {
        self.0.was_responded_early.store(true, Ordering::Relaxed);
    }

    fn begin(&self, has_body: bool) {
        self.0.was_responded_early.store(false, Ordering::Relaxed);
        self.set_unsent(has_body);
    }

    fn set_unsent(&self, has_unsent: bool) {
        self.0.has_unsent.store(has_unsent, Ordering::Relaxed);
    }
}

/// Body that yields its bytes without copying them.
#[derive(Debug)]
pub(super) struct RequestBody {
    rest: Bytes,
    upload: UploadState,
}

impl RequestBody {
    pub(super) fn new(bytes: Bytes, upload: UploadState) -> Self {
        upload.begin(!bytes.is_empty());
        Self {
            rest: bytes,
            upload,
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let piece_bytes = self.rest.len().min(PIECE_BYTES);
        let piece = self.rest.split_to(piece_bytes);
        self.upload.set_unsent(!self.rest.is_empty());
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
