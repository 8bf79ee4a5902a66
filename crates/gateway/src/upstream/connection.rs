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
use http::{HeaderMap, Request};
use http_body_util::Full;
use hyper::{
    body::{Body, Incoming},
    client::conn::http1,
};
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

/// Drives reads and writes of a connection; polled by whoever uses it, so that
/// no second task takes part in an exchange.
type Driver = http1::Connection<FuturesIo<TcpStream>, Full<Bytes>>;

/// Bytes buffered for one connection at most: a large head, and a few events.
const BUFFER_MAX_BYTES: usize = 64 << 10;

/// Part of a stated keep-alive time for which a connection is used again.
const KEEP_ALIVE_SHARE: f64 = 0.8;

/// Idle time after which a connection whose instance states no keep-alive time
/// is not used again. Times below a second can't be stated.
const UNSTATED_IDLE_MAX: Duration = Duration::from_millis(500);

/// A request that provably did not leave this process.
#[derive(Debug)]
pub(crate) struct Unsent;

/// An exchange broke; the request may have run.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub(crate) struct Cut(String);

impl Cut {
    fn of(error: &hyper::Error) -> Self {
        use std::error::Error as _;
        match error.source() {
            Some(source) => Self(format!("{error}: {source}")),
            None => Self(error.to_string()),
        }
    }
}

/// An open connection without an exchange under way.
pub(crate) struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Pin<Box<Driver>>,
    idle_since: Instant,
    idle_max: Duration,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// The system's error; nothing was sent.
    pub(crate) async fn open(addr: &str, timeout: Duration) -> io::Result<Self> {
        let late = async {
            smol::Timer::after(timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let stream = TcpStream::connect(addr).or(late).await?;
        stream.set_nodelay(true)?;
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(BUFFER_MAX_BYTES)
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        Ok(Self {
            sender,
            driver: Box::pin(driver),
            idle_since: Instant::now(),
            idle_max: UNSTATED_IDLE_MAX,
        })
    }

    /// Whether the connection has been idle for so long that the instance may
    /// be about to close it.
    pub(crate) fn is_expired(&self) -> bool {
        self.idle_since.elapsed() >= self.idle_max
    }

    /// Looks whether the instance has closed it, or sent what nobody asked for.
    pub(crate) fn is_sound(&mut self) -> bool {
        !has_ended(&mut self.driver) && self.sender.is_ready()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// `Ok(Err(Unsent))` if the request provably was not sent, [`Cut`] if it
    /// may have been.
    pub(crate) async fn send(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Result<Answer, Unsent>, Cut> {
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
                Ok(Ok(Answer {
                    status: head.status.as_u16(),
                    headers: head.headers,
                    body,
                    ended: false,
                    sender: self.sender,
                    driver,
                }))
            }
            Err(mut error) => match error.take_message() {
                Some(_) => Ok(Err(Unsent)),
                None => Err(Cut::of(error.error())),
            },
        }
    }
}

/// The answer of an instance. Dropping it closes the connection, by which the
/// instance notices that nobody waits any more.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    body: Incoming,
    ended: bool,
    sender: http1::SendRequest<Full<Bytes>>,
    /// `None` once the connection has ended.
    driver: Option<Pin<Box<Driver>>>,
}

impl Answer {
    /// The next bytes of the body; `None` at its true end.
    pub(crate) fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Cut>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        loop {
            // The first poll tells the driver that more is wanted.
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
                    return Poll::Ready(Some(Err(Cut::of(&error))));
                }
                Poll::Ready(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Poll::Ready(Some(Ok(data)));
                    }
                }
            }
        }
    }

    /// The connection, if the answer was read to its end and the instance
    /// keeps it open.
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
            idle_since: Instant::now(),
            idle_max: idle_max(&self.headers),
        })
    }
}

/// Moves an idle connection on without waiting.
fn has_ended(driver: &mut Pin<Box<Driver>>) -> bool {
    let mut cx = Context::from_waker(Waker::noop());
    driver.as_mut().poll(&mut cx).is_ready()
}

fn poll_driver(driver: &mut Option<Pin<Box<Driver>>>, cx: &mut Context<'_>) {
    if let Some(running) = driver {
        // An error of the connection also reaches the response or the body.
        if running.as_mut().poll(cx).is_ready() {
            *driver = None;
        }
    }
}

/// How long the connection may be idle and still be used again.
fn idle_max(headers: &HeaderMap) -> Duration {
    let stated = headers.get("keep-alive").and_then(|value| {
        let text = value.to_str().ok()?;
        let timeout = text
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="))?;
        timeout.trim().parse::<u32>().ok()
    });
    match stated {
        Some(timeout_s) => Duration::from_secs(u64::from(timeout_s)).mul_f64(KEEP_ALIVE_SHARE),
        None => UNSTATED_IDLE_MAX,
    }
}
