//! Ids of the sessions in which operators submit configurations.

use std::fmt;

use types::Generation;

/// Id of an operator's session; the same over repeated runs of the command.
///
/// # Invariants
///
/// The text form is `s-BASE-RANDOM`. BASE is the generation that was stored
/// when the session began; the session may replace only that generation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SessionId {
    text: String,
    base: Generation,
}

/// Error of parsing a text that is not a session id; holds the text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid session id `{0}`; expected the form s-41-9f3a27c04d1be586")]
pub struct ParseSessionIdError(String);

impl SessionId {
    /// Creates the id of a session that begins at generation `base`; `random`
    /// makes it unique.
    pub fn new(base: Generation, random: u64) -> Self {
        Self {
            text: format!("s-{}-{random:016x}", base.0),
            base,
        }
    }

    /// Parses an id that an earlier run printed.
    ///
    /// # Errors
    ///
    /// Returns [`ParseSessionIdError`] if the text is not the exact text form of
    /// an id: leading zeros of BASE and uppercase digits are rejected.
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

    /// Returns the generation that was stored when the session began; 0 if
    /// there was none.
    pub fn base(&self) -> Generation {
        self.base
    }

    /// Returns the text form.
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

impl fmt::Display for SessionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}
