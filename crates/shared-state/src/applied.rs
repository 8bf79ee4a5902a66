//! The configuration in force with the objects that it was made from.

use std::sync::Arc;

use config::{assemble_document_reusing, canonical_text, Head, ShardError, ShardTexts, Snapshot};
use rpc::methods::{ConfigBundle, GetConfigParams};
use types::Generation;

/// A configuration in force, as the request path and as peers need it.
#[derive(Debug, Default)]
pub struct Applied {
    /// For the request path.
    pub snapshot: Arc<Snapshot>,
    /// The head; `None` before the first configuration.
    pub head: Option<Head>,
    /// The shards of the head.
    pub shards: ShardTexts,
}

impl Applied {
    /// Checks and indexes a configuration that replaces `old`.
    ///
    /// # Errors
    ///
    /// [`ShardError`] when a shard is missing or altered, or the document
    /// breaks a rule.
    pub fn new(head: Head, shards: ShardTexts, old: &Applied) -> Result<Self, ShardError> {
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

    /// The generation in force; 0 before the first.
    pub fn generation(&self) -> Generation {
        self.snapshot.generation
    }

    /// What a peer that asks needs, if this configuration is newer than its own.
    pub fn bundle(&self, params: &GetConfigParams) -> Option<ConfigBundle> {
        let head = self.head.as_ref()?;
        if head.generation <= params.above {
            return None;
        }
        let is_wanted = |digest: &&String| !params.known_shards.contains(*digest);
        let wanted = self.shards.iter();
        let shards = wanted
            .filter(|(digest, _)| is_wanted(digest))
            // The text was made from a value: it parses.
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

    /// Asks for what is newer than this configuration.
    pub fn request(&self) -> GetConfigParams {
        GetConfigParams {
            above: self.generation(),
            known_shards: self.shards.keys().cloned().collect(),
        }
    }

    /// The shards of a peer's bundle, joined with the own ones that its head
    /// names. Each is stored under the digest that its text has.
    pub fn join(&self, head: &Head, bundle: ConfigBundle) -> ShardTexts {
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
