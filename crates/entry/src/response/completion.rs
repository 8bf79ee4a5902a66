//! Assembles a JSON completion from an engine's event stream, for callers that
//! did not ask for a stream.

use std::future::poll_fn;

use serde::Deserialize;
use serde_json::{json, Value};
use types::{ErrorCode, Verdict};

use super::relay::Relay;
use crate::failure::Failure;

/// Size limit for an assembled response, counted in bytes of its event stream.
const RESPONSE_MAX_BYTES: usize = 32 << 20;
/// Size of the read buffer; the response may be larger.
const READ_BYTES: usize = 16 << 10;

#[derive(Deserialize)]
struct Event {
    #[serde(default)]
    model: Option<String>,
    #[serde(default)]
    choices: Vec<EventChoice>,
    #[serde(default)]
    usage: Option<Value>,
}

#[derive(Deserialize)]
struct EventChoice {
    #[serde(default)]
    delta: Delta,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

/// Reads the complete response and assembles it into a JSON completion.
///
/// # Errors
///
/// The relay's failure, or `upstream_failed` if the events are invalid or
/// inconsistent.
pub(crate) async fn read_completion(mut relay: Relay) -> Result<Value, Failure> {
    let events = read_events(&mut relay).await?;
    assemble(&relay, &events)
}

/// Reads all events of a complete response.
///
/// # Errors
///
/// The relay's failure, or `upstream_failed` beyond [`RESPONSE_MAX_BYTES`].
pub(crate) async fn read_events(relay: &mut Relay) -> Result<Vec<u8>, Failure> {
    let mut events = Vec::new();
    let mut buf = vec![0; READ_BYTES];
    loop {
        let count = poll_fn(|cx| relay.poll_events(cx, &mut buf)).await?;
        if count == 0 {
            return Ok(events);
        }
        events.extend_from_slice(&buf[..count]);
        if events.len() > RESPONSE_MAX_BYTES {
            return Err(invalid_response(
                "it exceeds the size limit for responses without streaming; request a stream",
            ));
        }
    }
}

/// Assembles the events of a complete response into a JSON completion.
///
/// # Errors
///
/// `upstream_failed` if an event is invalid, or if the number of tokens differs
/// from the upstream's `completion_tokens`.
pub(crate) fn assemble(relay: &Relay, events: &[u8]) -> Result<Value, Failure> {
    let text =
        std::str::from_utf8(events).map_err(|_| invalid_response("it is not valid UTF-8"))?;
    let mut content = String::with_capacity(text.len() / 16);
    let mut model = None;
    let mut finish_reason = None;
    let mut usage = Value::Null;
    for data in text
        .split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "))
    {
        if data == "[DONE]" {
            break;
        }
        let event: Event = serde_json::from_str(data)
            .map_err(|_| invalid_response("an event is not valid JSON"))?;
        model = event.model.or(model);
        usage = event.usage.unwrap_or(usage);
        for choice in event.choices {
            content.push_str(choice.delta.content.as_deref().unwrap_or_default());
            finish_reason = choice.finish_reason.or(finish_reason);
        }
    }
    let reported_tokens = usage.get("completion_tokens").and_then(Value::as_u64);
    if reported_tokens.is_some_and(|tokens| tokens != u64::from(relay.tokens())) {
        return Err(invalid_response(
            "its number of tokens differs from the upstream's `completion_tokens`",
        ));
    }
    Ok(json!({
        "id": relay.request_id(),
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": content},
            "finish_reason": finish_reason,
        }],
        "usage": usage,
    }))
}

fn invalid_response(reason: &str) -> Failure {
    Failure::new(
        ErrorCode::UpstreamFailed,
        Verdict::Ran,
        format!("the upstream's response cannot be delivered: {reason}"),
    )
}
