//! The product under test: the daemons' own state machines on a network of
//! messages.

mod configuration;
mod control_group;
mod event;
mod nodes;
mod operator;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use petrellatch_core::Timestamp;
use petrellatch_core::agent_node::{AgentOutput, BackendEvent, FlowId};
use petrellatch_core::balancer_node::BalancerOutput;
use petrellatch_core::control::ControlOutput;
use petrellatch_proto::envelope::Envelope;
use prost::Message;

use crate::simulator::engine::network::Network;
use crate::simulator::engine::random::{Random, nonzero, stream};

use super::churn::{ALL_BALANCERS, ChurnAction};
use super::deployment::FIRST_BALANCERS;
use super::emulator::{RunSettings, make_network};
use super::server::Server;
use super::system::{Connection, Effect, Effects, System, SystemTotals};
use super::variant::ProductVariant;

use self::configuration::{first_edits, put_policy, set_drain};
use self::control_group::CONTROLS;
use self::event::ProductEvent;
use self::nodes::{Node, NodeKind, NodeState};
use self::operator::Operator;

/// Time between two looks of the operator's automation.
const OPERATOR_INTERVAL: Duration = Duration::from_millis(50);

/// Time that a disk takes to sync.
const SYNC_TIME: Duration = Duration::from_millis(2);

/// The product.
pub struct Product {
    settings: RunSettings,
    variant: ProductVariant,
    nodes: Vec<Node>,
    network: Network,
    operator: Operator,
    random: Random,
    extra_hops: u64,
    packets: u64,
    /// Counters of processes that are gone.
    former: SystemTotals,
}

type ProductEffects = Effects<ProductEvent>;

impl Product {
    /// Prepares the nodes of a deployment.
    pub fn new(settings: RunSettings, variant: ProductVariant) -> Self {
        let mut network = make_network(&settings, "product's network");
        let nodes = nodes::all(&settings.deployment);
        for (number, node) in nodes.iter().take(CONTROLS).enumerate() {
            let zone = number % settings.deployment.zones.len();
            network.place(node.ip, crate::simulator::engine::network::SiteIndex(zone));
        }
        Product {
            network,
            nodes,
            operator: Operator::new(first_edits(&settings.deployment)),
            random: stream(settings.seed, "product"),
            variant,
            settings,
            extra_hops: 0,
            packets: 0,
            former: SystemTotals::default(),
        }
    }

    fn balancer(balancer: usize) -> usize {
        CONTROLS + balancer
    }

    fn agent(backend: usize) -> usize {
        CONTROLS + ALL_BALANCERS + backend
    }

    fn start_node(&mut self, now: Timestamp, index: usize, effects: &mut ProductEffects) {
        let seed = nonzero(&mut self.random);
        let incarnation = nonzero(&mut self.random);
        let zones = self.settings.deployment.zones;
        let node = &mut self.nodes[index];
        node.start(now, seed, incarnation, zones, &self.variant);
        self.drain(now, index, effects);
    }

    fn kill_node(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.add_totals(&mut self.former);
        node.state = NodeState::Down;
        node.life += 1;
        node.wake_at = None;
    }

    /// Carries out what a node wants and sees to it that it is woken.
    fn drain(&mut self, now: Timestamp, index: usize, effects: &mut ProductEffects) {
        match self.nodes[index].kind {
            NodeKind::Control => self.drain_control(index, effects),
            NodeKind::Balancer => self.drain_balancer(index, effects),
            NodeKind::Agent => self.drain_agent(index, effects),
        }
        let node = &mut self.nodes[index];
        let Some(due) = node.poll_timeout() else {
            return;
        };
        if node.wake_at.is_none_or(|at| at > due || at <= now) {
            node.wake_at = Some(due.max(now));
            let life = node.life;
            let delay = due.saturating_since(now);
            effects.push(Effect::Schedule(delay, ProductEvent::Wake { index, life }));
        }
    }

