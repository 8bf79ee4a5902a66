//! Serving calls of other processes.

use std::{future::Future, sync::Arc};

use jsonrpsee_core::server::RpcModule;
use trillium::{Conn, Handler, Status};
use types::{ErrorBody, ErrorCode, Verdict};

use crate::{
    methods::{Call, Method, RpcResponse},
    secret::PeerSecrets,
    traffic::count_bytes,
    PEER_HEADER,
};

/// Largest body of an internal call, in bytes.
const CALL_BODY_MAX_BYTES: u64 = 4 << 20;

/// The methods that a process serves.
#[derive(Debug)]
pub struct Methods<S: Send + Sync + 'static> {
    module: RpcModule<S>,
}

/// What serves a method has failed for a reason told to the caller.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct MethodError(pub String);

impl<S: Send + Sync + 'static> Methods<S> {
    /// Makes an empty set over a shared state.
    pub fn new(state: S) -> Self {
        Self {
            module: RpcModule::new(state),
        }
    }

    /// Serves `M` with `serve`, which gets the call and the shared state.
    pub fn with<M, F, Fut>(mut self, serve: F) -> Self
    where
        M: Method,
        F: Fn(Call<M::Params>, Arc<S>) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = Result<RpcResponse<M::Response>, MethodError>> + Send + 'static,
    {
        let registered =
            self.module
                .register_async_method(M::NAME, move |params, state, _extensions| {
                    let call: Result<Call<M::Params>, _> = params.one();
                    let serve = serve.clone();
                    async move {
                        let answer = serve(call?, state).await;
                        answer.map_err(|error| {
                            jsonrpsee_types::ErrorObjectOwned::owned(-32000, error.0, None::<()>)
                        })
                    }
                });
        debug_assert!(registered.is_ok(), "{} is served twice", M::NAME);
        self
    }

    /// The handler of [`crate::RPC_PATH`]; refuses calls without the peer secret.
    pub fn into_handler(self, secrets: Arc<PeerSecrets>) -> impl Handler {
        let module = Arc::new(self.module);
        move |conn: Conn| {
            let module = module.clone();
            let secrets = secrets.clone();
            async move { serve(conn, &module, &secrets).await }
        }
    }
}

/// Whether a received message carries an accepted peer secret.
pub fn is_from_peer(conn: &Conn, secrets: &PeerSecrets) -> bool {
    conn.request_headers()
        .get_str(PEER_HEADER)
        .is_some_and(|received| secrets.accepts(received))
}

/// Refuses a message that lacks the peer secret.
pub fn reject_unauthenticated(conn: Conn) -> Conn {
    let body = ErrorBody::new(
        ErrorCode::PeerRefused,
        Verdict::NotRun,
        "internal calls carry the peer secret; check LIMPETGW_PEER_SECRET at the sender",
    );
    let text = serde_json::to_string(&body).unwrap_or_default();
    conn.with_status(Status::Forbidden)
        .with_response_header("content-type", "application/json")
        .with_body(text)
        .halt()
}

async fn serve<S: Send + Sync + 'static>(
    mut conn: Conn,
    module: &RpcModule<S>,
    secrets: &PeerSecrets,
) -> Conn {
    if !is_from_peer(&conn, secrets) {
        return reject_unauthenticated(conn);
    }
    let body = conn
        .request_body()
        .with_max_len(CALL_BODY_MAX_BYTES)
        .read_string()
        .await;
    let Ok(request) = body else {
        return conn.with_status(Status::BadRequest).halt();
    };
    match module.raw_json_request(&request, 1).await {
        Ok((answer, _subscriptions)) => {
            count_bytes("received", request.len());
            count_bytes("sent", answer.get().len());
            conn.with_status(Status::Ok)
                .with_response_header("content-type", "application/json")
                .with_body(answer.get().to_string())
                .halt()
        }
        Err(_) => conn.with_status(Status::BadRequest).halt(),
    }
}
