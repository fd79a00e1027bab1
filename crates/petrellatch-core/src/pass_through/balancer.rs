//! The balancer: chooses an agent for each new flow, and hands on the packets
//! of open ones.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::{
    Accepted, AgentState, Carry, CarryReason, ConfigurationPart, Confirmed, DeclineReason,
    Declined, Follow, Group, Holds, NotHeld, PassThroughBody, Seek,
};

use crate::event::{Event, EventKind};
use crate::identity::Incarnation;
use crate::time::Timestamp;

use super::agent_directory::AgentDirectory;
use super::contacts::Contacts;
use super::digest::{flow_digest, is_sampled};
use super::flow_hints::{Candidate, CandidateState, FlowHint, FlowHints};
use super::output::PassThroughOutput;
use super::packet::{FlowId, PacketCodec, PacketView};
use super::route_table::RouteTable;
use super::seek_budget::SeekBudget;

/// An agent that did not answer an opening packet by then is suspected, and
/// another one is asked.
const ANSWER_LIMIT: Duration = Duration::from_millis(60);
/// Agents that are asked to take a flow into a free slot, before full ones
/// are asked to queue it.
const MAX_ASKED: usize = 4;
/// Agents that are asked to queue a flow.
const MAX_QUEUE_ASKED: usize = 2;
/// When nobody was heard for so long, replicas are asked.
const SILENCE_LIMIT: Duration = Duration::from_millis(300);
/// When nobody was heard for so long, the balancer counts as cut off.
const ISOLATION_LIMIT: Duration = Duration::from_millis(600);
/// Between two sweeps over the hints.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Between two questions for the newest version before the first answer.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(60);
/// In a directory of at most so many agents all are asked for a flow.
const SEEK_ALL_LIMIT: usize = 64;
/// Between the first two questions for one flow; it doubles with each.
const FIRST_SEEK_PAUSE: Duration = Duration::from_millis(150);
const MAX_SEEK_DOUBLINGS: u32 = 4;
/// After this, an unknown flow is offered to an agent without full memory.
const OFFER_DELAY: Duration = Duration::from_millis(150);
/// Between two offers of one flow. A flow's packets must not wander over back
/// ends that don't have it.
const OFFER_INTERVAL: Duration = Duration::from_millis(1_100);
/// A process that did nothing for longer stood still: opening packets that
/// came meanwhile are from callers that have sent copies since, or given up.
const STANDSTILL: Duration = Duration::from_millis(1_200);
/// How long opening packets are dropped after a standstill.
const STANDSTILL_DROP: Duration = Duration::from_millis(30);
/// Between two questions for a newer configuration; parts may be on their way.
const FETCH_INTERVAL: Duration = Duration::from_millis(150);
/// Between two news after a part of a change did not arrive.
const REPAIR_INTERVAL: Duration = Duration::from_millis(100);

/// Settings of a balancer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PassThroughBalancerSettings {
    /// The balancer's zone.
    pub zone: String,
    /// Between two questions for news.
    pub follow_interval: Duration,
    /// A flow that rested for so long is forgotten.
    pub flow_lifetime: Duration,
    /// How long a planned stop goes on handing packets after it said that it
    /// isn't ready any more.
    pub stop_delay: Duration,
}

/// Counters of a balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PassThroughBalancerCounters {
    /// Packets that could not be read.
    pub malformed: u64,
    /// Packets that came before a configuration was confirmed.
    pub not_current: u64,
    /// Packets to addresses without a route.
    pub no_route: u64,
    /// New flows offered to an agent.
    pub placed: u64,
    /// New flows refused with a reset.
    pub refused: u64,
    /// Opening packets that came while the process stood still.
    pub stale: u64,
    /// Opening packets that an agent did not answer in time.
    pub unanswered: u64,
    /// Packets of flows whose agent was not known.
    pub sought: u64,
    /// Packets handed on.
    pub delivered: u64,
}

