//! Weighted rendezvous costs in fixed-point arithmetic.
//!
//! Each pair of bucket and back end has a pseudo-random cost that is
//! distributed exponentially with a rate proportional to the back end's
//! weight. The back end with the lowest cost then wins a bucket with a
//! probability proportional to its weight (weighted rendezvous hashing). The
//! logarithm is taken from a table of integers, because the results of
//! floating-point logarithms differ between platforms.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::identity::{BackendId, BucketIndex, ServiceId};

/// The hash key. It is the same on all machines, since all must compute the
/// same costs.
const HASH_KEY: (u64, u64) = (0x7065_7472_656c_6c61, 0x7463_685f_7461_626c);

/// The number of fractional bits of logarithms.
const LOG_FRACTION_BITS: u32 = 32;

/// The number of bits of the mantissa that select an entry of [`LOG2_TABLE`].
const TABLE_BITS: u32 = 8;

/// The number of steps into which [`LOG2_TABLE`] divides the interval from 1
/// to 2.
const TABLE_STEPS: usize = 1 << TABLE_BITS;

/// The left shift of a logarithm before it is divided by the weight. The
/// largest logarithm is 64 and takes 39 bits, so a shift by 24 bits fits into
/// 64 bits.
const COST_SHIFT: u32 = 24;

/// The base-2 logarithms of 1, 1 + 1/256, ..., 2.
static LOG2_TABLE: [u64; TABLE_STEPS + 1] = build_log2_table();

/// A pseudo-random number for a pair of service and back end, from which the
/// costs of all its buckets are derived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendSeed(u64);

impl BackendSeed {
    /// Derives the seed of a back end within a service.
    pub fn new(service: ServiceId, backend: BackendId) -> Self {
        let mut hasher = SipHasher13::new_with_keys(HASH_KEY.0, HASH_KEY.1);
        hasher.write(&service.0.to_be_bytes());
        hasher.write(&backend.0.to_be_bytes());
        BackendSeed(hasher.finish())
    }

    /// Returns the seed as a number. Sorting by it orders back ends
    /// independently of their identifiers.
    pub fn value(self) -> u64 {
        self.0
    }

    /// Returns the cost of assigning `bucket` to this back end; the lowest cost
    /// wins. A weight of zero has the highest cost.
    pub fn cost(self, bucket: BucketIndex, weight: u32) -> u64 {
        if weight == 0 {
            return u64::MAX;
        }
        let random = mix(self.0, bucket);
        (negative_log2(random) << COST_SHIFT) / u64::from(weight)
    }
}

/// Mixes a seed and a bucket into 64 uniformly distributed bits. This is the
/// finalizer of SplitMix64 (Steele et al. 2014), which is far cheaper than a
/// keyed hash of each pair.
fn mix(seed: u64, bucket: BucketIndex) -> u64 {
    const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
    let step = (u64::from(bucket.0) + 1).wrapping_mul(GOLDEN_RATIO);
    let mut mixed = seed.wrapping_add(step);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns `-log2(random / 2^64)` with [`LOG_FRACTION_BITS`] fractional bits,
/// interpolated linearly between the entries of the table.
fn negative_log2(random: u64) -> u64 {
    let random = random.max(1);
    let leading_zeros = random.leading_zeros();
    // Shifting out the leading one leaves the mantissa minus 1.
    let mantissa = (random << leading_zeros) << 1;
    let entry = (mantissa >> (64 - TABLE_BITS)) as usize;
    let interpolation = (mantissa << TABLE_BITS) >> 32;
    let low = LOG2_TABLE[entry];
    let high = LOG2_TABLE[entry + 1];
    let fraction = low + (((high - low) * interpolation) >> 32);
    let integer_part = u64::from(leading_zeros + 1) << LOG_FRACTION_BITS;
    integer_part - fraction
}

/// Computes [`LOG2_TABLE`] at compile time.
const fn build_log2_table() -> [u64; TABLE_STEPS + 1] {
    let mut table = [0; TABLE_STEPS + 1];
    let mut entry = 0;
    while entry < TABLE_STEPS {
        table[entry] = log2_of_mantissa(entry as u128);
        entry += 1;
    }
    table[TABLE_STEPS] = 1 << LOG_FRACTION_BITS;
    table
}

/// Computes `log2(1 + entry / TABLE_STEPS)` bit by bit: squaring a number
/// doubles its logarithm, and the next bit is one if the square is at least 2.
const fn log2_of_mantissa(entry: u128) -> u64 {
    const ONE_BIT: u32 = 62;
    let mut number = (TABLE_STEPS as u128 + entry) << (ONE_BIT - TABLE_BITS);
    let mut logarithm = 0;
    let mut bit = 0;
    while bit < LOG_FRACTION_BITS {
        number = (number * number) >> ONE_BIT;
        logarithm <<= 1;
        if number >= 2 << ONE_BIT {
            number >>= 1;
            logarithm |= 1;
        }
        bit += 1;
    }
    logarithm
}
