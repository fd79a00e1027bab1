//! Configuration records and changes, as stored, replicated and sent to balancers.

use super::{PolicyChange, ZoneCommand};

/// A service's share of a route's new flows.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RouteShare {
    /// The service's name.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Weight relative to the route's other shares.
    #[prost(uint32, tag = "2")]
    pub weight: u32,
}

/// Assigns the new flows of one address to services.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RouteRecord {
    /// Address and port that callers connect to, see [`super::pack_address`].
    #[prost(fixed64, tag = "1")]
    pub address: u64,
    /// Services, with their shares of the new flows.
    #[prost(message, repeated, tag = "2")]
    pub shares: Vec<RouteShare>,
    /// Opaque data that the operator's API translator stores with the route. It isn't sent to
    /// balancers.
    #[prost(bytes = "vec", tag = "3")]
    pub annotation: Vec<u8>,
    /// Sort key in the operator's list, ascending. Keys have gaps, so that a route can be
    /// inserted between two others without renumbering them.
    #[prost(fixed64, tag = "4")]
    pub position: u64,
    /// Latency objective (SLO) of a request, in milliseconds; zero if unknown.
    #[prost(uint32, tag = "5")]
    pub latency_objective_millis: u32,
    /// Priority of its requests when they compete for slots; zero is the highest.
    #[prost(uint32, tag = "6")]
    pub priority: u32,
    /// Deadline after which callers give up a request, in milliseconds after sending it; zero
    /// if unknown.
    #[prost(uint32, tag = "7")]
    pub deadline_millis: u32,
}

/// Per-service settings of the configuration.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ServiceRecord {
    /// The service's name.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Requests that one back end can take per 1,000 s while it warms up; zero if unknown.
    #[prost(uint32, tag = "2")]
    pub warm_up_millirequests_per_second: u32,
}

/// A new version of the configuration, as the records that differ from `base_version`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigurationChange {
    /// Version that the change is based on; zero for the empty configuration.
    #[prost(uint64, tag = "1")]
    pub base_version: u64,
    /// Version that the change creates.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// New and changed routes.
    #[prost(message, repeated, tag = "3")]
    pub put: Vec<RouteRecord>,
    /// Addresses of removed routes.
    #[prost(fixed64, repeated, tag = "4")]
    pub removed: Vec<u64>,
    /// Opaque data that the operator's API translator stores with the configuration; `None` if
    /// unchanged.
    #[prost(bytes, optional, tag = "5")]
    pub annotation: Option<Vec<u8>>,
    /// New and changed service records.
    #[prost(message, repeated, tag = "6")]
    pub put_services: Vec<ServiceRecord>,
    /// Names of services whose records are removed.
    #[prost(string, repeated, tag = "7")]
    pub removed_services: Vec<String>,
}

/// One command of the replicated log: a part of an encoded and compressed
/// [`ConfigurationChange`], a zone command, or a change of the placement policies.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LogCommand {
    /// Random identifier of a change, the same in all its parts.
    #[prost(fixed64, tag = "1")]
    pub change_id: u64,
    /// Index of this part, from zero.
    #[prost(uint32, tag = "2")]
    pub part: u32,
    /// Number of parts.
    #[prost(uint32, tag = "3")]
    pub parts: u32,
    /// Bytes of this part.
    #[prost(bytes = "vec", tag = "4")]
    pub bytes: Vec<u8>,
    /// Zone command. If set, the other fields are zero.
    #[prost(message, optional, tag = "5")]
    pub zone_command: Option<ZoneCommand>,
    /// Change of the placement policies. If set, the other fields are zero.
    #[prost(message, optional, tag = "6")]
    pub policy_change: Option<PolicyChange>,
}

/// A part of an encoded and compressed [`ConfigurationChange`], as sent to balancers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigurationPart {
    /// Version that the change is based on.
    #[prost(uint64, tag = "1")]
    pub base_version: u64,
    /// Version that the change creates.
    #[prost(uint64, tag = "2")]
    pub version: u64,
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
