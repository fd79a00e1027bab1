//! Independent streams of random numbers, all from one seed.

use std::hash::Hasher;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use siphasher::sip::SipHasher13;

/// The generator of every stream.
pub type Random = ChaCha8Rng;

/// Returns the stream of `name`. Streams of one seed are independent, so that
/// a change in what one part of a run draws does not disturb the others.
pub fn stream(seed: u64, name: &str) -> Random {
    let mut hasher = SipHasher13::new_with_keys(0, 0);
    hasher.write(name.as_bytes());
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(hasher.finish());
    random
}

/// Draws a number that is not zero, for incarnations and seeds.
pub fn nonzero(random: &mut Random) -> u64 {
    random.next_u64().max(1)
}
