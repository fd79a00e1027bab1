//! Messages about the record of open flows that replicas keep for agents, so that it
//! outlives them.
//!
//! An agent tells a few replicas how its open flows change, and after a start it asks
//! them for what its former life told.

/// Steps of [`FlowColumns::acknowledged_steps`], in bytes: a quarter of the smallest
/// usual receive window, within which a caller takes a reset.
pub const ACKNOWLEDGED_STEP_BYTES: u32 = 16 * 1024;

/// Open flows of one agent, a column for each property.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct FlowColumns {
    /// Addresses of the routes that the flows name.
    #[prost(fixed64, repeated, tag = "1")]
    pub routes: Vec<u64>,
    /// Address of each flow's caller.
    #[prost(fixed64, repeated, tag = "2")]
    pub callers: Vec<u64>,
    /// Place of each flow's route in `routes`.
    #[prost(uint32, repeated, tag = "3")]
    pub route_indexes: Vec<u32>,
    /// First sequence number of the back end in each flow.
    #[prost(fixed32, repeated, tag = "4")]
    pub sequences: Vec<u32>,
    /// How far each caller's acknowledgement was ahead of that, in steps of
    /// [`ACKNOWLEDGED_STEP_BYTES`], rounded down.
    #[prost(uint32, repeated, tag = "5")]
    pub acknowledged_steps: Vec<u32>,
}

/// Agent to replica: how its open flows differ from what it told before.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct FlowRecordChange {
    /// The agent.
    #[prost(fixed64, tag = "1")]
    pub agent: u64,
    /// Its life.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Digest of the life of the back end that has the flows; zero if it has not called.
    #[prost(fixed64, tag = "3")]
    pub backend_incarnation: u64,
    /// Number of the record that this is based on; zero if it is the whole record.
    #[prost(uint64, tag = "4")]
    pub base_revision: u64,
    /// Number of the record that it makes.
    #[prost(uint64, tag = "5")]
    pub revision: u64,
    /// Number of this part, from zero.
    #[prost(uint32, tag = "6")]
    pub part: u32,
    /// How many parts there are.
    #[prost(uint32, tag = "7")]
    pub parts: u32,
    /// Flows that are new, or whose acknowledgement has moved on.
    #[prost(message, required, tag = "8")]
    pub put: FlowColumns,
    /// Flows that have ended, by callers and routes only.
    #[prost(message, required, tag = "9")]
    pub removed: FlowColumns,
    /// Packets of callers without data, of some of the flows. The back end returns them
    /// once the life that had the flows is over.
    #[prost(bytes = "vec", repeated, tag = "10")]
    pub probe_packets: Vec<Vec<u8>>,
}

/// Replica to agent: what it keeps of the agent's record.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct FlowRecordAck {
    /// The agent's life.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Number of the record; zero if it has none of this life and wants it whole.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// It has no room for the rest.
    #[prost(bool, tag = "3")]
    pub is_full: bool,
}

/// Agent to replica: asks for the record of its former life.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct FlowRecordRequest {
    /// The agent.
    #[prost(fixed64, tag = "1")]
    pub agent: u64,
    /// Its present life.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
}

/// Replica to agent: the record of a former life.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct FlowRecordResponse {
    /// The life that asked.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// [`FlowRecordChange::backend_incarnation`] of the record.
    #[prost(fixed64, tag = "2")]
    pub backend_incarnation: u64,
    /// Number of the record. Numbers of later lives are higher.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Number of this part, from zero.
    #[prost(uint32, tag = "4")]
    pub part: u32,
    /// How many parts there are; zero if the replica has no record.
    #[prost(uint32, tag = "5")]
    pub parts: u32,
    /// Flows.
    #[prost(message, required, tag = "6")]
    pub flows: FlowColumns,
    /// See [`FlowRecordChange::probe_packets`].
    #[prost(bytes = "vec", repeated, tag = "7")]
    pub probe_packets: Vec<Vec<u8>>,
}
