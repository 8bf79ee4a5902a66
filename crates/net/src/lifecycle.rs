//! Graceful shutdown of a process that serves callers behind a load balancer.

use std::{
    future::Future,
    io,
    os::unix::net::UnixStream,
    sync::{
        atomic::{AtomicBool, AtomicU32, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

use futures_lite::AsyncReadExt;
use smol::{
    channel::{Receiver, Sender},
    Async,
};

/// Interval at which a draining process checks for requests in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Progress of a graceful shutdown.
///
/// # Invariants
///
/// The states only advance: serving, draining while the balancer may still send
/// requests, refusing new requests, ending the requests in flight, stopped.
#[derive(Debug)]
pub struct Lifecycle {
    /// Channel that is closed when the drain begins.
    drain_begun: (Sender<()>, Receiver<()>),
    /// Channel that is closed when the requests in flight have to end.
    requests_ended: (Sender<()>, Receiver<()>),
    refusing: AtomicBool,
    in_flight: Arc<AtomicU32>,
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlight(Arc<AtomicU32>);

impl InFlight {
    /// Creates a second guard for the same request, so that a drain waits until
    /// both are dropped.
    #[must_use]
    pub fn duplicate(&self) -> Self {
        self.0.fetch_add(1, Ordering::SeqCst);
        Self(self.0.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Default for Lifecycle {
    fn default() -> Self {
        Self {
            drain_begun: smol::channel::bounded(1),
            requests_ended: smol::channel::bounded(1),
            refusing: AtomicBool::new(false),
            in_flight: Arc::new(AtomicU32::new(0)),
        }
    }
}

impl Lifecycle {
    /// Begins the drain. Returns `false` if it had already begun.
    pub fn begin_drain(&self) -> bool {
        self.drain_begun.0.close()
    }

    /// Returns whether a drain has begun, after which the process should report
    /// to the balancer that it is not ready.
    pub fn is_draining(&self) -> bool {
        self.drain_begun.0.is_closed()
    }

    /// Waits until a drain begins; returns immediately if it has begun.
    pub async fn drain_begun(&self) {
        // Nothing is ever sent, so `recv` returns when the channel is closed.
        let _ = self.drain_begun.1.recv().await;
    }

    /// Tells the requests in flight to end, because the process is about to be
    /// killed.
    pub fn end_requests(&self) {
        self.requests_ended.0.close();
    }

    /// Returns whether the requests in flight have to end.
    pub fn has_ended_requests(&self) -> bool {
        self.requests_ended.0.is_closed()
    }

    /// Waits until the requests in flight have to end.
    pub async fn requests_ended(&self) {
        // Nothing is ever sent, so `recv` returns when the channel is closed.
        let _ = self.requests_ended.1.recv().await;
    }

    /// Counts a request as in flight; `None` if new requests are refused.
    pub fn enter(&self) -> Option<InFlight> {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        let counted = InFlight(self.in_flight.clone());
        if self.refusing.load(Ordering::SeqCst) {
            return None;
        }
        Some(counted)
    }

    /// Returns the number of [`InFlight`] guards, usually one for each request.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Waits until no request is in flight, at most until `deadline`. Returns
    /// whether none is.
    pub async fn is_idle_by(&self, deadline: Instant) -> bool {
        while self.in_flight() > 0 {
            if Instant::now() >= deadline {
                return false;
            }
            smol::Timer::after(DRAIN_POLL_INTERVAL).await;
        }
        true
    }

    /// Waits for `balancer_lag`, then refuses new requests and waits without a
    /// time limit until none is in flight.
    pub async fn drained(&self, balancer_lag: Duration) {
        smol::Timer::after(balancer_lag).await;
        self.refusing.store(true, Ordering::SeqCst);
        while self.in_flight() > 0 {
            smol::Timer::after(DRAIN_POLL_INTERVAL).await;
        }
    }
}

/// Installs a handler for a signal. The returned future calls `on_signal` each
/// time the process receives it, and never completes.
///
/// # Errors
///
/// The I/O error if the handler can't be installed.
pub fn watch_signal(
    signal: i32,
    on_signal: impl Fn() + Send + 'static,
) -> io::Result<impl Future<Output = ()> + Send> {
    let (read, write) = UnixStream::pair()?;
    signal_hook::low_level::pipe::register(signal, write)?;
    let mut read = Async::new(read)?;
    Ok(async move {
        let mut byte = [0];
        // The write end stays open for the life of the process, so a read fails
        // only at its exit.
        while read.read_exact(&mut byte).await.is_ok() {
            on_signal();
        }
    })
}
