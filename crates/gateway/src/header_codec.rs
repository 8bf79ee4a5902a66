//! The headers by which callers and instances tell what a request is.
//!
//! The names on the wire belong to the platform's adapter; this is what they
//! mean to the gateway.

use std::{sync::Arc, time::Duration};

use http::HeaderMap;
use policy::placement::Part;
use types::{InstanceId, Priority, RequestId, TeamName};

/// What a caller's headers say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMeta {
    /// Names this attempt of the caller; passed on as it is.
    pub request_id: Option<RequestId>,
    /// How long the caller will wait.
    pub deadline: Option<Duration>,
    /// The caller's API key.
    pub api_key: Option<Arc<str>>,
    /// The parts of the prompt in order.
    pub parts: Arc<[Part]>,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Tokens that the answer has at most.
    pub output_tokens: u32,
    /// The last event that the caller has of an earlier attempt.
    pub resume_after: Option<u64>,
}

/// What an instance is told beside the caller's own headers.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamRequestMeta {
    /// The only instance that may run the request.
    pub instance: InstanceId,
    /// Time after which the instance stops work.
    pub remaining: Duration,
    /// Whose request it is.
    pub team: Option<TeamName>,
    /// Rank among the instance's requests.
    pub priority: Priority,
    /// The last event delivered, if the instance is to go on after it.
    pub resume_after: Option<u64>,
}

/// What an instance's head says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseMeta {
    /// The request that it answers.
    pub request_id: Option<RequestId>,
    /// Whether the instance states that it did not run the request.
    pub not_run: bool,
    /// Whether another instance has the address.
    pub misdirected: bool,
    /// Whether it carries the instance's own signature.
    pub signed: bool,
    /// Whether the body is not in the form that was asked for.
    pub encoded: bool,
}

/// Translates headers.
pub trait HeaderCodec: Send + Sync {
    /// Header of the request's id, for answers of the gateway's own.
    fn request_id_header(&self) -> &'static str;

    /// The value of `retry-after` for a time in milliseconds.
    fn retry_after(&self, retry_after_ms: u64) -> String;

    /// Reads a caller's headers.
    ///
    /// # Errors
    ///
    /// What is wrong with them.
    fn decode_request(&self, headers: &HeaderMap) -> Result<RequestMeta, String>;

    /// The headers for an instance: the caller's end-to-end headers without
    /// what the gateway itself sets, and what it sets.
    fn upstream_headers(&self, from_caller: &HeaderMap, meta: &UpstreamRequestMeta) -> HeaderMap;

    /// Reads an instance's head.
    fn decode_response(&self, status: u16, headers: &HeaderMap) -> ResponseMeta;
}
