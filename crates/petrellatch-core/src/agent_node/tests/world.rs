//! Agents, balancers, callers and back ends on one virtual clock.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::data::DataDatagram;
use petrellatch_proto::envelope::Envelope;
use petrellatch_proto::record::{NodeRole, Record, RefusalMode};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::Timestamp;
use crate::agent_node::{AgentNode, AgentOutput, AgentSettings, BackendEvent, FlowId};
use crate::balancer_node::{BalancerNode, BalancerOutput, BalancerSettings};
use crate::flow::PacketView;
use crate::identity::{Incarnation, NodeId};
use crate::node::NodeIdentity;

use super::caller::Caller;
use super::control_stub::{ControlStub, backend, service};

/// The service of most tests.
pub(super) const DESK: u32 = 1;

/// Another service, to see that packets don't cross.
pub(super) const GALLERY: u32 = 2;

pub(super) enum Happening {
    Control(SocketAddrV4, SocketAddrV4, Envelope),
    Datagram(SocketAddrV4, DataDatagram),
    ToBalancer(usize, Vec<u8>),
    ToCaller(Vec<u8>),
    Backend(String, FlowId, BackendEvent),
    CallerTimer(SocketAddrV4),
}

pub(super) struct World {
    pub(super) now: Timestamp,
    pub(super) random: ChaCha8Rng,
    queue: BTreeMap<(Timestamp, u64), Happening>,
    sequence: u64,
    pub(super) control: ControlStub,
    pub(super) agents: BTreeMap<String, AgentNode>,
    pub(super) balancers: Vec<BalancerNode>,
    pub(super) callers: BTreeMap<SocketAddrV4, Caller>,
    /// Requests by back end port, in order of arrival.
    pub(super) requests: Vec<(u16, String)>,
    servers: BTreeMap<(String, FlowId), SocketAddrV4>,
    partial: BTreeMap<(String, FlowId), String>,
    pub(super) dead_servers: BTreeSet<u16>,
    /// Nodes that neither send nor receive anything.
    pub(super) frozen: BTreeSet<String>,
    /// Nodes that don't reach the control group.
    pub(super) cut_off: BTreeSet<String>,
    pub(super) settings: AgentSettings,
    pub(super) loss_permille: u32,
    pub(super) greatest_delay: Duration,
    pub(super) service_time: Duration,
}

pub(super) fn address_of(service: u32) -> SocketAddrV4 {
    let last = u8::try_from(service).unwrap();
    SocketAddrV4::new([10, 9, 0, last].into(), 80)
}

pub(super) fn source(number: u16) -> SocketAddrV4 {
    SocketAddrV4::new([10, 8, 0, 1].into(), 20_000 + number)
}

fn node_address(name: &str, port: u16) -> SocketAddrV4 {
    let [.., last] = name.as_bytes() else {
        panic!("names are not empty");
    };
    let third = u8::from(name.starts_with("balancer")) + 1;
    SocketAddrV4::new([10, 0, third, *last].into(), port)
}

impl World {
    /// Agents named a, b, c .. with one back end each (1, 2, 3 ..), all of
    /// equal weight, and two balancers.
    pub(super) fn new(seed: u64, agents: usize) -> Self {
        World::with_settings(seed, agents, AgentSettings::default())
    }

    pub(super) fn with_settings(seed: u64, agents: usize, mut settings: AgentSettings) -> Self {
        settings.link.controls = vec![ControlStub::address()];
        let mut world = World {
            now: Timestamp::from_millis(1_000),
            random: ChaCha8Rng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            sequence: 0,
            control: ControlStub::default(),
            agents: BTreeMap::new(),
            balancers: Vec::new(),
            callers: BTreeMap::new(),
            requests: Vec::new(),
            servers: BTreeMap::new(),
            partial: BTreeMap::new(),
            dead_servers: BTreeSet::new(),
            frozen: BTreeSet::new(),
            cut_off: BTreeSet::new(),
            settings,
            loss_permille: 0,
            greatest_delay: Duration::from_millis(1),
            service_time: Duration::from_millis(20),
        };
        world.put_services();
        for name in ["a", "b", "c", "d", "e"].iter().take(agents) {
            world.start_agent(name, 1);
        }
        world.start_balancers();
        world.run(Duration::from_secs(2));
        let weights: Vec<(u64, u32)> = (1..=agents as u64).map(|id| (id, 1_000)).collect();
        world.control.place(DESK, &weights, 0);
        world.publish();
        world.run(Duration::from_secs(3));
        world
    }

