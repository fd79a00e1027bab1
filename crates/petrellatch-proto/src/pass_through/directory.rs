//! Messages about agents: the report of each agent, and the directory of all agents that
//! replicas send to balancers.

use super::{BackendDescription, LoadMessage};

/// State of an agent and its back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum AgentState {
    /// No back end has registered since the agent started, or the back end is silent, or the
    /// agent has stopped and its back end certainly has no open flow.
    Unavailable = 0,
    /// The back end takes new flows.
    Ready = 1,
    /// The back end takes no new flows; open ones continue. After a restart of the agent, a back
    /// end that was leaving counts as draining until it is known to have ended.
    Draining = 2,
    /// The agent has just started and has received nothing from its back end yet. Balancers
    /// offer it only flows that no other agent takes.
    Starting = 3,
}

/// An agent's periodic report: its service, state and load.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Report {
    /// Address of the agent, to which balancers forward packets.
    #[prost(fixed64, tag = "1")]
    pub address: u64,
    /// Incarnation of the agent.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Sequence number of the report, ascending within an incarnation.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// The service's name.
    #[prost(string, tag = "4")]
    pub service: String,
    /// Zone of the agent.
    #[prost(string, tag = "5")]
    pub zone: String,
    /// An [`AgentState`].
    #[prost(enumeration = "AgentState", tag = "6")]
    pub state: i32,
    /// Load of the back end.
    #[prost(message, required, tag = "7")]
    pub load: LoadMessage,
    /// Digests of the back end incarnations that announced that they are draining, the latest
    /// last.
    #[prost(fixed64, repeated, tag = "9")]
    pub draining_backends: Vec<u64>,
    /// Time until the next report if nothing changes, in milliseconds; zero in the final
    /// report of an agent that has stopped.
    #[prost(uint32, tag = "10")]
    pub next_report_millis: u32,
    /// Latest [`super::ZoneStatuses::index`] that the agent has received.
    #[prost(uint64, tag = "11")]
    pub evacuations_index: u64,
    /// Description of the back end, if one has registered.
    #[prost(message, optional, tag = "12")]
    pub backend: Option<BackendDescription>,
    /// Digest of the back end incarnation that takes new flows; zero if there is none.
    #[prost(fixed64, tag = "13")]
    pub serving_backend: u64,
    /// Set while the agent awaits that replicas save departures, or tell it which ones they have.
    #[prost(message, optional, boxed, tag = "14")]
    pub departures: Option<Box<DepartureRequest>>,
}

/// Agent to replica: asks which departures of back ends the replica knows and has saved.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct DepartureRequest {
    /// With a departure that isn't saved yet: a data-less packet that a caller has sent to the back
    /// end. Once that has ended, its address refuses the packet.
    #[prost(bytes = "vec", tag = "1")]
    pub probe_packet: Vec<u8>,
}

/// One agent of a [`DirectoryPart`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct DirectoryEntry {
    /// Latest report of the agent.
    #[prost(message, required, tag = "1")]
    pub report: Report,
    /// Age of the report, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_millis: u32,
}

/// Difference between a replica's directory and an earlier revision of it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DirectoryChange {
    /// New agents, and agents whose report has changed.
    #[prost(message, repeated, tag = "1")]
    pub agents: Vec<DirectoryEntry>,
    /// Addresses of agents that no longer report.
    #[prost(fixed64, repeated, tag = "2")]
    pub removed: Vec<u64>,
}

/// A part of an encoded and compressed [`DirectoryChange`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct DirectoryPart {
    /// Revision that the change is based on; zero for none.
    #[prost(uint64, tag = "1")]
    pub base_revision: u64,
    /// Revision that the change creates.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Index of this part, from zero.
    #[prost(uint32, tag = "3")]
    pub part: u32,
    /// Number of parts.
    #[prost(uint32, tag = "4")]
    pub parts: u32,
    /// Bytes of this part.
    #[prost(bytes = "vec", tag = "5")]
    pub bytes: Vec<u8>,
}
