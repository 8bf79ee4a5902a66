//! Notifies waiting tasks of a change.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use futures_lite::FutureExt;
use smol::channel::{bounded, Receiver, Sender};

/// Tasks that wait for the next change.
#[derive(Debug, Default)]
pub(crate) struct Notify {
    waiters: Mutex<Vec<Sender<()>>>,
}

impl Notify {
    /// Registers a waiter. It must be registered before the state is read;
    /// otherwise a change in between is missed.
    pub(crate) fn waiter(&self) -> Waiter {
        let (sender, receiver) = bounded(1);
        let mut waiters = lock(&self.waiters);
        waiters.retain(|waiter| !waiter.is_closed());
        waiters.push(sender);
        Waiter(receiver)
    }

    /// Wakes all registered waiters and removes them.
    pub(crate) fn wake_all(&self) {
        lock(&self.waiters).clear();
    }
}

/// A registered waiter, woken once by [`Notify::wake_all`].
pub(crate) struct Waiter(Receiver<()>);

impl Waiter {
    /// Waits for the next change, at most until `deadline`.
    pub(crate) async fn wait_until(self, deadline: Instant) {
        let changed = async {
            // `wake_all` drops the sender, so the receive error is the signal.
            let _ = self.0.recv().await;
        };
        let timed_out = async {
            smol::Timer::at(deadline).await;
        };
        changed.or(timed_out).await;
    }
}

/// Locks a mutex and ignores poisoning: no holder panics in the middle of a
/// change.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