    fn put_services(&mut self) {
        let desk = service(DESK, address_of(DESK), RefusalMode::HttpUnavailable);
        let gallery = service(GALLERY, address_of(GALLERY), RefusalMode::Reset);
        self.control.put(Record::Service(desk));
        self.control.put(Record::Service(gallery));
        for (id, name) in (1..).zip(["a", "b", "c", "d", "e"]) {
            self.control.put(Record::Backend(backend(id, DESK, name)));
        }
        self.control.put(Record::Backend(backend(9, GALLERY, "a")));
    }

    pub(super) fn start_agent(&mut self, name: &str, incarnation: u64) {
        let identity = identity(name, incarnation, NodeRole::Agent);
        let seed = self.random.random();
        let agent = AgentNode::new(self.now, self.settings.clone(), identity, seed, None);
        self.agents.insert(name.to_owned(), agent);
    }

    fn start_balancers(&mut self) {
        for name in ["balancer-1", "balancer-2"] {
            let mut settings = BalancerSettings::default();
            settings.link.controls = vec![ControlStub::address()];
            let identity = identity(name, 1, NodeRole::Balancer);
            let node = BalancerNode::new(self.now, settings, identity, 1, None);
            self.balancers.push(node);
        }
    }

    /// Sends the newest version to all daemons.
    pub(super) fn publish(&mut self) {
        let names: Vec<String> = self.agents.keys().cloned().collect();
        for name in names {
            self.publish_to(&name);
        }
        for index in 0..self.balancers.len() {
            let version = self.balancers[index].link().view().version();
            let name = self.balancers[index].link().identity().name.clone();
            self.send_update(&name, version);
        }
    }

    /// Sends the newest version to one agent.
    pub(super) fn publish_to(&mut self, name: &str) {
        let version = self.agents[name].link().view().version();
        self.send_update(name, version);
    }

    fn send_update(&mut self, name: &str, version: u64) {
        if let Some(update) = self.control.update_since(version) {
            let body = petrellatch_proto::envelope::Body::Update(update);
            let envelope = control_identity().envelope(Some(NodeId::from_name(name)), body);
            let to = node_address(name, 7_001);
            self.push_control(to, ControlStub::address(), envelope);
        }
    }

    /// Opens a flow from a caller port and sends a request on it.
    pub(super) fn call(&mut self, number: u16, request: &str) {
        self.call_service(DESK, number, request);
    }

    pub(super) fn call_service(&mut self, service: u32, number: u16, request: &str) {
        let source = source(number);
        let mut caller = Caller::connect(self.now, source, address_of(service));
        caller.send(request.as_bytes());
        self.callers.insert(source, caller);
        self.poll_caller(source);
    }

    /// Sends more bytes on an open flow.
    pub(super) fn say(&mut self, number: u16, request: &str) {
        let source = source(number);
        self.callers
            .get_mut(&source)
            .unwrap()
            .send(request.as_bytes());
        self.poll_caller(source);
    }

    pub(super) fn caller(&mut self, number: u16) -> &mut Caller {
        self.callers.get_mut(&source(number)).unwrap()
    }

    /// The callers in `numbers` whose answer is not exactly the expected text.
    pub(super) fn unanswered(&self, numbers: std::ops::Range<u16>, wanted: &str) -> Vec<u16> {
        let answered = |number: &u16| self.callers[&source(*number)].text().contains(wanted);
        numbers.filter(|number| !answered(number)).collect()
    }

    pub(super) fn requests_like(&self, text: &str) -> usize {
        let mut requests = self.requests.iter();
        requests.by_ref().filter(|(_, it)| it == text).count()
    }

