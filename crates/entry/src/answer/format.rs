//! Reads complete answers in the format that the caller expects.

use super::{call::read_call, completion, relay::Relay};
use crate::{
    attempt::{OpenAnswer, Session},
    failure::Failure,
};

/// The complete answer of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct UpstreamAnswer {
    pub(crate) status: u16,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Vec<u8>,
    /// Number of tokens; 0 for a plain service or a stored answer.
    pub(crate) tokens: u32,
    /// Time from the request's arrival to the first token; 0 for a plain service
    /// or a stored answer.
    pub(crate) first_token_ms: u64,
    /// Whether it is the stored answer of an earlier submission with the same
    /// idempotency key.
    pub(crate) replayed: bool,
}

/// The kind of upstream and the body that the caller expects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerFormat {
    /// The body of a plain service, unchanged.
    Call,
    /// The event stream of an engine, unchanged.
    Events,
    /// A JSON completion, assembled from an engine's event stream.
    Completion,
}

impl AnswerFormat {
    /// Reads the complete answer of a request that runs at most once. A failure
    /// is not retried.
    ///
    /// # Errors
    ///
    /// `upstream_failed` if the answer is incomplete or invalid, or
    /// `deadline_exceeded`.
    pub(crate) async fn read(
        self,
        session: Session,
        answer: OpenAnswer,
    ) -> Result<UpstreamAnswer, Failure> {
        if self == AnswerFormat::Call {
            let read = read_call(answer).await;
            match &read {
                Ok(_) => session.log_answered(),
                Err(failure) => session.log_failed(failure),
            }
            return read;
        }
        let mut relay = Relay::new(session, answer);
        let events = completion::read_events(&mut relay).await?;
        let (content_type, body) = match self {
            AnswerFormat::Events => ("text/event-stream", events),
            _ => (
                "application/json",
                completion::assemble(&relay, &events)?
                    .to_string()
                    .into_bytes(),
            ),
        };
        Ok(UpstreamAnswer {
            status: 200,
            content_type: Some(content_type.into()),
            body,
            tokens: relay.tokens(),
            first_token_ms: relay.first_token_ms(),
            replayed: false,
        })
    }
}
