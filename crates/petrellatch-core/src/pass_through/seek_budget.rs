//! How many questions for unknown flows a balancer may ask.

use std::time::Duration;

use crate::time::Timestamp;

/// Questions a second. After a loss of power all callers repeat packets of
/// flows that nobody has any more; their number must not fill the links.
const QUESTIONS_PER_SECOND: u64 = 1_000;
/// Questions that may be asked at once.
const BURST: u64 = 1_000;

/// A token bucket; one token is one question to one agent.
#[derive(Debug)]
pub(super) struct SeekBudget {
    tokens: u64,
    refilled_at: Timestamp,
}

impl SeekBudget {
    pub(super) fn new(now: Timestamp) -> Self {
        SeekBudget {
            tokens: BURST,
            refilled_at: now,
        }
    }

    /// Takes `questions` tokens, if there are so many.
    pub(super) fn take(&mut self, now: Timestamp, questions: usize) -> bool {
        self.refill(now);
        let questions = questions as u64;
        if questions > self.tokens {
            return false;
        }
        self.tokens -= questions;
        true
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.saturating_since(self.refilled_at);
        let tokens = elapsed.as_millis() as u64 * QUESTIONS_PER_SECOND / 1_000;
        if tokens > 0 {
            self.tokens = (self.tokens + tokens).min(BURST);
            self.refilled_at = self.refilled_at + Duration::from_millis(elapsed.as_millis() as u64);
        }
    }
}