    pub(super) fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(at) = self.next_time().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.step();
        }
        self.now = end;
    }

    fn next_time(&self) -> Option<Timestamp> {
        let queued = self.queue.first_key_value().map(|((at, _), _)| *at);
        let live = |name: &&String| !self.frozen.contains(*name);
        let agents = self.agents.keys().filter(live);
        let agents = agents.filter_map(|name| self.agents[name].poll_timeout());
        let balancers = self.balancers.iter().filter_map(BalancerNode::poll_timeout);
        queued.into_iter().chain(agents).chain(balancers).min()
    }

    fn step(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let happening = entry.remove();
            self.happen(happening);
        }
        let names: Vec<String> = self.agents.keys().cloned().collect();
        for name in &names {
            if self.frozen.contains(name) {
                continue;
            }
            let agent = self.agents.get_mut(name).unwrap();
            if agent.poll_timeout().is_some_and(|due| due <= self.now) {
                agent.handle_timeout(self.now);
            }
            self.drain_agent(name);
        }
        for index in 0..self.balancers.len() {
            self.balancers[index].handle_timeout(self.now);
            self.drain_balancer(index);
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Control(to, from, envelope) => self.deliver_control(to, from, envelope),
            Happening::Datagram(to, datagram) => {
                let Some(name) = self.agent_at(to) else {
                    return;
                };
                let agent = self.agents.get_mut(&name).unwrap();
                agent.handle_datagram(self.now, datagram);
                self.drain_agent(&name);
            }
            Happening::ToBalancer(index, packet) => {
                let routed = self.balancers[index].handle_packet(self.now, &packet);
                if let Some((to, datagram)) = routed {
                    self.push_lossy(Happening::Datagram(to, datagram));
                }
            }
            Happening::ToCaller(packet) => {
                let source = PacketView::parse(&packet).unwrap().key.destination;
                if let Some(caller) = self.callers.get_mut(&source) {
                    caller.handle_packet(packet);
                    self.poll_caller(source);
                }
            }
            Happening::Backend(name, flow, event) => {
                if self.frozen.contains(&name) {
                    return;
                }
                let agent = self.agents.get_mut(&name).unwrap();
                agent.handle_backend(self.now, flow, event);
                self.drain_agent(&name);
            }
            Happening::CallerTimer(source) => self.poll_caller(source),
        }
    }

    fn deliver_control(&mut self, to: SocketAddrV4, from: SocketAddrV4, envelope: Envelope) {
        if to == ControlStub::address() {
            let version = self.control.view.version();
            let sender = NodeId(envelope.sender);
            if let Some(body) = self.control.handle(&envelope) {
                let reply = control_identity().envelope(Some(sender), body);
                self.push_control(from, to, reply);
            }
            if self.control.view.version() != version {
                self.publish();
            }
        } else if let Some(name) = self.agent_at(to) {
            let agent = self.agents.get_mut(&name).unwrap();
            agent.handle_control(self.now, from, envelope);
            self.drain_agent(&name);
        } else if let Some(index) = self.balancer_at(to) {
            self.balancers[index].handle_control(self.now, from, envelope);
            self.drain_balancer(index);
        }
    }

    fn agent_at(&self, address: SocketAddrV4) -> Option<String> {
        let live = |name: &&String| !self.frozen.contains(*name);
        let mut names = self.agents.keys().filter(live);
        let found = names.find(|name| node_address(name, 0).ip() == address.ip());
        found.cloned()
    }

    fn balancer_at(&self, address: SocketAddrV4) -> Option<usize> {
        let mut nodes = self.balancers.iter();
        nodes.position(|it| it.link().identity().control == address)
    }

    fn drain_agent(&mut self, name: &str) {
        while let Some(output) = self.agents.get_mut(name).unwrap().poll_output() {
            match output {
                AgentOutput::Send { to, envelope } => {
                    self.push_control(to, node_address(name, 7_001), envelope);
                }
                AgentOutput::Forward { to, datagram } => {
                    self.push_lossy(Happening::Datagram(to, datagram));
                }
                AgentOutput::Packet(packet) => self.push_lossy(Happening::ToCaller(packet)),
                AgentOutput::Connect { flow, server } => self.connect_server(name, flow, server),
                AgentOutput::Write { flow, bytes } => self.serve(name, flow, &bytes),
                AgentOutput::Finish { flow } => {
                    self.backend_event(name, flow, BackendEvent::Finished)
                }
                AgentOutput::Abort { flow } => {
                    self.servers.remove(&(name.to_owned(), flow));
                }
                AgentOutput::PauseReading { .. }
                | AgentOutput::ResumeReading { .. }
                | AgentOutput::Event(_)
                | AgentOutput::StoreView(_) => {}
            }
        }
    }

    fn drain_balancer(&mut self, index: usize) {
        let from = self.balancers[index].link().identity().control;
        while let Some(output) = self.balancers[index].poll_output() {
            if let BalancerOutput::Send { to, envelope } = output {
                self.push_control(to, from, envelope);
            }
        }
    }

    fn connect_server(&mut self, name: &str, flow: FlowId, server: SocketAddrV4) {
        self.servers.insert((name.to_owned(), flow), server);
        let event = if self.dead_servers.contains(&server.port()) {
            BackendEvent::ConnectFailed
        } else {
            BackendEvent::Connected
        };
        self.backend_event(name, flow, event);
    }

    /// A server answers each line with its port and the line.
    fn serve(&mut self, name: &str, flow: FlowId, bytes: &[u8]) {
        let key = (name.to_owned(), flow);
        let port = self.servers[&key].port();
        self.backend_event(name, flow, BackendEvent::Writable);
        let partial = self.partial.entry(key).or_default();
        partial.push_str(std::str::from_utf8(bytes).unwrap());
        while let Some(end) = partial.find('\n') {
            let request: String = partial.drain(..=end).collect();
            let request = request.trim_end().to_owned();
            let answer = format!("{port}:{request};");
            self.requests.push((port, request));
            let event = BackendEvent::Data(answer.into_bytes());
            let happening = Happening::Backend(name.to_owned(), flow, event);
            let at = self.now + self.service_time;
            self.queue.insert((at, self.sequence), happening);
            self.sequence += 1;
        }
    }

    pub(super) fn backend_event(&mut self, name: &str, flow: FlowId, event: BackendEvent) {
        let happening = Happening::Backend(name.to_owned(), flow, event);
        self.push_after(Duration::from_micros(50), happening);
    }

    /// The flows of an agent that have a connection to a back end.
    pub(super) fn connections_of(&self, name: &str) -> Vec<FlowId> {
        let flows = self.servers.keys().filter(|(agent, _)| agent == name);
        flows.map(|(_, flow)| *flow).collect()
    }

    fn poll_caller(&mut self, source: SocketAddrV4) {
        let now = self.now;
        let caller = self.callers.get_mut(&source).unwrap();
        let packets = caller.poll(now);
        let due = caller.poll_timeout(now);
        for packet in packets {
            let index = self.random.random_range(0..self.balancers.len());
            self.push_lossy(Happening::ToBalancer(index, packet));
        }
        if let Some(due) = due {
            let at = due.max(now + Duration::from_micros(10));
            self.queue
                .insert((at, self.sequence), Happening::CallerTimer(source));
            self.sequence += 1;
        }
    }

    fn push_control(&mut self, to: SocketAddrV4, from: SocketAddrV4, envelope: Envelope) {
        let control = ControlStub::address();
        let is_cut = |address: SocketAddrV4| {
            let mut names = self.cut_off.iter();
            names.any(|name| node_address(name, 0).ip() == address.ip())
        };
        let cut = (to == control && is_cut(from)) || (from == control && is_cut(to));
        if !cut {
            self.push_lossy(Happening::Control(to, from, envelope));
        }
    }

    pub(super) fn push_lossy(&mut self, happening: Happening) {
        let lost = self.random.random_range(0..1_000) < self.loss_permille;
        let greatest = u64::try_from(self.greatest_delay.as_micros()).unwrap();
        let delay = Duration::from_micros(self.random.random_range(100..=greatest.max(100)));
        if !lost {
            self.push_after(delay, happening);
        }
    }

    fn push_after(&mut self, delay: Duration, happening: Happening) {
        self.queue
            .insert((self.now + delay, self.sequence), happening);
        self.sequence += 1;
    }
}

fn identity(name: &str, incarnation: u64, role: NodeRole) -> NodeIdentity {
    NodeIdentity {
        name: name.to_owned(),
        node: NodeId::from_name(name),
        incarnation: Incarnation(incarnation),
        zone: "zone-a".to_owned(),
        role,
        control: node_address(name, 7_001),
        data: node_address(name, 7_002),
    }
}

fn control_identity() -> NodeIdentity {
    identity("control-1", 1, NodeRole::Control)
}
