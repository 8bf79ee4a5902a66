//! Interface for decoding and encoding request metadata in HTTP headers.
//!
//! The platform adapter implements [`HeaderCodec`] and defines the header
//! names; this module defines only the decoded values.

use std::{sync::Arc, time::Duration};

use http::HeaderMap;
use policy::placement::Part;
use types::{InstanceId, Priority, RequestId, TeamName};

/// Metadata decoded from the headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMeta {
    /// Id of this attempt of the caller; forwarded unchanged.
    pub request_id: Option<RequestId>,
    /// Longest time that the caller waits, counted from receipt.
    pub deadline: Option<Duration>,
    /// API key that identifies the caller's team.
    pub api_key: Option<Arc<str>>,
    /// Parts of the prompt in order, by which instances with cached prefixes
    /// are found.
    pub parts: Arc<[Part]>,
    /// Length of the prompt in tokens; 0 if unknown.
    pub prompt_tokens: u32,
    /// Upper bound on the tokens of the response; 0 if unknown.
    pub output_tokens: u32,
    /// Id of the last event that the caller received from an earlier attempt.
    pub resume_after: Option<u64>,
}

/// Metadata that the gateway sends to an instance in addition to the caller's
/// own headers.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamRequestMeta {
    /// Instance that the request is meant for; any other must reject it.
    pub instance: InstanceId,
    /// Time after which the instance stops working on the request.
    pub remaining: Duration,
    /// Team that the request is accounted to; `None` without an API key.
    pub team: Option<TeamName>,
    /// Priority among the requests of the instance.
    pub priority: Priority,
    /// Id of the last event delivered, if the instance should resume the stream
    /// after it.
    pub resume_after: Option<u64>,
    /// Address of an instance of the same upstream from which the instance
    /// copies cached parts of the prompt, `IP:port`.
    pub copy_from: Option<Arc<str>>,
}

/// Metadata decoded from the status and headers of an instance's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseMeta {
    /// Id of the request that the response belongs to.
    pub request_id: Option<RequestId>,
    /// Whether the instance reports that it did not run the request.
    pub not_run: bool,
    /// Whether the address now belongs to a different instance.
    pub misdirected: bool,
    /// Whether the response carries the instance's signature. Successful
    /// responses without it are rejected.
    pub signed: bool,
    /// Requests that the instance takes from all gateways together, in thousandths
    /// of a request per second; `None` if it names no limit.
    pub limit_milli_per_s: Option<u64>,
    /// Whether the instance announces that it leaves.
    pub leaving: bool,
    /// Time for which the instance wants no more requests from this process, in
    /// milliseconds; `None` if it does not ask for a pause.
    pub pause_ms: Option<u64>,
    /// Whether the body has a content encoding, which the gateway does not
    /// request and cannot relay.
    pub encoded: bool,
}

/// Converts between HTTP headers and the metadata that the gateway uses.
pub trait HeaderCodec: Send + Sync {
    /// Returns the name of the header that carries the request id. The
    /// gateway sets it on responses that it generates itself.
    fn request_id_header(&self) -> &'static str;

    /// Formats a time in milliseconds as a `retry-after` value.
    fn retry_after(&self, retry_after_ms: u64) -> String;

    /// Decodes the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// A description of the malformed header, for the error response.
    fn decode_request(&self, headers: &HeaderMap) -> Result<RequestMeta, String>;

    /// Returns the headers for an instance: the caller's end-to-end headers
    /// without those reserved for the gateway, plus those encoding `meta`.
    fn upstream_headers(&self, from_caller: &HeaderMap, meta: &UpstreamRequestMeta) -> HeaderMap;

    /// Decodes the status and headers of an instance's response.
    fn decode_response(&self, status: u16, headers: &HeaderMap) -> ResponseMeta;
}
