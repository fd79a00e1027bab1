//! The operator's automation: submits one change after the other until each is
//! accepted.

use std::collections::VecDeque;
use std::time::Duration;

use petrellatch_core::Timestamp;
use petrellatch_core::control::{OperatorError, OperatorRequest, OperatorResponse};
use petrellatch_proto::command::{Edit, EditKind, OperatorChange};

/// An unanswered change is sent again after this time.
const PATIENCE: Duration = Duration::from_secs(6);

#[derive(Clone, Copy, Debug)]
struct InFlight {
    token: u64,
    sent_at: Timestamp,
}

/// Submits changes in their order.
pub(super) struct Operator {
    waiting: VecDeque<Vec<EditKind>>,
    in_flight: Option<InFlight>,
    last_token: u64,
}

impl Operator {
    pub(super) fn new(first: Vec<EditKind>) -> Self {
        Operator {
            waiting: VecDeque::from([first]),
            in_flight: None,
            last_token: 0,
        }
    }

    pub(super) fn submit(&mut self, edits: Vec<EditKind>) {
        self.waiting.push_back(edits);
    }

    /// Returns the request to send now, if there is one.
    pub(super) fn poll(
        &mut self,
        now: Timestamp,
        config_version: u64,
    ) -> Option<(u64, OperatorRequest)> {
        let is_waiting = self
            .in_flight
            .is_some_and(|it| now.saturating_since(it.sent_at) < PATIENCE);
        if is_waiting {
            return None;
        }
        let edits = self.waiting.front()?.iter().cloned();
        self.last_token += 1;
        self.in_flight = Some(InFlight {
            token: self.last_token,
            sent_at: now,
        });
        let change = OperatorChange {
            request_id: format!("change-{}", self.last_token),
            based_on: config_version,
            edits: edits.map(|kind| Edit { kind: Some(kind) }).collect(),
        };
        Some((self.last_token, OperatorRequest::Change(change)))
    }

    pub(super) fn handle_response(
        &mut self,
        token: u64,
        result: &Result<OperatorResponse, OperatorError>,
    ) {
        if self.in_flight.is_none_or(|it| it.token != token) {
            return;
        }
        self.in_flight = None;
        if result.is_ok() {
            self.waiting.pop_front();
        }
    }
}
