//! One agent and the replicas that keep its flow record, each a group of its own, with
//! files that may fail.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use petrellatch_core::identity::Incarnation;
use petrellatch_core::pass_through::{
    ConfigurationNode, ConfigurationNodeSettings, ConfigurationOutput, FlowRecordSettings,
    KnownReplicas, PacketView, PassThroughAgent, PassThroughAgentSettings, PassThroughOutput,
    RecordFileWrite, Registration, service_digest,
};
use petrellatch_core::{Event, EventKind, Timestamp};
use petrellatch_proto::pass_through::{
    FlowRecordChange, FlowRecordRequest, FlowRecordResponse, ForwardReason, ForwardedPacket,
    PassThroughBody, PassThroughMessage, pack_address,
};
use prost::Message;

use super::codec::{TestCodec, empty, encode};
use super::replica::start_replica_with;
use super::world::{BALANCER, MILLI, ROUTE, SERVICE, WARM_UP_BOUNDS, caller};

pub const AGENT: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, 1), 7000);
/// Initial sequence number of the back end in all flows.
pub const INITIAL_SEQUENCE: u32 = 1_000;

pub fn replica(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 7000)
}

/// Behaviour of the replicas' disks for writes of flow records.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Disk {
    Works,
    Fails,
    Stalls,
}

/// Simulated agent and replicas.
pub struct RecordWorld {
    pub now: Timestamp,
    pub agent: PassThroughAgent<TestCodec>,
    pub replicas: BTreeMap<SocketAddrV4, ConfigurationNode>,
    pub files: BTreeMap<SocketAddrV4, Vec<Vec<u8>>>,
    pub disk: Disk,
    /// Replicas that no message reaches or leaves.
    pub unreachable: BTreeSet<SocketAddrV4>,
    /// Selects messages to drop.
    pub drop_filter: fn(&PassThroughBody) -> bool,
    /// Number of selected messages to drop before further ones pass.
    pub drops_left: usize,
    /// Changes that the agent sent, with time and receiver.
    pub changes: Vec<(Timestamp, SocketAddrV4, FlowRecordChange)>,
    pub record_requests: usize,
    pub events: Vec<Event>,
    pub writes: usize,
    record: FlowRecordSettings,
    node: ConfigurationNodeSettings,
    incarnation: u64,
}

impl RecordWorld {
    pub fn new(replicas: u8) -> Self {
        let node = ConfigurationNodeSettings::default();
        RecordWorld::with(replicas, FlowRecordSettings::default(), node)
    }

    pub fn with(replicas: u8, record: FlowRecordSettings, node: ConfigurationNodeSettings) -> Self {
        let now = Timestamp::from_millis(1_000);
        let seeds: Vec<SocketAddrV4> = (1..=replicas).map(replica).collect();
        let mut world = RecordWorld {
            now,
            agent: new_agent(now, 1, true, record, seeds.clone()),
            replicas: BTreeMap::new(),
            files: BTreeMap::new(),
            disk: Disk::Works,
            unreachable: BTreeSet::new(),
            drop_filter: |_| false,
            drops_left: 0,
            changes: Vec::new(),
            record_requests: 0,
            events: Vec::new(),
            writes: 0,
            record,
            node,
            incarnation: 1,
        };
        for address in seeds {
            world.start_replica(address);
        }
        world.register();
        world
    }

    pub fn register(&mut self) {
        let registration = Registration {
            id: "backend-1".to_owned(),
            service: SERVICE.to_owned(),
            started_at_millis: Some(5),
            sequence: 1,
            slots: 60_000,
            draining: false,
            cold_for: Duration::ZERO,
            ..Registration::default()
        };
        let result = self.agent.handle_registration(self.now, &registration);
        result.expect("a registration for the agent's service");
    }

    /// Restarts a replica with the content of its file.
    pub fn start_replica(&mut self, address: SocketAddrV4) {
        let mut node = start_replica_with(self.now, address, address, self.node.clone());
        let file = self.files.entry(address).or_default();
        let is_readable = node.load_flow_records(self.now, file);
        if !is_readable {
            self.events
                .push(Event::new(EventKind::FlowRecordsNotSaved, "start"));
        }
        self.replicas.insert(address, node);
    }

