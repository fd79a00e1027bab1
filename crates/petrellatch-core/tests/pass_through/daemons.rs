//! A balancer and agents, packet by packet.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use lz4_flex::compress_prepend_size;
use petrellatch_core::identity::Incarnation;
use petrellatch_core::pass_through::{
    Contacts, PacketCodec, PacketView, PassThroughAgent, PassThroughAgentSettings,
    PassThroughBalancer, PassThroughBalancerSettings, PassThroughOutput, Registration,
    service_digest,
};
use petrellatch_core::{EventKind, Timestamp};
use petrellatch_proto::pass_through::{
    Carry, CarryReason, ConfigurationChange, ConfigurationPart, Confirmed, Directory,
    DirectoryChange, DirectoryEntry, PassThroughBody, Report, RouteRecord, ShareRecord,
    pack_address,
};
use prost::Message;

use super::codec::{TestCodec, empty, encode};

const SERVICE: &str = "desk";
const MILLI: Duration = Duration::from_millis(1);
const BALANCER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 99), 7000);
const REPLICA: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7000);
const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 80);

fn agent_address(index: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, index), 7000)
}

fn caller(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), port)
}

/// A back end as its agent sees it.
#[derive(Default)]
struct Backend {
    received: Vec<PacketView>,
    flows: BTreeSet<SocketAddrV4>,
}

/// One balancer, some agents, and what reached callers and back ends.
struct World {
    now: Timestamp,
    balancer: PassThroughBalancer<TestCodec>,
    agents: BTreeMap<SocketAddrV4, PassThroughAgent<TestCodec>>,
    backends: BTreeMap<SocketAddrV4, Backend>,
    callers: Vec<PacketView>,
    frozen: Vec<SocketAddrV4>,
    revision: u64,
    /// Questions for unknown flows.
    seeks: usize,
    /// What the balancer logged of refused flows.
    refusals: Vec<String>,
}

impl World {
    fn new(agents: u8, capacity: u32) -> World {
        let now = Timestamp::from_millis(1_000);
        let settings = PassThroughBalancerSettings {
            zone: "a".to_owned(),
            follow_interval: Duration::from_secs(1),
            flow_lifetime: Duration::from_secs(60),
            stop_delay: Duration::from_secs(2),
        };
        let contacts = Contacts::new(vec![REPLICA]);
        let incarnation = Incarnation(6);
        let balancer = PassThroughBalancer::new(now, settings, TestCodec, incarnation, contacts);
        let mut world = World {
            now,
            balancer,
            agents: BTreeMap::new(),
            backends: BTreeMap::new(),
            callers: Vec::new(),
            frozen: Vec::new(),
            revision: 0,
            seeks: 0,
            refusals: Vec::new(),
        };
        world.confirm();
        for index in 1..=agents {
            world.start_agent(index);
            world.register(index, capacity, false, 1);
        }
        world.run(5 * MILLI);
        world
    }

    /// Makes the balancer current with one route.
    fn confirm(&mut self) {
        let change = ConfigurationChange {
            base_version: 0,
            version: 3,
            put: vec![RouteRecord {
                address: pack_address(ROUTE),
                shares: vec![ShareRecord {
                    service: SERVICE.to_owned(),
                    weight: 1,
                }],
                annotation: Vec::new(),
                position: 0,
                objective_millis: 0,
            }],
            removed: Vec::new(),
            annotation: None,
        };
        let part = ConfigurationPart {
            base_version: 0,
            version: 3,
            part: 0,
            parts: 1,
            bytes: compress_prepend_size(&change.encode_to_vec()),
        };
        let confirmed = Confirmed {
            confirm: 7,
            version: 3,
        };
        for body in [
            PassThroughBody::Configuration(part),
            PassThroughBody::Confirmed(confirmed),
        ] {
            self.balancer.handle_message(self.now, REPLICA, body);
        }
        assert!(self.balancer.is_ready(self.now));
    }

    fn start_agent(&mut self, index: u8) {
        let address = agent_address(index);
        let settings = PassThroughAgentSettings {
            address,
            zone: "a".to_owned(),
            service: SERVICE.to_owned(),
            report_interval: Duration::from_millis(500),
            silence_limit: Duration::from_secs(6),
            provisional_limit: Duration::from_secs(2),
            flow_lifetime: Duration::from_secs(60),
            queue_factor: 3,
            stop_limit: Duration::from_secs(2),
        };
        let agent = PassThroughAgent::new(
            self.now,
            settings,
            TestCodec,
            Incarnation(self.now.as_micros() + u64::from(index)),
            Contacts::new(vec![REPLICA]),
        );
        self.agents.insert(address, agent);
        self.backends.entry(address).or_default();
    }