    fn drain_control(&mut self, index: usize, effects: &mut ProductEffects) {
        while let NodeState::Control(node) = &mut self.nodes[index].state
            && let Some(output) = node.poll_output()
        {
            match output {
                ControlOutput::Send { to, envelope } => self.send(index, to, envelope, effects),
                ControlOutput::Persist(request) => {
                    let life = self.nodes[index].life;
                    let request = Box::new(request);
                    let event = ProductEvent::Synced {
                        index,
                        life,
                        request,
                    };
                    effects.push(Effect::Schedule(SYNC_TIME, event));
                }
                ControlOutput::Respond { token, result } => {
                    self.operator.handle_response(token, &result);
                }
                ControlOutput::Event(_) | ControlOutput::Failed { .. } => {}
            }
        }
    }

    fn drain_balancer(&mut self, index: usize, effects: &mut ProductEffects) {
        while let NodeState::Balancer(node) = &mut self.nodes[index].state
            && let Some(output) = node.poll_output()
        {
            if let BalancerOutput::Send { to, envelope } = output {
                self.send(index, to, envelope, effects);
            }
        }
    }

    fn drain_agent(&mut self, index: usize, effects: &mut ProductEffects) {
        let backend = index - Product::agent(0);
        let life = self.nodes[index].life;
        let connection = |flow: FlowId| Connection {
            backend,
            life,
            flow: flow.0,
        };
        while let NodeState::Agent(node) = &mut self.nodes[index].state
            && let Some(output) = node.poll_output()
        {
            match output {
                AgentOutput::Send { to, envelope } => self.send(index, to, envelope, effects),
                AgentOutput::Forward { to, datagram } => {
                    self.extra_hops += 1;
                    let datagram = Box::new(datagram);
                    self.deliver(index, *to.ip(), effects, |to| ProductEvent::Datagram {
                        to,
                        datagram,
                    });
                }
                AgentOutput::Packet(packet) => effects.push(Effect::ToCaller { backend, packet }),
                AgentOutput::Connect { flow, .. } => {
                    effects.push(Effect::Connect(connection(flow)));
                }
                AgentOutput::Write { flow, bytes } => {
                    effects.push(Effect::Write(connection(flow), bytes));
                }
                AgentOutput::Finish { flow } => effects.push(Effect::Finish(connection(flow))),
                AgentOutput::Abort { flow } => effects.push(Effect::Abort(connection(flow))),
                AgentOutput::PauseReading { .. }
                | AgentOutput::ResumeReading { .. }
                | AgentOutput::Event(_)
                | AgentOutput::StoreView(_) => {}
            }
        }
    }

    fn send(
        &mut self,
        from: usize,
        to: SocketAddrV4,
        envelope: Envelope,
        effects: &mut ProductEffects,
    ) {
        let bytes = envelope.encoded_len() as u64;
        self.nodes[from].control_bytes += bytes;
        let sender = self.nodes[from].control_address();
        let envelope = Box::new(envelope);
        let receiver = self.find(*to.ip());
        let is_sent = self.deliver(from, *to.ip(), effects, |to| ProductEvent::Control {
            to,
            from: sender,
            envelope,
        });
        if let Some(receiver) = receiver.filter(|_| is_sent) {
            self.nodes[receiver].control_bytes += bytes;
        }
    }

    /// Schedules the arrival of a datagram unless it is lost.
    fn deliver(
        &mut self,
        from: usize,
        to: Ipv4Addr,
        effects: &mut ProductEffects,
        event: impl FnOnce(usize) -> ProductEvent,
    ) -> bool {
        let Some(receiver) = self.find(to) else {
            return false;
        };
        let arrivals = self.network.send(self.nodes[from].ip, to);
        let Some(delay) = arrivals.first else {
            return false;
        };
        effects.push(Effect::Schedule(delay, event(receiver)));
        true
    }

