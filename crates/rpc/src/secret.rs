//! The secret that guards internal calls.

use std::{fmt, sync::Arc};

use subtle::{Choice, ConstantTimeEq};

/// The current peer secret, and an earlier one accepted during a change.
pub struct PeerSecrets {
    current: Arc<str>,
    previous: Option<Arc<str>>,
}

impl PeerSecrets {
    /// Makes the pair.
    pub fn new(current: impl Into<Arc<str>>, previous: Option<Arc<str>>) -> Self {
        Self {
            current: current.into(),
            previous,
        }
    }

    /// The secret that own calls carry.
    pub fn current(&self) -> &str {
        &self.current
    }

    /// Whether a received secret is accepted. Takes the same time for every
    /// secret of one length.
    pub fn accepts(&self, received: &str) -> bool {
        let matches = |secret: &str| -> Choice { secret.as_bytes().ct_eq(received.as_bytes()) };
        let previous = self.previous.as_deref().map_or(Choice::from(0), matches);
        (matches(&self.current) | previous).into()
    }
}

impl fmt::Debug for PeerSecrets {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerSecrets(..)")
    }
}
