//! Messages that distribute the replicated state from the replicas down to the
//! daemons, and load reports and heartbeats, which renew leases, up to the leader.
//!
//! The processes form a tree: each daemon is a child of a parent, which is a
//! replica or another daemon.

use crate::endpoint::Endpoint;
use crate::record::{MemberRecord, RecordChange};

/// Asks a parent for all changes newer than `version`. The daemon resends it
/// until a reply arrives, and sends it again when it detects that it lags.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Subscribe {
    /// The newest version that the child has applied, or zero if none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// All changes between one version and the previous one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Delta {
    /// The version that results from the changes.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The changes.
    #[prost(message, repeated, tag = "2")]
    pub changes: Vec<RecordChange>,
}

/// Consecutive deltas, sent by a parent to a child.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Update {
    /// The version that the first delta applies to.
    #[prost(uint64, tag = "1")]
    pub base: u64,
    /// Deltas of the versions from `base + 1` on, without a gap.
    #[prost(message, repeated, tag = "2")]
    pub deltas: Vec<Delta>,
}

/// One part of a snapshot of the whole state, for a child that lags too far
/// behind to catch up by deltas.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SnapshotPart {
    /// The version of the snapshot.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Index of this part, from zero.
    #[prost(uint32, tag = "2")]
    pub part: u32,
    /// Number of parts.
    #[prost(uint32, tag = "3")]
    pub parts: u32,
    /// The records of this part, all as puts.
    #[prost(message, repeated, tag = "4")]
    pub records: Vec<RecordChange>,
}

/// Requests parts of a snapshot that didn't arrive.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SnapshotRequest {
    /// The version of the snapshot.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Indices of the missing parts.
    #[prost(uint32, repeated, tag = "2")]
    pub parts: Vec<u32>,
}

/// Assigns parents to a daemon, in order of preference.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Attach {
    /// The parents.
    #[prost(message, repeated, tag = "1")]
    pub parents: Vec<Parent>,
}

/// A process that a daemon may subscribe to.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Parent {
    /// The node.
    #[prost(fixed64, tag = "1")]
    pub node: u64,
    /// The address where it receives control messages.
    #[prost(message, required, tag = "2")]
    pub control: Endpoint,
}

/// Load of one back end as its agent measures it.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct BackendLoad {
    /// The back end.
    #[prost(uint64, tag = "1")]
    pub backend: u64,
    /// Number of in-flight requests.
    #[prost(uint32, tag = "2")]
    pub in_flight_requests: u32,
    /// Number of open flows.
    #[prost(uint32, tag = "3")]
    pub connections: u32,
    /// Health as assessed by the agent, from 0 (down) to 1,000 (healthy).
    #[prost(uint32, tag = "4")]
    pub health: u32,
    /// Whether the back end itself reports that it is draining.
    #[prost(bool, tag = "5")]
    pub draining: bool,
}

/// One daemon's report to the leader, sent at every heartbeat interval.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HeartbeatEntry {
    /// The daemon.
    #[prost(fixed64, tag = "1")]
    pub node: u64,
    /// The daemon's incarnation.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Sequence number, incremented with every heartbeat of this incarnation.
    /// The daemon records when it sent each heartbeat, because a lease runs
    /// from that time.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// The newest version that is active at the daemon.
    #[prost(uint64, tag = "4")]
    pub version: u64,
    /// The daemon's full record, sent until the leader confirms the registration.
    #[prost(message, optional, tag = "5")]
    pub registration: Option<MemberRecord>,
    /// Services whose newest generation is not yet settled at this agent: a
    /// previous owner may still admit flows in the agent's buckets.
    #[prost(uint32, repeated, tag = "6")]
    pub unsettled: Vec<u32>,
    /// Loads that changed since the last heartbeat.
    #[prost(message, repeated, tag = "7")]
    pub loads: Vec<BackendLoad>,
    /// The daemon stops: it admits no more flows and gives its lease back.
    #[prost(bool, tag = "8")]
    pub stopped: bool,
    /// The daemon is shutting down gracefully and waits until it has no work
    /// left.
    #[prost(bool, tag = "9")]
    pub leaving: bool,
}

/// Heartbeats of several daemons, relayed up the tree towards the leader and
/// aggregated on the way.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// One entry per daemon.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<HeartbeatEntry>,
}

/// The leader's reply to one heartbeat entry.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct HeartbeatReplyEntry {
    /// The daemon.
    #[prost(fixed64, tag = "1")]
    pub node: u64,
    /// The daemon's incarnation.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The sequence number of the heartbeat entry.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// The newest committed version when the leader replied.
    #[prost(uint64, tag = "4")]
    pub version: u64,
    /// Duration of the lease in milliseconds, from when the daemon sent the
    /// heartbeat; zero if no lease is granted.
    #[prost(uint32, tag = "5")]
    pub lease_milliseconds: u32,
    /// Whether the daemon's registration is committed.
    #[prost(bool, tag = "6")]
    pub registered: bool,
    /// Whether the incarnation was fenced; the daemon must then start a new one.
    #[prost(bool, tag = "7")]
    pub fenced: bool,
    /// The leader's term. When it changes, the daemon sends the loads of all its
    /// back ends, because a new leader starts without any.
    #[prost(uint64, tag = "8")]
    pub term: u64,
}

/// Replies to heartbeats, relayed down the tree along the heartbeats' path.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HeartbeatReply {
    /// One entry per daemon.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<HeartbeatReplyEntry>,
}
