//! Records of the replicated state.
//!
//! The replica group replicates them, and dissemination sends them to every
//! daemon as [`RecordChange`] values.

use std::collections::BTreeMap;

use crate::endpoint::Endpoint;

/// How a new flow is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum RefusalMode {
    /// The flow is reset.
    Reset = 0,
    /// The flow is accepted and gets an HTTP 503 response with `Retry-After` and
    /// a header that marks the request as not processed.
    HttpUnavailable = 1,
}

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum NodeRole {
    /// A member of the replica group that holds the configuration.
    Control = 0,
    /// A balancer.
    Balancer = 1,
    /// An agent beside one or more back ends.
    Agent = 2,
}

/// State of a member as committed by the replica group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum MemberState {
    /// It serves new flows.
    Live = 0,
    /// It finishes its open flows and gets no new ones.
    Leaving = 1,
}

/// A service: the address that callers use, and the settings for its flows.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServiceRecord {
    /// Identifier assigned by the replica group, never reused.
    #[prost(uint32, tag = "1")]
    pub id: u32,
    /// The operator's name for the service.
    #[prost(string, tag = "2")]
    pub name: String,
    /// The address that callers connect to.
    #[prost(message, required, tag = "3")]
    pub address: Endpoint,
    /// Number of buckets that the flow-key space is divided into.
    #[prost(uint32, tag = "4")]
    pub buckets: u32,
    /// Name of the placement policy for its flows.
    #[prost(string, tag = "5")]
    pub policy: String,
    /// How new flows are refused.
    #[prost(enumeration = "RefusalMode", tag = "6")]
    pub refusal: i32,
    /// Maximum number of new flows per second that one agent admits; zero
    /// means no limit.
    #[prost(uint32, tag = "7")]
    pub new_flows_per_second: u32,
    /// Idle timeout of a flow, in seconds.
    #[prost(uint32, tag = "8")]
    pub idle_seconds: u32,
}

/// A back end of one service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BackendRecord {
    /// Identifier assigned by the replica group, never reused.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The operator's name for the back end.
    #[prost(string, tag = "2")]
    pub name: String,
    /// The service that it belongs to.
    #[prost(uint32, tag = "3")]
    pub service: u32,
    /// Node name of its agent.
    #[prost(string, tag = "4")]
    pub agent: String,
    /// The zone where it runs.
    #[prost(string, tag = "5")]
    pub zone: String,
    /// The address where the server listens, reachable from its agent.
    #[prost(message, required, tag = "6")]
    pub server: Endpoint,
    /// Maximum number of requests that it processes concurrently; zero means no
    /// limit.
    #[prost(uint32, tag = "7")]
    pub slots: u32,
    /// Maximum number of open flows; zero means no limit.
    #[prost(uint32, tag = "8")]
    pub connections: u32,
    /// Duration of the slow start of a cold back end, in seconds; zero means
    /// no slow start.
    #[prost(uint32, tag = "9")]
    pub warm_up_seconds: u32,
    /// Free-form labels that policies read.
    #[prost(btree_map = "string, string", tag = "10")]
    pub labels: BTreeMap<String, String>,
    /// Whether the operator is draining it.
    #[prost(bool, tag = "11")]
    pub draining: bool,
    /// Whether its zone is evacuated.
    #[prost(bool, tag = "12")]
    pub evacuated: bool,
}

/// A named placement policy.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PolicyRecord {
    /// The operator's name for the policy.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The expression that decides whether a back end may receive flows.
    #[prost(string, tag = "2")]
    pub eligible: String,
    /// The expression for the back end's relative share of new flows.
    #[prost(string, tag = "3")]
    pub weight: String,
}

/// A balancer or agent process that is registered with the replica group. A
/// fenced node has no record; a new incarnation of a node gets a record only
/// after the previous incarnation was fenced.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MemberRecord {
    /// Node identifier, derived from the node's name.
    #[prost(fixed64, tag = "1")]
    pub node: u64,
    /// The node's incarnation.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The node's configured name.
    #[prost(string, tag = "3")]
    pub name: String,
    /// The node's role.
    #[prost(enumeration = "NodeRole", tag = "4")]
    pub role: i32,
    /// The zone where it runs.
    #[prost(string, tag = "5")]
    pub zone: String,
    /// The address where it receives control messages.
    #[prost(message, required, tag = "6")]
    pub control: Endpoint,
    /// The address where it receives callers' packets.
    #[prost(message, required, tag = "7")]
    pub data: Endpoint,
    /// Whether it is live or leaving.
    #[prost(enumeration = "MemberState", tag = "8")]
    pub state: i32,
}