/// The state machine of a balancer.
#[derive(Debug)]
pub struct PassThroughBalancer<C> {
    settings: PassThroughBalancerSettings,
    codec: C,
    incarnation: Incarnation,
    contacts: Contacts,
    routes: RouteTable,
    agents: AgentDirectory,
    hints: FlowHints,
    seek_budget: SeekBudget,
    /// Opening packets that wait for an answer, in the order of their limits.
    awaited: VecDeque<(Timestamp, FlowId, SocketAddrV4)>,
    /// Number of the question for the newest version, until it is answered
    /// and that version is in force.
    confirm: u64,
    confirmed_version: Option<u64>,
    current: bool,
    follow_at: Timestamp,
    followed_at: Timestamp,
    /// When another process was heard last.
    heard_at: Timestamp,
    /// Before this, no replica is asked for a newer configuration.
    fetch_at: Timestamp,
    sweep_at: Timestamp,
    /// Time of the latest input.
    active_at: Timestamp,
    drop_openings_until: Timestamp,
    stop_at: Option<Timestamp>,
    stopped: bool,
    counters: PassThroughBalancerCounters,
    outputs: VecDeque<PassThroughOutput>,
}

impl<C: PacketCodec> PassThroughBalancer<C> {
    /// Starts a life of a balancer.
    pub fn new(
        now: Timestamp,
        settings: PassThroughBalancerSettings,
        codec: C,
        incarnation: Incarnation,
        contacts: Contacts,
    ) -> Self {
        PassThroughBalancer {
            agents: AgentDirectory::new(settings.zone.clone()),
            settings,
            codec,
            incarnation,
            contacts,
            routes: RouteTable::default(),
            hints: FlowHints::default(),
            seek_budget: SeekBudget::new(now),
            awaited: VecDeque::new(),
            confirm: incarnation.0 | 1,
            confirmed_version: None,
            current: false,
            follow_at: now,
            followed_at: now,
            heard_at: now,
            fetch_at: now,
            sweep_at: now + SWEEP_INTERVAL,
            active_at: now,
            drop_openings_until: Timestamp::ZERO,
            stop_at: None,
            stopped: false,
            counters: PassThroughBalancerCounters::default(),
            outputs: VecDeque::new(),
        }
    }

    /// The replicas that this balancer knows.
    pub fn contacts_mut(&mut self) -> &mut Contacts {
        &mut self.contacts
    }

    /// Whether new flows may come: the newest configuration was confirmed in
    /// this life, there is one, no stop was asked for, and some other process
    /// was heard lately.
    pub fn is_ready(&self, now: Timestamp) -> bool {
        let is_set_up = self.current && self.routes.version() > 0;
        is_set_up && self.stop_at.is_none() && !self.is_isolated(now)
    }

    /// Whether nobody answers any more, neither agents nor replicas. Callers
    /// are better off with another balancer.
    fn is_isolated(&self, now: Timestamp) -> bool {
        now.saturating_since(self.heard_at) >= ISOLATION_LIMIT
    }

    /// Whether a planned stop is complete.
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// The version in force.
    pub fn version(&self) -> u64 {
        self.routes.version()
    }

    /// Counters since the start.
    pub fn counters(&self) -> PassThroughBalancerCounters {
        self.counters
    }

    /// Flows and agents that are known, for metrics.
    pub fn sizes(&self) -> (usize, usize) {
        (self.hints.len(), self.agents.len())
    }

    /// Begins a planned stop.
    pub fn begin_stop(&mut self, now: Timestamp) {
        if self.stop_at.is_none() {
            self.stop_at = Some(now + self.settings.stop_delay);
        }
    }

    /// Takes a packet of a caller.
    pub fn handle_packet(&mut self, now: Timestamp, packet: &[u8]) {
        let view = self.codec.view(packet).filter(|view| !view.returned);
        let Some(view) = view else {
            self.counters.malformed += 1;
            return;
        };
        if !self.current {
            self.counters.not_current += 1;
            return;
        }
        self.observe_clock(now);
        if view.is_opening() && now < self.drop_openings_until {
            self.counters.stale += 1;
        } else if view.is_opening() {
            self.handle_opening(now, &view, packet);
        } else {
            self.handle_established(now, &view, packet);
        }
    }

    /// Takes the time of an input, and notices a standstill.
    fn observe_clock(&mut self, now: Timestamp) {
        if now.saturating_since(self.active_at) >= STANDSTILL {
            self.drop_openings_until = now + STANDSTILL_DROP;
        }
        self.active_at = now;
    }

