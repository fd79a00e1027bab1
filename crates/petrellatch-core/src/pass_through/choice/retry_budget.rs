//! The limit on further offers of new flows, after the first offer of each.
//!
//! The first offer is the cost of placing a flow. Further ones are made because an agent
//! declined or didn't reply; when many agents do so, these offers would fill the link,
//! which packets of established flows need.

use std::time::Duration;

use crate::time::Timestamp;

/// Percentage of the balancer's link that further offers with their replies may take:
/// most of the link is left to packets of established flows.
const LINK_PERCENT: u64 = 20;
/// Budget in bytes per second if the link's speed is not known: 1 % of 1 Gbit/s.
const DEFAULT_BYTES_PER_SECOND: u64 = 1_250_000;
/// The budget of this time may be spent at once after an idle period.
const BURST: Duration = Duration::from_millis(500);
/// Estimated bytes of an offer and its reply, with the headers of IP and UDP, but
/// without the SYN that the offer contains.
const OFFER_AND_REPLY_BYTES: usize = 200;

/// A token bucket; one token is one byte.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    bytes_per_second: f64,
    tokens: f64,
    refilled_at: Timestamp,
}

impl RetryBudget {
    /// Creates a full bucket.
    pub(crate) fn new(now: Timestamp, link_bytes_per_second: Option<u64>) -> Self {
        let budget = link_bytes_per_second.map(|bytes| bytes * LINK_PERCENT / 100);
        let bytes_per_second = budget.unwrap_or(DEFAULT_BYTES_PER_SECOND) as f64;
        RetryBudget {
            bytes_per_second,
            tokens: bytes_per_second * BURST.as_secs_f64(),
            refilled_at: now,
        }
    }

    /// Spends the tokens of an offer that contains a SYN of `syn_bytes`. Returns false,
    /// and spends nothing, if there are too few.
    pub(crate) fn try_spend(&mut self, now: Timestamp, syn_bytes: usize) -> bool {
        let elapsed = now.saturating_since(self.refilled_at).as_secs_f64();
        let max_tokens = self.bytes_per_second * BURST.as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.bytes_per_second).min(max_tokens);
        self.refilled_at = now;
        let cost = (OFFER_AND_REPLY_BYTES + syn_bytes) as f64;
        if self.tokens < cost {
            return false;
        }
        self.tokens -= cost;
        true
    }
}
