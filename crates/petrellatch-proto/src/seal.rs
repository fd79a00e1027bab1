//! Authentication of datagrams by a key that all processes share.

use std::hash::Hasher;

use prost::Message;
use siphasher::sip128::{Hasher128, SipHasher24};
use snafu::Snafu;

/// Bytes of the authentication tag in front of every datagram.
pub const TAG_BYTES: usize = 16;

/// Bytes of the cluster key.
pub const KEY_BYTES: usize = 16;

/// Why a datagram was not opened.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum OpenError {
    /// It is shorter than the authentication tag.
    #[snafu(display("the datagram is shorter than its authentication tag"))]
    TooShort,
    /// Its tag was made with another key, or it was changed on the way.
    #[snafu(display("the datagram was not sealed with the cluster key"))]
    Foreign,
    /// Its content is not the expected message.
    #[snafu(display("the datagram does not hold the expected message"))]
    Malformed,
}

/// The key that all processes of one cluster share.
#[derive(Clone)]
pub struct ClusterKey {
    key: [u8; KEY_BYTES],
}

impl ClusterKey {
    /// Makes a key from its bytes.
    pub fn new(key: [u8; KEY_BYTES]) -> Self {
        ClusterKey { key }
    }

    /// Encodes `message` and puts its authentication tag in front. The buffer
    /// is cleared first, so that one buffer serves many datagrams.
    pub fn seal(&self, message: &impl Message, buffer: &mut Vec<u8>) {
        buffer.clear();
        buffer.resize(TAG_BYTES, 0);
        message
            .encode(buffer)
            .expect("a vector grows as far as encoding needs");
        let tag = self.tag(&buffer[TAG_BYTES..]);
        buffer[..TAG_BYTES].copy_from_slice(&tag);
    }

    /// Checks the authentication tag of `datagram` and decodes the message.
    pub fn open<M: Message + Default>(&self, datagram: &[u8]) -> Result<M, OpenError> {
        let (tag, content) = datagram
            .split_at_checked(TAG_BYTES)
            .ok_or(OpenError::TooShort)?;
        if self.tag(content) != tag {
            return Err(OpenError::Foreign);
        }
        M::decode(content).map_err(|_| OpenError::Malformed)
    }

    fn tag(&self, content: &[u8]) -> [u8; TAG_BYTES] {
        let mut hasher = SipHasher24::new_with_key(&self.key);
        hasher.write(content);
        hasher.finish128().as_bytes()
    }
}
