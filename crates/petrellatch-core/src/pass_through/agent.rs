//! The agent: admits new flows to the back end beside it, hands packets both
//! ways, and tells how busy the back end is.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::{
    Accepted, AgentState, Carry, CarryReason, DeclineReason, Declined, HeldFlow, Holds,
    LoadMessage, NotHeld, PassThroughBody, Report, Seek, pack_address,
};

use crate::event::{Event, EventKind};
use crate::identity::Incarnation;
use crate::time::Timestamp;

use super::agent_flows::{AgentFlows, BackendPacket, CallerPacket};
use super::contacts::Contacts;
use super::digest::service_digest;
use super::latency::LatencyHistogram;
use super::output::PassThroughOutput;
use super::packet::{FlowId, PacketCodec, PacketView};
use super::registration::{Registration, RegistrationState};
use super::service_time::ServiceTime;

/// Between two sweeps over the flows.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Between two reports after a change, until a replica shows that it heard.
const URGENT_REPORT_INTERVAL: Duration = Duration::from_millis(60);
/// The longest time between two reports that a replica may ask for.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(300);
/// The same after the start, when replicas may start as well.
const FIRST_REPORT_INTERVAL: Duration = Duration::from_millis(20);
const FIRST_REPORTS: u64 = 10;
/// Flows in one message about held flows.
const HELD_FLOWS_PER_MESSAGE: usize = 200;
/// A balancer that sent nothing for so long is not told about held flows.
const BALANCER_MEMORY: Duration = Duration::from_secs(30);

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PassThroughAgentSettings {
    /// Where balancers send packets.
    pub address: SocketAddrV4,
    /// The agent's zone.
    pub zone: String,
    /// The service of the back end beside it.
    pub service: String,
    /// Between two reports to the control group; the group may ask for a longer
    /// time.
    pub report_interval: Duration,
    /// A back end that was silent for so long gets no new flows.
    pub silence_limit: Duration,
    /// After its start an agent admits for so long beside a back end that has
    /// not called yet, if packets show that it is alive. A back end that leaves
    /// gets new flows for at most this long after a restart of its agent.
    pub provisional_limit: Duration,
    /// A flow that rested for so long is forgotten; also how long a flow may
    /// last, after which a new life of the agent knows all flows.
    pub flow_lifetime: Duration,
    /// How many requests an agent takes if all others are full, as a multiple
    /// of its back end's capacity; more if the back end answers so fast that
    /// they are still likely to meet their objective.
    pub queue_factor: u32,
    /// The longest that a planned stop waits for open flows.
    pub stop_limit: Duration,
}

/// Counters of an agent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PassThroughAgentCounters {
    /// New flows handed to the back end.
    pub admitted: u64,
    /// Packets of open flows handed to the back end.
    pub delivered: u64,
    /// New flows that were declined, by reason.
    pub declined: BTreeMap<DeclineReason, u64>,
    /// Packets that the back end returned.
    pub returned: u64,
    /// Packets of the back end that could not be read.
    pub malformed: u64,
}

/// Times that an agent measures.
#[derive(Clone, Debug, Default)]
pub struct PassThroughAgentLatencies {
    /// From the admission of a flow until the back end answered it.
    pub first_answer: LatencyHistogram,
    /// Between two calls of the back end.
    pub registration_gap: LatencyHistogram,
}

/// The state machine of an agent.
#[derive(Debug)]
pub struct PassThroughAgent<C> {
    settings: PassThroughAgentSettings,
    codec: C,
    incarnation: Incarnation,
    service: u64,
    contacts: Contacts,
    registration: RegistrationState,
    flows: AgentFlows,
    balancers: BTreeMap<SocketAddrV4, Timestamp>,
    started_at: Timestamp,
    report_number: u64,
    report_at: Timestamp,
    sweep_at: Timestamp,
    reported_state: AgentState,
    /// Between two reports without news.
    report_interval: Duration,
    /// Whether no replica has shown that it heard of the reported state.
    unheard: bool,
    stop_at: Option<Timestamp>,
    stopped: bool,
    counters: PassThroughAgentCounters,
    latencies: PassThroughAgentLatencies,
    service_time: ServiceTime,
    registered_at: Option<Timestamp>,
    outputs: VecDeque<PassThroughOutput>,
}

