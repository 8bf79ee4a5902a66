//! HTTP interface of the simulated plain service.

use std::{
    io,
    pin::Pin,
    sync::{Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
    time::Duration,
};

use futures_lite::AsyncRead;
use serde_json::json;
use trillium::{Body, Conn, Method};

use super::{
    ledger::{Ledger, LedgerLine, Run},
    Faults,
};
use crate::serving::{
    abort_connection, print_line, read_body, read_json, respond_error, respond_json,
};

/// Interval at which a frozen call checks whether the fault is cleared.
const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// State of the service: work time, faults and ledger.
#[derive(Debug)]
pub(crate) struct Service {
    work: Duration,
    faults: Mutex<Faults>,
    ledger: Mutex<Ledger>,
}

/// Returns the response body of a call, which depends only on the arguments, so
/// that callers can check it.
pub fn expected_body(request_id: &str, path: &str, body: &[u8]) -> String {
    json!({
        "request_id": request_id,
        "path": path,
        "body_digest": blake3::hash(body).to_hex().as_str(),
        "text": "done ".repeat(40),
    })
    .to_string()
}

impl Service {
    pub(crate) fn new(work: Duration, faults: Faults) -> Self {
        Self {
            work,
            faults: Mutex::new(faults),
            ledger: Mutex::default(),
        }
    }

    /// Handles one call. `GET /ledger` and `POST /admin/faults` are for tests; any
    /// other call is run and recorded.
    pub(crate) async fn handle(&self, mut conn: Conn) -> Conn {
        match (conn.method(), conn.path()) {
            (Method::Get, "/ledger") => respond_json(conn, 200, &*self.ledger()),
            (Method::Post, "/admin/faults") => match read_json::<Faults>(&mut conn).await {
                Ok(faults) => {
                    *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
                    respond_json(conn, 200, &json!({}))
                }
                Err(reason) => respond_error(conn, 400, &reason),
            },
            _ => self.run(conn).await,
        }
    }

    /// Runs a call to its end even if the caller disconnects, as a real service
    /// does.
    async fn run(&self, mut conn: Conn) -> Conn {
        let body = read_body(&mut conn).await;
        let request_id = header(&conn, "x-request-id");
        let path = conn.path_and_query().to_string();
        let started = self.ledger().start(Run {
            request_id: request_id.clone(),
            idempotency_key: header(&conn, "idempotency-key"),
            path: format!("{} {path}", conn.method()),
            body_digest: blake3::hash(&body).to_hex().to_string(),
            started: true,
            finished: false,
        });
        print_run(&started);
        if self.faults().crash_after_start {
            std::process::abort();
        }
        self.simulate_work().await;
        let finished = self.ledger().finish(started.number);
        finished.iter().for_each(print_run);

        let faults = self.faults();
        if faults.lose_answers {
            return abort_connection(conn);
        }
        let request_id = match faults.crossed {
            true => format!("not-{request_id}"),
            false => request_id,
        };
        let text = expected_body(&request_id, &path, &body);
        let conn = conn
            .with_status(200)
            .with_response_header("x-request-id", request_id)
            .with_response_header("content-type", "application/json");
        if faults.truncate {
            return conn.with_body(truncated_body(text)).halt();
        }
        conn.with_body(text).halt()
    }

    async fn simulate_work(&self) {
        let slow = Duration::from_millis(self.faults().slow_ms);
        smol::Timer::after(self.work + slow).await;
        while self.faults().freeze {
            smol::Timer::after(FREEZE_POLL_INTERVAL).await;
        }
    }

    fn faults(&self) -> Faults {
        self.faults
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn print_run(line: &LedgerLine) {
    print_line(&json!({"ledger": line}));
}

fn header(conn: &Conn, name: &'static str) -> String {
    conn.request_headers()
        .get_str(name)
        .unwrap_or_default()
        .to_string()
}

/// Returns a body that announces the full length and fails after half of the
/// bytes were sent.
fn truncated_body(text: String) -> Body {
    let length = text.len() as u64;
    let mut bytes = text.into_bytes();
    bytes.truncate(bytes.len() / 2);
    Body::new_streaming(TruncatedReader { bytes, sent: 0 }, Some(length))
}

/// A reader that returns its bytes and then an error.
struct TruncatedReader {
    bytes: Vec<u8>,
    sent: usize,
}

impl AsyncRead for TruncatedReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let rest = &self.bytes[self.sent..];
        if rest.is_empty() {
            return Poll::Ready(Err(io::Error::other(
                "response truncated by an injected fault",
            )));
        }
        let size = rest.len().min(buf.len());
        buf[..size].copy_from_slice(&rest[..size]);
        self.sent += size;
        Poll::Ready(Ok(size))
    }
}
