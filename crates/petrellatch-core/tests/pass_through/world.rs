//! Test harness: one balancer and its agents, with simulated callers and back ends.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use lz4_flex::compress_prepend_size;
use petrellatch_core::identity::Incarnation;
use petrellatch_core::pass_through::{
    FlowRecordSettings, KnownReplicas, PacketCodec, PacketView, PassThroughAgent,
    PassThroughAgentSettings, PassThroughBalancer, PassThroughBalancerSettings, PassThroughOutput,
    Registration, WarmUpBounds, service_digest,
};
use petrellatch_core::{EventKind, Timestamp};
use petrellatch_proto::pass_through::{
    ConfigurationChange, ConfigurationPart, DepartureStatus, DirectoryChange, DirectoryEntry,
    DirectoryPart, ForwardReason, ForwardedPacket, GroupStatus, PassThroughBody,
    PassThroughMessage, Report, RouteRecord, RouteShare, ServiceRecord, VersionConfirmed,
    pack_address,
};
use prost::Message;

use super::codec::{TestCodec, empty, encode};

pub const SERVICE: &str = "desk";
pub const OTHER_SERVICE: &str = "files";
/// Bounds so wide that the warm-up limit has no effect on tests.
pub const WARM_UP_BOUNDS: WarmUpBounds = WarmUpBounds {
    excess: 1.5,
    slack: 5.0,
};
pub const MILLI: Duration = Duration::from_millis(1);
pub const BALANCER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 99), 7000);
pub const REPLICA: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7000);
pub const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 80);

/// The status of the only replica, `replica`, in reply to an agent: no back end has left at the
/// agent's address. Whether there was an agent before isn't known.
pub fn no_departures(replica: SocketAddrV4, agent_incarnation: u64) -> GroupStatus {
    GroupStatus {
        replicas: vec![pack_address(replica)],
        agent_incarnation,
        departures: Some(Box::new(DepartureStatus {
            is_complete: true,
            ..DepartureStatus::default()
        })),
        ..GroupStatus::default()
    }
}

pub fn agent_address(index: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, index), 7000)
}

/// Each port from this one on has a caller address of its own; the ports below share one.
pub const FIRST_OWN_PORT: u16 = 40_000;

pub fn caller(port: u16) -> SocketAddrV4 {
    let ip = match port.checked_sub(FIRST_OWN_PORT) {
        None => Ipv4Addr::new(100, 64, 0, 1),
        Some(number) => Ipv4Addr::from(u32::from(Ipv4Addr::new(100, 65, 0, 1)) + u32::from(number)),
    };
    SocketAddrV4::new(ip, port)
}

/// A simulated back end: the packets that it received, and the callers of the flows that it
/// owns.
#[derive(Default)]
pub struct Backend {
    pub received: Vec<PacketView>,
    pub flows: BTreeSet<SocketAddrV4>,
}

/// One balancer, some agents, and what reached callers and back ends.
pub struct World {
    pub now: Timestamp,
    pub balancer: PassThroughBalancer<TestCodec>,
    pub agents: BTreeMap<SocketAddrV4, PassThroughAgent<TestCodec>>,
    pub backends: BTreeMap<SocketAddrV4, Backend>,
    /// Packets that reached callers.
    pub callers: Vec<PacketView>,
    /// Paused agents: they run no timers, lose the messages sent to them and send none.
    pub paused: Vec<SocketAddrV4>,
    /// Agents whose back ends return all SYNs.
    pub returning_syns: Vec<SocketAddrV4>,
    /// Agents whose back ends reset flows at their first request.
    pub resetting: Vec<SocketAddrV4>,
    /// Agents whose back ends don't react to packets.
    pub silent: Vec<SocketAddrV4>,
    /// Agents whose back ends have ended, so that their addresses refuse packets.
    pub refusing: Vec<SocketAddrV4>,
    /// Revision of the simulated replica's directory.
    pub revision: u64,
    /// Number of flow queries sent to agents.
    pub flow_queries: usize,
    /// Log texts of the balancer about refused flows.
    pub refusals: Vec<String>,
    /// Log texts of the balancer about policies that leave no eligible back end.
    pub without_eligible: Vec<String>,
    /// Log texts of the balancer about inconclusive searches.
    pub inconclusive_searches: Vec<String>,
    /// Number of packets that the balancer forwarded for speculative delivery.
    pub speculative_deliveries: usize,
    /// Bytes of messages from and to the balancer.
    pub balancer_bytes: usize,
    /// Messages to the balancer in transit, if replies are delayed.
    delayed: VecDeque<(Timestamp, SocketAddrV4, PassThroughBody)>,
    reply_delay: Duration,
    /// Whether back ends acknowledge data at once.
    pub backends_ack_at_once: bool,
    /// Latency objective of the route, in milliseconds.
    pub latency_objective_millis: u32,
    /// Configured rate limit of a cold back end, in requests per 1,000 s.
    pub warm_up_rate: u32,
    /// The service of each agent.
    service_of: fn(u8) -> &'static str,
    /// The zone of each agent that starts from now on.
    pub zone_of: fn(u8) -> &'static str,
    version: u64,
    /// The latest report of each agent, as the simulated replica knows it.
    reports: BTreeMap<u64, Report>,
    /// Services of the route, with their weights; empty if the route is removed.
    shares: Vec<(&'static str, u32)>,
}

impl World {
    pub fn new(agents: u8, slots: u32) -> World {
        World::with_services(agents, slots, |_| SERVICE)
    }

