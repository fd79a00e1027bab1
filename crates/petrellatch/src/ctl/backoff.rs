//! How long to wait before a request is sent again.

use std::time::Duration;

use rand::RngExt;

/// The first wait is drawn from zero to this.
const INITIAL_LIMIT: Duration = Duration::from_millis(50);
/// No wait is drawn from more than this.
const MAX_LIMIT: Duration = Duration::from_secs(2);

/// Exponential backoff with full jitter and a budget of retries.
#[derive(Clone, Debug)]
pub struct Backoff {
    limit: Duration,
    retries_left: u32,
}

impl Backoff {
    /// Makes a backoff that allows so many retries.
    pub fn new(retries: u32) -> Self {
        Backoff {
            limit: INITIAL_LIMIT,
            retries_left: retries,
        }
    }

    /// Takes one retry and returns the wait before it, or nothing when the
    /// budget is spent. The server's wish is a lower bound.
    pub fn next_wait(&mut self, min_wait: Duration) -> Option<Duration> {
        self.retries_left = self.retries_left.checked_sub(1)?;
        let wait = rand::rng().random_range(Duration::ZERO..=self.limit);
        self.limit = (self.limit * 2).min(MAX_LIMIT);
        Some(wait.max(min_wait))
    }
}
