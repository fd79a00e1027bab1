//! Packets of open flows, and the search for flows that are not known.

use super::*;

impl<C: PacketCodec> PassThroughBalancer<C> {
    pub(super) fn handle_established(&mut self, now: Timestamp, view: &PacketView, packet: &[u8]) {
        let flow = view.flow_from_caller();
        if let Some(hint) = self.hints.get_mut(flow) {
            hint.used_at = now;
            hint.opening = None;
            hint.ended |= view.finish || view.reset;
            if hint.owner.is_none() {
                let owner = hint.acknowledged(view.acknowledged);
                hint.owner = owner.or_else(|| hint.sole_candidate());
            }
            if let Some(owner) = hint.owner {
                let service = hint.service;
                let was_stalled = hint.stalled;
                hint.stalled = self.agents.is_suspected(now, owner);
                if hint.stalled && !was_stalled {
                    let subject = format!("flow={flow} agent={owner}");
                    self.emit_event(EventKind::FlowStalled, subject);
                }
                self.counters.delivered += 1;
                self.carry(owner, service, CarryReason::Deliver, packet.to_vec());
                return;
            }
        }
        let Some(service) = self.routes.service_for(flow) else {
            self.counters.no_route += 1;
            return;
        };
        self.seek(now, view, service, packet);
    }

    /// Asks the agents who has a flow; its packet waits for the answer. A flow
    /// that its agent forgot is known again with the next packet of its back
    /// end. It is not offered to back ends on trial: packets that wander over
    /// back ends are worse than a caller that waits.
    fn seek(&mut self, now: Timestamp, view: &PacketView, service: u64, packet: &[u8]) {
        self.counters.sought += 1;
        if self.hints.is_full() {
            return;
        }
        let flow = view.flow_from_caller();
        let all = self.agents.len() <= SEEK_ALL_LIMIT;
        let agents = self.agents.addresses((!all).then_some(service));
        let hint = self.hints.entry(now, flow, service);
        let is_due = now >= hint.seek_at;
        hint.waiting = Some(packet.to_vec());
        if is_due && self.seek_budget.take(now, agents.len()) {
            hint.seek_at = now + FIRST_SEEK_PAUSE * (1 << hint.seeks.min(MAX_SEEK_DOUBLINGS));
            hint.seeks += 1;
            let seek = Seek {
                flow: flow.into(),
                acknowledged: view.acknowledged,
            };
            if is_sampled(flow) {
                let subject = format!("flow={flow} agents={}", agents.len());
                self.emit_event(EventKind::FlowSought, subject);
            }
            for (agent, _) in &agents {
                self.send(*agent, PassThroughBody::Seek(seek.clone()));
            }
        }
    }

    pub(super) fn handle_holds(&mut self, now: Timestamp, from: SocketAddrV4, holds: &Holds) {
        self.note_heard(now, from, None);
        let Some(service) = self.agents.get(from).map(|agent| agent.service) else {
            return;
        };
        for held in &holds.flows {
            let hint = self.hints.entry(now, held.flow.into(), service);
            hint.owner = Some(from);
            hint.service = service;
            if let Some(packet) = hint.waiting.take() {
                self.counters.delivered += 1;
                self.carry(from, service, CarryReason::Deliver, packet);
            }
        }
    }

    pub(super) fn handle_not_held(&mut self, from: SocketAddrV4, not_held: &NotHeld) {
        let Some(hint) = self.hints.get_mut(not_held.flow.into()) else {
            return;
        };
        if hint.owner == Some(from) {
            hint.owner = None;
        }
        match hint.candidate_mut(from) {
            Some(candidate) => candidate.state = CandidateState::Declined,
            None => hint.candidates.push(Candidate {
                agent: from,
                state: CandidateState::Declined,
            }),
        }
    }
}
