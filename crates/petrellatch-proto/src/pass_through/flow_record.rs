//! Messages about flow records: copies of the agents' open flows, which replicas keep so
//! that they survive a restart of the agent.
//!
//! An agent sends changes of its open flows to a few replicas. After a start it requests
//! the flow record of its previous incarnation from them.

/// Unit of [`FlowColumns::acknowledged_steps`], in bytes. A caller accepts a reset within
/// its receive window, and this is a quarter of the smallest usual one.
pub const ACKNOWLEDGED_STEP_BYTES: u32 = 16 * 1024;

/// Open flows of one agent, in columnar form.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct FlowColumns {
    /// Distinct route addresses of the flows.
    #[prost(fixed64, repeated, tag = "1")]
    pub routes: Vec<u64>,
    /// Caller address of each flow.
    #[prost(fixed64, repeated, tag = "2")]
    pub callers: Vec<u64>,
    /// Index of each flow's route in `routes`.
    #[prost(uint32, repeated, tag = "3")]
    pub route_indexes: Vec<u32>,
    /// Initial sequence number of the back end in each flow.
    #[prost(fixed32, repeated, tag = "4")]
    pub sequences: Vec<u32>,
    /// Distance from the initial sequence number to the caller's acknowledgement, in units of
    /// [`ACKNOWLEDGED_STEP_BYTES`], rounded down.
    #[prost(uint32, repeated, tag = "5")]
    pub acknowledged_steps: Vec<u32>,
}

/// Agent to replica: the difference between two revisions of the agent's flow record.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct FlowRecordChange {
    /// Address of the agent.
    #[prost(fixed64, tag = "1")]
    pub agent: u64,
    /// Incarnation of the agent.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Digest of the back end incarnation that owns the flows; zero if it has not registered.
    #[prost(fixed64, tag = "3")]
    pub backend_incarnation: u64,
    /// Revision that the change is based on; zero if it is the complete record.
    #[prost(uint64, tag = "4")]
    pub base_revision: u64,
    /// Revision that the change creates.
    #[prost(uint64, tag = "5")]
    pub revision: u64,
    /// Index of this part, from zero.
    #[prost(uint32, tag = "6")]
    pub part: u32,
    /// Number of parts.
    #[prost(uint32, tag = "7")]
    pub parts: u32,
    /// New flows, and flows whose acknowledgement has advanced.
    #[prost(message, required, tag = "8")]
    pub put: FlowColumns,
    /// Closed flows, as callers and routes only.
    #[prost(message, required, tag = "9")]
    pub removed: FlowColumns,
    /// Data-less packets from callers of some of the flows. A back end returns them once the
    /// incarnation that owned the flows has ended.
    #[prost(bytes = "vec", repeated, tag = "10")]
    pub probe_packets: Vec<Vec<u8>>,
    /// Start time of that incarnation in milliseconds of its own clock; zero if it isn't known.
    #[prost(uint64, tag = "11")]
    pub backend_started_at_millis: u64,
}

/// Replica to agent: the revision of the flow record that the replica has.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct FlowRecordAck {
    /// Incarnation of the agent.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Revision of the record; zero if the replica has none of this incarnation and needs the
    /// complete record.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Whether the replica has no capacity for the rest of the record.
    #[prost(bool, tag = "3")]
    pub is_full: bool,
}

/// Agent to replica: requests the flow record of the agent's previous incarnation.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct FlowRecordRequest {
    /// Address of the agent.
    #[prost(fixed64, tag = "1")]
    pub agent: u64,
    /// Current incarnation of the agent.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
}

/// Replica to agent: a part of the flow record of a previous incarnation.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct FlowRecordResponse {
    /// Incarnation that sent the request.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// [`FlowRecordChange::backend_incarnation`] of the record.
    #[prost(fixed64, tag = "2")]
    pub backend_incarnation: u64,
    /// Revision of the record. Later incarnations use higher revisions.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Index of this part, from zero.
    #[prost(uint32, tag = "4")]
    pub part: u32,
    /// Number of parts; zero if the replica has no record.
    #[prost(uint32, tag = "5")]
    pub parts: u32,
    /// Flows of this part.
    #[prost(message, required, tag = "6")]
    pub flows: FlowColumns,
    /// See [`FlowRecordChange::probe_packets`].
    #[prost(bytes = "vec", repeated, tag = "7")]
    pub probe_packets: Vec<Vec<u8>>,
    /// See [`FlowRecordChange::backend_started_at_millis`].
    #[prost(uint64, tag = "8")]
    pub backend_started_at_millis: u64,
}
