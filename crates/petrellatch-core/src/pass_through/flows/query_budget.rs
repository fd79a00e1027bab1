//! Rate limit of a balancer's flow queries.

use std::time::Duration;

use crate::time::Timestamp;

/// Part of a balancer's link that queries may use, in percent. After a power loss all
/// callers retransmit packets of flows that no back end owns any more, while the link is
/// needed for new flows: at 2.1 Mbit/s with 163 agents, queries took half of the link and
/// delayed new flows by two seconds.
const LINK_PERCENT: u64 = 10;
/// Limit of queries in bytes per second, whatever the link, since agents have to reply. It
/// corresponds to 1,000 queries to one agent each.
const MAX_BYTES_PER_SECOND: u64 = 76_000;
/// Capacity of the bucket, as the time in which it fills.
const BURST: Duration = Duration::from_millis(500);

/// Token bucket; one token is one byte of a query.
#[derive(Debug)]
pub(crate) struct QueryBudget {
    bytes_per_second: u64,
    tokens: u64,
    refilled_at: Timestamp,
}

impl QueryBudget {
    /// Creates a full bucket. `link_bytes_per_second` is `None` if the link has no limit.
    pub(crate) fn new(now: Timestamp, link_bytes_per_second: Option<u64>) -> Self {
        let limit = link_bytes_per_second.map(|bytes| bytes / 100 * LINK_PERCENT);
        let bytes_per_second =
            limit.map_or(MAX_BYTES_PER_SECOND, |it| it.clamp(1, MAX_BYTES_PER_SECOND));
        QueryBudget {
            bytes_per_second,
            tokens: tokens_of(bytes_per_second, BURST),
            refilled_at: now,
        }
    }

    /// Spends one token for each of `bytes`. Returns false if there are too few. A query larger
    /// than the bucket takes a full bucket.
    pub(crate) fn try_spend(&mut self, now: Timestamp, bytes: usize) -> bool {
        self.refill(now);
        let burst = tokens_of(self.bytes_per_second, BURST);
        let tokens = (bytes as u64).min(burst);
        if tokens > self.tokens {
            return false;
        }
        self.tokens -= tokens;
        true
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.saturating_since(self.refilled_at);
        let elapsed = Duration::from_millis(elapsed.as_millis() as u64);
        let tokens = tokens_of(self.bytes_per_second, elapsed);
        if tokens > 0 {
            let burst = tokens_of(self.bytes_per_second, BURST);
            self.tokens = (self.tokens + tokens).min(burst);
            self.refilled_at = self.refilled_at + elapsed;
        }
    }
}

fn tokens_of(bytes_per_second: u64, time: Duration) -> u64 {
    bytes_per_second.saturating_mul(time.as_millis() as u64) / 1_000
}
