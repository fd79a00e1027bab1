//! Whether a flow has a request in progress.

use std::time::Duration;

use crate::Timestamp;

/// A flow that was admitted counts as busy for so long before its first byte
/// for the back end, which is on its way.
const FIRST_REQUEST_GRACE: Duration = Duration::from_secs(1);

/// An answer is taken for finished when so much time has passed since its last
/// byte and the caller has acknowledged all of it.
const ANSWER_QUIET: Duration = Duration::from_millis(10);

/// Follows requests and answers of one flow without reading them.
///
/// A flow is busy from its admission until no request has come for
/// [`FIRST_REQUEST_GRACE`]; from the moment that bytes go to the back end until
/// the answer is finished, that is the back end closed its direction or nothing
/// moved for [`ANSWER_QUIET`] after its last byte; and whenever bytes of an
/// answer come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct FlowActivity {
    busy: bool,
    admitted_at: Timestamp,
    /// When the first byte of the present request went to the back end.
    request_at: Option<Timestamp>,
    /// When the last byte of the present answer came.
    answered_at: Option<Timestamp>,
}

impl FlowActivity {
    /// Starts with the admission of the flow.
    pub(super) fn new(now: Timestamp) -> Self {
        FlowActivity {
            busy: true,
            admitted_at: now,
            request_at: None,
            answered_at: None,
        }
    }

    /// Returns whether a request is in progress.
    pub(super) fn is_busy(&self) -> bool {
        self.busy
    }

    /// Notes bytes for the back end.
    pub(super) fn handle_request(&mut self, now: Timestamp) {
        self.busy = true;
        if self.request_at.is_none() || self.answered_at.is_some() {
            self.request_at = Some(now);
        }
        self.answered_at = None;
    }

    /// Notes bytes of the back end.
    pub(super) fn handle_answer(&mut self, now: Timestamp) {
        self.busy = true;
        self.answered_at = Some(now);
    }

    /// Notes the end of the flow's answers. Returns the time that the request
    /// in progress took.
    pub(super) fn finish(&mut self, now: Timestamp) -> Option<Duration> {
        if !self.busy {
            return None;
        }
        self.busy = false;
        let started = self.request_at.take()?;
        let ended = self.answered_at.take().unwrap_or(now);
        Some(ended.saturating_since(started))
    }

    /// Returns when the flow stops being busy if nothing moves until then.
    /// `flushed` tells whether the caller has acknowledged all bytes.
    pub(super) fn poll_timeout(&self, flushed: bool) -> Option<Timestamp> {
        if !self.busy {
            return None;
        }
        match (self.request_at, self.answered_at) {
            (None, None) => Some(self.admitted_at + FIRST_REQUEST_GRACE),
            (_, Some(answered_at)) if flushed => Some(answered_at + ANSWER_QUIET),
            _ => None,
        }
    }

    /// Ends the request in progress if it is quiet. Returns the time that it
    /// took.
    pub(super) fn handle_timeout(&mut self, now: Timestamp, flushed: bool) -> Option<Duration> {
        let due = self.poll_timeout(flushed)?;
        if due > now {
            return None;
        }
        self.finish(now)
    }
}
