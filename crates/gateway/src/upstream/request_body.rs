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

/// Whether a part of the request's body was not passed on yet, shared between a body and
/// the transport of its connection.
#[derive(Clone, Debug, Default)]
pub(super) struct UnsentBody(Arc<AtomicBool>);

impl UnsentBody {
    pub(super) fn is_some(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn set(&self, is_some: bool) {
        self.0.store(is_some, Ordering::Relaxed);
    }
}

/// Body that yields its bytes without copying them.
#[derive(Debug)]
pub(super) struct RequestBody {
    rest: Bytes,
    unsent: UnsentBody,
}

impl RequestBody {
    pub(super) fn new(bytes: Bytes, unsent: UnsentBody) -> Self {
        unsent.set(!bytes.is_empty());
        Self {
            rest: bytes,
            unsent,
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
        self.unsent.set(!self.rest.is_empty());
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
