//! Messages about flows that a balancer does not know: who has them, and who does not.

use super::FlowMessage;

/// A flow whose agent is not known.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct QueriedFlow {
    /// The flow.
    #[prost(message, required, tag = "1")]
    pub flow: FlowMessage,
    /// What its caller acknowledges.
    #[prost(fixed32, tag = "2")]
    pub acknowledged: u32,
}

/// Asks for the agents whose back ends have these flows. Each agent answers
/// for each flow, with [`FlowsOwned`] or [`FlowsNotOwned`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct FlowQuery {
    /// The flows.
    #[prost(message, repeated, tag = "1")]
    pub flows: Vec<QueriedFlow>,
    /// Other agents that the receiver asks too. It gathers what they lack into
    /// [`AggregatedReplies`], so that a balancer with a thin link sends one question
    /// and gets few answers.
    #[prost(fixed64, repeated, tag = "2")]
    pub relay_to: Vec<u64>,
    /// Number of a question with others; its answers repeat it.
    #[prost(uint64, tag = "3")]
    pub query_id: u64,
    /// The balancer, if another agent passed the question on; otherwise zero.
    #[prost(fixed64, tag = "4")]
    pub origin_balancer: u64,
}

/// What the agents of one question have answered so far.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AggregatedReplies {
    /// Number of the question.
    #[prost(uint64, tag = "1")]
    pub query_id: u64,
    /// The flows of the question.
    #[prost(message, repeated, tag = "2")]
    pub flows: Vec<AggregatedFlowReply>,
}

/// What agents answered for a flow. Bit `n` of each set, the lowest of each byte first,
/// stands for agent `n` of [`FlowQuery::relay_to`], and the one after the last for the
/// agent that was asked to ask them.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AggregatedFlowReply {
    /// The flow.
    #[prost(message, required, tag = "1")]
    pub flow: FlowMessage,
    /// Agents whose back ends do not have it for certain.
    #[prost(bytes = "vec", tag = "2")]
    pub not_owned: Vec<u8>,
    /// Agents that do not know it, but whose back ends may have it.
    #[prost(bytes = "vec", tag = "3")]
    pub possibly_owned: Vec<u8>,
    /// Agents whose back ends have it; they tell the balancer themselves.
    #[prost(bytes = "vec", tag = "4")]
    pub owned: Vec<u8>,
}

/// Flows that an agent does not know. An answer to [`FlowQuery`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct FlowsNotOwned {
    /// Flows that its back end does not have for certain.
    #[prost(message, repeated, tag = "1")]
    pub not_owned: Vec<FlowMessage>,
    /// Flows that its back end may have: the agent has started beside a back
    /// end that may have had flows before.
    #[prost(message, repeated, tag = "2")]
    pub possibly_owned: Vec<FlowMessage>,
}

/// One flow that an agent's back end has.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OwnedFlow {
    /// The flow.
    #[prost(message, required, tag = "1")]
    pub flow: FlowMessage,
    /// First sequence number of the back end, if it is known.
    #[prost(fixed32, optional, tag = "2")]
    pub sequence: Option<u32>,
}

/// Flows that an agent's back end has. An answer to [`FlowQuery`], or what an agent leaves behind when it stops.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FlowsOwned {
    /// The flows.
    #[prost(message, repeated, tag = "1")]
    pub flows: Vec<OwnedFlow>,
}

/// The back end returned a packet of a flow.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReturnedPacket {
    /// The flow.
    #[prost(message, required, tag = "1")]
    pub flow: FlowMessage,
    /// What the packet acknowledged.
    #[prost(fixed32, tag = "2")]
    pub acknowledged: u32,
    /// Whether the packet carried data, so that its caller waits for an
    /// answer.
    #[prost(bool, tag = "3")]
    pub carried_data: bool,
    /// Whether the back end has had the flow, so that no other one has it.
    #[prost(bool, tag = "4")]
    pub was_open: bool,
}
