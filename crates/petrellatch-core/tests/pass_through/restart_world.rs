//! An agent whose back end restarts, with callers that keep their flows.

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
use super::world::{MILLI, ROUTE, SERVICE, WARM_UP_BOUNDS, caller, no_departures};

const AGENT: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, 1), 7000);
const REPLICA: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7000);
pub const BALANCER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 99), 7000);
/// Distance between the initial sequence numbers of two flows.
const SEQUENCE_STEP: u32 = 1 << 24;

/// One incarnation of a back end.
#[derive(Clone, Debug)]
pub struct BackendIncarnation {
    pub id: String,
    pub started_at_millis: Option<u64>,
    pub registrations: u64,
    /// Initial sequence numbers of the flows that it owns, by the caller's port.
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
    /// Number of incarnations of the back end so far.
    pub incarnation_count: u64,
    /// Whether the back end is paused, so that packets for it are buffered.
    pub paused: bool,
    pub buffered_packets: VecDeque<PacketView>,
    pub callers: BTreeMap<u16, CallerFlow>,
    /// Resets that the agent sent, with their times and the callers' ports.
    pub resets: Vec<(Timestamp, u16)>,
    /// Flows that were reported to the balancer as not owned.
    pub returned_packets: Vec<ReturnedPacket>,
    pub owned_flows: Vec<FlowId>,
    pub events: Vec<(EventKind, String)>,
    /// The caller's port of each packet without data that the back end got.
    pub dataless_packets: Vec<u16>,
    /// Whether an incarnation reports its start time.
    pub reports_start_time: bool,
    /// Whether all incarnations have the same name.
    pub keeps_name: bool,
    next_sequence: u32,
    agent_incarnation: u64,
}

pub fn flow_id(port: u16) -> FlowId {
    FlowId {
        caller: caller(port),
        route: ROUTE,
    }
}

/// The caller's port of the flow of a returned packet.
pub fn caller_port(returned: &ReturnedPacket) -> u16 {
    FlowId::from(returned.flow).caller.port()
}

fn new_agent(now: Timestamp) -> PassThroughAgent<TestCodec> {
    let settings = PassThroughAgentSettings {
        address: AGENT,
        zone: "a".to_owned(),
        service: SERVICE.to_owned(),
        first_start: false,
        report_interval: Duration::from_millis(500),
        silence_timeout: Duration::from_secs(6),
        provisional_timeout: Duration::from_secs(2),
        flow_ttl: Duration::from_secs(60),
        default_requests_per_slot: 300,
        flow_record: FlowRecordSettings::default(),
        stop_timeout: Duration::from_secs(2),
        warm_up_bounds: WARM_UP_BOUNDS,
    };
    let incarnation = Incarnation(now.as_micros());
    let known_replicas = KnownReplicas::new(vec![REPLICA]);
    let mut agent = PassThroughAgent::new(now, settings, TestCodec, incarnation, known_replicas);
    let body = PassThroughBody::GroupStatus(no_departures(REPLICA, incarnation.0));
    agent.handle_message(now, REPLICA, body);
    agent
}

impl RestartWorld {
    /// An agent whose back end has registered once.
    pub fn new() -> RestartWorld {
        let mut world = RestartWorld::unregistered(true, false);
        world.register();
        world
    }

    pub fn unregistered(reports_start_time: bool, keeps_name: bool) -> RestartWorld {
        let now = Timestamp::from_millis(1_000);
        let mut world = RestartWorld {
            now,
            agent: new_agent(now),
            backend: None,
            incarnation_count: 0,
            paused: false,
            buffered_packets: VecDeque::new(),
            callers: BTreeMap::new(),
            resets: Vec::new(),
            returned_packets: Vec::new(),
            owned_flows: Vec::new(),
            events: Vec::new(),
            dataless_packets: Vec::new(),
            reports_start_time,
            keeps_name,
            next_sequence: 0,
            agent_incarnation: now.as_micros(),
        };
        world.restart_backend();
        world
    }

    /// The back end restarts, without any flow.
    pub fn restart_backend(&mut self) {
        self.incarnation_count += 1;
        let number = match self.keeps_name {
            true => 1,
            false => self.incarnation_count,
        };
        self.backend = Some(BackendIncarnation {
            id: format!("backend-{number}"),
            started_at_millis: self
                .reports_start_time
                .then_some(self.incarnation_count * 1_000),
            registrations: 0,
            flows: BTreeMap::new(),
        });
        self.buffered_packets.clear();
        self.paused = false;
    }

