//! Randomized fault-injection soak test: real gateways, a simulated store and
//! simulated instances run as separate processes. Faults are injected by
//! signals, by proxies between the processes and by admin calls.
//!
//! [`plan`] generates a fault schedule from a seed, `cluster` starts the
//! processes and injects the faults, [`callers`] sends requests meanwhile, and
//! [`checks`] verifies the product's guarantees against what callers and
//! instances recorded. A seed reproduces the faults and the mix of requests,
//! but not the exact interleaving of messages.

pub mod callers;
pub mod checks;
mod cluster;
pub mod plan;
pub mod proxy;
pub mod record;
pub mod report;
mod run;

pub use run::{run, SoakArgs, SoakError};

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex and ignores poisoning, because no thread of this crate can
/// panic while a guarded value is partially updated.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
