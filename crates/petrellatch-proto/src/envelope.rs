//! The frame of every control message.

use crate::admission::{FlowReport, FlowReportAck, FlowsEnded, HuntReply, LoadReport};
use crate::dissemination::{
    Attach, Heartbeat, HeartbeatReply, SnapshotPart, SnapshotRequest, Subscribe, Update,
};

/// A control message of any kind.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Replicated log, already encoded by the consensus module.
    #[prost(bytes, tag = "10")]
    Consensus(Vec<u8>),
    /// Dissemination: a child asks for news.
    #[prost(message, tag = "11")]
    Subscribe(Subscribe),
    /// Dissemination: consecutive deltas.
    #[prost(message, tag = "12")]
    Update(Update),
    /// Dissemination: a part of the whole state.
    #[prost(message, tag = "13")]
    SnapshotPart(SnapshotPart),
    /// Dissemination: parts that did not arrive.
    #[prost(message, tag = "14")]
    SnapshotRequest(SnapshotRequest),
    /// Dissemination: which parents to use.
    #[prost(message, tag = "15")]
    Attach(Attach),
    /// Membership: towards the leader.
    #[prost(message, tag = "16")]
    Heartbeat(Heartbeat),
    /// Membership: back from the leader.
    #[prost(message, tag = "17")]
    HeartbeatReply(HeartbeatReply),
    /// Admission: flows in buckets that the recipient now owns.
    #[prost(message, tag = "18")]
    FlowReport(FlowReport),
    /// Admission: confirmation of a flow report part.
    #[prost(message, tag = "19")]
    FlowReportAck(FlowReportAck),
    /// Admission: answer of a second candidate.
    #[prost(message, tag = "20")]
    HuntReply(HuntReply),
    /// Admission: flows that ended.
    #[prost(message, tag = "21")]
    FlowsEnded(FlowsEnded),
    /// Admission: exact load.
    #[prost(message, tag = "22")]
    LoadReport(LoadReport),
}

/// A control message with its sender and recipient. A message whose recipient
/// is another node than the receiving one is dropped: the address was reused.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// The sending node.
    #[prost(fixed64, tag = "1")]
    pub sender: u64,
    /// The life of the sending node.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The node that is meant; zero when the sender knows only the address.
    #[prost(fixed64, tag = "3")]
    pub recipient: u64,
    /// The message.
    #[prost(
        oneof = "Body",
        tags = "10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22"
    )]
    pub body: Option<Body>,
}
