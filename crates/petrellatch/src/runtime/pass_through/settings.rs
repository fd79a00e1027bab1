//! Settings of the processes.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::time::Duration;

use petrellatch_core::pass_through::{FlowRecordSettings, WarmUpBounds};

/// What the settings of the record of open flows may be.
pub mod flow_record_bounds {
    use std::ops::RangeInclusive;
    use std::time::Duration;

    /// Age of the flows that are recorded.
    pub const MIN_FLOW_AGE: RangeInclusive<Duration> = Duration::ZERO..=Duration::from_secs(60);
    /// The most flows that an agent records.
    pub const MAX_FLOWS: RangeInclusive<usize> = 1..=65_536;
    /// What the records may take at a replica, in bytes.
    pub const MAX_BYTES: RangeInclusive<usize> = 65_536..=268_435_456;
    /// Replicas that keep a record, at least: with one the record is lost with it.
    pub const MIN_RECORD_REPLICAS: usize = 2;
    /// What the records may take at a replica unless it is set, in bytes.
    pub const DEFAULT_MAX_BYTES: usize = 16 * 1024 * 1024;
}

/// What every process needs, and what its role needs.
#[derive(Clone, Debug, PartialEq)]
pub struct PassThroughSettings {
    /// Name of the node, for logs.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where it exchanges messages with other processes (UDP).
    pub message_address: SocketAddrV4,
    /// Message addresses of some replicas of the control group.
    pub seeds: Vec<SocketAddrV4>,
    /// How long a flow may rest, or last, before it may be forgotten.
    pub flow_ttl: Duration,
    /// The longest that a planned stop may take.
    pub stop_timeout: Duration,
    /// The role.
    pub role: PassThroughRole,
}

/// The role of a process, with its addresses.
#[derive(Clone, Debug, PartialEq)]
pub enum PassThroughRole {
    /// Takes callers' packets.
    Balancer(BalancerRoleSettings),
    /// Beside a back end.
    Agent(AgentRoleSettings),
    /// Holds the configuration.
    Replica(ReplicaRoleSettings),
}

/// Addresses of a balancer, and what it can't observe of its link and callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BalancerRoleSettings {
    /// Callers' packets (UDP). Callers get packets at the same port.
    pub packet_address: SocketAddrV4,
    /// Readiness (HTTP).
    pub readiness_address: SocketAddrV4,
    /// What the machine's link carries each way, in bytes a second; none if that
    /// is not known.
    pub link_bytes_per_second: Option<u64>,
}

/// Addresses of an agent, and what it can't observe of the back end beside it.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentRoleSettings {
    /// The service of the back end.
    pub service: String,
    /// The back end's packets (UDP).
    pub backend_packet_address: SocketAddrV4,
    /// The back end (UDP).
    pub backend_address: SocketAddrV4,
    /// The port at which callers get packets.
    pub caller_port: u16,
    /// The back end's registrations (HTTP).
    pub registration_address: SocketAddrV4,
    /// Readiness (HTTP), if it has an address of its own.
    pub readiness_address: Option<SocketAddrV4>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// About how often a back end registers again.
    pub registration_interval: Duration,
    /// What a back end that warms up may get.
    pub warm_up_bounds: WarmUpBounds,
    /// The record of open flows that replicas keep.
    pub flow_record: FlowRecordSettings,
}

/// Addresses and files of a replica.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaRoleSettings {
    /// Operators (HTTP). All replicas serve them at the same port.
    pub operator_address: SocketAddrV4,
    /// The data folder.
    pub data_folder: PathBuf,
    /// Whether the whole group starts for the first time. Its seeds found it.
    pub first_start: bool,
    /// How many machines may be lost at once.
    pub max_lost_replicas: usize,
    /// How many zones may be lost at once.
    pub max_lost_zones: usize,
    /// Regions that the group may stretch over.
    pub region_count: usize,
    /// All zones, which operators may take out of service.
    pub zones: BTreeSet<String>,
    /// How much of a processor the process may use.
    pub cpu_quota: f64,
    /// What the records of open flows may take in memory, in bytes.
    pub max_flow_record_bytes: usize,
}
