//! Sends one dispatch to an agent and tells what came back.

use std::{sync::Arc, time::Duration};

use net::{ConnectFailed, TimeoutConnector};
use rpc::{DispatchMeta, DispatchReply, PeerSecrets, DISPATCH_HEADER, DISPATCH_PATH, PEER_HEADER};
use trillium_client::{Client, Conn};
use types::{ErrorBody, ErrorCode, Verdict};

use crate::failure::Failure;

/// Longest wait for a TCP connection to an agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest error body read from an agent, in bytes.
const ERROR_BODY_MAX_BYTES: u64 = 64 << 10;

/// What an agent said beside the answer itself, and the answer's head.
pub(crate) struct AnswerHead {
    /// The agent's own words, if its header was readable.
    pub(crate) reply: Option<DispatchReply>,
    /// Whether the agent itself refused, so that it does not hold the request.
    pub(crate) refused: bool,
    /// The open answer, or why there is none.
    pub(crate) answer: Result<Conn, Failure>,
}

/// Sends dispatches over kept connections.
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

    /// Sends a dispatch and waits for the head of the answer.
    pub(crate) async fn dispatch(
        &self,
        addr: &str,
        meta: &DispatchMeta,
        body: Arc<[u8]>,
    ) -> AnswerHead {
        // Dispatch metadata is names and numbers: serialization can't fail.
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
                return AnswerHead {
                    reply: None,
                    refused: false,
                    answer: Err(transport_failure(&error)),
                }
            }
        };
        let reply = conn
            .response_headers()
            .get_str(rpc::REPLY_HEADER)
            .and_then(|text| serde_json::from_str(text).ok());
        if conn.status().is_some_and(|status| status as u16 == 200) {
            return AnswerHead {
                reply,
                refused: false,
                answer: Ok(conn),
            };
        }
        let refusal = read_refusal(&mut conn).await;
        AnswerHead {
            reply,
            refused: refusal.is_some(),
            answer: Err(refusal.unwrap_or_else(unreadable_error)),
        }
    }
}

/// The agent's refusal, if it can be read.
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

/// Without a readable refusal nothing is proved.
fn unreadable_error() -> Failure {
    Failure::new(
        ErrorCode::UpstreamFailed,
        Verdict::MayHaveRun,
        "the upstream's agent answered with an unreadable error",
    )
}

fn transport_failure(error: &trillium_http::Error) -> Failure {
    if ConnectFailed::caused(error) {
        return Failure::not_run(
            ErrorCode::NoUpstream,
            "the upstream instance could not be reached; try again",
        );
    }
    Failure::new(
        ErrorCode::UpstreamFailed,
        Verdict::MayHaveRun,
        "the connection to the upstream's agent broke before an answer",
    )
}
