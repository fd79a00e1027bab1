//! Packets of callers that balancers forward.

use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::{
    AgentState, DeclineReason, Declined, ForwardReason, ForwardedPacket, PassThroughBody,
    ReturnedPacket, pack_address, unpack_address,
};

use super::PassThroughAgent;
use crate::event::EventKind;
use crate::pass_through::admission::waiting_openings::Opening;
use crate::pass_through::flows::agent_flows::CallerPacket;
use crate::pass_through::output::PassThroughOutput;
use crate::pass_through::packet::{FlowId, PacketCodec, PacketView};
use crate::time::Timestamp;

impl<C: PacketCodec> PassThroughAgent<C> {
    pub(super) fn handle_carry(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        carry: ForwardedPacket,
    ) {
        let Some(view) = self.codec.view(&carry.packet) else {
            return;
        };
        let is_passed_on = carry.origin_balancer != 0;
        let from = match is_passed_on {
            true => unpack_address(carry.origin_balancer),
            false => from,
        };
        self.balancers.insert(from, now);
        let flow = view.flow_from_caller();
        let reason = carry.reason();
        match reason {
            ForwardReason::Open | ForwardReason::OpenQueued if carry.service != self.service => {
                self.decline(now, from, flow, DeclineReason::WrongService);
            }
            ForwardReason::Deliver | ForwardReason::Try if self.is_gone(&view) => {
                self.pass_on(from, &carry);
                self.tell_gone(now, from, &view);
            }
            // The packet is for the agent that had this address before.
            ForwardReason::Deliver if carry.service != self.service && !self.holds(&view) => {
                self.tell_not_held(from, &view, false);
            }
            ForwardReason::Open if self.state(now) == AgentState::Starting => {
                self.decline(now, from, flow, DeclineReason::NoBackend);
            }
            ForwardReason::Open | ForwardReason::OpenQueued => {
                self.cold_admission
                    .note_rate(carry.warm_up_millirequests_per_second);
                self.asking.note_asked(now, from);
                let opening = Opening {
                    flow,
                    balancer: from,
                    objective: Duration::from_millis(u64::from(carry.latency_objective_millis)),
                    age: Duration::from_millis(u64::from(carry.syn_age_millis)),
                    priority: carry.priority,
                    deadline: Duration::from_millis(u64::from(carry.deadline_millis)),
                    may_queue: reason == ForwardReason::OpenQueued,
                    despite_failures: carry.ignore_ejection,
                    packet: carry.packet,
                };
                self.handle_opening(now, opening);
            }
            ForwardReason::Deliver => self.deliver(now, from, &view, carry.packet),
            ForwardReason::Try => {
                self.pass_on(from, &carry);
                let tells_return = !is_passed_on && carry.relay_to.is_empty();
                self.try_flow(now, from, &view, carry.packet, tells_return);
            }
            ForwardReason::Unspecified => {}
        }
    }

    /// Whether the back end is known to own the flow of a packet.
    fn holds(&self, view: &PacketView) -> bool {
        let known = self.flows.get(view.flow_from_caller());
        known.is_some_and(|known| known.owns_ack(view.ack_number))
    }

    /// Relays a packet to the other agents that are to deliver it speculatively.
    fn pass_on(&mut self, balancer: SocketAddrV4, carry: &ForwardedPacket) {
        for other in &carry.relay_to {
            let passed_on = ForwardedPacket {
                relay_to: Vec::new(),
                origin_balancer: pack_address(balancer),
                ..carry.clone()
            };
            self.send(
                unpack_address(*other),
                PassThroughBody::ForwardedPacket(passed_on),
            );
        }
    }

    /// Delivers a packet speculatively, to find out whether the back end owns its flow. If the
    /// back end returns it, this is reported to the balancer at once with `report_return`, and
    /// in reply to its next query otherwise: if many back ends get the packet, nearly all of
    /// them return it.
    fn try_flow(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        view: &PacketView,
        packet: Vec<u8>,
        tells_return: bool,
    ) {
        let flow = view.flow_from_caller();
        if self.holds(view) {
            self.tell_held(from, flow);
            self.deliver(now, from, view, packet);
        } else if self.tried.was_returned(flow) {
            self.tell_not_held(from, view, false);
        } else if self.tried.note_delivered(now, flow, from, tells_return) {
            self.counters.tried += 1;
            self.outputs.push_back(PassThroughOutput::ToBackend(packet));
        }
    }

    /// Reports to a balancer that the back end doesn't own the flow of a packet.
    pub(super) fn tell_not_held(&mut self, to: SocketAddrV4, view: &PacketView, was_open: bool) {
        let not_held = ReturnedPacket {
            flow: view.flow_from_caller().into(),
            acknowledged: view.ack_number,
            carried_data: view.data_bytes > 0 && !view.fin,
            was_open,
        };
        self.send(to, PassThroughBody::ReturnedPacket(not_held));
    }

    pub(super) fn deliver(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        view: &PacketView,
        packet: Vec<u8>,
    ) {
        let meaning = match view {
            PacketView { rst: true, .. } => CallerPacket::Reset,
            PacketView { fin: true, .. } => CallerPacket::Fin,
            PacketView {
                data_bytes: 1.., ..
            } => CallerPacket::Request,
            _ => CallerPacket::Established,
        };
        self.counters.delivered += 1;
        let capacity = self.registration.capacity();
        let flow = view.flow_from_caller();
        self.flows
            .note_from_caller(now, flow, from, meaning, capacity);
        self.flows.note_acknowledged(flow, view, &packet);
        self.outputs.push_back(PassThroughOutput::ToBackend(packet));
    }

    /// Expected wait of a balancer for a slot, if a new flow is declined for this reason.
    fn turn(&self, now: Timestamp, reason: DeclineReason) -> Duration {
        let work = match reason {
            DeclineReason::Full => self.service_time.known_mean(),
            _ => None,
        };
        let slots = self.registration.capacity();
        work.map_or(Duration::ZERO, |work| self.asking.turn(now, work, slots))
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
        let busy = load.in_flight_requests;
        let subject = format!("flow={flow} reason={reason:?} busy={busy}");
        self.emit_event(EventKind::FlowDeclined, subject);
        let declined = Declined {
            flow: flow.into(),
            reason: reason.into(),
            load,
            expected_wait_micros: self.turn(now, reason).as_micros() as u32,
        };
        self.send(to, PassThroughBody::Declined(declined));
    }
}
