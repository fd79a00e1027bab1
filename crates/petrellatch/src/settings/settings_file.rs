//! The structure of the settings file.

use std::net::SocketAddrV4;
use std::path::PathBuf;

use serde::Deserialize;

use crate::logging::{LogFormat, LogLevel};

/// The settings file as written. Every key may be missing, since flags and defaults are
/// applied later.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SettingsFile {
    /// Identity of the process.
    pub node: NodeSection,
    /// The cluster that the process belongs to.
    pub cluster: ClusterSection,
    /// Addresses of the process and of the fabric.
    pub addresses: AddressSection,
    /// Sources of platform data.
    pub platform: PlatformSection,
    /// Sources of data about back ends.
    pub backends: BackendSection,
    /// Intervals and timeouts.
    pub timing: TimingSection,
    /// Resource limits.
    pub limits: LimitSection,
    /// The log.
    pub log: LogSection,
}

/// Identity of the process.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NodeSection {
    /// Name of the node, unique in the cluster.
    pub name: Option<String>,
    /// The zone.
    pub zone: Option<String>,
    /// The folder for all files of the process.
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

/// A control replica, as listed in the settings of every process.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaSettings {
    /// The node name.
    pub name: String,
    /// Address that receives control messages (UDP).
    pub control: SocketAddrV4,
    /// Address that serves operators (HTTP), if clients are to be redirected to it.
    pub operator: Option<SocketAddrV4>,
}

/// Addresses of the process and of the fabric.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AddressSection {
    /// Address for control messages (UDP).
    pub control: Option<SocketAddrV4>,
    /// Address for callers' packets (UDP).
    pub data: Option<SocketAddrV4>,
    /// Address that serves health and metrics (HTTP).
    pub admin: Option<SocketAddrV4>,
    /// Address that serves operators (HTTP).
    pub operator: Option<SocketAddrV4>,
    /// Address of the fabric, to which packets for callers are sent (UDP).
    pub fabric: Option<SocketAddrV4>,
}

/// Sources of platform data.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformSection {
    /// URL of the list of live and draining machines (HTTP).
    pub list_url: Option<String>,
}

/// Sources of data about back ends.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BackendSection {
    /// Path of the request that asks a back end whether it is draining (HTTP).
    pub health_path: Option<String>,
}

/// Intervals and timeouts.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TimingSection {
    /// Interval between heartbeats, in milliseconds.
    pub heartbeat_milliseconds: Option<u64>,
    /// Duration of an agent's admission lease, in milliseconds.
    pub lease_milliseconds: Option<u64>,
    /// Minimum time without a leader before an election, in milliseconds.
    pub election_milliseconds: Option<u64>,
    /// Maximum time for which a planned stop waits for open flows, in seconds.
    pub stop_seconds: Option<u64>,
}

/// Resource limits.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSection {
    /// Maximum number of operator requests in progress or queued.
    pub operator_requests: Option<u64>,
    /// Size of the kernel's receive buffer of each UDP socket, in bytes.
    pub receive_buffer_bytes: Option<u64>,
}

/// The log.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSection {
    /// Format of the log.
    pub format: Option<LogFormat>,
    /// Lowest level that is logged.
    pub level: Option<LogLevel>,
}
