//! The product under test: the daemons' own state machines on a network of
//! messages.

mod configuration;
mod control_group;
mod event;
mod nodes;
mod operator;
mod outputs;
mod system;

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use petrellatch_core::Timestamp;

use crate::simulator::engine::network::Network;
use crate::simulator::engine::random::{Random, nonzero, stream};

use super::churn::ALL_BALANCERS;
use super::emulator::{RunSettings, make_network};
use super::system::{Effect, Effects, SystemTotals};
use super::variant::ProductVariant;

use self::configuration::first_edits;
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
    /// Machines that no control message reaches or leaves.
    cut_off: Vec<Ipv4Addr>,
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
            cut_off: Vec::new(),
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

    /// Cuts a machine off from the control group and from the balancers, which
    /// may serve as its relays. Caller packets still pass.
    fn cut_off(&mut self, machine: Ipv4Addr, duration: Duration, effects: &mut ProductEffects) {
        self.cut_off.push(machine);
        let event = ProductEvent::Mend { machine };
        effects.push(Effect::Schedule(duration, event));
    }

    fn mend(&mut self, machine: Ipv4Addr) {
        if let Some(position) = self.cut_off.iter().position(|it| *it == machine) {
            self.cut_off.remove(position);
        }
    }

    /// Returns whether control messages between two nodes are lost.
    fn is_cut(&self, from: usize, to: usize) -> bool {
        let is_source = |index: usize| self.nodes[index].kind != NodeKind::Agent;
        let is_cut_off = |index: usize| self.cut_off.contains(&self.nodes[index].ip);
        (is_cut_off(from) && is_source(to)) || (is_cut_off(to) && is_source(from))
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

/// Adds up counts by name.
fn add_counts<K: std::fmt::Debug>(sums: &mut BTreeMap<String, u64>, counts: &BTreeMap<K, u64>) {
    for (key, count) in counts {
        *sums.entry(format!("{key:?}")).or_default() += count;
    }
}
