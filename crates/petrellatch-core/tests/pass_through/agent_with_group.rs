//! Test harness: one agent with its back end, and the group of replicas, which may all restart.

use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_core::Timestamp;
use petrellatch_core::identity::Incarnation;
use petrellatch_core::pass_through::{
    FlowId, FlowRecordSettings, KnownReplicas, PacketView, PassThroughAgent,
    PassThroughAgentSettings, PassThroughOutput, Registration, service_digest,
};
use petrellatch_proto::pass_through::{
    FlowQuery, ForwardReason, ForwardedPacket, PassThroughBody, QueriedFlow,
};

use super::codec::{TestCodec, empty, encode};
use super::group::{FIRST_DAEMON, Group, address};
use super::world::{BALANCER, MILLI, ROUTE, SERVICE, WARM_UP_BOUNDS, caller};

const AGENT: u8 = FIRST_DAEMON;
const BACKEND: &str = "backend";
const SECOND: Duration = Duration::from_secs(1);

/// One agent, its back end, and the group of replicas.
pub struct AgentWithGroup {
    pub group: Group,
    agent: Option<PassThroughAgent<TestCodec>>,
    incarnation: u64,
    reports_start_time: bool,
    next_port: u16,
    /// Whether the back end has ended, so that its address refuses packets.
    pub backend_has_ended: bool,
    /// Whether the agent denied the flow of each query, or replied that its back end possibly
    /// owns it.
    denials: Vec<bool>,
}

impl AgentWithGroup {
    /// An agent whose back end has registered for some time. The seeds are machines 1 to 3.
    pub fn new(replicas: u8, reports_start_time: bool) -> AgentWithGroup {
        let mut world = AgentWithGroup::without_agent(replicas);
        world.reports_start_time = reports_start_time;
        world.start_agent();
        world.run(6 * SECOND);
        for sequence in 1..=4 {
            world.register(sequence, false);
            world.run(SECOND);
        }
        assert!(world.admits_flows());
        world
    }

    /// The replicas, which have started for the first time, without the agent.
    pub fn without_agent(replicas: u8) -> AgentWithGroup {
        AgentWithGroup {
            group: Group::start(replicas),
            agent: None,
            incarnation: 0,
            reports_start_time: false,
            next_port: 1,
            backend_has_ended: false,
            denials: Vec::new(),
        }
    }

    /// The agent is killed.
    pub fn remove_agent(&mut self) {
        self.agent = None;
    }

    fn agent(&mut self) -> &mut PassThroughAgent<TestCodec> {
        self.agent.as_mut().expect("the agent runs")
    }

    pub fn start_agent(&mut self) {
        self.incarnation += 1;
        self.agent = Some(new_agent(self.group.now, self.incarnation));
    }

    pub fn kill_replicas(&mut self, replicas: u8) {
        (1..=replicas).for_each(|index| self.group.kill(index));
    }

    pub fn restart_replicas(&mut self, replicas: u8) {
        (1..=replicas).for_each(|index| self.group.restart(index));
    }

    /// Kills the replicas and the agent at the same moment, and starts them again.
    pub fn kill_all(&mut self, replicas: u8) {
        self.kill_replicas(replicas);
        self.group.run(300 * MILLI);
        self.restart_replicas(replicas);
        self.start_agent();
    }

    pub fn register(&mut self, sequence: u64, draining: bool) {
        let registration = Registration {
            id: BACKEND.to_owned(),
            service: SERVICE.to_owned(),
            started_at_millis: self.reports_start_time.then_some(1_000),
            sequence,
            slots: 100,
            draining,
            ..Registration::default()
        };
        let now = self.group.now;
        let result = self.agent().handle_registration(now, &registration);
        result.expect("the registration is for the agent's service");
        self.exchange();
    }

    pub fn deregister(&mut self) {
        let now = self.group.now;
        self.agent().handle_deregistration(now, BACKEND);
        self.exchange();
    }

    /// Whether the agent denies for certain that its back end owns a flow that the agent doesn't
    /// know.
    pub fn denies_unknown_flow(&mut self) -> bool {
        self.next_port += 1;
        let flow = FlowId {
            caller: caller(self.next_port),
            route: ROUTE,
        };
        let query = FlowQuery {
            flows: vec![QueriedFlow {
                flow: flow.into(),
                acknowledged: 7,
            }],
            ..FlowQuery::default()
        };
        let body = PassThroughBody::FlowQuery(query);
        let now = self.group.now;
        self.agent().handle_message(now, BALANCER, body);
        self.exchange();
        self.denials.pop().expect("a reply")
    }

