//! Speculative deliveries: packets of unknown flows that an agent sends to its back end to
//! find out whether it owns them.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::time::Timestamp;

use crate::pass_through::packet::FlowId;

/// Minimum interval between speculative deliveries of one flow.
const REPEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a delivery is forgotten. A back end that has neither responded nor
/// returned the packet by then hasn't received it.
const DELIVERY_TTL: Duration = Duration::from_secs(3);
/// Maximum number of stored flows of each kind. Packets of further flows may be delivered
/// repeatedly.
const MAX_FLOWS: usize = 1 << 16;

/// A flow whose packet is at the back end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingDelivery {
    /// Balancer that requested the delivery.
    pub(crate) balancer: SocketAddrV4,
    /// Whether the balancer is to be notified at once if the packet is returned.
    pub(crate) report_return: bool,
    delivered_at: Timestamp,
}

/// Flows with a speculative delivery, and those that the back end doesn't own.
#[derive(Debug, Default)]
pub(crate) struct SpeculativeDeliveries {
    /// Flows whose packet got no response and wasn't returned yet.
    pending: HashMap<FlowId, PendingDelivery>,
    /// Flows whose packets were returned.
    returned: HashMap<FlowId, Timestamp>,
}

impl SpeculativeDeliveries {
    /// Records a balancer's request for a speculative delivery. Returns whether the packet goes
    /// to the back end: not if another one of the flow was delivered a moment ago.
    pub(crate) fn note_delivered(
        &mut self,
        now: Timestamp,
        flow: FlowId,
        balancer: SocketAddrV4,
        report_return: bool,
    ) -> bool {
        let previous = self
            .pending
            .get(&flow)
            .map(|previous| previous.delivered_at);
        let repeated = previous.filter(|at| now.saturating_since(*at) < REPEAT_INTERVAL);
        let pending = PendingDelivery {
            balancer,
            report_return,
            delivered_at: repeated.unwrap_or(now),
        };
        if previous.is_some() || self.pending.len() < MAX_FLOWS {
            self.pending.insert(flow, pending);
        }
        repeated.is_none()
    }

    /// Takes the state of a flow whose packet is at the back end.
    pub(crate) fn take_pending(&mut self, flow: FlowId) -> Option<PendingDelivery> {
        self.pending.remove(&flow)
    }

    /// Records that the back end doesn't own a flow.
    pub(crate) fn note_returned(&mut self, now: Timestamp, flow: FlowId) {
        if self.returned.len() < MAX_FLOWS {
            self.returned.insert(flow, now);
        }
    }

    /// Whether the back end returned a packet of the flow.
    pub(crate) fn was_returned(&self, flow: FlowId) -> bool {
        self.returned.contains_key(&flow)
    }

    /// Forgets that a packet of the flow was returned, as the flow is opened anew.
    pub(crate) fn forget(&mut self, flow: FlowId) {
        self.returned.remove(&flow);
    }

    /// Forgets old flows; `flow_ttl` is the maximum lifetime of a flow.
    pub(crate) fn expire(&mut self, now: Timestamp, flow_ttl: Duration) {
        let age = |at: Timestamp| now.saturating_since(at);
        self.pending
            .retain(|_, pending| age(pending.delivered_at) < DELIVERY_TTL);
        self.returned.retain(|_, at| age(*at) < flow_ttl);
    }
}
