//! Stand-ins for what surrounds the router: model engine, platform, plain
//! service and callers.
//!
//! They exist for tests, the demonstration and measurements and are never
//! shipped. Each speaks the interface of `docs/protocols.md` and can be made
//! to fail at run time through `POST /admin/faults`.

pub mod caller;
pub mod completion;
pub mod engine;
pub mod load;
pub mod platform;
pub mod service;
mod serving;