    /// A world whose route names [`SERVICE`], with agents of other services as well.
    pub fn with_services(agents: u8, slots: u32, service_of: fn(u8) -> &'static str) -> World {
        let now = Timestamp::from_millis(1_000);
        let mut world = World {
            now,
            balancer: new_balancer(now, None),
            agents: BTreeMap::new(),
            backends: BTreeMap::new(),
            callers: Vec::new(),
            paused: Vec::new(),
            returning_syns: Vec::new(),
            resetting: Vec::new(),
            silent: Vec::new(),
            refusing: Vec::new(),
            revision: 0,
            flow_queries: 0,
            refusals: Vec::new(),
            without_eligible: Vec::new(),
            inconclusive_searches: Vec::new(),
            speculative_deliveries: 0,
            balancer_bytes: 0,
            delayed: VecDeque::new(),
            reply_delay: Duration::ZERO,
            backends_ack_at_once: false,
            warm_up_rate: 0,
            latency_objective_millis: 0,
            service_of,
            zone_of: |_| "a",
            version: 3,
            reports: BTreeMap::new(),
            shares: vec![(SERVICE, 1)],
        };
        world.confirm();
        for index in 1..=agents {
            world.start_agent(index);
            world.register(index, slots, false, 1);
        }
        world.run(5 * MILLI);
        world
    }

    /// Restarts the balancer, which loses all flows, and confirms the newest versions to it.
    /// Agents report to it.
    pub fn start_balancer_with(&mut self, confirmed: VersionConfirmed) {
        self.balancer = new_balancer(self.now, None);
        self.confirm_with(confirmed);
        self.run(600 * MILLI);
    }

    /// Restarts the balancer without a confirmation of the newest version.
    pub fn start_balancer(&mut self) {
        self.balancer = new_balancer(self.now, None);
        self.run(600 * MILLI);
    }

    /// Sends the balancer the configuration with its one route, and confirms the version.
    pub fn confirm(&mut self) {
        let confirmed = VersionConfirmed {
            confirmation_id: 7,
            version: self.version,
            zones: None,
            ..VersionConfirmed::default()
        };
        self.confirm_with(confirmed);
    }

