//! Records and changes of the configuration, as they are kept, replicated and handed on.

use super::{PolicyChange, ZoneCommand};

/// A service's share of a route's new flows.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RouteShare {
    /// The service's name.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Its weight among the shares of the route.
    #[prost(uint32, tag = "2")]
    pub weight: u32,
}

/// Where new flows of one address go.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RouteRecord {
    /// The address and port that callers name.
    #[prost(fixed64, tag = "1")]
    pub address: u64,
    /// The services.
    #[prost(message, repeated, tag = "2")]
    pub shares: Vec<RouteShare>,
    /// What the operator's interface keeps with the route. Balancers don't
    /// get it.
    #[prost(bytes = "vec", tag = "3")]
    pub annotation: Vec<u8>,
    /// Place in the operator's list: the greater, the later. Places have gaps,
    /// so that a route can be put between two others without moving them.
    #[prost(fixed64, tag = "4")]
    pub position: u64,
    /// By when a request should be answered, in milliseconds; zero if that is
    /// not known.
    #[prost(uint32, tag = "5")]
    pub latency_objective_millis: u32,
    /// How urgent its requests are among those that compete for a place: zero is the
    /// most urgent.
    #[prost(uint32, tag = "6")]
    pub priority: u32,
    /// When callers give a request up, in milliseconds after they sent it; zero if
    /// that is not known.
    #[prost(uint32, tag = "7")]
    pub deadline_millis: u32,
}

/// What the configuration says of a service.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ServiceRecord {
    /// The service's name.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Requests that one of its back ends bears in 1,000 s while it warms up; zero
    /// if that is not known.
    #[prost(uint32, tag = "2")]
    pub warm_up_millirequests_per_second: u32,
}

/// A replacement of the configuration, as records that differ from the one
/// with `base_version`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigurationChange {
    /// The version that it is based on; zero for the empty configuration.
    #[prost(uint64, tag = "1")]
    pub base_version: u64,
    /// The version that it makes.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Routes that are new or differ.
    #[prost(message, repeated, tag = "3")]
    pub put: Vec<RouteRecord>,
    /// Addresses of routes that are gone.
    #[prost(fixed64, repeated, tag = "4")]
    pub removed: Vec<u64>,
    /// What the operator's interface keeps with the configuration as a whole,
    /// if it differs.
    #[prost(bytes, optional, tag = "5")]
    pub annotation: Option<Vec<u8>>,
    /// Services that are new or differ, of those that something is said of.
    #[prost(message, repeated, tag = "6")]
    pub put_services: Vec<ServiceRecord>,
    /// Names of services that nothing is said of any more.
    #[prost(string, repeated, tag = "7")]
    pub removed_services: Vec<String>,
}

/// One command of the log: a part of an encoded and compressed
/// [`ConfigurationChange`], an order about a zone, or a change of the policies.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LogCommand {
    /// Same for all parts of a change, and drawn at random for it.
    #[prost(fixed64, tag = "1")]
    pub change_id: u64,
    /// Number of this part, from zero.
    #[prost(uint32, tag = "2")]
    pub part: u32,
    /// How many parts there are.
    #[prost(uint32, tag = "3")]
    pub parts: u32,
    /// The bytes.
    #[prost(bytes = "vec", tag = "4")]
    pub bytes: Vec<u8>,
    /// The order. The other fields are zero then.
    #[prost(message, optional, tag = "5")]
    pub zone_command: Option<ZoneCommand>,
    /// The change of the policies. The other fields are zero then.
    #[prost(message, optional, tag = "6")]
    pub policy_change: Option<PolicyChange>,
}

/// A part of an encoded and compressed [`ConfigurationChange`] for balancers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigurationPart {
    /// The version that the change is based on.
    #[prost(uint64, tag = "1")]
    pub base_version: u64,
    /// The version that it makes.
    #[prost(uint64, tag = "2")]
    pub version: u64,
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
