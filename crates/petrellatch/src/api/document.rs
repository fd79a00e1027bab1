//! Services, back ends and policies as operators write them.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use petrellatch_proto::command::BackendEdit;
use petrellatch_proto::record::{BackendRecord, PolicyRecord, RefusalMode, ServiceRecord};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Default number of buckets of a service.
const DEFAULT_BUCKETS: u32 = 256;
/// Default idle timeout of a service, in seconds.
const DEFAULT_IDLE_SECONDS: u32 = 3_600;
/// Default connection limit of a back end.
const DEFAULT_CONNECTIONS: u32 = 2_000;

/// Why an operator document is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{name}: {message}"))]
pub struct DocumentError {
    /// The name of the document.
    pub name: String,
    /// What is wrong and where.
    pub message: String,
}

/// A document of services, back ends and policies.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Policies.
    pub policies: Vec<PolicyDocument>,
    /// Services.
    pub services: Vec<ServiceDocument>,
    /// Back ends.
    pub backends: Vec<BackendDocument>,
}

/// A document with the version at which it was read.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Configuration {
    /// The version to base a change on.
    pub version: u64,
    /// The content.
    pub document: Document,
}

/// A placement policy: two expressions.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyDocument {
    /// The name.
    pub name: String,
    /// Whether a back end may receive new flows: a boolean.
    pub eligible: String,
    /// The weight of a back end relative to the others: a number from 0.
    pub weight: String,
}

/// What a caller gets when a new flow is refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The connection is reset.
    #[default]
    Reset,
    /// HTTP 503 with `Retry-After`, marked as a request that did not run.
    HttpUnavailable,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDocument {
    /// The name.
    pub name: String,
    /// The address that callers connect to.
    pub address: SocketAddrV4,
    /// The name of the policy that places its flows.
    pub policy: String,
    /// Number of buckets into which its flow-key space is divided.
    #[serde(default = "default_buckets")]
    pub buckets: u32,
    /// The response to a refused caller.
    #[serde(default)]
    pub refusal: Refusal,
    /// Maximum number of new flows per second that one agent admits; zero means
    /// no limit.
    #[serde(default)]
    pub new_flows_per_second: u32,
    /// Seconds without a packet after which a flow is dropped.
    #[serde(default = "default_idle_seconds")]
    pub idle_seconds: u32,
}

/// A back end.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BackendDocument {
    /// The name.
    pub name: String,
    /// The name of its service.
    pub service: String,
    /// The node name of its agent.
    pub agent: String,
    /// The zone.
    pub zone: String,
    /// The address at which its agent connects to the server.
    pub server: SocketAddrV4,
    /// Number of slots: requests that it can process at once.
    pub slots: u32,
    /// Maximum number of open connections.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Warm-up time in seconds, over which the rate of a cold back end is raised;
    /// zero means no warm-up.
    #[serde(default)]
    pub warm_up_seconds: u32,
    /// Labels that policies read.
    #[serde(default)]
    pub labels: BTreeMap<String, String>,
    /// Whether it is drained. Only `ctl drain` sets this; the value in a document
    /// is not applied.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub draining: bool,
}

fn default_buckets() -> u32 {
    DEFAULT_BUCKETS
}

fn default_idle_seconds() -> u32 {
    DEFAULT_IDLE_SECONDS
}

fn default_connections() -> u32 {
    DEFAULT_CONNECTIONS
}

impl Document {
    /// Parses a document: JSON if its name ends in `.json`, else TOML.
    pub fn parse(name: &str, text: &str) -> Result<Document, DocumentError> {
        let parsed = if name.ends_with(".json") {
            serde_json::from_str(text).map_err(|error| error.to_string())
        } else {
            toml::from_str(text).map_err(|error| error.to_string().trim().to_string())
        };
        parsed.map_err(|message| DocumentError {
            name: name.to_string(),
            message,
        })
    }
}

impl From<&PolicyDocument> for PolicyRecord {
    fn from(policy: &PolicyDocument) -> Self {
        PolicyRecord {
            name: policy.name.clone(),
            eligible: policy.eligible.clone(),
            weight: policy.weight.clone(),
        }
    }
}

impl From<&PolicyRecord> for PolicyDocument {
    fn from(policy: &PolicyRecord) -> Self {
        PolicyDocument {
            name: policy.name.clone(),
            eligible: policy.eligible.clone(),
            weight: policy.weight.clone(),
        }
    }
}

impl From<&ServiceDocument> for ServiceRecord {
    fn from(service: &ServiceDocument) -> Self {
        let refusal = match service.refusal {
            Refusal::Reset => RefusalMode::Reset,
            Refusal::HttpUnavailable => RefusalMode::HttpUnavailable,
        };
        ServiceRecord {
            id: 0,
            name: service.name.clone(),
            address: service.address.into(),
            buckets: service.buckets,
            policy: service.policy.clone(),
            refusal: refusal.into(),
            new_flows_per_second: service.new_flows_per_second,
            idle_seconds: service.idle_seconds,
        }
    }
}

impl From<&ServiceRecord> for ServiceDocument {
    fn from(service: &ServiceRecord) -> Self {
        let refusal = match service.refusal() {
            RefusalMode::Reset => Refusal::Reset,
            RefusalMode::HttpUnavailable => Refusal::HttpUnavailable,
        };
        ServiceDocument {
            name: service.name.clone(),
            address: service.address.into(),
            policy: service.policy.clone(),
            buckets: service.buckets,
            refusal,
            new_flows_per_second: service.new_flows_per_second,
            idle_seconds: service.idle_seconds,
        }
    }
}

impl From<&BackendDocument> for BackendEdit {
    fn from(backend: &BackendDocument) -> Self {
        BackendEdit {
            service: backend.service.clone(),
            backend: BackendRecord {
                id: 0,
                name: backend.name.clone(),
                service: 0,
                agent: backend.agent.clone(),
                zone: backend.zone.clone(),
                server: backend.server.into(),
                slots: backend.slots,
                connections: backend.connections,
                warm_up_seconds: backend.warm_up_seconds,
                labels: backend.labels.clone(),
                draining: false,
                evacuated: false,
            },
        }
    }
}

impl BackendDocument {
    /// Converts the record of a back end whose service has this name.
    pub fn from_record(service: &str, backend: &BackendRecord) -> Self {
        BackendDocument {
            name: backend.name.clone(),
            service: service.to_string(),
            agent: backend.agent.clone(),
            zone: backend.zone.clone(),
            server: backend.server.into(),
            slots: backend.slots,
            connections: backend.connections,
            warm_up_seconds: backend.warm_up_seconds,
            labels: backend.labels.clone(),
            draining: backend.draining,
        }
    }
}
