//! The mean processing time that an agent reports to balancers.

use std::time::Duration;

/// Weight of a new sample. One request in thirty takes seven times as long as the others, and a
/// mean over fewer would make equal back ends look different.
const SAMPLE_WEIGHT: f64 = 1.0 / 32.0;
/// Number of samples before a mean is reported.
const MIN_SAMPLES: u32 = 8;

/// Mean processing times of a back end, separate for its warm and its cold state.
#[derive(Debug, Default)]
pub(crate) struct ReportedProcessingTime {
    warm: MeanTime,
    cold: MeanTime,
    is_cold: bool,
}

#[derive(Debug, Default)]
struct MeanTime {
    seconds: f64,
    samples: u32,
}

impl ReportedProcessingTime {
    /// Records the processing time of a request, counted from when it got a slot.
    pub(crate) fn record(&mut self, time: Duration, is_cold: bool) {
        if is_cold && !self.is_cold {
            self.cold = MeanTime::default();
        }
        self.is_cold = is_cold;
        match is_cold {
            true => self.cold.record(time),
            false => self.warm.record(time),
        }
    }

    /// Mean processing time in the back end's present state, in microseconds; zero if unknown.
    pub(crate) fn micros(&self, is_cold: bool) -> u32 {
        match (is_cold, self.is_cold) {
            (false, _) => self.warm.micros(),
            (true, true) => self.cold.micros(),
            // The back end has just restarted.
            (true, false) => 0,
        }
    }
}

impl MeanTime {
    fn record(&mut self, time: Duration) {
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.seconds += (time.as_secs_f64() - self.seconds) * weight;
    }

    fn micros(&self) -> u32 {
        match self.samples >= MIN_SAMPLES {
            true => (self.seconds * 1e6) as u32,
            false => 0,
        }
    }
}
