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
    /// Time of the last use and length in tokens, least recently used first.
    parts: IndexMap<u64, (TimeMs, u32)>,
    /// Sum of the lengths of all parts.
    tokens: u64,
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
            if let Some((_, tokens)) = self.parts.shift_remove(&part.id) {
                self.tokens -= u64::from(tokens);
            }
            self.parts.insert(part.id, (now, part.tokens));
            self.tokens += u64::from(part.tokens);
        }
        while let Some((_, (used_at, tokens))) = self.parts.first() {
            let is_evicted = now.since(*used_at) >= RETENTION_MS;
            if !is_evicted && self.parts.len() <= PARTS_MAX {
                return;
            }
            self.tokens -= u64::from(*tokens);
            self.parts.shift_remove_index(0);
        }
    }

    /// Returns the tokens of the parts that were cached when the last one was
    /// recorded.
    pub(super) fn total_tokens(&self) -> u64 {
        self.tokens
    }

    fn is_cached(&self, now: TimeMs, id: u64) -> bool {
        self.parts
            .get(&id)
            .is_some_and(|(used_at, _)| now.since(*used_at) < RETENTION_MS)
    }
}
