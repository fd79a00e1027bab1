//! Flows of lives of a back end that are over, until their callers know it.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::pass_through::packet::FlowId;
use crate::time::Timestamp;

use super::recorded_flow::RecordedFlow;

/// The callers that wait for nothing are told within this time, not all at once: they
/// return to back ends that may be cold.
const TELLING_SPREAD: Duration = Duration::from_millis(400);
/// Between two times at which some of them are told.
const TELLING_INTERVAL: Duration = Duration::from_millis(20);
/// Most flows that are remembered.
const MAX_GONE: usize = 1 << 16;

/// Flows that are gone for certain.
#[derive(Debug, Default)]
pub(crate) struct OrphanedFlows {
    flows: HashMap<FlowId, GoneFlow>,
    /// Those whose callers are told at a pace.
    untold: VecDeque<FlowId>,
    tell_at: Timestamp,
    /// How many are told at a time.
    share: usize,
}

#[derive(Debug)]
struct GoneFlow {
    flow: RecordedFlow,
    known_at: Timestamp,
    is_told: bool,
}

impl OrphanedFlows {
    /// Notes that a flow is gone. Returns whether that is new, and remembered.
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

    /// Whether the flow of a packet that acknowledges `acknowledged` is gone.
    pub(crate) fn contains(&self, id: FlowId, acknowledged: u32) -> bool {
        let gone = self.flows.get(&id);
        gone.is_some_and(|gone| gone.flow.owns_ack(acknowledged))
    }

    /// For how long it has been known that a flow is gone.
    pub(crate) fn known_for(&self, now: Timestamp, id: FlowId) -> Duration {
        let known_at = self.flows.get(&id).map_or(now, |gone| gone.known_at);
        now.saturating_since(known_at)
    }

    /// Notes that the caller of a flow is told, or has ended it.
    pub(crate) fn note_notified(&mut self, id: FlowId) {
        if let Some(gone) = self.flows.get_mut(&id) {
            gone.is_told = true;
        }
    }

    /// Forgets a flow, as its caller opens another one under its address and port.
    pub(crate) fn forget(&mut self, id: FlowId) {
        self.flows.remove(&id);
    }

    /// The flows whose callers are to be told now.
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

    /// When [`OrphanedFlows::take_due`] has something.
    pub(crate) fn poll_timeout(&self) -> Option<Timestamp> {
        (!self.untold.is_empty()).then_some(self.tell_at)
    }

    /// Forgets flows that are older than any may be. Until then a reset may have been
    /// lost, and balancers may ask.
    pub(crate) fn expire(&mut self, now: Timestamp, lifetime: Duration) {
        let is_kept = |gone: &GoneFlow| now.saturating_since(gone.known_at) < lifetime;
        self.flows.retain(|_, gone| is_kept(gone));
    }
}
