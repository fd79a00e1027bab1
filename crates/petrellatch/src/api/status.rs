//! Status documents of the operator API, and requests about policies and replicas.

use serde::{Deserialize, Serialize};

/// Versions, members and services.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct StatusDocument {
    /// The leader's node name.
    pub leader: String,
    /// The leader's term.
    pub term: u64,
    /// The newest version of the whole state.
    pub version: u64,
    /// The version of the last accepted change.
    pub configuration_version: u64,
    /// Control replicas.
    pub replicas: Vec<ReplicaStatus>,
    /// Replicas that are not members and have announced themselves to be added.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub announced: Vec<AnnouncedReplica>,
    /// Balancers and agents.
    pub members: Vec<MemberStatus>,
    /// Zones with back ends that are out of service.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub evacuated_zones: Vec<String>,
    /// Services.
    pub services: Vec<ServiceStatus>,
}

/// A control replica.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ReplicaStatus {
    /// The node name.
    pub name: String,
    /// The incarnation of its data folder, in hexadecimal digits. It changes when
    /// a replica that lost its folder is admitted again.
    pub incarnation: String,
    /// "voter", "joining" or "learner".
    pub role: String,
    /// Index of the last log entry that is known to be durable at the replica.
    pub durable_index: u64,
    /// Milliseconds since it was last seen; absent if it was not seen in this term.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub silent_ms: Option<u64>,
}

/// A replica that is not a member and has announced itself to be added.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct AnnouncedReplica {
    /// The node name, if the settings of the leader list it.
    pub name: String,
    /// The incarnation of its data folder, in hexadecimal digits.
    pub incarnation: String,
}

/// The progress of a version.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ProgressDocument {
    /// The requested version, or the newest one if the request names none.
    pub version: u64,
    /// The newest version of the whole state.
    pub newest: u64,
    /// Whether it is active at every balancer and agent.
    pub in_force: bool,
    /// Number of balancers and agents that have not reported it as active.
    pub lagging_count: usize,
    /// The names of some of these.
    pub lagging: Vec<String>,
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
    /// The newest version that it reported as active.
    pub version: u64,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ServiceStatus {
    /// The name.
    pub name: String,
    /// The newest placement generation.
    pub generation: u64,
    /// Whether all owners of this generation have settled it.
    pub settled: bool,
    /// Back ends with their shares.
    pub backends: Vec<BackendShare>,
}

/// A back end's share of a service.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct BackendShare {
    /// The name.
    pub name: String,
    /// The active weight; 1,000 is nominal.
    pub weight: u32,
    /// Whether the operator is draining it.
    pub draining: bool,
    /// Whether its zone is out of service.
    #[serde(default)]
    pub evacuated: bool,
}

/// A policy to be checked without applying it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyCheckRequest {
    /// Whether a back end may receive new flows: a boolean.
    pub eligible: String,
    /// The weight of a back end relative to the others: a number from 0.
    pub weight: String,
    /// The service for whose back ends it is checked; absent for all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
}

/// The response to the check of a valid policy.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct PolicyCheck {
    /// Always true; the check of an invalid policy returns an error.
    pub sound: bool,
}

/// What to do with a control replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaAction {
    /// Add it; it votes once it has caught up.
    Add,
    /// Remove it.
    Remove,
}

/// A request to change the set of control replicas.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaRequest {
    /// What to do.
    pub action: ReplicaAction,
    /// The node name.
    pub name: String,
    /// To add: the incarnation that the replica printed when it started.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<String>,
}

/// The response to a change of the set of control replicas that has started.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ReplicasChanging {
    /// Always true; the status shows when the change is complete.
    pub started: bool,
}

/// What a policy decides for each back end of a service.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct PolicyExplanation {
    /// The service.
    pub service: String,
    /// The policy.
    pub policy: String,
    /// One decision for each back end.
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
    /// The reason, as text.
    pub reason: String,
}
