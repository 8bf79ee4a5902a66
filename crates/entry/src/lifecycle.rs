//! Serving, draining, stopped: the life cycle of an entry.

use std::{
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

use crate::{server::Running, RunError};

/// How often a draining entry looks whether its last request has ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Progress of a graceful shutdown.
///
/// # Invariants
///
/// Only moves forward: serving, draining while the balancer's list lags,
/// refusing, stopped.
#[derive(Debug)]
pub(crate) struct Lifecycle {
    /// Closed when the drain begins.
    drain_begun: (Sender<()>, Receiver<()>),
    refusing: AtomicBool,
    in_flight: Arc<AtomicU32>,
}

/// Counts one request for as long as it lives.
#[derive(Debug)]
pub(crate) struct InFlight(Arc<AtomicU32>);

impl InFlight {
    /// Counts the same request once more.
    pub(crate) fn another(&self) -> Self {
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
    pub(crate) fn begin_drain(&self) -> bool {
        self.drain_begun.0.close()
    }

    /// Whether a drain has begun: the balancer should send nothing new.
    pub(crate) fn is_draining(&self) -> bool {
        self.drain_begun.0.is_closed()
    }

    /// Waits until a drain begins.
    pub(crate) async fn drain_begun(&self) {
        // Nothing is ever sent: the call returns when the channel is closed.
        let _ = self.drain_begun.1.recv().await;
    }

    /// Counts a request in; `None` once new work is refused.
    pub(crate) fn enter(&self) -> Option<InFlight> {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        let counted = InFlight(self.in_flight.clone());
        if self.refusing.load(Ordering::SeqCst) {
            return None;
        }
        Some(counted)
    }

    /// Requests held now.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Waits out the balancer's lag, then refuses new work until the last
    /// request has ended. There is no time limit.
    pub(crate) async fn drained(&self, balancer_lag: Duration) {
        smol::Timer::after(balancer_lag).await;
        self.refusing.store(true, Ordering::SeqCst);
        while self.in_flight() > 0 {
            smol::Timer::after(DRAIN_CHECK_INTERVAL).await;
        }
    }
}

/// Drains the entry when the process gets SIGTERM or SIGINT.
///
/// # Errors
///
/// [`RunError::Signal`] when the signals can't be watched.
pub(crate) fn drain_at_signal(running: &Running) -> Result<(), RunError> {
    let (read, write) = UnixStream::pair().map_err(RunError::Signal)?;
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        let write = write.try_clone().map_err(RunError::Signal)?;
        signal_hook::low_level::pipe::register(signal, write).map_err(RunError::Signal)?;
    }
    let mut read = Async::new(read).map_err(RunError::Signal)?;
    let handle = running.drain_handle();
    async_global_executor::spawn(async move {
        let mut byte = [0];
        // An error means that the pipe is gone with the process.
        if read.read_exact(&mut byte).await.is_ok() {
            handle.drain();
        }
    })
    .detach();
    Ok(())
}
