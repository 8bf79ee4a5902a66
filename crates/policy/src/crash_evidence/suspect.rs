//! What may be to blame for a crash: a part of a prompt or a whole request.

use std::fmt;

use serde::{de, Deserialize, Deserializer, Serialize, Serializer};
use types::Fingerprint;

/// Depth of whole requests, which are more specific than any part.
const CONTENT_DEPTH: u8 = u8::MAX;

/// A part of a prompt, or the content of a whole request.
///
/// Ordered from the most common to the most specific: a part that comes later in
/// prompts occurs in fewer of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Suspect {
    depth: u8,
    id: u64,
}

impl Suspect {
    /// Creates a suspect for the part at `position`, from 0, of a prompt.
    pub fn part(position: usize, id: u64) -> Self {
        let depth = u8::try_from(position).unwrap_or(CONTENT_DEPTH);
        Self {
            depth: depth.min(CONTENT_DEPTH - 1),
            id,
        }
    }

    /// Creates a suspect for all requests with the same content.
    pub fn content(fingerprint: &Fingerprint) -> Self {
        Self {
            depth: CONTENT_DEPTH,
            id: fingerprint.to_u64(),
        }
    }

    /// Position of the part; the greatest value for the content of a request.
    pub(super) fn depth(&self) -> u8 {
        self.depth
    }

    pub(super) fn is_part(&self) -> bool {
        self.depth != CONTENT_DEPTH
    }
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.depth {
            CONTENT_DEPTH => write!(f, "content:{:x}", self.id),
            depth => write!(f, "{depth}:{:x}", self.id),
        }
    }
}

impl Serialize for Suspect {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Suspect {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
        parse(&text).ok_or_else(|| de::Error::custom("expected a suspect as DEPTH:HEX"))
    }
}

fn parse(text: &str) -> Option<Suspect> {
    let (depth, id) = text.split_once(':')?;
    let depth = match depth {
        "content" => CONTENT_DEPTH,
        depth => depth.parse().ok().filter(|depth| *depth < CONTENT_DEPTH)?,
    };
    let id = u64::from_str_radix(id, 16).ok()?;
    Some(Suspect { depth, id })
}
