//! An agent beside lives of a back end, with callers that keep their flows.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use petrellatch_core::identity::Incarnation;
use petrellatch_core::pass_through::{
    FlowId, FlowRecordSettings, KnownReplicas, PacketCodec, PacketView, PassThroughAgent,
    PassThroughAgentSettings, PassThroughOutput, Registration, backend_digest, service_digest,
};
use petrellatch_core::{EventKind, Timestamp};
use petrellatch_proto::pass_through::{
    ACKNOWLEDGED_STEP_BYTES, FlowColumns, FlowQuery, FlowRecordResponse, ForwardReason,
    ForwardedPacket, PassThroughBody, QueriedFlow, ReturnedPacket, pack_address,
};

use super::codec::{TestCodec, empty, encode};
use super::world::{MILLI, ROUTE, SERVICE, WARM_UP_BOUNDS, caller};

const AGENT: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, 1), 7000);
const REPLICA: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7000);
pub const BALANCER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 99), 7000);
/// Between the numbers of two flows.
const SEQUENCE_STEP: u32 = 1 << 24;

/// One life of a back end.
#[derive(Clone, Debug)]
pub struct BackendIncarnation {
    pub id: String,
    pub started_at_millis: Option<u64>,
    pub registrations: u64,
    /// The flows that it has, by the caller's port, with their first sequence numbers.
    pub flows: BTreeMap<u16, u32>,
}

impl BackendIncarnation {
    pub fn digest(&self) -> u64 {
        backend_digest(&self.id, self.started_at_millis)
    }
}

/// A flow as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerFlow {
    pub sequence: u32,
    pub was_reset: bool,
}

pub struct RestartWorld {
    pub now: Timestamp,
    pub agent: PassThroughAgent<TestCodec>,
    pub backend: Option<BackendIncarnation>,
    pub incarnations: u64,
    /// The back end does nothing; packets wait.
    pub frozen: bool,
    pub waiting: VecDeque<PacketView>,
    pub callers: BTreeMap<u16, CallerFlow>,
    /// Resets of the agent, with their times.
    pub resets: Vec<(Timestamp, u16)>,
    /// What balancers were told to be gone.
    pub returned_packets: Vec<ReturnedPacket>,
    pub owned_flows: Vec<FlowId>,
    pub events: Vec<(EventKind, String)>,
    /// Packets without data that the back end got, by the caller's port.
    pub dataless_packets: Vec<u16>,
    /// Whether a life says when it was born.
    pub says_birth: bool,
    /// The same name for all lives.
    pub keeps_name: bool,
    next_sequence: u32,
    incarnation: u64,
}

pub fn flow_id(port: u16) -> FlowId {
    FlowId {
        caller: caller(port),
        route: ROUTE,
    }
}

/// The port of the caller of a flow that is not held.
pub fn caller_port(not_held: &ReturnedPacket) -> u16 {
    FlowId::from(not_held.flow).caller.port()
}

fn new_agent(now: Timestamp) -> PassThroughAgent<TestCodec> {
    let settings = PassThroughAgentSettings {
        address: AGENT,
        zone: "a".to_owned(),
        service: SERVICE.to_owned(),
        first_start: false,
        report_interval: Duration::from_millis(500),
        silence_limit: Duration::from_secs(6),
        provisional_timeout: Duration::from_secs(2),
        flow_lifetime: Duration::from_secs(60),
        queue_factor: 300,
        flow_record: FlowRecordSettings::default(),
        stop_timeout: Duration::from_secs(2),
        warm_up_bounds: WARM_UP_BOUNDS,
    };
    let incarnation = Incarnation(now.as_micros());
    let contacts = KnownReplicas::new(vec![REPLICA]);
    PassThroughAgent::new(now, settings, TestCodec, incarnation, contacts)
}

impl RestartWorld {
    /// An agent beside a back end that has called once.
    pub fn new() -> RestartWorld {
        let mut lives = RestartWorld::unregistered(true, false);
        lives.register();
        lives
    }

    pub fn unregistered(says_birth: bool, keeps_name: bool) -> RestartWorld {
        let now = Timestamp::from_millis(1_000);
        let mut lives = RestartWorld {
            now,
            agent: new_agent(now),
            backend: None,
            incarnations: 0,
            frozen: false,
            waiting: VecDeque::new(),
            callers: BTreeMap::new(),
            resets: Vec::new(),
            returned_packets: Vec::new(),
            owned_flows: Vec::new(),
            events: Vec::new(),
            dataless_packets: Vec::new(),
            says_birth,
            keeps_name,
            next_sequence: 0,
            incarnation: now.as_micros(),
        };
        lives.restart_backend();
        lives
    }

    /// The back end starts again, and has no flow.
    pub fn restart_backend(&mut self) {
        self.incarnations += 1;
        let number = match self.keeps_name {
            true => 1,
            false => self.incarnations,
        };
        self.backend = Some(BackendIncarnation {
            id: format!("backend-{number}"),
            started_at_millis: self.says_birth.then_some(self.incarnations * 1_000),
            registrations: 0,
            flows: BTreeMap::new(),
        });
        self.waiting.clear();
        self.frozen = false;
    }

