//! How many new flows a back end gets while it warms up.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

/// Bounds on what a back end that warms up may get in any second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpBounds {
    /// A multiple of the requests a second that it bears.
    pub excess: f64,
    /// Requests beyond that.
    pub slack: f64,
}

/// The span that the bounds hold for, and what a packet may stay longer on the way
/// to one back end than to another: admissions are counted here, arrivals there.
const SPAN: Duration = Duration::from_millis(1_050);
/// The part of the bounds that is used.
const USED_PART: f64 = 0.9;
/// Most admissions that are remembered; no bound above this is kept exactly.
const MAX_REMEMBERED: usize = 4_096;

/// Counts the flows that were admitted within the last span.
#[derive(Debug)]
pub(crate) struct ColdAdmission {
    bounds: WarmUpBounds,
    /// Requests that the back end bears in 1,000 s; zero if nobody has told.
    millirequests_per_second: u32,
    admitted: VecDeque<Timestamp>,
}

impl ColdAdmission {
    pub(crate) fn new(bounds: WarmUpBounds) -> Self {
        ColdAdmission {
            bounds,
            millirequests_per_second: 0,
            admitted: VecDeque::new(),
        }
    }

    /// Notes what the back end bears, as a balancer tells it. Zero tells nothing: a
    /// balancer may not have the configuration that says it.
    pub(crate) fn note_rate(&mut self, millirequests_per_second: u32) {
        if millirequests_per_second > 0 {
            self.millirequests_per_second = millirequests_per_second;
        }
    }

    /// Whether one more flow fits within the bounds. Nothing is bounded as long as
    /// nobody has told what the back end bears.
    pub(crate) fn admits(&mut self, now: Timestamp) -> bool {
        self.forget_old(now);
        self.millirequests_per_second == 0 || self.admitted.len() < self.limit()
    }

    /// Notes that a flow was admitted.
    pub(crate) fn note_admitted(&mut self, now: Timestamp) {
        self.forget_old(now);
        if self.admitted.len() == MAX_REMEMBERED {
            self.admitted.pop_front();
        }
        self.admitted.push_back(now);
    }

    fn limit(&self) -> usize {
        let borne = f64::from(self.millirequests_per_second) / 1_000.0;
        let bound = borne * self.bounds.excess + self.bounds.slack;
        // At least one, or a back end would never warm up.
        ((bound * USED_PART) as usize).clamp(1, MAX_REMEMBERED)
    }

    fn forget_old(&mut self, now: Timestamp) {
        while let Some(admitted) = self.admitted.front()
            && now.saturating_since(*admitted) >= SPAN
        {
            self.admitted.pop_front();
        }
    }
}