    fn register(&mut self, index: u8, capacity: u32, draining: bool, call_number: u64) {
        let call = Registration {
            id: format!("backend-{index}"),
            call_number,
            capacity,
            draining,
            cold: Duration::ZERO,
        };
        let agent = self.agents.get_mut(&agent_address(index)).expect("known");
        agent.handle_registration(self.now, &call);
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step(MILLI);
        }
    }

    /// Lets time pass without anybody noticing it.
    fn freeze_all(&mut self, duration: Duration) {
        self.now = self.now + duration;
    }

    fn step(&mut self, duration: Duration) {
        self.now = self.now + duration;
        let now = self.now;
        if self.balancer.poll_timeout() <= now {
            self.balancer.handle_timeout(now);
        }
        let addresses: Vec<SocketAddrV4> = self.agents.keys().copied().collect();
        for address in &addresses {
            let agent = self.agents.get_mut(address).expect("known");
            if !self.frozen.contains(address) && agent.poll_timeout() <= now {
                agent.handle_timeout(now);
            }
        }
        self.settle();
    }

    /// Carries messages until nobody has more to say.
    fn settle(&mut self) {
        loop {
            let mut quiet = true;
            while let Some(output) = self.balancer.poll_output() {
                quiet = false;
                self.carry_out(BALANCER, output);
            }
            let addresses: Vec<SocketAddrV4> = self.agents.keys().copied().collect();
            for address in addresses {
                if self.frozen.contains(&address) {
                    continue;
                }
                while let Some(output) = self
                    .agents
                    .get_mut(&address)
                    .and_then(PassThroughAgent::poll_output)
                {
                    quiet = false;
                    self.carry_out(address, output);
                }
            }
            if quiet {
                return;
            }
        }
    }

    fn carry_out(&mut self, from: SocketAddrV4, output: PassThroughOutput) {
        let now = self.now;
        match output {
            PassThroughOutput::Send { to, body } if to == BALANCER => {
                self.balancer.handle_message(now, from, body);
            }
            PassThroughOutput::Send { to, body } if to == REPLICA => {
                if let PassThroughBody::Report(report) = body {
                    self.pass_report(report);
                }
            }
            PassThroughOutput::Send { to, body } => {
                self.seeks += usize::from(matches!(body, PassThroughBody::Seek(_)));
                if self.frozen.contains(&to) {
                    return;
                }
                if let Some(agent) = self.agents.get_mut(&to) {
                    agent.handle_message(now, from, body);
                }
            }
            PassThroughOutput::ToCaller { packet, .. } => {
                self.callers
                    .push(TestCodec.view(&packet).expect("a packet"));
            }
            PassThroughOutput::ToBackend(packet) => self.reach_backend(from, &packet),
            PassThroughOutput::Event(event) if event.kind == EventKind::FlowRefused => {
                self.refusals.push(event.subject);
            }
            PassThroughOutput::Event(_) => {}
        }
    }

    fn pass_report(&mut self, report: Report) {
        let entry = DirectoryEntry {
            report,
            age_millis: 0,
        };
        let change = DirectoryChange {
            agents: vec![entry],
            gone: Vec::new(),
        };
        self.revision += 1;
        let directory = Directory {
            base_revision: 0,
            revision: self.revision,
            part: 0,
            parts: 1,
            bytes: compress_prepend_size(&change.encode_to_vec()),
        };
        let body = PassThroughBody::Directory(directory);
        self.balancer.handle_message(self.now, REPLICA, body);
    }

    /// A back end answers opening packets, and returns packets of flows that it
    /// does not have.
    fn reach_backend(&mut self, agent: SocketAddrV4, packet: &[u8]) {
        let view = TestCodec.view(packet).expect("a packet");
        let backend = self.backends.get_mut(&agent).expect("known");
        backend.received.push(view);
        if !view.is_opening() {
            if !backend.flows.contains(&view.source) {
                let returned = PacketView {
                    returned: true,
                    ..view
                };
                self.answer_from_backend(agent, &returned);
            }
            return;
        }
        backend.flows.insert(view.source);
        let answer = PacketView {
            synchronize: true,
            acknowledge: true,
            sequence: first_sequence(agent),
            ..empty(view.destination, view.source)
        };
        self.answer_from_backend(agent, &answer);
    }

    fn answer_from_backend(&mut self, agent: SocketAddrV4, view: &PacketView) {
        let now = self.now;
        let agent = self.agents.get_mut(&agent).expect("known");
        agent.handle_backend_packet(now, &encode(view));
    }

    fn open(&mut self, port: u16, copy: u32) {
        let packet = PacketView {
            synchronize: true,
            acknowledged: copy,
            ..empty(caller(port), ROUTE)
        };
        self.balancer.handle_packet(self.now, &encode(&packet));
        self.settle();
    }

    /// Another balancer opens flows at an agent.
    fn fill_from_elsewhere(&mut self, index: u8, flows: u16) {
        let elsewhere = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 98), 7000);
        for port in 1..=flows {
            let packet = PacketView {
                synchronize: true,
                ..empty(caller(30_000 + port), ROUTE)
            };
            let carry = Carry {
                service: service_digest(SERVICE),
                reason: CarryReason::OpenQueued.into(),
                packet: encode(&packet),
                objective_millis: 0,
            };
            let agent = self.agents.get_mut(&agent_address(index)).expect("known");
            agent.handle_message(self.now, elsewhere, PassThroughBody::Carry(carry));
        }
        self.settle();
        self.callers.clear();
    }

    /// The caller sends data on a flow that this agent's back end answered.
    fn request(&mut self, port: u16, agent: SocketAddrV4) {
        let packet = PacketView {
            acknowledge: true,
            acknowledged: first_sequence(agent).wrapping_add(1),
            data_bytes: 50,
            ..empty(caller(port), ROUTE)
        };
        self.balancer.handle_packet(self.now, &encode(&packet));
        self.settle();
    }

    /// The agent whose back end answered the caller's opening packet.
    fn answered_by(&self, port: u16) -> Option<SocketAddrV4> {
        let answer = self.callers.iter().rev().find(|view| {
            view.destination == caller(port) && view.synchronize && view.acknowledge
        })?;
        let agents = self.agents.keys();
        agents
            .copied()
            .find(|agent| first_sequence(*agent) == answer.sequence)
    }

    fn resets(&self) -> usize {
        self.callers.iter().filter(|view| view.reset).count()
    }

    /// Packets with data that reached the back end beside this agent.
    fn data_at(&self, agent: SocketAddrV4) -> usize {
        let received = self.backends[&agent].received.iter();
        received.filter(|view| view.data_bytes > 0).count()
    }
}

