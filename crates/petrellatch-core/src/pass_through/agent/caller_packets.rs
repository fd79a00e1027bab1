//! Packets of callers, as balancers hand them over.

use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::{
    AgentState, Carry, CarryReason, DeclineReason, Declined, PassThroughBody, Seek,
};

use super::PassThroughAgent;
use crate::event::EventKind;
use crate::pass_through::agent_flows::CallerPacket;
use crate::pass_through::output::PassThroughOutput;
use crate::pass_through::packet::{FlowId, PacketCodec, PacketView};
use crate::time::Timestamp;

impl<C: PacketCodec> PassThroughAgent<C> {
    pub(super) fn handle_carry(&mut self, now: Timestamp, from: SocketAddrV4, carry: Carry) {
        let Some(view) = self.codec.view(&carry.packet) else {
            return;
        };
        self.balancers.insert(from, now);
        let flow = view.flow_from_caller();
        let reason = carry.reason();
        let opens = matches!(reason, CarryReason::Open | CarryReason::OpenQueued);
        if carry.service != self.service {
            if opens {
                self.decline(now, from, flow, DeclineReason::WrongService);
            }
            return;
        }
        match reason {
            CarryReason::Open if self.state(now) == AgentState::Starting => {
                self.decline(now, from, flow, DeclineReason::NoBackend);
            }
            CarryReason::Open => self.admit(now, from, flow, carry.packet, 1),
            CarryReason::OpenQueued => {
                let objective = Duration::from_millis(u64::from(carry.objective_millis));
                let minimum = self.settings.queue_factor;
                let factor = self.service_time.queue_factor(objective, minimum);
                self.admit(now, from, flow, carry.packet, factor);
            }
            CarryReason::Deliver => self.deliver(now, from, &view, carry.packet),
            CarryReason::Unspecified => {}
        }
    }

    pub(super) fn handle_seek(&mut self, now: Timestamp, from: SocketAddrV4, seek: &Seek) {
        self.balancers.insert(from, now);
        let flow = FlowId::from(seek.flow);
        let known = self.flows.get(flow);
        if known.is_some_and(|flow| flow.owns(seek.acknowledged)) {
            self.tell_held(from, flow);
        }
    }

    /// Admits a new flow if the back end has fewer than `factor` requests for
    /// each slot.
    pub(super) fn admit(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        flow: FlowId,
        packet: Vec<u8>,
        factor: u32,
    ) {
        self.flows.release_half_open(now);
        let known = self.flows.get(flow).is_some();
        let limit = self.registration.capacity().saturating_mul(factor);
        let refusal = match self.state(now) {
            AgentState::Empty => Some(DeclineReason::NoBackend),
            AgentState::Draining => Some(DeclineReason::Draining),
            AgentState::Ready | AgentState::Starting => {
                let is_full = !known && self.flows.busy() >= limit;
                is_full.then_some(DeclineReason::Full)
            }
        };
        if let Some(reason) = refusal {
            self.decline(now, from, flow, reason);
            return;
        }
        self.counters.admitted += 1;
        let capacity = self.registration.capacity();
        self.flows
            .note_from_caller(now, flow, from, CallerPacket::Opening, capacity);
        self.outputs.push_back(PassThroughOutput::ToBackend(packet));
    }

    pub(super) fn deliver(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        view: &PacketView,
        packet: Vec<u8>,
    ) {
        let meaning = match view {
            PacketView { finish: true, .. } | PacketView { reset: true, .. } => CallerPacket::End,
            PacketView {
                data_bytes: 1.., ..
            } => CallerPacket::Request,
            _ => CallerPacket::Established,
        };
        self.counters.delivered += 1;
        let capacity = self.registration.capacity();
        self.flows
            .note_from_caller(now, view.flow_from_caller(), from, meaning, capacity);
        self.outputs.push_back(PassThroughOutput::ToBackend(packet));
    }

    pub(super) fn decline(
        &mut self,
        now: Timestamp,
        to: SocketAddrV4,
        flow: FlowId,
        reason: DeclineReason,
    ) {
        *self.counters.declined.entry(reason).or_default() += 1;
        let load = self.load_message(now);
        let busy = load.busy;
        let subject = format!("flow={flow} reason={reason:?} busy={busy}");
        self.emit_event(EventKind::FlowDeclined, subject);
        let declined = Declined {
            flow: flow.into(),
            reason: reason.into(),
            load,
        };
        self.send(to, PassThroughBody::Declined(declined));
    }
}
