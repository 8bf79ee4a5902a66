//! The upstream's answer to one request, on its own connection.

use futures_lite::AsyncReadExt;
use net::ConnectFailed;
use trillium_client::{Conn, KnownHeaderName};
use types::RequestId;

use super::{Fault, REQUEST_ID_HEADER};
use crate::relay::Mismatch;

/// An answer whose head was read and checked.
///
/// # Invariants
///
/// The connection serves another request only after [`Answer::release`]; in
/// any other case it is closed.
#[derive(Debug)]
pub(crate) struct Answer {
    conn: Conn,
    is_released: bool,
}

impl Answer {
    /// Sends a request and reads the head of its answer.
    pub(super) async fn to(conn: Conn, request_id: &RequestId) -> Result<Self, Fault> {
        let mut answer = Self {
            conn,
            is_released: false,
        };
        if let Err(error) = (&mut answer.conn).await {
            return Err(match ConnectFailed::caused(&error) {
                true => Fault::Unreachable(error.to_string()),
                false => Fault::Broken(error.to_string()),
            });
        }
        let echoed = answer.header(REQUEST_ID_HEADER);
        if echoed != Some(request_id.as_str()) {
            return Err(Mismatch::OtherRequest.into());
        }
        Ok(answer)
    }

    /// HTTP status.
    pub(crate) fn status(&self) -> u16 {
        self.conn.status().map_or(0, |status| status as u16)
    }

    /// A response header.
    pub(crate) fn header(&self, name: &'static str) -> Option<&str> {
        self.conn.response_headers().get_str(name)
    }

    /// Reads some bytes of the body; 0 at its end. Can be dropped and called
    /// again without loss.
    pub(crate) async fn read(&mut self, buffer: &mut [u8]) -> Result<usize, Fault> {
        let mut body = self.conn.response_body().with_max_len(u64::MAX);
        body.read(buffer)
            .await
            .map_err(|error| Fault::Broken(error.to_string()))
    }

    /// Waits for the end of the body; `false` when something else comes.
    pub(crate) async fn is_at_end(&mut self) -> bool {
        matches!(self.read(&mut [0; 1]).await, Ok(0))
    }

    /// Lets the connection serve another request, once the answer was read to
    /// its end and found to be whole.
    pub(crate) fn release(mut self) {
        self.is_released = true;
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        if !self.is_released {
            // Otherwise the client would read on in the background and reuse
            // the connection.
            self.conn
                .request_headers_mut()
                .insert(KnownHeaderName::Connection, "close");
        }
    }
}