/// Each back end numbers its bytes from another place.
fn first_sequence(agent: SocketAddrV4) -> u32 {
    u32::from(agent.ip().octets()[3]) << 24
}

#[test]
fn a_flow_opens_and_its_packets_follow() {
    let mut world = World::new(3, 2);
    world.open(1, 0);
    let agent = world.answered_by(1).expect("an answer");
    world.request(1, agent);
    assert_eq!(world.data_at(agent), 1);
    assert_eq!(world.resets(), 0);
}

#[test]
fn new_flows_spread_by_load_and_the_last_is_refused_at_once() {
    let mut world = World::new(2, 2);
    for port in 1..=4 {
        world.open(port, 0);
        let agent = world.answered_by(port).expect("an answer");
        world.request(port, agent);
    }
    for agent in [agent_address(1), agent_address(2)] {
        assert_eq!(world.data_at(agent), 2);
    }
    for port in 5..=12 {
        world.open(port, 0);
        let agent = world.answered_by(port).expect("it is queued");
        world.request(port, agent);
    }
    world.open(13, 0);
    assert_eq!(world.resets(), 1, "everybody's queue is full");
}

#[test]
fn a_flow_is_queued_by_the_one_agent_that_has_room() {
    for free in 1..=6 {
        let mut world = World::new(6, 2);
        let others = (1..=6).filter(|index| *index != free);
        for index in others {
            world.fill_from_elsewhere(index, 6);
        }
        world.fill_from_elsewhere(free, 3);
        world.open(1, 0);
        assert_eq!(world.answered_by(1), Some(agent_address(free)));
        assert_eq!(world.resets(), 0);
    }
}

#[test]
fn a_frozen_agent_costs_a_new_flow_only_a_moment() {
    let mut world = World::new(2, 4);
    world.frozen.push(agent_address(1));
    for port in 1..=6 {
        world.open(port, 0);
    }
    world.run(100 * MILLI);
    for port in 1..=6 {
        assert_eq!(world.answered_by(port), Some(agent_address(2)));
    }
}

#[test]
fn a_draining_back_end_gets_no_new_flow_and_keeps_its_open_ones() {
    let mut world = World::new(2, 4);
    world.open(1, 0);
    let agent = world.answered_by(1).expect("an answer");
    world.request(1, agent);
    world.register(agent.ip().octets()[3], 4, true, 2);
    for port in 2..=5 {
        world.open(port, 0);
        assert_ne!(world.answered_by(port), Some(agent));
    }
    world.request(1, agent);
    assert_eq!(world.data_at(agent), 2);
}

#[test]
fn a_late_call_does_not_bring_a_back_end_back() {
    let mut world = World::new(1, 4);
    world.register(1, 4, true, 5);
    world.register(1, 4, false, 4);
    world.open(1, 0);
    assert_eq!(world.answered_by(1), None);
    let agent = world.agents.get_mut(&agent_address(1)).expect("known");
    agent.handle_withdrawal(world.now, "backend-1");
    world.register(1, 4, false, 9);
    world.open(2, 0);
    assert_eq!(world.answered_by(2), None);
}

