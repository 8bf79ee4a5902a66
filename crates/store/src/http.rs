//! Client of the platform's HTTP API.

use std::{sync::Arc, time::Duration};

use percent_encoding::{utf8_percent_encode, AsciiSet, PercentEncode, NON_ALPHANUMERIC};
use serde::Deserialize;
use trillium_client::Conn;
use trillium_http::Method;

use crate::{
    api::{
        readable_items, BoxFuture, Condition, InstanceList, InstanceSource, Key, Listed, Object,
        ObjectStore, StoreError,
    },
    client::{unexpected_status, StoreClient, StoreResponse},
    limiter::{CallKind, RateLimits},
};

/// Timeout of all calls except watches and reads of the instance list.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time added to the server-side timeout of a watch or of a read of the instance
/// list to get the timeout of the call.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// [`ObjectStore`] and [`InstanceSource`] over the platform's HTTP API. Cheap
/// to clone; all clones share one client.
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
    #[serde(deserialize_with = "readable_items")]
    objects: Vec<ListedBody>,
}

#[derive(Deserialize)]
struct ListedBody {
    name: Arc<str>,
    version: u64,
}

impl HttpPlatform {
    /// Creates a client for the platform at `addr` (`IP:port`) with the default
    /// rate limits.
    pub fn new(addr: &str) -> Self {
        Self::with_rates(addr, RateLimits::default())
    }

    /// Creates a client whose calls are limited to `rates`.
    pub fn with_rates(addr: &str, rates: RateLimits) -> Self {
        Self {
            client: StoreClient::new(addr, rates),
        }
    }

    fn request(&self, method: Method, path: &str) -> Conn {
        self.client.request(method, path)
    }

    /// Makes one call. Returns an error for the statuses that have the same
    /// meaning for every call: 412, 429 and 5xx.
    async fn call(
        &self,
        kind: CallKind,
        conn: Conn,
        timeout: Duration,
    ) -> Result<StoreResponse, StoreError> {
        let response = self.client.call(kind, conn, timeout).await?;
        match response.status {
            412 => Err(StoreError::Conflict),
            429 | 503 => Err(StoreError::Refused(format!("status {}", response.status))),
            500.. => Err(unexpected_status(response.status)),
            _ => Ok(response),
        }
    }
}

impl ObjectStore for HttpPlatform {
    fn get<'a>(&'a self, key: &'a Key) -> BoxFuture<'a, Result<Option<Object>, StoreError>> {
        Box::pin(async move {
            let conn = self.request(Method::Get, &object_path(key));
            let response = self.call(CallKind::Get, conn, CALL_TIMEOUT).await?;
            match response.status {
                404 => Ok(None),
                _ => parse_object(&response).map(Some),
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
            let response = self.call(CallKind::Put, conn, CALL_TIMEOUT).await?;
            if response.status == 413 {
                let key = key.to_string();
                return Err(StoreError::TooLarge { key, size_bytes });
            }
            Ok(response.body::<VersionBody>()?.version)
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
            let response = self.call(CallKind::Delete, conn, CALL_TIMEOUT).await?;
            match response.status {
                200 | 204 | 404 => Ok(()),
                status => Err(unexpected_status(status)),
            }
        })
    }

    fn list<'a>(&'a self, kind: &'a str) -> BoxFuture<'a, Result<Vec<Listed>, StoreError>> {
        Box::pin(async move {
            let path = format!("/objects/{}", path_segment(kind));
            let conn = self.request(Method::Get, &path);
            let response = self.call(CallKind::List, conn, CALL_TIMEOUT).await?;
            let listing: ListBody = response.body()?;
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
            let response = self
                .call(CallKind::Watch, conn, timeout + WATCH_TIMEOUT_MARGIN)
                .await?;
            match response.status {
                204 | 404 => Ok(None),
                _ => parse_object(&response).map(Some),
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
            let response = self
                .call(CallKind::Instances, conn, timeout + WATCH_TIMEOUT_MARGIN)
                .await?;
            match response.status {
                204 => Ok(None),
                _ => response.body().map(Some),
            }
        })
    }
}

fn parse_object(response: &StoreResponse) -> Result<Object, StoreError> {
    let ObjectBody { version, value } = response.body()?;
    Ok(Object { version, value })
}

/// Sets the precondition header of a write.
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

/// Bytes that are not allowed in a path segment: all but the unreserved characters of
/// RFC 3986.
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Percent-encodes all bytes that are not allowed in a path segment or in the value of a
/// query.
pub fn path_segment(text: &str) -> PercentEncode<'_> {
    utf8_percent_encode(text, RESERVED)
}
