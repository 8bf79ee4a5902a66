//! What every stand-in server shares: binding, the line that tells where it
//! listens, JSON answers and cut connections.

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

/// Largest body that a stand-in reads, in bytes.
const BODY_MAX_BYTES: u64 = 16 << 20;

/// Binds `listen`, prints the listening line and serves until the process ends.
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

/// Prints one JSON line on standard output at once.
pub(crate) fn print_line(value: &Value) {
    use io::Write;

    let mut out = io::stdout().lock();
    // Whoever started the stand-in may be gone; there is no one left to tell.
    let _ = writeln!(out, "{value}").and_then(|()| out.flush());
}

/// Answers with a status and a JSON body.
pub(crate) fn answer_json(conn: Conn, status: u16, value: &impl Serialize) -> Conn {
    let text = serde_json::to_string(value).unwrap_or_default();
    conn.with_status(status)
        .with_response_header("content-type", "application/json")
        .with_body(text)
        .halt()
}

/// Answers with an error status and a message.
pub(crate) fn answer_error(conn: Conn, status: u16, message: &str) -> Conn {
    answer_json(conn, status, &json!({"error": {"message": message}}))
}

/// Ends the connection without an answer.
pub(crate) fn cut(conn: Conn) -> Conn {
    conn.with_status(Status::Ok)
        .with_body(Body::new_streaming(CutReader, None))
        .halt()
}

/// Reads a whole body, an empty one on failure.
pub(crate) async fn read_body(conn: &mut Conn) -> Vec<u8> {
    conn.request_body()
        .with_max_len(BODY_MAX_BYTES)
        .read_bytes()
        .await
        .unwrap_or_default()
}

/// Reads a JSON body.
///
/// # Errors
///
/// The parser's message.
pub(crate) async fn read_json<T: DeserializeOwned>(conn: &mut Conn) -> Result<T, String> {
    let body = read_body(conn).await;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

/// A query parameter as a number.
pub(crate) fn query_number(conn: &Conn, name: &str) -> Option<u64> {
    conn.querystring()
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// A body that fails at its first byte.
struct CutReader;

impl AsyncRead for CutReader {
    fn poll_read(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        _buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Err(io::Error::other("cut on purpose")))
    }
}
