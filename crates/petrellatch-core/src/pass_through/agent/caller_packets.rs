//! Packets of callers that balancers forward.

use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::{
    AgentState, DeclineReason, Declined, ForwardReason, ForwardedPacket, PassThroughBody,
    ReturnedPacket, pack_address, unpack_address,
};

use super::PassThroughAgent;
use crate::event::EventKind;
use crate::pass_through::admission::admission_queue::NewFlow;
use crate::pass_through::flows::agent_flows::CallerPacket;
use crate::pass_through::output::PassThroughOutput;
use crate::pass_through::packet::{FlowId, PacketCodec, PacketView};
use crate::time::Timestamp;

impl<C: PacketCodec> PassThroughAgent<C> {
    pub(super) fn handle_forwarded_packet(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        forwarded: ForwardedPacket,
    ) {
        let Some(view) = self.codec.view(&forwarded.packet) else {
            return;
        };
        let is_relayed = forwarded.origin_balancer != 0;
        let from = match is_relayed {
            true => unpack_address(forwarded.origin_balancer),
            false => from,
        };
        self.balancers.insert(from, now);
        let flow = view.flow_from_caller();
        let reason = forwarded.reason();
        match reason {
            ForwardReason::Open | ForwardReason::OpenQueued
                if forwarded.service != self.service =>
            {
                self.decline(now, from, flow, DeclineReason::WrongService);
            }
            ForwardReason::Deliver | ForwardReason::Try if self.is_orphaned(&view) => {
                self.relay_packet(from, &forwarded);
                self.send_orphaned(now, from, &view);
            }
            // The packet is for the agent that had this address before.
            ForwardReason::Deliver
                if forwarded.service != self.service && !self.owns_flow(&view) =>
            {
                self.send_returned_packet(from, &view, false);
            }
            ForwardReason::Open if self.state(now) == AgentState::Starting => {
                self.decline(now, from, flow, DeclineReason::NoBackend);
            }
            ForwardReason::Open | ForwardReason::OpenQueued => {
                self.warm_up_limiter
                    .note_rate(forwarded.warm_up_millirequests_per_second);
                self.competing_balancers.note_offer(now, from);
                let new_flow = NewFlow {
                    flow,
                    balancer: from,
                    latency_objective: Duration::from_millis(u64::from(
                        forwarded.latency_objective_millis,
                    )),
                    syn_age: Duration::from_millis(u64::from(forwarded.syn_age_millis)),
                    priority: forwarded.priority,
                    deadline: Duration::from_millis(u64::from(forwarded.deadline_millis)),
                    may_queue: reason == ForwardReason::OpenQueued,
                    ignore_ejection: forwarded.ignore_ejection,
                    packet: forwarded.packet,
                };
                self.handle_new_flow(now, new_flow);
            }
            ForwardReason::Deliver => self.deliver(now, from, &view, forwarded.packet),
            ForwardReason::Try => {
                self.relay_packet(from, &forwarded);
                let report_return = !is_relayed && forwarded.relay_to.is_empty();
                self.deliver_speculatively(now, from, &view, forwarded.packet, report_return);
            }
            ForwardReason::Unspecified => {}
        }
    }

    /// Whether the back end is known to own the flow of a packet.
    fn owns_flow(&self, view: &PacketView) -> bool {
        let known = self.flows.get(view.flow_from_caller());
        known.is_some_and(|known| known.owns_ack(view.ack_number))
    }

    /// Relays a packet to the other agents that are to deliver it speculatively.
    fn relay_packet(&mut self, balancer: SocketAddrV4, forwarded: &ForwardedPacket) {
        for other in &forwarded.relay_to {
            let relayed = ForwardedPacket {
                relay_to: Vec::new(),
                origin_balancer: pack_address(balancer),
                ..forwarded.clone()
            };
            self.send(
                unpack_address(*other),
                PassThroughBody::ForwardedPacket(relayed),
            );
        }
    }

    /// Delivers a packet speculatively, to find out whether the back end owns its flow. If the
    /// back end returns it, this is reported to the balancer at once with `report_return`, and
    /// in reply to its next query otherwise: if many back ends get the packet, nearly all of
    /// them return it.
    fn deliver_speculatively(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        view: &PacketView,
        packet: Vec<u8>,
        report_return: bool,
    ) {
        let flow = view.flow_from_caller();
        if self.owns_flow(view) {
            self.send_owned(from, flow);
            self.deliver(now, from, view, packet);
        } else if self.speculative_deliveries.was_returned(flow) {
            self.send_returned_packet(from, view, false);
        } else if self
            .speculative_deliveries
            .note_delivered(now, flow, from, report_return)
        {
            self.counters.tried += 1;
            self.outputs.push_back(PassThroughOutput::ToBackend(packet));
        }
    }

    /// Reports to a balancer that the back end doesn't own the flow of a packet.
    pub(super) fn send_returned_packet(
        &mut self,
        to: SocketAddrV4,
        view: &PacketView,
        was_open: bool,
    ) {
        let returned = ReturnedPacket {
            flow: view.flow_from_caller().into(),
            acknowledged: view.ack_number,
            carried_data: view.data_bytes > 0 && !view.fin,
            was_open,
        };
        self.send(to, PassThroughBody::ReturnedPacket(returned));
    }

    pub(super) fn deliver(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        view: &PacketView,
        packet: Vec<u8>,
    ) {
        let packet_kind = match view {
            PacketView { rst: true, .. } => CallerPacket::Reset,
            PacketView { fin: true, .. } => CallerPacket::Fin,
            PacketView {
                data_bytes: 1.., ..
            } => CallerPacket::Request,
            _ => CallerPacket::Established,
        };
        self.counters.delivered += 1;
        let slots = self.registration.slots();
        let flow = view.flow_from_caller();
        self.flows
            .note_from_caller(now, flow, from, packet_kind, slots);
        self.flows.note_acknowledged(flow, view, &packet);
        self.outputs.push_back(PassThroughOutput::ToBackend(packet));
    }

    /// Expected wait of a balancer for a slot, if a new flow is declined for this reason; zero
    /// unless the back end is full and its processing time is known.
    fn expected_wait(&self, now: Timestamp, reason: DeclineReason) -> Duration {
        let processing_time = match reason {
            DeclineReason::Full => self.processing_time.known_mean(),
            _ => None,
        };
        let slots = self.registration.slots();
        processing_time.map_or(Duration::ZERO, |time| {
            self.competing_balancers.expected_wait(now, time, slots)
        })
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
        let in_flight = load.in_flight_requests;
        let subject = format!("flow={flow} reason={reason:?} busy={in_flight}");
        self.emit_event(EventKind::FlowDeclined, subject);
        let declined = Declined {
            flow: flow.into(),
            reason: reason.into(),
            load,
            expected_wait_micros: self.expected_wait(now, reason).as_micros() as u32,
        };
        self.send(to, PassThroughBody::Declined(declined));
    }
}