    pub fn start_agent(&mut self) {
        self.start_agent_with(self.replicas.keys().copied().collect());
    }

    pub fn start_agent_with(&mut self, seeds: Vec<SocketAddrV4>) {
        self.incarnation += 1;
        self.agent = new_agent(self.now, self.incarnation, false, self.record, seeds);
        self.register();
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + 10 * MILLI;
            if self.agent.poll_timeout() <= self.now {
                self.agent.handle_timeout(self.now);
            }
            for node in self.replicas.values_mut() {
                if node.poll_timeout() <= self.now {
                    node.handle_timeout(self.now);
                }
            }
            self.settle();
        }
    }

    fn settle(&mut self) {
        let mut is_settled = false;
        while !is_settled {
            is_settled = true;
            while let Some(output) = self.agent.poll_output() {
                is_settled = false;
                self.handle_agent_output(output);
            }
            let addresses: Vec<SocketAddrV4> = self.replicas.keys().copied().collect();
            for address in addresses {
                while let Some(output) = self.replica_mut(address).poll_output() {
                    is_settled = false;
                    self.handle_replica_output(address, output);
                }
            }
        }
    }

    pub fn replica_mut(&mut self, address: SocketAddrV4) -> &mut ConfigurationNode {
        self.replicas.get_mut(&address).expect("known")
    }

    fn is_dropped(&mut self, replica: SocketAddrV4, body: &PassThroughBody) -> bool {
        if self.drops_left > 0 && (self.drop_filter)(body) {
            self.drops_left -= 1;
            return true;
        }
        self.unreachable.contains(&replica)
    }

    fn handle_agent_output(&mut self, output: PassThroughOutput) {
        match output {
            PassThroughOutput::Send { to, body } => {
                match &body {
                    PassThroughBody::FlowRecordChange(change) => {
                        self.changes.push((self.now, to, (**change).clone()));
                    }
                    PassThroughBody::FlowRecordRequest(_) => self.record_requests += 1,
                    _ => {}
                }
                let now = self.now;
                if self.replicas.contains_key(&to) && !self.is_dropped(to, &body) {
                    self.replica_mut(to).handle_message(now, AGENT, body);
                }
            }
            PassThroughOutput::Event(event) => self.events.push(event),
            _ => {}
        }
    }

    fn handle_replica_output(&mut self, address: SocketAddrV4, output: ConfigurationOutput) {
        let now = self.now;
        match output {
            ConfigurationOutput::Persist(request) => {
                self.replica_mut(address)
                    .handle_persisted(now, request.ticket);
            }
            ConfigurationOutput::Send { to, body } if to == AGENT => {
                self.send_to_agent(address, body);
            }
            ConfigurationOutput::WriteFlowRecords(write) => self.write(address, write),
            ConfigurationOutput::Event(event) => self.events.push(event),
            _ => {}
        }
    }

    fn send_to_agent(&mut self, from: SocketAddrV4, body: PassThroughBody) {
        if !self.is_dropped(from, &body) {
            self.agent.handle_message(self.now, from, body);
        }
    }

    fn write(&mut self, address: SocketAddrV4, write: RecordFileWrite) {
        self.writes += 1;
        let file = self.files.entry(address).or_default();
        let result = match (self.disk, write) {
            (Disk::Stalls, _) => return,
            (Disk::Fails, _) => Err("no space left".to_owned()),
            (Disk::Works, RecordFileWrite::Append(records)) => {
                file.extend(records);
                Ok(())
            }
            (Disk::Works, RecordFileWrite::Replace(records)) => {
                *file = records;
                Ok(())
            }
        };
        let now = self.now;
        let node = self.replica_mut(address);
        node.handle_flow_records_written(now, result);
    }

    fn forward(&mut self, reason: ForwardReason, view: &PacketView) {
        let forwarded = ForwardedPacket {
            service: service_digest(SERVICE),
            reason: reason.into(),
            packet: encode(view),
            ..ForwardedPacket::default()
        };
        self.agent.handle_message(
            self.now,
            BALANCER,
            PassThroughBody::ForwardedPacket(forwarded),
        );
    }

    /// A caller opens a flow, and the back end accepts it.
    pub fn open(&mut self, port: u16) {
        let syn = PacketView {
            syn: true,
            ..empty(caller(port), ROUTE)
        };
        self.forward(ForwardReason::Open, &syn);
        let syn_ack = PacketView {
            syn: true,
            ack: true,
            sequence_number: INITIAL_SEQUENCE,
            ..empty(ROUTE, caller(port))
        };
        self.agent
            .handle_backend_packet(self.now, &encode(&syn_ack));
        self.acknowledge(port, 1);
    }

    /// The caller acknowledges this many bytes.
    pub fn acknowledge(&mut self, port: u16, bytes: u32) {
        let packet = PacketView {
            ack: true,
            ack_number: INITIAL_SEQUENCE + bytes,
            ..empty(caller(port), ROUTE)
        };
        self.forward(ForwardReason::Deliver, &packet);
    }

    /// The caller closes its flow.
    pub fn close(&mut self, port: u16) {
        let fin = PacketView {
            ack: true,
            fin: true,
            ack_number: INITIAL_SEQUENCE + 1,
            ..empty(caller(port), ROUTE)
        };
        self.forward(ForwardReason::Deliver, &fin);
    }

    /// A replica's responses to the request of another incarnation of the agent.
    pub fn request_record(&mut self, address: SocketAddrV4) -> Vec<FlowRecordResponse> {
        self.settle();
        let request = FlowRecordRequest {
            agent: pack_address(AGENT),
            incarnation: u64::MAX,
        };
        let now = self.now;
        let node = self.replica_mut(address);
        node.handle_message(now, AGENT, PassThroughBody::FlowRecordRequest(request));
        let mut responses = Vec::new();
        while let Some(output) = self.replica_mut(address).poll_output() {
            if let ConfigurationOutput::Send {
                body: PassThroughBody::FlowRecordResponse(response),
                ..
            } = output
            {
                responses.push(response);
            }
        }
        responses
    }

    /// Ports of the callers in a replica's record.
    pub fn recorded_ports(&mut self, address: SocketAddrV4) -> Vec<u16> {
        let responses = self.request_record(address);
        let callers = responses
            .iter()
            .flat_map(|response| response.flows.callers.clone());
        let mut ports: Vec<u16> = callers.map(|caller| caller as u16).collect();
        ports.sort_unstable();
        ports
    }

    /// Subjects of the events of a kind.
    pub fn event_subjects(&self, kind: EventKind) -> Vec<&str> {
        let events = self.events.iter().filter(|event| event.kind == kind);
        events.map(|event| event.subject.as_str()).collect()
    }

    /// Size of a replica's file, in bytes.
    pub fn file_bytes(&self, address: SocketAddrV4) -> usize {
        self.files[&address].iter().map(Vec::len).sum()
    }
}

/// Size of a change as a datagram, in bytes.
pub fn encoded_bytes(change: &FlowRecordChange) -> usize {
    let body = PassThroughBody::FlowRecordChange(Box::new(change.clone()));
    PassThroughMessage { body: Some(body) }.encoded_len()
}

fn new_agent(
    now: Timestamp,
    incarnation: u64,
    first_start: bool,
    flow_record: FlowRecordSettings,
    seeds: Vec<SocketAddrV4>,
) -> PassThroughAgent<TestCodec> {
    let settings = PassThroughAgentSettings {
        address: AGENT,
        zone: "a".to_owned(),
        service: SERVICE.to_owned(),
        first_start,
        report_interval: Duration::from_millis(500),
        silence_timeout: Duration::from_secs(600),
        provisional_timeout: Duration::from_secs(2),
        flow_ttl: Duration::from_secs(600),
        default_requests_per_slot: 3,
        stop_timeout: Duration::from_secs(2),
        warm_up_bounds: WARM_UP_BOUNDS,
        flow_record,
    };
    let known_replicas = KnownReplicas::new(seeds);
    PassThroughAgent::new(
        now,
        settings,
        TestCodec,
        Incarnation(incarnation),
        known_replicas,
    )
}
