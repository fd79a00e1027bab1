//! Messages about agents: what each reports, and what replicas tell balancers of all.

use super::{BackendDescription, LoadMessage};

/// State of the back end beside an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum AgentState {
    /// No back end has registered in this life of the agent, or it is silent, or the
    /// agent has stopped and its back end certainly has no open flow.
    Unavailable = 0,
    /// New flows are welcome.
    Ready = 1,
    /// No new flows; open ones stay.
    Draining = 2,
    /// The agent has just started, and nothing was heard of its back end yet.
    /// It offers it flows that nobody else takes.
    Starting = 3,
}

/// What an agent serves.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Report {
    /// Where balancers send packets.
    #[prost(fixed64, tag = "1")]
    pub address: u64,
    /// Life of the agent.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Rises with each report of a life.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// The service's name.
    #[prost(string, tag = "4")]
    pub service: String,
    /// The agent's zone.
    #[prost(string, tag = "5")]
    pub zone: String,
    /// An [`AgentState`].
    #[prost(enumeration = "AgentState", tag = "6")]
    pub state: i32,
    /// The load.
    #[prost(message, required, tag = "7")]
    pub load: LoadMessage,
    /// Digests of back ends that said that they leave, the latest last.
    #[prost(fixed64, repeated, tag = "9")]
    pub draining_backends: Vec<u64>,
    /// The time until the next report without news, in milliseconds; zero if this is
    /// the last one, as the agent has stopped.
    #[prost(uint32, tag = "10")]
    pub next_report_millis: u32,
    /// [`super::ZoneStatuses::index`] as the agent knows it.
    #[prost(uint64, tag = "11")]
    pub evacuations_index: u64,
    /// The back end, if one has registered.
    #[prost(message, optional, tag = "12")]
    pub backend: Option<BackendDescription>,
}

/// One agent of a [`DirectoryPart`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct DirectoryEntry {
    /// What it reported last.
    #[prost(message, required, tag = "1")]
    pub report: Report,
    /// How long ago that was, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_millis: u32,
}

/// How a replica's directory differs from an earlier revision.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DirectoryChange {
    /// Agents that are new or reported something else.
    #[prost(message, repeated, tag = "1")]
    pub agents: Vec<DirectoryEntry>,
    /// Addresses of agents that are not heard any more.
    #[prost(fixed64, repeated, tag = "2")]
    pub removed: Vec<u64>,
}

/// A part of an encoded and compressed [`DirectoryChange`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct DirectoryPart {
    /// The revision that the change is based on; zero for none.
    #[prost(uint64, tag = "1")]
    pub base_revision: u64,
    /// The revision that it makes.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Number of this part, from zero.
    #[prost(uint32, tag = "3")]
    pub part: u32,
    /// How many parts there are.
    #[prost(uint32, tag = "4")]
    pub parts: u32,
    /// The bytes.
    #[prost(bytes = "vec", tag = "5")]
    pub bytes: Vec<u8>,
}
