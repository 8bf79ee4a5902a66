//! The answer that every engine gives to a prompt.
//!
//! # Invariants
//!
//! Tokens and length depend on the prompt alone, neither on the engine nor on
//! the request id: a resume on another instance continues exactly, and a
//! caller can check each token of its answer.

use serde::Deserialize;
use serde_json::Value;

/// Bytes of prompt text that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Share of short answers, in hundredths.
const SHORT_SHARE_PERCENT: u64 = 80;

/// A message of a chat request.
#[derive(Clone, Debug, Deserialize)]
pub struct Message {
    /// Who speaks.
    pub role: String,
    /// The text, or parts in their JSON form.
    pub content: Value,
}

/// The answer to a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    seed: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the whole answer.
    pub length: u32,
}

impl Completion {
    /// The answer to the messages, of at most `max_tokens` tokens.
    pub fn for_messages(messages: &[Message], max_tokens: Option<u32>) -> Self {
        Self::for_prompt(&prompt_text(messages), max_tokens)
    }

    /// The answer to a prompt made by [`prompt_text`].
    pub fn for_prompt(prompt: &str, max_tokens: Option<u32>) -> Self {
        let seed = rapidhash::v3::rapidhash_v3(prompt.as_bytes());
        let natural = directive(prompt).unwrap_or_else(|| natural_length(seed));
        Self {
            seed,
            prompt_tokens: u32::try_from(prompt.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX),
            length: natural.min(max_tokens.unwrap_or(u32::MAX)),
        }
    }

    /// The answer that another prompt would have got: what a crossed answer carries.
    pub fn crossed(self) -> Self {
        Self {
            seed: !self.seed,
            ..self
        }
    }

    /// Appends the text of a token to `text`.
    pub fn push_token(&self, index: u32, text: &mut Vec<u8>) {
        const DIGITS: &[u8; 16] = b"0123456789abcdef";

        let mut word = mix(self.seed ^ (u64::from(index) << 1));
        text.push(b'w');
        for _ in 0..6 {
            text.push(DIGITS[usize::from(word as u8 & 15)]);
            word >>= 4;
        }
        text.push(b' ');
    }

    /// The text of the tokens from `from` to the end.
    pub fn text_from(&self, from: u32) -> String {
        let mut text = Vec::new();
        for index in from..self.length {
            self.push_token(index, &mut text);
        }
        String::from_utf8(text).unwrap_or_default()
    }
}

/// The text of all messages, as prompt lengths and answers are derived from it.
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

/// The length set by a directive such as `[len=250]` in the prompt.
fn directive(prompt: &str) -> Option<u32> {
    let (_, rest) = prompt.split_once("[len=")?;
    let (number, _) = rest.split_once(']')?;
    number.parse().ok()
}

/// Most answers are short, a few are many times longer.
fn natural_length(seed: u64) -> u32 {
    let spread = mix(seed);
    let length = match seed % 100 < SHORT_SHARE_PERCENT {
        true => 10 + spread % 50,
        false => 200 + spread % 400,
    };
    length as u32
}

/// Spreads the bits of a number (SplitMix64's finalizer).
fn mix(number: u64) -> u64 {
    let mut bits = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
