//! The response of the upstream to one request, with its connection.

use futures_lite::AsyncReadExt;
use net::ConnectFailed;
use trillium_client::{Conn, KnownHeaderName};
use types::RequestId;

use super::{Fault, REQUEST_ID_HEADER};
use crate::relay::ResponseError;

/// A response whose head was received with the expected request id.
///
/// # Invariants
///
/// The connection is reused only after [`UpstreamResponse::release_connection`];
/// otherwise it is closed on drop.
#[derive(Debug)]
pub(crate) struct UpstreamResponse {
    conn: Conn,
    is_released: bool,
}

impl UpstreamResponse {
    /// Sends a request and receives the head of its response.
    pub(super) async fn receive(conn: Conn, request_id: &RequestId) -> Result<Self, Fault> {
        let mut response = Self {
            conn,
            is_released: false,
        };
        if let Err(error) = (&mut response.conn).await {
            return Err(match ConnectFailed::caused(&error) {
                true => Fault::Unreachable(error.to_string()),
                false => Fault::Broken(error.to_string()),
            });
        }
        let echoed = response.header(REQUEST_ID_HEADER);
        if echoed != Some(request_id.as_str()) {
            return Err(ResponseError::RequestIdMismatch.into());
        }
        Ok(response)
    }

    /// Returns the HTTP status code.
    pub(crate) fn status(&self) -> u16 {
        self.conn.status().map_or(0, |status| status as u16)
    }

    /// Returns the value of a response header; `None` if it is absent or not UTF-8.
    pub(crate) fn header(&self, name: &'static str) -> Option<&str> {
        self.conn.response_headers().get_str(name)
    }

    /// Reads some bytes of the body; returns 0 at its end. Cancel-safe.
    pub(crate) async fn read(&mut self, buffer: &mut [u8]) -> Result<usize, Fault> {
        let mut body = self.conn.response_body().with_max_len(u64::MAX);
        body.read(buffer)
            .await
            .map_err(|error| Fault::Broken(error.to_string()))
    }

    /// Waits for the end of the body; returns `false` if more data or an error
    /// comes instead.
    pub(crate) async fn is_at_end(&mut self) -> bool {
        matches!(self.read(&mut [0; 1]).await, Ok(0))
    }

    /// Allows the client to reuse the connection. Call only after the response
    /// was read to its end and is complete.
    pub(crate) fn release_connection(mut self) {
        self.is_released = true;
    }
}

impl Drop for UpstreamResponse {
    fn drop(&mut self) {
        if !self.is_released {
            // Without this header the client would read the rest of the body
            // in the background and reuse the connection.
            self.conn
                .request_headers_mut()
                .insert(KnownHeaderName::Connection, "close");
        }
    }
}
