//! How long agents take to answer, and when an answer is overdue.

use std::time::Duration;

/// An answer is never overdue before this.
const MIN_TIMEOUT: Duration = Duration::from_millis(60);
/// An answer is overdue after this, however slow all others are: callers send a
/// copy of an opening packet soon after.
const MAX_TIMEOUT: Duration = Duration::from_millis(400);
/// Weights of a new sample, and how many deviations an answer may be late, as in
/// RFC 6298 for the retransmission timer of TCP.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
const DEVIATIONS: f64 = 4.0;

/// Estimates the time of an answer from all agents together. If all of them
/// become slow, the balancer or its link is overloaded, and asking others
/// would add to that.
#[derive(Debug, Default)]
pub(crate) struct ReplyTimeoutEstimator {
    /// Smoothed time and deviation, in seconds; none without a sample.
    estimate: Option<(f64, f64)>,
}

impl ReplyTimeoutEstimator {
    /// Notes the time from a question to its answer.
    pub(crate) fn record(&mut self, reply_time: Duration) {
        let sample = reply_time.as_secs_f64();
        self.estimate = Some(match self.estimate {
            None => (sample, sample / 2.0),
            Some((mean, deviation)) => {
                let error = (sample - mean).abs();
                let deviation = deviation + (error - deviation) * DEVIATION_WEIGHT;
                (mean + (sample - mean) * MEAN_WEIGHT, deviation)
            }
        });
    }

    /// Whether answers arrive about as fast as they should. Otherwise silence
    /// says nothing of an agent.
    pub(crate) fn is_short(&self) -> bool {
        self.timeout() < 2 * MIN_TIMEOUT
    }

    /// After this time an answer is overdue.
    pub(crate) fn timeout(&self) -> Duration {
        let Some((mean, deviation)) = self.estimate else {
            return MIN_TIMEOUT;
        };
        let timeout = Duration::from_secs_f64(mean + deviation * DEVIATIONS);
        timeout.clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }
}
