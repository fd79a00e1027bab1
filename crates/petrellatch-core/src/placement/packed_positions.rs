//! A compact list of small numbers.

/// The number of bits of a word.
const WORD_BITS: usize = u64::BITS as usize;

/// A list of positions, all stored with the same number of bits. That number is
/// a power of two, so that no position spans two words.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PackedPositions {
    /// The number of positions.
    count: usize,
    /// The number of bits of each position.
    bits: usize,
    words: Box<[u64]>,
}

impl PackedPositions {
    /// Packs the positions with as few bits as the largest one needs, rounded up
    /// to a power of two.
    pub(super) fn new(positions: &[u16]) -> Self {
        let largest = positions.iter().copied().max().unwrap_or(0);
        let needed = u16::BITS - largest.leading_zeros();
        let bits = needed.max(1).next_power_of_two() as usize;
        let mut words = vec![0; (positions.len() * bits).div_ceil(WORD_BITS)];
        for (index, position) in positions.iter().enumerate() {
            let bit = index * bits;
            words[bit / WORD_BITS] |= u64::from(*position) << (bit % WORD_BITS);
        }
        PackedPositions {
            count: positions.len(),
            bits,
            words: words.into(),
        }
    }

    /// Returns the position at `index`, or `None` beyond the end of the list.
    pub(super) fn get(&self, index: usize) -> Option<u16> {
        if index >= self.count {
            return None;
        }
        let bit = index * self.bits;
        let mask = (1_u64 << self.bits) - 1;
        let position = (self.words[bit / WORD_BITS] >> (bit % WORD_BITS)) & mask;
        u16::try_from(position).ok()
    }

    /// Returns the size of the heap allocation in bytes.
    pub(super) fn heap_bytes(&self) -> usize {
        size_of_val(&*self.words)
    }
}
