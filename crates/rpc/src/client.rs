//! Calls to other processes of the system.

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

/// A call that did not yield an answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No connection: the peer has not seen the call.
    #[error("could not reach {addr}: {reason}")]
    Unreachable {
        /// The peer's address.
        addr: String,
        /// The transport's word.
        reason: String,
    },
    /// No answer in time, or a broken one: the peer may have acted.
    #[error("no answer from {addr}: {reason}")]
    NoResponse {
        /// The peer's address.
        addr: String,
        /// What was seen.
        reason: String,
    },
    /// The peer refused the call.
    #[error("{addr} refused the call: {reason}")]
    Refused {
        /// The peer's address.
        addr: String,
        /// The peer's word.
        reason: String,
    },
}

impl CallError {
    /// Whether the call may have taken effect at the peer.
    pub fn verdict(&self) -> Verdict {
        match self {
            CallError::Unreachable { .. } | CallError::Refused { .. } => Verdict::NotRun,
            CallError::NoResponse { .. } => Verdict::MayHaveRun,
        }
    }
}

/// Makes calls in the name of one process. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient,
    sender: InstanceId,
    secrets: Arc<PeerSecrets>,
    next_id: Arc<AtomicU64>,
}

#[derive(Deserialize)]
struct RpcAnswer<A> {
    result: Option<A>,
    error: Option<RpcFault>,
}

#[derive(Deserialize)]
struct RpcFault {
    message: String,
}

impl Client {
    /// Makes a client with its own connection pool.
    pub fn new(sender: InstanceId, secrets: Arc<PeerSecrets>) -> Self {
        Self {
            http: HttpClient::new(ClientConfig::default().with_nodelay(true)),
            sender,
            secrets,
            next_id: Arc::new(AtomicU64::new(1)),
        }
    }

    /// Calls `M` at `addr` (`IP:port`).
    ///
    /// # Errors
    ///
    /// [`CallError`], whose verdict says whether the call may have taken effect.
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
        let late = async {
            smol::Timer::after(timeout).await;
            Err(CallError::NoResponse {
                addr: addr.into(),
                reason: format!("nothing within {} ms", timeout.as_millis()),
            })
        };
        exchange::<RpcResponse<M::Response>>(addr, conn)
            .or(late)
            .await
    }
}

async fn exchange<A: for<'de> Deserialize<'de>>(addr: &str, conn: Conn) -> Result<A, CallError> {
    let no_answer = |reason: String| CallError::NoResponse {
        addr: addr.into(),
        reason,
    };
    let mut conn = conn.await.map_err(|error| transport_error(addr, &error))?;
    let status = conn.status().map_or(0, |status| status as u16);
    let text = conn
        .response_body()
        .read_string()
        .await
        .map_err(|error| no_answer(error.to_string()))?;
    count_bytes("received", text.len());
    if status != 200 {
        return Err(CallError::Refused {
            addr: addr.into(),
            reason: format!("status {status}"),
        });
    }
    let answer: RpcAnswer<A> =
        serde_json::from_str(&text).map_err(|error| no_answer(error.to_string()))?;
    if let Some(fault) = answer.error {
        return Err(CallError::Refused {
            addr: addr.into(),
            reason: fault.message,
        });
    }
    answer
        .result
        .ok_or_else(|| no_answer("neither result nor error".into()))
}

/// Tells a failed connect, before which no byte was sent, from a broken exchange.
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
