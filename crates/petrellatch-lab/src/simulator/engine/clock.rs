//! Virtual time, and the clocks of processes as they drift from it.

use std::fmt;
use std::ops::Add;
use std::time::Duration;

use petrellatch_core::Timestamp;

const PARTS_PER_MILLION: i128 = 1_000_000;

/// A point in simulated time, in microseconds since the start of the run. No
/// process can see it; each has a [`ProcessClock`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VirtualTime(u64);

impl VirtualTime {
    /// The start of the run.
    pub const ZERO: VirtualTime = VirtualTime(0);

    /// Makes a point from microseconds since the start.
    pub const fn from_micros(micros: u64) -> Self {
        VirtualTime(micros)
    }

    /// Returns the microseconds since the start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the seconds since the start.
    pub fn as_seconds(self) -> f64 {
        Duration::from_micros(self.0).as_secs_f64()
    }

    /// Returns the time since `earlier`, or zero when `earlier` is later.
    pub fn saturating_since(self, earlier: VirtualTime) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for VirtualTime {
    type Output = VirtualTime;

    fn add(self, duration: Duration) -> VirtualTime {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        VirtualTime(self.0.saturating_add(micros))
    }
}

impl fmt::Display for VirtualTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}.{:06}",
            self.0 / 1_000_000,
            self.0 % 1_000_000
        )
    }
}

/// The monotonic clock of one machine: an origin of its own and a rate that
/// differs from virtual time by some parts per million.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessClock {
    anchor_virtual: VirtualTime,
    anchor_local: Timestamp,
    drift_ppm: i32,
}

impl ProcessClock {
    /// Makes a clock that shows `origin` at the start of the run.
    pub fn new(origin: Timestamp, drift_ppm: i32) -> Self {
        ProcessClock {
            anchor_virtual: VirtualTime::ZERO,
            anchor_local: origin,
            drift_ppm,
        }
    }

    /// Returns how many parts per million the clock is too fast.
    pub fn drift_ppm(&self) -> i32 {
        self.drift_ppm
    }

    /// Changes the rate from `now` on; the clock doesn't jump.
    pub fn set_drift(&mut self, now: VirtualTime, drift_ppm: i32) {
        self.anchor_local = self.local(now);
        self.anchor_virtual = now;
        self.drift_ppm = drift_ppm;
    }

    /// Returns what the clock shows at `now`.
    pub fn local(&self, now: VirtualTime) -> Timestamp {
        let elapsed = i128::from(now.0) - i128::from(self.anchor_virtual.0);
        let shown = elapsed * (PARTS_PER_MILLION + i128::from(self.drift_ppm)) / PARTS_PER_MILLION;
        let micros = i128::from(self.anchor_local.as_micros()) + shown;
        Timestamp::from_micros(u64::try_from(micros).unwrap_or(0))
    }

    /// Returns the first point at which the clock shows `local` or more.
    pub fn virtual_time(&self, local: Timestamp) -> VirtualTime {
        let shown = i128::from(local.as_micros()) - i128::from(self.anchor_local.as_micros());
        let rate = PARTS_PER_MILLION + i128::from(self.drift_ppm);
        let elapsed = (shown * PARTS_PER_MILLION + rate - 1).div_euclid(rate);
        let micros = i128::from(self.anchor_virtual.0) + elapsed;
        VirtualTime(u64::try_from(micros.max(0)).unwrap_or(u64::MAX))
    }
}
