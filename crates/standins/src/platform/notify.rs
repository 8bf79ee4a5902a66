//! Wakes whoever waits for a change.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use futures_lite::FutureExt;
use smol::channel::{bounded, Receiver, Sender};

/// Waiters for the next change.
#[derive(Debug, Default)]
pub(crate) struct Notify {
    waiters: Mutex<Vec<Sender<()>>>,
}

impl Notify {
    /// Registers a waiter; call it before looking at the state.
    pub(crate) fn waiter(&self) -> Waiter {
        let (sender, receiver) = bounded(1);
        let mut waiters = lock(&self.waiters);
        waiters.retain(|waiter| !waiter.is_closed());
        waiters.push(sender);
        Waiter(receiver)
    }

    /// Wakes all waiters.
    pub(crate) fn wake_all(&self) {
        lock(&self.waiters).clear();
    }
}

/// One registered waiter.
pub(crate) struct Waiter(Receiver<()>);

impl Waiter {
    /// Waits for the change, at most until `deadline`.
    pub(crate) async fn until(self, deadline: Instant) {
        let changed = async {
            // The sender is dropped to wake, so the error is the signal.
            let _ = self.0.recv().await;
        };
        let late = async {
            smol::Timer::at(deadline).await;
        };
        changed.or(late).await;
    }
}

/// Locks a mutex whose holders never panic halfway through a change.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
