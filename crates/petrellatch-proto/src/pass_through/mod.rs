//! Messages of the pass-through tier: balancers, agents and configuration
//! replicas that hand on the packets of flows without ending them.
//!
//! [`PassThroughMessage`] is the frame of every datagram between them.

mod configuration;
mod directory;
mod flow_record;
mod group;
mod new_flow;
mod policies;
mod search;
mod zones;

pub use configuration::{
    ConfigurationChange, ConfigurationPart, LogCommand, RouteRecord, RouteShare, ServiceRecord,
};
pub use directory::{AgentState, DirectoryChange, DirectoryEntry, DirectoryPart, Report};
pub use flow_record::{
    ACKNOWLEDGED_STEP_BYTES, FlowColumns, FlowRecordAck, FlowRecordChange, FlowRecordRequest,
    FlowRecordResponse,
};
pub use group::{GroupStatus, ReplicaZone, SavedDaemons, Subscribe, VersionConfirmed};
pub use new_flow::{
    Accepted, DeclineReason, Declined, FlowQueued, ForwardReason, ForwardedPacket, LoadMessage,
};
pub use policies::{BackendDescription, PlacementPolicy, PolicyChange, PolicySet};
pub use search::{
    AggregatedFlowReply, AggregatedReplies, FlowQuery, FlowsNotOwned, FlowsOwned, OwnedFlow,
    QueriedFlow, ReturnedPacket,
};
pub use zones::{EvacuationsAck, ZoneCommand, ZoneStatus, ZoneStatuses};

/// Encoded messages stay below this size, in bytes, so that they rarely need
/// more than a few fragments. Log entries of other replicas are the exception.
pub const MAX_PART_BYTES: usize = 8 * 1024;

/// A flow, by its two ends as the caller sees them.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct FlowMessage {
    /// The caller's address and port, see [`pack_address`].
    #[prost(fixed64, tag = "1")]
    pub caller: u64,
    /// The route's address and port.
    #[prost(fixed64, tag = "2")]
    pub route: u64,
}

/// The frame of every datagram.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PassThroughMessage {
    /// The message.
    #[prost(
        oneof = "PassThroughBody",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22"
    )]
    pub body: Option<PassThroughBody>,
}

/// The kinds of message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum PassThroughBody {
    /// Between replicas: the replicated log, already encoded.
    #[prost(bytes, tag = "1")]
    Consensus(Vec<u8>),
    /// Balancer to agent: a caller's packet.
    #[prost(message, tag = "2")]
    ForwardedPacket(ForwardedPacket),
    /// Agent to balancer: the back end answered an opening packet.
    #[prost(message, tag = "3")]
    Accepted(Accepted),
    /// Agent to balancer: an opening packet was not taken.
    #[prost(message, tag = "4")]
    Declined(Declined),
    /// Agent to balancer: the flows that its back end has.
    #[prost(message, tag = "5")]
    FlowsOwned(FlowsOwned),
    /// Agent to replica: what it serves.
    #[prost(message, tag = "6")]
    Report(Report),
    /// Balancer to replica: asks for news.
    #[prost(message, tag = "7")]
    Subscribe(Subscribe),
    /// Replica to daemon: the replicas of the group.
    #[prost(message, tag = "8")]
    GroupStatus(GroupStatus),
    /// Replica to balancer: the agents.
    #[prost(message, tag = "9")]
    DirectoryPart(DirectoryPart),
    /// Replica to balancer: a part of a configuration or of a change to it.
    #[prost(message, tag = "10")]
    Configuration(ConfigurationPart),
    /// Replica to balancer: the newest version at a time after the question.
    #[prost(message, tag = "11")]
    VersionConfirmed(VersionConfirmed),
    /// Agent to balancer: the back end does not have the flow.
    #[prost(message, tag = "12")]
    ReturnedPacket(ReturnedPacket),
    /// Balancer to agents: who has these flows.
    #[prost(message, tag = "13")]
    FlowQuery(FlowQuery),
    /// Agent to balancer: flows that it does not know.
    #[prost(message, tag = "14")]
    FlowsNotOwned(FlowsNotOwned),
    /// Agent to balancer: what several agents answered to a question.
    #[prost(message, tag = "15")]
    AggregatedReplies(AggregatedReplies),
    /// Agent to replica: which zones it knows to be out of service.
    #[prost(message, tag = "16")]
    EvacuationsAck(EvacuationsAck),
    /// Agent to balancer: an opening packet waits for a place.
    #[prost(message, tag = "17")]
    FlowQueued(FlowQueued),
    /// Between replicas: the zone of the sender.
    #[prost(message, tag = "18")]
    ReplicaZone(ReplicaZone),
    /// Agent to replica: how its open flows changed.
    #[prost(message, boxed, tag = "19")]
    FlowRecordChange(Box<FlowRecordChange>),
    /// Replica to agent: what it keeps of them.
    #[prost(message, tag = "20")]
    FlowRecordAck(FlowRecordAck),
    /// Agent to replica: asks for the flows of its former life.
    #[prost(message, tag = "21")]
    FlowRecordRequest(FlowRecordRequest),
    /// Replica to agent: the flows of its former life.
    #[prost(message, tag = "22")]
    FlowRecordResponse(FlowRecordResponse),
}

/// Puts an IPv4 address and a port into one number.
pub fn pack_address(address: std::net::SocketAddrV4) -> u64 {
    (u64::from(u32::from(*address.ip())) << 16) | u64::from(address.port())
}

/// Takes apart what [`pack_address`] made.
pub fn unpack_address(packed: u64) -> std::net::SocketAddrV4 {
    let ip = std::net::Ipv4Addr::from((packed >> 16) as u32);
    std::net::SocketAddrV4::new(ip, packed as u16)
}
