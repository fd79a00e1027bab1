//! Carries out what the product's nodes want.

use std::net::{Ipv4Addr, SocketAddrV4};

use petrellatch_core::Timestamp;
use petrellatch_core::agent_node::{AgentOutput, FlowId};
use petrellatch_core::balancer_node::BalancerOutput;
use petrellatch_core::control::ControlOutput;
use petrellatch_proto::envelope::Envelope;
use prost::Message;

use crate::experiment::system::{Connection, Effect};

use super::event::ProductEvent;
use super::nodes::{NodeKind, NodeState};
use super::{Product, ProductEffects, SYNC_TIME};

impl Product {
    /// Carries out what a node wants and sees to it that it is woken.
    pub(super) fn drain(&mut self, now: Timestamp, index: usize, effects: &mut ProductEffects) {
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
        if receiver.is_some_and(|receiver| self.is_cut(from, receiver)) {
            return;
        }
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
    pub(super) fn deliver(
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
}
