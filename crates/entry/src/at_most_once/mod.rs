//! Requests that run at most once: claim, run, settle.
//!
//! The claim is an object in the platform's store, created before the first
//! dispatch. All decisions are `coord::claim`'s; here its steps are carried
//! out.

mod claim;
mod key;
mod run;
mod sweep;

pub(crate) use key::{parse_idempotency_key, NewClaim, IDEMPOTENCY_KEY_HEADER};
pub(crate) use run::run_at_most_once;
pub(crate) use sweep::run_claim_sweeper;
pub use sweep::sweep_expired_claims;
