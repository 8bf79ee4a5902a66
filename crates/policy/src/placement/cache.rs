//! Estimate of which prompt parts an instance has cached.

use indexmap::IndexMap;
use types::TimeMs;

use super::Part;

/// Maximum number of parts recorded per instance; the least recently used ones
/// are removed first. Several times the number of shared parts that have their
/// home on one instance.
const PARTS_MAX: usize = 512;

/// Time after which an unused part counts as evicted. Engines evict the least
/// recently used parts, and under load their cache turns over within tens of
/// seconds.
const RETENTION_MS: u64 = 30_000;

/// Parts that this entry has sent to one instance.
#[derive(Debug, Default)]
pub(super) struct CachedParts {
    used_at: IndexMap<u64, TimeMs>,
}

impl CachedParts {
    /// Returns the number of tokens in the cached prefix of `shared`.
    pub(super) fn cached_tokens(&self, now: TimeMs, shared: &[Part]) -> u32 {
        shared
            .iter()
            .take_while(|part| self.is_cached(now, part.id))
            .map(|part| part.tokens)
            .sum()
    }

    /// Records that the instance prefills, or has cached, these parts.
    pub(super) fn record(&mut self, now: TimeMs, shared: &[Part]) {
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

    fn is_cached(&self, now: TimeMs, id: u64) -> bool {
        self.used_at
            .get(&id)
            .is_some_and(|used_at| now.since(*used_at) < RETENTION_MS)
    }
}