#[test]
fn a_restarted_balancer_finds_open_flows() {
    let mut world = World::new(3, 4);
    world.open(1, 0);
    let agent = world.answered_by(1).expect("an answer");
    world.request(1, agent);
    let agents = std::mem::take(&mut world.agents);
    let mut restarted = World::new(0, 0);
    restarted.now = world.now;
    restarted.agents = agents;
    restarted.backends = std::mem::take(&mut world.backends);
    restarted.run(Duration::from_secs(1));
    restarted.request(1, agent);
    assert_eq!(restarted.data_at(agent), 2);
    let others = restarted.agents.keys().filter(|other| **other != agent);
    let strays: usize = others.map(|other| restarted.data_at(*other)).sum();
    assert_eq!(strays, 0, "no other back end may see the flow");
}

#[test]
fn callers_that_left_do_not_hold_slots() {
    let mut world = World::new(2, 3);
    for port in 1..=18 {
        world.open(port, 0);
    }
    world.run(200 * MILLI);
    let before = world.resets();
    for port in 101..=106 {
        world.open(port, 0);
        assert!(world.answered_by(port).is_some(), "slots are free");
    }
    assert_eq!(world.resets(), before);
}

#[test]
fn a_balancer_that_stood_still_drops_opening_packets_of_that_time() {
    let mut world = World::new(2, 4);
    world.freeze_all(Duration::from_secs(4));
    for port in 1..=30 {
        world.open(port, 0);
    }
    assert_eq!(world.resets(), 0, "their callers gave up long ago");
    let reached: usize = world.backends.values().map(|it| it.received.len()).sum();
    assert_eq!(reached, 0);
    world.run(100 * MILLI);
    world.open(31, 0);
    assert!(world.answered_by(31).is_some());
}

#[test]
fn packets_of_flows_that_nobody_has_cost_few_messages() {
    let mut world = World::new(10, 4);
    for round in 0..20 {
        for port in 1..=300 {
            world.request(port, agent_address(1));
        }
        world.run(10 * MILLI);
        assert_eq!(world.resets(), 0, "in round {round}");
    }
    let budget = 2_000 + 2_000 * 210 / 1_000;
    assert!(world.seeks <= budget, "{} questions", world.seeks);
    let received: usize = world.backends.values().map(|it| it.received.len()).sum();
    assert!(
        received <= 300,
        "{received} packets at back ends that have no flow"
    );
}

#[test]
fn a_balancer_that_nobody_answers_is_not_ready() {
    let mut world = World::new(2, 4);
    world.frozen = vec![agent_address(1), agent_address(2)];
    world.run(500 * MILLI);
    assert!(
        world.balancer.is_ready(world.now),
        "a short silence is nothing"
    );
    world.run(200 * MILLI);
    assert!(!world.balancer.is_ready(world.now));
    world.frozen.clear();
    world.open(1, 0);
    assert!(world.balancer.is_ready(world.now), "an agent answered");
}

#[test]
fn flows_that_never_open_are_soon_forgotten() {
    let mut world = World::new(2, 4);
    for port in 1..=500 {
        world.open(port, 0);
        world.request(port + 500, agent_address(1));
    }
    world.run(200 * MILLI);
    world.open(2_000, 0);
    let agent = world.answered_by(2_000).expect("an answer");
    world.request(2_000, agent);
    world.run(Duration::from_secs(5));
    let (flows, _) = world.balancer.sizes();
    assert_eq!(flows, 1, "only the open one is left");
}

#[test]
fn a_flow_is_offered_to_starting_agents_when_no_other_one_takes_it() {
    let mut world = World::new(0, 4);
    for index in 1..=3 {
        world.start_agent(index);
    }
    world.run(5 * MILLI);
    world.open(1, 0);
    assert!(world.answered_by(1).is_some(), "a back end was alive");
    assert_eq!(world.resets(), 0);
}

#[test]
fn a_refusal_tells_what_the_agents_answered() {
    let mut world = World::new(3, 2);
    for index in 1..=3 {
        world.fill_from_elsewhere(index, 6);
    }
    world.open(1, 0);
    let refusal = world.refusals.pop().expect("everybody is full");
    // Each is asked for a slot, and again whether it queues the flow.
    assert!(
        refusal.contains(" asked=6 full=6 late=0 other=0"),
        "{refusal}"
    );
    let mut nobody = World::new(0, 0);
    nobody.open(1, 0);
    let refusal = nobody.refusals.pop().expect("there is no agent");
    assert!(refusal.contains(" asked=0 "), "{refusal}");
}
