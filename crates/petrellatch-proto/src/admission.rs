//! Messages between agents of one service.

use crate::endpoint::Endpoint;

/// A flow of a service and the agent that has it.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct FlowEntry {
    /// The caller's address.
    #[prost(message, required, tag = "1")]
    pub source: Endpoint,
    /// The agent that has the flow; zero stands for the sender.
    #[prost(fixed64, tag = "2")]
    pub holder: u64,
    /// The life of that agent.
    #[prost(fixed64, tag = "3")]
    pub holder_incarnation: u64,
}

/// Says that the sender has applied `generation`, admits no flow in any bucket
/// that the generation gives to the recipient, and knows of these flows in
/// them. It is complete when all its parts have arrived.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FlowReport {
    /// The service.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// The generation.
    #[prost(uint64, tag = "2")]
    pub generation: u64,
    /// The number of this part, from zero.
    #[prost(uint32, tag = "3")]
    pub part: u32,
    /// How many parts there are, at least one.
    #[prost(uint32, tag = "4")]
    pub parts: u32,
    /// The flows of this part.
    #[prost(message, repeated, tag = "5")]
    pub flows: Vec<FlowEntry>,
    /// The life of the recipient that the sender believes in.
    #[prost(fixed64, tag = "6")]
    pub recipient_incarnation: u64,
}

/// Confirms one part of a flow report.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct FlowReportAck {
    /// The service.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// The generation.
    #[prost(uint64, tag = "2")]
    pub generation: u64,
    /// The part.
    #[prost(uint32, tag = "3")]
    pub part: u32,
}

/// The answer of a second candidate about a flow that was passed to it.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct HuntReply {
    /// The service.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// The caller's address.
    #[prost(message, required, tag = "2")]
    pub source: Endpoint,
    /// Whether the flow was admitted.
    #[prost(bool, tag = "3")]
    pub admitted: bool,
    /// The load of the back end that was asked.
    #[prost(message, optional, tag = "4")]
    pub load: Option<LoadReport>,
}

/// Flows that ended at the sender, so that the admitting agent can forget the
/// redirects to it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FlowsEnded {
    /// The service.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// The caller addresses.
    #[prost(message, repeated, tag = "2")]
    pub sources: Vec<Endpoint>,
}

/// The exact load of a back end, told to the other agents of its service.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LoadReport {
    /// The service.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// The back end.
    #[prost(uint64, tag = "2")]
    pub backend: u64,
    /// Requests in progress.
    #[prost(uint32, tag = "3")]
    pub busy: u32,
    /// Open flows.
    #[prost(uint32, tag = "4")]
    pub connections: u32,
    /// Whether new flows would be refused.
    #[prost(bool, tag = "5")]
    pub closed: bool,
    /// Grows with every report of one life of the sender.
    #[prost(uint64, tag = "6")]
    pub sequence: u64,
    /// Whether the back end should get nothing new although it could: it says
    /// so itself, or it fails requests.
    #[prost(bool, tag = "7")]
    pub withdrawn: bool,
}