    /// Confirms a newer version in which the route names these services, or is removed.
    pub fn change_route(&mut self, shares: &[(&'static str, u32)]) {
        self.version += 1;
        self.shares = shares.to_vec();
        self.confirm();
    }

    fn confirm_with(&mut self, confirmed: VersionConfirmed) {
        let share = |(service, weight): &(&str, u32)| RouteShare {
            service: (*service).to_owned(),
            weight: *weight,
        };
        let route = RouteRecord {
            address: pack_address(ROUTE),
            shares: self.shares.iter().map(share).collect(),
            annotation: Vec::new(),
            position: 0,
            latency_objective_millis: self.latency_objective_millis,
            ..RouteRecord::default()
        };
        let is_removed = self.shares.is_empty();
        let change = ConfigurationChange {
            base_version: 0,
            version: self.version,
            put: if is_removed { Vec::new() } else { vec![route] },
            removed: Vec::new(),
            annotation: None,
            put_services: vec![ServiceRecord {
                service: SERVICE.to_owned(),
                warm_up_millirequests_per_second: self.warm_up_rate,
            }],
            ..ConfigurationChange::default()
        };
        let part = ConfigurationPart {
            base_version: 0,
            version: self.version,
            part: 0,
            parts: 1,
            bytes: compress_prepend_size(&change.encode_to_vec()),
        };
        for body in [
            PassThroughBody::Configuration(part),
            PassThroughBody::VersionConfirmed(confirmed),
        ] {
            self.balancer.handle_message(self.now, REPLICA, body);
        }
        assert!(self.balancer.is_ready(self.now));
    }

    /// The replica reports that its directory is complete.
    pub fn notify_complete_directory(&mut self) {
        let status = GroupStatus {
            directory_revision: self.revision,
            has_leader: true,
            directory_is_complete: true,
            ..GroupStatus::default()
        };
        let body = PassThroughBody::GroupStatus(status);
        self.balancer.handle_message(self.now, REPLICA, body);
    }

    /// The replica reports that its directory may be incomplete.
    pub fn notify_incomplete_directory(&mut self) {
        let status = GroupStatus {
            directory_revision: self.revision,
            has_leader: true,
            ..GroupStatus::default()
        };
        let body = PassThroughBody::GroupStatus(status);
        self.balancer.handle_message(self.now, REPLICA, body);
    }

    /// The replica acknowledges an agent's report.
    pub fn acknowledge_report(&mut self, index: u8, knows_previous_incarnation: bool) {
        self.settle();
        let status = GroupStatus {
            knows_previous_incarnation,
            remembers_agents: true,
            has_report: true,
            ..no_departures(REPLICA, self.incarnation(index))
        };
        let agent = self
            .agents
            .get_mut(&agent_address(index))
            .expect("the agent exists");
        agent.handle_message(self.now, REPLICA, PassThroughBody::GroupStatus(status));
    }

    /// Restarts the balancer, which loses all flows. Agents report to it.
    pub fn restart_balancer(&mut self) {
        self.restart_balancer_with_link(None);
    }

    /// Like [`World::restart_balancer`], with a link of this rate.
    pub fn restart_balancer_with_link(&mut self, link_bytes_per_second: Option<u64>) {
        self.balancer = new_balancer(self.now, link_bytes_per_second);
        self.confirm();
        self.run(600 * MILLI);
    }

    /// Restarts an agent, which loses all flows of its back end.
    pub fn restart_agent(&mut self, index: u8, slots: u32) {
        self.start_agent(index);
        self.register(index, slots, false, 100);
    }

    /// Starts an agent. The replica replies that no back end has left at its address.
    pub fn start_agent(&mut self, index: u8) {
        self.start_agent_without_reply(index);
        let agent = self.agents.get_mut(&agent_address(index));
        let agent = agent.expect("the agent has started");
        let status = no_departures(REPLICA, self.now.as_micros() + u64::from(index));
        agent.handle_message(self.now, REPLICA, PassThroughBody::GroupStatus(status));
    }

    /// Starts an agent that no replica has replied to.
    pub fn start_agent_without_reply(&mut self, index: u8) {
        let address = agent_address(index);
        let settings = PassThroughAgentSettings {
            address,
            zone: (self.zone_of)(index).to_owned(),
            service: (self.service_of)(index).to_owned(),
            first_start: false,
            report_interval: Duration::from_millis(500),
            silence_timeout: Duration::from_secs(6),
            provisional_timeout: Duration::from_secs(2),
            flow_ttl: Duration::from_secs(60),
            default_requests_per_slot: 3,
            stop_timeout: Duration::from_secs(2),
            warm_up_bounds: WARM_UP_BOUNDS,
            flow_record: FlowRecordSettings::default(),
        };
        let agent = PassThroughAgent::new(
            self.now,
            settings,
            TestCodec,
            Incarnation(self.now.as_micros() + u64::from(index)),
            KnownReplicas::new(vec![REPLICA]),
        );
        self.agents.insert(address, agent);
        self.backends.entry(address).or_default();
    }

    /// Incarnation of an agent, by its latest report.
    pub fn incarnation(&self, index: u8) -> u64 {
        self.reports[&pack_address(agent_address(index))].incarnation
    }

    /// Restarts an agent. The replica sends it the back ends that its previous incarnation
    /// reported as draining.
    pub fn restart_agent_with_draining(&mut self, index: u8) {
        let reported = self.reported_draining(index);
        self.start_agent(index);
        self.restore_draining(index, reported);
    }

    /// The status that a replica sends to the next incarnation of an agent, with the back ends
    /// that this one reported.
    pub fn reported_draining(&self, index: u8) -> GroupStatus {
        let report = &self.reports[&pack_address(agent_address(index))];
        GroupStatus {
            draining_backends: report.draining_backends.clone(),
            serving_backend: report.serving_backend,
            ..GroupStatus::default()
        }
    }

    /// Delivers such a status to an agent.
    pub fn restore_draining(&mut self, index: u8, status: GroupStatus) {
        let agent = self
            .agents
            .get_mut(&agent_address(index))
            .expect("the agent exists");
        agent.handle_message(self.now, REPLICA, PassThroughBody::GroupStatus(status));
    }

    pub fn register(&mut self, index: u8, slots: u32, draining: bool, sequence: u64) {
        let registration = Registration {
            id: format!("backend-{index}"),
            service: (self.service_of)(index).to_owned(),
            started_at_millis: None,
            sequence,
            slots,
            draining,
            cold_for: Duration::ZERO,
            ..Registration::default()
        };
        self.send_registration(index, &registration);
    }

    /// Delivers a registration of the back end to its agent.
    pub fn send_registration(&mut self, index: u8, registration: &Registration) {
        let agent = self
            .agents
            .get_mut(&agent_address(index))
            .expect("the agent exists");
        let result = agent.handle_registration(self.now, registration);
        result.expect("the registration is accepted");
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step(MILLI);
        }
    }

    /// Delays the messages of agents to the balancer by this time.
    pub fn delay_replies(&mut self, duration: Duration) {
        self.reply_delay = duration;
    }

    fn deliver_delayed(&mut self) {
        while let Some((arrives_at, ..)) = self.delayed.front()
            && *arrives_at <= self.now
        {
            let Some((_, from, body)) = self.delayed.pop_front() else {
                return;
            };
            self.balancer.handle_message(self.now, from, body);
        }
    }

    /// Lets time pass while all processes are paused.
    pub fn pause_all(&mut self, duration: Duration) {
        self.now = self.now + duration;
    }

    pub fn step(&mut self, duration: Duration) {
        self.now = self.now + duration;
        let now = self.now;
        self.deliver_delayed();
        if self.balancer.poll_timeout() <= now {
            self.balancer.handle_timeout(now);
        }
        let addresses: Vec<SocketAddrV4> = self.agents.keys().copied().collect();
        for address in &addresses {
            let agent = self.agents.get_mut(address).expect("the agent exists");
            if !self.paused.contains(address) && agent.poll_timeout() <= now {
                agent.handle_timeout(now);
            }
        }
        self.settle();
    }

    /// Delivers messages until no process has any output.
    pub fn settle(&mut self) {
        loop {
            let mut is_quiet = true;
            while let Some(output) = self.balancer.poll_output() {
                is_quiet = false;
                self.handle_output(BALANCER, output);
            }
            let addresses: Vec<SocketAddrV4> = self.agents.keys().copied().collect();
            for address in addresses {
                if self.paused.contains(&address) {
                    continue;
                }
                while let Some(output) = self
                    .agents
                    .get_mut(&address)
                    .and_then(PassThroughAgent::poll_output)
                {
                    is_quiet = false;
                    self.handle_output(address, output);
                }
            }
            if is_quiet {
                return;
            }
        }
    }

    pub fn handle_output(&mut self, from: SocketAddrV4, output: PassThroughOutput) {
        let now = self.now;
        if let PassThroughOutput::Send { to, body } = &output
            && (from == BALANCER || *to == BALANCER)
        {
            self.balancer_bytes += message_bytes(body);
        }
        match output {
            PassThroughOutput::Send { to, body }
                if to == BALANCER && self.reply_delay > Duration::ZERO =>
            {
                let arrives_at = now + self.reply_delay;
                self.delayed.push_back((arrives_at, from, body));
            }
            PassThroughOutput::Send { to, body } if to == BALANCER => {
                self.balancer.handle_message(now, from, body);
            }
            PassThroughOutput::Send { to, body } if to == REPLICA => {
                if let PassThroughBody::Report(report) = body {
                    self.publish_report(report);
                }
            }
            PassThroughOutput::Send { to, body } => {
                self.flow_queries += usize::from(matches!(body, PassThroughBody::FlowQuery(_)));
                self.speculative_deliveries +=
                    usize::from(from == BALANCER && is_speculative(&body));
                if self.paused.contains(&to) {
                    return;
                }
                if let Some(agent) = self.agents.get_mut(&to) {
                    agent.handle_message(now, from, body);
                }
            }
            PassThroughOutput::ToCaller { packet, .. } => {
                self.callers
                    .push(TestCodec.view(&packet).expect("a valid packet"));
            }
            PassThroughOutput::ToBackend(packet) => self.deliver_to_backend(from, &packet),
            PassThroughOutput::Event(event) if event.kind == EventKind::FlowRefused => {
                self.refusals.push(event.subject);
            }
            PassThroughOutput::Event(event) if event.kind == EventKind::NoEligibleBackend => {
                self.without_eligible.push(event.subject);
            }
            PassThroughOutput::Event(event) if event.kind == EventKind::FlowNotFound => {
                self.inconclusive_searches.push(event.subject);
            }
            PassThroughOutput::Event(_) => {}
        }
    }

    /// The replica sends the balancer the latest reports of all agents again, also of those
    /// that may have stopped.
    pub fn repeat_reports(&mut self) {
        let reports: Vec<Report> = self.reports.values().cloned().collect();
        reports.into_iter().for_each(|it| self.publish_report(it));
    }

    pub fn publish_report(&mut self, report: Report) {
        self.reports.insert(report.address, report.clone());
        let entry = DirectoryEntry {
            report,
            age_millis: 0,
        };
        let change = DirectoryChange {
            agents: vec![entry],
            removed: Vec::new(),
        };
        self.revision += 1;
        let directory = DirectoryPart {
            base_revision: 0,
            revision: self.revision,
            part: 0,
            parts: 1,
            bytes: compress_prepend_size(&change.encode_to_vec()),
        };
        let body = PassThroughBody::DirectoryPart(directory);
        self.balancer.handle_message(self.now, REPLICA, body);
    }

    /// Delivers a packet to a back end, which accepts SYNs, and returns packets of flows that
    /// it does not own.
    pub fn deliver_to_backend(&mut self, agent: SocketAddrV4, packet: &[u8]) {
        if self.silent.contains(&agent) {
            return;
        }
        if self.refusing.contains(&agent) {
            let agent = self.agents.get_mut(&agent).expect("the agent exists");
            agent.handle_refused_packet(self.now);
            return;
        }
        let view = TestCodec.view(packet).expect("a valid packet");
        let backend = self.backends.get_mut(&agent).expect("the agent exists");
        backend.received.push(view);
        if !view.is_syn() {
            if self.resetting.contains(&agent) && view.data_bytes > 0 {
                let reset = PacketView {
                    rst: true,
                    ..empty(view.destination, view.source)
                };
                self.send_from_backend(agent, &reset);
            } else if !backend.flows.contains(&view.source) {
                let returned = PacketView {
                    returned: true,
                    ..view
                };
                self.send_from_backend(agent, &returned);
            } else if self.backends_ack_at_once && view.data_bytes > 0 {
                let acknowledgement = PacketView {
                    ack: true,
                    sequence_number: initial_sequence(agent).wrapping_add(1),
                    ..empty(view.destination, view.source)
                };
                self.send_from_backend(agent, &acknowledgement);
            }
            return;
        }
        if self.returning_syns.contains(&agent) {
            let returned = PacketView {
                returned: true,
                ..view
            };
            self.send_from_backend(agent, &returned);
            return;
        }
        backend.flows.insert(view.source);
        let syn_ack = PacketView {
            syn: true,
            ack: true,
            sequence_number: initial_sequence(agent),
            ..empty(view.destination, view.source)
        };
        self.send_from_backend(agent, &syn_ack);
    }

    pub fn send_from_backend(&mut self, agent: SocketAddrV4, view: &PacketView) {
        let now = self.now;
        let agent = self.agents.get_mut(&agent).expect("the agent exists");
        agent.handle_backend_packet(now, &encode(view));
    }

    /// An agent's back end sends data on a flow, which it owns from now on.
    pub fn send_backend_data(&mut self, agent: SocketAddrV4, port: u16) {
        self.backends
            .get_mut(&agent)
            .expect("the agent exists")
            .flows
            .insert(caller(port));
        let data = PacketView {
            ack: true,
            data_bytes: 100,
            sequence_number: initial_sequence(agent).wrapping_add(1),
            ..empty(ROUTE, caller(port))
        };
        self.send_from_backend(agent, &data);
        self.settle();
    }

    /// The caller sends its SYN, or the retransmission of this number.
    pub fn open(&mut self, port: u16, retransmission: u32) {
        let packet = PacketView {
            syn: true,
            ack_number: retransmission,
            ..empty(caller(port), ROUTE)
        };
        self.balancer.handle_packet(self.now, &encode(&packet));
        self.settle();
    }

    /// Another balancer opens flows at an agent.
    pub fn fill_from_other_balancer(&mut self, index: u8, flows: u16) {
        let other_balancer = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 98), 7000);
        for port in 1..=flows {
            let packet = PacketView {
                syn: true,
                ..empty(caller(30_000 + port), ROUTE)
            };
            let forwarded = ForwardedPacket {
                service: service_digest(SERVICE),
                reason: ForwardReason::OpenQueued.into(),
                packet: encode(&packet),
                ..ForwardedPacket::default()
            };
            let agent = self
                .agents
                .get_mut(&agent_address(index))
                .expect("the agent exists");
            agent.handle_message(
                self.now,
                other_balancer,
                PassThroughBody::ForwardedPacket(forwarded),
            );
        }
        self.settle();
        self.callers.clear();
    }

