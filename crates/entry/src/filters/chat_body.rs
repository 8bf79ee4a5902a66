//! Parses the fields of a chat completion request that routing needs.

use rapidhash::v3::rapidhash_v3;
use serde::Deserialize;
use serde_json::value::RawValue;

/// Estimated length of a token. Prompts are measured as JSON text.
const BYTES_PER_TOKEN: usize = 4;
/// Length of the prompt prefix that is hashed for cache affinity.
const PREFIX_BYTES: usize = 256;

/// The fields of a chat completion request that routing needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChatBody {
    /// Name of the requested model.
    pub model: String,
    /// Whether the caller asked for an event stream; false by default.
    pub stream: bool,
    /// The caller's limit for the response, in tokens; 0 if none. The field
    /// `max_completion_tokens` takes precedence over `max_tokens`.
    pub max_tokens: u32,
    /// Prompt size in tokens, estimated from the length of `messages`.
    pub prompt_tokens: u32,
    /// Hash of the prompt's first 256 bytes, for cache affinity; never 0, since 0
    /// marks a request without a prompt.
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

/// Parses a request body; ignores fields that routing doesn't need.
///
/// # Errors
///
/// An error message for the caller.
pub fn parse(body: &[u8]) -> Result<ChatBody, String> {
    let request: ChatRequest<'_> = serde_json::from_slice(body)
        .map_err(|error| format!("the body is not a valid chat completion request: {error}"))?;
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
        prompt_tokens: u32::try_from(prompt_bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX),
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
