//! Flows that an agent does not know, whose packets it handed to its back end
//! to find out whether that has them.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::time::Timestamp;

use crate::pass_through::packet::FlowId;

/// Between two packets of one flow that are tried.
const REPEAT_PAUSE: Duration = Duration::from_millis(200);
/// A back end that neither answered nor returned a packet by then did not get
/// it.
const TRY_LIMIT: Duration = Duration::from_secs(3);
/// Most flows that are remembered of each kind. More are tried again.
const MAX_REMEMBERED: usize = 1 << 16;

/// A flow whose packet is at the back end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingDelivery {
    /// The balancer that wants to know whether the back end has the flow.
    pub(crate) balancer: SocketAddrV4,
    /// Whether it wants to know at once that the back end does not.
    pub(crate) report_return: bool,
    tried_at: Timestamp,
}

/// Which flows were tried, and which of them the back end does not have.
#[derive(Debug, Default)]
pub(crate) struct SpeculativeDeliveries {
    /// Flows without an answer.
    pending: HashMap<FlowId, PendingDelivery>,
    /// Flows whose packets came back.
    returned: HashMap<FlowId, Timestamp>,
}

impl SpeculativeDeliveries {
    /// Notes that a balancer wants a packet to be tried. Returns whether it goes
    /// to the back end: not if another one went there a moment ago.
    pub(crate) fn note_delivered(
        &mut self,
        now: Timestamp,
        flow: FlowId,
        balancer: SocketAddrV4,
        tells_return: bool,
    ) -> bool {
        let former = self.pending.get(&flow).map(|former| former.tried_at);
        let repeated = former.filter(|at| now.saturating_since(*at) < REPEAT_PAUSE);
        let pending = PendingDelivery {
            balancer,
            report_return: tells_return,
            tried_at: repeated.unwrap_or(now),
        };
        if former.is_some() || self.pending.len() < MAX_REMEMBERED {
            self.pending.insert(flow, pending);
        }
        repeated.is_none()
    }

    /// Takes what is known of a flow whose packet is at the back end.
    pub(crate) fn take_pending(&mut self, flow: FlowId) -> Option<PendingDelivery> {
        self.pending.remove(&flow)
    }

    /// Notes that the back end does not have a flow.
    pub(crate) fn note_returned(&mut self, now: Timestamp, flow: FlowId) {
        if self.returned.len() < MAX_REMEMBERED {
            self.returned.insert(flow, now);
        }
    }

    /// Whether the back end said that it does not have a flow.
    pub(crate) fn was_returned(&self, flow: FlowId) -> bool {
        self.returned.contains_key(&flow)
    }

    /// Forgets what was known of a flow, since it opens anew.
    pub(crate) fn forget(&mut self, flow: FlowId) {
        self.returned.remove(&flow);
    }

    /// Forgets old flows; `lifetime` is that of a flow.
    pub(crate) fn expire(&mut self, now: Timestamp, lifetime: Duration) {
        let age = |at: Timestamp| now.saturating_since(at);
        self.pending
            .retain(|_, pending| age(pending.tried_at) < TRY_LIMIT);
        self.returned.retain(|_, at| age(*at) < lifetime);
    }
}