impl<C: PacketCodec> PassThroughAgent<C> {
    /// Starts a life of an agent.
    pub fn new(
        now: Timestamp,
        settings: PassThroughAgentSettings,
        codec: C,
        incarnation: Incarnation,
        contacts: Contacts,
    ) -> Self {
        PassThroughAgent {
            service: service_digest(&settings.service),
            report_interval: settings.report_interval,
            registration: RegistrationState::new(now + settings.provisional_limit),
            settings,
            codec,
            incarnation,
            contacts,
            flows: AgentFlows::default(),
            balancers: BTreeMap::new(),
            started_at: now,
            report_number: 0,
            report_at: now,
            sweep_at: now + SWEEP_INTERVAL,
            reported_state: AgentState::Empty,
            unheard: true,
            stop_at: None,
            stopped: false,
            counters: PassThroughAgentCounters::default(),
            latencies: PassThroughAgentLatencies::default(),
            service_time: ServiceTime::default(),
            registered_at: None,
            outputs: VecDeque::new(),
        }
    }

    /// The replicas that this agent knows.
    pub fn contacts_mut(&mut self) -> &mut Contacts {
        &mut self.contacts
    }

    /// Whether the agent can serve its back end.
    pub fn is_ready(&self) -> bool {
        self.stop_at.is_none()
    }

    /// Whether a planned stop is complete.
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// Counters since the start.
    pub fn counters(&self) -> &PassThroughAgentCounters {
        &self.counters
    }

    /// Times since the start.
    pub fn latencies(&self) -> &PassThroughAgentLatencies {
        &self.latencies
    }

    /// Requests that wait for their answers, and how many the back end works
    /// on at once.
    pub fn load(&self) -> (u32, u32) {
        (self.flows.busy(), self.registration.capacity())
    }

    /// Takes a call of the back end. Once this returns the caller may
    /// acknowledge it: no new flow is admitted against what it said.
    pub fn handle_registration(&mut self, now: Timestamp, call: &Registration) {
        if let Some(former) = self.registered_at.replace(now) {
            let gap = now.saturating_since(former);
            self.latencies.registration_gap.record(gap);
        }
        let changed = self.registration.handle_registration(now, call);
        if changed {
            let kind = match call.draining {
                true => EventKind::BackendLeaving,
                false => EventKind::BackendRegistered,
            };
            let capacity = call.capacity;
            let subject = format!("{} call={} slots={capacity}", call.id, call.call_number);
            self.emit_event(kind, subject);
        }
        self.report_if_changed(now);
    }

    /// Takes the goodbye of the back end.
    pub fn handle_withdrawal(&mut self, now: Timestamp, id: &str) {
        if self.registration.handle_withdrawal(id) {
            self.emit_event(EventKind::BackendLeaving, format!("{id} withdrawn"));
        }
        self.report_if_changed(now);
    }

    /// Takes a message of a balancer or replica.
    pub fn handle_message(&mut self, now: Timestamp, from: SocketAddrV4, body: PassThroughBody) {
        match body {
            PassThroughBody::Carry(carry) => self.handle_carry(now, from, carry),
            PassThroughBody::Seek(seek) => self.handle_seek(now, from, &seek),
            PassThroughBody::Group(group) => {
                self.contacts.handle_group(&group);
                self.registration.recall(&group.leaving);
                self.note_report_interval(group.report_interval_millis);
                self.unheard = false;
                self.report_if_changed(now);
            }
            _ => {}
        }
    }

