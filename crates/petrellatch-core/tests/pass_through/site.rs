//! Three replicas that save their daemons on disk, many agents and one balancer, all of
//! which may lose power.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use lz4_flex::{compress_prepend_size, decompress_size_prepended};
use petrellatch_core::Timestamp;
use petrellatch_core::consensus::{Membership, PersistentState, ReplicaId, ReplicaStart};
use petrellatch_core::identity::Incarnation;
use petrellatch_core::pass_through::{
    ConfigurationNode, ConfigurationNodeSettings, ConfigurationOutput, FlowRecordSettings,
    KnownReplicas, PacketCodec, PacketView, PassThroughAgent, PassThroughAgentSettings,
    PassThroughBalancer, PassThroughBalancerSettings, PassThroughOutput, Registration,
    node_id_of_address,
};
use petrellatch_proto::pass_through::{
    ConfigurationChange, ConfigurationPart, DirectoryChange, DirectoryPart, PassThroughBody,
    RouteRecord, RouteShare, Subscribe, VersionConfirmed, pack_address,
};
use prost::Message;

use super::codec::{TestCodec, empty, encode};
use super::world::{BALANCER, MILLI, ROUTE, SERVICE, WARM_UP_BOUNDS, caller, no_departures};

const STEP: Duration = Duration::from_millis(5);
/// Address of an observer that asks replicas whether their directories are complete.
const OBSERVER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, 1), 7000);

pub const REPLICAS: [SocketAddrV4; 3] = [
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7000),
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 2), 7000),
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 3), 7000),
];

pub fn agent_address(index: u16) -> SocketAddrV4 {
    let [high, low] = index.to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(10, 1, high, low), 7000)
}

pub struct Site {
    pub now: Timestamp,
    pub replicas: BTreeMap<SocketAddrV4, ConfigurationNode>,
    /// Saved daemons on the disk of each replica.
    pub saved_daemons: BTreeMap<SocketAddrV4, Vec<u8>>,
    pub writes: usize,
    pub agents: BTreeMap<SocketAddrV4, PassThroughAgent<TestCodec>>,
    pub balancer: Option<PassThroughBalancer<TestCodec>>,
    /// Processes that no message reaches or leaves.
    pub unreachable: BTreeSet<SocketAddrV4>,
    /// Agents that sent a packet to their back end, one entry per packet.
    pub packets_to_backends: Vec<SocketAddrV4>,
    /// Whether back ends own no flow, and return the packets that they get.
    pub backends_own_nothing: bool,
    pub resets: usize,
    /// Replicas whose latest message said that their directories are complete.
    complete_directories: BTreeSet<SocketAddrV4>,
    /// Agents in the directory of each replica.
    listed_agents: BTreeMap<SocketAddrV4, BTreeSet<u64>>,
    /// Parts of directories, by replica and revision.
    directory_parts: BTreeMap<(SocketAddrV4, u64), BTreeMap<u32, Vec<u8>>>,
    in_flight: VecDeque<(SocketAddrV4, SocketAddrV4, PassThroughBody)>,
}

impl Site {
    /// A site with this many agents, after some seconds of operation.
    pub fn new(agents: u16) -> Site {
        let mut site = Site {
            now: Timestamp::from_millis(1_000),
            replicas: BTreeMap::new(),
            saved_daemons: BTreeMap::new(),
            writes: 0,
            agents: BTreeMap::new(),
            balancer: None,
            unreachable: BTreeSet::new(),
            packets_to_backends: Vec::new(),
            backends_own_nothing: false,
            resets: 0,
            complete_directories: BTreeSet::new(),
            listed_agents: BTreeMap::new(),
            directory_parts: BTreeMap::new(),
            in_flight: VecDeque::new(),
        };
        site.start_replicas();
        for index in 1..=agents {
            site.start_agent(index, 1);
        }
        site.run(Duration::from_secs(3));
        site
    }

    /// Stops all processes at once; only the replicas' disks stay.
    pub fn lose_power(&mut self) {
        self.stop_replicas();
        self.agents.clear();
        self.balancer = None;
    }

    pub fn stop_replicas(&mut self) {
        self.replicas.clear();
        self.complete_directories.clear();
        self.in_flight.clear();
    }

    pub fn start_replicas(&mut self) {
        for address in REPLICAS {
            self.start_replica(address);
        }
    }

    pub fn start_replica(&mut self, address: SocketAddrV4) {
        let id = |address| ReplicaId {
            node: node_id_of_address(address),
            incarnation: Incarnation(node_id_of_address(address).0),
        };
        let start = ReplicaStart {
            id: id(address).node,
            incarnation: id(address).incarnation,
            seed: u64::from(address.ip().octets()[3]),
            persisted: PersistentState::default(),
            bootstrap: Some(Membership::of_voters(REPLICAS.map(id))),
        };
        let settings = ConfigurationNodeSettings {
            first_start: self.agents.is_empty() && self.saved_daemons.is_empty(),
            ..ConfigurationNodeSettings::default()
        };
        let mut node = ConfigurationNode::new(self.now, settings, start);
        if let Some(saved) = self.saved_daemons.get(&address) {
            node.load_daemons(saved);
        }
        self.replicas.insert(address, node);
    }

