//! Sends requests, reads their responses and determines the outcome.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures_lite::{AsyncReadExt, FutureExt};
use serde_json::json;
use trillium_client::{Client, Conn, Method};
use trillium_http::Upgrade;
use trillium_server_common::Transport;
use trillium_smol::ClientConfig;
use types::ErrorBody;

use super::{
    check::{check_buffered, StreamChecker},
    Outcome, Reply,
};
use crate::{
    completion::{prompt_text, Completion, Message},
    service::expected_body,
};

/// Size of the read buffer for streamed responses, in bytes.
const READ_BYTES: usize = 16 << 10;

/// Timeout of a caller that does not set one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Parameters of a chat completion request.
#[derive(Clone, Debug)]
pub struct ChatRequest {
    /// The user's message. `[len=250]` in it sets the completion length in tokens.
    pub prompt: String,
    /// Requested model, which selects the upstream. The constructors set `advice`.
    pub model: String,
    /// Whether the response is streamed as server-sent events.
    pub stream: bool,
    /// Maximum length of the completion, in tokens; unlimited if absent.
    pub max_tokens: Option<u32>,
    /// Class sent in the `limpetgw-class` header; the team's default if absent.
    pub class: Option<String>,
    /// Value of `x-request-id`; a random id if absent.
    pub request_id: Option<String>,
}

impl ChatRequest {
    /// Returns a streamed request for the model `advice`.
    pub fn streamed(prompt: impl Into<String>) -> Self {
        Self {
            prompt: prompt.into(),
            model: "advice".into(),
            stream: true,
            max_tokens: None,
            class: None,
            request_id: None,
        }
    }

    /// Returns a request for the model `advice` whose response is not streamed.
    pub fn buffered(prompt: impl Into<String>) -> Self {
        Self {
            stream: false,
            ..Self::streamed(prompt)
        }
    }

    /// Sets the class sent in the `limpetgw-class` header.
    pub fn with_class(mut self, class: impl Into<String>) -> Self {
        self.class = Some(class.into());
        self
    }

    /// Returns the completion that a correct response contains.
    pub fn expected_completion(&self) -> Completion {
        let message = Message {
            role: "user".into(),
            content: self.prompt.as_str().into(),
        };
        Completion::for_prompt(&prompt_text(&[message]), self.max_tokens)
    }
}

/// Parameters of a call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// HTTP method; an invalid one is sent as POST.
    pub method: String,
    /// Public route of the service, as in `/services/<route>/`.
    pub route: String,
    /// Path below the route, starting with a slash.
    pub path: String,
    /// JSON body; none is sent if empty.
    pub body: String,
    /// Value of the `idempotency-key` header, if any.
    pub idempotency_key: Option<String>,
    /// Class sent in the `limpetgw-class` header; the team's default if absent.
    pub class: Option<String>,
}

impl ServiceCall {
    /// Returns a POST with an idempotency key, which must run at most once.
    pub fn at_most_once(route: &str, path: &str, body: &str, idempotency_key: &str) -> Self {
        Self {
            method: "POST".into(),
            route: route.into(),
            path: path.into(),
            body: body.into(),
            idempotency_key: Some(idempotency_key.into()),
            class: None,
        }
    }

    /// Returns a GET without body and idempotency key.
    pub fn read(route: &str, path: &str) -> Self {
        Self {
            method: "GET".into(),
            route: route.into(),
            path: path.into(),
            body: String::new(),
            idempotency_key: None,
            class: None,
        }
    }
}

/// A client of one entry. Clones are cheap and share the connection pool.
#[derive(Clone, Debug)]
pub struct Caller {
    http: Client,
    addr: Arc<str>,
    api_key: Arc<str>,
    timeout: Duration,
}

impl Caller {
    /// Creates a client of the entry at `addr` (`IP:port`) with an API key and a
    /// timeout of 30 seconds.
    pub fn new(addr: &str, api_key: &str) -> Self {
        Self {
            http: Client::new(ClientConfig::default().with_nodelay(true)),
            addr: addr.into(),
            api_key: api_key.into(),
            timeout: DEFAULT_TIMEOUT,
        }
    }

    /// Sets the timeout for a complete response.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Returns a client of another entry that shares the connection pool.
    pub fn with_addr(&self, addr: &str) -> Self {
        Self {
            addr: addr.into(),
            ..self.clone()
        }
    }

    /// Returns a client with another API key that shares the connection pool.
    pub fn with_key(&self, api_key: &str) -> Self {
        Self {
            api_key: api_key.into(),
            ..self.clone()
        }
    }

