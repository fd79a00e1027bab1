//! How many questions for unknown flows a balancer may ask.

use std::time::Duration;

use crate::time::Timestamp;

/// The part of a balancer's link, in percent, that questions may take. After a
/// loss of power all callers repeat packets of flows that nobody has any more,
/// while the link is needed to open others: at 2.1 Mbit/s, with 163 agents, half
/// of the link went into questions and new flows were held up for two seconds.
const LINK_PERCENT: u64 = 10;
/// Most bytes of questions a second, whatever the link: agents have to answer.
/// It is what 1,000 questions to one agent each take.
const MAX_BYTES_PER_SECOND: u64 = 76_000;
/// Questions of so long may be asked at once after a rest.
const BURST: Duration = Duration::from_millis(500);

/// A token bucket; one token is one byte of a question.
#[derive(Debug)]
pub(crate) struct QueryBudget {
    bytes_per_second: u64,
    tokens: u64,
    refilled_at: Timestamp,
}

impl QueryBudget {
    /// Starts with the tokens of a rest. The link's speed is in bytes a second.
    pub(crate) fn new(now: Timestamp, link_bytes_per_second: Option<u64>) -> Self {
        let share = link_bytes_per_second.map(|bytes| bytes / 100 * LINK_PERCENT);
        let bytes_per_second =
            share.map_or(MAX_BYTES_PER_SECOND, |it| it.clamp(1, MAX_BYTES_PER_SECOND));
        QueryBudget {
            bytes_per_second,
            tokens: tokens_of(bytes_per_second, BURST),
            refilled_at: now,
        }
    }

    /// Takes a token for each of `bytes`, if there are so many. A question that
    /// is larger than all tokens of a rest takes these.
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
