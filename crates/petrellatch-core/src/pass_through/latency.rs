//! Latency histograms for metrics.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Longer times are recorded as this one.
const MAX_MILLIS: u64 = 60_000;
/// Significant digits of a recorded time; more would cost memory.
const DIGITS: u8 = 1;

/// A histogram of durations in milliseconds, which takes about a kilobyte of memory.
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
    /// Records one duration.
    pub fn record(&mut self, time: Duration) {
        let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        self.millis.saturating_record(millis);
        self.total += time;
    }

    /// Number of recorded durations.
    pub fn count(&self) -> u64 {
        self.millis.len()
    }

    /// Number of recorded durations of at most `limit`, which is accurate to about a tenth.
    pub fn count_up_to(&self, limit: Duration) -> u64 {
        let millis = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
        self.millis.count_between(0, millis.min(MAX_MILLIS))
    }

    /// Sum of all recorded durations.
    pub fn total(&self) -> Duration {
        self.total
    }
}
