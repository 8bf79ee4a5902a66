//! The engine as a whole: its batch, its reports and the task that ticks.

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
    batch::{Batch, Next},
    load::LoadHistory,
    orders::Orders,
    EngineArgs, Faults,
};

/// How often a frozen engine looks whether the fault is cleared.
pub(crate) const THAW_CHECK: Duration = Duration::from_millis(20);

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Tokens that were generated, delivered or not.
    pub tokens_generated: u64,
    /// Requests that were taken in.
    pub requests_started: u64,
    /// Requests whose answer was generated and sent whole.
    pub requests_whole: u64,
    /// Requests that were cancelled or whose connection closed.
    pub cancelled: u64,
}

/// The engine.
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
    /// Makes an engine and starts its ticker.
    pub(crate) fn start(args: EngineArgs, faults: Faults) -> Arc<Self> {
        let (wake, woken) = bounded(1);
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
        async_global_executor::spawn(tick_for_ever(Arc::clone(&engine), woken)).detach();
        engine
    }

    /// Takes a request in.
    pub(crate) fn submit(&self, params: RequestParams) -> Arc<ActiveRequest> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let request = Arc::new(ActiveRequest::new(number, params, &self.faults()));
        self.requests_started.fetch_add(1, Ordering::Relaxed);
        self.batch().submit(Arc::clone(&request), Instant::now());
        self.note_load();
        // A full channel means that a wake-up is already on its way.
        let _ = self.wake.try_send(());
        request
    }

    /// Ends a request whose connection is done with it.
    pub(crate) fn release(&self, request: &ActiveRequest) {
        let (phase, is_sent) = {
            let progress = request.progress();
            (progress.phase, progress.sent == progress.bytes.len())
        };
        match phase {
            Phase::Ended if is_sent => self.requests_whole.fetch_add(1, Ordering::Relaxed),
            Phase::Cut => 0,
            _ => self.cancelled.fetch_add(1, Ordering::Relaxed),
        };
        self.batch().release(request.number, Instant::now());
        self.note_load();
        let _ = self.wake.try_send(());
    }

    /// Cuts the requests with an id; returns their number.
    pub(crate) fn cancel(&self, request_id: &str) -> usize {
        let found = self.batch().find(request_id);
        for request in &found {
            self.batch().release(request.number, Instant::now());
            let mut progress = request.progress();
            progress.phase = Phase::Cut;
            progress.wake();
            self.cancelled.fetch_add(1, Ordering::Relaxed);
        }
        found.len()
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

    /// Returns once the engine is not frozen.
    pub(crate) async fn thawed(&self) {
        while self.faults().freeze {
            smol::Timer::after(THAW_CHECK).await;
        }
    }

    fn note_load(&self) {
        let load = self.batch().load();
        self.history().note(Instant::now(), load);
    }

    fn tick(&self) -> Next {
        let faults = self.faults();
        let mut generated = 0;
        let next = self.batch().tick(Instant::now(), &faults, &mut generated);
        self.count_tokens(generated);
        if generated > 0 {
            self.note_load();
        }
        next
    }
}

/// Generates tokens for the whole batch, one timer for all requests.
async fn tick_for_ever(engine: Arc<Engine>, woken: Receiver<()>) {
    loop {
        engine.thawed().await;
        match engine.tick() {
            Next::Idle => {
                // The engine holds the sender, so the channel never closes.
                let _ = woken.recv().await;
            }
            Next::At(due) => {
                let timer = async {
                    smol::Timer::at(due).await;
                };
                let wake = async {
                    let _ = woken.recv().await;
                };
                timer.or(wake).await;
            }
            Next::Crash => std::process::abort(),
        }
    }
}
