//! Messages of the pass-through tier: balancers, agents and configuration replicas that
//! forward the packets of flows without terminating them.
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
pub use directory::{
    AgentState, DepartureRequest, DirectoryChange, DirectoryEntry, DirectoryPart, Report,
};
pub use flow_record::{
    ACKNOWLEDGED_STEP_BYTES, FlowColumns, FlowRecordAck, FlowRecordChange, FlowRecordRequest,
    FlowRecordResponse,
};
pub use group::{
    DepartureStatus, GroupStatus, ReplicaZone, SavedDaemons, SavedDepartures, Subscribe,
    VersionConfirmed,
};
pub use new_flow::{
    Accepted, DeclineReason, Declined, FlowQueued, ForwardReason, ForwardedPacket, LoadMessage,
};
pub use policies::{BackendDescription, PlacementPolicy, PolicyChange, PolicySet};
pub use search::{
    AggregatedFlowReply, AggregatedReplies, FlowQuery, FlowsNotOwned, FlowsOwned, OwnedFlow,
    QueriedFlow, ReturnedPacket,
};
pub use zones::{EvacuationsAck, ZoneCommand, ZoneStatus, ZoneStatuses};

/// Limit of an encoded message's size, in bytes, so that it rarely needs more than a few
/// IP fragments. Log entries sent between replicas may be larger.
pub const MAX_PART_BYTES: usize = 8 * 1024;

/// Identifies a flow by its two endpoints, as the caller sees them.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct FlowMessage {
    /// The caller's address and port, see [`pack_address`].
    #[prost(fixed64, tag = "1")]
    pub caller: u64,
    /// The route's address and port.
    #[prost(fixed64, tag = "2")]
    pub route: u64,
}

/// Frame of every datagram.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PassThroughMessage {
    /// Payload.
    #[prost(
        oneof = "PassThroughBody",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22"
    )]
    pub body: Option<PassThroughBody>,
}

/// Payload of a [`PassThroughMessage`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum PassThroughBody {
    /// Between replicas: an encoded message of the consensus protocol.
    #[prost(bytes, tag = "1")]
    Consensus(Vec<u8>),
    /// Balancer to agent: a caller's packet.
    #[prost(message, tag = "2")]
    ForwardedPacket(ForwardedPacket),
    /// Agent to balancer: the back end has accepted a new flow.
    #[prost(message, tag = "3")]
    Accepted(Accepted),
    /// Agent to balancer: a new flow was declined.
    #[prost(message, tag = "4")]
    Declined(Declined),
    /// Agent to balancer: flows that the agent's back end owns.
    #[prost(message, tag = "5")]
    FlowsOwned(FlowsOwned),
    /// Agent to replica: the agent's service, state and load.
    #[prost(message, tag = "6")]
    Report(Report),
    /// Balancer to replica: polls for updates.
    #[prost(message, tag = "7")]
    Subscribe(Subscribe),
    /// Replica to daemon: the members of the replica group.
    #[prost(message, tag = "8")]
    GroupStatus(GroupStatus),
    /// Replica to balancer: a part of the directory of agents.
    #[prost(message, tag = "9")]
    DirectoryPart(DirectoryPart),
    /// Replica to balancer: a part of a configuration change.
    #[prost(message, tag = "10")]
    Configuration(ConfigurationPart),
    /// Replica to balancer: the newest version at a time after the request.
    #[prost(message, tag = "11")]
    VersionConfirmed(VersionConfirmed),
    /// Agent to balancer: the back end doesn't own the flow.
    #[prost(message, tag = "12")]
    ReturnedPacket(ReturnedPacket),
    /// Balancer to agents: searches for the owners of flows.
    #[prost(message, tag = "13")]
    FlowQuery(FlowQuery),
    /// Agent to balancer: flows that the agent doesn't know.
    #[prost(message, tag = "14")]
    FlowsNotOwned(FlowsNotOwned),
    /// Agent to balancer: replies of several agents to one query.
    #[prost(message, tag = "15")]
    AggregatedReplies(AggregatedReplies),
    /// Agent to replica: acknowledges zone statuses.
    #[prost(message, tag = "16")]
    EvacuationsAck(EvacuationsAck),
    /// Agent to balancer: a new flow is in the admission queue.
    #[prost(message, tag = "17")]
    FlowQueued(FlowQueued),
    /// Between replicas: the zone of the sender.
    #[prost(message, tag = "18")]
    ReplicaZone(ReplicaZone),
    /// Agent to replica: a change of the agent's flow record.
    #[prost(message, boxed, tag = "19")]
    FlowRecordChange(Box<FlowRecordChange>),
    /// Replica to agent: acknowledges a change of the flow record.
    #[prost(message, tag = "20")]
    FlowRecordAck(FlowRecordAck),
    /// Agent to replica: requests the flow record of its previous incarnation.
    #[prost(message, tag = "21")]
    FlowRecordRequest(FlowRecordRequest),
    /// Replica to agent: the flow record of its previous incarnation.
    #[prost(message, tag = "22")]
    FlowRecordResponse(FlowRecordResponse),
}

/// Packs an IPv4 address and a port into an integer.
pub fn pack_address(address: std::net::SocketAddrV4) -> u64 {
    (u64::from(u32::from(*address.ip())) << 16) | u64::from(address.port())
}

/// Reverses [`pack_address`].
pub fn unpack_address(packed: u64) -> std::net::SocketAddrV4 {
    let ip = std::net::Ipv4Addr::from((packed >> 16) as u32);
    std::net::SocketAddrV4::new(ip, packed as u16)
}
