//! The envelope of every control message.

use crate::admission::{FlowReport, FlowReportAck, FlowsEnded, HuntReply, LoadReport};
use crate::dissemination::{
    Attach, Heartbeat, HeartbeatReply, SnapshotPart, SnapshotRequest, Subscribe, Update,
};

/// A control message of any kind.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Replicated log: a message that the consensus module has encoded.
    #[prost(bytes, tag = "10")]
    Consensus(Vec<u8>),
    /// Dissemination: a child asks for updates.
    #[prost(message, tag = "11")]
    Subscribe(Subscribe),
    /// Dissemination: consecutive deltas.
    #[prost(message, tag = "12")]
    Update(Update),
    /// Dissemination: a part of the whole state.
    #[prost(message, tag = "13")]
    SnapshotPart(SnapshotPart),
    /// Dissemination: a request for missing parts of a snapshot.
    #[prost(message, tag = "14")]
    SnapshotRequest(SnapshotRequest),
    /// Dissemination: the parents that a daemon uses.
    #[prost(message, tag = "15")]
    Attach(Attach),
    /// Membership: heartbeats of daemons, towards the leader.
    #[prost(message, tag = "16")]
    Heartbeat(Heartbeat),
    /// Membership: the leader's replies to heartbeats.
    #[prost(message, tag = "17")]
    HeartbeatReply(HeartbeatReply),
    /// Admission: open flows in buckets that the recipient now owns.
    #[prost(message, tag = "18")]
    FlowReport(FlowReport),
    /// Admission: acknowledgement of one part of a flow report.
    #[prost(message, tag = "19")]
    FlowReportAck(FlowReportAck),
    /// Admission: reply of an agent to a new flow forwarded by another agent.
    #[prost(message, tag = "20")]
    HuntReply(HuntReply),
    /// Admission: flows that ended.
    #[prost(message, tag = "21")]
    FlowsEnded(FlowsEnded),
    /// Admission: exact load of a back end.
    #[prost(message, tag = "22")]
    LoadReport(LoadReport),
}

/// A control message with its sender and recipient. A node drops a message that
/// names another recipient: the address belonged to that recipient before, and
/// the sender doesn't know yet that another node uses it now.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// The sending node.
    #[prost(fixed64, tag = "1")]
    pub sender: u64,
    /// Incarnation of the sending node.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The destination node, or zero if the sender has only its address.
    #[prost(fixed64, tag = "3")]
    pub recipient: u64,
    /// The message.
    #[prost(
        oneof = "Body",
        tags = "10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22"
    )]
    pub body: Option<Body>,
}
