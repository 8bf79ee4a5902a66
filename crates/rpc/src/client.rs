//! Client side of the JSON-RPC calls between processes.

use std::{
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    time::Duration,
};

use futures_lite::FutureExt;
use serde::Deserialize;
use serde_json::json;
use trillium_client::{Client as HttpClient, Conn};
use trillium_smol::ClientConfig;
use types::{Generation, InstanceId, Verdict};

use crate::{
    methods::{Call, Method, RpcResponse},
    secret::PeerSecrets,
    traffic::count_bytes,
    PEER_HEADER, RPC_PATH,
};

/// Failure of a call to a peer. [`CallError::verdict`] shows whether the peer may
/// have executed the call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The connection was refused, so the peer did not receive the call.
    #[error("could not connect to {addr}: {reason}")]
    Unreachable {
        /// Address of the peer.
        addr: String,
        /// Error text of the connection.
        reason: String,
    },
    /// No valid response arrived in time, so the peer may have executed the call.
    #[error("no valid response from {addr}: {reason}")]
    NoResponse {
        /// Address of the peer.
        addr: String,
        /// Timeout, connection error or parse error.
        reason: String,
    },
    /// The peer refused the call or returned an error.
    #[error("{addr} refused the call: {reason}")]
    Refused {
        /// Address of the peer.
        addr: String,
        /// HTTP status or error message of the peer.
        reason: String,
    },
}

impl CallError {
    /// Returns whether the call may have taken effect at the peer.
    pub fn verdict(&self) -> Verdict {
        match self {
            CallError::Unreachable { .. } | CallError::Refused { .. } => Verdict::NotRun,
            CallError::NoResponse { .. } => Verdict::MayHaveRun,
        }
    }
}

/// RPC client of one process. Clones share the connection pool.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient,
    sender: InstanceId,
    secrets: Arc<PeerSecrets>,
    next_id: Arc<AtomicU64>,
}

#[derive(Deserialize)]
struct JsonRpcResponse<A> {
    result: Option<A>,
    error: Option<JsonRpcError>,
}

#[derive(Deserialize)]
struct JsonRpcError {
    message: String,
}

impl Client {
    /// Creates a client with its own connection pool. Calls carry `sender` as
    /// their origin.
    pub fn new(sender: InstanceId, secrets: Arc<PeerSecrets>) -> Self {
        Self {
            http: HttpClient::new(ClientConfig::default().with_nodelay(true)),
            sender,
            secrets,
            next_id: Arc::new(AtomicU64::new(1)),
        }
    }

    /// Calls the method `M` at `addr` (`IP:port`). `generation` is that of the
    /// configuration in force at the caller.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`]; its verdict shows whether the call may have taken
    /// effect.
    pub async fn call<M: Method>(
        &self,
        addr: &str,
        generation: Generation,
        params: M::Params,
        timeout: Duration,
    ) -> Result<RpcResponse<M::Response>, CallError> {
        let call = Call {
            sender: self.sender.clone(),
            generation,
            params,
        };
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let body =
            json!({"jsonrpc": "2.0", "id": id, "method": M::NAME, "params": [call]}).to_string();
        count_bytes("sent", body.len());
        let conn = self
            .http
            .post(format!("http://{addr}{RPC_PATH}"))
            .with_request_header(PEER_HEADER, self.secrets.current().to_string())
            .with_request_header("content-type", "application/json")
            .with_body(body);
        let timed_out = async {
            smol::Timer::after(timeout).await;
            Err(CallError::NoResponse {
                addr: addr.into(),
                reason: format!("timed out after {} ms", timeout.as_millis()),
            })
        };
        exchange::<RpcResponse<M::Response>>(addr, conn)
            .or(timed_out)
            .await
    }
}

/// Sends the request and parses the result of the JSON-RPC response.
async fn exchange<A: for<'de> Deserialize<'de>>(addr: &str, conn: Conn) -> Result<A, CallError> {
    let no_response = |reason: String| CallError::NoResponse {
        addr: addr.into(),
        reason,
    };
    let mut conn = conn.await.map_err(|error| transport_error(addr, &error))?;
    let status = conn.status().map_or(0, |status| status as u16);
    let text = conn
        .response_body()
        .read_string()
        .await
        .map_err(|error| no_response(error.to_string()))?;
    count_bytes("received", text.len());
    if status != 200 {
        return Err(CallError::Refused {
            addr: addr.into(),
            reason: format!("status {status}"),
        });
    }
    let response: JsonRpcResponse<A> =
        serde_json::from_str(&text).map_err(|error| no_response(error.to_string()))?;
    if let Some(error) = response.error {
        return Err(CallError::Refused {
            addr: addr.into(),
            reason: error.message,
        });
    }
    response
        .result
        .ok_or_else(|| no_response("the response has neither result nor error".into()))
}

/// Converts a transport error. A refused connection proves that no byte was sent;
/// after any other error the peer may have received the call.
pub(crate) fn transport_error(addr: &str, error: &trillium_http::Error) -> CallError {
    use std::io::ErrorKind;

    let reason = error.to_string();
    let addr = addr.to_string();
    match error {
        trillium_http::Error::Io(io) if io.kind() == ErrorKind::ConnectionRefused => {
            CallError::Unreachable { addr, reason }
        }
        _ => CallError::NoResponse { addr, reason },
    }
}
