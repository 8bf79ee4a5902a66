//! Simulated prefix cache with LRU eviction, and its cache events, which are
//! delayed and incomplete.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use indexmap::IndexSet;
use serde::Serialize;

/// Bytes of prompt text in a block (16 tokens of 4 bytes).
const BLOCK_BYTES: usize = 64;
/// Tokens in a block of [`BLOCK_BYTES`].
const BLOCK_TOKENS: u32 = 16;
/// Maximum number of stored events; the oldest are dropped.
const EVENTS_MAX: usize = 8192;

/// Event that reports a block as `stored` or `evicted`.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CacheEvent {
    pub(crate) sequence: u64,
    pub(crate) kind: &'static str,
    /// Hash of the prompt from its start to the end of the block.
    pub(crate) prefix_hash: String,
}

/// Cached blocks, identified by their prefix hash, in order of last use with the
/// least recently used one first.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    blocks: IndexSet<u64>,
    blocks_max: usize,
    events: VecDeque<(Instant, CacheEvent)>,
    last_sequence: u64,
    event_lag: Duration,
    gap_every: u64,
}

impl PrefixCache {
    pub(crate) fn new(blocks_max: usize, event_lag: Duration, gap_every: u64) -> Self {
        Self {
            blocks: IndexSet::new(),
            blocks_max,
            events: VecDeque::new(),
            last_sequence: 0,
            event_lag,
            gap_every,
        }
    }

    /// Inserts the blocks of a prompt; returns the length of the prefix that was
    /// already cached, in tokens.
    pub(crate) fn insert_prompt(&mut self, prompt: &str, now: Instant) -> u32 {
        let mut cached_blocks = 0;
        let mut is_prefix_cached = true;
        let mut hash = 0;
        for block in prompt.as_bytes().chunks_exact(BLOCK_BYTES) {
            hash = chain_hash(hash, block);
            let was_cached = self.blocks.shift_remove(&hash);
            self.blocks.insert(hash);
            is_prefix_cached &= was_cached;
            if is_prefix_cached {
                cached_blocks += 1;
            }
            if !was_cached {
                self.record_event("stored", hash, now);
            }
        }
        self.evict(now);
        cached_blocks * BLOCK_TOKENS
    }

    /// Returns the visible events after a sequence number; events become visible
    /// after the configured lag.
    pub(crate) fn events_after(&self, after: u64, now: Instant) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(at, event)| event.sequence > after && now >= *at + self.event_lag)
            .map(|(_, event)| event.clone())
            .collect()
    }

    fn evict(&mut self, now: Instant) {
        while self.blocks.len() > self.blocks_max {
            if let Some(oldest) = self.blocks.shift_remove_index(0) {
                self.record_event("evicted", oldest, now);
            }
        }
    }

    fn record_event(&mut self, kind: &'static str, hash: u64, now: Instant) {
        self.last_sequence += 1;
        if self.gap_every > 0 && self.last_sequence.is_multiple_of(self.gap_every) {
            return;
        }
        let event = CacheEvent {
            sequence: self.last_sequence,
            kind,
            prefix_hash: format!("{hash:016x}"),
        };
        self.events.push_back((now, event));
        if self.events.len() > EVENTS_MAX {
            self.events.pop_front();
        }
    }
}

/// Returns the hash of a prefix that consists of a shorter prefix with the hash
/// `previous` and one more block.
fn chain_hash(previous: u64, block: &[u8]) -> u64 {
    rapidhash::v3::rapidhash_v3(block)
        ^ previous.rotate_left(23).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
