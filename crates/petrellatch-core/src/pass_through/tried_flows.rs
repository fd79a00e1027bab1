//! Flows that an agent does not know, whose packets it handed to its back end
//! to find out whether that has them.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::time::Timestamp;

use super::packet::FlowId;

/// Between two packets of one flow that are tried.
const REPEAT_PAUSE: Duration = Duration::from_millis(200);
/// A back end that neither answered nor returned a packet by then did not get
/// it.
const TRY_LIMIT: Duration = Duration::from_secs(3);
/// Most flows that are remembered of each kind. More are tried again.
const MAX_REMEMBERED: usize = 1 << 16;

/// Which flows were tried, and which of them the back end does not have.
#[derive(Debug, Default)]
pub(super) struct TriedFlows {
    /// Flows without an answer, with the balancer that wants to know.
    pending: HashMap<FlowId, (SocketAddrV4, Timestamp)>,
    /// Flows whose packets came back.
    returned: HashMap<FlowId, Timestamp>,
}

impl TriedFlows {
    /// Notes that a balancer wants a packet to be tried. Returns whether it goes
    /// to the back end: not if another one went there a moment ago.
    pub(super) fn note_tried(
        &mut self,
        now: Timestamp,
        flow: FlowId,
        balancer: SocketAddrV4,
    ) -> bool {
        let former = self.pending.get(&flow).map(|(_, at)| *at);
        if let Some(at) = former.filter(|at| now.saturating_since(*at) < REPEAT_PAUSE) {
            self.pending.insert(flow, (balancer, at));
            return false;
        }
        if self.pending.len() < MAX_REMEMBERED {
            self.pending.insert(flow, (balancer, now));
        }
        true
    }

    /// Takes the balancer that wants to know whether the back end has a flow.
    pub(super) fn take_pending(&mut self, flow: FlowId) -> Option<SocketAddrV4> {
        let (balancer, _) = self.pending.remove(&flow)?;
        Some(balancer)
    }

    /// Notes that the back end does not have a flow.
    pub(super) fn note_returned(&mut self, now: Timestamp, flow: FlowId) {
        if self.returned.len() < MAX_REMEMBERED {
            self.returned.insert(flow, now);
        }
    }

    /// Whether the back end said that it does not have a flow.
    pub(super) fn was_returned(&self, flow: FlowId) -> bool {
        self.returned.contains_key(&flow)
    }

    /// Forgets what was known of a flow, since it opens anew.
    pub(super) fn forget(&mut self, flow: FlowId) {
        self.returned.remove(&flow);
    }

    /// Forgets old flows; `lifetime` is that of a flow.
    pub(super) fn expire(&mut self, now: Timestamp, lifetime: Duration) {
        let age = |at: Timestamp| now.saturating_since(at);
        self.pending.retain(|_, (_, at)| age(*at) < TRY_LIMIT);
        self.returned.retain(|_, at| age(*at) < lifetime);
    }
}
