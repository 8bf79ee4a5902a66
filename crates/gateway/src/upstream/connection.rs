//! One HTTP/1.1 connection to an instance.

use std::{
    future::{poll_fn, Future},
    io,
    pin::{pin, Pin},
    task::{Context, Poll, Waker},
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_lite::FutureExt;
use http::{header, HeaderMap, Request};
use hyper::{
    body::{Body, Incoming},
    client::conn::http1,
};
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use super::{
    instance_stream::{InstanceStream, UnproductiveBytes},
    request_body::{RequestBody, UploadState},
};

/// Future that performs the I/O of a connection. The task that uses the
/// connection polls it, so that an exchange needs no second task.
type Driver = http1::Connection<FuturesIo<InstanceStream>, RequestBody>;

/// Maximum read buffer of one connection, in bytes: enough for a large head or
/// a few events.
const BUFFER_MAX_BYTES: usize = 64 << 10;

/// Maximum number of bytes that an instance may send without completing a
/// response head or sending body data. The HTTP library bounds the final head
/// and the chunk extensions, but neither interim responses nor the padding of a
/// chunk size. One full read buffer may arrive ahead of the data before it.
const UNPRODUCTIVE_MAX_BYTES: usize = 2 * BUFFER_MAX_BYTES;

/// Fraction of the keep-alive time announced by an instance during which an
/// idle connection is reused.
const KEEP_ALIVE_FRACTION: f64 = 0.8;

/// Idle time after which a connection is no longer reused if its instance
/// announces no keep-alive time. An instance that closes idle connections within
/// 1 s can't announce it, because `keep-alive` has whole seconds only.
const DEFAULT_IDLE_MAX: Duration = Duration::from_millis(500);

/// The request was provably not sent, so that a retry is always safe.
#[derive(Debug)]
pub(crate) struct NotSent;

/// The connection failed during an exchange; the request may have run.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub(crate) struct ExchangeError(String);

impl ExchangeError {
    /// Describes a hyper error together with its source.
    fn from_hyper(error: &hyper::Error) -> Self {
        use std::error::Error as _;
        match error.source() {
            Some(source) => Self(format!("{error}: {source}")),
            None => Self(error.to_string()),
        }
    }
}

/// An open connection with no exchange in progress.
pub(crate) struct Connection {
    sender: http1::SendRequest<RequestBody>,
    driver: Pin<Box<Driver>>,
    unproductive: UnproductiveBytes,
    upload: UploadState,
    idle_since: Instant,
    idle_max: Duration,
}

impl Connection {
    /// Opens a connection to `addr` within `timeout`.
    ///
    /// # Errors
    ///
    /// The I/O error of the connect; nothing was sent.
    pub(crate) async fn open(addr: &str, timeout: Duration) -> io::Result<Self> {
        let timed_out = async {
            smol::Timer::after(timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let stream = TcpStream::connect(addr).or(timed_out).await?;
        stream.set_nodelay(true)?;
        let unproductive = UnproductiveBytes::default();
        let upload = UploadState::default();
        let stream = InstanceStream::new(
            stream,
            UNPRODUCTIVE_MAX_BYTES,
            unproductive.clone(),
            upload.clone(),
        );
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(BUFFER_MAX_BYTES)
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        Ok(Self {
            sender,
            driver: Box::pin(driver),
            unproductive,
            upload,
            idle_since: Instant::now(),
            idle_max: DEFAULT_IDLE_MAX,
        })
    }

    /// Returns whether the connection has been idle for so long that the
    /// instance may be about to close it.
    pub(crate) fn is_expired(&self) -> bool {
        self.idle_since.elapsed() >= self.idle_max
    }

    /// Returns whether the connection can carry a request: the instance has
    /// neither closed it nor sent unsolicited data.
    pub(crate) fn is_usable(&mut self) -> bool {
        !has_ended(&mut self.driver) && self.sender.is_ready()
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// `Ok(Err(NotSent))` if the request was provably not sent,
    /// [`ExchangeError`] if it may have been.
    pub(crate) async fn send(
        mut self,
        request: Request<Bytes>,
    ) -> Result<Result<Response, NotSent>, ExchangeError> {
        self.unproductive.reset();
        let upload = self.upload.clone();
        let request = request.map(|bytes| RequestBody::new(bytes, upload));
        let mut response = pin!(self.sender.try_send_request(request));
        let mut driver = Some(self.driver);
        let received = poll_fn(|cx| {
            poll_driver(&mut driver, cx);
            response.as_mut().poll(cx)
        })
        .await;
        match received {
            Ok(response) => {
                let (head, body) = response.into_parts();
                self.unproductive.reset();
                Ok(Ok(Response {
                    status: head.status.as_u16(),
                    headers: head.headers,
                    body,
                    ended: false,
                    sender: self.sender,
                    driver,
                    unproductive: self.unproductive,
                    upload: self.upload,
                }))
            }
            Err(mut error) => match error.take_message() {
                Some(_) => Ok(Err(NotSent)),
                None => Err(ExchangeError::from_hyper(error.error())),
            },
        }
    }
}

/// Response of an instance. Dropping it before its end closes the connection,
/// which signals the instance to cancel the request.
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    body: Incoming,
    ended: bool,
    sender: http1::SendRequest<RequestBody>,
    /// `None` once the connection is closed.
    driver: Option<Pin<Box<Driver>>>,
    unproductive: UnproductiveBytes,
    upload: UploadState,
}

impl Response {
    /// Polls for the next bytes of the body; `None` at the end that its HTTP
    /// framing defines.
    pub(crate) fn poll_data(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, ExchangeError>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        loop {
            // The first poll registers demand with the driver.
            let mut frame = Pin::new(&mut self.body).poll_frame(cx);
            if frame.is_pending() {
                poll_driver(&mut self.driver, cx);
                frame = Pin::new(&mut self.body).poll_frame(cx);
            }
            match frame {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => {
                    self.ended = true;
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(error))) => {
                    return Poll::Ready(Some(Err(ExchangeError::from_hyper(&error))));
                }
                Poll::Ready(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.unproductive.reset();
                        return Poll::Ready(Some(Ok(data)));
                    }
                }
            }
        }
    }

    /// Returns whether the body has neither a length nor chunks, so that its end
    /// can't be told from the end of the instance.
    pub(crate) fn ends_with_connection(&self) -> bool {
        !self.headers.contains_key(header::CONTENT_LENGTH)
            && !self.headers.contains_key(header::TRANSFER_ENCODING)
    }

    /// Returns the connection for reuse if the response was read completely and
    /// the instance keeps the connection open.
    pub(crate) fn into_connection(mut self) -> Option<Connection> {
        if !self.ended {
            return None;
        }
        let mut driver = self.driver.take()?;
        if has_ended(&mut driver) || !self.sender.is_ready() {
            return None;
        }
        Some(Connection {
            sender: self.sender,
            driver,
            unproductive: self.unproductive,
            upload: self.upload,
            idle_since: Instant::now(),
            idle_max: idle_max(&self.headers),
        })
    }
}

/// Polls an idle connection once, without waiting, and returns whether it is
/// closed.
fn has_ended(driver: &mut Pin<Box<Driver>>) -> bool {
    let mut cx = Context::from_waker(Waker::noop());
    driver.as_mut().poll(&mut cx).is_ready()
}

/// Polls the driver of a connection and drops it once the connection is closed.
fn poll_driver(driver: &mut Option<Pin<Box<Driver>>>, cx: &mut Context<'_>) {
    if let Some(active) = driver {
        // The response or the body also returns the error of the connection.
        if active.as_mut().poll(cx).is_ready() {
            *driver = None;
        }
    }
}

/// Returns the idle time up to which a connection may be reused, from the
/// `keep-alive` header of its last response.
fn idle_max(headers: &HeaderMap) -> Duration {
    let keep_alive_s = headers.get("keep-alive").and_then(|value| {
        let text = value.to_str().ok()?;
        let timeout = text
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="))?;
        timeout.trim().parse::<u32>().ok()
    });
    match keep_alive_s {
        Some(timeout_s) => Duration::from_secs(u64::from(timeout_s)).mul_f64(KEEP_ALIVE_FRACTION),
        None => DEFAULT_IDLE_MAX,
    }
}