    /// Takes a message of an agent or replica.
    pub fn handle_message(&mut self, now: Timestamp, from: SocketAddrV4, body: PassThroughBody) {
        self.observe_clock(now);
        self.heard_at = now;
        match body {
            PassThroughBody::Accepted(accepted) => self.handle_accepted(now, from, &accepted),
            PassThroughBody::Declined(declined) => self.handle_declined(now, from, &declined),
            PassThroughBody::Holds(holds) => self.handle_holds(now, from, &holds),
            PassThroughBody::NotHeld(not_held) => self.handle_not_held(from, &not_held),
            PassThroughBody::Group(group) => self.handle_group(now, from, &group),
            PassThroughBody::Directory(directory) => {
                self.agents.handle_directory(now, from, directory);
            }
            PassThroughBody::Configuration(part) => self.handle_configuration(now, part),
            PassThroughBody::Confirmed(confirmed) => self.handle_confirmed(&confirmed),
            _ => {}
        }
    }

    /// Does what has become due.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        self.observe_clock(now);
        while let Some((limit, flow, agent)) = self.awaited.front().copied() {
            if now < limit {
                break;
            }
            self.awaited.pop_front();
            self.handle_unanswered(now, flow, agent);
        }
        if now >= self.sweep_at {
            self.sweep_at = now + SWEEP_INTERVAL;
            self.hints.expire(now, self.settings.flow_lifetime);
        }
        if now >= self.follow_at.min(self.silence_check_at()) {
            self.follow(now);
        }
        if self.stop_at.is_some_and(|at| now >= at) && !self.stopped {
            self.stopped = true;
            self.tell_replicas(true);
        }
    }

    /// When [`PassThroughBalancer::handle_timeout`] is wanted.
    pub fn poll_timeout(&self) -> Timestamp {
        let awaited = self.awaited.front().map(|(limit, ..)| *limit);
        let timers = [
            Some(self.sweep_at),
            Some(self.follow_at),
            Some(self.silence_check_at()),
            awaited,
            self.stop_at,
        ];
        let first = timers.into_iter().flatten().min();
        first.unwrap_or(self.sweep_at)
    }

    /// The next thing to do.
    pub fn poll_output(&mut self) -> Option<PassThroughOutput> {
        self.outputs.pop_front()
    }

    fn handle_opening(&mut self, now: Timestamp, view: &PacketView, packet: &[u8]) {
        let flow = view.flow_from_caller();
        let Some(service) = self.routes.service_for(flow) else {
            self.counters.no_route += 1;
            self.refuse(flow, "no_route");
            return;
        };
        if let Some(hint) = self.hints.get_mut(flow)
            && hint.service == service
            && !hint.ended
        {
            hint.used_at = now;
            let asked = hint.owner.or_else(|| hint.accepted());
            if let Some(agent) = asked {
                self.carry(agent, service, CarryReason::Open, packet.to_vec());
                return;
            }
        } else if self.hints.is_full() {
            self.refuse(flow, "too_many_flows");
            return;
        } else {
            self.hints.insert(flow, FlowHint::new(now, service));
        }
        if let Some(hint) = self.hints.get_mut(flow) {
            hint.opening = Some(packet.to_vec());
        }
        self.ask_next(now, flow);
    }

    /// Asks the next agent to take a flow; refuses it if nobody is left.
    fn ask_next(&mut self, now: Timestamp, flow: FlowId) {
        let Some(hint) = self.hints.get_mut(flow) else {
            return;
        };
        let Some(packet) = hint.opening.clone() else {
            return;
        };
        let service = hint.service;
        let limit = match hint.queued {
            false => MAX_ASKED,
            true => MAX_QUEUE_ASKED,
        };
        let found = match hint.candidates.len() < limit {
            true => self
                .agents
                .choose(now, service, flow, |agent| hint.was_asked(agent)),
            false => None,
        };
        let Some(agent) = found else {
            self.ask_to_queue(now, flow);
            return;
        };
        hint.candidates.push(Candidate {
            agent,
            state: CandidateState::Asked,
        });
        let reason = match hint.queued {
            false => CarryReason::Open,
            true => CarryReason::OpenQueued,
        };
        self.counters.placed += 1;
        self.agents.note_sent(agent);
        self.awaited.push_back((now + ANSWER_LIMIT, flow, agent));
        if is_sampled(flow) {
            let version = self.routes.version();
            let subject = format!("flow={flow} agent={agent} version={version} reason={reason:?}");
            self.emit_event(EventKind::FlowPlaced, subject);
        }
        self.carry(agent, service, reason, packet);
    }

    /// Nobody has a free slot: asks whether somebody queues the flow.
    fn ask_to_queue(&mut self, now: Timestamp, flow: FlowId) {
        let Some(hint) = self.hints.get_mut(flow) else {
            return;
        };
        if hint.is_awaited() {
            return;
        }
        if !hint.queued && !hint.candidates.is_empty() {
            hint.queued = true;
            hint.candidates.clear();
            self.ask_next(now, flow);
            return;
        }
        self.hints.remove(flow);
        self.refuse(flow, "no_agent");
    }

    fn refuse(&mut self, flow: FlowId, reason: &str) {
        self.counters.refused += 1;
        let version = self.routes.version();
        let subject = format!("flow={flow} reason={reason} version={version}");
        self.emit_event(EventKind::FlowRefused, subject);
        self.outputs.push_back(PassThroughOutput::ToCaller {
            address: *flow.caller.ip(),
            packet: self.codec.reset(flow, 0),
        });
    }

    fn handle_unanswered(&mut self, now: Timestamp, flow: FlowId, agent: SocketAddrV4) {
        let Some(hint) = self.hints.get_mut(flow) else {
            return;
        };
        let Some(candidate) = hint.candidate_mut(agent) else {
            return;
        };
        if candidate.state != CandidateState::Asked {
            return;
        }
        candidate.state = CandidateState::Late;
        let is_open = hint.opening.is_none();
        self.counters.unanswered += 1;
        if self.agents.note_missed(now, agent) {
            let subject = format!("agent={agent} flow={flow}");
            self.emit_event(EventKind::AgentSuspected, subject);
        }
        if !is_open {
            self.ask_next(now, flow);
        }
    }

    fn handle_established(&mut self, now: Timestamp, view: &PacketView, packet: &[u8]) {
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

    /// Asks the agents who has a flow; its packet waits for the answer.
    fn seek(&mut self, now: Timestamp, view: &PacketView, service: u64, packet: &[u8]) {
        self.counters.sought += 1;
        if self.hints.is_full() {
            return;
        }
        let flow = view.flow_from_caller();
        let all = self.agents.len() <= SEEK_ALL_LIMIT;
        let agents = self.agents.addresses((!all).then_some(service));
        let hint = self.hints.entry(now, flow, service);
        let first = *hint.sought_since.get_or_insert(now);
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
        if now.saturating_since(first) >= OFFER_DELAY {
            self.offer(now, flow, service, packet);
        }
    }

    /// Lets an agent that may have forgotten the flow ask its back end.
    fn offer(&mut self, now: Timestamp, flow: FlowId, service: u64, packet: &[u8]) {
        let Some(hint) = self.hints.get_mut(flow) else {
            return;
        };
        let is_due = |at| now.saturating_since(at) >= OFFER_INTERVAL;
        if !hint.offered_at.is_none_or(is_due) {
            return;
        }
        let agents = self.agents.addresses(Some(service)).into_iter();
        let forgetful = agents.filter(|(agent, _)| {
            let known = self.agents.get(*agent);
            known.is_some_and(|known| !known.complete) && !hint.was_asked(*agent)
        });
        let next = forgetful.min_by_key(|(agent, _)| {
            let salt = petrellatch_proto::pass_through::pack_address(*agent);
            flow_digest(flow, salt)
        });
        let Some((agent, service)) = next else { return };
        hint.offered_at = Some(now);
        hint.candidates.push(Candidate {
            agent,
            state: CandidateState::Declined,
        });
        self.carry(agent, service, CarryReason::Offer, packet.to_vec());
    }

    fn handle_accepted(&mut self, now: Timestamp, from: SocketAddrV4, accepted: &Accepted) {
        self.note_heard(now, from, Some(accepted.load));
        let Some(hint) = self.hints.get_mut(accepted.flow.into()) else {
            return;
        };
        let sequence = accepted.sequence;
        hint.opening = None;
        let state = CandidateState::Accepted { sequence };
        match hint.candidate_mut(from) {
            Some(candidate) => candidate.state = state,
            None => hint.candidates.push(Candidate { agent: from, state }),
        }
    }

    fn handle_declined(&mut self, now: Timestamp, from: SocketAddrV4, declined: &Declined) {
        self.note_heard(now, from, Some(declined.load));
        match declined.reason() {
            DeclineReason::Draining => self.agents.note_state(from, AgentState::Draining),
            DeclineReason::NoBackend | DeclineReason::WrongService => {
                self.agents.note_state(from, AgentState::Empty);
            }
            _ => {}
        }
        let flow = FlowId::from(declined.flow);
        let Some(hint) = self.hints.get_mut(flow) else {
            return;
        };
        let Some(candidate) = hint.candidate_mut(from) else {
            return;
        };
        candidate.state = CandidateState::Declined;
        if hint.accepted().is_none() {
            self.ask_next(now, flow);
        }
    }

    fn handle_holds(&mut self, now: Timestamp, from: SocketAddrV4, holds: &Holds) {
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

    fn handle_not_held(&mut self, from: SocketAddrV4, not_held: &NotHeld) {
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

    fn handle_group(&mut self, now: Timestamp, from: SocketAddrV4, group: &Group) {
        self.contacts.handle_group(group);
        let revision = group.directory_revision;
        self.agents.handle_revision(now, from, revision);
        let lacks_directory = revision != self.agents.revision_of(from);
        let lacks_configuration = group.version > self.routes.version() && now >= self.fetch_at;
        if lacks_configuration {
            self.fetch_at = now + FETCH_INTERVAL;
            let follow = self.follow_message(from, true);
            self.send(from, PassThroughBody::Follow(follow));
        } else if lacks_directory && self.current {
            // The answer to the next question has it.
            self.follow_at = self.follow_at.min(now + REPAIR_INTERVAL);
        }
    }

    fn handle_configuration(&mut self, now: Timestamp, part: ConfigurationPart) {
        if self.routes.handle_part(part) {
            let subject = format!("version={}", self.routes.version());
            self.emit_event(EventKind::ConfigurationApplied, subject);
            self.check_current();
        } else if self.routes.is_partial() {
            self.follow_at = self.follow_at.min(now + REPAIR_INTERVAL);
        }
    }

    fn handle_confirmed(&mut self, confirmed: &Confirmed) {
        if confirmed.confirm == self.confirm && !self.current {
            self.confirmed_version = Some(confirmed.version);
            self.check_current();
        }
    }

    /// The balancer is current once it has what was the newest version at
    /// some time of its life.
    fn check_current(&mut self) {
        let reached = |version| self.routes.version() >= version;
        if !self.current && self.confirmed_version.is_some_and(reached) {
            self.current = true;
            let subject = format!("version={}", self.routes.version());
            self.emit_event(EventKind::BecameCurrent, subject);
        }
    }

    fn note_heard(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        load: Option<petrellatch_proto::pass_through::LoadMessage>,
    ) {
        if self.agents.note_heard(now, from, load) {
            self.emit_event(EventKind::AgentReturned, format!("agent={from}"));
        }
    }

    /// When replicas are asked because nobody has been heard for a while.
    fn silence_check_at(&self) -> Timestamp {
        (self.heard_at + SILENCE_LIMIT).max(self.followed_at + REPAIR_INTERVAL)
    }

    fn follow(&mut self, now: Timestamp) {
        self.followed_at = now;
        let interval = match self.current && !self.routes.is_partial() {
            true => self.settings.follow_interval,
            false => CONFIRM_INTERVAL,
        };
        self.follow_at = now + interval;
        self.tell_replicas(false);
    }

    fn tell_replicas(&mut self, leaving: bool) {
        for replica in self.contacts.all() {
            let follow = Follow {
                leaving,
                ..self.follow_message(replica, false)
            };
            self.send(replica, PassThroughBody::Follow(follow));
        }
    }

    fn follow_message(&self, replica: SocketAddrV4, wants_configuration: bool) -> Follow {
        Follow {
            incarnation: self.incarnation.0,
            version: self.routes.version(),
            confirm: if self.current { 0 } else { self.confirm },
            leaving: false,
            directory_revision: self.agents.revision_of(replica),
            wants_configuration,
        }
    }

    fn send(&mut self, to: SocketAddrV4, body: PassThroughBody) {
        self.outputs.push_back(PassThroughOutput::Send { to, body });
    }

    fn carry(&mut self, agent: SocketAddrV4, service: u64, reason: CarryReason, packet: Vec<u8>) {
        let carry = Carry {
            service,
            reason: reason.into(),
            packet,
        };
        self.send(agent, PassThroughBody::Carry(carry));
    }

    fn emit_event(&mut self, kind: EventKind, subject: String) {
        let event = Event::new(kind, subject);
        self.outputs.push_back(PassThroughOutput::Event(event));
    }
}
