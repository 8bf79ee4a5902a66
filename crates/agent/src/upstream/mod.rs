//! Client of the single upstream instance of this agent.

mod engine;
mod fault;
mod orders;
mod probe;
mod response;
mod service;

pub(crate) use engine::completion_body;
pub(crate) use fault::Fault;
pub(crate) use orders::OrderOutcome;
pub(crate) use response::UpstreamResponse;
pub(crate) use service::{read_response, ServiceResponse};

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    time::Duration,
};

use futures_lite::FutureExt;
use net::TimeoutConnector;
use rpc::Target;
use trillium_client::{Client, Conn, Method};
use types::RequestId;

/// Header with the request id. The upstream has to return it unchanged.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

/// Maximum wait for the engine's response to a cancel.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Request bodies up to this size are sent without waiting for a
/// `100 Continue` of the upstream.
const BUFFERED_BODY_MAX_BYTES: usize = 16 << 20;

/// HTTP client of the upstream instance that runs beside this agent.
#[derive(Debug)]
pub(crate) struct Upstream {
    http: Client,
    addr: Arc<str>,
    is_reachable: AtomicBool,
}

impl Upstream {
    /// Creates a client for the instance at `addr` (`IP:port`).
    pub(crate) fn new(addr: Arc<str>) -> Self {
        let connector = TimeoutConnector::new(probe::CONNECT_TIMEOUT);
        let http = Client::new(connector).with_max_buffered_request_body(BUFFERED_BODY_MAX_BYTES);
        Self {
            http,
            addr,
            is_reachable: AtomicBool::new(true),
        }
    }

    /// Whether the last exchange or probe could connect; `true` initially.
    pub(crate) fn is_reachable(&self) -> bool {
        self.is_reachable.load(Ordering::Relaxed)
    }

    /// Checks whether the instance accepts a connection and keeps it open, and
    /// updates [`Upstream::is_reachable`].
    pub(crate) async fn probe(&self) -> bool {
        let is_reachable = probe::probe(&self.addr).await;
        self.is_reachable.store(is_reachable, Ordering::Relaxed);
        is_reachable
    }

    /// Starts a completion and waits for the head of the response.
    pub(crate) async fn complete(
        &self,
        request_id: &RequestId,
        body: Vec<u8>,
    ) -> Result<UpstreamResponse, Fault> {
        let conn = self
            .request(Method::Post, "/v1/chat/completions", request_id)
            .with_request_header("content-type", "application/json")
            .with_body(body);
        self.send(conn, request_id).await
    }

    /// Forwards a call to a plain service and waits for the head of the response.
    pub(crate) async fn call(
        &self,
        request_id: &RequestId,
        target: &Target,
        body: Vec<u8>,
    ) -> Result<UpstreamResponse, Fault> {
        let Target::Call {
            method,
            path,
            content_type,
            idempotency_key,
        } = target
        else {
            return Err(Fault::InvalidRequest(
                "the target is not a service call".into(),
            ));
        };
        let method: Method = method
            .parse()
            .map_err(|_| Fault::InvalidRequest(format!("unknown HTTP method {method:?}")))?;
        let mut conn = self.request(method, path, request_id);
        if let Some(content_type) = content_type {
            conn = conn.with_request_header("content-type", content_type.clone());
        }
        if let Some(key) = idempotency_key {
            conn = conn.with_request_header("idempotency-key", key.clone());
        }
        if !body.is_empty() {
            conn = conn.with_body(body);
        }
        self.send(conn, request_id).await
    }

    /// Cancels a request at the engine and waits for the confirmation, up to
    /// [`CANCEL_TIMEOUT`]. The connection of the request is closed when its
    /// response is dropped.
    pub(crate) async fn cancel(&self, request_id: &RequestId) {
        let body = serde_json::json!({ "request_id": request_id }).to_string();
        let conn = self
            .request(Method::Post, "/cancel", request_id)
            .with_request_header("content-type", "application/json")
            .with_body(body);
        let exchange = async {
            // A failure is ignored, since closing the connection also cancels the
            // request.
            if let Ok(mut conn) = conn.await {
                let _ = conn.response_body().read_bytes().await;
            }
        };
        let timeout = async {
            smol::Timer::after(CANCEL_TIMEOUT).await;
        };
        exchange.or(timeout).await;
    }

    fn request(&self, method: Method, path: &str, request_id: &RequestId) -> Conn {
        let url = format!("http://{}{path}", self.addr);
        self.http
            .build_conn(method, url)
            .with_request_header(REQUEST_ID_HEADER, request_id.to_string())
    }

    async fn send(&self, conn: Conn, request_id: &RequestId) -> Result<UpstreamResponse, Fault> {
        let response = UpstreamResponse::receive(conn, request_id).await;
        let is_unreachable = matches!(response, Err(Fault::Unreachable(_)));
        if is_unreachable == self.is_reachable() {
            self.is_reachable.store(!is_unreachable, Ordering::Relaxed);
        }
        response
    }
}
