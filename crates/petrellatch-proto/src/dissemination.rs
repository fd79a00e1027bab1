//! Messages that carry the replicated state down to the daemons and reports,
//! heartbeats and lease renewals up to the leader.

use crate::endpoint::Endpoint;
use crate::record::{MemberRecord, RecordChange};

/// Asks a parent for everything newer than `version`. Resent until answered,
/// and again whenever the daemon finds out that it lags.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Subscribe {
    /// The newest version that the child has applied; zero if none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// All changes that one version made.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Delta {
    /// The version that these changes lead to.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The changes.
    #[prost(message, repeated, tag = "2")]
    pub changes: Vec<RecordChange>,
}

/// Consecutive deltas, sent by a parent to a child.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Update {
    /// The version that the first delta builds on.
    #[prost(uint64, tag = "1")]
    pub base: u64,
    /// Deltas of versions `base + 1` and on, without a gap.
    #[prost(message, repeated, tag = "2")]
    pub deltas: Vec<Delta>,
}

/// One part of the whole state, for a child too far behind for deltas.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SnapshotPart {
    /// The version that the whole snapshot is at.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The number of this part, from zero.
    #[prost(uint32, tag = "2")]
    pub part: u32,
    /// How many parts there are.
    #[prost(uint32, tag = "3")]
    pub parts: u32,
    /// The records of this part, all as puts.
    #[prost(message, repeated, tag = "4")]
    pub records: Vec<RecordChange>,
}

/// Asks for parts of a snapshot that did not arrive.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SnapshotRequest {
    /// The version of the snapshot.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The parts wanted.
    #[prost(uint32, repeated, tag = "2")]
    pub parts: Vec<u32>,
}

/// Tells a daemon which parents to use, the best first.
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
    /// Where it receives control messages.
    #[prost(message, required, tag = "2")]
    pub control: Endpoint,
}

/// The load of one back end as its agent sees it.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct BackendLoad {
    /// The back end.
    #[prost(uint64, tag = "1")]
    pub backend: u64,
    /// Requests in progress.
    #[prost(uint32, tag = "2")]
    pub busy: u32,
    /// Open flows.
    #[prost(uint32, tag = "3")]
    pub connections: u32,
    /// Health as the agent judges it, from 0 (down) to 1,000 (well).
    #[prost(uint32, tag = "4")]
    pub health: u32,
    /// Whether the back end itself says that it is draining.
    #[prost(bool, tag = "5")]
    pub draining: bool,
}

/// What one daemon tells the leader at every heartbeat interval.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HeartbeatEntry {
    /// The daemon.
    #[prost(fixed64, tag = "1")]
    pub node: u64,
    /// Its life.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Grows by one with every heartbeat of this life. The daemon remembers
    /// when it sent each, since a lease runs from the sending.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// The newest version in force at the daemon.
    #[prost(uint64, tag = "4")]
    pub version: u64,
    /// The full record, sent until the leader confirms the registration.
    #[prost(message, optional, tag = "5")]
    pub registration: Option<MemberRecord>,
    /// Services whose newest generation is not yet settled at this agent.
    #[prost(uint32, repeated, tag = "6")]
    pub unsettled: Vec<u32>,
    /// Loads that changed since the last heartbeat.
    #[prost(message, repeated, tag = "7")]
    pub loads: Vec<BackendLoad>,
    /// The daemon stops: it admits nothing any more and its lease is given up.
    #[prost(bool, tag = "8")]
    pub stopped: bool,
    /// The daemon wants to leave and waits until it has nothing to do.
    #[prost(bool, tag = "9")]
    pub leaving: bool,
}

/// Heartbeats, passed up the tree towards the leader and combined on the way.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// One entry a daemon.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<HeartbeatEntry>,
}

/// The leader's answer to one heartbeat entry.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct HeartbeatAnswer {
    /// The daemon.
    #[prost(fixed64, tag = "1")]
    pub node: u64,
    /// Its life.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The sequence number that is answered.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// The newest committed version when the leader answered.
    #[prost(uint64, tag = "4")]
    pub version: u64,
    /// The lease, in milliseconds from the sending of the heartbeat; zero
    /// when none is granted.
    #[prost(uint32, tag = "5")]
    pub lease_milliseconds: u32,
    /// Whether the leader has the daemon's registration committed.
    #[prost(bool, tag = "6")]
    pub registered: bool,
    /// The life was fenced: the daemon must start a new one.
    #[prost(bool, tag = "7")]
    pub fenced: bool,
    /// The leader's term. A new leader knows no loads: the daemon sends all.
    #[prost(uint64, tag = "8")]
    pub term: u64,
}

/// Answers, passed down the tree the way the heartbeats came.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HeartbeatReply {
    /// One answer a daemon.
    #[prost(message, repeated, tag = "1")]
    pub answers: Vec<HeartbeatAnswer>,
}
