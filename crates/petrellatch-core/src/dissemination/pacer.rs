//! A token bucket that spreads work over time.

use std::time::Duration;

use crate::time::Timestamp;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Allows a number of units (such as bytes) per second. Work may be done as
/// soon as the bucket is not in debt; its whole size is then taken.
#[derive(Clone, Debug)]
pub(crate) struct Pacer {
    units_per_second: u64,
    burst_units: u64,
    /// Time at which the bucket would be just empty.
    empty_at: Timestamp,
}

impl Pacer {
    /// Makes a full bucket.
    pub(crate) fn new(units_per_second: u64, burst_units: u64) -> Self {
        Pacer {
            units_per_second: units_per_second.max(1),
            burst_units,
            empty_at: Timestamp::ZERO,
        }
    }

    /// Whether work may be done now.
    pub(crate) fn is_ready(&self, now: Timestamp) -> bool {
        self.empty_at <= now
    }

    /// From when on work may be done.
    pub(crate) fn ready_at(&self) -> Timestamp {
        self.empty_at
    }

    /// Takes the size of work that is done.
    pub(crate) fn take(&mut self, now: Timestamp, units: usize) {
        let fullest = now - self.time_for(self.burst_units);
        let start = self.empty_at.max(fullest);
        self.empty_at = start + self.time_for(units as u64);
    }

    fn time_for(&self, units: u64) -> Duration {
        let micros = units.saturating_mul(MICROS_PER_SECOND) / self.units_per_second;
        Duration::from_micros(micros)
    }
}
