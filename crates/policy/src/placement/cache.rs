//! Which parts of prompts an instance is believed to keep.

use indexmap::IndexMap;
use types::TimeMs;

use super::Part;

/// Parts remembered for one instance at most; the ones unused for longest go
/// first. Sized for the subjects that one instance is home to, several times.
const PARTS_MAX: usize = 512;

/// Time after which a part counts as evicted unless it was used again, in
/// milliseconds. Engines evict the least recently used parts, and under load
/// their memory turns over in some tens of seconds.
const KEPT_MS: u64 = 30_000;

/// Parts that this entry has sent to one instance.
#[derive(Debug, Default)]
pub(super) struct KnownParts {
    used_at: IndexMap<u64, TimeMs>,
}

impl KnownParts {
    /// Tokens at the start of the chain that are kept there.
    pub(super) fn cached_tokens(&self, now: TimeMs, shared: &[Part]) -> u32 {
        shared
            .iter()
            .take_while(|part| self.is_kept(now, part.id))
            .map(|part| part.tokens)
            .sum()
    }

    /// Notes that the instance reads, or read, these parts.
    pub(super) fn note(&mut self, now: TimeMs, shared: &[Part]) {
        for part in shared {
            self.used_at.insert(part.id, now);
        }
        while self.used_at.len() > PARTS_MAX {
            let oldest = self
                .used_at
                .iter()
                .min_by_key(|(_, used_at)| **used_at)
                .map(|(id, _)| *id);
            let Some(oldest) = oldest else {
                return;
            };
            self.used_at.swap_remove(&oldest);
        }
    }

    fn is_kept(&self, now: TimeMs, id: u64) -> bool {
        self.used_at
            .get(&id)
            .is_some_and(|used_at| now.since(*used_at) < KEPT_MS)
    }
}
