//! Packets that the back end sends or returns.

use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::{
    Accepted, DeclineReason, FlowsOwned, OwnedFlow, PassThroughBody,
};

use super::PassThroughAgent;
use crate::event::EventKind;
use crate::pass_through::flows::agent_flows::{AgentFlow, BackendPacket};
use crate::pass_through::output::PassThroughOutput;
use crate::pass_through::packet::{FlowId, PacketCodec, PacketView};
use crate::time::Timestamp;

/// A back end takes at least this long to restart. If it returns a packet of a flow that was
/// admitted more recently, the same incarnation has accepted that flow.
const MIN_RESTART_TIME: Duration = Duration::from_millis(500);

impl<C: PacketCodec> PassThroughAgent<C> {
    /// Handles a packet from the back end.
    pub fn handle_backend_packet(&mut self, now: Timestamp, packet: &[u8]) {
        self.process_backend_packet(now, packet);
        self.serve_queue(now);
    }

    /// Whether no back end has registered yet, so that a refusal by its address would show that
    /// none ran.
    pub fn awaits_backend_refusal(&self) -> bool {
        !self.registration.is_registered() && !self.registration.was_absent()
    }

    /// Handles the refusal of a packet by the address of the back end: no process receives
    /// packets there. Speculative deliveries are reported with the replies to the next queries.
    pub fn handle_refused_packet(&mut self, now: Timestamp) {
        if !self.awaits_backend_refusal() {
            return;
        }
        self.registration.note_refused_packet();
        let subject = self.settings.service.clone();
        self.emit_event(EventKind::BackendAbsent, subject);
        self.report_if_changed(now);
        self.serve_queue(now);
        self.continue_stop(now);
    }

    fn process_backend_packet(&mut self, now: Timestamp, packet: &[u8]) {
        let Some(view) = self.codec.view(packet) else {
            self.counters.malformed += 1;
            return;
        };
        if view.returned {
            self.counters.returned += 1;
            self.handle_returned(now, &view);
            self.report_if_changed(now);
            return;
        }
        self.registration.note_alive(now);
        let flow = view.flow_from_backend();
        let pending_delivery = self.speculative_deliveries.take_pending(flow);
        self.outputs.push_back(PassThroughOutput::ToCaller {
            address: *flow.caller.ip(),
            packet: packet.to_vec(),
        });
        match view.syn {
            true => self.previous.forget(flow),
            false => self.previous.note_alive(flow),
        }
        let known = self.flows.get(flow);
        let was_accepted = known.is_some_and(|flow| flow.sequence.is_some());
        let packet_kind = match view {
            PacketView { rst: true, .. } => {
                if known.is_some_and(AgentFlow::has_pending_request) {
                    self.note_failure(now, flow);
                }
                self.flows.remove(now, flow);
                return;
            }
            PacketView {
                syn: true,
                sequence_number: sequence,
                ..
            } => BackendPacket::SynAck { sequence },
            PacketView { fin: true, .. } => BackendPacket::Fin,
            PacketView {
                data_bytes: 1.., ..
            } => BackendPacket::Response,
            _ => BackendPacket::Established,
        };
        let processing_time = self.flows.note_from_backend(now, flow, packet_kind);
        self.flows.note_sent(flow, view.next_sequence());
        if let Some(time) = processing_time {
            self.processing_time.record(time);
            self.reported_processing_time
                .record(time, self.registration.is_cold(now));
            if self.outlier_detector.note_response(now) {
                let subject = self.settings.service.clone();
                self.emit_event(EventKind::BackendRecovered, subject);
            }
        }
        self.report_if_changed(now);
        if let Some(pending) = pending_delivery {
            self.send_owned(pending.balancer, flow);
        }
        if view.syn && !was_accepted {
            let admitted_at = self.flows.get(flow).map(|flow| flow.created_at);
            let time = now.saturating_since(admitted_at.unwrap_or(now));
            self.latencies.first_response.record(time);
            self.send_accepted(now, flow, view.sequence_number);
        }
    }

    /// Handles a packet that the back end returned without processing any of it.
    pub(super) fn handle_returned(&mut self, now: Timestamp, view: &PacketView) {
        let id = view.flow_from_caller();
        if !view.is_syn() {
            self.speculative_deliveries.note_returned(now, id);
        }
        let is_orphaned = self.note_returned_probe(now, view);
        self.handle_returned_flow(now, view, is_orphaned);
        self.continue_restart_probes(now);
    }

    fn handle_returned_flow(&mut self, now: Timestamp, view: &PacketView, is_orphaned: bool) {
        let id = view.flow_from_caller();
        if let Some(pending) = self.speculative_deliveries.take_pending(id) {
            if pending.report_return || is_orphaned {
                self.send_returned_packet(pending.balancer, view, is_orphaned);
            }
            return;
        }
        let Some(flow) = self.flows.remove(now, id) else {
            return;
        };
        let Some(balancer) = flow.last_balancer else {
            return;
        };
        if view.is_syn() {
            self.registration.note_returned_syn();
            self.decline(now, balancer, id, DeclineReason::Returned);
        } else {
            self.emit_event(EventKind::PacketReturned, format!("flow={id}"));
            let was_open = flow.sequence.is_some() && flow.owns_ack(view.ack_number);
            let is_recent = now.saturating_since(flow.created_at) < MIN_RESTART_TIME;
            if was_open && is_recent && view.data_bytes > 0 {
                self.note_failure(now, id);
            }
            self.send_returned_packet(balancer, view, was_open);
        }
    }

    /// Notes that the back end accepted a flow and failed its request.
    fn note_failure(&mut self, now: Timestamp, flow: FlowId) {
        if self.outlier_detector.note_failure(now, *flow.caller.ip()) {
            let left_out = self.outlier_detector.remaining_ejection(now).as_millis();
            let subject = format!("flow={flow} left_out={left_out}");
            self.emit_event(EventKind::BackendLeftOut, subject);
        }
    }

    pub(super) fn send_accepted(&mut self, now: Timestamp, id: FlowId, sequence: u32) {
        let balancer = self.flows.get(id).and_then(|flow| flow.last_balancer);
        let Some(balancer) = balancer else { return };
        let load = self.load_message(now);
        let accepted = Accepted {
            flow: id.into(),
            sequence,
            load,
        };
        self.send(balancer, PassThroughBody::Accepted(accepted));
    }

    pub(super) fn send_owned(&mut self, to: SocketAddrV4, id: FlowId) {
        let sequence = self.flows.get(id).and_then(|flow| flow.sequence);
        let owned = OwnedFlow {
            flow: id.into(),
            sequence,
        };
        self.send(
            to,
            PassThroughBody::FlowsOwned(FlowsOwned { flows: vec![owned] }),
        );
    }
}
