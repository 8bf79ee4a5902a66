//! The configuration document, its validation, and its content-addressed form.
//!
//! Pure: documents come in as JSON text and go out as values; reading and
//! writing the platform's store is the `shared-state` crate's job.

mod document;
mod snapshot;

pub use document::{CallerLimits, Class, Document, Service, Team, Upstream, UpstreamKind};
pub use snapshot::{key_digest, Snapshot};
