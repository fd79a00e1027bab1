//! Messages between agents of one service.
//!
//! The flows of a service are divided into buckets. A placement generation
//! assigns each bucket to an owner: the agent that admits the new flows in the
//! bucket. The owner keeps a redirect for each flow in the bucket that another
//! agent serves, and forwards the flow's packets there.

use crate::endpoint::Endpoint;

/// A flow of a service and the agent that serves it.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct FlowEntry {
    /// The caller's address.
    #[prost(message, required, tag = "1")]
    pub source: Endpoint,
    /// Node of the agent that serves the flow; zero stands for the sender.
    #[prost(fixed64, tag = "2")]
    pub holder: u64,
    /// Incarnation of that agent.
    #[prost(fixed64, tag = "3")]
    pub holder_incarnation: u64,
}

/// Hands buckets over to their new owner. The sender has applied `generation`,
/// no longer admits flows in the buckets that the generation assigns to the
/// recipient, and lists the open flows in these buckets that it has a record
/// of. The report is complete when all its parts have arrived.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FlowReport {
    /// The service.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// The placement generation.
    #[prost(uint64, tag = "2")]
    pub generation: u64,
    /// Index of this part, from zero.
    #[prost(uint32, tag = "3")]
    pub part: u32,
    /// Number of parts, at least one.
    #[prost(uint32, tag = "4")]
    pub parts: u32,
    /// The flows of this part.
    #[prost(message, repeated, tag = "5")]
    pub flows: Vec<FlowEntry>,
    /// The recipient's incarnation in the sender's view of the cluster.
    #[prost(fixed64, tag = "6")]
    pub recipient_incarnation: u64,
}

/// Acknowledges one part of a flow report.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct FlowReportAck {
    /// The service.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// The placement generation.
    #[prost(uint64, tag = "2")]
    pub generation: u64,
    /// Index of the part.
    #[prost(uint32, tag = "3")]
    pub part: u32,
}

/// Reply of an agent to a new flow that another agent forwarded to it
/// ([`ForwardKind::Hunted`](crate::data::ForwardKind::Hunted)).
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
    /// Load of the back end that the flow was forwarded for.
    #[prost(message, optional, tag = "4")]
    pub load: Option<LoadReport>,
}

/// Flows that ended at the sender. The recipient, which owns their buckets,
/// removes its redirects of these flows to the sender.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FlowsEnded {
    /// The service.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// The callers' addresses.
    #[prost(message, repeated, tag = "2")]
    pub sources: Vec<Endpoint>,
}

/// Exact load of a back end, sent to the other agents of its service.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LoadReport {
    /// The service.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// The back end.
    #[prost(uint64, tag = "2")]
    pub backend: u64,
    /// Number of in-flight requests.
    #[prost(uint32, tag = "3")]
    pub in_flight_requests: u32,
    /// Number of open flows.
    #[prost(uint32, tag = "4")]
    pub connections: u32,
    /// Whether the back end's agent would refuse a new flow.
    #[prost(bool, tag = "5")]
    pub refuses_new_flows: bool,
    /// Sequence number, increasing within one incarnation of the sender.
    #[prost(uint64, tag = "6")]
    pub sequence: u64,
    /// Whether the back end should get no new flows although it has capacity:
    /// it reports that it is draining, or it fails requests.
    #[prost(bool, tag = "7")]
    pub withdrawn: bool,
}