    /// Starts an agent whose back end registers with this sequence number.
    pub fn start_agent(&mut self, index: u16, sequence: u64) {
        let address = agent_address(index);
        let settings = PassThroughAgentSettings {
            address,
            zone: "a".to_owned(),
            service: SERVICE.to_owned(),
            first_start: false,
            report_interval: Duration::from_millis(500),
            silence_timeout: Duration::from_secs(600),
            provisional_timeout: Duration::from_secs(2),
            flow_ttl: Duration::from_secs(600),
            default_requests_per_slot: 3,
            stop_timeout: Duration::from_secs(2),
            warm_up_bounds: WARM_UP_BOUNDS,
            flow_record: FlowRecordSettings::default(),
        };
        let incarnation = Incarnation(self.now.as_micros() + u64::from(index));
        let known_replicas = KnownReplicas::new(REPLICAS.to_vec());
        let mut agent =
            PassThroughAgent::new(self.now, settings, TestCodec, incarnation, known_replicas);
        let status = no_departures(REPLICAS[0], incarnation.0);
        let body = PassThroughBody::GroupStatus(status);
        agent.handle_message(self.now, REPLICAS[0], body);
        let registration = Registration {
            id: address.to_string(),
            service: SERVICE.to_owned(),
            started_at_millis: None,
            sequence,
            slots: 4,
            draining: false,
            cold_for: Duration::ZERO,
            ..Registration::default()
        };
        let result = agent.handle_registration(self.now, &registration);
        result.expect("a registration for the agent's service");
        self.agents.insert(address, agent);
    }

    /// Starts a balancer that is up to date at once.
    pub fn start_balancer(&mut self) {
        let settings = PassThroughBalancerSettings {
            zone: "a".to_owned(),
            subscribe_interval: Duration::from_secs(1),
            flow_ttl: Duration::from_secs(60),
            stop_delay: Duration::from_secs(2),
            link_bytes_per_second: None,
        };
        let known_replicas = KnownReplicas::new(REPLICAS.to_vec());
        let now = self.now;
        let mut balancer =
            PassThroughBalancer::new(now, settings, TestCodec, Incarnation(6), known_replicas);
        let route = RouteRecord {
            address: pack_address(ROUTE),
            shares: vec![RouteShare {
                service: SERVICE.to_owned(),
                weight: 1,
            }],
            ..RouteRecord::default()
        };
        let change = ConfigurationChange {
            version: 3,
            put: vec![route],
            ..ConfigurationChange::default()
        };
        let part = ConfigurationPart {
            version: 3,
            parts: 1,
            bytes: compress_prepend_size(&change.encode_to_vec()),
            ..ConfigurationPart::default()
        };
        let confirmed = VersionConfirmed {
            confirmation_id: 7,
            version: 3,
            zones: None,
            ..VersionConfirmed::default()
        };
        balancer.handle_message(now, REPLICAS[0], PassThroughBody::Configuration(part));
        balancer.handle_message(
            now,
            REPLICAS[0],
            PassThroughBody::VersionConfirmed(confirmed),
        );
        self.balancer = Some(balancer);
    }

