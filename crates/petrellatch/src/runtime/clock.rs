//! The monotonic clock of a process.

use std::time::{Duration, Instant};

use petrellatch_core::Timestamp;

/// Reads the system's monotonic clock as the time since the process started.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    origin: Instant,
}

impl ProcessClock {
    /// Starts a clock at [`Timestamp::ZERO`].
    pub fn start() -> Self {
        ProcessClock {
            origin: Instant::now(),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.origin.elapsed()
    }

    /// Returns how long to sleep until `deadline`, at most `limit`. A wait is
    /// rounded up, so that the deadline has passed when it ends.
    pub fn until(&self, deadline: Option<Timestamp>, limit: Duration) -> Duration {
        const ROUNDING: Duration = Duration::from_millis(1);
        let Some(deadline) = deadline else {
            return limit;
        };
        let wait = deadline.saturating_since(self.now());
        if wait.is_zero() {
            wait
        } else {
            (wait + ROUNDING).min(limit)
        }
    }
}
