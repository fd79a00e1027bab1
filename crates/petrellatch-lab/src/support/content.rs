//! Answer contents that the caller can compute for itself and so check byte by
//! byte.

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
const BYTES_PER_WORD: u64 = 8;

/// Hashes bytes with 64-bit FNV-1a. It detects damage and mix-ups; it is no
/// protection against forgery.
pub fn checksum(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(FNV_OFFSET_BASIS, |hash, byte| extend_checksum(hash, *byte))
}

fn extend_checksum(hash: u64, byte: u8) -> u64 {
    (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
}

/// Mixes a word (the finalizer of SplitMix64).
fn mix(word: u64) -> u64 {
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

/// Returns the value that a lookup of this request identifier answers.
pub fn lookup_value(service: &str, request_id: &str) -> u64 {
    mix(checksum(service.as_bytes()) ^ checksum(request_id.as_bytes()).rotate_left(1))
}

/// The bytes of one download, determined by service and request identifier.
#[derive(Clone, Copy, Debug)]
pub struct DownloadContent {
    seed: u64,
}

impl DownloadContent {
    /// Describes the download that this service gives for this request.
    pub fn new(service: &str, request_id: &str) -> DownloadContent {
        DownloadContent {
            seed: lookup_value(service, request_id),
        }
    }

    /// Returns the byte at this offset.
    pub fn byte_at(&self, offset: u64) -> u8 {
        let word = mix(self.seed.wrapping_add(offset / BYTES_PER_WORD));
        word.to_le_bytes()[(offset % BYTES_PER_WORD) as usize]
    }

    /// Fills `buffer` with the bytes that begin at `offset`.
    pub fn fill(&self, offset: u64, buffer: &mut [u8]) {
        for (position, byte) in (offset..).zip(buffer.iter_mut()) {
            *byte = self.byte_at(position);
        }
    }

    /// Tells whether `bytes` are the ones that begin at `offset`.
    pub fn matches(&self, offset: u64, bytes: &[u8]) -> bool {
        (offset..)
            .zip(bytes)
            .all(|(position, byte)| self.byte_at(position) == *byte)
    }
}
