//! HTTP transport for dispatches to agents. Classifies each failure by whether
//! the request may have run.

use std::{sync::Arc, time::Duration};

use net::{ConnectFailed, TimeoutConnector};
use rpc::{DispatchMeta, DispatchReply, PeerSecrets, DISPATCH_HEADER, DISPATCH_PATH, PEER_HEADER};
use trillium_client::{Client, Conn};
use types::{ErrorBody, ErrorCode, Verdict};

use crate::failure::Failure;

/// Time limit for opening a TCP connection to an agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Size limit for the error body of an agent; a longer one counts as
/// unreadable.
const ERROR_BODY_MAX_BYTES: u64 = 64 << 10;

/// Result of a dispatch: the agent's metadata, and either the response with its
/// body unread or the failure.
pub(crate) struct ResponseHead {
    /// Load, generation and leaving flag of the agent; `None` if the header is
    /// missing or invalid.
    pub(crate) reply: Option<DispatchReply>,
    /// Whether the agent itself refused the request and so does not hold it.
    pub(crate) refused: bool,
    /// The connection with an unread body, or the reason for the failure.
    pub(crate) response: Result<Conn, Failure>,
}

/// HTTP client for dispatches; reuses connections to agents.
pub(crate) struct Transport {
    http: Client,
    secrets: Arc<PeerSecrets>,
}

impl Transport {
    pub(crate) fn new(secrets: Arc<PeerSecrets>) -> Self {
        Self {
            http: Client::new(TimeoutConnector::new(CONNECT_TIMEOUT)),
            secrets,
        }
    }

    /// Sends a dispatch and waits for the head of the response. Sets no deadline;
    /// the caller does.
    pub(crate) async fn dispatch(
        &self,
        addr: &str,
        meta: &DispatchMeta,
        body: Arc<[u8]>,
    ) -> ResponseHead {
        // The metadata holds only strings and numbers, so serialization can't
        // fail.
        let meta = serde_json::to_string(meta).unwrap_or_default();
        let conn = self
            .http
            .post(format!("http://{addr}{DISPATCH_PATH}"))
            .with_request_header(PEER_HEADER, self.secrets.current().to_string())
            .with_request_header(DISPATCH_HEADER, meta)
            .with_body(body);
        let mut conn = match conn.await {
            Ok(conn) => conn,
            Err(error) => {
                return ResponseHead {
                    reply: None,
                    refused: false,
                    response: Err(transport_failure(&error)),
                }
            }
        };
        let reply = conn
            .response_headers()
            .get_str(rpc::REPLY_HEADER)
            .and_then(|text| serde_json::from_str(text).ok());
        if conn.status().is_some_and(|status| status as u16 == 200) {
            return ResponseHead {
                reply,
                refused: false,
                response: Ok(conn),
            };
        }
        let refusal = read_refusal(&mut conn).await;
        ResponseHead {
            reply,
            refused: refusal.is_some(),
            response: Err(refusal.unwrap_or_else(unreadable_error)),
        }
    }
}

/// Parses the error body of an agent; `None` if it is not a valid error.
async fn read_refusal(conn: &mut Conn) -> Option<Failure> {
    let body = conn.response_body().with_max_len(ERROR_BODY_MAX_BYTES);
    let text = body.read_bytes().await.unwrap_or_default();
    let body: ErrorBody = serde_json::from_slice(&text).ok()?;
    Some(Failure {
        code: body.error.code,
        verdict: body.error.verdict,
        message: body.error.message,
        retry_after_ms: body.error.retry_after_ms,
    })
}

/// Failure for an error without a readable body. It doesn't prove that the
/// request was not run.
fn unreadable_error() -> Failure {
    Failure::new(
        ErrorCode::UpstreamFailed,
        Verdict::MayHaveRun,
        "the upstream's agent returned an error without a readable body; the request may have run",
    )
}

fn transport_failure(error: &trillium_http::Error) -> Failure {
    if ConnectFailed::caused(error) {
        return Failure::not_run(
            ErrorCode::NoUpstream,
            "could not connect to the upstream instance; send the request again",
        );
    }
    Failure::new(
        ErrorCode::UpstreamFailed,
        Verdict::MayHaveRun,
        "the connection to the upstream's agent was lost before a response arrived; the request may have run",
    )
}
