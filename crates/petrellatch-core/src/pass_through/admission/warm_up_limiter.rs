//! Rate limit of new flows for a back end that warms up.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

/// Limits on the new flows that a back end gets in any second while it warms up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpBounds {
    /// Factor on the service's warm-up rate.
    pub excess: f64,
    /// Requests that are allowed on top of that.
    pub slack: f64,
}

/// Window over which admissions are counted: one second, plus a margin for packets whose
/// transit times differ, because the bounds apply to arrivals at the back end.
const WINDOW: Duration = Duration::from_millis(1_050);
/// Fraction of the bounds that is used.
const USED_FRACTION: f64 = 0.9;
/// Maximum number of admission times that are kept. Higher limits are reduced to it.
const MAX_COUNTED: usize = 4_096;

/// Limits new flows by the number of those admitted within the window.
#[derive(Debug)]
pub(crate) struct WarmUpLimiter {
    bounds: WarmUpBounds,
    /// Warm-up rate of the back end in requests per 1,000 s; zero if unknown.
    millirequests_per_second: u32,
    admitted: VecDeque<Timestamp>,
    /// Until when admissions of a previous incarnation of the agent, which aren't known, may be
    /// within the window.
    unknown_until: Timestamp,
}

impl WarmUpLimiter {
    /// Creates the limiter of an agent that starts now. A previous incarnation of the agent may
    /// have admitted flows until then.
    pub(crate) fn new(now: Timestamp, bounds: WarmUpBounds) -> Self {
        WarmUpLimiter {
            bounds,
            millirequests_per_second: 0,
            admitted: VecDeque::new(),
            unknown_until: now + WINDOW,
        }
    }

    /// Notes that the agent has no previous incarnation.
    pub(crate) fn note_first_incarnation(&mut self) {
        self.unknown_until = Timestamp::ZERO;
    }

    /// Notes the warm-up rate that a balancer sent. Zero is ignored: the balancer may not have
    /// the configuration that sets the rate.
    pub(crate) fn note_rate(&mut self, millirequests_per_second: u32) {
        if millirequests_per_second > 0 {
            self.millirequests_per_second = millirequests_per_second;
        }
    }

    /// Whether one more flow is within the bounds. There is no limit while the warm-up rate is
    /// unknown.
    pub(crate) fn admits(&mut self, now: Timestamp) -> bool {
        self.drop_expired(now);
        let is_within_bounds = now >= self.unknown_until && self.admitted.len() < self.limit();
        self.millirequests_per_second == 0 || is_within_bounds
    }

    /// Notes an admitted flow.
    pub(crate) fn note_admitted(&mut self, now: Timestamp) {
        self.drop_expired(now);
        if self.admitted.len() == MAX_COUNTED {
            self.admitted.pop_front();
        }
        self.admitted.push_back(now);
    }

    fn limit(&self) -> usize {
        let rate = f64::from(self.millirequests_per_second) / 1_000.0;
        let bound = rate * self.bounds.excess + self.bounds.slack;
        // At least one: a back end without requests would never warm up.
        ((bound * USED_FRACTION) as usize).clamp(1, MAX_COUNTED)
    }

    fn drop_expired(&mut self, now: Timestamp) {
        while let Some(admitted) = self.admitted.front()
            && now.saturating_since(*admitted) >= WINDOW
        {
            self.admitted.pop_front();
        }
    }
}
