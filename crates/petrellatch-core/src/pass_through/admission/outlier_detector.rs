//! Outlier detection: ejects a back end that fails its requests.
//!
//! A back end that fails its requests at once always looks idle. It would attract the flows of
//! a whole service, even if it reports itself as healthy.

use std::net::Ipv4Addr;
use std::time::Duration;

use crate::time::Timestamp;

/// Consecutive failures, for different callers, after which a back end is ejected. A single one
/// may be the caller's fault.
const MIN_FAILURES: u32 = 2;
/// Duration of the first ejection, in which the back end would have got a few requests. It
/// doubles with each failure after that.
const FIRST_EJECTION: Duration = Duration::from_millis(250);
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// After an ejection, one trial flow is admitted. If the back end hasn't responded to it within
/// this time, another one is admitted.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(1);
/// After this time without a failure, ejections start with the first duration again.
const EJECTION_RESET_TIME: Duration = Duration::from_secs(4);

/// Decides from the failures of an agent's back end when it is ejected.
#[derive(Debug)]
pub(crate) struct OutlierDetector {
    /// Failures since the last response.
    failures: u32,
    /// The caller whose request failed last.
    failed_caller: Option<Ipv4Addr>,
    failed_at: Timestamp,
    ejection_time: Duration,
    /// End of the ejection; `None` if there is none. It stays set after that time until the
    /// back end responds to a trial flow.
    ejected_until: Option<Timestamp>,
    /// Until when a trial flow is pending.
    trial_until: Timestamp,
}

impl Default for OutlierDetector {
    fn default() -> Self {
        OutlierDetector {
            failures: 0,
            failed_caller: None,
            failed_at: Timestamp::ZERO,
            ejection_time: FIRST_EJECTION,
            ejected_until: None,
            trial_until: Timestamp::ZERO,
        }
    }
}

impl OutlierDetector {
    /// Notes that the back end reset a flow without a response to its request. Returns whether
    /// it is ejected from now on.
    pub(crate) fn note_failure(&mut self, now: Timestamp, caller: Ipv4Addr) -> bool {
        let is_same_caller = self.failed_caller.replace(caller) == Some(caller);
        if now.saturating_since(self.failed_at) >= EJECTION_RESET_TIME {
            self.ejection_time = FIRST_EJECTION;
        }
        self.failed_at = now;
        if !is_same_caller || self.failures == 0 {
            self.failures += 1;
        }
        let was_ejected = self.ejected_until.is_some();
        if self.failures < MIN_FAILURES && !was_ejected {
            return false;
        }
        if self.ejected_until.is_some_and(|until| now < until) {
            // The request was sent before the ejection.
            return false;
        }
        self.ejected_until = Some(now + self.ejection_time);
        self.trial_until = Timestamp::ZERO;
        self.ejection_time = (self.ejection_time * 2).min(MAX_EJECTION);
        true
    }

    /// Notes that the back end responded to a request. Returns whether this ends an ejection.
    pub(crate) fn note_response(&mut self, now: Timestamp) -> bool {
        self.failures = 0;
        self.failed_caller = None;
        match self.ejected_until {
            // The request was sent before the ejection.
            Some(until) if now < until => false,
            _ => self.ejected_until.take().is_some(),
        }
    }

    /// Whether new flows are declined: the back end is ejected, or a trial flow is pending.
    pub(crate) fn is_ejecting(&self, now: Timestamp) -> bool {
        self.ejected_until
            .is_some_and(|until| now < until || now < self.trial_until)
    }

    /// Notes an admitted flow. After an ejection, it is the trial flow.
    pub(crate) fn note_admitted(&mut self, now: Timestamp) {
        if self.ejected_until.is_some() {
            self.trial_until = now + TRIAL_TIMEOUT;
        }
    }

    /// Remaining time in which balancers needn't offer flows; zero if the back end isn't
    /// ejected.
    pub(crate) fn remaining_ejection(&self, now: Timestamp) -> Duration {
        let until = self.ejected_until;
        let until = until.map_or(Timestamp::ZERO, |until| until.max(self.trial_until));
        until.saturating_since(now)
    }
}
