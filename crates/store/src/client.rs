//! HTTP client for a store, with client-side rate limits.

use std::{io::ErrorKind, sync::Arc, time::Duration};

use futures_lite::FutureExt;
use serde::Deserialize;
use trillium_client::{Client, Conn};
use trillium_http::Method;

use crate::{
    api::StoreError,
    connector::KeepaliveConnector,
    era::{Era, EraTracker},
    json_text::json_text,
    limiter::{CallKind, Limiter, RateLimits},
};

/// Approximate size of an HTTP request or response head, in bytes, for the
/// traffic counters.
const HTTP_HEAD_ESTIMATE_BYTES: u64 = 300;
/// Size up to which a request body is sent together with its head, in bytes. The
/// client would wait for a `100 Continue` before a larger one, which a store need
/// not send. Above the 1 MB that a value may have.
const BUFFERED_BODY_MAX_BYTES: usize = 2 << 20;
/// Maximum size of a response body (one value or a listing), in bytes.
const RESPONSE_MAX_BYTES: u64 = 16 << 20;

/// Client of a store at one address. Cheap to clone; all clones share one
/// connection pool and one limiter.
#[derive(Clone, Debug)]
pub struct StoreClient {
    http: Client,
    addr: Arc<str>,
    limiter: Arc<Limiter>,
    /// Header in which the store names the era of its history, if it does.
    era_header: Option<&'static str>,
    era: Arc<EraTracker>,
}

/// Complete response of the store.
#[derive(Debug)]
pub struct StoreResponse {
    /// HTTP status; 0 if the response has none.
    pub status: u16,
    /// Era of the history that the response belongs to.
    pub era: Era,
    /// Body as JSON text. Bytes that are not UTF-8 are replaced by an escape that fails
    /// in the string that contains them, and only there.
    pub text: String,
}

impl StoreClient {
    /// Creates a client for the store at `addr` (`IP:port`) whose calls are
    /// limited to `rates`.
    pub fn new(addr: &str, rates: RateLimits) -> Self {
        Self::with_connector(KeepaliveConnector::new(), addr, rates)
    }

    /// Creates a client whose calls do not arrive after they were abandoned, as far
    /// as the kernel can ensure it: what was not acknowledged within `timeout` is
    /// discarded, also while this process is paused.
    pub fn without_late_delivery(addr: &str, rates: RateLimits, timeout: Duration) -> Self {
        let connector = KeepaliveConnector::without_late_delivery(timeout);
        Self::with_connector(connector, addr, rates)
    }

    fn with_connector(connector: KeepaliveConnector, addr: &str, rates: RateLimits) -> Self {
        Self {
            http: Client::new(connector).with_max_buffered_request_body(BUFFERED_BODY_MAX_BYTES),
            addr: addr.into(),
            limiter: Arc::new(Limiter::new(rates)),
            era_header: None,
            era: Arc::default(),
        }
    }

    /// Sets the header in which the store names the era of its history. Clones made
    /// afterwards share what is known of it.
    #[must_use]
    pub fn with_era_header(mut self, name: &'static str) -> Self {
        self.era_header = Some(name);
        self
    }

    /// Returns the latest era of the store's history that a response has named.
    pub fn era(&self) -> Era {
        self.era.current()
    }

    /// Waits until a response, to any clone, has named a later era than `era`.
    pub async fn era_later_than(&self, era: Era) {
        self.era.later_than(era).await;
    }

    /// Builds a request for a path with its query, to be passed to
    /// [`Self::call`].
    pub fn request(&self, method: Method, path: &str) -> Conn {
        self.http
            .build_conn(method, format!("http://{}{path}", self.addr))
    }

    /// Sends one request, after waiting for the rate limiter, and counts it in
    /// the metrics.
    ///
    /// # Errors
    ///
    /// [`StoreError::Refused`] if the request was provably not sent,
    /// [`StoreError::OutcomeUnknown`] if no complete response arrived within
    /// `timeout`.
    pub async fn call(
        &self,
        kind: CallKind,
        conn: Conn,
        timeout: Duration,
    ) -> Result<StoreResponse, StoreError> {
        self.limiter.acquire(kind).await?;
        let timed_out = async {
            smol::Timer::after(timeout).await;
            let waited_ms = timeout.as_millis();
            Err(StoreError::OutcomeUnknown(format!(
                "timed out after {waited_ms} ms"
            )))
        };
        let response = self.exchange(conn, kind).or(timed_out).await;
        count_call(kind, &response);
        response
    }

    /// Sends a request and reads the complete response.
    async fn exchange(&self, conn: Conn, kind: CallKind) -> Result<StoreResponse, StoreError> {
        let asked_in = self.era.current();
        let mut conn = conn.await.map_err(|error| transport_error(&error))?;
        let status = conn.status().map_or(0, |status| status as u16);
        let header = self
            .era_header
            .and_then(|name| conn.response_headers().get_str(name));
        let era = self.era.on_response(header, kind, asked_in);
        let body = conn.response_body().with_max_len(RESPONSE_MAX_BYTES);
        let bytes = body
            .read_bytes()
            .await
            .map_err(|error| StoreError::OutcomeUnknown(error.to_string()))?;
        let text = json_text(bytes);
        Ok(StoreResponse { status, era, text })
    }
}

impl StoreResponse {
    /// Decodes the JSON body of a successful response. Parts that other programs wrote
    /// are best decoded as [`serde_json::value::RawValue`] first: any of them can be
    /// valid JSON that no other type holds.
    ///
    /// # Errors
    ///
    /// The error of [`unexpected_status`] if the status is not 200,
    /// [`StoreError::OutcomeUnknown`] if the body can't be decoded.
    pub fn body<'a, T: Deserialize<'a>>(&'a self) -> Result<T, StoreError> {
        if self.status != 200 {
            return Err(unexpected_status(self.status));
        }
        serde_json::from_str(&self.text)
            .map_err(|error| StoreError::OutcomeUnknown(format!("invalid response body: {error}")))
    }
}

/// Classifies a transport error: if the connection was refused, nothing was
/// sent; after any other error the call may have taken effect.
fn transport_error(error: &trillium_http::Error) -> StoreError {
    let reason = error.to_string();
    match error {
        trillium_http::Error::Io(io) if io.kind() == ErrorKind::ConnectionRefused => {
            StoreError::Refused(reason)
        }
        _ => StoreError::OutcomeUnknown(reason),
    }
}

/// Returns the error for a status that the platform API does not define: a 4xx
/// status means that the call was rejected, after any other it may have taken
/// effect.
pub fn unexpected_status(status: u16) -> StoreError {
    let reason = format!("unexpected status {status}");
    match status {
        400..=499 => StoreError::Refused(reason),
        _ => StoreError::OutcomeUnknown(reason),
    }
}

/// Counts a call by its outcome, and its approximate traffic.
fn count_call(kind: CallKind, response: &Result<StoreResponse, StoreError>) {
    let outcome = match response {
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
    let body_bytes = response.as_ref().map_or(0, |response| response.text.len());
    metrics::counter!("limpetgw_control_bytes_total", "direction" => "received")
        .increment(HTTP_HEAD_ESTIMATE_BYTES + body_bytes as u64);
    metrics::counter!("limpetgw_control_bytes_total", "direction" => "sent")
        .increment(HTTP_HEAD_ESTIMATE_BYTES);
}
