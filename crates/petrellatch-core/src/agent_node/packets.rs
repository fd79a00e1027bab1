//! What an agent does with a caller packet.

use petrellatch_proto::data::{DataDatagram, ForwardKind};

use crate::Timestamp;
use crate::admission::Standing;
use crate::flow::{PacketView, reset_for};
use crate::identity::{BackendId, BucketIndex, Incarnation, NodeId, ServiceId};
use crate::routing::{AgentIncarnation, BucketOwner, DropReason};

use super::agent_output::{AgentOutput, FlowId};
use super::node::AgentNode;
use super::open_flow::FlowPhase;

/// How often a packet may be passed on between agents.
pub(super) const MAX_HOPS: u32 = 4;

/// A caller packet with what was found out about it.
#[derive(Clone, Debug)]
pub(super) struct CallerPacket {
    /// The service, by the destination address.
    pub(super) service: ServiceId,
    /// The bucket of its flow.
    pub(super) bucket: BucketIndex,
    /// What its headers say.
    pub(super) view: PacketView,
    /// How it came.
    pub(super) datagram: DataDatagram,
}

impl AgentNode {
    /// Handles one datagram; an error says why the packet was dropped.
    pub(super) fn take_packet(
        &mut self,
        now: Timestamp,
        datagram: DataDatagram,
    ) -> Result<(), DropReason> {
        let view = PacketView::parse(&datagram.packet).map_err(DropReason::Malformed)?;
        if let Some(flow) = self.flows.find(&view.key)
            && !self.makes_way(now, flow, &view)
        {
            self.check_life(&datagram, true)?;
            self.deliver(now, flow, &view, &datagram);
            return Ok(());
        }
        self.check_life(&datagram, false)?;
        let packet = self.classify(view, datagram)?;
        match packet.datagram.kind() {
            ForwardKind::Placed => self.place(now, packet),
            ForwardKind::Redirected => self.send_back(&packet),
            ForwardKind::Hunted if packet.view.opens => self.take_hunted(now, packet),
            ForwardKind::Hunted => self.send_back(&packet),
            ForwardKind::NotHere => self.take_not_here(now, packet),
        }
    }

    /// Decides about a packet of a flow that this agent does not have.
    pub(super) fn place(&mut self, now: Timestamp, packet: CallerPacket) -> Result<(), DropReason> {
        if packet.view.opens
            && let Some(hunt) = self.take_unanswered_hunt(now, &packet)
        {
            self.reopen_hunt(now, hunt);
            return Ok(());
        }
        if self.follow_redirect(now, &packet)? {
            return Ok(());
        }
        let state = self
            .services
            .get(&packet.service)
            .ok_or(DropReason::UnknownService)?;
        match state.admission.standing(packet.bucket) {
            Standing::NoOwner => Err(DropReason::NoOwner),
            Standing::Elsewhere(owner) => self.pass_to_owner(&packet, owner),
            Standing::Owner(owner) if packet.view.opens => self.open_flow(now, packet, owner),
            Standing::Unsettled { previous, .. } if packet.view.opens => {
                self.ask_previous(now, packet, previous)
            }
            Standing::Owner(_) | Standing::Unsettled { .. } => self.find_holder(now, &packet),
        }
    }

    /// Sends a packet to another agent.
    pub(super) fn forward(
        &mut self,
        packet: &CallerPacket,
        recipient: AgentIncarnation,
        kind: ForwardKind,
        backend: BackendId,
        generation: u64,
    ) -> Result<(), DropReason> {
        if packet.datagram.hops >= MAX_HOPS {
            return Err(DropReason::TooManyHops);
        }
        let address = self
            .directory
            .find(recipient)
            .ok_or(DropReason::UnknownAgent)?;
        let datagram = DataDatagram {
            service: packet.service.0,
            bucket: packet.bucket.0,
            generation,
            backend: backend.0,
            incarnation: recipient.incarnation.0,
            hops: packet.datagram.hops + 1,
            kind: kind as i32,
            sender: self.identity.node.0,
            packet: packet.datagram.packet.clone(),
        };
        self.counters.forwarded += 1;
        let to = address.data;
        self.outputs
            .push_back(AgentOutput::Forward { to, datagram });
        Ok(())
    }

    /// Finds the service by the packet's own destination and checks it against
    /// what the sender says.
    pub(super) fn classify(
        &self,
        view: PacketView,
        datagram: DataDatagram,
    ) -> Result<CallerPacket, DropReason> {
        let service = self
            .service_of_address
            .get(&view.key.destination)
            .copied()
            .ok_or(DropReason::UnknownService)?;
        if service.0 != datagram.service {
            return Err(DropReason::WrongService);
        }
        let bucket = self.services[&service].admission.bucket(&view.key);
        Ok(CallerPacket {
            service,
            bucket,
            view,
            datagram,
        })
    }

    /// A new connection from the port of one that only waits for late packets
    /// replaces it.
    fn makes_way(&mut self, now: Timestamp, flow: FlowId, view: &PacketView) -> bool {
        let lingering = self.flows.get(flow).is_some_and(|it| it.is_lingering());
        if !view.opens || !lingering {
            return false;
        }
        self.end_flow(now, flow);
        true
    }

    /// Checks that a datagram is meant for this life. Packets of flows that
    /// were open before this process got a new life are taken under the former
    /// one too.
    fn check_life(&self, datagram: &DataDatagram, known: bool) -> Result<(), DropReason> {
        let life = Incarnation(datagram.incarnation);
        let present = life == self.identity.incarnation;
        let former = known && self.former_lives.contains(&life);
        if present || former || self.settings.mutations.ignore_incarnation {
            return Ok(());
        }
        Err(DropReason::WrongIncarnation)
    }