    pub fn incarnation(&self) -> BackendIncarnation {
        self.backend.clone().expect("one runs")
    }

    /// The back end calls.
    pub fn register(&mut self) {
        let Some(life) = &mut self.backend else {
            return;
        };
        life.registrations += 1;
        let life = life.clone();
        self.register_incarnation(&life);
    }

    /// A call of a life arrives, now or late.
    pub fn register_incarnation(&mut self, life: &BackendIncarnation) {
        let call = Registration {
            id: life.id.clone(),
            service: SERVICE.to_owned(),
            started_at_millis: life.started_at_millis,
            sequence: life.registrations,
            slots: 100,
            draining: false,
            cold_for: Duration::ZERO,
            ..Registration::default()
        };
        let taken = self.agent.handle_registration(self.now, &call);
        taken.expect("it is of the agent's service");
        self.settle();
    }

    /// A caller opens a flow, also anew under the same port. Returns whether it is open.
    pub fn open(&mut self, port: u16) -> bool {
        let is_open = self.open_without_ack(port);
        if is_open {
            self.acknowledge(port);
        }
        is_open
    }

    /// The same, before the caller acknowledges the answer. Returns whether there is one.
    pub fn open_without_ack(&mut self, port: u16) -> bool {
        self.callers.remove(&port);
        let opening = PacketView {
            syn: true,
            ..empty(caller(port), ROUTE)
        };
        self.carry(ForwardReason::OpenQueued, &opening);
        self.callers.contains_key(&port)
    }

    /// The caller's flow is at another back end.
    pub fn open_elsewhere(&mut self, port: u16, sequence: u32) {
        let flow = CallerFlow {
            sequence,
            was_reset: false,
        };
        self.callers.insert(port, flow);
    }

    /// The caller acknowledges what it has.
    pub fn acknowledge(&mut self, port: u16) {
        let packet = self.packet(port, 0);
        self.carry(ForwardReason::Deliver, &packet);
    }

    /// The caller sends a request.
    pub fn request(&mut self, port: u16) {
        let packet = self.packet(port, 50);
        self.carry(ForwardReason::Deliver, &packet);
    }

    /// The caller ends its flow; the back end learns of it.
    pub fn finish(&mut self, port: u16) {
        let packet = PacketView {
            fin: true,
            ..self.packet(port, 0)
        };
        self.carry(ForwardReason::Deliver, &packet);
        self.callers.remove(&port);
        if let Some(life) = &mut self.backend {
            life.flows.remove(&port);
        }
    }

    fn packet(&self, port: u16, data_bytes: u16) -> PacketView {
        PacketView {
            ack: true,
            ack_number: self.callers[&port].sequence.wrapping_add(1),
            data_bytes,
            ..empty(caller(port), ROUTE)
        }
    }

    pub fn carry(&mut self, reason: ForwardReason, packet: &PacketView) {
        let carry = ForwardedPacket {
            service: service_digest(SERVICE),
            reason: reason.into(),
            packet: encode(packet),
            ..ForwardedPacket::default()
        };
        let body = PassThroughBody::ForwardedPacket(carry);
        self.agent.handle_message(self.now, BALANCER, body);
        self.settle();
    }

    /// A balancer hands a packet to the agent to try.
    pub fn deliver_speculatively(&mut self, port: u16, data_bytes: u16) {
        let packet = self.packet(port, data_bytes);
        self.carry(ForwardReason::Try, &packet);
    }

    /// A balancer asks for a flow.
    pub fn query(&mut self, port: u16) {
        let sought = QueriedFlow {
            flow: flow_id(port).into(),
            acknowledged: self.callers[&port].sequence.wrapping_add(1),
        };
        let seek = FlowQuery {
            flows: vec![sought],
            ..FlowQuery::default()
        };
        let body = PassThroughBody::FlowQuery(seek);
        self.agent.handle_message(self.now, BALANCER, body);
        self.settle();
    }

    /// The agent starts again, and knows nothing.
    pub fn restart_agent(&mut self) {
        self.agent = new_agent(self.now);
        self.incarnation = self.now.as_micros();
    }

    /// What a record of a life holds.
    pub fn record(&self, life: &BackendIncarnation) -> FlowRecordResponse {
        let mut columns = FlowColumns {
            routes: vec![pack_address(ROUTE)],
            ..FlowColumns::default()
        };
        let mut witnesses = Vec::new();
        for (port, sequence) in &life.flows {
            columns.callers.push(pack_address(caller(*port)));
            columns.route_indexes.push(0);
            columns.sequences.push(*sequence);
            columns.acknowledged_steps.push(1 / ACKNOWLEDGED_STEP_BYTES);
            let witness = PacketView {
                ack: true,
                ack_number: sequence.wrapping_add(1),
                ..empty(caller(*port), ROUTE)
            };
            witnesses.push(encode(&witness));
        }
        FlowRecordResponse {
            incarnation: 0,
            backend_incarnation: life.digest(),
            revision: 1,
            part: 0,
            parts: 1,
            flows: columns,
            probe_packets: witnesses,
        }
    }

