//! The settings file as written.

use std::net::SocketAddrV4;
use std::path::PathBuf;

use serde::Deserialize;

use crate::logging::{LogFormat, LogLevel};

/// The whole file. Every key may be missing: flags and defaults come later.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SettingsFile {
    /// Who this process is.
    pub node: NodeSection,
    /// The cluster that it belongs to.
    pub cluster: ClusterSection,
    /// Where it listens and sends.
    pub addresses: AddressSection,
    /// What the platform tells.
    pub platform: PlatformSection,
    /// What back ends tell.
    pub backends: BackendSection,
    /// Intervals and bounds.
    pub timing: TimingSection,
    /// Bounds on what it takes on.
    pub limits: LimitSection,
    /// The log.
    pub log: LogSection,
}

/// Who this process is.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NodeSection {
    /// The name, unique in the cluster.
    pub name: Option<String>,
    /// The zone.
    pub zone: Option<String>,
    /// The folder for all files.
    pub data_folder: Option<PathBuf>,
}

/// The cluster that a process belongs to.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClusterSection {
    /// The file with the cluster key.
    pub key_file: Option<PathBuf>,
    /// The control replicas.
    pub replicas: Vec<ReplicaSettings>,
}

/// A control replica as every process knows it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaSettings {
    /// The node name.
    pub name: String,
    /// Where it receives control messages.
    pub control: SocketAddrV4,
    /// Where it serves operators, if others are to be told.
    pub operator: Option<SocketAddrV4>,
}

/// Where a process listens and sends.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AddressSection {
    /// Control messages (UDP).
    pub control: Option<SocketAddrV4>,
    /// Caller packets (UDP).
    pub data: Option<SocketAddrV4>,
    /// Health and metrics (HTTP).
    pub admin: Option<SocketAddrV4>,
    /// Operators (HTTP).
    pub operator: Option<SocketAddrV4>,
    /// The fabric that takes answer packets (UDP).
    pub fabric: Option<SocketAddrV4>,
}

/// What the platform tells.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformSection {
    /// Where the list of live and leaving machines is read (HTTP).
    pub list_url: Option<String>,
}

/// What back ends tell.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BackendSection {
    /// The path at which each back end says whether it is draining (HTTP).
    pub health_path: Option<String>,
}

/// Intervals and bounds.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TimingSection {
    /// Between two heartbeats, in milliseconds.
    pub heartbeat_milliseconds: Option<u64>,
    /// An agent's admission lease, in milliseconds.
    pub lease_milliseconds: Option<u64>,
    /// The shortest time without a leader before an election, in milliseconds.
    pub election_milliseconds: Option<u64>,
    /// The longest that a planned stop waits for open flows, in seconds.
    pub stop_seconds: Option<u64>,
}

/// Bounds on what a process takes on.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSection {
    /// Operator requests worked on or waiting at once.
    pub operator_requests: Option<u64>,
    /// The kernel's receive buffer of each UDP socket, in bytes.
    pub receive_buffer_bytes: Option<u64>,
}

/// The log.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSection {
    /// The format.
    pub format: Option<LogFormat>,
    /// The lowest level.
    pub level: Option<LogLevel>,
}
