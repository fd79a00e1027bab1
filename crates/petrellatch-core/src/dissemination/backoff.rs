//! Delays between repetitions, with full jitter.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Counts failed attempts and draws the delay before the next one uniformly
/// from zero to a bound that doubles with every attempt.
#[derive(Clone, Debug)]
pub(super) struct Backoff {
    base: Duration,
    limit: Duration,
    attempts: u32,
}

impl Backoff {
    /// Makes a backoff whose bound starts at `base` and ends at `limit`.
    pub(super) fn new(base: Duration, limit: Duration) -> Self {
        Backoff {
            base,
            limit,
            attempts: 0,
        }
    }

    /// Forgets the failed attempts.
    pub(super) fn reset(&mut self) {
        self.attempts = 0;
    }

    /// Draws the delay before the next attempt. At least a quarter of `base`
    /// passes, so that one answer is never overtaken by a second request.
    pub(super) fn next_delay(&mut self, random: &mut ChaCha8Rng) -> Duration {
        const MOST_DOUBLINGS: u32 = 16;
        let doubled = self.base * 2_u32.pow(self.attempts.min(MOST_DOUBLINGS));
        self.attempts = self.attempts.saturating_add(1);
        jitter(random, doubled.min(self.limit)).max(self.base / 4)
    }
}

/// Draws a delay uniformly from zero to `bound`.
pub(super) fn jitter(random: &mut ChaCha8Rng, bound: Duration) -> Duration {
    let micros = u64::try_from(bound.as_micros()).unwrap_or(u64::MAX);
    Duration::from_micros(random.random_range(0..=micros))
}