    /// A replica hands a record to the agent.
    pub fn recover(&mut self, record: FlowRecordResponse) {
        let record = FlowRecordResponse {
            incarnation: self.incarnation,
            ..record
        };
        let body = PassThroughBody::FlowRecordResponse(record);
        self.agent.handle_message(self.now, REPLICA, body);
        self.settle();
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + 5 * MILLI;
            if self.agent.poll_timeout() <= self.now {
                self.agent.handle_timeout(self.now);
            }
            self.settle();
        }
    }

    /// A frozen back end goes on.
    pub fn thaw(&mut self) {
        self.frozen = false;
        while let Some(view) = self.waiting.pop_front() {
            self.reach_backend(view);
        }
        self.settle();
    }

    /// Ports whose callers hold flows that the back end does not have.
    pub fn orphaned_ports(&self) -> Vec<u16> {
        let lives = |port: &u16, flow: &CallerFlow| {
            let life = self.backend.as_ref();
            life.and_then(|life| life.flows.get(port)) == Some(&flow.sequence)
        };
        let dead = self
            .callers
            .iter()
            .filter(|(port, flow)| !lives(port, flow));
        dead.map(|(port, _)| *port).collect()
    }

    pub fn reset_ports(&self) -> Vec<u16> {
        let mut ports: Vec<u16> = self.resets.iter().map(|(_, port)| *port).collect();
        ports.sort_unstable();
        ports
    }

    pub fn has_event(&self, kind: EventKind) -> bool {
        self.events.iter().any(|(it, _)| *it == kind)
    }

    fn settle(&mut self) {
        while let Some(output) = self.agent.poll_output() {
            match output {
                PassThroughOutput::ToBackend(packet) => {
                    let view = TestCodec.view(&packet).expect("a packet");
                    match self.frozen {
                        true => self.waiting.push_back(view),
                        false => self.reach_backend(view),
                    }
                }
                PassThroughOutput::ToCaller { packet, .. } => self.reach_caller(&packet),
                PassThroughOutput::Send { to, body } if to == BALANCER => match body {
                    PassThroughBody::ReturnedPacket(not_held) => self.take_not_held(not_held),
                    PassThroughBody::FlowsOwned(holds) => {
                        let held = holds.flows.iter().map(|held| FlowId::from(held.flow));
                        self.owned_flows.extend(held);
                    }
                    _ => {}
                },
                PassThroughOutput::Send { .. } => {}
                PassThroughOutput::Event(event) => self.events.push((event.kind, event.subject)),
            }
        }
    }

    fn take_not_held(&mut self, not_held: ReturnedPacket) {
        let id = FlowId::from(not_held.flow);
        if not_held.was_open {
            self.assert_dead(id.caller.port(), not_held.acknowledged);
        }
        self.returned_packets.push(not_held);
    }

    /// A flow that lives must never be told as gone.
    fn assert_dead(&self, port: u16, acknowledged: u32) {
        let Some(flow) = self.callers.get(&port) else {
            return;
        };
        let is_meant = acknowledged.wrapping_sub(flow.sequence) < SEQUENCE_STEP;
        let is_dead = self.orphaned_ports().contains(&port);
        assert!(!is_meant || is_dead, "the flow of port {port} lives");
    }

    fn reach_caller(&mut self, packet: &[u8]) {
        let view = TestCodec.view(packet).expect("a packet");
        let port = view.destination.port();
        if view.rst {
            self.assert_dead(port, view.sequence_number);
            self.resets.push((self.now, port));
            if let Some(flow) = self.callers.get_mut(&port) {
                flow.was_reset = true;
            }
        } else if view.syn {
            let flow = CallerFlow {
                sequence: view.sequence_number,
                was_reset: false,
            };
            self.callers.insert(port, flow);
        }
    }

    fn reach_backend(&mut self, view: PacketView) {
        let port = view.source.port();
        let is_bare = view.data_bytes == 0 && !view.is_syn();
        if is_bare && !view.fin {
            self.dataless_packets.push(port);
        }
        let Some(life) = &mut self.backend else {
            return;
        };
        if view.is_syn() {
            self.next_sequence = self.next_sequence.wrapping_add(SEQUENCE_STEP);
            life.flows.insert(port, self.next_sequence);
            let answer = PacketView {
                syn: true,
                ack: true,
                sequence_number: self.next_sequence,
                ..empty(ROUTE, view.source)
            };
            self.agent.handle_backend_packet(self.now, &encode(&answer));
        } else if !life.flows.contains_key(&port) {
            let returned = PacketView {
                returned: true,
                ..view
            };
            self.agent
                .handle_backend_packet(self.now, &encode(&returned));
        }
    }
}