    /// The caller sends data on a flow that this agent's back end accepted.
    pub fn request(&mut self, port: u16, agent: SocketAddrV4) {
        let packet = PacketView {
            ack: true,
            ack_number: initial_sequence(agent).wrapping_add(1),
            data_bytes: 50,
            ..empty(caller(port), ROUTE)
        };
        self.balancer.handle_packet(self.now, &encode(&packet));
        self.settle();
    }

    /// The caller closes a flow that this agent's back end accepted.
    pub fn close_flow(&mut self, port: u16, agent: SocketAddrV4) {
        let packet = PacketView {
            ack: true,
            fin: true,
            ack_number: initial_sequence(agent).wrapping_add(1),
            ..empty(caller(port), ROUTE)
        };
        self.balancer.handle_packet(self.now, &encode(&packet));
        self.settle();
    }

    /// The agent whose back end accepted the caller's SYN.
    pub fn accepted_by(&self, port: u16) -> Option<SocketAddrV4> {
        let syn_ack = self
            .callers
            .iter()
            .rev()
            .find(|view| view.destination == caller(port) && view.syn && view.ack)?;
        let agents = self.agents.keys();
        agents
            .copied()
            .find(|agent| initial_sequence(*agent) == syn_ack.sequence_number)
    }

    pub fn resets(&self) -> usize {
        self.callers.iter().filter(|view| view.rst).count()
    }