    /// Lets time pass until the departure may be acknowledged. Returns whether that is within
    /// `limit`.
    pub fn is_acknowledged_within(&mut self, limit: Duration) -> bool {
        let end = self.group.now + limit;
        while !self.agent().departures_are_saved() {
            if self.group.now >= end {
                return false;
            }
            self.run(MILLI);
        }
        true
    }

    /// Whether the agent admits a new flow.
    pub fn admits_flows(&mut self) -> bool {
        self.next_port += 1;
        let syn = PacketView {
            syn: true,
            ..empty(caller(self.next_port), ROUTE)
        };
        self.forward(ForwardReason::OpenQueued, &syn)
    }

    /// Opens a flow, whose caller sends an acknowledgement without data.
    pub fn open_flow(&mut self) {
        assert!(self.admits_flows());
        let acknowledgement = PacketView {
            ack: true,
            ack_number: 7,
            ..empty(caller(self.next_port), ROUTE)
        };
        self.forward(ForwardReason::Deliver, &acknowledgement);
    }

    /// A balancer forwards a packet. Returns whether the back end got one.
    fn forward(&mut self, reason: ForwardReason, packet: &PacketView) -> bool {
        let forwarded = ForwardedPacket {
            service: service_digest(SERVICE),
            reason: reason.into(),
            packet: encode(packet),
            ..ForwardedPacket::default()
        };
        let body = PassThroughBody::ForwardedPacket(forwarded);
        let now = self.group.now;
        self.agent().handle_message(now, BALANCER, body);
        self.exchange()
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.group.now + duration;
        while self.group.now < end {
            self.group.run(MILLI);
            let now = self.group.now;
            if let Some(agent) = self.agent.as_mut().filter(|it| it.poll_timeout() <= now) {
                agent.handle_timeout(now);
            }
            self.exchange();
        }
    }

    /// Exchanges the messages of the agent and the replicas. Returns whether the back end got a
    /// packet.
    fn exchange(&mut self) -> bool {
        let mut is_delivered = false;
        let now = self.group.now;
        loop {
            let to_agent = std::mem::take(&mut self.group.sent_to_daemons);
            let is_quiet = to_agent.is_empty();
            for (from, _, body) in to_agent {
                if let Some(agent) = &mut self.agent {
                    agent.handle_message(now, address(from), body);
                }
            }
            while let Some(output) = self.agent.as_mut().and_then(|it| it.poll_output()) {
                match output {
                    PassThroughOutput::Send {
                        to: BALANCER,
                        body: PassThroughBody::FlowsNotOwned(reply),
                    } => self.denials.push(!reply.not_owned.is_empty()),
                    PassThroughOutput::Send { to, body } => {
                        let index = to.ip().octets()[3];
                        if index < FIRST_DAEMON && self.group.is_running(index) {
                            self.group.receive(index, AGENT, body);
                        }
                    }
                    PassThroughOutput::ToBackend(_) if self.backend_has_ended => {
                        self.agent().handle_refused_packet(now);
                    }
                    PassThroughOutput::ToBackend(_) => is_delivered = true,
                    _ => {}
                }
            }
            if is_quiet && self.group.sent_to_daemons.is_empty() {
                return is_delivered;
            }
        }
    }
}

fn new_agent(now: Timestamp, incarnation: u64) -> PassThroughAgent<TestCodec> {
    let settings = PassThroughAgentSettings {
        address: address(AGENT),
        zone: "a".to_owned(),
        service: SERVICE.to_owned(),
        first_start: false,
        report_interval: Duration::from_millis(500),
        silence_timeout: Duration::from_secs(6),
        provisional_timeout: Duration::from_secs(2),
        flow_ttl: Duration::from_secs(60),
        default_requests_per_slot: 300,
        stop_timeout: Duration::from_secs(2),
        warm_up_bounds: WARM_UP_BOUNDS,
        flow_record: FlowRecordSettings::default(),
    };
    let seeds: Vec<SocketAddrV4> = (1..=3).map(address).collect();
    let incarnation = Incarnation(incarnation);
    let known_replicas = KnownReplicas::new(seeds);
    PassThroughAgent::new(now, settings, TestCodec, incarnation, known_replicas)
}
