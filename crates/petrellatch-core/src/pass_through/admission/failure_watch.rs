//! Outlier detection: ejects a back end that fails its requests.
//!
//! A back end that fails its requests at once always looks idle. It would attract the flows of
//! a whole service, even if it reports itself as healthy.

use std::net::Ipv4Addr;
use std::time::Duration;

use crate::time::Timestamp;

/// Consecutive failures, for different callers, after which a back end is ejected. A single one
/// may be the caller's fault.
const FAILURES: u32 = 2;
/// Duration of the first ejection, in which the back end would have got a few requests. It
/// doubles with each failure after that.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// After an ejection, one trial flow is admitted. If the back end hasn't responded to it within
/// this time, another one is admitted.
const PROBE_LIMIT: Duration = Duration::from_secs(1);
/// After this time without a failure, ejections start with the first duration again.
const FORGIVEN_AFTER: Duration = Duration::from_secs(4);

/// Decides from the failures of an agent's back end when it is ejected.
#[derive(Debug)]
pub(crate) struct FailureWatch {
    /// Failures since the last response.
    failures: u32,
    /// The caller whose request failed last.
    failed_caller: Option<Ipv4Addr>,
    failed_at: Timestamp,
    pause: Duration,
    /// End of the ejection; `None` if there is none. It stays set after that time until the
    /// back end responds to a trial flow.
    left_out_until: Option<Timestamp>,
    /// Until when a trial flow is pending.
    probed_until: Timestamp,
}

impl Default for FailureWatch {
    fn default() -> Self {
        FailureWatch {
            failures: 0,
            failed_caller: None,
            failed_at: Timestamp::ZERO,
            pause: FIRST_PAUSE,
            left_out_until: None,
            probed_until: Timestamp::ZERO,
        }
    }
}

impl FailureWatch {
    /// Notes that the back end reset a flow without a response to its request. Returns whether
    /// it is ejected from now on.
    pub(crate) fn note_failure(&mut self, now: Timestamp, caller: Ipv4Addr) -> bool {
        let is_same_caller = self.failed_caller.replace(caller) == Some(caller);
        if now.saturating_since(self.failed_at) >= FORGIVEN_AFTER {
            self.pause = FIRST_PAUSE;
        }
        self.failed_at = now;
        if !is_same_caller || self.failures == 0 {
            self.failures += 1;
        }
        let was_left_out = self.left_out_until.is_some();
        if self.failures < FAILURES && !was_left_out {
            return false;
        }
        if self.left_out_until.is_some_and(|until| now < until) {
            // The request was sent before the ejection.
            return false;
        }
        self.left_out_until = Some(now + self.pause);
        self.probed_until = Timestamp::ZERO;
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        true
    }

    /// Notes that the back end responded to a request. Returns whether this ends an ejection.
    pub(crate) fn note_answer(&mut self, now: Timestamp) -> bool {
        self.failures = 0;
        self.failed_caller = None;
        match self.left_out_until {
            // The request was sent before the ejection.
            Some(until) if now < until => false,
            _ => self.left_out_until.take().is_some(),
        }
    }

    /// Whether new flows are declined: the back end is ejected, or a trial flow is pending.
    pub(crate) fn declines(&self, now: Timestamp) -> bool {
        self.left_out_until
            .is_some_and(|until| now < until || now < self.probed_until)
    }

    /// Notes an admitted flow. After an ejection, it is the trial flow.
    pub(crate) fn note_admitted(&mut self, now: Timestamp) {
        if self.left_out_until.is_some() {
            self.probed_until = now + PROBE_LIMIT;
        }
    }

    /// Remaining time in which balancers needn't offer flows; zero if the back end isn't
    /// ejected.
    pub(crate) fn left_out(&self, now: Timestamp) -> Duration {
        let until = self.left_out_until;
        let until = until.map_or(Timestamp::ZERO, |until| until.max(self.probed_until));
        until.saturating_since(now)
    }
}
