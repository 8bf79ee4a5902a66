//! Requests that run at most once, guarded by a claim per idempotency key.
//!
//! A claim is an object in the platform's store, created before the first
//! dispatch and updated with the outcome. `coord::claim` makes all decisions;
//! this module does the I/O.

mod claim;
mod key;
mod run;
mod sweep;

pub(crate) use key::{parse_idempotency_key, NewClaim, IDEMPOTENCY_KEY_HEADER};
pub(crate) use run::run_at_most_once;
pub(crate) use sweep::run_claim_sweeper;
pub use sweep::sweep_expired_claims;
