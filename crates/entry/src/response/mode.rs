//! Reads complete responses in the format that the caller expects.

use super::{call::read_call_response, completion, relay::Relay};
use crate::{
    attempt::{OpenResponse, Session},
    failure::Failure,
};

/// The complete response of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct UpstreamResponse {
    pub(crate) status: u16,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Vec<u8>,
    /// Number of tokens; 0 for a plain service or a stored response.
    pub(crate) tokens: u32,
    /// Time from the request's arrival to the first token; 0 for a plain service
    /// or a stored response.
    pub(crate) first_token_ms: u64,
    /// Whether it is the stored response of an earlier submission with the same
    /// idempotency key.
    pub(crate) replayed: bool,
}

/// The kind of upstream and the body that the caller expects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseMode {
    /// The body of a plain service, unchanged.
    Call,
    /// The event stream of an engine, unchanged.
    EventStream,
    /// A JSON completion, assembled from an engine's event stream.
    Completion,
}

impl ResponseMode {
    /// Reads the complete response of a request that runs at most once. A failure
    /// is not retried.
    ///
    /// # Errors
    ///
    /// `upstream_failed` if the response is incomplete or invalid, or
    /// `deadline_exceeded`.
    pub(crate) async fn read(
        self,
        session: Session,
        response: OpenResponse,
    ) -> Result<UpstreamResponse, Failure> {
        if self == ResponseMode::Call {
            let read = read_call_response(response).await;
            match &read {
                Ok(_) => session.log_call_finished(),
                Err(failure) => session.log_failed(failure),
            }
            return read;
        }
        let mut relay = Relay::new(session, response);
        let events = completion::read_events(&mut relay).await?;
        let (content_type, body) = match self {
            ResponseMode::EventStream => ("text/event-stream", events),
            _ => (
                "application/json",
                completion::assemble(&relay, &events)?
                    .to_string()
                    .into_bytes(),
            ),
        };
        Ok(UpstreamResponse {
            status: 200,
            content_type: Some(content_type.into()),
            body,
            tokens: relay.tokens(),
            first_token_ms: relay.first_token_ms(),
            replayed: false,
        })
    }
}
