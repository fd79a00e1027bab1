//! The timeout for agents' replies.

use std::time::Duration;

/// Shortest timeout.
const MIN_TIMEOUT: Duration = Duration::from_millis(60);
/// Longest timeout, however slow all agents reply: callers retransmit their SYN soon
/// after.
const MAX_TIMEOUT: Duration = Duration::from_millis(400);
/// Weights of a new sample, and number of deviations above the mean that a reply may
/// take, as for the retransmission timer of TCP (RFC 6298).
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
const DEVIATIONS: f64 = 4.0;

/// Estimates the reply timeout from the reply times of all agents together. If all of
/// them become slow, the balancer or its link is overloaded, and offers to further
/// agents would add to that.
#[derive(Debug, Default)]
pub(crate) struct ReplyTimeoutEstimator {
    /// Smoothed reply time and its deviation, in seconds; `None` without a sample.
    estimate: Option<(f64, f64)>,
}

impl ReplyTimeoutEstimator {
    /// Records the time from an offer to its reply.
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

    /// Whether the timeout is less than twice its minimum, as most replies arrive fast.
    /// Otherwise a missing reply says nothing about the agent.
    pub(crate) fn is_short(&self) -> bool {
        self.timeout() < 2 * MIN_TIMEOUT
    }

    /// The time after which a reply is overdue.
    pub(crate) fn timeout(&self) -> Duration {
        let Some((mean, deviation)) = self.estimate else {
            return MIN_TIMEOUT;
        };
        let timeout = Duration::from_secs_f64(mean + deviation * DEVIATIONS);
        timeout.clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }
}
