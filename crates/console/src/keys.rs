//! Generation of API keys.

use config::key_digest;
use types::TeamName;

/// Number of random bytes in a key (256 bits).
const KEY_BYTES: usize = 32;
/// Prefix of every key, which lets secret scanners detect leaked keys.
const KEY_PREFIX: &str = "lgw-";

/// A new API key. It is displayed once; only its digest is stored.
pub struct NewKey {
    /// Team that the key is for.
    pub team: TeamName,
    key: String,
}

impl NewKey {
    /// Generates a key from a cryptographically secure random source.
    pub fn random(team: TeamName) -> Self {
        let bytes: [u8; KEY_BYTES] = rand::random();
        let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        Self {
            team,
            key: format!("{KEY_PREFIX}{digits}"),
        }
    }

    /// Returns the secret key.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Returns the digest that the configuration stores.
    pub fn digest(&self) -> String {
        key_digest(&self.key)
    }

    /// Formats the key and its digest for a terminal.
    pub fn to_text(&self) -> String {
        format!(
            "key for team {} (shown only once): {}\ndigest for its key_digests: {}",
            self.team,
            self.key,
            self.digest()
        )
    }

    /// Formats the key and its digest as one JSON object, for scripts.
    pub fn to_json(&self) -> String {
        serde_json::json!({
            "team": self.team,
            "key": self.key,
            "digest": self.digest(),
        })
        .to_string()
    }
}

impl std::fmt::Debug for NewKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "NewKey({}, ..)", self.team)
    }
}
