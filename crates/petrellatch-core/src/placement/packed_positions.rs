//! Small numbers in as few bits as the largest needs.

/// Bits of one word.
const WORD_BITS: usize = u64::BITS as usize;

/// Positions in a list, packed. The bits of each are a power of two, so that
/// none reaches over two words.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PackedPositions {
    count: usize,
    bits: usize,
    words: Box<[u64]>,
}

impl PackedPositions {
    /// Packs the positions.
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

    /// Returns the position at `index`.
    pub(super) fn get(&self, index: usize) -> Option<u16> {
        if index >= self.count {
            return None;
        }
        let bit = index * self.bits;
        let mask = (1_u64 << self.bits) - 1;
        let position = (self.words[bit / WORD_BITS] >> (bit % WORD_BITS)) & mask;
        u16::try_from(position).ok()
    }

    /// Returns the bytes on the heap.
    pub(super) fn heap_bytes(&self) -> usize {
        size_of_val(&*self.words)
    }
}
