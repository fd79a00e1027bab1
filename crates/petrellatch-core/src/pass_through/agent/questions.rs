//! Queries for flows whose owners balancers don't know.

use std::net::SocketAddrV4;

use petrellatch_proto::pass_through::{
    AgentState, FlowQuery, FlowsNotOwned, FlowsOwned, OwnedFlow, PassThroughBody, QueriedFlow,
    pack_address, unpack_address,
};

use super::PassThroughAgent;
use crate::pass_through::packet::{FlowId, PacketCodec};
use crate::time::Timestamp;

impl<C: PacketCodec> PassThroughAgent<C> {
    pub(super) fn handle_seek(&mut self, now: Timestamp, from: SocketAddrV4, seek: &FlowQuery) {
        let balancer = match seek.origin_balancer {
            0 => from,
            origin => unpack_address(origin),
        };
        self.balancers.insert(balancer, now);
        let gone = seek.flows.iter().filter(|sought| self.seeks_gone(sought));
        let gone: Vec<QueriedFlow> = gone.cloned().collect();
        for sought in &gone {
            self.answer_gone(now, balancer, sought);
        }
        let (holds, lacks) = self.answer(now, seek);
        if !seek.relay_to.is_empty() {
            self.ask_others(now, balancer, seek);
            let own = self.settings.address;
            self.gathered.handle_flows_owned(now, own, &holds);
            self.gathered.handle_flows_not_owned(now, own, &lacks);
        } else if !lacks.not_owned.is_empty() || !lacks.possibly_owned.is_empty() {
            self.send(from, PassThroughBody::FlowsNotOwned(lacks));
        }
        if holds.flows.is_empty() {
            return;
        }
        if from != balancer {
            self.send(from, PassThroughBody::FlowsOwned(holds.clone()));
        }
        self.send(balancer, PassThroughBody::FlowsOwned(holds));
    }

    /// Splits the flows of a query into those that the back end owns and those that it doesn't.
    fn answer(&self, now: Timestamp, seek: &FlowQuery) -> (FlowsOwned, FlowsNotOwned) {
        let knows_all = self.knows_all_flows(now);
        let mut holds = FlowsOwned::default();
        let mut lacks = FlowsNotOwned::default();
        for sought in &seek.flows {
            let flow = FlowId::from(sought.flow);
            let known = self.flows.get(flow);
            if let Some(known) = known.filter(|it| it.owns_ack(sought.acknowledged)) {
                holds.flows.push(OwnedFlow {
                    flow: sought.flow,
                    sequence: known.sequence,
                });
            } else if knows_all || self.tried.was_returned(flow) || self.seeks_gone(sought) {
                lacks.not_owned.push(sought.flow);
            } else {
                lacks.possibly_owned.push(sought.flow);
            }
        }
        (holds, lacks)
    }

    /// Relays a query to other agents for a balancer. Agents reply about flows that they own to
    /// the balancer and to this agent, and about others to this agent only.
    fn ask_others(&mut self, now: Timestamp, balancer: SocketAddrV4, seek: &FlowQuery) {
        self.gathered
            .begin(now, balancer, seek, self.settings.address);
        let passed_on = FlowQuery {
            flows: seek.flows.clone(),
            origin_balancer: pack_address(balancer),
            ..FlowQuery::default()
        };
        for other in &seek.relay_to {
            let passed_on = PassThroughBody::FlowQuery(passed_on.clone());
            self.send(unpack_address(*other), passed_on);
        }
    }

    /// Sends balancers the aggregated replies of other agents.
    pub(super) fn tell_gathered(&mut self, now: Timestamp) {
        for (balancer, lacks) in self.gathered.take_due(now) {
            self.send(balancer, PassThroughBody::AggregatedReplies(lacks));
        }
    }

    /// Whether every flow of the back end is known: this incarnation of the agent has seen the
    /// back end start, or is older than any flow, or no back end has registered or sent a
    /// packet for so long that there is none. A back end whose first registrations arrive here
    /// has started during this incarnation if there was no previous one.
    pub(super) fn knows_all_flows(&self, now: Timestamp) -> bool {
        let age = now.saturating_since(self.started_at);
        let is_first_life = self.had_former_life == Some(false);
        self.settings.first_start
            || self.registration.was_replaced()
            || (is_first_life && self.registration.called_early())
            || age >= self.settings.flow_lifetime
            || (self.state(now) == AgentState::Unavailable && !self.registration.has_called())
    }
}
