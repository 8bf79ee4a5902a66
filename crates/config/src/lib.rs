//! The configuration document, its validation, and its content-addressed form.
//!
//! This crate does no I/O: it parses and validates JSON text and splits
//! documents into shards. The `shared-state` crate reads and writes the
//! platform's store.

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