    /// The incarnation of the back end that runs.
    pub fn incarnation(&self) -> BackendIncarnation {
        self.backend.clone().expect("a back end runs")
    }

    /// The back end registers.
    pub fn register(&mut self) {
        let Some(incarnation) = &mut self.backend else {
            return;
        };
        incarnation.registrations += 1;
        let incarnation = incarnation.clone();
        self.register_incarnation(&incarnation);
    }

    /// A registration of an incarnation arrives, which may be a delayed one.
    pub fn register_incarnation(&mut self, incarnation: &BackendIncarnation) {
        let registration = Registration {
            id: incarnation.id.clone(),
            service: SERVICE.to_owned(),
            started_at_millis: incarnation.started_at_millis,
            sequence: incarnation.registrations,
            slots: 100,
            draining: false,
            cold_for: Duration::ZERO,
            ..Registration::default()
        };
        let accepted = self.agent.handle_registration(self.now, &registration);
        accepted.expect("the registration is for the agent's service");
        self.settle();
    }

    /// A caller opens a flow, which may have the same port as an earlier one. Returns whether
    /// it is established.
    pub fn open(&mut self, port: u16) -> bool {
        let is_open = self.open_without_ack(port);
        if is_open {
            self.acknowledge(port);
        }
        is_open
    }

    /// A caller sends a SYN, and doesn't acknowledge the SYN-ACK. Returns whether it got one.
    pub fn open_without_ack(&mut self, port: u16) -> bool {
        self.callers.remove(&port);
        let syn = PacketView {
            syn: true,
            ..empty(caller(port), ROUTE)
        };
        self.forward(ForwardReason::OpenQueued, &syn);
        self.callers.contains_key(&port)
    }

    /// Gives the caller a flow that another back end owns.
    pub fn open_elsewhere(&mut self, port: u16, sequence: u32) {
        let flow = CallerFlow {
            sequence,
            was_reset: false,
        };
        self.callers.insert(port, flow);
    }

    /// The caller sends an acknowledgement without data.
    pub fn acknowledge(&mut self, port: u16) {
        let packet = self.packet(port, 0);
        self.forward(ForwardReason::Deliver, &packet);
    }

    /// The caller sends a request.
    pub fn request(&mut self, port: u16) {
        let packet = self.packet(port, 50);
        self.forward(ForwardReason::Deliver, &packet);
    }

