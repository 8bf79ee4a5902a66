//! The forms that an answer takes when it is read as a whole.

use super::{call::read_call, completion, relay::Relay};
use crate::{
    attempt::{OpenAnswer, Session},
    failure::Failure,
};

/// An upstream's whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct UpstreamAnswer {
    pub(crate) status: u16,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Vec<u8>,
    /// Tokens in it; 0 for a plain service.
    pub(crate) tokens: u32,
    /// Time to the first token, in milliseconds; 0 for a plain service.
    pub(crate) first_token_ms: u64,
    /// Whether it is the kept answer of an earlier submission.
    pub(crate) replayed: bool,
}

/// How an answer is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerFormat {
    /// A plain service's answer.
    Call,
    /// An engine's events as they are.
    Events,
    /// An engine's events, assembled.
    Completion,
}

impl AnswerFormat {
    /// Reads an answer of a request that must not be sent again.
    ///
    /// # Errors
    ///
    /// `upstream_failed` when the answer is not whole.
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
