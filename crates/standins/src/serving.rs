//! HTTP helpers shared by the simulated servers: binding, announcing the
//! listen address, JSON responses and aborted connections.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    pin::Pin,
    task::{Context, Poll},
};

use futures_lite::AsyncRead;
use serde::{de::DeserializeOwned, Serialize};
use serde_json::{json, Value};
use trillium::{Body, Conn, Handler, Status};

/// Maximum size of a request body, in bytes.
const BODY_MAX_BYTES: u64 = 16 << 20;

/// Binds `listen`, prints the bound address as a JSON line and serves until the
/// process ends.
pub(crate) async fn serve(
    listen: SocketAddr,
    role: &str,
    instance: &str,
    handler: impl Handler,
) -> io::Result<()> {
    let listener = TcpListener::bind(listen)?;
    listener.set_nonblocking(true)?;
    let addr = listener.local_addr()?;
    let listener = smol::net::TcpListener::try_from(listener)?;
    let line = json!({"listening": {"role": role, "instance": instance, "addr": addr.to_string()}});
    print_line(&line);
    trillium_smol::config()
        .with_prebound_server(listener)
        .with_nodelay()
        .without_signals()
        .with_max_connections(None)
        .run_async(handler)
        .await;
    Ok(())
}

/// Prints one JSON line on standard output and flushes it.
pub(crate) fn print_line(value: &Value) {
    use io::Write;

    let mut out = io::stdout().lock();
    // Fails only if the parent has closed the pipe; nothing reads the line then.
    let _ = writeln!(out, "{value}").and_then(|()| out.flush());
}

/// Responds with a status and a JSON body.
pub(crate) fn respond_json(conn: Conn, status: u16, value: &impl Serialize) -> Conn {
    let text = serde_json::to_string(value).unwrap_or_default();
    conn.with_status(status)
        .with_response_header("content-type", "application/json")
        .with_body(text)
        .halt()
}

/// Responds with an error status and `message` as JSON.
pub(crate) fn respond_error(conn: Conn, status: u16, message: &str) -> Conn {
    respond_json(conn, status, &json!({"error": {"message": message}}))
}

/// Aborts the connection without sending a complete response.
pub(crate) fn abort_connection(conn: Conn) -> Conn {
    conn.with_status(Status::Ok)
        .with_body(Body::new_streaming(FailingReader, None))
        .halt()
}

/// Reads the request body; returns an empty one if reading fails.
pub(crate) async fn read_body(conn: &mut Conn) -> Vec<u8> {
    conn.request_body()
        .with_max_len(BODY_MAX_BYTES)
        .read_bytes()
        .await
        .unwrap_or_default()
}

/// Reads the request body and decodes it from JSON.
///
/// # Errors
///
/// Returns the message of the JSON parser.
pub(crate) async fn read_json<T: DeserializeOwned>(conn: &mut Conn) -> Result<T, String> {
    let body = read_body(conn).await;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

/// Returns a query parameter as a number; `None` if it is missing or invalid.
pub(crate) fn query_number(conn: &Conn, name: &str) -> Option<u64> {
    conn.querystring()
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// A response body whose first read fails, which makes the server close the
/// connection.
struct FailingReader;

impl AsyncRead for FailingReader {
    fn poll_read(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        _buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Err(io::Error::other(
            "response aborted by an injected fault",
        )))
    }
}
