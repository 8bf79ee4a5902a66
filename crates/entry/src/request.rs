//! A caller's request after the filters.

use std::{sync::Arc, time::Duration};

use rpc::Target;
use types::{ClassName, Fingerprint, Priority, RequestId, TeamName, TimeMs, UpstreamName};

/// The class of a request, with the settings that routing needs.
#[derive(Clone, Debug)]
pub(crate) struct ResolvedClass {
    pub(crate) class: ClassName,
    pub(crate) priority: Priority,
    pub(crate) deadline: Duration,
    pub(crate) first_token_target_ms: u64,
}

/// A request that may be dispatched.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) request_id: RequestId,
    pub(crate) team: TeamName,
    pub(crate) class: ClassName,
    pub(crate) upstream: UpstreamName,
    pub(crate) target: Target,
    pub(crate) body: Arc<[u8]>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) suspect: bool,
    /// Whether it may be sent again after it may have run.
    pub(crate) idempotent: bool,
    pub(crate) prompt_tokens: u32,
    pub(crate) max_tokens: u32,
    /// Hash of the prompt's prefix for cache affinity; 0 for none.
    pub(crate) prefix_hash: u64,
    /// Target of the class for the first token, in milliseconds.
    pub(crate) first_token_target_ms: u64,
    pub(crate) received_at: TimeMs,
    pub(crate) deadline: TimeMs,
}

impl Request {
    /// Tokens expected for choosing an instance, before anything is known.
    pub(crate) fn expected_tokens(&self) -> u32 {
        const UNBOUNDED_TOKENS: u32 = 256;
        let answer_tokens = match self.max_tokens {
            0 => UNBOUNDED_TOKENS,
            bound => bound.min(UNBOUNDED_TOKENS),
        };
        answer_tokens.saturating_add(self.prompt_tokens)
    }

    /// Time left until the deadline, in milliseconds.
    pub(crate) fn remaining_ms(&self, now: TimeMs) -> u64 {
        self.deadline.since(now)
    }
}
