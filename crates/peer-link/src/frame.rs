//! Encoding and authentication of frames.

use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

/// Longest frame in bytes; see [`PAYLOAD_MAX_BYTES`](crate::PAYLOAD_MAX_BYTES).
pub const FRAME_MAX_BYTES: usize = 1_200;

/// Key that authenticates the frames of all gateways.
pub type Key = [u8; 32];

/// Version of the encoding. A receiver drops other versions, so that gateways of
/// two versions work without the link during a rollout.
const VERSION: u8 = 1;

/// Length of the truncated keyed hash at the end of a frame.
const TAG_BYTES: usize = 16;

/// Content of a frame without its tag.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame<'a> {
    version: u8,
    /// Id of the sending gateway.
    pub sender: &'a str,
    /// Random number of the sender's run.
    pub run: u64,
    /// Start of the sender's run by its clock, in Unix milliseconds.
    pub started_unix_ms: u64,
    /// Share of a processor core that the sender has, in thousandths.
    pub strength: u32,
    /// Number of the topic; 0 for a frame that only shows that its sender runs.
    pub topic: u8,
    /// Number of the frame within the run.
    pub sequence: u64,
    /// Content, whose form the topic determines.
    pub payload: &'a [u8],
}

/// Reason for which a received frame was ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DropCause {
    /// The datagram is longer than [`FRAME_MAX_BYTES`].
    #[error("too_long")]
    TooLong,
    /// The datagram is no frame of this version.
    #[error("malformed")]
    Malformed,
    /// The keyed hash does not match.
    #[error("wrong_key")]
    WrongKey,
    /// The sender has the receiver's own id.
    #[error("own_instance")]
    OwnInstance,
    /// The sender has started anew since.
    #[error("older_run")]
    OlderRun,
    /// The frame has arrived before, or is older than the window in which
    /// duplicates are recognized.
    #[error("duplicate")]
    Duplicate,
    /// There are already [`PEERS_MAX`](crate::PEERS_MAX) peers.
    #[error("too_many_peers")]
    TooManyPeers,
}

impl<'a> Frame<'a> {
    /// Creates a frame whose other fields are 0.
    pub fn new(sender: &'a str, topic: u8, payload: &'a [u8]) -> Self {
        Self {
            version: VERSION,
            sender,
            run: 0,
            started_unix_ms: 0,
            strength: 0,
            topic,
            sequence: 0,
            payload,
        }
    }

    /// Encodes and authenticates the frame; `None` if it is too long.
    pub fn encode(&self, key: &Key) -> Option<Vec<u8>> {
        let mut bytes = postcard::to_allocvec(self).ok()?;
        let tag = blake3::keyed_hash(key, &bytes);
        bytes.extend_from_slice(&tag.as_bytes()[..TAG_BYTES]);
        (bytes.len() <= FRAME_MAX_BYTES).then_some(bytes)
    }

    /// Decodes a datagram. The tag is checked first, so that only the content of
    /// gateways is parsed.
    ///
    /// # Errors
    ///
    /// The reason to drop the datagram.
    pub fn decode(datagram: &'a [u8], key: &Key) -> Result<Self, DropCause> {
        if datagram.len() > FRAME_MAX_BYTES {
            return Err(DropCause::TooLong);
        }
        let split = datagram.len().checked_sub(TAG_BYTES);
        let (content, tag) = datagram.split_at(split.ok_or(DropCause::Malformed)?);
        let expected = blake3::keyed_hash(key, content);
        if !bool::from(expected.as_bytes()[..TAG_BYTES].ct_eq(tag)) {
            return Err(DropCause::WrongKey);
        }
        match postcard::from_bytes::<Self>(content) {
            Ok(frame) if frame.version == VERSION => Ok(frame),
            Ok(_) | Err(_) => Err(DropCause::Malformed),
        }
    }
}
