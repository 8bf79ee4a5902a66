//! Serving, draining, stopped: the life cycle of a process that takes in callers.

use std::{
    future::Future,
    io,
    os::unix::net::UnixStream,
    sync::{
        atomic::{AtomicBool, AtomicU32, Ordering},
        Arc,
    },
    time::Duration,
};

use futures_lite::AsyncReadExt;
use smol::{
    channel::{Receiver, Sender},
    Async,
};

/// How often a draining process looks whether its last request has ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Progress of a graceful shutdown.
///
/// # Invariants
///
/// Only moves forward: serving, draining while the balancer's list lags,
/// refusing, stopped.
#[derive(Debug)]
pub struct Lifecycle {
    /// Closed when the drain begins.
    drain_begun: (Sender<()>, Receiver<()>),
    refusing: AtomicBool,
    in_flight: Arc<AtomicU32>,
}

/// Counts one request for as long as it lives.
#[derive(Debug)]
pub struct InFlight(Arc<AtomicU32>);

impl InFlight {
    /// Counts the same request once more.
    #[must_use]
    pub fn another(&self) -> Self {
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
            refusing: AtomicBool::new(false),
            in_flight: Arc::new(AtomicU32::new(0)),
        }
    }
}

impl Lifecycle {
    /// Starts the drain; returns whether this call started it.
    pub fn begin_drain(&self) -> bool {
        self.drain_begun.0.close()
    }

    /// Whether a drain has begun: the balancer should send nothing new.
    pub fn is_draining(&self) -> bool {
        self.drain_begun.0.is_closed()
    }

    /// Waits until a drain begins.
    pub async fn drain_begun(&self) {
        // Nothing is ever sent: the call returns when the channel is closed.
        let _ = self.drain_begun.1.recv().await;
    }

    /// Counts a request in; `None` once new work is refused.
    pub fn enter(&self) -> Option<InFlight> {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        let counted = InFlight(self.in_flight.clone());
        if self.refusing.load(Ordering::SeqCst) {
            return None;
        }
        Some(counted)
    }

    /// Requests held now.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Waits out the balancer's lag, then refuses new work until the last
    /// request has ended. There is no time limit.
    pub async fn drained(&self, balancer_lag: Duration) {
        smol::Timer::after(balancer_lag).await;
        self.refusing.store(true, Ordering::SeqCst);
        while self.in_flight() > 0 {
            smol::Timer::after(DRAIN_CHECK_INTERVAL).await;
        }
    }
}

/// Watches for a signal; the future calls `on_signal` each time the process
/// gets it, and never ends.
///
/// # Errors
///
/// The system's error when the signal can't be watched.
pub fn watch_signal(
    signal: i32,
    on_signal: impl Fn() + Send + 'static,
) -> io::Result<impl Future<Output = ()> + Send> {
    let (read, write) = UnixStream::pair()?;
    signal_hook::low_level::pipe::register(signal, write)?;
    let mut read = Async::new(read)?;
    Ok(async move {
        let mut byte = [0];
        // An error means that the pipe is gone with the process.
        while read.read_exact(&mut byte).await.is_ok() {
            on_signal();
        }
    })
}
