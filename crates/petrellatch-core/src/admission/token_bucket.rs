//! The limit of new flows a second.

use crate::Timestamp;

/// Micro-tokens of one flow.
const FLOW: u64 = 1_000_000;

/// Lets through a number of flows a second, with bursts of up to one second's
/// worth.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    flows_per_second: u64,
    micro_tokens: u64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// Makes a full bucket. Zero flows a second stands for no limit.
    pub fn new(now: Timestamp, flows_per_second: u32) -> Self {
        let flows_per_second = u64::from(flows_per_second);
        TokenBucket {
            flows_per_second,
            micro_tokens: flows_per_second * FLOW,
            refilled_at: now,
        }
    }

    /// Changes the limit and keeps what is in the bucket.
    pub fn set_limit(&mut self, flows_per_second: u32) {
        let flows_per_second = u64::from(flows_per_second);
        if self.flows_per_second == 0 {
            self.micro_tokens = flows_per_second * FLOW;
        }
        self.flows_per_second = flows_per_second;
        self.micro_tokens = self.micro_tokens.min(flows_per_second * FLOW);
    }

    /// Returns whether one more flow may come now.
    pub fn has_token(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        self.flows_per_second == 0 || self.micro_tokens >= FLOW
    }

    /// Takes the token of one flow.
    pub fn take(&mut self, now: Timestamp) {
        self.refill(now);
        self.micro_tokens = self.micro_tokens.saturating_sub(FLOW);
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.saturating_since(self.refilled_at).as_micros();
        let micros = u64::try_from(elapsed).unwrap_or(u64::MAX);
        let refill = micros.saturating_mul(self.flows_per_second);
        let full = self.flows_per_second * FLOW;
        self.micro_tokens = self.micro_tokens.saturating_add(refill).min(full);
        self.refilled_at = self.refilled_at.max(now);
    }
}