    /// Takes a packet that the back end sent.
    pub fn handle_backend_packet(&mut self, now: Timestamp, packet: &[u8]) {
        let Some(view) = self.codec.view(packet) else {
            self.counters.malformed += 1;
            return;
        };
        self.registration.note_alive(now);
        if view.returned {
            self.counters.returned += 1;
            self.handle_returned(&view);
            self.report_if_changed(now);
            return;
        }
        let flow = view.flow_from_backend();
        self.outputs.push_back(PassThroughOutput::ToCaller {
            address: *flow.caller.ip(),
            packet: packet.to_vec(),
        });
        let known = self.flows.get(flow);
        let answered_before = known.is_some_and(|flow| flow.sequence.is_some());
        let meaning = match view {
            PacketView { reset: true, .. } => {
                self.flows.remove(flow);
                return;
            }
            PacketView {
                synchronize: true,
                sequence,
                ..
            } => BackendPacket::OpeningAnswer { sequence },
            PacketView { finish: true, .. } => BackendPacket::End,
            PacketView {
                data_bytes: 1.., ..
            } => BackendPacket::Answer,
            _ => BackendPacket::Established,
        };
        if let Some(time) = self.flows.note_from_backend(now, flow, meaning) {
            self.service_time.record(time);
        }
        self.report_if_changed(now);
        if view.synchronize && !answered_before {
            let admitted_at = self.flows.get(flow).map(|flow| flow.created_at);
            let time = now.saturating_since(admitted_at.unwrap_or(now));
            self.latencies.first_answer.record(time);
            self.tell_accepted(now, flow, view.sequence);
        }
    }

