//! The shared secret that authenticates messages between processes.

use std::{fmt, sync::Arc};

use subtle::{Choice, ConstantTimeEq};

/// The current peer secret, and optionally the previous one, which is still
/// accepted while the secret is rotated.
pub struct PeerSecrets {
    current: Arc<str>,
    previous: Option<Arc<str>>,
}

impl PeerSecrets {
    /// Creates the secrets. Without `previous`, only `current` is accepted.
    pub fn new(current: impl Into<Arc<str>>, previous: Option<Arc<str>>) -> Self {
        Self {
            current: current.into(),
            previous,
        }
    }

    /// Returns the secret that this process sends in its calls.
    pub fn current(&self) -> &str {
        &self.current
    }

    /// Returns whether a received secret is accepted. The comparison takes the
    /// same time for all secrets of one length, to prevent timing attacks.
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
