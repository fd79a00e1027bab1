//! Authentication of datagrams with a key that all processes share.

use std::hash::Hasher;

use prost::Message;
use siphasher::sip128::{Hasher128, SipHasher24};
use snafu::Snafu;

/// Size of the authentication tag at the start of every datagram, in bytes.
pub const TAG_BYTES: usize = 16;

/// Size of the cluster key, in bytes.
pub const KEY_BYTES: usize = 16;

/// Reason why a datagram was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum OpenError {
    /// The datagram is shorter than the authentication tag.
    #[snafu(display("the datagram is shorter than its authentication tag"))]
    TooShort,
    /// The tag doesn't match: it was computed with another key, or the datagram
    /// was altered in transit.
    #[snafu(display("the authentication tag doesn't match the datagram and the cluster key"))]
    InvalidTag,
    /// The content doesn't decode as the expected message type.
    #[snafu(display("the datagram doesn't decode as the expected message type"))]
    Malformed,
}

/// The key that all processes of one cluster share.
#[derive(Clone)]
pub struct ClusterKey {
    key: [u8; KEY_BYTES],
}

impl ClusterKey {
    /// Creates a key from its bytes.
    pub fn new(key: [u8; KEY_BYTES]) -> Self {
        ClusterKey { key }
    }

    /// Encodes `message` into `buffer`, with its authentication tag in front.
    /// The buffer is cleared first, so that callers can reuse it.
    pub fn seal(&self, message: &impl Message, buffer: &mut Vec<u8>) {
        buffer.clear();
        buffer.resize(TAG_BYTES, 0);
        message
            .encode(buffer)
            .expect("encoding into a vector doesn't run out of space");
        let tag = self.tag(&buffer[TAG_BYTES..]);
        buffer[..TAG_BYTES].copy_from_slice(&tag);
    }

    /// Checks the authentication tag of `datagram` and decodes the message.
    pub fn open<M: Message + Default>(&self, datagram: &[u8]) -> Result<M, OpenError> {
        let (tag, content) = datagram
            .split_at_checked(TAG_BYTES)
            .ok_or(OpenError::TooShort)?;
        if self.tag(content) != tag {
            return Err(OpenError::InvalidTag);
        }
        M::decode(content).map_err(|_| OpenError::Malformed)
    }

    fn tag(&self, content: &[u8]) -> [u8; TAG_BYTES] {
        let mut hasher = SipHasher24::new_with_key(&self.key);
        hasher.write(content);
        hasher.finish128().as_bytes()
    }
}
