//! The product as a system under test.

use petrellatch_core::Timestamp;
use petrellatch_core::agent_node::{BackendEvent, FlowId};

use crate::experiment::churn::ChurnAction;
use crate::experiment::deployment::FIRST_BALANCERS;
use crate::experiment::server::Server;
use crate::experiment::system::{Connection, Effect, System, SystemTotals};

use super::configuration::{put_policy, set_drain};
use super::event::ProductEvent;
use super::nodes::{NodeKind, NodeState};
use super::{OPERATOR_INTERVAL, Product, ProductEffects};

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
            ProductEvent::Mend { machine } => self.mend(machine),
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
                self.cut_off(machine, *duration, &mut effects);
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
                self.cut_off(machine, *duration, &mut effects);
            }
            ChurnAction::BackendSheds(..)
            | ChurnAction::BackendLies(..)
            | ChurnAction::ServerCrashes(_)
            | ChurnAction::ServerRestarts(_) => {}
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
