//! The configuration document, its validation, and its content-addressed form.
//!
//! Pure: documents come in as JSON text and go out as values; reading and
//! writing the platform's store is the `shared-state` crate's job.

mod canonical;
mod document;
mod head;
mod key_index;
mod shards;
mod snapshot;
mod validate;

pub use canonical::{canonical_text, digest_of};
pub use document::{CallerLimits, Class, Document, Service, Team, Upstream, UpstreamKind};
pub use head::{Head, SessionEntry, SESSIONS_KEPT};
pub use shards::{
    assemble_document, assemble_document_reusing, split_document, ShardError, ShardTexts,
    ShardedDocument, SHARD_MAX_BYTES, TEAM_SHARDS,
};
pub use snapshot::{key_digest, Snapshot};
pub use validate::{Issue, ValidationError};
