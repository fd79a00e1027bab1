//! Backoff between retries of a request.

use std::time::Duration;

use rand::RngExt;

/// Upper bound of the first random wait.
const INITIAL_MAX_WAIT: Duration = Duration::from_millis(50);
/// Largest upper bound of a random wait.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Exponential backoff with full jitter and a budget of retries.
#[derive(Clone, Debug)]
pub struct Backoff {
    max_wait: Duration,
    retries_left: u32,
}

impl Backoff {
    /// Creates a backoff with this number of retries.
    pub fn new(retries: u32) -> Self {
        Backoff {
            max_wait: INITIAL_MAX_WAIT,
            retries_left: retries,
        }
    }

    /// Spends one retry and returns the wait before it, or `None` if the budget
    /// is spent. The wait is at least `min_wait`, which the server requests.
    pub fn next_wait(&mut self, min_wait: Duration) -> Option<Duration> {
        self.retries_left = self.retries_left.checked_sub(1)?;
        let wait = rand::rng().random_range(Duration::ZERO..=self.max_wait);
        self.max_wait = (self.max_wait * 2).min(MAX_WAIT);
        Some(wait.max(min_wait))
    }
}
