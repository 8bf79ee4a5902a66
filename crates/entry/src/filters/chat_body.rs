//! The body of a chat completion, as far as routing needs it.

use rapidhash::v3::rapidhash_v3;
use serde::Deserialize;
use serde_json::value::RawValue;

/// Characters of a prompt that count as one token in estimates.
const CHARS_PER_TOKEN: usize = 4;
/// Bytes at a prompt's start that are hashed for cache affinity.
const PREFIX_BYTES: usize = 256;

/// What routing needs of a chat completion request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChatBody {
    /// The model.
    pub model: String,
    /// Whether the caller wants an event stream.
    pub stream: bool,
    /// The caller's bound on the answer, in tokens; 0 if none.
    pub max_tokens: u32,
    /// Estimated size of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Hash of the prompt's start; never 0.
    pub prefix_hash: u64,
}

#[derive(Deserialize)]
struct ChatRequest<'a> {
    model: String,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(borrow)]
    messages: Vec<&'a RawValue>,
}

/// Parses a request body.
///
/// # Errors
///
/// A text for the caller that says what is wrong.
pub fn parse(body: &[u8]) -> Result<ChatBody, String> {
    let request: ChatRequest<'_> = serde_json::from_slice(body)
        .map_err(|error| format!("the body is no chat completion request: {error}"))?;
    if request.messages.is_empty() {
        return Err("`messages` is empty; send at least one message".into());
    }
    let prompt_bytes: usize = request
        .messages
        .iter()
        .map(|message| message.get().len())
        .sum();
    let max_tokens = request
        .max_completion_tokens
        .or(request.max_tokens)
        .unwrap_or(0);
    Ok(ChatBody {
        model: request.model,
        stream: request.stream.unwrap_or(false),
        max_tokens: u32::try_from(max_tokens).unwrap_or(u32::MAX),
        prompt_tokens: u32::try_from(prompt_bytes / CHARS_PER_TOKEN).unwrap_or(u32::MAX),
        prefix_hash: prefix_hash(&request.messages),
    })
}

fn prefix_hash(messages: &[&RawValue]) -> u64 {
    let mut prefix = Vec::with_capacity(PREFIX_BYTES);
    for message in messages {
        let bytes = message.get().as_bytes();
        let taken = bytes.len().min(PREFIX_BYTES - prefix.len());
        prefix.extend_from_slice(&bytes[..taken]);
    }
    rapidhash_v3(&prefix).max(1)
}