/// One back end's share of a service's new flows, and the agent that admits
/// them.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct ShareRecord {
    /// The back end.
    #[prost(uint64, tag = "1")]
    pub backend: u64,
    /// Its weight: 1,000 is nominal; a back end of weight zero receives no new
    /// flows.
    #[prost(uint32, tag = "2")]
    pub weight: u32,
    /// Node of the back end's agent.
    #[prost(fixed64, tag = "3")]
    pub node: u64,
    /// The agent's incarnation. No other incarnation may admit flows.
    #[prost(fixed64, tag = "4")]
    pub incarnation: u64,
}

/// One version of a service's placement.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GenerationRecord {
    /// Generation number, incremented with every placement change of the service.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The shares of the back ends, ordered by back-end identifier.
    #[prost(message, repeated, tag = "2")]
    pub shares: Vec<ShareRecord>,
}

impl GenerationRecord {
    /// Returns whether any back end receives new flows.
    pub fn admits(&self) -> bool {
        self.shares.iter().any(ShareRecord::receives_new_flows)
    }

    /// Returns the shares that own buckets: those that receive new flows or,
    /// if none does, all shares. In that case, the agents refuse new flows
    /// and forward packets of open flows to the agents that serve them.
    pub fn owners(&self) -> impl Iterator<Item = &ShareRecord> {
        let admits = self.admits();
        let shares = self.shares.iter();
        shares.filter(move |share| share.receives_new_flows() || !admits)
    }
}

/// Placement of a service: the newest generation, and older generations with
/// owners that may not have handed over their buckets yet.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PlacementRecord {
    /// The service.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// Generations in ascending order; the last one is active.
    #[prost(message, repeated, tag = "2")]
    pub generations: Vec<GenerationRecord>,
}

/// A record of any kind.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Record {
    /// A service.
    #[prost(message, tag = "1")]
    Service(ServiceRecord),
    /// A back end.
    #[prost(message, tag = "2")]
    Backend(BackendRecord),
    /// A policy.
    #[prost(message, tag = "3")]
    Policy(PolicyRecord),
    /// A member.
    #[prost(message, tag = "4")]
    Member(MemberRecord),
    /// The placement of a service.
    #[prost(message, tag = "5")]
    Placement(PlacementRecord),
}

/// Identifies one record.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Oneof)]
pub enum RecordKey {
    /// A service by identifier.
    #[prost(uint32, tag = "11")]
    Service(u32),
    /// A back end by identifier.
    #[prost(uint64, tag = "12")]
    Backend(u64),
    /// A policy by name.
    #[prost(string, tag = "13")]
    Policy(String),
    /// A member by node.
    #[prost(fixed64, tag = "14")]
    Member(u64),
    /// A placement by service identifier.
    #[prost(uint32, tag = "15")]
    Placement(u32),
}

impl Record {
    /// Returns the key of this record.
    pub fn key(&self) -> RecordKey {
        match self {
            Record::Service(service) => RecordKey::Service(service.id),
            Record::Backend(backend) => RecordKey::Backend(backend.id),
            Record::Policy(policy) => RecordKey::Policy(policy.name.clone()),
            Record::Member(member) => RecordKey::Member(member.node),
            Record::Placement(placement) => RecordKey::Placement(placement.service),
        }
    }
}

/// A put or a removal of one record. Exactly one of the two fields is set.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RecordChange {
    /// The record to put.
    #[prost(oneof = "Record", tags = "1, 2, 3, 4, 5")]
    pub put: Option<Record>,
    /// The key of the record to remove.
    #[prost(oneof = "RecordKey", tags = "11, 12, 13, 14, 15")]
    pub remove: Option<RecordKey>,
}

impl RecordChange {
    /// Returns the key of the record that is put or removed.
    pub fn key(&self) -> Option<RecordKey> {
        let put = self.put.as_ref().map(Record::key);
        put.or_else(|| self.remove.clone())
    }
}
