//! The machines of a run and the processes on them.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use petrellatch_core::Timestamp;
use petrellatch_core::agent_node::{AgentNode, AgentSettings};
use petrellatch_core::balancer_node::{BalancerNode, BalancerSettings};
use petrellatch_core::control::ControlNode;
use petrellatch_core::identity::{Incarnation, NodeId};
use petrellatch_core::node::NodeIdentity;
use petrellatch_proto::envelope::Envelope;
use petrellatch_proto::record::NodeRole;

use crate::experiment::churn::ALL_BALANCERS;
use crate::experiment::deployment::Deployment;
use crate::experiment::emulator::{backend_ip, balancer_ip};
use crate::experiment::system::SystemTotals;
use crate::experiment::variant::ProductVariant;

use super::add_counts;
use super::configuration::agent_name;
use super::control_group::{
    self, CONTROL_PORT, CONTROLS, control_addresses, control_ip, control_name,
};

/// The port for caller packets on every machine.
const DATA_PORT: u16 = 7_002;

/// The job of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NodeKind {
    Control,
    Balancer,
    Agent,
}

/// The process of a node.
pub(super) enum NodeState {
    Down,
    Control(Box<ControlNode>),
    Balancer(Box<BalancerNode>),
    Agent(Box<AgentNode>),
}

/// One machine.
pub(super) struct Node {
    pub(super) kind: NodeKind,
    pub(super) ip: Ipv4Addr,
    pub(super) state: NodeState,
    /// Counts the processes on this machine.
    pub(super) life: u32,
    /// When it is woken next.
    pub(super) wake_at: Option<Timestamp>,
    /// Bytes of control messages sent and received.
    pub(super) control_bytes: u64,
    name: String,
    zone: usize,
}

/// Returns all machines: control replicas, balancers, then those of the back
/// ends.
pub(super) fn all(deployment: &Deployment) -> Vec<Node> {
    let zones = deployment.zones.len();
    let controls = (0..CONTROLS).map(|number| {
        Node::new(
            NodeKind::Control,
            control_ip(number),
            control_name(number),
            number % zones,
        )
    });
    let balancers = (0..ALL_BALANCERS).map(|number| {
        let name = format!("balancer-{number}");
        Node::new(
            NodeKind::Balancer,
            balancer_ip(number),
            name,
            number % zones,
        )
    });
    let places = deployment.backends().into_iter().enumerate();
    let agents = places.map(|(number, place)| {
        Node::new(
            NodeKind::Agent,
            backend_ip(number),
            agent_name(number),
            place.zone,
        )
    });
    controls.chain(balancers).chain(agents).collect()
}

impl Node {
    fn new(kind: NodeKind, ip: Ipv4Addr, name: String, zone: usize) -> Self {
        Node {
            kind,
            ip,
            state: NodeState::Down,
            life: 0,
            wake_at: None,
            control_bytes: 0,
            name,
            zone,
        }
    }

    /// Starts a process.
    pub(super) fn start(
        &mut self,
        now: Timestamp,
        seed: u64,
        incarnation: u64,
        zones: &[&str],
        variant: &ProductVariant,
    ) {
        let role = match self.kind {
            NodeKind::Control => NodeRole::Control,
            NodeKind::Balancer => NodeRole::Balancer,
            NodeKind::Agent => NodeRole::Agent,
        };
        let identity = NodeIdentity {
            name: self.name.clone(),
            node: NodeId::from_name(&self.name),
            incarnation: Incarnation(incarnation),
            zone: zones[self.zone].to_owned(),
            role,
            control: self.control_address(),
            data: SocketAddrV4::new(self.ip, DATA_PORT),
        };
        self.state = match self.kind {
            NodeKind::Control => {
                NodeState::Control(Box::new(control_group::start(now, seed, identity)))
            }
            NodeKind::Balancer => {
                let mut settings = BalancerSettings::default();
                settings.link.controls = control_addresses();
                let node = BalancerNode::new(now, settings, identity, seed, None);
                NodeState::Balancer(Box::new(node))
            }
            NodeKind::Agent => {
                let settings = agent_settings(variant);
                NodeState::Agent(Box::new(AgentNode::new(
                    now, settings, identity, seed, None,
                )))
            }
        };
    }

    pub(super) fn control_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, CONTROL_PORT)
    }

    pub(super) fn handle_control(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        envelope: Envelope,
    ) {
        match &mut self.state {
            NodeState::Down => {}
            NodeState::Control(node) => node.handle_control(now, from, envelope),
            NodeState::Balancer(node) => node.handle_control(now, from, envelope),
            NodeState::Agent(node) => node.handle_control(now, from, envelope),
        }
    }

    pub(super) fn poll_timeout(&self) -> Option<Timestamp> {
        match &self.state {
            NodeState::Down => None,
            NodeState::Control(node) => node.poll_timeout(),
            NodeState::Balancer(node) => node.poll_timeout(),
            NodeState::Agent(node) => node.poll_timeout(),
        }
    }

    /// Does what is due.
    pub(super) fn wake(&mut self, now: Timestamp) {
        if self.poll_timeout().is_none_or(|due| due > now) {
            return;
        }
        match &mut self.state {
            NodeState::Down => {}
            NodeState::Control(node) => node.handle_timeout(now),
            NodeState::Balancer(node) => node.handle_timeout(now),
            NodeState::Agent(node) => node.handle_timeout(now),
        }
    }

    /// Adds the counters of the present process; bytes are counted once a
    /// machine, at the end.
    pub(super) fn add_totals(&self, totals: &mut SystemTotals) {
        match &self.state {
            NodeState::Down | NodeState::Control(_) => {}
            NodeState::Balancer(node) => add_counts(&mut totals.drops, &node.counters().drops),
            NodeState::Agent(node) => {
                let counters = node.counters();
                add_counts(&mut totals.drops, &counters.drops);
                add_counts(&mut totals.refused, &counters.refused);
                totals.hunted += counters.hunted;
            }
        }
    }
}

fn agent_settings(variant: &ProductVariant) -> AgentSettings {
    let mut settings = AgentSettings::default();
    settings.link.controls = control_addresses();
    settings.mutations = variant.mutations;
    if let Some(margin) = variant.hunt_margin {
        settings.hunt_margin = margin;
    }
    if let Some(millis) = variant.wait_limit_millis {
        settings.wait_limit = Duration::from_millis(millis);
    }
    settings
}