    /// Gives a packet to its flow.
    fn deliver(&mut self, now: Timestamp, id: FlowId, view: &PacketView, datagram: &DataDatagram) {
        let Some(flow) = self.flows.get_mut(id) else {
            return;
        };
        if matches!(flow.phase, FlowPhase::Connecting { .. }) {
            if view.resets {
                flow.abort(now);
            }
        } else {
            flow.handle_packet(now, &datagram.packet);
            if datagram.kind() == ForwardKind::Hunted {
                self.confirm_hunt(now, NodeId(datagram.sender), id);
            }
        }
        self.settle_flow(now, id);
    }

    /// Passes the packet to the agent that has its flow. Returns whether there
    /// is one.
    fn follow_redirect(
        &mut self,
        now: Timestamp,
        packet: &CallerPacket,
    ) -> Result<bool, DropReason> {
        let Some(state) = self.services.get_mut(&packet.service) else {
            return Ok(false);
        };
        let generation = state.admission.generation();
        let redirects = &mut state.admission.redirects;
        let key = &packet.view.key;
        let Some(redirect) = redirects.get_for_packet(now, key) else {
            return Ok(false);
        };
        if packet.view.opens && redirect.is_orphaned() {
            // The caller starts anew from the port of a flow whose agent died.
            redirects.forget(key);
            return Ok(false);
        }
        if packet.view.opens && redirect.was_just_passed(now) {
            // Doubled on its way. To ask the holder twice could bring two
            // answers that differ.
            return Err(DropReason::Repeated);
        }
        let holder = redirect.holder;
        let asked = redirect.pending.as_ref().and_then(|it| it.asked.last());
        let (kind, backend) = match asked {
            Some(backend) if packet.view.opens => (ForwardKind::Hunted, *backend),
            _ => (ForwardKind::Redirected, BackendId::default()),
        };
        self.forward(packet, holder, kind, backend, generation)?;
        Ok(true)
    }

    /// The bucket belongs to another agent by this agent's newest view.
    fn pass_to_owner(
        &mut self,
        packet: &CallerPacket,
        owner: BucketOwner,
    ) -> Result<(), DropReason> {
        let from_owner = packet.datagram.sender == owner.agent.node.0;
        if !from_owner {
            return self.forward(
                packet,
                owner.agent,
                ForwardKind::Placed,
                owner.backend,
                owner.generation,
            );
        }
        if packet.view.opens {
            // The owner waits for this agent's report, which is on its way.
            return self.send_back(packet);
        }
        let state = &self.services[&packet.service];
        let generation = packet.datagram.generation;
        let before = state.admission.owner_before(packet.bucket, generation);
        let before = before.ok_or(DropReason::Unsettled)?;
        self.forward(
            packet,
            before.agent,
            ForwardKind::Placed,
            before.backend,
            before.generation,
        )
    }

    /// A new flow in a bucket that an earlier owner has not released: that
    /// owner may still admit it, or it may be a repetition of a packet that
    /// opened a flow there.
    fn ask_previous(
        &mut self,
        now: Timestamp,
        packet: CallerPacket,
        previous: BucketOwner,
    ) -> Result<(), DropReason> {
        if packet.datagram.kind() == ForwardKind::NotHere {
            return self.maintenance.hold(now, packet);
        }
        self.forward(
            &packet,
            previous.agent,
            ForwardKind::Placed,
            previous.backend,
            previous.generation,
        )
    }

    /// A packet of an unknown flow in a bucket of this agent: another agent
    /// may have the flow and not have said so yet.
    fn find_holder(&mut self, now: Timestamp, packet: &CallerPacket) -> Result<(), DropReason> {
        let admission = &self.services[&packet.service].admission;
        let came_back = packet.datagram.kind() == ForwardKind::NotHere;
        if let Some(holder) = admission.possible_holder(now, packet.bucket)
            && !came_back
        {
            return self.forward(
                packet,
                holder.agent,
                ForwardKind::Placed,
                holder.backend,
                holder.generation,
            );
        }
        if !admission.knows_all_flows(now) {
            return Err(DropReason::Unsettled);
        }
        // Without a lease another agent may have the bucket and the flow by
        // now, and this one may not have heard of it.
        self.may_admit(now)?;
        if let Some(reset) = reset_for(&packet.datagram.packet) {
            self.counters.resets += 1;
            self.outputs.push_back(AgentOutput::Packet(reset));
        }
        Ok(())
    }

    /// Tells the agent that passed the packet here that the flow is not here.
    pub(super) fn send_back(&mut self, packet: &CallerPacket) -> Result<(), DropReason> {
        let sender = self
            .directory
            .member(NodeId(packet.datagram.sender))
            .ok_or(DropReason::UnknownAgent)?;
        let generation = packet.datagram.generation;
        self.forward(
            packet,
            sender,
            ForwardKind::NotHere,
            BackendId::default(),
            generation,
        )
    }

    /// Another agent does not have the flow that this agent takes it to have.
    fn take_not_here(&mut self, now: Timestamp, packet: CallerPacket) -> Result<(), DropReason> {
        let sender = NodeId(packet.datagram.sender);
        let state = self
            .services
            .get_mut(&packet.service)
            .ok_or(DropReason::UnknownService)?;
        let redirects = &mut state.admission.redirects;
        if !redirects.handle_not_here(now, &packet.view.key, sender) {
            return Err(DropReason::Unsettled);
        }
        self.place(now, packet)
    }
}
