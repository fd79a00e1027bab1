//! Changes that travel in parts.

use std::collections::BTreeMap;

use prost::Message;

/// Parts of one encoded message, as they arrive, in any order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reassembly {
    key: u64,
    parts: u32,
    received: BTreeMap<u32, Vec<u8>>,
}

/// The largest message, uncompressed, in bytes.
const MAX_MESSAGE_BYTES: u32 = 256 * 1024 * 1024;
/// Most parts that one message may have.
const MAX_PARTS: u32 = 4096;

impl Reassembly {
    /// Takes a part of the message that `key` names; parts of another message
    /// are given up. Returns the message once all parts are there.
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

    /// Takes a part of a compressed message, as [`Reassembly::add`]. A message
    /// that is damaged is dropped.
    pub fn add_compressed<M: Message + Default>(
        &mut self,
        key: u64,
        part: u32,
        parts: u32,
        bytes: Vec<u8>,
    ) -> Option<M> {
        let complete = match parts {
            // It does not interrupt a message of several parts.
            1 if part == 0 => bytes,
            _ => self.add(key, part, parts, bytes)?,
        };
        M::decode(decompress(&complete)?.as_slice()).ok()
    }

    /// Whether a message is under way.
    pub fn is_incomplete(&self) -> bool {
        !self.received.is_empty()
    }
}

/// Compresses an encoded message. Routes resemble each other, so a large
/// configuration shrinks to a tenth.
pub fn compress(bytes: &[u8]) -> Vec<u8> {
    lz4_flex::compress_prepend_size(bytes)
}

/// Takes back what [`compress`] did; `None` if the bytes are damaged.
pub fn decompress(bytes: &[u8]) -> Option<Vec<u8>> {
    let (size, _) = bytes.split_first_chunk()?;
    if u32::from_le_bytes(*size) > MAX_MESSAGE_BYTES {
        return None;
    }
    lz4_flex::decompress_size_prepended(bytes).ok()
}

/// Splits an encoded message into parts of at most `limit` bytes, at least one.
pub fn split(bytes: &[u8], limit: usize) -> Vec<&[u8]> {
    if bytes.is_empty() {
        return vec![bytes];
    }
    bytes.chunks(limit.max(1)).collect()
}
