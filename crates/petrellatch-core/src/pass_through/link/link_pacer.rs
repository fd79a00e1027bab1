//! Paces datagrams to the speed of the link.

use std::time::Duration;

use crate::time::Timestamp;

/// Percentage of the link's speed that is used. Other traffic of the machine isn't counted, and
/// a link that gets more than it carries drops packets once its buffer is full.
const USED_PERCENT: u64 = 95;
/// Burst that may be sent after an idle time, as transmission time. Links buffer some 50 ms; a
/// timer is about a millisecond late, and a datagram of 1.3 KB takes 5 ms at 2 Mbit/s.
const BURST: Duration = Duration::from_millis(10);

/// A token bucket with one token per byte. A datagram may take more tokens than are left, and
/// the next one waits until the debt is paid.
#[derive(Debug)]
pub(crate) struct LinkPacer {
    bytes_per_second: f64,
    tokens: f64,
    refilled_at: Timestamp,
}

impl LinkPacer {
    /// Starts with a full bucket.
    pub(crate) fn new(now: Timestamp, link_bytes_per_second: u64) -> Self {
        let used = link_bytes_per_second * USED_PERCENT / 100;
        let bytes_per_second = used.max(1) as f64;
        LinkPacer {
            bytes_per_second,
            tokens: bytes_per_second * BURST.as_secs_f64(),
            refilled_at: now,
        }
    }

    /// Refills the bucket and returns whether a datagram may be sent.
    pub(crate) fn may_send(&mut self, now: Timestamp) -> bool {
        let elapsed = now.saturating_since(self.refilled_at).as_secs_f64();
        let capacity = self.bytes_per_second * BURST.as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.bytes_per_second).min(capacity);
        self.refilled_at = now;
        self.tokens > 0.0
    }

    /// Takes the tokens of a datagram that is sent.
    pub(crate) fn note_sent(&mut self, bytes: usize) {
        self.tokens -= bytes as f64;
    }

    /// When the next datagram may be sent, as of the last refill.
    pub(crate) fn next_send_at(&self) -> Timestamp {
        let refill_seconds = (-self.tokens).max(0.0) / self.bytes_per_second;
        // Rounded up, so that the bucket has tokens at that time.
        self.refilled_at + Duration::from_secs_f64(refill_seconds) + Duration::from_micros(1)
    }

    /// Transmission time of a number of bytes.
    pub(crate) fn transmission_time(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.bytes_per_second)
    }
}