    fn find(&self, ip: Ipv4Addr) -> Option<usize> {
        self.nodes.iter().position(|node| node.ip == ip)
    }

    /// Cuts a machine off from the control group, and from all balancers if
    /// it is one, which could serve as its relays.
    fn cut_off(
        &mut self,
        machine: Ipv4Addr,
        balancers_too: bool,
        duration: Duration,
        effects: &mut ProductEffects,
    ) {
        for peer in self.control_sources(machine, balancers_too) {
            self.network.cut(peer, machine);
            self.network.cut(machine, peer);
        }
        let event = ProductEvent::Mend {
            machine,
            balancers_too,
        };
        effects.push(Effect::Schedule(duration, event));
    }

    fn mend(&mut self, machine: Ipv4Addr, balancers_too: bool) {
        for peer in self.control_sources(machine, balancers_too) {
            self.network.mend(peer, machine);
            self.network.mend(machine, peer);
        }
    }

    fn control_sources(&self, machine: Ipv4Addr, balancers_too: bool) -> Vec<Ipv4Addr> {
        let is_source = |node: &&Node| match node.kind {
            NodeKind::Control => true,
            NodeKind::Balancer => balancers_too && node.ip != machine,
            NodeKind::Agent => false,
        };
        self.nodes
            .iter()
            .filter(is_source)
            .map(|it| it.ip)
            .collect()
    }

    fn operate(&mut self, now: Timestamp, effects: &mut ProductEffects) {
        effects.push(Effect::Schedule(OPERATOR_INTERVAL, ProductEvent::Operate));
        let leads = |node: &Node| match &node.state {
            NodeState::Control(node) => node.replica().is_leader_with_quorum(now),
            _ => false,
        };
        let Some(leader) = self.nodes.iter().position(leads) else {
            return;
        };
        if let NodeState::Control(node) = &mut self.nodes[leader].state
            && let Some((token, request)) = self.operator.poll(now, node.state().config_version())
        {
            node.handle_request(now, token, request);
        }
        self.drain(now, leader, effects);
    }
}

impl System for Product {
    type Event = ProductEvent;

    fn start(&mut self, now: Timestamp) -> ProductEffects {
        let mut effects = Vec::new();
        for index in 0..self.nodes.len() {
            let is_later = index >= Product::balancer(FIRST_BALANCERS) && index < Product::agent(0);
            if !is_later {
                self.start_node(now, index, &mut effects);
            }
        }
        effects.push(Effect::Schedule(OPERATOR_INTERVAL, ProductEvent::Operate));
        effects
    }

    fn is_ready(&self, balancer: usize) -> bool {
        match &self.nodes[Product::balancer(balancer)].state {
            NodeState::Balancer(node) => node.is_ready(),
            _ => false,
        }
    }

    fn handle_packet(
        &mut self,
        now: Timestamp,
        balancer: usize,
        packet: Vec<u8>,
    ) -> ProductEffects {
        let mut effects = Vec::new();
        self.packets += 1;
        let index = Product::balancer(balancer);
        if let NodeState::Balancer(node) = &mut self.nodes[index].state
            && let Some((to, datagram)) = node.handle_packet(now, &packet)
        {
            let datagram = Box::new(datagram);
            self.deliver(index, *to.ip(), &mut effects, |to| ProductEvent::Datagram {
                to,
                datagram,
            });
        }
        effects
    }