    /// Does what has become due.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        if now >= self.sweep_at {
            self.sweep_at = now + SWEEP_INTERVAL;
            self.flows.expire(now, self.settings.flow_lifetime);
            self.balancers
                .retain(|_, heard| now.saturating_since(*heard) < BALANCER_MEMORY);
            self.report_if_changed(now);
        }
        if now >= self.report_at {
            self.report(now);
        }
        self.continue_stop(now);
    }

    /// When [`PassThroughAgent::handle_timeout`] is wanted.
    pub fn poll_timeout(&self) -> Timestamp {
        self.sweep_at.min(self.report_at)
    }

    /// The next thing to do.
    pub fn poll_output(&mut self) -> Option<PassThroughOutput> {
        self.outputs.pop_front()
    }

    /// Begins a planned stop: no new flows, and an end once the open ones are
    /// over or the limit is reached.
    pub fn begin_stop(&mut self, now: Timestamp) {
        if self.stop_at.is_none() {
            self.stop_at = Some(now + self.settings.stop_limit);
            self.report_if_changed(now);
            self.continue_stop(now);
        }
    }

    fn continue_stop(&mut self, now: Timestamp) {
        let Some(stop_at) = self.stop_at else { return };
        if self.stopped || (now < stop_at && self.flows.unfinished() > 0) {
            return;
        }
        self.stopped = true;
        self.leave_flows();
    }

    /// Tells the balancers which flows stay at the back end.
    fn leave_flows(&mut self) {
        let flows: Vec<HeldFlow> = self.held_flows().collect();
        let balancers: Vec<SocketAddrV4> = self.balancers.keys().copied().collect();
        for part in flows.chunks(HELD_FLOWS_PER_MESSAGE) {
            for balancer in &balancers {
                let flows = part.to_vec();
                self.send(*balancer, PassThroughBody::Holds(Holds { flows }));
            }
        }
    }

    fn held_flows(&self) -> impl Iterator<Item = HeldFlow> + '_ {
        let open = self.flows.iter().filter(|(_, flow)| flow.open);
        open.map(|(id, flow)| HeldFlow {
            flow: (*id).into(),
            sequence: flow.sequence,
        })
    }

    fn handle_carry(&mut self, now: Timestamp, from: SocketAddrV4, carry: Carry) {
        let Some(view) = self.codec.view(&carry.packet) else {
            return;
        };
        self.balancers.insert(from, now);
        let flow = view.flow_from_caller();
        let reason = carry.reason();
        let opens = matches!(reason, CarryReason::Open | CarryReason::OpenQueued);
        if carry.service != self.service {
            if opens {
                self.decline(now, from, flow, DeclineReason::WrongService);
            }
            return;
        }
        match reason {
            CarryReason::Open if self.state(now) == AgentState::Starting => {
                self.decline(now, from, flow, DeclineReason::NoBackend);
            }
            CarryReason::Open => self.admit(now, from, flow, carry.packet, 1),
            CarryReason::OpenQueued => {
                let objective = Duration::from_millis(u64::from(carry.objective_millis));
                let minimum = self.settings.queue_factor;
                let factor = self.service_time.queue_factor(objective, minimum);
                self.admit(now, from, flow, carry.packet, factor);
            }
            CarryReason::Deliver => self.deliver(now, from, &view, carry.packet),
            CarryReason::Offer => {
                if !self.is_complete(now) || self.flows.get(flow).is_some() {
                    self.deliver(now, from, &view, carry.packet);
                }
            }
            CarryReason::Unspecified => {}
        }
    }

    fn handle_seek(&mut self, now: Timestamp, from: SocketAddrV4, seek: &Seek) {
        self.balancers.insert(from, now);
        let flow = FlowId::from(seek.flow);
        let known = self.flows.get(flow);
        if known.is_some_and(|flow| flow.owns(seek.acknowledged)) {
            self.tell_held(from, flow);
        }
    }

    /// Admits a new flow if the back end has fewer than `factor` requests for
    /// each slot.
    fn admit(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        flow: FlowId,
        packet: Vec<u8>,
        factor: u32,
    ) {
        self.flows.release_half_open(now);
        let known = self.flows.get(flow).is_some();
        let limit = self.registration.capacity().saturating_mul(factor);
        let refusal = match self.state(now) {
            AgentState::Empty => Some(DeclineReason::NoBackend),
            AgentState::Draining => Some(DeclineReason::Draining),
            AgentState::Ready | AgentState::Starting => {
                let is_full = !known && self.flows.busy() >= limit;
                is_full.then_some(DeclineReason::Full)
            }
        };
        if let Some(reason) = refusal {
            self.decline(now, from, flow, reason);
            return;
        }
        self.counters.admitted += 1;
        let capacity = self.registration.capacity();
        self.flows
            .note_from_caller(now, flow, from, CallerPacket::Opening, capacity);
        self.outputs.push_back(PassThroughOutput::ToBackend(packet));
    }

    fn deliver(&mut self, now: Timestamp, from: SocketAddrV4, view: &PacketView, packet: Vec<u8>) {
        let meaning = match view {
            PacketView { finish: true, .. } | PacketView { reset: true, .. } => CallerPacket::End,
            PacketView {
                data_bytes: 1.., ..
            } => CallerPacket::Request,
            _ => CallerPacket::Established,
        };
        self.counters.delivered += 1;
        let capacity = self.registration.capacity();
        self.flows
            .note_from_caller(now, view.flow_from_caller(), from, meaning, capacity);
        self.outputs.push_back(PassThroughOutput::ToBackend(packet));
    }

    /// The back end did not take a packet. Nothing of it ran.
    fn handle_returned(&mut self, view: &PacketView) {
        let id = view.flow_from_caller();
        let Some(flow) = self.flows.remove(id) else {
            return;
        };
        let Some(balancer) = flow.balancer else {
            return;
        };
        let body = if view.is_opening() {
            PassThroughBody::Declined(Declined {
                flow: id.into(),
                reason: DeclineReason::Returned.into(),
                load: LoadMessage {
                    busy: self.flows.busy(),
                    capacity: self.registration.capacity(),
                    cold: false,
                },
            })
        } else {
            self.emit_event(EventKind::PacketReturned, format!("flow={id}"));
            PassThroughBody::NotHeld(NotHeld { flow: id.into() })
        };
        self.send(balancer, body);
    }

    fn tell_accepted(&mut self, now: Timestamp, id: FlowId, sequence: u32) {
        let balancer = self.flows.get(id).and_then(|flow| flow.balancer);
        let Some(balancer) = balancer else { return };
        let load = self.load_message(now);
        let accepted = Accepted {
            flow: id.into(),
            sequence,
            load,
        };
        self.send(balancer, PassThroughBody::Accepted(accepted));
    }

    fn tell_held(&mut self, to: SocketAddrV4, id: FlowId) {
        let sequence = self.flows.get(id).and_then(|flow| flow.sequence);
        let held = HeldFlow {
            flow: id.into(),
            sequence,
        };
        self.send(to, PassThroughBody::Holds(Holds { flows: vec![held] }));
    }

    fn decline(&mut self, now: Timestamp, to: SocketAddrV4, flow: FlowId, reason: DeclineReason) {
        *self.counters.declined.entry(reason).or_default() += 1;
        let load = self.load_message(now);
        let busy = load.busy;
        let subject = format!("flow={flow} reason={reason:?} busy={busy}");
        self.emit_event(EventKind::FlowDeclined, subject);
        let declined = Declined {
            flow: flow.into(),
            reason: reason.into(),
            load,
        };
        self.send(to, PassThroughBody::Declined(declined));
    }

    fn load_message(&self, now: Timestamp) -> LoadMessage {
        LoadMessage {
            busy: self.flows.busy(),
            capacity: self.registration.capacity(),
            cold: self.registration.is_cold(now),
        }
    }

    fn state(&self, now: Timestamp) -> AgentState {
        let limit = self.settings.silence_limit;
        match self.registration.state(now, limit) {
            AgentState::Ready | AgentState::Starting if self.stop_at.is_some() => {
                AgentState::Draining
            }
            state => state,
        }
    }

    /// Whether this life has seen all flows of the back end.
    fn is_complete(&self, now: Timestamp) -> bool {
        now.saturating_since(self.started_at) >= self.settings.flow_lifetime
    }

    fn report_if_changed(&mut self, now: Timestamp) {
        let state = self.state(now);
        if state == self.reported_state {
            return;
        }
        if state == AgentState::Empty {
            let service = self.settings.service.clone();
            self.emit_event(EventKind::BackendSilent, service);
        }
        self.report(now);
    }

    /// Takes the interval that a replica bears, which grows with the number of
    /// agents.
    fn note_report_interval(&mut self, millis: u32) {
        let told = Duration::from_millis(u64::from(millis)).min(MAX_REPORT_INTERVAL);
        self.report_interval = told.max(self.settings.report_interval);
    }

    fn report(&mut self, now: Timestamp) {
        self.report_number += 1;
        let state = self.state(now);
        self.unheard |= state != self.reported_state;
        self.reported_state = state;
        let interval = match self.unheard {
            true if self.report_number <= FIRST_REPORTS => FIRST_REPORT_INTERVAL,
            true => URGENT_REPORT_INTERVAL,
            false => self.report_interval,
        };
        self.report_at = now + interval;
        let report = Report {
            address: pack_address(self.settings.address),
            incarnation: self.incarnation.0,
            sequence: self.report_number,
            service: self.settings.service.clone(),
            zone: self.settings.zone.clone(),
            state: state.into(),
            load: self.load_message(now),
            complete: self.is_complete(now),
            leaving: self.registration.leaving(),
        };
        for replica in self.contacts.all() {
            self.send(replica, PassThroughBody::Report(report.clone()));
        }
    }

    fn send(&mut self, to: SocketAddrV4, body: PassThroughBody) {
        self.outputs.push_back(PassThroughOutput::Send { to, body });
    }

    fn emit_event(&mut self, kind: EventKind, subject: String) {
        let event = Event::new(kind, subject);
        self.outputs.push_back(PassThroughOutput::Event(event));
    }
}
