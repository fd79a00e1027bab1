//! Packets of open flows.

use super::*;

impl<C: PacketCodec> PassThroughBalancer<C> {
    pub(super) fn handle_established(&mut self, now: Timestamp, view: &PacketView, packet: &[u8]) {
        let flow = view.flow_from_caller();
        if let Some(hint) = self.hints.get_mut(flow) {
            hint.last_used_at = now;
            hint.syn = None;
            hint.closed |= view.fin || view.rst;
            if hint.owner.is_none() {
                let owner = hint.agent_for_ack(view.ack_number);
                hint.owner = owner.or_else(|| hint.sole_offer());
            }
            let owner = hint.owner;
            if let Some(owner) = owner.filter(|owner| self.agents.get(*owner).is_some()) {
                let service = hint.service;
                let flow_age = now.saturating_since(hint.created_at);
                let was_stalled = hint.stalled;
                hint.stalled = self.agents.is_suspected(now, owner);
                if hint.stalled && !was_stalled {
                    let subject = format!("flow={flow} agent={owner}");
                    self.emit_event(EventKind::FlowStalled, subject);
                }
                if view.data_bytes > 0 {
                    self.agents.note_request(service, flow_age);
                }
                self.counters.delivered += 1;
                self.carry(owner, service, ForwardReason::Deliver, packet.to_vec());
                return;
            }
        }
        let Some(service) = self.routes.service_for(flow) else {
            self.counters.no_route += 1;
            return;
        };
        self.counters.sought += 1;
        let is_new = self.searches.note_packet(now, service, view, packet);
        if is_new && is_sampled(flow) {
            let subject = format!("flow={flow} agents={}", self.agents.len());
            self.emit_event(EventKind::FlowSought, subject);
        }
        if !is_new {
            self.take_search_step(now, flow);
        }
        self.send_questions(now);
    }
}
