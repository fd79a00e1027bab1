//! When the next datagram may go out.

use std::time::Duration;

use crate::time::Timestamp;

/// The part of the link's speed, in percent, that is used. What comes over the machine's link
/// besides is not counted, and a link that gets more than it carries drops packets once its
/// buffer is full.
const USED_PERCENT: u64 = 95;
/// What a rest lets go out at once, as a time of the link. Links are seen to hold some 50 ms;
/// a timer is about a millisecond late, and a datagram of 1.3 KB takes 5 ms at 2 Mbit/s.
const BURST: Duration = Duration::from_millis(10);

/// A token bucket; one token is one byte. The last datagram may be larger than what is left,
/// and the next one waits for both.
#[derive(Debug)]
pub(crate) struct LinkPacer {
    bytes_per_second: f64,
    tokens: f64,
    refilled_at: Timestamp,
}

impl LinkPacer {
    /// Starts with the tokens of a rest.
    pub(crate) fn new(now: Timestamp, link_bytes_per_second: u64) -> Self {
        let used = link_bytes_per_second * USED_PERCENT / 100;
        let bytes_per_second = used.max(1) as f64;
        LinkPacer {
            bytes_per_second,
            tokens: bytes_per_second * BURST.as_secs_f64(),
            refilled_at: now,
        }
    }

    /// Whether a datagram may go out.
    pub(crate) fn is_free(&mut self, now: Timestamp) -> bool {
        let elapsed = now.saturating_since(self.refilled_at).as_secs_f64();
        let most = self.bytes_per_second * BURST.as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.bytes_per_second).min(most);
        self.refilled_at = now;
        self.tokens > 0.0
    }

    /// Notes a datagram that goes out.
    pub(crate) fn note_sent(&mut self, bytes: usize) {
        self.tokens -= bytes as f64;
    }

    /// When the next datagram may go out, as of the latest question.
    pub(crate) fn free_at(&self) -> Timestamp {
        let lacking = (-self.tokens).max(0.0) / self.bytes_per_second;
        // Rounded up, so that it is free then.
        self.refilled_at + Duration::from_secs_f64(lacking) + Duration::from_micros(1)
    }

    /// How long the link takes for so many bytes.
    pub(crate) fn time_for(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.bytes_per_second)
    }
}
