//! Plain HTTP calls of the harness itself.

use std::time::Duration;

use futures_lite::FutureExt;
use serde_json::Value;
use trillium_client::{Client, Method};
use trillium_smol::ClientConfig;

use crate::HarnessError;

/// Longest wait for an answer.
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// An answer: its status and its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: String,
}

/// A client without kept connections, so that a restarted process is never
/// called over a connection to the one before.
pub(crate) fn client() -> Client {
    Client::new(ClientConfig::default().with_nodelay(true)).without_keepalive()
}

/// Makes one call.
pub(crate) async fn call(
    http: &Client,
    method: Method,
    url: &str,
    body: Option<String>,
) -> Result<Answer, HarnessError> {
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
        Ok(Answer { status, body })
    };
    let late = async {
        smol::Timer::after(CALL_LIMIT).await;
        Err(failed("no answer".into()))
    };
    exchange.or(late).await
}

/// Makes a call that has to succeed; its body as JSON.
pub(crate) async fn call_json(
    http: &Client,
    method: Method,
    url: &str,
    body: Option<String>,
) -> Result<Value, HarnessError> {
    let answer = call(http, method, url, body).await?;
    if answer.status != 200 {
        return Err(HarnessError::Call {
            url: url.into(),
            reason: format!("status {}: {}", answer.status, answer.body),
        });
    }
    serde_json::from_str(&answer.body).map_err(|error| HarnessError::Call {
        url: url.into(),
        reason: error.to_string(),
    })
}
