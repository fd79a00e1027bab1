//! Compression of messages, and reassembly of messages that are split into parts.

use std::collections::BTreeMap;

use prost::Message;

/// Collects the parts of one encoded message, which may arrive in any order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reassembly {
    key: u64,
    parts: u32,
    received: BTreeMap<u32, Vec<u8>>,
}

/// Maximum size of an uncompressed message, in bytes.
const MAX_MESSAGE_BYTES: u32 = 256 * 1024 * 1024;
/// Maximum number of parts of one message.
const MAX_PARTS: u32 = 4096;

impl Reassembly {
    /// Adds a part of the message with this `key`, and discards the parts of any other
    /// message. Returns the message once it is complete.
    pub fn add(&mut self, key: u64, part: u32, parts: u32, bytes: Vec<u8>) -> Option<Vec<u8>> {
        if parts == 0 || parts > MAX_PARTS || part >= parts {
            return None;
        }
        if self.key != key || self.parts != parts {
            *self = Reassembly {
                key,
                parts,
                received: BTreeMap::new(),
            };
        }
        self.received.insert(part, bytes);
        if self.received.len() < parts as usize {
            return None;
        }
        let complete = std::mem::take(self);
        Some(complete.received.into_values().flatten().collect())
    }

    /// Adds a part of a compressed message, like [`Reassembly::add`], and decodes the
    /// complete message. A damaged message is dropped.
    pub fn add_compressed<M: Message + Default>(
        &mut self,
        key: u64,
        part: u32,
        parts: u32,
        bytes: Vec<u8>,
    ) -> Option<M> {
        let complete = match parts {
            // A message of one part doesn't interrupt the reassembly of another message.
            1 if part == 0 => bytes,
            _ => self.add(key, part, parts, bytes)?,
        };
        M::decode(decompress(&complete)?.as_slice()).ok()
    }

    /// Whether some parts of a message are there and others are missing.
    pub fn is_incomplete(&self) -> bool {
        !self.received.is_empty()
    }
}

/// Compresses an encoded message. As routes are similar to each other, a large
/// configuration shrinks to a tenth.
pub fn compress(bytes: &[u8]) -> Vec<u8> {
    lz4_flex::compress_prepend_size(bytes)
}

/// Reverses [`compress`]. Returns `None` if the bytes are damaged, or if the message
/// would be larger than 256 MiB.
pub fn decompress(bytes: &[u8]) -> Option<Vec<u8>> {
    let (size, _) = bytes.split_first_chunk()?;
    if u32::from_le_bytes(*size) > MAX_MESSAGE_BYTES {
        return None;
    }
    lz4_flex::decompress_size_prepended(bytes).ok()
}

/// Splits an encoded message into one or more parts of at most `limit` bytes.
pub fn split(bytes: &[u8], limit: usize) -> Vec<&[u8]> {
    if bytes.is_empty() {
        return vec![bytes];
    }
    bytes.chunks(limit.max(1)).collect()
}
