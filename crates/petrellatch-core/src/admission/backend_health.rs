//! Whether a back end can be reached, as its agent sees it.

use std::time::Duration;

use crate::Timestamp;

/// Failures in a row after which a back end counts as unreachable.
const FAILURE_LIMIT: u32 = 3;

/// The time until an unreachable back end is tried again; it doubles with
/// every failed trial.
const FIRST_PROBE: Duration = Duration::from_secs(1);

/// The longest time between two trials.
const LONGEST_PROBE: Duration = Duration::from_secs(8);

/// The greatest health.
const FULL_HEALTH: u32 = 1_000;

/// The reported health moves in steps, so that it does not change with every
/// flow.
const HEALTH_STEP: u32 = 100;

/// Judges a back end by the outcome of connections to it, which can't lag or
/// mislead as a health endpoint can.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendHealth {
    failures_in_a_row: u32,
    closed_until: Option<Timestamp>,
    probe_interval: Duration,
    score: u32,
}

impl BackendHealth {
    /// Starts with full health.
    pub fn new() -> Self {
        BackendHealth {
            failures_in_a_row: 0,
            closed_until: None,
            probe_interval: FIRST_PROBE,
            score: FULL_HEALTH,
        }
    }

    /// Notes a connection that came about. Returns whether the back end was
    /// unreachable before.
    pub fn record_success(&mut self) -> bool {
        let was_closed = self.closed_until.is_some();
        self.failures_in_a_row = 0;
        self.closed_until = None;
        self.probe_interval = FIRST_PROBE;
        self.score += (FULL_HEALTH - self.score).div_ceil(8);
        was_closed
    }

    /// Notes a connection that failed. Returns whether the back end has just
    /// become unreachable.
    pub fn record_failure(&mut self, now: Timestamp) -> bool {
        self.failures_in_a_row += 1;
        self.score -= self.score.div_ceil(4);
        if self.failures_in_a_row < FAILURE_LIMIT {
            return false;
        }
        let was_open = self.closed_until.is_none();
        self.closed_until = Some(now + self.probe_interval);
        self.probe_interval = (self.probe_interval * 2).min(LONGEST_PROBE);
        was_open
    }

    /// Returns whether the back end is unreachable and not to be tried yet.
    pub fn is_closed(&self, now: Timestamp) -> bool {
        self.closed_until.is_some_and(|until| now < until)
    }

    /// Notes that a flow is used to try an unreachable back end; there is one
    /// such flow at a time.
    pub fn begin_probe(&mut self, now: Timestamp) {
        if let Some(until) = &mut self.closed_until {
            *until = now + self.probe_interval;
        }
    }

    /// Returns the health from 0, unreachable, to 1,000.
    pub fn health(&self) -> u32 {
        if self.closed_until.is_some() {
            return 0;
        }
        (self.score / HEALTH_STEP * HEALTH_STEP).max(HEALTH_STEP)
    }
}

impl Default for BackendHealth {
    fn default() -> Self {
        BackendHealth::new()
    }
}
