//! The planned stop of a control node.

use std::time::Duration;

use crate::consensus::Role;
use crate::time::Timestamp;

use super::ControlNode;

/// After this time a node that still leads stops all the same; the others
/// then notice by themselves that it is gone.
const STOP_LIMIT: Duration = Duration::from_secs(2);

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopPhase {
    /// No stop is wanted.
    Running,
    /// Leadership is being handed over, until this time at most.
    HandingOver(Timestamp),
    /// The process may end once its outputs are carried out.
    Stopped,
}

impl StopPhase {
    pub(super) fn deadline(self) -> Option<Timestamp> {
        match self {
            StopPhase::HandingOver(deadline) => Some(deadline),
            StopPhase::Running | StopPhase::Stopped => None,
        }
    }
}

impl ControlNode {
    /// Begins a planned stop: a leader hands over to a replica that has its
    /// whole log, and refuses new changes meanwhile with a hint where to ask.
    /// End the process once [`ControlNode::is_stopped`] holds and all outputs
    /// are carried out.
    pub fn begin_stop(&mut self, now: Timestamp) {
        if self.stop == StopPhase::Running {
            self.stop = StopPhase::HandingOver(now + STOP_LIMIT);
        }
        self.drive(now);
    }

    /// Whether the process may end as far as this node is concerned.
    pub fn is_stopped(&self) -> bool {
        self.stop == StopPhase::Stopped
    }

    /// Goes on with a planned stop. An attempt to hand over that came to
    /// nothing is repeated.
    pub(super) fn follow_stop(&mut self, now: Timestamp) {
        let StopPhase::HandingOver(deadline) = self.stop else {
            return;
        };
        let leads = self.replica.role() == Role::Leader;
        if !leads || now >= deadline {
            self.stop = StopPhase::Stopped;
            return;
        }
        if !self.replica.is_transferring() && self.replica.transfer_leadership(now).is_ok() {
            self.drain_replica(now);
            self.follow_role(now);
        }
        if self.replica.role() != Role::Leader {
            self.stop = StopPhase::Stopped;
        }
    }
}
