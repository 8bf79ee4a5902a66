//! An index from API keys to teams.

use subtle::ConstantTimeEq;
use types::TeamName;

use crate::Document;

const DIGEST_BYTES: usize = 32;
/// Length of the digest prefix used for the binary search.
const PREFIX_BYTES: usize = 8;

type Digest = [u8; DIGEST_BYTES];

/// Maps the digests of API keys to teams.
///
/// # Invariants
///
/// `entries` is sorted by digest. A look-up finds the candidates by the first
/// [`PREFIX_BYTES`] bytes of the digest and compares their whole digests in
/// constant time.
#[derive(Debug, Default)]
pub(crate) struct KeyIndex {
    entries: Vec<(Digest, TeamName)>,
}

impl KeyIndex {
    /// Builds the index of a document; malformed digests match no key.
    pub(crate) fn new(document: &Document) -> Self {
        let mut entries = Vec::new();
        for (name, team) in &document.teams {
            let digests = team
                .key_digests
                .iter()
                .filter_map(|text| parse_digest(text));
            entries.extend(digests.map(|digest| (digest, name.clone())));
        }
        entries.sort_unstable();
        Self { entries }
    }

    /// Returns the team that owns an API key, if any.
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

fn parse_digest(text: &str) -> Option<Digest> {
    let hash = blake3::Hash::from_hex(text).ok()?;
    Some(*hash.as_bytes())
}