    /// Sends a chat request and checks the response.
    pub async fn chat(&self, request: &ChatRequest) -> Reply {
        let request_id = request.request_id.clone().unwrap_or_else(unique_id);
        let mut body = json!({
            "model": request.model,
            "messages": [{"role": "user", "content": request.prompt}],
            "stream": request.stream,
        });
        if let Some(max_tokens) = request.max_tokens {
            body["max_tokens"] = max_tokens.into();
        }
        let mut conn = self
            .conn(Method::Post, "/v1/chat/completions", &request_id)
            .with_request_header("content-type", "application/json")
            .with_body(body.to_string());
        if let Some(class) = &request.class {
            conn = conn.with_request_header("limpetgw-class", class.clone());
        }
        let mut exchange = Exchange::new(request.expected_completion(), request_id.clone());
        let started = exchange.started;
        let outcome = match request.stream {
            true => self.run_with_timeout(exchange.run_stream(conn)).await,
            false => self.run_with_timeout(exchange.run_buffered(conn)).await,
        };
        let outcome = outcome.unwrap_or(Outcome::TimedOut {
            tokens: exchange.tokens(),
        });
        Reply {
            outcome,
            request_id,
            body: exchange.body,
            time_to_first_token: exchange.time_to_first_token,
            total: started.elapsed(),
        }
    }

    /// Calls a plain service and checks the response.
    pub async fn call(&self, call: &ServiceCall) -> Reply {
        let request_id = unique_id();
        let method = call.method.parse().unwrap_or(Method::Post);
        let path = format!("/services/{}{}", call.route, call.path);
        let mut conn = self.conn(method, &path, &request_id);
        if !call.body.is_empty() {
            conn = conn
                .with_request_header("content-type", "application/json")
                .with_body(call.body.clone());
        }
        if let Some(key) = &call.idempotency_key {
            conn = conn.with_request_header("idempotency-key", key.clone());
        }
        if let Some(class) = &call.class {
            conn = conn.with_request_header("limpetgw-class", class.clone());
        }
        let mut exchange = Exchange::new(Completion::for_prompt("", None), request_id.clone());
        let started = exchange.started;
        let outcome = self.run_with_timeout(exchange.run_call(conn, call)).await;
        Reply {
            outcome: outcome.unwrap_or(Outcome::TimedOut { tokens: 0 }),
            request_id,
            body: exchange.body,
            time_to_first_token: exchange.time_to_first_token,
            total: started.elapsed(),
        }
    }

    fn conn(&self, method: Method, path: &str, request_id: &str) -> Conn {
        self.http
            .build_conn(method, format!("http://{}{path}", self.addr))
            .with_request_header("authorization", format!("Bearer {}", self.api_key))
            .with_request_header("x-request-id", request_id.to_string())
    }

    async fn run_with_timeout<T>(&self, work: impl std::future::Future<Output = T>) -> Option<T> {
        let timed_out = async {
            smol::Timer::after(self.timeout).await;
            None
        };
        async { Some(work.await) }.or(timed_out).await
    }
}

/// Closes the connection on drop if its response was not read to the end.
/// Otherwise the client library would read the rest in the background, and the
/// server would not notice that the caller has disconnected.
struct ResponseGuard(Option<Conn>);

impl ResponseGuard {
    /// Returns the connection, or an outcome if it was already taken.
    fn conn(&mut self) -> Result<&mut Conn, Outcome> {
        self.0.as_mut().ok_or_else(|| Outcome::NoResponse {
            reason: "the response was already read".into(),
        })
    }

    /// Returns the connection to the pool after the response was read to its end.
    fn return_to_pool(mut self) {
        drop(self.0.take());
    }
}

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        if let Some(conn) = self.0.take() {
            drop(Upgrade::<Box<dyn Transport>>::from(conn));
        }
    }
}

/// State of one request and its response.
struct Exchange {
    checker: Option<StreamChecker>,
    completion: Completion,
    request_id: String,
    started: Instant,
    time_to_first_token: Option<Duration>,
    body: String,
}

impl Exchange {
    fn new(completion: Completion, request_id: String) -> Self {
        Self {
            checker: Some(StreamChecker::new(completion, request_id.clone())),
            completion,
            request_id,
            started: Instant::now(),
            time_to_first_token: None,
            body: String::new(),
        }
    }

