//! Deterministic completions generated from the prompt.
//!
//! # Invariants
//!
//! The tokens and their number depend only on the prompt and `max_tokens`, not
//! on the engine or the request id. A stream resumed on another instance
//! therefore continues with the same tokens, and a caller can check each token.

use serde::Deserialize;
use serde_json::Value;

/// Bytes of prompt text counted as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Share of short completions (10 to 59 tokens), in percent.
const SHORT_SHARE_PERCENT: u64 = 80;

/// A message in the `messages` array of a chat request.
#[derive(Clone, Debug, Deserialize)]
pub struct Message {
    /// Author of the message, such as `user` or `assistant`.
    pub role: String,
    /// Text of the message, or content parts as JSON.
    pub content: Value,
}

/// Expected completion of a prompt; generates any of its tokens by index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    seed: u64,
    /// Prompt length in tokens, at 4 bytes of text per token.
    pub prompt_tokens: u32,
    /// Length of the complete response in tokens.
    pub length: u32,
}

impl Completion {
    /// Returns the completion of `messages`, limited to `max_tokens` tokens.
    pub fn for_messages(messages: &[Message], max_tokens: Option<u32>) -> Self {
        Self::for_prompt(&prompt_text(messages), max_tokens)
    }

    /// Returns the completion of a prompt rendered by [`prompt_text`], limited
    /// to `max_tokens` tokens.
    pub fn for_prompt(prompt: &str, max_tokens: Option<u32>) -> Self {
        let seed = rapidhash::v3::rapidhash_v3(prompt.as_bytes());
        let length = length_directive(prompt).unwrap_or_else(|| default_length(seed));
        Self {
            seed,
            prompt_tokens: u32::try_from(prompt.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX),
            length: length.min(max_tokens.unwrap_or(u32::MAX)),
        }
    }

    /// Returns a completion of the same length with other tokens, used to
    /// simulate a response that belongs to another request.
    pub fn crossed(self) -> Self {
        Self {
            seed: !self.seed,
            ..self
        }
    }

    /// Appends the text of the token at `index` to `text`.
    pub fn push_token(&self, index: u32, text: &mut Vec<u8>) {
        const DIGITS: &[u8; 16] = b"0123456789abcdef";

        let mut bits = splitmix64(self.seed ^ (u64::from(index) << 1));
        text.push(b'w');
        for _ in 0..6 {
            text.push(DIGITS[usize::from(bits as u8 & 15)]);
            bits >>= 4;
        }
        text.push(b' ');
    }

    /// Returns the text of all tokens from index `from` on.
    pub fn text_from(&self, from: u32) -> String {
        let mut text = Vec::new();
        for index in from..self.length {
            self.push_token(index, &mut text);
        }
        String::from_utf8(text).unwrap_or_default()
    }
}

/// Renders all messages as one text, from which the prompt length and the
/// completion are derived.
pub fn prompt_text(messages: &[Message]) -> String {
    let mut text = String::new();
    for message in messages {
        text.push_str(&message.role);
        text.push(':');
        match &message.content {
            Value::String(content) => text.push_str(content),
            parts => text.push_str(&parts.to_string()),
        }
        text.push('\n');
    }
    text
}

/// Returns the completion length set by a directive in the prompt, such as
/// `[len=250]`.
fn length_directive(prompt: &str) -> Option<u32> {
    let (_, rest) = prompt.split_once("[len=")?;
    let (number, _) = rest.split_once(']')?;
    number.parse().ok()
}

/// Returns the length, in tokens, of the completion of a prompt that has no
/// length directive. 80 % of these completions have 10 to 59 tokens, the others
/// 200 to 599.
fn default_length(seed: u64) -> u32 {
    let random = splitmix64(seed);
    let length = match seed % 100 < SHORT_SHARE_PERCENT {
        true => 10 + random % 50,
        false => 200 + random % 400,
    };
    length as u32
}

/// Hashes a number with the SplitMix64 finalizer.
fn splitmix64(number: u64) -> u64 {
    let mut bits = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
