//! Identity of an operator's session.

use std::fmt;

use types::Generation;

/// Identifies one session of an operator, over repeated runs.
///
/// # Invariants
///
/// The text form is `s-BASE-RANDOM`: BASE is the generation that was stored
/// when the session began, the only one that it may replace.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SessionId {
    text: String,
    base: Generation,
}

/// A text is no session id.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is no session id; they look like s-41-9f3a27c04d1be586")]
pub struct ParseSessionIdError(String);

impl SessionId {
    /// Makes the id of a session that begins at generation `base`; `random`
    /// tells it from all others.
    pub fn new(base: Generation, random: u64) -> Self {
        Self {
            text: format!("s-{}-{random:016x}", base.0),
            base,
        }
    }

    /// Reads an id that an earlier run printed.
    ///
    /// # Errors
    ///
    /// [`ParseSessionIdError`] when the text is none.
    pub fn parse(text: &str) -> Result<Self, ParseSessionIdError> {
        let parts = text
            .strip_prefix("s-")
            .and_then(|rest| rest.split_once('-'))
            .and_then(|(base, random)| {
                let base: u64 = base.parse().ok()?;
                let random = u64::from_str_radix(random, 16).ok()?;
                Some(SessionId::new(Generation(base), random))
            });
        parts
            .filter(|id| id.text == text)
            .ok_or_else(|| ParseSessionIdError(text.to_string()))
    }

    /// The generation that was stored when the session began; 0 if none was.
    pub fn base(&self) -> Generation {
        self.base
    }

    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

impl fmt::Display for SessionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}
