//! Finds the team that an API key belongs to.

use subtle::ConstantTimeEq;
use types::TeamName;

use crate::Document;

const DIGEST_BYTES: usize = 32;
/// Leading bytes by which candidates are found.
const PREFIX_BYTES: usize = 8;

type Digest = [u8; DIGEST_BYTES];

/// Teams by the digest of each of their keys.
///
/// # Invariants
///
/// Sorted by digest. Candidates are found by the leading bytes of the
/// received key's digest, and compared with it in constant time.
#[derive(Debug, Default)]
pub(crate) struct KeyIndex {
    entries: Vec<(Digest, TeamName)>,
}

impl KeyIndex {
    /// Indexes a document; digests that are not well-formed match no key.
    pub(crate) fn new(document: &Document) -> Self {
        let mut entries = Vec::new();
        for (name, team) in &document.teams {
            let digests = team.key_digests.iter().filter_map(|text| parse(text));
            entries.extend(digests.map(|digest| (digest, name.clone())));
        }
        entries.sort_unstable();
        Self { entries }
    }

    /// The team that has a key.
    pub(crate) fn team_of(&self, api_key: &str) -> Option<&TeamName> {
        let digest = *blake3::hash(api_key.as_bytes()).as_bytes();
        let prefix = &digest[..PREFIX_BYTES];
        let start = self
            .entries
            .partition_point(|(stored, _)| stored[..PREFIX_BYTES] < *prefix);
        let candidates = self.entries[start..].iter();
        candidates
            .take_while(|(stored, _)| stored[..PREFIX_BYTES] == *prefix)
            .find(|(stored, _)| stored.ct_eq(&digest).into())
            .map(|(_, team)| team)
    }
}

fn parse(text: &str) -> Option<Digest> {
    let hash = blake3::Hash::from_hex(text).ok()?;
    Some(*hash.as_bytes())
}
