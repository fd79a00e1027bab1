//! What the cluster is doing, as operators see it.

use serde::{Deserialize, Serialize};

/// Versions, members and services.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct StatusDocument {
    /// The leader's node name.
    pub leader: String,
    /// The newest version of the whole state.
    pub version: u64,
    /// The version of the last accepted change.
    pub configuration_version: u64,
    /// Balancers and agents.
    pub members: Vec<MemberStatus>,
    /// Services.
    pub services: Vec<ServiceStatus>,
}

/// A balancer or agent.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct MemberStatus {
    /// The node name.
    pub name: String,
    /// "balancer" or "agent".
    pub role: String,
    /// The zone.
    pub zone: String,
    /// "live", "leaving" or "suspected".
    pub state: String,
    /// The newest version that it reported as in force.
    pub version: u64,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ServiceStatus {
    /// The name.
    pub name: String,
    /// The newest placement generation.
    pub generation: u64,
    /// Whether all its owners have settled it.
    pub settled: bool,
    /// Back ends with their shares.
    pub backends: Vec<BackendShare>,
}

/// A back end's part of a service.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct BackendShare {
    /// The name.
    pub name: String,
    /// The weight in force; 1,000 is nominal.
    pub weight: u32,
    /// Requests in progress by the last report.
    pub busy: u32,
    /// Open flows by the last report.
    pub connections: u32,
    /// Whether the operator is draining it.
    pub draining: bool,
}

/// A policy in which nothing is wrong.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct PolicyCheck {
    /// The policy.
    pub policy: String,
}

/// What a policy decides for each back end of a service.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct PolicyExplanation {
    /// The service.
    pub service: String,
    /// The policy.
    pub policy: String,
    /// One decision a back end.
    pub backends: Vec<PolicyDecision>,
}

/// What a policy decides for one back end.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct PolicyDecision {
    /// The back end.
    pub backend: String,
    /// Whether it may receive new flows.
    pub eligible: bool,
    /// The weight; 1,000 is nominal.
    pub weight: u32,
    /// Why, in words.
    pub reason: String,
}
