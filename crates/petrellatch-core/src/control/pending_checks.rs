//! Policy checks that wait for their turn, in the leader's thread.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

use super::control_state::ControlState;
use super::policy_check::{CheckProgress, FinishedCheck, PolicyCheck};

/// Least time from the begin of one piece to the next, whichever checks they
/// belong to. It leaves time for everything else that the thread does.
const PIECE_INTERVAL: Duration = Duration::from_millis(30);

/// Services for which policies are checked in one piece. Each is evaluated for
/// about a thousand edge cases, which takes one to three milliseconds.
const SERVICES_OF_PIECE: usize = 8;

/// Checks under way, one after the other. They have no time limit: each piece
/// brings one nearer to its end, and all end with the leadership.
#[derive(Debug, Default)]
pub(super) struct PendingChecks {
    checks: VecDeque<PolicyCheck>,
    next_piece: Timestamp,
}

impl PendingChecks {
    /// How many requests wait for a check.
    pub(super) fn len(&self) -> usize {
        self.checks.len()
    }

    /// Adds a check at the end of the line.
    pub(super) fn push(&mut self, check: PolicyCheck) {
        self.checks.push_back(check);
    }

    /// Checks the next piece if it is due. Returns the checks that are
    /// finished by it.
    pub(super) fn handle_timeout(
        &mut self,
        now: Timestamp,
        state: &ControlState,
    ) -> Vec<FinishedCheck> {
        let mut finished = Vec::new();
        if self.checks.is_empty() || now < self.next_piece {
            return finished;
        }
        self.next_piece = now + PIECE_INTERVAL;
        let mut budget = SERVICES_OF_PIECE;
        while let Some(check) = self.checks.front_mut() {
            let CheckProgress::Finished(result) = check.check_piece(&mut budget, state) else {
                break;
            };
            let check = self.checks.pop_front();
            finished.extend(check.map(|check| check.finish(result)));
        }
        finished
    }

    /// When the next piece is due.
    pub(super) fn poll_timeout(&self) -> Option<Timestamp> {
        (!self.checks.is_empty()).then_some(self.next_piece)
    }

    /// Takes the tokens of all requests that wait.
    pub(super) fn take_all(&mut self) -> Vec<u64> {
        self.checks.drain(..).map(|check| check.token()).collect()
    }
}
