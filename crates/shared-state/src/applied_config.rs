//! The configuration in force, together with the store objects that it was
//! built from.

use std::sync::Arc;

use config::{assemble_document_reusing, canonical_text, Head, ShardError, ShardTexts, Snapshot};
use rpc::methods::{ConfigBundle, GetConfigParams};
use types::Generation;

/// A configuration in the form that the request path reads and in the form
/// that is sent to peers.
#[derive(Debug, Default)]
pub struct AppliedConfig {
    /// Indexed form, which the request path reads.
    pub snapshot: Arc<Snapshot>,
    /// Head object, which names the shards; `None` before the first
    /// configuration.
    pub head: Option<Head>,
    /// Texts of the shards that the head names, by digest.
    pub shards: ShardTexts,
}

impl AppliedConfig {
    /// Validates and indexes a configuration that replaces `old`. Parts whose
    /// shards did not change are shared with `old`.
    ///
    /// # Errors
    ///
    /// Returns [`ShardError`] if a shard is missing or does not match its
    /// digest, or if the document is invalid.
    pub fn new(head: Head, shards: ShardTexts, old: &AppliedConfig) -> Result<Self, ShardError> {
        let no_head = Head::default();
        let old_head = old.head.as_ref().unwrap_or(&no_head);
        let document = assemble_document_reusing(&head, &shards, old_head, &old.snapshot.document)?;
        let snapshot = Arc::new(Snapshot::new(head.generation, document));
        Ok(Self {
            snapshot,
            head: Some(head),
            shards,
        })
    }

    /// Returns the generation; 0 before the first configuration.
    pub fn generation(&self) -> Generation {
        self.snapshot.generation
    }

    /// Returns the head and the shards that the peer lacks; `None` if this
    /// configuration is not newer than the peer's.
    pub fn bundle(&self, params: &GetConfigParams) -> Option<ConfigBundle> {
        let head = self.head.as_ref()?;
        if head.generation <= params.above {
            return None;
        }
        let is_missing = |digest: &&String| !params.known_shards.contains(*digest);
        let all_shards = self.shards.iter();
        let shards = all_shards
            .filter(|(digest, _)| is_missing(digest))
            // The text was serialized from a JSON value, so parsing succeeds.
            .map(|(digest, text)| {
                (
                    digest.clone(),
                    serde_json::from_str(text).unwrap_or_default(),
                )
            })
            .collect();
        Some(ConfigBundle {
            head: head.to_value(),
            shards,
        })
    }

    /// Returns the parameters that request a newer configuration from a peer.
    pub fn fetch_params(&self) -> GetConfigParams {
        GetConfigParams {
            above: self.generation(),
            known_shards: self.shards.keys().cloned().collect(),
        }
    }

    /// Returns the shards that `head` names, from a peer's bundle and from this
    /// configuration. The digests of the peer's shards are computed from their
    /// texts; those that the peer sent are ignored.
    pub fn merge_shards(&self, head: &Head, bundle: ConfigBundle) -> ShardTexts {
        let mut shards = ShardTexts::new();
        for (_, value) in bundle.shards {
            let text = canonical_text(&value);
            shards.insert(config::digest_of(&text), text.into());
        }
        for digest in head.shards.values() {
            if let Some(text) = self.shards.get(digest) {
                shards.insert(digest.clone(), text.clone());
            }
        }
        shards.retain(|digest, _| head.shards.values().any(|named| named == digest));
        shards
    }
}
