//! Messages of flow searches: a balancer looks for the owners of flows that it doesn't
//! know.

use super::FlowMessage;

/// A flow whose owner is unknown.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct QueriedFlow {
    /// The flow.
    #[prost(message, required, tag = "1")]
    pub flow: FlowMessage,
    /// Latest acknowledgement number of its caller.
    #[prost(fixed32, tag = "2")]
    pub acknowledged: u32,
}

/// Searches for the agents whose back ends own these flows. Each agent replies for each
/// flow, with [`FlowsOwned`] or [`FlowsNotOwned`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct FlowQuery {
    /// The flows.
    #[prost(message, repeated, tag = "1")]
    pub flows: Vec<QueriedFlow>,
    /// Other agents to which the receiver relays the query. It aggregates their replies into
    /// [`AggregatedReplies`], so that a balancer with a slow link sends one query and receives
    /// few replies.
    #[prost(fixed64, repeated, tag = "2")]
    pub relay_to: Vec<u64>,
    /// Identifier of a query with `relay_to`; the replies repeat it.
    #[prost(uint64, tag = "3")]
    pub query_id: u64,
    /// Address of the balancer if another agent relayed the query; otherwise zero.
    #[prost(fixed64, tag = "4")]
    pub origin_balancer: u64,
}

/// The agents' replies to one query so far.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AggregatedReplies {
    /// See [`FlowQuery::query_id`].
    #[prost(uint64, tag = "1")]
    pub query_id: u64,
    /// Replies, by flow of the query.
    #[prost(message, repeated, tag = "2")]
    pub flows: Vec<AggregatedFlowReply>,
}

/// The agents' replies for one flow. Each set is a bitmap, the lowest bit of each byte
/// first. Bit `n` stands for agent `n` of [`FlowQuery::relay_to`], and the bit after the
/// last of them for the agent that relayed the query.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AggregatedFlowReply {
    /// The flow.
    #[prost(message, required, tag = "1")]
    pub flow: FlowMessage,
    /// Agents whose back ends certainly don't own the flow.
    #[prost(bytes = "vec", tag = "2")]
    pub not_owned: Vec<u8>,
    /// Agents that don't know the flow, but whose back ends may own it.
    #[prost(bytes = "vec", tag = "3")]
    pub possibly_owned: Vec<u8>,
    /// Agents whose back ends own the flow; they also reply to the balancer directly.
    #[prost(bytes = "vec", tag = "4")]
    pub owned: Vec<u8>,
}

/// Reply to a [`FlowQuery`]: flows that an agent doesn't know.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FlowsNotOwned {
    /// Flows that its back end certainly doesn't own.
    #[prost(message, repeated, tag = "1")]
    pub not_owned: Vec<FlowMessage>,
    /// Flows that its back end may own: the back end may have had flows before the agent
    /// started.
    #[prost(message, repeated, tag = "2")]
    pub possibly_owned: Vec<FlowMessage>,
}

/// A flow that an agent's back end owns.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OwnedFlow {
    /// The flow.
    #[prost(message, required, tag = "1")]
    pub flow: FlowMessage,
    /// Initial sequence number of the back end, if known.
    #[prost(fixed32, optional, tag = "2")]
    pub sequence: Option<u32>,
}

/// Flows that an agent's back end owns: the reply to a [`FlowQuery`], or an announcement of
/// an agent that stops.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FlowsOwned {
    /// The flows.
    #[prost(message, repeated, tag = "1")]
    pub flows: Vec<OwnedFlow>,
}

/// The back end has returned a packet of a flow.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReturnedPacket {
    /// The flow.
    #[prost(message, required, tag = "1")]
    pub flow: FlowMessage,
    /// Acknowledgement number of the packet.
    #[prost(fixed32, tag = "2")]
    pub acknowledged: u32,
    /// Whether the packet carried data, so that its caller awaits a response.
    #[prost(bool, tag = "3")]
    pub carried_data: bool,
    /// Whether the back end had owned the flow before, so that no other back end owns it.
    #[prost(bool, tag = "4")]
    pub was_open: bool,
}