    /// Number of packets with data that reached this agent's back end.
    pub fn data_packets_at(&self, agent: SocketAddrV4) -> usize {
        let received = self.backends[&agent].received.iter();
        received.filter(|view| view.data_bytes > 0).count()
    }
}

/// Bytes of a datagram with this message.
fn message_bytes(body: &PassThroughBody) -> usize {
    const HEADER_BYTES: usize = 28;
    let message = PassThroughMessage {
        body: Some(body.clone()),
    };
    HEADER_BYTES + message.encoded_len()
}

fn is_speculative(body: &PassThroughBody) -> bool {
    matches!(
        body,
        PassThroughBody::ForwardedPacket(forwarded) if forwarded.reason() == ForwardReason::Try
    )
}

fn new_balancer(
    now: Timestamp,
    link_bytes_per_second: Option<u64>,
) -> PassThroughBalancer<TestCodec> {
    let settings = PassThroughBalancerSettings {
        zone: "a".to_owned(),
        subscribe_interval: Duration::from_secs(1),
        flow_ttl: Duration::from_secs(60),
        stop_delay: Duration::from_secs(2),
        link_bytes_per_second,
    };
    let known_replicas = KnownReplicas::new(vec![REPLICA]);
    PassThroughBalancer::new(now, settings, TestCodec, Incarnation(6), known_replicas)
}

/// Initial sequence number of a back end; each has a different one.
pub fn initial_sequence(agent: SocketAddrV4) -> u32 {
    u32::from(agent.ip().octets()[3]) << 24
}
