//! Orphaned flows of ended back end incarnations, until their callers are notified.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::pass_through::packet::FlowId;
use crate::time::Timestamp;

use super::recorded_flow::RecordedFlow;

/// Callers that await no response are notified over this time, not all at once, since they
/// reconnect to back ends that may be cold.
const NOTIFICATION_PERIOD: Duration = Duration::from_millis(400);
/// Interval between batches of notifications.
const NOTIFICATION_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of stored flows.
const MAX_ORPHANED_FLOWS: usize = 1 << 16;

/// Flows that are certainly orphaned.
#[derive(Debug, Default)]
pub(crate) struct OrphanedFlows {
    flows: HashMap<FlowId, OrphanedFlow>,
    /// Flows whose callers are notified gradually.
    unnotified: VecDeque<FlowId>,
    notify_at: Timestamp,
    /// Number of notifications per batch.
    batch: usize,
}

#[derive(Debug)]
struct OrphanedFlow {
    flow: RecordedFlow,
    known_at: Timestamp,
    is_notified: bool,
}

impl OrphanedFlows {
    /// Adds an orphaned flow. Returns whether it is new and was stored.
    pub(crate) fn add(&mut self, now: Timestamp, flow: RecordedFlow) -> bool {
        if self.flows.len() >= MAX_ORPHANED_FLOWS || self.contains(flow.id, flow.acknowledged) {
            return false;
        }
        let orphaned = OrphanedFlow {
            flow,
            known_at: now,
            is_notified: false,
        };
        if self.unnotified.is_empty() {
            self.notify_at = self.notify_at.max(now);
            self.batch = 0;
        }
        self.flows.insert(flow.id, orphaned);
        self.unnotified.push_back(flow.id);
        let batches = NOTIFICATION_PERIOD.as_millis() / NOTIFICATION_INTERVAL.as_millis();
        self.batch = self
            .batch
            .max(self.unnotified.len().div_ceil(batches as usize));
        true
    }

    /// Whether the flow of a packet with this acknowledgement number is orphaned.
    pub(crate) fn contains(&self, id: FlowId, acknowledged: u32) -> bool {
        let orphaned = self.flows.get(&id);
        orphaned.is_some_and(|orphaned| orphaned.flow.owns_ack(acknowledged))
    }

    /// How long the flow has been known to be orphaned; zero if it isn't known.
    pub(crate) fn known_for(&self, now: Timestamp, id: FlowId) -> Duration {
        let known_at = self
            .flows
            .get(&id)
            .map_or(now, |orphaned| orphaned.known_at);
        now.saturating_since(known_at)
    }

    /// Records that the caller of a flow was notified or has closed the flow.
    pub(crate) fn note_notified(&mut self, id: FlowId) {
        if let Some(orphaned) = self.flows.get_mut(&id) {
            orphaned.is_notified = true;
        }
    }

    /// Forgets a flow whose caller opens a new one between the same endpoints.
    pub(crate) fn forget(&mut self, id: FlowId) {
        self.flows.remove(&id);
    }

    /// Takes the flows whose callers are to be notified now.
    pub(crate) fn take_due(&mut self, now: Timestamp) -> Vec<RecordedFlow> {
        if self.unnotified.is_empty() || now < self.notify_at {
            return Vec::new();
        }
        self.notify_at = now + NOTIFICATION_INTERVAL;
        let mut due = Vec::new();
        while due.len() < self.batch
            && let Some(id) = self.unnotified.pop_front()
        {
            if let Some(orphaned) = self.flows.get_mut(&id)
                && !orphaned.is_notified
            {
                orphaned.is_notified = true;
                due.push(orphaned.flow);
            }
        }
        due
    }

    /// When [`OrphanedFlows::take_due`] returns flows next.
    pub(crate) fn poll_timeout(&self) -> Option<Timestamp> {
        (!self.unnotified.is_empty()).then_some(self.notify_at)
    }

    /// Forgets flows that have been known for `flow_ttl`, which no flow outlives. Until then a
    /// reset may have been lost, and balancers may query the flow.
    pub(crate) fn expire(&mut self, now: Timestamp, flow_ttl: Duration) {
        let is_kept = |orphaned: &OrphanedFlow| now.saturating_since(orphaned.known_at) < flow_ttl;
        self.flows.retain(|_, orphaned| is_kept(orphaned));
    }
}