    fn tokens(&self) -> u32 {
        self.checker.as_ref().map_or(0, StreamChecker::tokens)
    }

    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    ///
    /// Returns the outcome if there is no response or its status is not 200.
    async fn send(&mut self, conn: Conn) -> Result<ResponseGuard, Outcome> {
        let conn = conn.await.map_err(|error| Outcome::NoResponse {
            reason: error.to_string(),
        })?;
        let status = conn.status().map_or(0, |status| status as u16);
        let mut guard = ResponseGuard(Some(conn));
        if status == 200 {
            return Ok(guard);
        }
        self.time_to_first_token = Some(self.started.elapsed());
        let body = guard.conn()?.response_body().read_string().await;
        if let Ok(body) = body {
            self.body = body;
            guard.return_to_pool();
        }
        let detail = serde_json::from_str::<ErrorBody>(&self.body).map(|body| body.error);
        let detail = detail.ok();
        Err(Outcome::Refused {
            status,
            code: detail.as_ref().map(|detail| detail.code),
            verdict: detail.as_ref().map(|detail| detail.verdict),
            retry_after_ms: detail.as_ref().and_then(|detail| detail.retry_after_ms),
        })
    }

    async fn run_stream(&mut self, conn: Conn) -> Outcome {
        let body_end = match self.read_stream(conn).await {
            Ok(body_end) => body_end,
            Err(outcome) => return outcome,
        };
        match self.checker.take() {
            Some(checker) => checker.finish(body_end),
            None => Outcome::NoResponse {
                reason: "the response was already read".into(),
            },
        }
    }

    /// Reads a streamed response to its end. The outer error is the outcome if
    /// there is no response with status 200; the inner error is that of a
    /// connection that failed before the body was complete.
    async fn read_stream(&mut self, conn: Conn) -> Result<Result<(), String>, Outcome> {
        let mut guard = self.send(conn).await?;
        let mut body = guard.conn()?.response_body().with_max_len(u64::MAX);
        let mut buffer = vec![0; READ_BYTES];
        loop {
            match body.read(&mut buffer).await {
                Ok(0) => break,
                Ok(size) => self.push_bytes(&buffer[..size]),
                Err(error) => return Ok(Err(error.to_string())),
            }
        }
        drop(body);
        guard.return_to_pool();
        Ok(Ok(()))
    }

    fn push_bytes(&mut self, bytes: &[u8]) {
        if let Some(checker) = &mut self.checker {
            checker.push_bytes(bytes);
            if self.time_to_first_token.is_none() && checker.tokens() > 0 {
                self.time_to_first_token = Some(self.started.elapsed());
            }
        }
    }

    async fn run_buffered(&mut self, conn: Conn) -> Outcome {
        match self.read_body(conn).await {
            Ok(_echoed_id) => check_buffered(self.completion, &self.request_id, &self.body),
            Err(outcome) => outcome,
        }
    }

    async fn run_call(&mut self, conn: Conn, call: &ServiceCall) -> Outcome {
        let echoed_id = match self.read_body(conn).await {
            Ok(echoed_id) => echoed_id,
            Err(outcome) => return outcome,
        };
        // The stored response of an earlier submission carries the id of that
        // submission.
        let executed_id = serde_json::from_str::<serde_json::Value>(&self.body)
            .ok()
            .and_then(|body| body["request_id"].as_str().map(String::from));
        let Some(executed_id) = executed_id else {
            return Outcome::Corrupt {
                reason: "body is not a response of the simulated service".into(),
            };
        };
        let has_expected_id = echoed_id == self.request_id
            && (executed_id == self.request_id || call.idempotency_key.is_some());
        if !has_expected_id
            || self.body != expected_body(&executed_id, &call.path, call.body.as_bytes())
        {
            return Outcome::Crossed {
                reason: format!("response to request {executed_id}, x-request-id is {echoed_id}"),
            };
        }
        Outcome::Complete { tokens: 0 }
    }

    /// Reads a response that is not streamed; returns its `x-request-id` header.
    async fn read_body(&mut self, conn: Conn) -> Result<String, Outcome> {
        let mut guard = self.send(conn).await?;
        self.time_to_first_token = Some(self.started.elapsed());
        let conn = guard.conn()?;
        let echoed_id = conn.response_headers().get_str("x-request-id");
        let echoed_id = echoed_id.unwrap_or_default().to_string();
        let body = conn.response_body().with_max_len(u64::MAX);
        self.body = body.read_string().await.map_err(|error| Outcome::Broken {
            tokens: 0,
            code: None,
            reason: error.to_string(),
        })?;
        guard.return_to_pool();
        Ok(echoed_id)
    }
}

/// Returns a random request id.
fn unique_id() -> String {
    format!("r-{:032x}", rand::random::<u128>())
}
