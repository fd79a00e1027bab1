//! Orphaned flows of ended back end incarnations, until their callers are notified.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::pass_through::packet::FlowId;
use crate::time::Timestamp;

use super::recorded_flow::RecordedFlow;

/// Callers that await no response are notified over this time, not all at once, since they
/// reconnect to back ends that may be cold.
const TELLING_SPREAD: Duration = Duration::from_millis(400);
/// Interval between two batches of notifications.
const TELLING_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of stored flows.
const MAX_GONE: usize = 1 << 16;

/// Flows that are certainly orphaned.
#[derive(Debug, Default)]
pub(crate) struct OrphanedFlows {
    flows: HashMap<FlowId, GoneFlow>,
    /// Flows whose callers are notified gradually.
    untold: VecDeque<FlowId>,
    tell_at: Timestamp,
    /// Number of notifications per batch.
    share: usize,
}

#[derive(Debug)]
struct GoneFlow {
    flow: RecordedFlow,
    known_at: Timestamp,
    is_told: bool,
}

impl OrphanedFlows {
    /// Adds an orphaned flow. Returns whether it is new and was stored.
    pub(crate) fn add(&mut self, now: Timestamp, flow: RecordedFlow) -> bool {
        if self.flows.len() >= MAX_GONE || self.contains(flow.id, flow.acknowledged) {
            return false;
        }
        let gone = GoneFlow {
            flow,
            known_at: now,
            is_told: false,
        };
        if self.untold.is_empty() {
            self.tell_at = self.tell_at.max(now);
            self.share = 0;
        }
        self.flows.insert(flow.id, gone);
        self.untold.push_back(flow.id);
        let turns = TELLING_SPREAD.as_millis() / TELLING_INTERVAL.as_millis();
        self.share = self.share.max(self.untold.len().div_ceil(turns as usize));
        true
    }

    /// Whether the flow of a packet with this acknowledgement number is orphaned.
    pub(crate) fn contains(&self, id: FlowId, acknowledged: u32) -> bool {
        let gone = self.flows.get(&id);
        gone.is_some_and(|gone| gone.flow.owns_ack(acknowledged))
    }

    /// How long the flow has been known to be orphaned; zero if it isn't known.
    pub(crate) fn known_for(&self, now: Timestamp, id: FlowId) -> Duration {
        let known_at = self.flows.get(&id).map_or(now, |gone| gone.known_at);
        now.saturating_since(known_at)
    }

    /// Records that the caller of a flow was notified or has closed the flow.
    pub(crate) fn note_notified(&mut self, id: FlowId) {
        if let Some(gone) = self.flows.get_mut(&id) {
            gone.is_told = true;
        }
    }

    /// Forgets a flow whose caller opens a new one between the same endpoints.
    pub(crate) fn forget(&mut self, id: FlowId) {
        self.flows.remove(&id);
    }

    /// Takes the flows whose callers are to be notified now.
    pub(crate) fn take_due(&mut self, now: Timestamp) -> Vec<RecordedFlow> {
        if self.untold.is_empty() || now < self.tell_at {
            return Vec::new();
        }
        self.tell_at = now + TELLING_INTERVAL;
        let mut due = Vec::new();
        while due.len() < self.share
            && let Some(id) = self.untold.pop_front()
        {
            if let Some(gone) = self.flows.get_mut(&id)
                && !gone.is_told
            {
                gone.is_told = true;
                due.push(gone.flow);
            }
        }
        due
    }

    /// When [`OrphanedFlows::take_due`] returns flows next.
    pub(crate) fn poll_timeout(&self) -> Option<Timestamp> {
        (!self.untold.is_empty()).then_some(self.tell_at)
    }

    /// Forgets flows that have been known for `flow_ttl`, which no flow outlives. Until then a
    /// reset may have been lost, and balancers may query the flow.
    pub(crate) fn expire(&mut self, now: Timestamp, lifetime: Duration) {
        let is_kept = |gone: &GoneFlow| now.saturating_since(gone.known_at) < lifetime;
        self.flows.retain(|_, gone| is_kept(gone));
    }
}
