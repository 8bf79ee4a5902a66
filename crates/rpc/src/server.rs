//! Server side of the JSON-RPC calls between processes.

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

/// Maximum size of the body of an internal call: 4 MiB.
const CALL_BODY_MAX_BYTES: u64 = 4 << 20;

/// The JSON-RPC methods that a process serves.
#[derive(Debug)]
pub struct Methods<S: Send + Sync + 'static> {
    module: RpcModule<S>,
}

/// Failure of a method; the text is returned to the caller.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct MethodError(pub String);

impl<S: Send + Sync + 'static> Methods<S> {
    /// Creates an empty set of methods. Each method gets a reference to `state`.
    pub fn new(state: S) -> Self {
        Self {
            module: RpcModule::new(state),
        }
    }

    /// Registers `handler` for the method `M`. It receives the call and the shared
    /// state. In debug builds, panics if `M` is already registered.
    pub fn with<M, F, Fut>(mut self, handler: F) -> Self
    where
        M: Method,
        F: Fn(Call<M::Params>, Arc<S>) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = Result<RpcResponse<M::Response>, MethodError>> + Send + 'static,
    {
        let registered =
            self.module
                .register_async_method(M::NAME, move |params, state, _extensions| {
                    let call: Result<Call<M::Params>, _> = params.one();
                    let handler = handler.clone();
                    async move {
                        let result = handler(call?, state).await;
                        result.map_err(|error| {
                            jsonrpsee_types::ErrorObjectOwned::owned(-32000, error.0, None::<()>)
                        })
                    }
                });
        debug_assert!(registered.is_ok(), "method {} is registered twice", M::NAME);
        self
    }

    /// Returns the HTTP handler of [`crate::RPC_PATH`], which refuses calls without
    /// an accepted peer secret.
    pub fn into_handler(self, secrets: Arc<PeerSecrets>) -> impl Handler {
        let module = Arc::new(self.module);
        move |conn: Conn| {
            let module = module.clone();
            let secrets = secrets.clone();
            async move { serve(conn, &module, &secrets).await }
        }
    }
}

/// Returns whether a received message carries an accepted peer secret.
pub fn is_from_peer(conn: &Conn, secrets: &PeerSecrets) -> bool {
    conn.request_headers()
        .get_str(PEER_HEADER)
        .is_some_and(|received| secrets.accepts(received))
}

/// Responds with status 403 to a message without an accepted peer secret.
pub fn reject_unauthenticated(conn: Conn) -> Conn {
    let body = ErrorBody::new(
        ErrorCode::PeerRefused,
        Verdict::NotRun,
        "missing or wrong peer secret; check LIMPETGW_PEER_SECRET at the sender",
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
        Ok((response, _subscriptions)) => {
            count_bytes("received", request.len());
            count_bytes("sent", response.get().len());
            conn.with_status(Status::Ok)
                .with_response_header("content-type", "application/json")
                .with_body(response.get().to_string())
                .halt()
        }
        Err(_) => conn.with_status(Status::BadRequest).halt(),
    }
}
