//! HTTP calls of the harness to the processes of a cluster.

use std::time::Duration;

use futures_lite::FutureExt;
use serde_json::Value;
use trillium_client::{Client, Method};
use trillium_smol::ClientConfig;

use crate::HarnessError;

/// Timeout of an HTTP call, including reading the response body.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Status and body of an HTTP response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) body: String,
}

/// Returns a client without keep-alive, so that a call to a restarted process
/// never uses a connection to the previous process.
pub(crate) fn client() -> Client {
    Client::new(ClientConfig::default().with_nodelay(true)).without_keepalive()
}

/// Makes an HTTP call with a timeout of 10 seconds and returns the response
/// whatever its status is.
pub(crate) async fn call(
    http: &Client,
    method: Method,
    url: &str,
    body: Option<String>,
) -> Result<Response, HarnessError> {
    let failed = |reason: String| HarnessError::Call {
        url: url.into(),
        reason,
    };
    let exchange = async {
        let mut conn = http.build_conn(method, url);
        if let Some(body) = body {
            conn = conn.with_body(body);
        }
        let mut conn = conn.await.map_err(|error| failed(error.to_string()))?;
        let status = conn.status().map_or(0, |status| status as u16);
        let body = conn.response_body().with_max_len(u64::MAX).read_string();
        let body = body.await.map_err(|error| failed(error.to_string()))?;
        Ok(Response { status, body })
    };
    let timed_out = async {
        smol::Timer::after(CALL_TIMEOUT).await;
        Err(failed("no complete response within 10 s".into()))
    };
    exchange.or(timed_out).await
}

/// Makes an HTTP call, requires status 200 and decodes the body from JSON.
pub(crate) async fn call_json(
    http: &Client,
    method: Method,
    url: &str,
    body: Option<String>,
) -> Result<Value, HarnessError> {
    let response = call(http, method, url, body).await?;
    if response.status != 200 {
        return Err(HarnessError::Call {
            url: url.into(),
            reason: format!("status {}: {}", response.status, response.body),
        });
    }
    serde_json::from_str(&response.body).map_err(|error| HarnessError::Call {
        url: url.into(),
        reason: error.to_string(),
    })
}
