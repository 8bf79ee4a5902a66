//! Content hash that identifies equal requests regardless of request id.

use std::fmt;

use serde::{de, Deserialize, Deserializer, Serialize, Serializer};

const FINGERPRINT_BYTES: usize = 16;

/// BLAKE3 digest of target and body, truncated to 16 bytes.
///
/// Requests with the same content have the same fingerprint, whichever entry
/// receives them and whatever their request ids.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// Computes the fingerprint of a request. `target` is the model, or for a plain
    /// service the team, method and path.
    pub fn of(target: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(target.len() as u64).to_le_bytes());
        hasher.update(target.as_bytes());
        hasher.update(body);
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..FINGERPRINT_BYTES]);
        Self(bytes)
    }

    /// Returns the first 8 bytes as a number, for places where a digest of 64 bits
    /// is enough.
    pub fn to_u64(&self) -> u64 {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&self.0[..8]);
        u64::from_le_bytes(bytes)
    }

    /// Parses 32 hexadecimal digits; returns `None` for any other text.
    pub fn from_hex(text: &str) -> Option<Self> {
        if text.len() != FINGERPRINT_BYTES * 2 || !text.is_ascii() {
            return None;
        }
        let mut bytes = [0; FINGERPRINT_BYTES];
        for (i, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[i * 2..i * 2 + 2], 16).ok()?;
        }
        Some(Self(bytes))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Fingerprint({self})")
    }
}

impl Serialize for Fingerprint {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Fingerprint {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
        Fingerprint::from_hex(&text)
            .ok_or_else(|| de::Error::custom("expected a fingerprint of 32 hexadecimal digits"))
    }
}
