//! The platform over its HTTP API.

use std::{sync::Arc, time::Duration};

use serde::Deserialize;
use trillium_client::Conn;
use trillium_http::Method;

use crate::{
    api::{
        BoxFuture, Condition, InstanceList, InstanceSource, Key, Listed, Object, ObjectStore,
        StoreError,
    },
    client::{unexpected_status, StoreClient, StoreResponse},
    limiter::{CallKind, RateLimits},
};

/// Longest wait for the answer to a call other than a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time beyond a watch's own timeout after which it counts as unanswered.
const WATCH_GRACE: Duration = Duration::from_secs(2);

/// The platform behind its own HTTP interface. Cheap to clone; all clones share
/// one client.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    client: StoreClient,
}

#[derive(Deserialize)]
struct ObjectBody {
    version: u64,
    value: serde_json::Value,
}

#[derive(Deserialize)]
struct VersionBody {
    version: u64,
}

#[derive(Deserialize)]
struct ListBody {
    objects: Vec<ListedBody>,
}

#[derive(Deserialize)]
struct ListedBody {
    name: Arc<str>,
    version: u64,
}

impl HttpPlatform {
    /// Makes a client of the platform at `addr` (`IP:port`).
    pub fn new(addr: &str) -> Self {
        Self::with_rates(addr, RateLimits::default())
    }

    /// Makes a client whose calls keep within `rates`.
    pub fn with_rates(addr: &str, rates: RateLimits) -> Self {
        Self {
            client: StoreClient::new(addr, rates),
        }
    }

    fn request(&self, method: Method, path: &str) -> Conn {
        self.client.request(method, path)
    }

    /// Makes one call; statuses with one meaning for all calls are errors.
    async fn call(
        &self,
        kind: CallKind,
        conn: Conn,
        timeout: Duration,
    ) -> Result<StoreResponse, StoreError> {
        let answer = self.client.call(kind, conn, timeout).await?;
        match answer.status {
            412 => Err(StoreError::Conflict),
            429 | 503 => Err(StoreError::Refused(format!("status {}", answer.status))),
            500.. => Err(unexpected_status(answer.status)),
            _ => Ok(answer),
        }
    }
}

impl ObjectStore for HttpPlatform {
    fn get<'a>(&'a self, key: &'a Key) -> BoxFuture<'a, Result<Option<Object>, StoreError>> {
        Box::pin(async move {
            let conn = self.request(Method::Get, &object_path(key));
            let answer = self.call(CallKind::Get, conn, CALL_TIMEOUT).await?;
            match answer.status {
                404 => Ok(None),
                _ => object_of(&answer).map(Some),
            }
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a Key,
        value: &'a serde_json::Value,
        condition: Condition,
    ) -> BoxFuture<'a, Result<u64, StoreError>> {
        Box::pin(async move {
            let text = value.to_string();
            let size_bytes = text.len();
            let conn = self
                .request(Method::Put, &object_path(key))
                .with_request_header("content-type", "application/json")
                .with_body(text);
            let conn = with_condition(conn, condition);
            let answer = self.call(CallKind::Put, conn, CALL_TIMEOUT).await?;
            if answer.status == 413 {
                let key = key.to_string();
                return Err(StoreError::TooLarge { key, size_bytes });
            }
            Ok(answer.body::<VersionBody>()?.version)
        })
    }

    fn delete<'a>(
        &'a self,
        key: &'a Key,
        condition: Condition,
    ) -> BoxFuture<'a, Result<(), StoreError>> {
        Box::pin(async move {
            let conn = self.request(Method::Delete, &object_path(key));
            let conn = with_condition(conn, condition);
            let answer = self.call(CallKind::Delete, conn, CALL_TIMEOUT).await?;
            match answer.status {
                200 | 204 | 404 => Ok(()),
                status => Err(unexpected_status(status)),
            }
        })
    }

    fn list<'a>(&'a self, kind: &'a str) -> BoxFuture<'a, Result<Vec<Listed>, StoreError>> {
        Box::pin(async move {
            let path = format!("/objects/{}", path_segment(kind));
            let conn = self.request(Method::Get, &path);
            let answer = self.call(CallKind::List, conn, CALL_TIMEOUT).await?;
            let listing: ListBody = answer.body()?;
            let objects = listing.objects.into_iter();
            Ok(objects
                .map(|ListedBody { name, version }| Listed { name, version })
                .collect())
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a Key,
        after: u64,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Option<Object>, StoreError>> {
        Box::pin(async move {
            let path = format!(
                "/watch/{}/{}?after={after}&timeout_ms={}",
                path_segment(&key.kind),
                path_segment(&key.name),
                timeout.as_millis()
            );
            let conn = self.request(Method::Get, &path);
            let answer = self
                .call(CallKind::Watch, conn, timeout + WATCH_GRACE)
                .await?;
            match answer.status {
                204 | 404 => Ok(None),
                _ => object_of(&answer).map(Some),
            }
        })
    }
}

impl InstanceSource for HttpPlatform {
    fn instances(
        &self,
        after: Option<u64>,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<Option<InstanceList>, StoreError>> {
        Box::pin(async move {
            let path = match after {
                Some(after) => format!(
                    "/instances?after={after}&timeout_ms={}",
                    timeout.as_millis()
                ),
                None => "/instances".to_string(),
            };
            let conn = self.request(Method::Get, &path);
            let answer = self
                .call(CallKind::Instances, conn, timeout + WATCH_GRACE)
                .await?;
            match answer.status {
                204 => Ok(None),
                _ => answer.body().map(Some),
            }
        })
    }
}

fn object_of(answer: &StoreResponse) -> Result<Object, StoreError> {
    let ObjectBody { version, value } = answer.body()?;
    Ok(Object { version, value })
}

fn with_condition(conn: Conn, condition: Condition) -> Conn {
    match condition {
        Condition::None => conn,
        Condition::Absent => conn.with_request_header("if-none-match", "*"),
        Condition::Version(version) => conn.with_request_header("if-match", version.to_string()),
    }
}

fn object_path(key: &Key) -> String {
    let kind = path_segment(&key.kind);
    let name = path_segment(&key.name);
    format!("/objects/{kind}/{name}")
}

/// Percent-encodes what may not stand in one segment of a path.
fn path_segment(text: &str) -> String {
    use std::fmt::Write;

    let mut segment = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            segment.push(char::from(byte));
            continue;
        }
        // Writing to a string can't fail.
        let _ = write!(segment, "%{byte:02X}");
    }
    segment
}
