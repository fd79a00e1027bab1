//! Admission of a new flow: here, at another agent, or not at all.

use rand::RngExt;

use crate::Timestamp;
use crate::admission::{PeerCandidate, Refusal, RefusalReason, Standing};
use crate::flow::reset_for;
use crate::identity::{BackendId, ServiceId};
use crate::routing::{BucketOwner, DropReason};

use super::agent_output::AgentOutput;
use super::node::{AgentNode, StopPhase};
use super::open_flow::{FlowOrigin, FlowPhase, OpenFlow};
use super::packets::CallerPacket;

/// How many back ends are asked for one flow.
const ASK_LIMIT: usize = 3;

/// How many refused flows are answered at a time; others are reset.
const REFUSING_LIMIT: usize = 1_024;

/// What is to be done about a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Decision {
    /// It is admitted at this back end of the agent.
    Here(BackendId),
    /// It is passed to another agent.
    Pass(PeerCandidate),
    /// It is refused.
    Refuse(RefusalReason),
}

impl AgentNode {
    /// Decides about a new flow in a settled bucket of this agent.
    pub(super) fn open_flow(
        &mut self,
        now: Timestamp,
        packet: CallerPacket,
        owner: BucketOwner,
    ) -> Result<(), DropReason> {
        if !self.serves(owner.backend, &packet) {
            return Err(DropReason::WrongBackend);
        }
        if self.may_admit(now).is_err() {
            // Nobody else admits in this bucket as far as this agent knows, so
            // the caller is told at once.
            self.refuse(now, packet, RefusalReason::NoLease);
            return Ok(());
        }
        self.carry_out(now, packet, owner.backend, Vec::new())
    }

    /// Decides again about a new flow after the back ends in `asked` could not
    /// take it. The flow has not reached any back end.
    pub(super) fn reopen_flow(
        &mut self,
        now: Timestamp,
        packet: CallerPacket,
        backend: BackendId,
        asked: Vec<BackendId>,
    ) {
        if self.flows.find(&packet.view.key).is_some() {
            // Another owner has passed the flow here in the meantime.
            return;
        }
        let owned = self.owns(&packet);
        let outcome = match (owned, self.may_admit(now)) {
            (false, _) => self.place(now, packet),
            (true, Err(_)) => {
                self.refuse(now, packet, RefusalReason::NoLease);
                Ok(())
            }
            (true, Ok(())) => self.carry_out(now, packet, backend, asked),
        };
        if let Err(reason) = outcome {
            self.counters.count_drop(reason);
        }
    }

    /// Returns whether a back end can take one more flow.
    pub(super) fn check_room(
        &mut self,
        now: Timestamp,
        backend: BackendId,
    ) -> Result<(), RefusalReason> {
        if self.stop != StopPhase::Running {
            return Err(RefusalReason::Leaving);
        }
        let local = self.backends.get(&backend);
        let local = local.ok_or(RefusalReason::Unreachable)?;
        match local.withdrawal(now) {
            Some(reason) if self.follows_withdrawal(backend) => Err(reason),
            _ => local.check(now),
        }
    }

    /// Returns whether a back end that is withdrawn gets nothing new. At most
    /// half of the back ends of a service are withdrawn at a time, whatever
    /// they say and however they fail, so that endpoints that mislead and
    /// requests that no back end survives can't end the service.
    fn follows_withdrawal(&self, backend: BackendId) -> bool {
        let local = self.backends.get(&backend);
        let service = local.map(|local| ServiceId(local.record.service));
        let state = service.and_then(|service| self.services.get(&service));
        let Some(state) = state else {
            return true;
        };
        let others = state.candidates.iter().map(|it| it.backend);
        let before = others.filter(|it| *it < backend && state.loads.is_withdrawn(*it));
        let most = (state.candidates.len() / 2).max(1);
        before.count() < most
    }

    /// Refuses a new flow at once.
    pub(super) fn refuse(&mut self, now: Timestamp, packet: CallerPacket, reason: RefusalReason) {
        self.counters.count_refusal(reason);
        let answer = self.refusal_answer(now, packet.service);
        let Some(answer) = answer.filter(|_| self.refusing < REFUSING_LIMIT) else {
            let reset = reset_for(&packet.datagram.packet);
            self.outputs.extend(reset.map(AgentOutput::Packet));
            return;
        };
        let mut flow = OpenFlow::refusing(now, packet.view.key, packet.service, answer);
        let seed = self.random.random();
        flow.accept(now, &packet.datagram.packet, self.settings.buffers, seed);
        let id = self.flows.insert(flow);
        self.settle_flow(now, id);
    }

    /// Returns what a refused caller of the service gets, none for a reset.
    pub(super) fn refusal_answer(&self, now: Timestamp, service: ServiceId) -> Option<Vec<u8>> {
        let state = self.services.get(&service)?;
        let local = self.backends.values();
        let waits = local
            .filter(|it| it.record.service == service.0)
            .map(|it| it.expected_wait(now));
        let wait = waits.min().unwrap_or_default();
        Refusal::of(&state.record, wait).answer()
    }

    fn carry_out(
        &mut self,
        now: Timestamp,
        packet: CallerPacket,
        backend: BackendId,
        asked: Vec<BackendId>,
    ) -> Result<(), DropReason> {
        let decision = self.decide(now, &packet, backend, &asked);
        let refused = matches!(decision, Decision::Refuse(_));
        if asked.is_empty()
            && !refused
            && let Some(state) = self.services.get_mut(&packet.service)
        {
            state.rate.take(now);
        }
        match decision {
            Decision::Here(backend) => {
                self.admit(now, packet, backend, FlowOrigin::Owner, asked);
                Ok(())
            }
            Decision::Pass(candidate) => self.pass(now, packet, candidate, asked),
            Decision::Refuse(reason) => {
                self.refuse(now, packet, reason);
                Ok(())
            }
        }
    }