    fn handle_event(
        &mut self,
        now: Timestamp,
        event: ProductEvent,
        _servers: &[Server],
    ) -> ProductEffects {
        let mut effects = Vec::new();
        match event {
            ProductEvent::Control { to, from, envelope } => {
                self.nodes[to].handle_control(now, from, *envelope);
                self.drain(now, to, &mut effects);
            }
            ProductEvent::Datagram { to, datagram } => {
                if let NodeState::Agent(node) = &mut self.nodes[to].state {
                    node.handle_datagram(now, *datagram);
                    self.drain(now, to, &mut effects);
                }
            }
            ProductEvent::Wake { index, life } => {
                if self.nodes[index].life == life {
                    self.nodes[index].wake(now);
                    self.drain(now, index, &mut effects);
                }
            }
            ProductEvent::Synced {
                index,
                life,
                request,
            } => {
                if self.nodes[index].life == life
                    && let NodeState::Control(node) = &mut self.nodes[index].state
                {
                    node.handle_persisted(now, request.ticket);
                    self.drain(now, index, &mut effects);
                }
            }
            ProductEvent::Operate => self.operate(now, &mut effects),
            ProductEvent::Mend {
                machine,
                balancers_too,
            } => self.mend(machine, balancers_too),
        }
        effects
    }

    fn handle_backend(
        &mut self,
        now: Timestamp,
        connection: Connection,
        event: BackendEvent,
    ) -> ProductEffects {
        let mut effects = Vec::new();
        let index = Product::agent(connection.backend);
        if self.nodes[index].life == connection.life
            && let NodeState::Agent(node) = &mut self.nodes[index].state
        {
            node.handle_backend(now, FlowId(connection.flow), event);
            self.drain(now, index, &mut effects);
        }
        effects
    }

    fn handle_churn(&mut self, now: Timestamp, action: &ChurnAction) -> ProductEffects {
        let mut effects = Vec::new();
        let deployment = self.settings.deployment;
        match action {
            ChurnAction::BalancerJoins(balancer) => {
                self.start_node(now, Product::balancer(*balancer), &mut effects);
            }
            ChurnAction::BalancerStops(balancer) => {
                let index = Product::balancer(*balancer);
                if let NodeState::Balancer(node) = &mut self.nodes[index].state {
                    node.begin_stop(now);
                    self.drain(now, index, &mut effects);
                }
            }
            ChurnAction::BalancerDies(balancer) => self.kill_node(Product::balancer(*balancer)),
            ChurnAction::BalancerLags(balancer, duration) => {
                let machine = self.nodes[Product::balancer(*balancer)].ip;
                self.cut_off(machine, true, *duration, &mut effects);
            }
            ChurnAction::DrainBegins(backend) => {
                self.operator
                    .submit(vec![set_drain(&deployment, *backend, true)]);
            }
            ChurnAction::DrainEnds(backend) => {
                self.operator
                    .submit(vec![set_drain(&deployment, *backend, false)]);
            }
            ChurnAction::BackendDies(backend) => self.kill_node(Product::agent(*backend)),
            ChurnAction::BackendReturns(backend) => {
                self.start_node(now, Product::agent(*backend), &mut effects);
            }
            ChurnAction::PolicyChanges { zone, weight } => {
                let zone = deployment.zones[*zone];
                self.operator.submit(vec![put_policy(zone, *weight)]);
            }
            ChurnAction::BackendCutOff(backend, duration) => {
                let machine = self.nodes[Product::agent(*backend)].ip;
                self.cut_off(machine, true, *duration, &mut effects);
            }
            ChurnAction::BackendSheds(..) | ChurnAction::BackendLies(..) => {}
        }
        effects
    }

    fn totals(&self) -> SystemTotals {
        let mut totals = self.former.clone();
        totals.packets = self.packets;
        totals.extra_hops = self.extra_hops;
        for node in &self.nodes {
            node.add_totals(&mut totals);
            match node.kind {
                NodeKind::Control => {}
                NodeKind::Balancer => totals.balancer_control_bytes += node.control_bytes,
                NodeKind::Agent => totals.backend_control_bytes += node.control_bytes,
            }
        }
        totals
    }
}

/// Adds up counts by name.
fn add_counts<K: std::fmt::Debug>(sums: &mut BTreeMap<String, u64>, counts: &BTreeMap<K, u64>) {
    for (key, count) in counts {
        *sums.entry(format!("{key:?}")).or_default() += count;
    }
}
