//! A token bucket that spreads pushes over time.

use std::time::Duration;

use crate::time::Timestamp;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Allows a number of bytes per second. A message may be sent as soon as the
/// bucket is not in debt; its whole size is then taken from the bucket.
#[derive(Clone, Debug)]
pub(super) struct Pacer {
    bytes_per_second: u64,
    burst_bytes: u64,
    /// Time at which the bucket would be just empty.
    empty_at: Timestamp,
}

impl Pacer {
    /// Makes a full bucket.
    pub(super) fn new(bytes_per_second: u64, burst_bytes: u64) -> Self {
        Pacer {
            bytes_per_second: bytes_per_second.max(1),
            burst_bytes,
            empty_at: Timestamp::ZERO,
        }
    }

    /// Whether a message may be sent now.
    pub(super) fn is_ready(&self, now: Timestamp) -> bool {
        self.empty_at <= now
    }

    /// From when on a message may be sent.
    pub(super) fn ready_at(&self) -> Timestamp {
        self.empty_at
    }

    /// Takes the size of a message that is sent.
    pub(super) fn take(&mut self, now: Timestamp, bytes: usize) {
        let fullest = now - self.time_for(self.burst_bytes);
        let start = self.empty_at.max(fullest);
        self.empty_at = start + self.time_for(bytes as u64);
    }

    fn time_for(&self, bytes: u64) -> Duration {
        let micros = bytes.saturating_mul(MICROS_PER_SECOND) / self.bytes_per_second;
        Duration::from_micros(micros)
    }
}
