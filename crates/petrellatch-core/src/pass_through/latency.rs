//! Distributions of times, for metrics.

use std::time::Duration;

use hdrhistogram::Histogram;

/// The longest time that is told apart from longer ones.
const MAX_MILLIS: u64 = 60_000;
/// Digits of a time that are kept; more would cost memory.
const DIGITS: u8 = 1;

/// How often something took how long, in about a kilobyte.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    millis: Histogram<u32>,
    total: Duration,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        LatencyHistogram {
            millis: Histogram::new_with_max(MAX_MILLIS, DIGITS).expect("the bounds are valid"),
            total: Duration::ZERO,
        }
    }
}

impl LatencyHistogram {
    /// Notes one time.
    pub fn record(&mut self, time: Duration) {
        let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        self.millis.saturating_record(millis);
        self.total += time;
    }

    /// How many times were noted.
    pub fn count(&self) -> u64 {
        self.millis.len()
    }

    /// How many of them were at most `limit`, to about a tenth of it.
    pub fn count_up_to(&self, limit: Duration) -> u64 {
        let millis = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
        self.millis.count_between(0, millis.min(MAX_MILLIS))
    }

    /// The sum of all times.
    pub fn total(&self) -> Duration {
        self.total
    }
}
