//! How many agents a balancer may ask for new flows beyond the first one of each.
//!
//! The first question is what placing a flow costs. Further ones are asked on the word
//! that others are full or silent, and when many are, they fill the link that packets of
//! open flows need.

use std::time::Duration;

use crate::time::Timestamp;

/// The part of the balancer's link, in percent, that further questions with their
/// answers may take: most of the link stays with packets of open flows. Chosen, not
/// measured.
const LINK_PERCENT: u64 = 20;
/// Bytes a second if the link is not known: 1 % of 1 Gbit/s.
const DEFAULT_BYTES_PER_SECOND: u64 = 1_250_000;
/// Questions of so long may be asked at once after a rest.
const BURST: Duration = Duration::from_millis(500);
/// Bytes of a question and its answer without the packet that the question carries,
/// with the heads of IP and UDP; an estimate.
const OFFER_AND_REPLY_BYTES: usize = 200;

/// A token bucket; one token is one byte.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    bytes_per_second: f64,
    tokens: f64,
    refilled_at: Timestamp,
}

impl RetryBudget {
    /// Starts with the tokens of a rest. The link's speed is in bytes a second.
    pub(crate) fn new(now: Timestamp, link_bytes_per_second: Option<u64>) -> Self {
        let budget = link_bytes_per_second.map(|bytes| bytes * LINK_PERCENT / 100);
        let bytes_per_second = budget.unwrap_or(DEFAULT_BYTES_PER_SECOND) as f64;
        RetryBudget {
            bytes_per_second,
            tokens: bytes_per_second * BURST.as_secs_f64(),
            refilled_at: now,
        }
    }

    /// Pays a question that carries a packet of so many bytes. Returns whether there
    /// was enough for it.
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
