//! One agent and the replicas that keep the record of its open flows, each a group of its
//! own, with files that may fail.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use petrellatch_core::identity::Incarnation;
use petrellatch_core::pass_through::{
    ConfigurationNode, ConfigurationNodeSettings, ConfigurationOutput, FlowRecordSettings,
    FlowRecordWrite, KnownReplicas, PacketView, PassThroughAgent, PassThroughAgentSettings,
    PassThroughOutput, Registration, service_digest,
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
/// First sequence number of the back end in all flows.
pub const FIRST: u32 = 1_000;

pub fn replica(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 7000)
}

/// What the disk of a replica does with the file of records.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Disk {
    Works,
    Fails,
    Stalls,
}

/// The world.
pub struct RecordWorld {
    pub now: Timestamp,
    pub agent: PassThroughAgent<TestCodec>,
    pub replicas: BTreeMap<SocketAddrV4, ConfigurationNode>,
    pub files: BTreeMap<SocketAddrV4, Vec<Vec<u8>>>,
    pub disk: Disk,
    /// Replicas that nobody reaches.
    pub cut: BTreeSet<SocketAddrV4>,
    /// Which messages get lost.
    pub loses: fn(&PassThroughBody) -> bool,
    /// How many of them get lost before others pass.
    pub to_lose: usize,
    /// Changes that the agent sent, with the time.
    pub changes: Vec<(Timestamp, SocketAddrV4, FlowRecordChange)>,
    pub recalls: usize,
    pub events: Vec<Event>,
    pub written: usize,
    record: FlowRecordSettings,
    node: ConfigurationNodeSettings,
    life: u64,
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
            cut: BTreeSet::new(),
            loses: |_| false,
            to_lose: 0,
            changes: Vec::new(),
            recalls: 0,
            events: Vec::new(),
            written: 0,
            record,
            node,
            life: 1,
        };
        for address in seeds {
            world.start_replica(address);
        }
        world.register();
        world
    }

    pub fn register(&mut self) {
        let call = Registration {
            id: "backend-1".to_owned(),
            service: SERVICE.to_owned(),
            started_at_millis: Some(5),
            sequence: 1,
            slots: 60_000,
            draining: false,
            cold_for: Duration::ZERO,
            ..Registration::default()
        };
        let taken = self.agent.handle_registration(self.now, &call);
        taken.expect("it is of the agent's service");
    }

    /// Starts a replica again with what its file has.
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
        self.life += 1;
        self.agent = new_agent(self.now, self.life, false, self.record, seeds);
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
        let mut quiet = false;
        while !quiet {
            quiet = true;
            while let Some(output) = self.agent.poll_output() {
                quiet = false;
                self.carry_out_of_agent(output);
            }
            let addresses: Vec<SocketAddrV4> = self.replicas.keys().copied().collect();
            for address in addresses {
                while let Some(output) = self.replica_mut(address).poll_output() {
                    quiet = false;
                    self.carry_out_of_replica(address, output);
                }
            }
        }
    }

    pub fn replica_mut(&mut self, address: SocketAddrV4) -> &mut ConfigurationNode {
        self.replicas.get_mut(&address).expect("known")
    }

    fn gets_lost(&mut self, replica: SocketAddrV4, body: &PassThroughBody) -> bool {
        if self.to_lose > 0 && (self.loses)(body) {
            self.to_lose -= 1;
            return true;
        }
        self.cut.contains(&replica)
    }

    fn carry_out_of_agent(&mut self, output: PassThroughOutput) {
        match output {
            PassThroughOutput::Send { to, body } => {
                match &body {
                    PassThroughBody::FlowRecordChange(change) => {
                        self.changes.push((self.now, to, (**change).clone()));
                    }
                    PassThroughBody::FlowRecordRequest(_) => self.recalls += 1,
                    _ => {}
                }
                let now = self.now;
                if self.replicas.contains_key(&to) && !self.gets_lost(to, &body) {
                    self.replica_mut(to).handle_message(now, AGENT, body);
                }
            }
            PassThroughOutput::Event(event) => self.events.push(event),
            _ => {}
        }
    }

    fn carry_out_of_replica(&mut self, address: SocketAddrV4, output: ConfigurationOutput) {
        let now = self.now;
        match output {
            ConfigurationOutput::Persist(request) => {
                self.replica_mut(address)
                    .handle_persisted(now, request.ticket);
            }
            ConfigurationOutput::Send { to, body } if to == AGENT => {
                self.tell_agent(address, body);
            }
            ConfigurationOutput::WriteFlowRecords(write) => self.write(address, write),
            ConfigurationOutput::Event(event) => self.events.push(event),
            _ => {}
        }
    }

    fn tell_agent(&mut self, from: SocketAddrV4, body: PassThroughBody) {
        if !self.gets_lost(from, &body) {
            self.agent.handle_message(self.now, from, body);
        }
    }

    fn write(&mut self, address: SocketAddrV4, write: FlowRecordWrite) {
        self.written += 1;
        let file = self.files.entry(address).or_default();
        let result = match (self.disk, write) {
            (Disk::Stalls, _) => return,
            (Disk::Fails, _) => Err("no space left".to_owned()),
            (Disk::Works, FlowRecordWrite::Append(records)) => {
                file.extend(records);
                Ok(())
            }
            (Disk::Works, FlowRecordWrite::Replace(records)) => {
                *file = records;
                Ok(())
            }
        };
        let now = self.now;
        let node = self.replica_mut(address);
        node.handle_flow_records_written(now, result);
    }

    fn carry(&mut self, reason: ForwardReason, view: &PacketView) {
        let carry = ForwardedPacket {
            service: service_digest(SERVICE),
            reason: reason.into(),
            packet: encode(view),
            ..ForwardedPacket::default()
        };
        self.agent
            .handle_message(self.now, BALANCER, PassThroughBody::ForwardedPacket(carry));
    }

    /// A caller opens a flow.
    pub fn open(&mut self, port: u16) {
        let opening = PacketView {
            syn: true,
            ..empty(caller(port), ROUTE)
        };
        self.carry(ForwardReason::Open, &opening);
        let answer = PacketView {
            syn: true,
            ack: true,
            sequence_number: FIRST,
            ..empty(ROUTE, caller(port))
        };
        self.agent.handle_backend_packet(self.now, &encode(&answer));
        self.acknowledge(port, 1);
    }

    /// The caller has acknowledged so many bytes.
    pub fn acknowledge(&mut self, port: u16, bytes: u32) {
        let bare = PacketView {
            ack: true,
            ack_number: FIRST + bytes,
            ..empty(caller(port), ROUTE)
        };
        self.carry(ForwardReason::Deliver, &bare);
    }

    /// The caller ends its flow.
    pub fn end(&mut self, port: u16) {
        let end = PacketView {
            ack: true,
            fin: true,
            ack_number: FIRST + 1,
            ..empty(caller(port), ROUTE)
        };
        self.carry(ForwardReason::Deliver, &end);
    }

    /// What a replica would tell another life of the agent.
    pub fn ask(&mut self, address: SocketAddrV4) -> Vec<FlowRecordResponse> {
        self.settle();
        let question = FlowRecordRequest {
            agent: pack_address(AGENT),
            incarnation: u64::MAX,
        };
        let now = self.now;
        let node = self.replica_mut(address);
        node.handle_message(now, AGENT, PassThroughBody::FlowRecordRequest(question));
        let mut answers = Vec::new();
        while let Some(output) = self.replica_mut(address).poll_output() {
            if let ConfigurationOutput::Send {
                body: PassThroughBody::FlowRecordResponse(answer),
                ..
            } = output
            {
                answers.push(answer);
            }
        }
        answers
    }

    /// Ports of the flows that a replica keeps.
    pub fn kept_at(&mut self, address: SocketAddrV4) -> Vec<u16> {
        let answers = self.ask(address);
        let callers = answers
            .iter()
            .flat_map(|answer| answer.flows.callers.clone());
        let mut ports: Vec<u16> = callers.map(|caller| caller as u16).collect();
        ports.sort_unstable();
        ports
    }

    /// The events of a kind.
    pub fn told(&self, kind: EventKind) -> Vec<&str> {
        let told = self.events.iter().filter(|event| event.kind == kind);
        told.map(|event| event.subject.as_str()).collect()
    }

    /// Bytes of a replica's file.
    pub fn file_bytes(&self, address: SocketAddrV4) -> usize {
        self.files[&address].iter().map(Vec::len).sum()
    }
}

/// The size of a change as a datagram.
pub fn encoded_bytes(change: &FlowRecordChange) -> usize {
    let body = PassThroughBody::FlowRecordChange(Box::new(change.clone()));
    PassThroughMessage { body: Some(body) }.encoded_len()
}

fn new_agent(
    now: Timestamp,
    life: u64,
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
        silence_limit: Duration::from_secs(600),
        provisional_timeout: Duration::from_secs(2),
        flow_lifetime: Duration::from_secs(600),
        queue_factor: 3,
        stop_timeout: Duration::from_secs(2),
        warm_up_bounds: WARM_UP_BOUNDS,
        flow_record,
    };
    let contacts = KnownReplicas::new(seeds);
    PassThroughAgent::new(now, settings, TestCodec, Incarnation(life), contacts)
}
