//! Simulated model engine, platform, plain service and callers of the router.
//!
//! They are used by tests, the demonstration and measurements and are not
//! part of a release. The servers implement the interfaces described in
//! `docs/protocols.md`; `POST /admin/faults` injects faults at run time.

pub mod caller;
pub mod completion;
pub mod engine;
pub mod load;
pub mod platform;
pub mod service;
mod serving;
