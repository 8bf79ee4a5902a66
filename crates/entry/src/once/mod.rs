//! Requests that run at most once: claim, run, settle.
//!
//! The claim is an object in the platform's store, created before the first
//! dispatch. All decisions are `coord::claim`'s; here its steps are carried
//! out.

mod key;
mod run;
mod steps;
mod sweep;

pub(crate) use key::{idempotency_key, Claimant, IDEMPOTENCY_KEY_HEADER};
pub(crate) use run::run_once;
pub(crate) use sweep::sweep_claims;
pub use sweep::sweep_once;
