//! Making API keys.

use config::key_digest;
use types::TeamName;

/// Random bytes in a key: 256 bits.
const KEY_BYTES: usize = 32;
/// Start of every key, by which secret scanners find one in a wrong place.
const KEY_PREFIX: &str = "lgw-";

/// A fresh API key. It is shown once; only its digest is stored.
pub struct NewKey {
    /// The team that it is for.
    pub team: TeamName,
    key: String,
}

impl NewKey {
    /// Makes a key from the system's random source.
    pub fn random(team: TeamName) -> Self {
        let bytes: [u8; KEY_BYTES] = rand::random();
        let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        Self {
            team,
            key: format!("{KEY_PREFIX}{digits}"),
        }
    }

    /// The key itself.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// What the configuration stores.
    pub fn digest(&self) -> String {
        key_digest(&self.key)
    }

    /// For a terminal.
    pub fn to_text(&self) -> String {
        format!(
            "key for team {} (shown only now): {}\ndigest for its key_digests: {}",
            self.team,
            self.key,
            self.digest()
        )
    }

    /// For scripts.
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
