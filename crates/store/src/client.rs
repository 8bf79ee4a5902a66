//! Calls over HTTP to a store, within this process's share of its rates.

use std::{io::ErrorKind, sync::Arc, time::Duration};

use futures_lite::FutureExt;
use serde::de::DeserializeOwned;
use trillium_client::{Client, Conn};
use trillium_http::Method;
use trillium_smol::ClientConfig;

use crate::{
    api::StoreError,
    limiter::{CallKind, Limiter, RateLimits},
};

/// Size of the HTTP head of a call or its answer, in bytes, about.
const HEAD_BYTES: u64 = 300;
/// Largest answer that is read, in bytes: one value, or a listing.
const ANSWER_MAX_BYTES: u64 = 16 << 20;

/// Client of a store at one address. Cheap to clone; all clones share one
/// connection pool and one limiter.
#[derive(Clone, Debug)]
pub struct StoreClient {
    http: Client,
    addr: Arc<str>,
    limiter: Arc<Limiter>,
}

/// An answer of the store.
#[derive(Debug)]
pub struct StoreResponse {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub text: String,
}

impl StoreClient {
    /// Makes a client of the store at `addr` (`IP:port`) whose calls keep
    /// within `rates`.
    pub fn new(addr: &str, rates: RateLimits) -> Self {
        Self {
            http: Client::new(ClientConfig::default().with_nodelay(true)),
            addr: addr.into(),
            limiter: Arc::new(Limiter::new(rates)),
        }
    }

    /// A call to be made, on a path with its query.
    pub fn request(&self, method: Method, path: &str) -> Conn {
        self.http
            .build_conn(method, format!("http://{}{path}", self.addr))
    }

    /// Makes one call within the limits and counts it.
    ///
    /// # Errors
    ///
    /// [`StoreError::Refused`] if the call provably was not made,
    /// [`StoreError::OutcomeUnknown`] if no whole answer came within `timeout`.
    pub async fn call(
        &self,
        kind: CallKind,
        conn: Conn,
        timeout: Duration,
    ) -> Result<StoreResponse, StoreError> {
        self.limiter.acquire(kind).await?;
        let late = async {
            smol::Timer::after(timeout).await;
            let waited_ms = timeout.as_millis();
            Err(StoreError::OutcomeUnknown(format!(
                "nothing within {waited_ms} ms"
            )))
        };
        let answer = exchange(conn).or(late).await;
        count_call(kind, &answer);
        answer
    }
}

impl StoreResponse {
    /// Decodes the body of a call that succeeded.
    ///
    /// # Errors
    ///
    /// [`unexpected_status`] for another status than 200, [`StoreError::OutcomeUnknown`] for
    /// a body of another shape.
    pub fn body<T: DeserializeOwned>(&self) -> Result<T, StoreError> {
        if self.status != 200 {
            return Err(unexpected_status(self.status));
        }
        serde_json::from_str(&self.text)
            .map_err(|error| StoreError::OutcomeUnknown(format!("unreadable answer: {error}")))
    }
}

async fn exchange(conn: Conn) -> Result<StoreResponse, StoreError> {
    let mut conn = conn.await.map_err(|error| transport_error(&error))?;
    let status = conn.status().map_or(0, |status| status as u16);
    let body = conn.response_body().with_max_len(ANSWER_MAX_BYTES);
    let text = body
        .read_string()
        .await
        .map_err(|error| StoreError::OutcomeUnknown(error.to_string()))?;
    Ok(StoreResponse { status, text })
}

/// Tells a failed connect, before which no byte was sent, from a broken exchange.
fn transport_error(error: &trillium_http::Error) -> StoreError {
    let reason = error.to_string();
    match error {
        trillium_http::Error::Io(io) if io.kind() == ErrorKind::ConnectionRefused => {
            StoreError::Refused(reason)
        }
        _ => StoreError::OutcomeUnknown(reason),
    }
}

/// A status that the platform's interface does not name: below 500 the call
/// was turned away, from 500 on it may have taken effect.
pub fn unexpected_status(status: u16) -> StoreError {
    let reason = format!("unexpected status {status}");
    match status {
        400..=499 => StoreError::Refused(reason),
        _ => StoreError::OutcomeUnknown(reason),
    }
}

fn count_call(kind: CallKind, answer: &Result<StoreResponse, StoreError>) {
    let outcome = match answer {
        Ok(StoreResponse {
            status: 409 | 412, ..
        })
        | Err(StoreError::Conflict) => "conflict",
        Ok(StoreResponse {
            status: 429 | 503, ..
        }) => "refused",
        Ok(StoreResponse { status: 500.., .. }) => "unsure",
        Ok(_) => "answered",
        Err(StoreError::Refused(_) | StoreError::TooLarge { .. }) => "refused",
        Err(StoreError::OutcomeUnknown(_)) => "unsure",
    };
    metrics::counter!("limpetgw_platform_calls_total", "call" => kind.as_str(), "outcome" => outcome)
        .increment(1);
    let body_bytes = answer.as_ref().map_or(0, |answer| answer.text.len());
    metrics::counter!("limpetgw_control_bytes_total", "direction" => "received")
        .increment(HEAD_BYTES + body_bytes as u64);
    metrics::counter!("limpetgw_control_bytes_total", "direction" => "sent").increment(HEAD_BYTES);
}
