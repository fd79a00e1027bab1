//! Leaves out a back end that fails the requests it gets.
//!
//! A back end that fails at once always looks idle, so it would draw the flows of a
//! whole service, however good the health is that it tells.

use std::net::Ipv4Addr;
use std::time::Duration;

use crate::time::Timestamp;

/// Failures in a row, of different callers, after which a back end is left out. One
/// may be the caller's fault.
const FAILURES: u32 = 2;
/// How long a back end is left out at first: a few requests that it would have got.
/// It doubles with each failure after that.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// After a pause one flow tries the back end. If it says nothing by then, another one
/// may try.
const PROBE_LIMIT: Duration = Duration::from_secs(1);
/// A back end that has not failed for so long starts with the first pause again.
const FORGIVEN_AFTER: Duration = Duration::from_secs(4);

/// What an agent has seen of its back end's failures.
#[derive(Debug)]
pub(crate) struct FailureWatch {
    /// Failures since the latest answer.
    failures: u32,
    /// Who was failed last.
    failed_caller: Option<Ipv4Addr>,
    failed_at: Timestamp,
    pause: Duration,
    /// Until when the back end is left out; none if it is not.
    left_out_until: Option<Timestamp>,
    /// Until when a flow tries the back end.
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
    /// Notes that the back end reset a flow whose request it had not answered. Returns
    /// whether it is left out from now on.
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
            // A request that was sent before.
            return false;
        }
        self.left_out_until = Some(now + self.pause);
        self.probed_until = Timestamp::ZERO;
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        true
    }

    /// Notes that the back end answered a request. Returns whether it was left out.
    pub(crate) fn note_answer(&mut self, now: Timestamp) -> bool {
        self.failures = 0;
        self.failed_caller = None;
        match self.left_out_until {
            // Of a request that was sent before.
            Some(until) if now < until => false,
            _ => self.left_out_until.take().is_some(),
        }
    }

    /// Whether a new flow is to go elsewhere: the back end is left out, or another
    /// flow tries it.
    pub(crate) fn declines(&self, now: Timestamp) -> bool {
        self.left_out_until
            .is_some_and(|until| now < until || now < self.probed_until)
    }

    /// Notes that a new flow goes to the back end.
    pub(crate) fn note_admitted(&mut self, now: Timestamp) {
        if self.left_out_until.is_some() {
            self.probed_until = now + PROBE_LIMIT;
        }
    }

    /// How much longer balancers need not ask.
    pub(crate) fn left_out(&self, now: Timestamp) -> Duration {
        let until = self.left_out_until;
        let until = until.map_or(Timestamp::ZERO, |until| until.max(self.probed_until));
        until.saturating_since(now)
    }
}
