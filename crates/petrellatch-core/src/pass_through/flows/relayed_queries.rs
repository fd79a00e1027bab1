//! Flow queries that this agent relays to other agents for balancers.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::{
    AggregatedFlowReply, AggregatedReplies, FlowMessage, FlowQuery, FlowsNotOwned, FlowsOwned,
    unpack_address,
};

use crate::time::Timestamp;

use super::agent_set::AgentSet;
use crate::pass_through::packet::FlowId;

/// How long the first replies are aggregated: agents of other zones reply within a few
/// milliseconds, and a balancer's round takes 60 ms.
const FIRST_AGGREGATION: Duration = Duration::from_millis(12);
/// How long later replies are aggregated.
const LATER_AGGREGATION: Duration = Duration::from_millis(25);
/// Time after which a query ends and further replies are dropped: the balancer has queried
/// again.
const QUERY_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum number of concurrent queries. Each balancer has a few of them and spreads them
/// over all agents. Above the limit the oldest query is dropped.
const MAX_QUERIES: usize = 512;

/// Replies for one flow of a query.
#[derive(Debug)]
struct FlowReplies {
    flow: FlowId,
    not_owned: AgentSet,
    possibly_owned: AgentSet,
    owned: AgentSet,
}

/// Reply of one agent for a flow.
#[derive(Clone, Copy, Debug)]
enum Reply {
    NotOwned,
    PossiblyOwned,
    Owned,
}

/// A balancer's query, with the replies so far.
#[derive(Debug)]
struct RelayedQuery {
    balancer: SocketAddrV4,
    query_id: u64,
    /// Agents in the order of the query, this agent last.
    agents: Vec<SocketAddrV4>,
    flows: Vec<FlowReplies>,
    /// Number of agents that haven't replied.
    missing_replies: usize,
    /// Time at which new replies are sent to the balancer.
    send_at: Option<Timestamp>,
    ends_at: Timestamp,
}

/// All queries that this agent relays.
#[derive(Debug, Default)]
pub(crate) struct RelayedQueries {
    queries: VecDeque<RelayedQuery>,
}

impl RelayedQueries {
    /// Begins to aggregate the replies to a balancer's query. `own` is the address of this
    /// agent, which replies like the others.
    pub(crate) fn begin(
        &mut self,
        now: Timestamp,
        balancer: SocketAddrV4,
        flow_query: &FlowQuery,
        own: SocketAddrV4,
    ) {
        if self.queries.len() == MAX_QUERIES {
            self.queries.pop_front();
        }
        let others = flow_query.relay_to.iter().copied().map(unpack_address);
        let agents: Vec<SocketAddrV4> = others.chain([own]).collect();
        let flows = flow_query.flows.iter().map(|queried| FlowReplies {
            flow: queried.flow.into(),
            not_owned: AgentSet::default(),
            possibly_owned: AgentSet::default(),
            owned: AgentSet::default(),
        });
        self.queries.push_back(RelayedQuery {
            balancer,
            query_id: flow_query.query_id,
            flows: flows.collect(),
            missing_replies: agents.len(),
            agents,
            send_at: None,
            ends_at: now + QUERY_TIMEOUT,
        });
    }

    /// Handles an agent's reply about flows that it doesn't know.
    pub(crate) fn handle_flows_not_owned(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        reply: &FlowsNotOwned,
    ) {
        let not_owned = reply.not_owned.iter().map(|flow| (*flow, Reply::NotOwned));
        let possibly_owned = reply
            .possibly_owned
            .iter()
            .map(|flow| (*flow, Reply::PossiblyOwned));
        self.handle_replies(now, from, not_owned.chain(possibly_owned));
    }

    /// Handles an agent's reply about flows that its back end owns. The agent also sends it to the
    /// balancer directly.
    pub(crate) fn handle_flows_owned(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        reply: &FlowsOwned,
    ) {
        let owned = reply.flows.iter().map(|owned| (owned.flow, Reply::Owned));
        self.handle_replies(now, from, owned);
    }

    fn handle_replies(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        replies: impl Iterator<Item = (FlowMessage, Reply)>,
    ) {
        let replies: HashMap<FlowId, Reply> = replies.map(|(flow, it)| (flow.into(), it)).collect();
        for query in &mut self.queries {
            query.handle_replies(now, from, &replies);
        }
    }

    /// Takes the messages to send to balancers now.
    pub(crate) fn take_due(&mut self, now: Timestamp) -> Vec<(SocketAddrV4, AggregatedReplies)> {
        let mut due = Vec::new();
        for query in &mut self.queries {
            if query.send_at.is_some_and(|at| at <= now) {
                query.send_at = None;
                due.push((query.balancer, query.aggregated_replies()));
            }
        }
        self.queries
            .retain(|query| now < query.ends_at && !query.is_complete());
        due
    }

    /// When [`RelayedQueries::take_due`] returns messages next, or a query expires.
    pub(crate) fn poll_timeout(&self) -> Option<Timestamp> {
        let next_send = self.queries.iter().filter_map(|it| it.send_at).min();
        let next_expiry = self.queries.iter().map(|it| it.ends_at).min();
        next_send.into_iter().chain(next_expiry).min()
    }
}

impl RelayedQuery {
    fn handle_replies(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        replies: &HashMap<FlowId, Reply>,
    ) {
        let Some(agent) = self.agents.iter().position(|agent| *agent == from) else {
            return;
        };
        let mut has_changed = false;
        for entry in &mut self.flows {
            has_changed |= match replies.get(&entry.flow) {
                Some(Reply::NotOwned) => entry.not_owned.insert(agent),
                Some(Reply::PossiblyOwned) => entry.possibly_owned.insert(agent),
                Some(Reply::Owned) => entry.owned.insert(agent),
                None => false,
            };
        }
        if !has_changed {
            return;
        }
        self.missing_replies = self.missing_replies.saturating_sub(1);
        let started_at = self.ends_at - QUERY_TIMEOUT;
        let first_at = started_at + FIRST_AGGREGATION;
        let send_at = match self.missing_replies {
            0 => now,
            _ if now <= first_at => first_at,
            _ => now + LATER_AGGREGATION,
        };
        self.send_at = Some(self.send_at.map_or(send_at, |at| at.min(send_at)));
    }

    /// Whether all agents have replied and the balancer was sent all replies.
    fn is_complete(&self) -> bool {
        self.missing_replies == 0 && self.send_at.is_none()
    }

    fn aggregated_replies(&self) -> AggregatedReplies {
        let flows = self.flows.iter().map(|replies| AggregatedFlowReply {
            flow: replies.flow.into(),
            not_owned: replies.not_owned.to_bytes(),
            possibly_owned: replies.possibly_owned.to_bytes(),
            owned: replies.owned.to_bytes(),
        });
        AggregatedReplies {
            query_id: self.query_id,
            flows: flows.collect(),
        }
    }
}
