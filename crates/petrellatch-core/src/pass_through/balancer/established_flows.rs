//! Packets of established flows.

use super::*;

impl<C: PacketCodec> PassThroughBalancer<C> {
    pub(super) fn handle_established(&mut self, now: Timestamp, view: &PacketView, packet: &[u8]) {
        let flow = view.flow_from_caller();
        if let Some(cached) = self.flow_cache.get_mut(flow) {
            cached.last_used_at = now;
            cached.syn = None;
            cached.closed |= view.fin || view.rst;
            if cached.owner.is_none() {
                let owner = cached.agent_for_ack(view.ack_number);
                cached.owner = owner.or_else(|| cached.sole_offer());
            }
            let owner = cached.owner;
            if let Some(owner) = owner.filter(|owner| self.agents.get(*owner).is_some()) {
                let service = cached.service;
                let flow_age = now.saturating_since(cached.created_at);
                let was_stalled = cached.stalled;
                cached.stalled = self.agents.is_suspected(now, owner);
                if cached.stalled && !was_stalled {
                    let subject = format!("flow={flow} agent={owner}");
                    self.emit_event(EventKind::FlowStalled, subject);
                }
                if view.data_bytes > 0 {
                    self.agents.note_request(service, flow_age);
                }
                self.counters.delivered += 1;
                self.forward(owner, service, ForwardReason::Deliver, packet.to_vec());
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
        self.send_queries(now);
    }
}
