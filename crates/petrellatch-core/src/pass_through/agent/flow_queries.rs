//! Queries for flows whose owners balancers don't know.

use std::net::SocketAddrV4;

use petrellatch_proto::pass_through::{
    FlowQuery, FlowsNotOwned, FlowsOwned, OwnedFlow, PassThroughBody, QueriedFlow, pack_address,
    unpack_address,
};

use super::PassThroughAgent;
use crate::pass_through::packet::{FlowId, PacketCodec};
use crate::time::Timestamp;

impl<C: PacketCodec> PassThroughAgent<C> {
    pub(super) fn handle_flow_query(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        query: &FlowQuery,
    ) {
        let balancer = match query.origin_balancer {
            0 => from,
            origin => unpack_address(origin),
        };
        self.balancers.insert(balancer, now);
        let orphaned = query
            .flows
            .iter()
            .filter(|queried| self.is_query_orphaned(queried));
        let orphaned: Vec<QueriedFlow> = orphaned.cloned().collect();
        for queried in &orphaned {
            self.reply_orphaned(now, balancer, queried);
        }
        let (owned, not_owned) = self.split_by_owner(now, query);
        if !query.relay_to.is_empty() {
            self.relay_query(now, balancer, query);
            let own = self.settings.address;
            self.relayed_queries.handle_flows_owned(now, own, &owned);
            self.relayed_queries
                .handle_flows_not_owned(now, own, &not_owned);
        } else if !not_owned.not_owned.is_empty() || !not_owned.possibly_owned.is_empty() {
            self.send(from, PassThroughBody::FlowsNotOwned(not_owned));
        }
        if owned.flows.is_empty() {
            return;
        }
        if from != balancer {
            self.send(from, PassThroughBody::FlowsOwned(owned.clone()));
        }
        self.send(balancer, PassThroughBody::FlowsOwned(owned));
    }

    /// Splits the flows of a query into those that the back end owns and those that it doesn't.
    fn split_by_owner(&mut self, now: Timestamp, query: &FlowQuery) -> (FlowsOwned, FlowsNotOwned) {
        let mut owned = FlowsOwned::default();
        let mut not_owned = FlowsNotOwned::default();
        for queried in &query.flows {
            let flow = FlowId::from(queried.flow);
            let known = self.flows.get(flow);
            if let Some(known) = known.filter(|it| it.owns_ack(queried.acknowledged)) {
                owned.flows.push(OwnedFlow {
                    flow: queried.flow,
                    sequence: known.sequence,
                });
            } else if let Some(proof) = self.not_owned(now, queried) {
                *self.counters.denied.entry(proof.name()).or_default() += 1;
                not_owned.not_owned.push(queried.flow);
            } else {
                not_owned.possibly_owned.push(queried.flow);
            }
        }
        (owned, not_owned)
    }

    /// Relays a query to other agents for a balancer. Agents reply about flows that they own to
    /// the balancer and to this agent, and about others to this agent only.
    fn relay_query(&mut self, now: Timestamp, balancer: SocketAddrV4, query: &FlowQuery) {
        self.relayed_queries
            .begin(now, balancer, query, self.settings.address);
        let relayed = FlowQuery {
            flows: query.flows.clone(),
            origin_balancer: pack_address(balancer),
            ..FlowQuery::default()
        };
        for other in &query.relay_to {
            let relayed = PassThroughBody::FlowQuery(relayed.clone());
            self.send(unpack_address(*other), relayed);
        }
    }

    /// Sends balancers the aggregated replies of other agents.
    pub(super) fn send_aggregated_replies(&mut self, now: Timestamp) {
        for (balancer, replies) in self.relayed_queries.take_due(now) {
            self.send(balancer, PassThroughBody::AggregatedReplies(replies));
        }
    }
}
