//! How long a back end takes for one request.

use std::time::Duration;

/// Assumed until something was measured.
const INITIAL: Duration = Duration::from_millis(100);

/// The share of the newest measurement in the average is one in so many.
const SMOOTHING: u32 = 8;

/// An exponentially smoothed average of measured service times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceTime {
    average: Option<Duration>,
}

impl ServiceTime {
    /// Starts without a measurement.
    pub fn new() -> Self {
        ServiceTime { average: None }
    }

    /// Takes a measurement.
    pub fn record(&mut self, measured: Duration) {
        self.average = Some(match self.average {
            None => measured,
            Some(average) => (average * (SMOOTHING - 1) + measured) / SMOOTHING,
        });
    }

    /// Returns the average, or a guess before the first measurement.
    pub fn estimate(&self) -> Duration {
        self.average.unwrap_or(INITIAL)
    }

    /// Returns how long a new request would wait for a slot when `busy` are in
    /// progress on `slots`. Zero slots stand for no limit.
    pub fn expected_wait(&self, busy: u32, slots: u32) -> Duration {
        if slots == 0 || busy < slots {
            return Duration::ZERO;
        }
        let ahead = busy - slots + 1;
        self.estimate().saturating_mul(ahead) / slots
    }
}

impl Default for ServiceTime {
    fn default() -> Self {
        ServiceTime::new()
    }
}