    /// A caller sends data on a flow that the balancer doesn't know.
    pub fn request(&mut self, port: u16) {
        let packet = PacketView {
            ack: true,
            ack_number: 1,
            data_bytes: 50,
            ..empty(caller(port), ROUTE)
        };
        let balancer = self.balancer.as_mut().expect("a running balancer");
        balancer.handle_packet(self.now, &encode(&packet));
        self.settle();
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + STEP;
            self.expire_timers();
            self.settle();
        }
    }

    fn expire_timers(&mut self) {
        let now = self.now;
        for node in self.replicas.values_mut() {
            if node.poll_timeout() <= now {
                node.handle_timeout(now);
            }
        }
        for agent in self.agents.values_mut() {
            if agent.poll_timeout() <= now {
                agent.handle_timeout(now);
            }
        }
        if let Some(balancer) = &mut self.balancer
            && balancer.poll_timeout() <= now
        {
            balancer.handle_timeout(now);
        }
    }

    fn settle(&mut self) {
        loop {
            self.collect_outputs();
            let Some((from, to, body)) = self.in_flight.pop_front() else {
                return;
            };
            if !self.unreachable.contains(&from) && !self.unreachable.contains(&to) {
                self.deliver(from, to, body);
            }
        }
    }

    fn deliver(&mut self, from: SocketAddrV4, to: SocketAddrV4, body: PassThroughBody) {
        let now = self.now;
        if let Some(node) = self.replicas.get_mut(&to) {
            node.handle_message(now, from, body);
        } else if let Some(agent) = self.agents.get_mut(&to) {
            agent.handle_message(now, from, body);
        } else if let (BALANCER, Some(balancer)) = (to, &mut self.balancer) {
            balancer.handle_message(now, from, body);
        } else if to == OBSERVER {
            self.handle_observed_message(from, body);
        }
    }

    fn handle_observed_message(&mut self, from: SocketAddrV4, body: PassThroughBody) {
        match body {
            PassThroughBody::GroupStatus(group) if group.directory_is_complete => {
                self.complete_directories.insert(from);
            }
            PassThroughBody::GroupStatus(_) => {
                self.complete_directories.remove(&from);
            }
            PassThroughBody::DirectoryPart(directory) => {
                assert_eq!(directory.base_revision, 0);
                let Some(bytes) = self.reassemble(from, directory) else {
                    return;
                };
                let bytes = decompress_size_prepended(&bytes).expect("compressed");
                let change = DirectoryChange::decode(bytes.as_slice()).expect("a directory");
                let agents = change.agents.iter().map(|entry| entry.report.address);
                self.listed_agents.insert(from, agents.collect());
            }
            _ => {}
        }
    }

    /// Joins the parts of a directory. Returns none while parts are missing.
    fn reassemble(&mut self, from: SocketAddrV4, directory: DirectoryPart) -> Option<Vec<u8>> {
        let key = (from, directory.revision);
        let parts = self.directory_parts.entry(key).or_default();
        parts.insert(directory.part, directory.bytes);
        if parts.len() < directory.parts as usize {
            return None;
        }
        let parts = self.directory_parts.remove(&key)?;
        Some(parts.into_values().flatten().collect())
    }

    /// Collects the outputs of all processes.
    fn collect_outputs(&mut self) {
        let now = self.now;
        for (address, node) in &mut self.replicas {
            while let Some(output) = node.poll_output() {
                match output {
                    ConfigurationOutput::Send { to, body } => {
                        self.in_flight.push_back((*address, to, body));
                    }
                    ConfigurationOutput::Persist(request) => {
                        node.handle_persisted(now, request.ticket);
                    }
                    ConfigurationOutput::SaveDaemons(bytes) => {
                        self.writes += 1;
                        self.saved_daemons.insert(*address, bytes);
                    }
                    _ => {}
                }
            }
        }
        for (address, agent) in &mut self.agents {
            while let Some(output) = agent.poll_output() {
                match output {
                    PassThroughOutput::Send { to, body } => {
                        self.in_flight.push_back((*address, to, body));
                    }
                    PassThroughOutput::ToBackend(packet) => {
                        self.packets_to_backends.push(*address);
                        if self.backends_own_nothing {
                            let view = TestCodec.view(&packet).expect("a packet");
                            let returned = PacketView {
                                returned: true,
                                ..view
                            };
                            agent.handle_backend_packet(now, &encode(&returned));
                        }
                    }
                    _ => {}
                }
            }
        }
        while let Some(output) = self.balancer.as_mut().and_then(|it| it.poll_output()) {
            match output {
                PassThroughOutput::Send { to, body } => {
                    self.in_flight.push_back((BALANCER, to, body));
                }
                PassThroughOutput::ToCaller { packet, .. } => {
                    let view = TestCodec.view(&packet).expect("a packet");
                    self.resets += usize::from(view.rst);
                }
                _ => {}
            }
        }
    }

    /// Number of replicas that now report a complete directory.
    pub fn complete_replicas(&mut self) -> usize {
        for address in self.replicas.keys() {
            let subscribe = Subscribe {
                wants_updates: true,
                ..Subscribe::default()
            };
            let unsubscribe = Subscribe {
                unsubscribe: true,
                ..Subscribe::default()
            };
            for message in [subscribe, unsubscribe] {
                let body = PassThroughBody::Subscribe(message);
                self.in_flight.push_back((OBSERVER, *address, body));
            }
        }
        self.settle();
        self.complete_directories.len()
    }

    /// A replica that reports a complete directory, and a running agent that is missing in it.
    pub fn unlisted_agent(&mut self) -> Option<(SocketAddrV4, SocketAddrV4)> {
        self.complete_replicas();
        for replica in &self.complete_directories {
            let listed = &self.listed_agents[replica];
            let is_missing = |agent: &&SocketAddrV4| !listed.contains(&pack_address(**agent));
            if let Some(agent) = self.agents.keys().find(is_missing) {
                return Some((*replica, *agent));
            }
        }
        None
    }

    /// Stops a replica; its disk stays.
    pub fn stop_replica(&mut self, address: SocketAddrV4) {
        self.replicas.remove(&address);
        self.complete_directories.remove(&address);
        self.listed_agents.remove(&address);
    }

    /// Time until this many replicas have complete directories.
    pub fn time_until_complete(&mut self, replicas: usize, limit: Duration) -> Option<Duration> {
        let started_at = self.now;
        while self.now.saturating_since(started_at) < limit {
            if self.complete_replicas() >= replicas {
                return Some(self.now.saturating_since(started_at));
            }
            self.run(10 * MILLI);
        }
        None
    }
}
