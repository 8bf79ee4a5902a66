//! State of the simulated engine and the task that generates its tokens.

use std::{
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex, MutexGuard, PoisonError,
    },
    time::{Duration, Instant},
};

use futures_lite::FutureExt;
use serde::{Deserialize, Serialize};
use smol::channel::{bounded, Receiver, Sender};

use super::{
    active_request::{ActiveRequest, Phase, RequestParams},
    batch::{Batch, NextTick},
    load::LoadHistory,
    orders::Orders,
    EngineArgs, Faults,
};

/// Interval at which a frozen engine checks whether the fault is cleared.
pub(crate) const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Counters of an engine since the start of its process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Number of generated tokens, whether delivered or not.
    pub tokens_generated: u64,
    /// Number of chat requests that were queued.
    pub requests_started: u64,
    /// Number of requests whose response was generated and sent completely.
    pub requests_whole: u64,
    /// Number of requests that were cancelled or whose connection was closed.
    pub cancelled: u64,
}

/// Shared state of the engine: batch, faults, load history, orders and counters.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) args: EngineArgs,
    batch: Mutex<Batch>,
    faults: Mutex<Arc<Faults>>,
    history: Mutex<LoadHistory>,
    pub(crate) orders: Mutex<Orders>,
    next_number: AtomicU64,
    tokens_generated: AtomicU64,
    requests_started: AtomicU64,
    requests_whole: AtomicU64,
    cancelled: AtomicU64,
    wake: Sender<()>,
}

impl Engine {
    /// Creates an engine and spawns its ticker task.
    pub(crate) fn start(args: EngineArgs, faults: Faults) -> Arc<Self> {
        let (wake, wake_receiver) = bounded(1);
        let engine = Arc::new(Self {
            batch: Mutex::new(Batch::new(&args)),
            args,
            faults: Mutex::new(Arc::new(faults)),
            history: Mutex::default(),
            orders: Mutex::default(),
            next_number: AtomicU64::new(0),
            tokens_generated: AtomicU64::new(0),
            requests_started: AtomicU64::new(0),
            requests_whole: AtomicU64::new(0),
            cancelled: AtomicU64::new(0),
            wake,
        });
        async_global_executor::spawn(run_ticker(Arc::clone(&engine), wake_receiver)).detach();
        engine
    }

    /// Queues a request and wakes the ticker.
    pub(crate) fn submit(&self, params: RequestParams) -> Arc<ActiveRequest> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let request = Arc::new(ActiveRequest::new(number, params, &self.faults()));
        self.requests_started.fetch_add(1, Ordering::Relaxed);
        self.batch().submit(Arc::clone(&request), Instant::now());
        self.record_load();
        // If the channel is full, a wake-up is already pending.
        let _ = self.wake.try_send(());
        request
    }

    /// Removes a request whose response body was dropped and counts it as complete
    /// or cancelled.
    pub(crate) fn release(&self, request: &ActiveRequest) {
        let (phase, is_sent) = {
            let progress = request.progress();
            (progress.phase, progress.sent == progress.bytes.len())
        };
        match phase {
            Phase::Ended if is_sent => self.requests_whole.fetch_add(1, Ordering::Relaxed),
            Phase::Aborted => 0,
            _ => self.cancelled.fetch_add(1, Ordering::Relaxed),
        };
        self.batch().release(request.number, Instant::now());
        self.record_load();
        let _ = self.wake.try_send(());
    }

    /// Aborts the requests with a request id; returns their number.
    pub(crate) fn cancel(&self, request_id: &str) -> usize {
        let requests = self.batch().find(request_id);
        for request in &requests {
            self.batch().release(request.number, Instant::now());
            let mut progress = request.progress();
            progress.phase = Phase::Aborted;
            progress.wake();
            self.cancelled.fetch_add(1, Ordering::Relaxed);
        }
        requests.len()
    }

    pub(crate) fn batch(&self) -> MutexGuard<'_, Batch> {
        self.batch.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn faults(&self) -> Arc<Faults> {
        Arc::clone(&self.faults.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub(crate) fn set_faults(&self, faults: Faults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(faults);
        let _ = self.wake.try_send(());
    }

    pub(crate) fn history(&self) -> MutexGuard<'_, LoadHistory> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn count_tokens(&self, count: u64) {
        self.tokens_generated.fetch_add(count, Ordering::Relaxed);
    }

    pub(crate) fn stats(&self) -> Stats {
        Stats {
            tokens_generated: self.tokens_generated.load(Ordering::Relaxed),
            requests_started: self.requests_started.load(Ordering::Relaxed),
            requests_whole: self.requests_whole.load(Ordering::Relaxed),
            cancelled: self.cancelled.load(Ordering::Relaxed),
        }
    }

    /// Waits until the fault `freeze` is cleared.
    pub(crate) async fn wait_while_frozen(&self) {
        while self.faults().freeze {
            smol::Timer::after(FREEZE_POLL_INTERVAL).await;
        }
    }

    fn record_load(&self) {
        let load = self.batch().load();
        self.history().record(Instant::now(), load);
    }

    fn tick(&self) -> NextTick {
        let faults = self.faults();
        let mut generated = 0;
        let next = self.batch().tick(Instant::now(), &faults, &mut generated);
        self.count_tokens(generated);
        if generated > 0 {
            self.record_load();
        }
        next
    }
}

/// Generates the tokens of all running requests when they are due; one timer
/// serves the whole batch. Aborts the process on a crash fault.
async fn run_ticker(engine: Arc<Engine>, wake_receiver: Receiver<()>) {
    loop {
        engine.wait_while_frozen().await;
        match engine.tick() {
            NextTick::Idle => {
                // The engine owns the sender, so the channel is never closed.
                let _ = wake_receiver.recv().await;
            }
            NextTick::At(due) => {
                let timer = async {
                    smol::Timer::at(due).await;
                };
                let wake = async {
                    let _ = wake_receiver.recv().await;
                };
                timer.or(wake).await;
            }
            NextTick::Crash => std::process::abort(),
        }
    }
}
