//! The platform over its HTTP API.

use std::{io::ErrorKind, sync::Arc, time::Duration};

use futures_lite::FutureExt;
use serde::{de::DeserializeOwned, Deserialize};
use trillium_client::{Client, Conn};
use trillium_http::Method;
use trillium_smol::ClientConfig;

use crate::{
    api::{
        BoxFuture, Condition, InstanceList, InstanceSource, Key, Listed, Object, ObjectStore,
        StoreError,
    },
    limiter::{CallKind, Limiter, Rates},
};

/// Size of the HTTP head of a call or its answer, in bytes, about.
const HEAD_BYTES: u64 = 300;
/// Longest wait for the answer to a call other than a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time beyond a watch's own timeout after which it counts as unanswered.
const WATCH_GRACE: Duration = Duration::from_secs(2);
/// Largest answer that is read, in bytes: one value, or a listing.
const ANSWER_MAX_BYTES: u64 = 16 << 20;

/// Client of the platform at one address. Cheap to clone; all clones share
/// one connection pool and one limiter.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    http: Client,
    addr: Arc<str>,
    limiter: Arc<Limiter>,
}

/// An answer of the platform.
struct Answer {
    status: u16,
    text: String,
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
        Self::with_rates(addr, Rates::default())
    }

    /// Makes a client whose calls keep within `rates`.
    pub fn with_rates(addr: &str, rates: Rates) -> Self {
        Self {
            http: Client::new(ClientConfig::default().with_nodelay(true)),
            addr: addr.into(),
            limiter: Arc::new(Limiter::new(rates)),
        }
    }

    fn request(&self, method: Method, path: &str) -> Conn {
        self.http
            .build_conn(method, format!("http://{}{path}", self.addr))
    }

    /// Makes one call within the limits and counts it.
    async fn call(
        &self,
        kind: CallKind,
        conn: Conn,
        timeout: Duration,
    ) -> Result<Answer, StoreError> {
        self.limiter.acquire(kind).await?;
        let late = async {
            smol::Timer::after(timeout).await;
            let waited_ms = timeout.as_millis();
            Err(StoreError::Unsure(format!("nothing within {waited_ms} ms")))
        };
        let answer = exchange(conn).or(late).await;
        count_call(kind, &answer);
        answer
    }
}

impl ObjectStore for HttpPlatform {
    fn get<'a>(&'a self, key: &'a Key) -> BoxFuture<'a, Result<Option<Object>, StoreError>> {
        Box::pin(async move {
            let conn = self.request(Method::Get, &object_path(key));
            let answer = self.call(CallKind::Get, conn, CALL_TIMEOUT).await?;
            match answer.status {
                404 => Ok(None),
                _ => answer.object().map(Some),
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
                status => Err(unexpected(status)),
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
                _ => answer.object().map(Some),
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

impl Answer {
    fn body<T: DeserializeOwned>(&self) -> Result<T, StoreError> {
        if self.status != 200 {
            return Err(unexpected(self.status));
        }
        serde_json::from_str(&self.text)
            .map_err(|error| StoreError::Unsure(format!("unreadable answer: {error}")))
    }

    fn object(&self) -> Result<Object, StoreError> {
        let ObjectBody { version, value } = self.body()?;
        Ok(Object { version, value })
    }
}

async fn exchange(conn: Conn) -> Result<Answer, StoreError> {
    let mut conn = conn.await.map_err(|error| transport_error(&error))?;
    let status = conn.status().map_or(0, |status| status as u16);
    let body = conn.response_body().with_max_len(ANSWER_MAX_BYTES);
    let text = body
        .read_string()
        .await
        .map_err(|error| StoreError::Unsure(error.to_string()))?;
    match status {
        412 => Err(StoreError::Conflict),
        429 | 503 => Err(StoreError::Refused(format!("status {status}"))),
        500.. => Err(unexpected(status)),
        _ => Ok(Answer { status, text }),
    }
}

/// Tells a failed connect, before which no byte was sent, from a broken exchange.
fn transport_error(error: &trillium_http::Error) -> StoreError {
    let reason = error.to_string();
    match error {
        trillium_http::Error::Io(io) if io.kind() == ErrorKind::ConnectionRefused => {
            StoreError::Refused(reason)
        }
        _ => StoreError::Unsure(reason),
    }
}

/// A status that the platform's interface does not name: below 500 the call
/// was turned away, from 500 on it may have taken effect.
fn unexpected(status: u16) -> StoreError {
    let reason = format!("unexpected status {status}");
    match status {
        400..=499 => StoreError::Refused(reason),
        _ => StoreError::Unsure(reason),
    }
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

fn count_call(kind: CallKind, answer: &Result<Answer, StoreError>) {
    let outcome = match answer {
        Ok(_) => "answered",
        Err(StoreError::Conflict) => "conflict",
        Err(StoreError::Refused(_) | StoreError::TooLarge { .. }) => "refused",
        Err(StoreError::Unsure(_)) => "unsure",
    };
    metrics::counter!("limpetgw_platform_calls_total", "call" => kind.as_str(), "outcome" => outcome)
        .increment(1);
    let body_bytes = answer.as_ref().map_or(0, |answer| answer.text.len());
    metrics::counter!("limpetgw_control_bytes_total", "direction" => "received")
        .increment(HEAD_BYTES + body_bytes as u64);
    metrics::counter!("limpetgw_control_bytes_total", "direction" => "sent").increment(HEAD_BYTES);
}
