//! New flows that are passed to another agent with more room.

use petrellatch_proto::admission::HuntReply;
use petrellatch_proto::data::ForwardKind;
use petrellatch_proto::envelope::Body;

use crate::Timestamp;
use crate::admission::{PeerCandidate, PendingHunt};
use crate::flow::PacketView;
use crate::identity::{BackendId, NodeId, ServiceId};
use crate::routing::{AgentIncarnation, DropReason};

use super::agent_output::FlowId;
use super::control_messages::key_of;
use super::node::AgentNode;
use super::open_flow::FlowOrigin;
use super::packets::CallerPacket;

impl AgentNode {
    /// Admits or refuses a flow that its owner passed here.
    pub(super) fn take_hunted(
        &mut self,
        now: Timestamp,
        packet: CallerPacket,
    ) -> Result<(), DropReason> {
        let backend = BackendId(packet.datagram.backend);
        let owner = NodeId(packet.datagram.sender);
        let has_room = self.check_room(now, backend).is_ok();
        let key = packet.view.key;
        let repeated = self.maintenance.refused_hunts.contains(now, key, backend);
        let refused = repeated || self.may_admit(now).is_err() || !has_room;
        if refused || !self.serves(backend, &packet) {
            self.refuse_hunt(now, owner, &packet, backend);
            return Ok(());
        }
        self.counters.hunted_in += 1;
        self.admit(
            now,
            packet,
            backend,
            FlowOrigin::Hunted { owner },
            Vec::new(),
        );
        Ok(())
    }

    /// Tells the owner that the flow it passed here was admitted.
    pub(super) fn confirm_hunt(&mut self, now: Timestamp, owner: NodeId, id: FlowId) {
        let Some(flow) = self.flows.get(id) else {
            return;
        };
        let reply = HuntReply {
            service: flow.service.0,
            source: flow.key.source.into(),
            admitted: true,
            load: None,
        };
        self.send_hunt_reply(now, owner, flow.backend, reply);
    }

    /// Tells the owner that the flow it passed here is refused.
    pub(super) fn refuse_hunt(
        &mut self,
        now: Timestamp,
        owner: NodeId,
        packet: &CallerPacket,
        backend: BackendId,
    ) {
        let key = packet.view.key;
        self.maintenance.refused_hunts.insert(now, key, backend);
        let reply = HuntReply {
            service: packet.service.0,
            source: key.source.into(),
            admitted: false,
            load: None,
        };
        self.send_hunt_reply(now, owner, backend, reply);
    }

    /// Passes a new flow to another agent and remembers where it went.
    pub(super) fn pass(
        &mut self,
        now: Timestamp,
        packet: CallerPacket,
        candidate: PeerCandidate,
        mut asked: Vec<BackendId>,
    ) -> Result<(), DropReason> {
        let Some(state) = self.services.get_mut(&packet.service) else {
            return Err(DropReason::UnknownService);
        };
        asked.push(candidate.backend);
        state.loads.note_passed(&candidate);
        let pending = PendingHunt {
            opening: packet.datagram.packet.clone(),
            asked,
        };
        let redirects = &mut state.admission.redirects;
        redirects.insert_pending(now, packet.view.key, candidate.agent, pending);
        let generation = state.admission.generation();
        self.counters.hunted += 1;
        self.forward(
            &packet,
            candidate.agent,
            ForwardKind::Hunted,
            candidate.backend,
            generation,
        )
    }

    /// Takes the answer of the agent that a flow was passed to.
    pub(super) fn handle_hunt_reply(
        &mut self,
        now: Timestamp,
        sender: AgentIncarnation,
        reply: &HuntReply,
    ) {
        let Some(state) = self.services.get_mut(&ServiceId(reply.service)) else {
            return;
        };
        if let Some(load) = &reply.load {
            state.loads.handle_report(sender, load);
        }
        let key = key_of(state, reply.source.into());
        if reply.admitted {
            state.admission.redirects.confirm(&key, sender);
            return;
        }
        let refused = state.admission.redirects.take_refused(&key, sender);
        let Some(hunt) = refused else {
            return;
        };
        if let Some(backend) = hunt.asked.last() {
            state.loads.note_refused(now, *backend);
        }
        self.reopen_hunt(now, hunt);
    }

    /// Takes back a flow that was passed to an agent which has said nothing
    /// since. The caller has repeated its opening packet, so that agent is
    /// dead or can't be reached.
    pub(super) fn take_unanswered_hunt(
        &mut self,
        now: Timestamp,
        packet: &CallerPacket,
    ) -> Option<PendingHunt> {
        let state = self.services.get_mut(&packet.service)?;
        let redirects = &mut state.admission.redirects;
        let redirect = redirects.get(&packet.view.key)?;
        let asked = *redirect.pending.as_ref()?.asked.last()?;
        if redirect.was_just_passed(now) || !state.loads.is_silent(asked) {
            return None;
        }
        state.loads.note_silent(now, asked);
        redirects.take_pending(&packet.view.key)
    }

    /// Decides again about a flow that the agent it was passed to did not
    /// admit.
    pub(super) fn reopen_hunt(&mut self, now: Timestamp, hunt: PendingHunt) {
        let Ok(view) = PacketView::parse(&hunt.opening) else {
            return;
        };
        let service = self.service_of_address.get(&view.key.destination);
        let state = service.and_then(|service| self.services.get(service));
        let Some(state) = state else {
            return;
        };
        let bucket = state.admission.bucket(&view.key);
        let owner = state.admission.newest().and_then(|it| it.owner(bucket));
        let backend = owner.map_or(BackendId::default(), |owner| owner.backend);
        if let Some(packet) = self.reconstruct(backend, hunt.opening) {
            self.reopen_flow(now, packet, backend, hunt.asked);
        }
    }

    fn send_hunt_reply(
        &mut self,
        now: Timestamp,
        owner: NodeId,
        backend: BackendId,
        mut reply: HuntReply,
    ) {
        let closed = self.check_room(now, backend).is_err();
        if let Some(local) = self.backends.get_mut(&backend) {
            reply.load = Some(local.load(now, closed));
        }
        if let Some(recipient) = self.directory.member(owner) {
            self.send(recipient, Body::HuntReply(reply));
        }
    }
}
