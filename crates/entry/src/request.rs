//! The internal form of a caller's request after the filters.

use std::{sync::Arc, time::Duration};

use rpc::Target;
use types::{ClassName, Fingerprint, Priority, RequestId, TeamName, TimeMs, UpstreamName};

/// The class of a request, with the class settings that routing needs.
#[derive(Clone, Debug)]
pub(crate) struct ResolvedClass {
    pub(crate) class: ClassName,
    pub(crate) priority: Priority,
    pub(crate) deadline: Duration,
    pub(crate) first_token_target_ms: u64,
}

/// A validated request with everything that a dispatch needs.
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
    /// Whether it may be repeated after an attempt that may have run.
    pub(crate) idempotent: bool,
    pub(crate) prompt_tokens: u32,
    pub(crate) max_tokens: u32,
    /// Hash of the prompt's prefix for cache affinity; 0 if there is no prompt.
    pub(crate) prefix_hash: u64,
    /// The class's target for the time to the first token.
    pub(crate) first_token_target_ms: u64,
    pub(crate) received_at: TimeMs,
    pub(crate) deadline: TimeMs,
}

impl Request {
    /// Returns an estimate of prompt and response tokens, for choosing an instance.
    /// A response counts as 256 tokens at most, and as 256 without a limit.
    pub(crate) fn expected_tokens(&self) -> u32 {
        const RESPONSE_ESTIMATE_MAX_TOKENS: u32 = 256;
        let response_tokens = match self.max_tokens {
            0 => RESPONSE_ESTIMATE_MAX_TOKENS,
            max_tokens => max_tokens.min(RESPONSE_ESTIMATE_MAX_TOKENS),
        };
        response_tokens.saturating_add(self.prompt_tokens)
    }

    /// Time until the deadline; 0 after it.
    pub(crate) fn remaining_ms(&self, now: TimeMs) -> u64 {
        self.deadline.since(now)
    }
}