    fn decide(
        &mut self,
        now: Timestamp,
        packet: &CallerPacket,
        backend: BackendId,
        asked: &[BackendId],
    ) -> Decision {
        let Some(state) = self.services.get_mut(&packet.service) else {
            return Decision::Refuse(RefusalReason::Unreachable);
        };
        if !state.admission.admits() {
            return Decision::Refuse(RefusalReason::NoBackend);
        }
        if asked.is_empty() && !state.rate.has_token(now) {
            return Decision::Refuse(RefusalReason::RateLimit);
        }
        let tried = asked.contains(&backend);
        let room = if tried {
            Err(RefusalReason::Unreachable)
        } else {
            self.check_room(now, backend)
        };
        let others = self.others(now, packet, backend, asked);
        let free = room.is_ok() && self.has_free_slot(now, backend);
        if let Some(other) = self.least_loaded(now, packet, &others)
            && (!free || self.is_clearly_better(packet, &other, backend))
        {
            return self.pass_or_keep(other);
        }
        if free {
            return Decision::Here(backend);
        }
        self.decide_where_to_wait(now, packet, backend, room, &others)
    }

    /// Nobody is known to have a free slot: the flow waits where the queue is
    /// short, unless all queues are too long.
    fn decide_where_to_wait(
        &mut self,
        now: Timestamp,
        packet: &CallerPacket,
        backend: BackendId,
        room: Result<(), RefusalReason>,
        others: &[PeerCandidate],
    ) -> Decision {
        let state = &self.services[&packet.service];
        let shortest = state.loads.least_waiting(now, others, &mut self.random);
        match (room, shortest) {
            (Ok(()), Some(other)) if self.is_clearly_better(packet, &other, backend) => {
                self.pass_or_keep(other)
            }
            (Ok(()), _) => Decision::Here(backend),
            (Err(_), Some(other)) => self.pass_or_keep(other),
            (Err(reason), None) => Decision::Refuse(reason),
        }
    }

    /// Another back end beside this same agent needs no passing on.
    fn pass_or_keep(&self, other: PeerCandidate) -> Decision {
        if other.agent == self.own_life() {
            return Decision::Here(other.backend);
        }
        Decision::Pass(other)
    }

    /// Returns the other back ends that were not asked yet.
    fn others(
        &mut self,
        now: Timestamp,
        packet: &CallerPacket,
        backend: BackendId,
        asked: &[BackendId],
    ) -> Vec<PeerCandidate> {
        let Some(state) = self.services.get(&packet.service) else {
            return Vec::new();
        };
        if self.settings.mutations.no_hunting || asked.len() >= ASK_LIMIT {
            return Vec::new();
        }
        let own = self.own_life();
        let candidates = state.candidates.clone();
        let mut others = Vec::new();
        for candidate in candidates {
            let is_new = candidate.backend != backend && !asked.contains(&candidate.backend);
            let has_room =
                candidate.agent != own || self.check_room(now, candidate.backend).is_ok();
            if is_new && has_room {
                others.push(candidate);
            }
        }
        others
    }

    /// Returns the least loaded of other back ends that have a free slot.
    fn least_loaded(
        &mut self,
        now: Timestamp,
        packet: &CallerPacket,
        others: &[PeerCandidate],
    ) -> Option<PeerCandidate> {
        let state = self.services.get(&packet.service)?;
        state.loads.least_loaded(now, others, &mut self.random)
    }

    fn is_clearly_better(
        &self,
        packet: &CallerPacket,
        other: &PeerCandidate,
        backend: BackendId,
    ) -> bool {
        let state = &self.services[&packet.service];
        let busy = self.backends.get(&backend).map_or(0, |it| it.present.busy);
        let weight = state.weight(backend);
        let margin = self.settings.hunt_margin;
        state.loads.is_clearly_less(other, busy, weight, margin)
    }

    /// Opens the connection to the back end; the caller's connection is
    /// accepted once that came about.
    pub(super) fn admit(
        &mut self,
        now: Timestamp,
        packet: CallerPacket,
        backend: BackendId,
        origin: FlowOrigin,
        asked: Vec<BackendId>,
    ) {
        let Some(local) = self.backends.get_mut(&backend) else {
            return;
        };
        local.health.begin_probe(now);
        self.maintenance.ended.remove(&packet.view.key);
        let server = local.record.server.into();
        let flow = OpenFlow::connecting(
            now,
            packet.view.key,
            packet.service,
            backend,
            origin,
            FlowPhase::Connecting {
                opening: packet.datagram.packet,
                asked,
            },
        );
        let id = self.flows.insert(flow);
        self.outputs
            .push_back(AgentOutput::Connect { flow: id, server });
        self.settle_flow(now, id);
    }

    /// Returns whether the back end is beside this agent and of the packet's
    /// service.
    pub(super) fn serves(&self, backend: BackendId, packet: &CallerPacket) -> bool {
        let local = self.backends.get(&backend);
        local.is_some_and(|it| it.record.service == packet.service.0)
    }

    pub(super) fn has_free_slot(&self, now: Timestamp, backend: BackendId) -> bool {
        let local = self.backends.get(&backend);
        local.is_some_and(|it| it.has_free_slot(now))
    }

    /// Returns whether this agent decides about the packet's flow.
    fn owns(&self, packet: &CallerPacket) -> bool {
        let state = self.services.get(&packet.service);
        state.is_some_and(|state| {
            let standing = state.admission.standing(packet.bucket);
            matches!(standing, Standing::Owner(_))
        })
    }
}
