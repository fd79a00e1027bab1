//! New flows that nobody had a place for, and that wait until some may be free.

use std::collections::{BTreeSet, HashSet};

use crate::time::Timestamp;

use super::packet::FlowId;

/// Most flows that wait at once: about what a balancer gets within the longest
/// wait when ten times the usual number comes. Others are refused at once.
const MAX_WAITING: usize = 4_096;

/// The flows, by the time of the next question.
#[derive(Debug, Default)]
pub(super) struct WaitingOpenings {
    due: BTreeSet<(Timestamp, FlowId)>,
    flows: HashSet<FlowId>,
}

impl WaitingOpenings {
    pub(super) fn contains(&self, flow: FlowId) -> bool {
        self.flows.contains(&flow)
    }

    pub(super) fn is_full(&self) -> bool {
        self.flows.len() >= MAX_WAITING
    }

    /// Lets a flow wait until `due_at`. One that waits already stays as it is.
    pub(super) fn insert(&mut self, due_at: Timestamp, flow: FlowId) {
        if self.flows.insert(flow) {
            self.due.insert((due_at, flow));
        }
    }

    pub(super) fn poll_timeout(&self) -> Option<Timestamp> {
        self.due.first().map(|(due_at, _)| *due_at)
    }

    /// The flows that have waited long enough. They wait no more.
    pub(super) fn take_due(&mut self, now: Timestamp) -> Vec<FlowId> {
        let mut due = Vec::new();
        while let Some((due_at, flow)) = self.due.first().copied()
            && due_at <= now
        {
            self.due.pop_first();
            self.flows.remove(&flow);
            due.push(flow);
        }
        due
    }
}