    /// The caller closes its flow, at the back end as well.
    pub fn finish(&mut self, port: u16) {
        let packet = PacketView {
            fin: true,
            ..self.packet(port, 0)
        };
        self.forward(ForwardReason::Deliver, &packet);
        self.callers.remove(&port);
        if let Some(incarnation) = &mut self.backend {
            incarnation.flows.remove(&port);
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

    pub fn forward(&mut self, reason: ForwardReason, packet: &PacketView) {
        let forwarded = ForwardedPacket {
            service: service_digest(SERVICE),
            reason: reason.into(),
            packet: encode(packet),
            ..ForwardedPacket::default()
        };
        let body = PassThroughBody::ForwardedPacket(forwarded);
        self.agent.handle_message(self.now, BALANCER, body);
        self.settle();
    }

    /// A balancer forwards a packet to the agent for speculative delivery.
    pub fn deliver_speculatively(&mut self, port: u16, data_bytes: u16) {
        let packet = self.packet(port, data_bytes);
        self.forward(ForwardReason::Try, &packet);
    }

    /// A balancer queries the agent for a flow.
    pub fn query(&mut self, port: u16) {
        let queried = QueriedFlow {
            flow: flow_id(port).into(),
            acknowledged: self.callers[&port].sequence.wrapping_add(1),
        };
        let query = FlowQuery {
            flows: vec![queried],
            ..FlowQuery::default()
        };
        let body = PassThroughBody::FlowQuery(query);
        self.agent.handle_message(self.now, BALANCER, body);
        self.settle();
    }

    /// The agent restarts, without any state.
    pub fn restart_agent(&mut self) {
        self.agent = new_agent(self.now);
        self.agent_incarnation = self.now.as_micros();
    }

    /// The flow record of an incarnation, with a probe packet for each flow.
    pub fn record(&self, incarnation: &BackendIncarnation) -> FlowRecordResponse {
        let mut columns = FlowColumns {
            routes: vec![pack_address(ROUTE)],
            ..FlowColumns::default()
        };
        let mut probe_packets = Vec::new();
        for (port, sequence) in &incarnation.flows {
            columns.callers.push(pack_address(caller(*port)));
            columns.route_indexes.push(0);
            columns.sequences.push(*sequence);
            columns.acknowledged_steps.push(1 / ACKNOWLEDGED_STEP_BYTES);
            let probe_packet = PacketView {
                ack: true,
                ack_number: sequence.wrapping_add(1),
                ..empty(caller(*port), ROUTE)
            };
            probe_packets.push(encode(&probe_packet));
        }
        FlowRecordResponse {
            incarnation: 0,
            backend_incarnation: incarnation.digest(),
            backend_started_at_millis: incarnation.started_at_millis.unwrap_or(0),
            revision: 1,
            part: 0,
            parts: 1,
            flows: columns,
            probe_packets,
        }
    }

    /// A replica sends a flow record to the agent.
    pub fn recover(&mut self, record: FlowRecordResponse) {
        let record = FlowRecordResponse {
            incarnation: self.agent_incarnation,
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

    /// A paused back end resumes, and gets the buffered packets.
    pub fn resume(&mut self) {
        self.paused = false;
        while let Some(view) = self.buffered_packets.pop_front() {
            self.reach_backend(view);
        }
        self.settle();
    }

    /// Ports of callers whose flows the back end doesn't own.
    pub fn orphaned_ports(&self) -> Vec<u16> {
        let is_owned = |port: &u16, flow: &CallerFlow| {
            let incarnation = self.backend.as_ref();
            incarnation.and_then(|incarnation| incarnation.flows.get(port)) == Some(&flow.sequence)
        };
        let orphaned = self
            .callers
            .iter()
            .filter(|(port, flow)| !is_owned(port, flow));
        orphaned.map(|(port, _)| *port).collect()
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
                    match self.paused {
                        true => self.buffered_packets.push_back(view),
                        false => self.reach_backend(view),
                    }
                }
                PassThroughOutput::ToCaller { packet, .. } => self.reach_caller(&packet),
                PassThroughOutput::Send { to, body } if to == BALANCER => match body {
                    PassThroughBody::ReturnedPacket(returned) => {
                        self.note_returned_packet(returned)
                    }
                    PassThroughBody::FlowsOwned(owned) => {
                        let flows = owned.flows.iter().map(|flow| FlowId::from(flow.flow));
                        self.owned_flows.extend(flows);
                    }
                    _ => {}
                },
                PassThroughOutput::Send { .. } => {}
                PassThroughOutput::Event(event) => self.events.push((event.kind, event.subject)),
            }
        }
    }

    fn note_returned_packet(&mut self, returned: ReturnedPacket) {
        let id = FlowId::from(returned.flow);
        if returned.was_open {
            self.assert_orphaned(id.caller.port(), returned.acknowledged);
        }
        self.returned_packets.push(returned);
    }

    /// Fails if the acknowledgement number belongs to a flow that the back end owns: an owned
    /// flow must never be reported as orphaned.
    fn assert_orphaned(&self, port: u16, acknowledged: u32) {
        let Some(flow) = self.callers.get(&port) else {
            return;
        };
        let is_same_flow = acknowledged.wrapping_sub(flow.sequence) < SEQUENCE_STEP;
        let is_orphaned = self.orphaned_ports().contains(&port);
        assert!(
            !is_same_flow || is_orphaned,
            "the back end owns the flow of port {port}"
        );
    }

    fn reach_caller(&mut self, packet: &[u8]) {
        let view = TestCodec.view(packet).expect("a packet");
        let port = view.destination.port();
        if view.rst {
            self.assert_orphaned(port, view.sequence_number);
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
        let is_dataless = view.data_bytes == 0 && !view.is_syn();
        if is_dataless && !view.fin {
            self.dataless_packets.push(port);
        }
        let Some(incarnation) = &mut self.backend else {
            return;
        };
        if view.is_syn() {
            self.next_sequence = self.next_sequence.wrapping_add(SEQUENCE_STEP);
            incarnation.flows.insert(port, self.next_sequence);
            let syn_ack = PacketView {
                syn: true,
                ack: true,
                sequence_number: self.next_sequence,
                ..empty(ROUTE, view.source)
            };
            self.agent
                .handle_backend_packet(self.now, &encode(&syn_ack));
        } else if !incarnation.flows.contains_key(&port) {
            let returned = PacketView {
                returned: true,
                ..view
            };
            self.agent
                .handle_backend_packet(self.now, &encode(&returned));
        }
    }
}
